"""What the operator publishes and what upstreams say of themselves."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from fescueflow.core import CustomerId, UpstreamId, ZoneId

ServiceId = NewType("ServiceId", str)
RouteId = NewType("RouteId", str)
# Priority of a customer or route without one; 0 goes first.
PRIORITY_DEFAULT = 5


class RouteKind(Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class UpstreamState(Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix.

    ``targets`` holds services with their weights. ``timeout_s`` is the longest
    time to the whole answer, ``target_s`` the latency objective, to the first
    event for streams.
    """

    id: RouteId
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[tuple[ServiceId, int], ...]
    timeout_s: float
    target_s: float
    attempts_max: int = 1
    priority: int = PRIORITY_DEFAULT
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What a service of language model engines has in common.

    An engine takes over what another one caches at ``copy_tokens_per_ms``; zero if
    it can't.
    """

    slots: int
    cache_tokens: int
    copy_tokens_per_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A set of equal upstreams.

    A cold upstream stays cold for ``cold_s`` and takes ``cold_per_s`` requests a
    second from the whole fleet.
    """

    id: ServiceId
    connections_max: int
    cold_s: float
    cold_per_s: float
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class Customer:
    """Holder of keys; its priority goes before that of the route."""

    id: CustomerId
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller sends and how long it stays idle."""

    header_bytes: int
    body_bytes: int
    idle_s: float


@dataclass(frozen=True)
class RoutingTable:
    """One version of what the operator publishes.

    ``customers`` maps keys to their holders; ``None`` if no key is asked for.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[ServiceId, Service]
    limits: CallerLimits
    customers: dict[str, Customer] | None = None


@dataclass(frozen=True, slots=True)
class Upstream:
    """One server of a service.

    ``cold_until`` is on the monotonic clock of this process, in seconds.
    """

    id: UpstreamId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    state: UpstreamState
    cold_until: float = 0.0
    started_at_ms: int = 0


__all__ = [
    "PRIORITY_DEFAULT",
    "CallerLimits",
    "Customer",
    "EngineTraits",
    "Route",
    "RouteId",
    "RouteKind",
    "RoutingTable",
    "Service",
    "ServiceId",
    "Upstream",
    "UpstreamState",
]
