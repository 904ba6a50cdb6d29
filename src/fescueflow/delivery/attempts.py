"""Attempts: a slot, a connection and one exchange."""

import threading
from collections.abc import Callable, Iterator

from fescueflow.core import Clock, UpstreamId
from fescueflow.delivery.calls import Headers, ResolvedCall
from fescueflow.delivery.exchange import (
    AttemptFailed,
    FailureReason,
    UpstreamExchange,
)
from fescueflow.delivery.slots import HeldSlot
from fescueflow.delivery.transfers import PrefixTransfers
from fescueflow.invariants import Invariant, Invariants
from fescueflow.metrics import Metrics
from fescueflow.placement import PlacementService
from fescueflow.schema import Settings, SlotOutcome
from fescueflow.transport import Network

RESPONSE_HEADERS_DROPPED = {
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "proxy-authenticate",
    "server",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
}


# Signs that the upstream itself takes no work, such as a restart. A connection
# that can't be opened in time may only show a cut link of this instance.
REFUSALS = {FailureReason.REFUSED, FailureReason.CONNECTION_REFUSED}
# How an exchange ends that was interrupted.
INTERRUPTIONS = {FailureReason.BROKEN, FailureReason.TRUNCATED, FailureReason.SILENT}


def choose_outcome(failure: AttemptFailed) -> SlotOutcome:
    """Return how a failed attempt leaves its slot."""
    if failure.reason is FailureReason.RECALLED and failure.sent:
        return SlotOutcome.RECALLED
    if failure.reason in REFUSALS:
        return SlotOutcome.REFUSED_BY_UPSTREAM
    if failure.reason is FailureReason.CONNECT or failure.sent:
        return SlotOutcome.FAILED
    return SlotOutcome.UNUSED


class Attempt:
    """One attempt; ``finish`` closes it and gives the slot back exactly once."""

    def __init__(self, held: HeldSlot, clock: Clock) -> None:
        self.upstream = held.slot.upstream
        self.exchange: UpstreamExchange | None = None
        self._held = held
        self._clock = clock
        self._sent_at = 0.0
        self._first_byte_s: float | None = None
        self._lock = threading.Lock()
        self._finished = False
        self._recalls = 0

    def recall(self) -> None:
        """Interrupt the exchange, so that the slot is given back.

        The reading side stays open until a second recall, so that the upstream
        shows the end of its work by closing the connection.
        """
        with self._lock:
            if self._finished:
                return
            self._recalls += 1
            if self.exchange is not None:
                self.exchange.interrupt(at_once=self._recalls > 1)

    def classify(self, failure: AttemptFailed) -> AttemptFailed:
        """Return the failure, as a recall if a recall caused it."""
        if self._recalls and failure.reason in INTERRUPTIONS:
            return AttemptFailed(FailureReason.RECALLED, failure.sent)
        return failure

    def check_recall(self) -> None:
        """Raise ``AttemptFailed`` if the slot was recalled before the first byte."""
        if self._recalls:
            raise AttemptFailed(FailureReason.RECALLED, False)

    def mark_sent(self) -> None:
        """Start the measurement of the time to the first byte."""
        self._sent_at = self._clock.monotonic()

    def mark_first_byte(self) -> None:
        """Set the time to the first byte, or to the first token of a stream."""
        self._first_byte_s = self._clock.monotonic() - self._sent_at

    def get_exchange(self) -> UpstreamExchange:
        """Return the exchange of a started attempt."""
        if self.exchange is None:
            raise AttemptFailed(FailureReason.BROKEN, False)
        return self.exchange

    def finish(self, outcome: SlotOutcome) -> None:
        """Close the connection and release the slot; later calls do nothing."""
        with self._lock:
            finished, self._finished = self._finished, True
        if finished:
            return
        try:
            if self.exchange is not None:
                self.exchange.close()
        finally:
            self._held.release(outcome, self._first_byte_s)

    def read_body(self) -> bytes:
        """Return the whole body and finish the attempt.

        Raises
        ------
        AttemptFailed
        """
        try:
            body = self.get_exchange().read_body()
        except AttemptFailed as error:
            failure = self.classify(error)
            self.finish(choose_outcome(failure))
            raise failure from error
        except BaseException:
            self.finish(SlotOutcome.FAILED)
            raise
        self.finish(SlotOutcome.COMPLETED)
        return body

    def iterate_body(self) -> Iterator[bytes]:
        """Yield the body as it comes."""
        return self.get_exchange().iterate_body()


