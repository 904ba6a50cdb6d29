"""Streamed response bodies, which resume after failed attempts."""

import json
import threading
from collections.abc import Callable, Generator, Iterator

from fescueflow.core import RequestError, UpstreamFailed, describe_error
from fescueflow.delivery.attempts import Attempt, get_slot_outcome
from fescueflow.delivery.events import (
    DONE,
    ServerEvent,
    format_data_event,
    parse_token_index,
)
from fescueflow.delivery.exchange import AttemptFailed, FailureReason
from fescueflow.delivery.relays import KEEPALIVE_COMMENT, AttemptRelay, TryWrite
from fescueflow.delivery.retries import Delivery
from fescueflow.event_streams import is_event_stream
from fescueflow.schema import SlotOutcome

RESUME_BACKOFF_S = 0.05
RESUME_BACKOFF_MAX_S = 1.0


class StreamTruncated(UpstreamFailed):
    """The stream failed after its first bytes were sent to the caller.

    The response then ends without the final chunk of its body.
    """

    type = "stream_cut"


class CallerDisconnected(RequestError):
    """The caller closed its connection before the stream ended."""

    type = "caller_disconnected"


class StreamBody:
    """Body of a streamed response.

    Parameters
    ----------
    delivery : Delivery
    attempt : Attempt
        The first attempt, which has received the head of its response.
    started_at : float
        When the call arrived.
    on_finish : callable
        Called exactly once, with the error or ``None``, when the stream ends.

    Notes
    -----
    Each token reaches the caller once and in order. The body ends with ``[DONE]``
    only if the upstream's stream did. ``close`` cancels the upstream request.
    """

    def __init__(
        self,
        delivery: Delivery,
        attempt: Attempt,
        started_at: float,
        on_finish: Callable[[RequestError | None], None],
    ) -> None:
        self._delivery = delivery
        self._attempt = attempt
        self._clock = delivery.context.clock
        self._metrics = delivery.context.metrics
        self._started_at = started_at
        self._on_finish = on_finish
        self._last_token_at: float | None = None
        self._token_count = 0
        self._attempt_first_index = 0
        self._resumes_without_token = 0
        self._finished = False
        self._try_write: TryWrite | None = None
        self._relay = self._relay_all()

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._relay)

    def close(self) -> None:
        """End the stream and cancel an unfinished upstream request."""
        self._relay.close()
        if not self._finished:
            self._metrics.count("cancelled_streams")
        self._finish(
            SlotOutcome.UNUSED,
            CallerDisconnected("the caller closed the stream"),
        )

    def _finish(self, outcome: SlotOutcome, error: RequestError | None) -> None:
        self._attempt.finish(outcome)
        if not self._finished:
            self._finished = True
            self._on_finish(error)

    def _relay_all(self) -> Generator[bytes, None, None]:
        while True:
            try:
                yield from self._relay_attempt()
                self._finish(SlotOutcome.COMPLETED, None)
                yield format_data_event(DONE)
                return
            except AttemptFailed as attempt_failure:
                failure = self._attempt.classify(attempt_failure)
                self._attempt.finish(get_slot_outcome(failure))
                self._delivery.context.client.count_failure(failure)
                error = yield from self._resume(failure)
            if error is not None:
                yield from self._fail(error)

    def _relay_attempt(self) -> Iterator[bytes]:
        """Relay until ``[DONE]``."""
        self._attempt_first_index = self._token_count
        exchange = self._attempt.get_exchange()
        relay = AttemptRelay(exchange, self._accept_token, self._try_write, self._clock)
        for chunk in self._attempt.iterate_body():
            relay.feed(chunk)
            if relay.output:
                yield relay.take_output()
            # The server sends the head of the response with the first output.
            if self._token_count and relay.can_poll():
                yield from self._relay_in_loop(relay)
            if relay.failure is not None:
                raise relay.failure
            if relay.ended:
                return
        raise AttemptFailed(FailureReason.TRUNCATED, True)

    def _relay_in_loop(self, relay: AttemptRelay) -> Iterator[bytes]:
        """Relay in the stream loop until this thread must continue."""
        if relay.failure is not None or relay.ended:
            return
        relay.start_polling()
        self._delivery.context.loop.run(relay)
        if relay.output:
            yield relay.take_output()

    def attach_writer(self, try_write: TryWrite) -> None:
        """Let the stream loop write to the caller, after the first output.

        Parameters
        ----------
        try_write : callable
            Writes without blocking; returns false if that is not possible.
        """
        self._try_write = try_write

    def _accept_token(self, event: ServerEvent, data: bytes) -> bool:
        """Return whether an event is the next token; false for a duplicate.

        Raises
        ------
        AttemptFailed
            If the event is an error or no token, or if a token is missing.
        """
        if event.name == b"error":
            raise AttemptFailed(FailureReason.BROKEN, True)
        index = parse_token_index(data)
        if index is not None and index < self._token_count:
            self._metrics.count("duplicate_tokens")
            return False
        if index is not None and index > self._token_count:
            raise AttemptFailed(FailureReason.GAP, True)
        now = self._clock.monotonic()
        if self._last_token_at is None:
            self._metrics.observe("first_token", now - self._started_at)
        else:
            self._metrics.observe("token_gap", now - self._last_token_at)
        if self._token_count == self._attempt_first_index:
            self._attempt.mark_first_byte()
        self._last_token_at = now
        self._token_count += 1
        self._resumes_without_token = 0
        return True

    def _resume(
        self, failure: AttemptFailed
    ) -> Generator[bytes, None, RequestError | None]:
        """Start the next attempt; return the error if no attempt is possible."""
        while True:
            try:
                self._delivery.record_failure(failure, is_resume=True)
                if failure.reason is not FailureReason.RECALLED:
                    self._back_off()
                for attempt in self._delivery.open_attempt(self._token_count):
                    if attempt is None:
                        yield KEEPALIVE_COMMENT
                        continue
                    self._attempt = attempt
                    self._check_stream(attempt)
                    self._metrics.count("resumed_streams")
                    return None
            except AttemptFailed as next_failure:
                self._attempt.finish(get_slot_outcome(next_failure))
                failure = next_failure
            except RequestError as error:
                return error

    def _check_stream(self, attempt: Attempt) -> None:
        exchange = attempt.get_exchange()
        declares_events = is_event_stream(exchange.get_header("Content-Type"))
        if exchange.status != 200 or not declares_events:
            raise AttemptFailed(FailureReason.BROKEN, True)

    def _back_off(self) -> None:
        """Wait if the last resume delivered no token.

        Each further resume without a token doubles the wait.
        """
        if self._resumes_without_token:
            doublings = min(self._resumes_without_token - 1, 10)
            backoff_s = RESUME_BACKOFF_S * 2**doublings
            remaining = self._delivery.deadline - self._clock.monotonic()
            limit_s = min(RESUME_BACKOFF_MAX_S, backoff_s, max(0.0, remaining))
            self._clock.wait(threading.Event(), limit_s)
        self._resumes_without_token += 1

    def _fail(self, error: RequestError) -> Iterator[bytes]:
        self._delivery.sent = True
        self._delivery.set_outcome(error)
        self._metrics.count("failed_streams")
        self._finish(SlotOutcome.FAILED, error)
        text = json.dumps(describe_error(error)).encode()
        yield b"event: error\n" + format_data_event(text)
        raise StreamTruncated(error.message)


__all__ = ["StreamBody", "StreamTruncated"]
