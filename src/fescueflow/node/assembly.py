"""Construction of the components of one instance."""

import sys
import threading

from fescueflow.admission import AdmissionService, HttpLoadReader
from fescueflow.api import HttpServer, make_application
from fescueflow.audit import AuditTrail
from fescueflow.configuration import ConfigurationService, ConfigurationStore
from fescueflow.core import Clock, Incarnation, InstanceId, Randomness
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
    Communication,
    Components,
    Control,
    Foundation,
    Service,
)
from fescueflow.placement import LeaveTracker, PlacementService, RecentPrefixes
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
    """Write one audit record to standard output at once."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def assemble_foundation(
    settings: Settings,
    *,
    network: Network,
    clock: Clock,
    randomness: Randomness,
    strict: bool,
) -> Foundation:
    """Return the shared parts of a new incarnation."""
    incarnation = Incarnation(randomness.make_incarnation())
    metrics = Metrics()
    audit = AuditTrail(
        settings.instance_id,
        incarnation,
        clock,
        settings.audit_records_max,
        write_audit_line if settings.audit_to_stdout else None,
    )
    return Foundation(
        settings=settings,
        network=network,
        clock=clock,
        randomness=randomness,
        incarnation=incarnation,
        metrics=metrics,
        audit=audit,
        invariants=Invariants(metrics, audit, strict),
        keyring=Keyring(settings.fleet_keys),
        pauses=PauseDetector(clock=clock, limit_s=settings.pause_limit_ms / 1000),
        ready=threading.Event(),
    )


def assemble_transport(
    base: Foundation,
) -> tuple[DatagramEndpoint, FrameServer, FrameClient]:
    """Return the links to other instances, not yet started."""
    settings, metrics = base.settings, base.metrics
    instance, incarnation = InstanceId(settings.instance_id), base.incarnation
    endpoint = DatagramEndpoint(
        network=base.network,
        address=settings.peer_address,
        keyring=base.keyring,
        instance=instance,
        incarnation=incarnation,
        metrics=metrics,
    )
    frame_server = FrameServer(
        network=base.network,
        address=settings.peer_address,
        keyring=base.keyring,
        instance=instance,
        incarnation=incarnation,
        metrics=metrics,
        threads_max=settings.peer_threads,
    )
    frame_client = FrameClient(
        network=base.network,
        keyring=base.keyring,
        instance=instance,
        incarnation=incarnation,
        metrics=metrics,
        silence_timeout_s=settings.peer_silence_timeout_ms / 1000,
    )
    return endpoint, frame_server, frame_client


def assemble_communication(base: Foundation) -> Communication:
    """Return the links of an instance, not yet started."""
    settings, clock, metrics = base.settings, base.clock, base.metrics
    endpoint, frame_server, frame_client = assemble_transport(base)
    list_client = HttpInstanceListClient(
        url=settings.instance_list_url, clock=clock, connect=base.network.connect
    )
    list_service = ListService(
        client=list_client,
        settings=settings,
        clock=clock,
        randomness=base.randomness,
        metrics=metrics,
    )
    membership = MembershipService(
        settings=settings,
        endpoint=endpoint,
        list_service=list_service,
        clock=clock,
        randomness=base.randomness,
        metrics=metrics,
        audit=base.audit,
        incarnation=base.incarnation,
    )
    list_relay = ListRelay(
        settings=settings,
        list_service=list_service,
        membership=membership,
        endpoint=endpoint,
        frame_client=frame_client,
        frame_server=frame_server,
        pauses=base.pauses,
        clock=clock,
        randomness=base.randomness,
        metrics=metrics,
    )
    return Communication(
        endpoint, frame_server, frame_client, list_service, membership, list_relay
    )


def assemble_configuration(
    base: Foundation, links: Communication, store: ConfigurationStore
) -> ConfigurationService:
    """Return the service that keeps the configuration store up to date."""
    client = HttpConfigurationClient(
        url=base.settings.configuration_url, connect=base.network.connect
    )
    return ConfigurationService(
        settings=base.settings,
        store=store,
        client=client,
        membership=links.membership,
        endpoint=links.endpoint,
        frame_client=links.frame_client,
        frame_server=links.frame_server,
        clock=base.clock,
        randomness=base.randomness,
        metrics=base.metrics,
        audit=base.audit,
    )


def assemble_admission(
    base: Foundation,
    links: Communication,
    store: ConfigurationStore,
    rights: RightsService,
) -> AdmissionService:
    """Return the service that grants slots, not yet started."""
    return AdmissionService(
        settings=base.settings,
        rights=rights,
        membership=links.membership,
        list_service=links.list_service,
        store=store,
        endpoint=links.endpoint,
        frame_server=links.frame_server,
        frame_client=links.frame_client,
        load_reader=HttpLoadReader(
            network=base.network, clock=base.clock, timeout_s=LOAD_REPORT_TIMEOUT_S
        ),
        clock=base.clock,
        metrics=base.metrics,
        invariants=base.invariants,
        audit=base.audit,
    )


def assemble_control(base: Foundation, links: Communication) -> Control:
    """Return the deciding parts of an instance, not yet started."""
    store = ConfigurationStore(
        metrics=base.metrics, audit=base.audit, invariants=base.invariants
    )
    rights = RightsService(
        settings=base.settings,
        membership=links.membership,
        list_service=links.list_service,
        store=store,
        endpoint=links.endpoint,
        clock=base.clock,
        pauses=base.pauses,
        metrics=base.metrics,
        invariants=base.invariants,
    )
    admission = assemble_admission(base, links, store, rights)
    placement = PlacementService(
        store=store,
        list_service=links.list_service,
        keyring=base.keyring,
        clock=base.clock,
        metrics=base.metrics,
    )
    configuration = assemble_configuration(base, links, store)
    return Control(store, configuration, rights, admission, placement)


def assemble_transfers(
    base: Foundation, links: Communication, control: Control
) -> PrefixTransfers:
    """Return the part that moves cached prefixes, not yet started."""
    return PrefixTransfers(
        store=control.store,
        placement=control.placement,
        admission=control.admission,
        leaves=LeaveTracker(
            store=control.store, list_service=links.list_service, clock=base.clock
        ),
        recent=RecentPrefixes(base.clock),
        importer=CacheImporter(
            network=base.network,
            clock=base.clock,
            metrics=base.metrics,
            audit=base.audit,
            connect_timeout_s=base.settings.upstream_connect_timeout_ms / 1000,
        ),
        clock=base.clock,
        metrics=base.metrics,
    )


def assemble_requests(
    base: Foundation,
    links: Communication,
    control: Control,
    transfers: PrefixTransfers,
) -> RequestService:
    """Return the owner of request ids, with the executor that it needs."""
    executor = make_executor(
        settings=base.settings,
        store=control.store,
        placement=control.placement,
        admission=control.admission,
        network=base.network,
        clock=base.clock,
        metrics=base.metrics,
        invariants=base.invariants,
        transfers=transfers,
    )
    return RequestService(
        settings=base.settings,
        keyring=base.keyring,
        membership=links.membership,
        frame_client=links.frame_client,
        frame_server=links.frame_server,
        executor=executor,
        clock=base.clock,
        metrics=base.metrics,
        audit=base.audit,
        invariants=base.invariants,
        incarnation=base.incarnation,
    )


def assemble_service(
    base: Foundation, links: Communication, control: Control
) -> Service:
    """Return the parts that serve callers, not yet started."""
    transfers = assemble_transfers(base, links, control)
    requests = assemble_requests(base, links, control, transfers)
    dispatcher = Dispatcher(
        settings=base.settings,
        store=control.store,
        list_service=links.list_service,
        placement=control.placement,
        admission=control.admission,
        requests=requests,
        network=base.network,
        clock=base.clock,
        metrics=base.metrics,
        audit=base.audit,
        invariants=base.invariants,
        transfers=transfers,
    )
    application = make_application(
        settings=base.settings,
        dispatcher=dispatcher,
        requests=requests,
        placement=control.placement,
        rights=control.rights,
        membership=links.membership,
        list_service=links.list_service,
        store=control.store,
        admission=control.admission,
        metrics=base.metrics,
        audit=base.audit,
        readiness=base.ready.is_set,
        clock=base.clock,
    )
    server = HttpServer(settings=base.settings, application=application)
    return Service(requests, transfers, dispatcher, server)


def assemble_components(
    settings: Settings,
    *,
    network: Network,
    clock: Clock,
    randomness: Randomness,
    strict: bool,
) -> Components:
    """Return the components of a new incarnation, not yet started."""
    base = assemble_foundation(
        settings, network=network, clock=clock, randomness=randomness, strict=strict
    )
    links = assemble_communication(base)
    control = assemble_control(base, links)
    return Components(base, links, control, assemble_service(base, links, control))


__all__ = ["Components", "assemble_components"]
