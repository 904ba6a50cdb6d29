"""A request under way, from the caller's call to the answer."""

from collections.abc import Callable
from dataclasses import dataclass, field

from fescueflow.core import CustomerId, UpstreamId
from fescueflow.gateway.attempts import Attempt
from fescueflow.gateway.streams import StreamBody
from fescueflow.platform import CallHeaders, Headers
from fescueflow.routing import Route, ServiceId


@dataclass(frozen=True)
class Call:
    """A caller's request; ``received_at`` is on the monotonic clock."""

    method: str
    target: str
    host: str
    headers: CallHeaders
    body: bytes
    received_at: float
    is_caller_gone: Callable[[], bool]


@dataclass
class Answer:
    """Status, headers and body for the caller; a stream's body is an iterator."""

    status: int
    headers: Headers
    body: bytes | StreamBody


@dataclass
class Journey:
    """A request under way and what its attempts have met."""

    call: Call
    route: Route
    service: ServiceId
    customer: CustomerId | None
    priority: int
    until: float
    # Upstreams that the request may have reached, and those not to ask again.
    arrived: int = 0
    tried: set[UpstreamId] = field(default_factory=set)
    may_have_run: bool = False
    # An upstream's own failure, which is better than none of an upstream.
    fallback: Answer | None = None
    # The upstream of the present attempt.
    upstream: UpstreamId | None = None
    # The attempt whose stream is relayed.
    attempt: Attempt | None = None

    def cancel(self) -> None:
        """End the attempt whose stream is relayed."""
        if self.attempt is not None:
            self.attempt.cancel()


__all__ = ["Answer", "Call", "Journey"]