class UpstreamClient:
    """Starts attempts."""

    def __init__(
        self,
        *,
        settings: Settings,
        network: Network,
        placement: PlacementService,
        clock: Clock,
        metrics: Metrics,
        invariants: Invariants,
        transfers: PrefixTransfers | None = None,
    ) -> None:
        self._transfers = transfers
        self._connect_timeout_s = settings.upstream_connect_timeout_ms / 1000
        self._silence_s = settings.upstream_silence_timeout_ms / 1000
        self._network = network
        self._placement = placement
        self._clock = clock
        self._metrics = metrics
        self._invariants = invariants

    def start(
        self,
        call: ResolvedCall,
        held: HeldSlot,
        key: str,
        deadline: float,
        *,
        resume_from: int = 0,
        recallable: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> Attempt:
        """Send the request and read the head of the response.

        Parameters
        ----------
        call : ResolvedCall
        held : HeldSlot
            Released when the attempt fails or is finished.
        key : str
            Value of ``X-Request-Id``.
        deadline : float
        resume_from : int, optional
        recallable : bool, optional
            Whether a recall of the slot interrupts the attempt.
        before_send : callable, optional
            Called after the last check, before the first byte.

        Raises
        ------
        AttemptFailed
        RequestError
            From ``before_send``, or if the request can't be written.
        """
        attempt = Attempt(held, self._clock)
        try:
            if recallable:
                held.watch_recall(attempt.recall)
            if self._transfers is not None:
                self._transfers.import_for(call, held, deadline)
            exchange = self._connect(attempt, deadline)
            exchange.prepare(
                method=call.method,
                target=call.target,
                headers=call.headers,
                body=call.make_body(resume_from),
                key=key,
            )
            # The slot and the deadline are checked as late as possible: nothing
            # that can block comes between this check and the first byte.
            if self._clock.monotonic() >= min(held.slot.start_by, deadline):
                raise AttemptFailed(FailureReason.LATE, False)
            attempt.check_recall()
            if before_send is not None:
                before_send()
            attempt.mark_sent()
            exchange.transmit()
            exchange.read_head()
            attempt.mark_first_byte()
            self._check_answer(exchange, key)
            if self._transfers is not None and exchange.status == 200:
                self._transfers.note_use(call, attempt.upstream.id)
        except AttemptFailed as error:
            failure = attempt.classify(error)
            attempt.finish(choose_outcome(failure))
            self.count_failure(failure)
            raise failure from error
        except BaseException:
            attempt.finish(SlotOutcome.UNUSED)
            raise
        return attempt

    def count_failure(self, failure: AttemptFailed) -> None:
        """Count a failed attempt by reason; a recall is no failure."""
        if failure.reason is FailureReason.RECALLED:
            self._metrics.count("recalled_attempts")
            return
        self._metrics.count("failed_attempts", reason=failure.reason.value)

    def select_headers(self, call: ResolvedCall, attempt: Attempt) -> Headers:
        """Return the headers of the caller's answer."""
        headers = [
            (name, value)
            for name, value in attempt.get_exchange().headers
            if name.lower() not in RESPONSE_HEADERS_DROPPED
            and not name.lower().startswith("fescueflow-")
            and "\n" not in value
            and "\r" not in value
        ]
        upstream = attempt.upstream.id
        headers.append(("Fescueflow-Upstream", upstream))
        if call.document is not None:
            token = self._placement.make_token(UpstreamId(upstream), call.affinity_key)
            headers.append(("Fescueflow-Placement", token))
        return headers

    def _connect(self, attempt: Attempt, deadline: float) -> UpstreamExchange:
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            raise AttemptFailed(FailureReason.LATE, False)
        address = attempt.upstream.address
        try:
            connection = self._network.connect(
                address, min(self._connect_timeout_s, remaining)
            )
        except ConnectionRefusedError as error:
            raise AttemptFailed(FailureReason.CONNECTION_REFUSED, False) from error
        except OSError as error:
            raise AttemptFailed(FailureReason.CONNECT, False) from error
        attempt.exchange = UpstreamExchange(
            connection=connection,
            address=address,
            clock=self._clock,
            deadline=deadline,
            silence_s=self._silence_s,
        )
        return attempt.exchange

    def _check_answer(self, exchange: UpstreamExchange, key: str) -> None:
        self._invariants.check(
            Invariant.ANSWER_MATCHES_REQUEST, exchange.matches_request(), key=key
        )


__all__ = ["Attempt", "UpstreamClient", "choose_outcome"]
