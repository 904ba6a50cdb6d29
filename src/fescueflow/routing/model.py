"""Routing configuration that the operator publishes, and the state of upstreams."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from fescueflow.core import CustomerId, UpstreamId, ZoneId

ServiceId = NewType("ServiceId", str)
RouteId = NewType("RouteId", str)
# Identifies a part of a prompt by its content.
PartId = NewType("PartId", str)
# Priority of a route or customer that sets none; 0 is the highest.
PRIORITY_DEFAULT = 5
PRIORITY_HIGHEST = 0


class RouteKind(Enum):
    """Which requests of a route may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class UpstreamState(Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Route:
    """Rule for the requests to one host and path prefix.

    ``targets`` holds services with their weights. ``timeout_s`` limits the
    time to the complete answer. ``target_s`` is the latency objective, for streams
    that of the first event, and ``pause_s`` the longest pause between two events for
    which a stream is still on time, 0 if the route sets none.
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
    pause_s: float = 0.0

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have run may be retried."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Common properties of the engines of a language model service.

    ``cache_tokens`` is the size of an engine's prefix cache. An engine copies cached
    tokens from another one at ``copy_tokens_per_ms``; zero if it does not support this.
    """

    slots: int
    cache_tokens: int
    copy_tokens_per_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable upstreams.

    A cold upstream stays cold for ``cold_s``. Meanwhile it takes ``cold_per_s``
    requests per second from the whole fleet.
    """

    id: ServiceId
    connections_max: int
    cold_s: float
    cold_per_s: float
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class Customer:
    """Owner of API keys; its priority overrides that of the route."""

    id: CustomerId
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a caller's request and on its idle time.

    ``head_s`` is the time for a head, ``None`` if the configuration names none.
    """

    header_bytes: int
    body_bytes: int
    idle_s: float
    head_s: float | None = None


@dataclass(frozen=True)
class RoutingTable:
    """One version of the routing configuration.

    ``routes`` holds the routes of each host by falling length of their prefixes.
    ``customers`` maps API keys to their owners; ``None`` if no key is required.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[ServiceId, Service]
    limits: CallerLimits
    customers: dict[str, Customer] | None = None


@dataclass(frozen=True, slots=True)
class Upstream:
    """One server of a service.

    ``cold_until`` is a time of this process's monotonic clock, in seconds.
    ``sequence`` counts the renewals of the entry since the start, 0 if it is not known.
    """

    id: UpstreamId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    state: UpstreamState
    cold_until: float = 0.0
    started_at_ms: int = 0
    sequence: int = field(default=0, compare=False)


__all__ = [
    "PRIORITY_DEFAULT",
    "PRIORITY_HIGHEST",
    "CallerLimits",
    "Customer",
    "EngineTraits",
    "PartId",
    "Route",
    "RouteId",
    "RouteKind",
    "RoutingTable",
    "Service",
    "ServiceId",
    "Upstream",
    "UpstreamState",
]
