"""Retries of idempotent requests."""

import threading
from collections.abc import Iterator
from dataclasses import dataclass

from fescueflow.core import (
    Clock,
    DeadlineExceeded,
    Outcome,
    Overloaded,
    RequestError,
    UpstreamFailed,
    UpstreamId,
)
from fescueflow.delivery.attempts import Attempt, UpstreamClient
from fescueflow.delivery.budget import RetryBudget
from fescueflow.delivery.calls import ResolvedRequest
from fescueflow.delivery.exchange import AttemptFailed, FailureReason
from fescueflow.delivery.loop import StreamLoop
from fescueflow.delivery.slots import SlotFinder, SlotOptions
from fescueflow.metrics import Metrics
from fescueflow.requests import RequestId

# Pause after a slot that expired before its use. It limits the request rate to a
# home instance that grants expired slots.
EXPIRED_SLOT_PAUSE_S = 0.01
# Failures that do not concern the upstream, which therefore stays a candidate.
SAME_UPSTREAM_RETRY_REASONS = {
    FailureReason.LATE,
    FailureReason.LOOP_FAILED,
    FailureReason.RECALLED,
}
# Maximum number of recalls of one stream, so that the stream ends.
RECALLS_MAX = 2


@dataclass(frozen=True)
class DeliveryContext:
    """Services that all deliveries of an instance share."""

    finder: SlotFinder
    client: UpstreamClient
    budget: RetryBudget
    clock: Clock
    metrics: Metrics
    loop: StreamLoop


class Delivery:
    """Attempts of one idempotent request.

    Parameters
    ----------
    context : DeliveryContext
    call : ResolvedRequest
    key : RequestId
        First part of ``X-Request-Id``; unique to this delivery.
    deadline : float
        In the monotonic time of the clock.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have reached an upstream.
    upstream : UpstreamId or None
        Upstream of the latest attempt.
    """

    def __init__(
        self,
        context: DeliveryContext,
        call: ResolvedRequest,
        key: RequestId,
        deadline: float,
    ) -> None:
        self.call = call
        self.key = key
        self.deadline = deadline
        self.context = context
        self.sent = False
        self.upstream: UpstreamId | None = None
        self._attempts = 0
        self._excluded: set[UpstreamId] = set()
        self._recalls = 0
        self._recalled_from: UpstreamId | None = None

    def _make_slot_options(self) -> SlotOptions:
        can_resume = self.call.streamed and self.call.idempotent
        return SlotOptions(
            recallable=can_resume and self._recalls < RECALLS_MAX,
            resumed=self.sent,
            recalled_from=self._recalled_from,
        )

    def open_attempt(self, resume_from: int = 0) -> Iterator[Attempt | None]:
        """Yield ``None`` while waiting for a slot, and finally a started attempt.

        Parameters
        ----------
        resume_from : int, optional
            Number of tokens that the caller already has.

        Raises
        ------
        AttemptFailed
            If the attempt failed; ``record_failure`` decides whether another
            one may follow.
        RequestError
            If there is no slot before the deadline.
        """
        self._attempts += 1
        key = f"{self.key}/{self._attempts}"
        options = self._make_slot_options()
        search = self.context.finder.search(
            self.call, key, self.deadline, self._excluded, options
        )
        for held_slot in search:
            if held_slot is None:
                yield None
                continue
            self.upstream = held_slot.slot.upstream.id
            attempt = self.context.client.start(
                self.call,
                held_slot,
                key,
                self.deadline,
                resume_from=resume_from,
                recallable=options.recallable,
            )
            self.sent = True
            yield attempt

    def start_with_retries(self) -> Attempt:
        """Return a started attempt; retry if an attempt fails.

        Raises
        ------
        RequestError
        """
        while True:
            try:
                return next(a for a in self.open_attempt() if a is not None)
            except AttemptFailed as failure:
                self.record_failure(failure)

    def fetch_body(self, attempt: Attempt) -> tuple[Attempt, bytes]:
        """Return the whole body, and the attempt that received it.

        If the attempt fails, the request is sent again.

        Raises
        ------
        RequestError
        """
        while True:
            try:
                return attempt, attempt.read_body()
            except AttemptFailed as failure:
                self.context.client.count_failure(failure)
                self.record_failure(failure)
            attempt = self.start_with_retries()

    def record_failure(self, failure: AttemptFailed, is_resume: bool = False) -> None:
        """Record a failed attempt, and check that another one is allowed.

        Parameters
        ----------
        failure : AttemptFailed
        is_resume : bool, optional
            Whether the next attempt resumes a stream. Resumes are limited by
            the deadline and by a backoff instead of the retry budget, so that
            the loss of an engine does not end all of its streams.

        Raises
        ------
        RequestError
            If no further attempt may be made.
        """
        self.sent = self.sent or failure.sent
        is_recalled = failure.reason is FailureReason.RECALLED
        self._recalled_from = self.upstream if is_recalled else None
        self._recalls += is_recalled
        if (
            failure.reason not in SAME_UPSTREAM_RETRY_REASONS
            and self.upstream is not None
        ):
            self._excluded.add(self.upstream)
        if self.context.clock.monotonic() >= self.deadline:
            raise DeadlineExceeded("the deadline passed before the answer was complete")
        if failure.reason is FailureReason.LATE:
            self.context.clock.wait(threading.Event(), EXPIRED_SLOT_PAUSE_S)
        if not failure.sent or is_resume or is_recalled:
            return
        if not self.context.budget.try_take():
            self.context.metrics.count("retry_budget_exhausted")
            if failure.reason is FailureReason.REFUSED:
                raise Overloaded("the upstream refused the request")
            raise UpstreamFailed(str(failure))
        self.context.metrics.count("retries")

    def set_outcome(self, error: RequestError) -> None:
        """Set the outcome of an error according to all attempts."""
        error.outcome = Outcome.UNKNOWN if self.sent else Outcome.NOT_RUN


__all__ = ["EXPIRED_SLOT_PAUSE_S", "Delivery", "DeliveryContext"]
