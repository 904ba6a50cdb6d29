"""Delivery of one idempotent request with retries."""

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
from fescueflow.delivery.calls import ResolvedCall
from fescueflow.delivery.exchange import AttemptFailed, FailureReason
from fescueflow.delivery.loop import StreamLoop
from fescueflow.delivery.slots import SlotFinder, SlotTerms
from fescueflow.metrics import Metrics
from fescueflow.requests import RequestId

# Pause after a slot that came too late, so that a home that grants expired slots
# is not asked without a break.
LATE_PAUSE_S = 0.01
# Failures that say nothing about the upstream, which is therefore tried again.
OWN_FAILURES = {
    FailureReason.LATE,
    FailureReason.LOOP_FAILED,
    FailureReason.RECALLED,
}
# A stream gives its slot back at most this often, so that it ends.
RECALLS_MAX = 2


@dataclass(frozen=True)
class DeliveryTools:
    """Collaborators of all deliveries of an instance."""

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
    tools : DeliveryTools
    call : ResolvedCall
    key : RequestId
        First part of ``X-Request-Id``; unique to this delivery.
    deadline : float
    """

    def __init__(
        self, tools: DeliveryTools, call: ResolvedCall, key: RequestId, deadline: float
    ) -> None:
        self.call = call
        self.key = key
        self.deadline = deadline
        self.tools = tools
        self.sent = False
        self.upstream: UpstreamId | None = None
        self._attempts = 0
        self._excluded: set[UpstreamId] = set()
        self._recalls = 0
        self._latest: UpstreamId | None = None

    def _make_terms(self) -> SlotTerms:
        can_resume = self.call.streamed and self.call.idempotent
        return SlotTerms(
            recallable=can_resume and self._recalls < RECALLS_MAX,
            resumed=self.sent,
            latest=self._latest,
        )

    def open(self, resume_from: int = 0) -> Iterator[Attempt | None]:
        """Yield ``None`` while waiting for a slot, finally a started attempt.

        Raises
        ------
        AttemptFailed
            If the attempt failed; ``note_failure`` decides what follows.
        RequestError
            If there is no slot before the deadline.
        """
        self._attempts += 1
        key = f"{self.key}/{self._attempts}"
        terms = self._make_terms()
        search = self.tools.finder.search(
            self.call, key, self.deadline, self._excluded, terms
        )
        for held in search:
            if held is None:
                yield None
                continue
            self.upstream = held.slot.upstream.id
            attempt = self.tools.client.start(
                self.call,
                held,
                key,
                self.deadline,
                resume_from=resume_from,
                recallable=terms.recallable,
            )
            self.sent = True
            yield attempt

    def start(self) -> Attempt:
        """Return a started attempt, after retries if needed.

        Raises
        ------
        RequestError
        """
        while True:
            try:
                return next(a for a in self.open() if a is not None)
            except AttemptFailed as failure:
                self.note_failure(failure)

    def fetch(self, attempt: Attempt) -> tuple[Attempt, bytes]:
        """Return the whole body of an attempt, or of a later one.

        Raises
        ------
        RequestError
        """
        while True:
            try:
                return attempt, attempt.read_body()
            except AttemptFailed as failure:
                self.tools.client.count_failure(failure)
                self.note_failure(failure)
            attempt = self.start()

    def note_failure(self, failure: AttemptFailed, is_resume: bool = False) -> None:
        """Record a failed attempt.

        Parameters
        ----------
        failure : AttemptFailed
        is_resume : bool, optional
            Whether a stream goes on with the next attempt. Resumed streams are
            limited by their deadline and paced, not by the retry budget, so that
            the loss of an engine does not end the streams it carried.

        Raises
        ------
        RequestError
            If no further attempt may be made.
        """
        self.sent = self.sent or failure.sent
        is_recalled = failure.reason is FailureReason.RECALLED
        self._latest = self.upstream if is_recalled else None
        self._recalls += is_recalled
        if failure.reason not in OWN_FAILURES and self.upstream is not None:
            self._excluded.add(self.upstream)
        if self.tools.clock.monotonic() >= self.deadline:
            raise DeadlineExceeded("the deadline passed before the answer was complete")
        if failure.reason is FailureReason.LATE:
            self.tools.clock.wait(threading.Event(), LATE_PAUSE_S)
        if not failure.sent or is_resume or is_recalled:
            return
        if not self.tools.budget.take():
            self.tools.metrics.count("retry_budget_exhausted")
            if failure.reason is FailureReason.REFUSED:
                raise Overloaded("the upstream refused the request")
            raise UpstreamFailed(str(failure))
        self.tools.metrics.count("retries")

    def qualify(self, error: RequestError) -> None:
        """Set the outcome of an error to what is known about all attempts."""
        error.outcome = Outcome.UNKNOWN if self.sent else Outcome.NOT_RUN


__all__ = ["LATE_PAUSE_S", "Delivery", "DeliveryTools"]
