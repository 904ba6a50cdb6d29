"""Callers' requests, the responses to them, and the state between the two."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import xxhash

from fescueflow.core import CustomerId, UpstreamId
from fescueflow.gateway.attempts import Attempt
from fescueflow.gateway.buffers import AnswerBuffer
from fescueflow.gateway.permits import Permit
from fescueflow.gateway.streams import StreamBody
from fescueflow.platform import CallHeaders, Headers
from fescueflow.routing import (
    PartId,
    Prompt,
    Route,
    ServiceId,
    SilenceWatch,
    Upstream,
)


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request; ``received_at`` is on the monotonic clock."""

    method: str
    target: str
    host: str
    headers: CallHeaders
    body: bytes
    received_at: float
    is_caller_disconnected: Callable[[], bool]


def describe_prompt(request: CallerRequest) -> Prompt:
    """Return the prompt of a request.

    Notes
    -----
    A request without shared parts counts as one part that its repeats share, so that
    upstreams that crash under it are noticed, too.
    """
    prompt = request.headers.prompt
    if prompt.shared_parts:
        return prompt
    digest = xxhash.xxh3_64()
    for text in (request.method, request.host, request.target):
        digest.update(f"{text}\n".encode())
    digest.update(request.body)
    return replace(prompt, shared_parts=(PartId(f"request-{digest.hexdigest()}"),))


@dataclass
class Response:
    """Status, headers and body for the caller; a stream's body is iterable.

    ``buffer`` counts the bytes of a body that is held until it is delivered.
    """

    status: int
    headers: Headers
    body: bytes | StreamBody
    buffer: AnswerBuffer | None = None


@dataclass
class RequestContext:
    """State of a request over all its attempts."""

    request: CallerRequest
    prompt: Prompt
    route: Route
    service: ServiceId
    customer: CustomerId | None
    priority: int
    deadline: float
    # Attempts that may have reached an upstream.
    attempts_sent: int = 0
    # Upstreams that are not tried again.
    tried: set[UpstreamId] = field(default_factory=set)
    may_have_run: bool = False
    # Complete events of all attempts.
    event_count: int = 0
    # Whether no event of the current attempt has arrived.
    is_waiting: bool = True
    # An upstream's error response, returned if no other upstream succeeds.
    fallback: Response | None = None
    # Upstream of the current attempt.
    upstream: Upstream | None = None
    # Content type of the stream, which is that of all its attempts.
    content_type: str | None = None
    # Attempt whose response is read.
    attempt: Attempt | None = None
    # When its silence needs a decision; set with the first attempt.
    watch: SilenceWatch = field(init=False)
    # Permit of the attempt that was selected last.
    permit: Permit | None = None

    def set_attempt(self, attempt: Attempt) -> None:
        """Go on with an attempt."""
        self.attempt = attempt
        self.upstream = attempt.selection.upstream
        self.is_waiting = not attempt.has_begun

    def cancel(self) -> None:
        """Cancel the attempt whose response is read."""
        if self.attempt is not None:
            self.attempt.cancel()


__all__ = ["CallerRequest", "RequestContext", "Response", "describe_prompt"]
