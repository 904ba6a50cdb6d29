"""Requests of this instance that wait for a permit."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing import PermitAnswer, PermitDecision, PermitId, ServiceId


@dataclass(frozen=True)
class PermitNeed:
    """A request that needs a permit; times are on the monotonic clock.

    ``objective_at`` is the end of the latency objective, and ``avoid`` holds the
    upstreams to which it can't be sent.
    """

    attempt_id: str
    service: ServiceId
    priority: int
    deadline: float
    objective_at: float
    is_returning: bool
    avoid: frozenset[UpstreamId]
    is_caller_disconnected: Callable[[], bool]


@dataclass
class Waiter:
    """A request that waits for answers; ``final`` is any but that it is queued.

    ``retry_after_s`` is the latest delay that the coordinator named, in seconds, or 0.
    """

    id: PermitId
    coordinator: InstanceId
    report_age_s: float
    event: threading.Event = field(default_factory=threading.Event)
    queued: PermitAnswer | None = None
    final: PermitAnswer | None = None
    retry_after_s: float = 0.0

    def put(self, answer: PermitAnswer) -> None:
        """Store an answer; the first final one stays."""
        self.retry_after_s = answer.retry_after_s or self.retry_after_s
        if answer.decision is PermitDecision.QUEUED:
            self.queued = answer
        elif self.final is None:
            self.final = answer
        self.event.set()

    @property
    def queue_length(self) -> int | None:
        """Length of the queue in the last answer, ``None`` without one."""
        answer = self.final or self.queued
        return answer.queue_length if answer else None


__all__ = ["PermitNeed", "Waiter"]
