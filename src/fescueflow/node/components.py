"""Groups of components of one instance, in order of dependency."""

import threading
from dataclasses import dataclass

from fescueflow.admission import AdmissionService
from fescueflow.api import HttpServer
from fescueflow.audit import AuditTrail
from fescueflow.configuration import ConfigurationService, ConfigurationStore
from fescueflow.core import Clock, Incarnation, RandomSource
from fescueflow.delivery import Dispatcher, PrefixTransfers
from fescueflow.invariants import Invariants
from fescueflow.membership import (
    ListRelay,
    ListService,
    MembershipService,
    PauseDetector,
)
from fescueflow.metrics import Metrics
from fescueflow.placement import PlacementService
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


@dataclass(frozen=True)
class SharedComponents:
    """Components without background tasks that the others share."""

    settings: Settings
    network: Network
    clock: Clock
    random_source: RandomSource
    incarnation: Incarnation
    metrics: Metrics
    audit: AuditTrail
    invariants: Invariants
    keyring: Keyring
    pause_detector: PauseDetector
    ready: threading.Event


@dataclass(frozen=True)
class CommunicationComponents:
    """Communication with other instances and with the platform."""

    endpoint: DatagramEndpoint
    frame_server: FrameServer
    frame_client: FrameClient
    list_service: ListService
    membership: MembershipService
    list_relay: ListRelay


@dataclass(frozen=True)
class ControlComponents:
    """Configuration, rights, admission and placement."""

    store: ConfigurationStore
    configuration: ConfigurationService
    rights: RightsService
    admission: AdmissionService
    placement: PlacementService


@dataclass(frozen=True)
class ServingComponents:
    """Components that serve callers."""

    requests: RequestService
    transfers: PrefixTransfers
    dispatcher: Dispatcher
    http_server: HttpServer


@dataclass(frozen=True)
class Components:
    """All components of one instance."""

    shared: SharedComponents
    communication: CommunicationComponents
    control: ControlComponents
    serving: ServingComponents


__all__ = [
    "CommunicationComponents",
    "Components",
    "ControlComponents",
    "ServingComponents",
    "SharedComponents",
]
