"""Construction of the components of one instance."""

import sys
import threading

from fescueflow.admission import AdmissionService, HttpLoadReader
from fescueflow.api import HttpServer, make_application
from fescueflow.audit import AuditTrail
from fescueflow.configuration import ConfigurationService, ConfigurationStore
from fescueflow.core import Clock, Incarnation, InstanceId, RandomSource
from fescueflow.delivery import (
    CacheImporter,
    Dispatcher,
    PrefixTransfers,
    make_executor,
)
from fescueflow.invariants import Invariants
from fescueflow.membership import (
    ListRelay,
    ListService,
    MembershipService,
    PauseDetector,
)
from fescueflow.metrics import Metrics
from fescueflow.node.components import (
    CommunicationComponents,
    Components,
    ControlComponents,
    ServingComponents,
    SharedComponents,
)
from fescueflow.placement import DepartureTracker, PlacementService, RecentPrefixes
from fescueflow.platform import HttpConfigurationClient, HttpInstanceListClient
from fescueflow.requests import RequestService
from fescueflow.rights import RightsService
from fescueflow.settings import Settings
from fescueflow.transport import (
    DatagramEndpoint,
    FrameClient,
    FrameServer,
    Keyring,
    Network,
)

LOAD_REPORT_TIMEOUT_S = 1.0


