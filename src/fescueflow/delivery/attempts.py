"""Attempts to send a request to an upstream.

An attempt holds a slot of the upstream, a connection and one HTTP exchange.
"""

import threading
from collections.abc import Callable, Iterator

from fescueflow.core import Clock, UpstreamId
from fescueflow.delivery.calls import Headers, ResolvedRequest
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

# Failures that show that the upstream accepts no work, for example while it
# restarts. A connect timeout is not one of them: the fault may be in the network
# of this instance.
UPSTREAM_REFUSAL_REASONS = {FailureReason.REFUSED, FailureReason.CONNECTION_REFUSED}
# Failures of an exchange that ``UpstreamExchange.interrupt`` can cause.
INTERRUPTION_REASONS = {
    FailureReason.BROKEN,
    FailureReason.TRUNCATED,
    FailureReason.SILENT,
}


def get_slot_outcome(failure: AttemptFailed) -> SlotOutcome:
    """Return the outcome with which a failed attempt releases its slot."""
    if failure.reason is FailureReason.RECALLED and failure.sent:
        return SlotOutcome.RECALLED
    if failure.reason in UPSTREAM_REFUSAL_REASONS:
        return SlotOutcome.REFUSED_BY_UPSTREAM
    if failure.reason is FailureReason.CONNECT or failure.sent:
        return SlotOutcome.FAILED
    return SlotOutcome.UNUSED


class Attempt:
    """One attempt; ``finish`` closes it and releases the slot exactly once.

    Parameters
    ----------
    held_slot : HeldSlot
        Slot of the upstream that the attempt uses.
    clock : Clock
    """

    def __init__(self, held_slot: HeldSlot, clock: Clock) -> None:
        self.upstream = held_slot.slot.upstream
        self.exchange: UpstreamExchange | None = None
        self._held_slot = held_slot
        self._clock = clock
        self._sent_at = 0.0
        self._first_byte_s: float | None = None
        self._lock = threading.Lock()
        self._finished = False
        self._recalls = 0

    def recall(self) -> None:
        """Interrupt the exchange, so that the slot is released.

        The first recall closes only the sending side. The upstream closes the
        connection once it has cancelled the request; a second recall does not
        wait for that.
        """
        with self._lock:
            if self._finished:
                return
            self._recalls += 1
            if self.exchange is not None:
                self.exchange.interrupt(at_once=self._recalls > 1)

    def classify(self, failure: AttemptFailed) -> AttemptFailed:
        """Return the failure, with the reason ``RECALLED`` if a recall caused it."""
        if self._recalls and failure.reason in INTERRUPTION_REASONS:
            return AttemptFailed(FailureReason.RECALLED, failure.sent)
        return failure

    def check_recall(self) -> None:
        """Raise ``AttemptFailed`` if the slot has been recalled.

        To be called before the first byte is sent.
        """
        if self._recalls:
            raise AttemptFailed(FailureReason.RECALLED, False)

    def mark_sent(self) -> None:
        """Start measuring the time to the first byte."""
        self._sent_at = self._clock.monotonic()

    def mark_first_byte(self) -> None:
        """Record the time to the first byte, or to the first token of a stream."""
        self._first_byte_s = self._clock.monotonic() - self._sent_at

    def get_exchange(self) -> UpstreamExchange:
        """Return the exchange.

        Raises
        ------
        AttemptFailed
            If the attempt has not connected.
        """
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
            self._held_slot.release(outcome, self._first_byte_s)

    def read_body(self) -> bytes:
        """Return the whole body and finish the attempt.

        Raises
        ------
        AttemptFailed
            If the body is incomplete or too large.
        """
        try:
            body = self.get_exchange().read_body()
        except AttemptFailed as error:
            failure = self.classify(error)
            self.finish(get_slot_outcome(failure))
            raise failure from error
        except BaseException:
            self.finish(SlotOutcome.FAILED)
            raise
        self.finish(SlotOutcome.COMPLETED)
        return body

    def iterate_body(self) -> Iterator[bytes]:
        """Yield the body as it arrives."""
        return self.get_exchange().iterate_body()


class UpstreamClient:
    """Starts attempts.

    Parameters
    ----------
    settings : Settings
    network : Network
    placement : PlacementService
        Makes the placement tokens for callers.
    clock : Clock
    metrics : Metrics
    invariants : Invariants
    transfers : PrefixTransfers, optional
        Without it no prefix is imported before a request.
    """

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
        self._read_timeout_s = settings.upstream_silence_timeout_ms / 1000
        self._network = network
        self._placement = placement
        self._clock = clock
        self._metrics = metrics
        self._invariants = invariants

    def start(
        self,
        call: ResolvedRequest,
        held_slot: HeldSlot,
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
        call : ResolvedRequest
        held_slot : HeldSlot
            Released when the attempt fails or is finished.
        key : str
            Value of ``X-Request-Id``.
        deadline : float
            In the monotonic time of the clock.
        resume_from : int, optional
            Number of tokens that the caller already has.
        recallable : bool, optional
            Whether a recall of the slot interrupts the attempt.
        before_send : callable, optional
            Called after the last check, before the first byte is sent.

        Raises
        ------
        AttemptFailed
        RequestError
            Raised by ``before_send``, or if the request can't be written as HTTP.
        """
        attempt = Attempt(held_slot, self._clock)
        try:
            if recallable:
                held_slot.set_recall_callback(attempt.recall)
            if self._transfers is not None:
                self._transfers.import_for_call(call, held_slot, deadline)
            exchange = self._connect(attempt, deadline)
            exchange.prepare(
                method=call.method,
                target=call.target,
                headers=call.headers,
                body=call.build_body(resume_from),
                key=key,
            )
            # The slot and the deadline are checked as late as possible: no
            # operation between this check and the first byte can block.
            if self._clock.monotonic() >= min(held_slot.slot.start_by, deadline):
                raise AttemptFailed(FailureReason.LATE, False)
            attempt.check_recall()
            if before_send is not None:
                before_send()
            attempt.mark_sent()
            exchange.transmit()
            exchange.read_head()
            attempt.mark_first_byte()
            self._check_response_id(exchange, key)
            if self._transfers is not None and exchange.status == 200:
                self._transfers.record_use(call, attempt.upstream.id)
        except AttemptFailed as error:
            failure = attempt.classify(error)
            attempt.finish(get_slot_outcome(failure))
            self.count_failure(failure)
            raise failure from error
        except BaseException:
            attempt.finish(SlotOutcome.UNUSED)
            raise
        return attempt

    def count_failure(self, failure: AttemptFailed) -> None:
        """Count a failed attempt by reason; recalls are counted separately."""
        if failure.reason is FailureReason.RECALLED:
            self._metrics.count("recalled_attempts")
            return
        self._metrics.count("failed_attempts", reason=failure.reason.value)

    def select_headers(self, call: ResolvedRequest, attempt: Attempt) -> Headers:
        """Return the headers of the response to the caller."""
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
            read_timeout_s=self._read_timeout_s,
        )
        return attempt.exchange

    def _check_response_id(self, exchange: UpstreamExchange, key: str) -> None:
        self._invariants.check(
            Invariant.ANSWER_MATCHES_REQUEST, exchange.matches_request(), key=key
        )


__all__ = ["Attempt", "UpstreamClient", "get_slot_outcome"]