def write_audit_line(line: str) -> None:
    """Write one audit record to standard output and flush it."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def assemble_shared(
    settings: Settings,
    *,
    network: Network,
    clock: Clock,
    random_source: RandomSource,
    strict: bool,
) -> SharedComponents:
    """Return the shared components of a new incarnation."""
    incarnation = Incarnation(random_source.make_incarnation())
    metrics = Metrics()
    audit = AuditTrail(
        settings.instance_id,
        incarnation,
        clock,
        settings.audit_records_max,
        write_audit_line if settings.audit_to_stdout else None,
    )
    return SharedComponents(
        settings=settings,
        network=network,
        clock=clock,
        random_source=random_source,
        incarnation=incarnation,
        metrics=metrics,
        audit=audit,
        invariants=Invariants(metrics, audit, strict),
        keyring=Keyring(settings.fleet_keys),
        pause_detector=PauseDetector(
            clock=clock, limit_s=settings.pause_limit_ms / 1000
        ),
        ready=threading.Event(),
    )


def assemble_transport(
    shared: SharedComponents,
) -> tuple[DatagramEndpoint, FrameServer, FrameClient]:
    """Return the transport between instances, not yet started."""
    settings, metrics = shared.settings, shared.metrics
    instance, incarnation = InstanceId(settings.instance_id), shared.incarnation
    endpoint = DatagramEndpoint(
        network=shared.network,
        address=settings.peer_address,
        keyring=shared.keyring,
        instance=instance,
        incarnation=incarnation,
        metrics=metrics,
    )
    frame_server = FrameServer(
        network=shared.network,
        address=settings.peer_address,
        keyring=shared.keyring,
        instance=instance,
        incarnation=incarnation,
        metrics=metrics,
        connections_max=settings.peer_threads,
    )
    frame_client = FrameClient(
        network=shared.network,
        keyring=shared.keyring,
        instance=instance,
        incarnation=incarnation,
        metrics=metrics,
        silence_timeout_s=settings.peer_silence_timeout_ms / 1000,
    )
    return endpoint, frame_server, frame_client


def assemble_communication(shared: SharedComponents) -> CommunicationComponents:
    """Return the components for communication, not yet started."""
    settings, clock, metrics = shared.settings, shared.clock, shared.metrics
    endpoint, frame_server, frame_client = assemble_transport(shared)
    list_client = HttpInstanceListClient(
        url=settings.instance_list_url, clock=clock, connect=shared.network.connect
    )
    list_service = ListService(
        client=list_client,
        settings=settings,
        clock=clock,
        random_source=shared.random_source,
        metrics=metrics,
    )
    membership = MembershipService(
        settings=settings,
        endpoint=endpoint,
        list_service=list_service,
        clock=clock,
        random_source=shared.random_source,
        metrics=metrics,
        audit=shared.audit,
        incarnation=shared.incarnation,
    )
    list_relay = ListRelay(
        settings=settings,
        list_service=list_service,
        membership=membership,
        endpoint=endpoint,
        frame_client=frame_client,
        frame_server=frame_server,
        pause_detector=shared.pause_detector,
        clock=clock,
        random_source=shared.random_source,
        metrics=metrics,
    )
    return CommunicationComponents(
        endpoint, frame_server, frame_client, list_service, membership, list_relay
    )


def assemble_configuration(
    shared: SharedComponents,
    communication: CommunicationComponents,
    store: ConfigurationStore,
) -> ConfigurationService:
    """Return the service that keeps the configuration store up to date."""
    client = HttpConfigurationClient(
        url=shared.settings.configuration_url, connect=shared.network.connect
    )
    return ConfigurationService(
        settings=shared.settings,
        store=store,
        client=client,
        membership=communication.membership,
        endpoint=communication.endpoint,
        frame_client=communication.frame_client,
        frame_server=communication.frame_server,
        clock=shared.clock,
        random_source=shared.random_source,
        metrics=shared.metrics,
        audit=shared.audit,
    )


def assemble_admission(
    shared: SharedComponents,
    communication: CommunicationComponents,
    store: ConfigurationStore,
    rights: RightsService,
) -> AdmissionService:
    """Return the service that grants slots, not yet started."""
    return AdmissionService(
        settings=shared.settings,
        rights=rights,
        membership=communication.membership,
        list_service=communication.list_service,
        store=store,
        endpoint=communication.endpoint,
        frame_server=communication.frame_server,
        frame_client=communication.frame_client,
        load_reader=HttpLoadReader(
            network=shared.network, clock=shared.clock, timeout_s=LOAD_REPORT_TIMEOUT_S
        ),
        clock=shared.clock,
        metrics=shared.metrics,
        invariants=shared.invariants,
        audit=shared.audit,
    )


def assemble_control(
    shared: SharedComponents, communication: CommunicationComponents
) -> ControlComponents:
    """Return the components that make control decisions, not yet started."""
    store = ConfigurationStore(
        metrics=shared.metrics, audit=shared.audit, invariants=shared.invariants
    )
    rights = RightsService(
        settings=shared.settings,
        membership=communication.membership,
        list_service=communication.list_service,
        store=store,
        endpoint=communication.endpoint,
        clock=shared.clock,
        pause_detector=shared.pause_detector,
        metrics=shared.metrics,
        invariants=shared.invariants,
    )
    admission = assemble_admission(shared, communication, store, rights)
    placement = PlacementService(
        store=store,
        list_service=communication.list_service,
        keyring=shared.keyring,
        clock=shared.clock,
        metrics=shared.metrics,
    )
    configuration = assemble_configuration(shared, communication, store)
    return ControlComponents(store, configuration, rights, admission, placement)


def assemble_transfers(
    shared: SharedComponents,
    communication: CommunicationComponents,
    control: ControlComponents,
) -> PrefixTransfers:
    """Return the component that transfers cached prefixes, not yet started."""
    return PrefixTransfers(
        store=control.store,
        placement=control.placement,
        admission=control.admission,
        departures=DepartureTracker(
            store=control.store,
            list_service=communication.list_service,
            clock=shared.clock,
        ),
        recent_prefixes=RecentPrefixes(shared.clock),
        importer=CacheImporter(
            network=shared.network,
            clock=shared.clock,
            metrics=shared.metrics,
            audit=shared.audit,
            connect_timeout_s=shared.settings.upstream_connect_timeout_ms / 1000,
        ),
        clock=shared.clock,
        metrics=shared.metrics,
    )


def assemble_requests(
    shared: SharedComponents,
    communication: CommunicationComponents,
    control: ControlComponents,
    transfers: PrefixTransfers,
) -> RequestService:
    """Return the service that owns request ids, with its executor."""
    executor = make_executor(
        settings=shared.settings,
        store=control.store,
        placement=control.placement,
        admission=control.admission,
        network=shared.network,
        clock=shared.clock,
        metrics=shared.metrics,
        invariants=shared.invariants,
        transfers=transfers,
    )
    return RequestService(
        settings=shared.settings,
        keyring=shared.keyring,
        membership=communication.membership,
        frame_client=communication.frame_client,
        frame_server=communication.frame_server,
        executor=executor,
        clock=shared.clock,
        metrics=shared.metrics,
        audit=shared.audit,
        invariants=shared.invariants,
        incarnation=shared.incarnation,
    )


def assemble_serving(
    shared: SharedComponents,
    communication: CommunicationComponents,
    control: ControlComponents,
) -> ServingComponents:
    """Return the components that serve callers, not yet started."""
    transfers = assemble_transfers(shared, communication, control)
    requests = assemble_requests(shared, communication, control, transfers)
    dispatcher = Dispatcher(
        settings=shared.settings,
        store=control.store,
        list_service=communication.list_service,
        placement=control.placement,
        admission=control.admission,
        requests=requests,
        network=shared.network,
        clock=shared.clock,
        metrics=shared.metrics,
        audit=shared.audit,
        invariants=shared.invariants,
        transfers=transfers,
    )
    application = make_application(
        settings=shared.settings,
        dispatcher=dispatcher,
        requests=requests,
        placement=control.placement,
        rights=control.rights,
        membership=communication.membership,
        list_service=communication.list_service,
        store=control.store,
        admission=control.admission,
        metrics=shared.metrics,
        audit=shared.audit,
        readiness=shared.ready.is_set,
        clock=shared.clock,
    )
    server = HttpServer(settings=shared.settings, application=application)
    return ServingComponents(requests, transfers, dispatcher, server)


def assemble_components(
    settings: Settings,
    *,
    network: Network,
    clock: Clock,
    random_source: RandomSource,
    strict: bool,
) -> Components:
    """Return the components of a new incarnation, not yet started."""
    shared = assemble_shared(
        settings,
        network=network,
        clock=clock,
        random_source=random_source,
        strict=strict,
    )
    communication = assemble_communication(shared)
    control = assemble_control(shared, communication)
    return Components(
        shared, communication, control, assemble_serving(shared, communication, control)
    )


__all__ = ["Components", "assemble_components"]
