"""Relay of an engine's server-sent events to the caller."""

import json
import threading
from collections.abc import Callable, Generator, Iterator

from fescueflow.core import RequestError, UpstreamFailed, describe_error
from fescueflow.delivery.attempts import Attempt, choose_outcome
from fescueflow.delivery.events import (
    DONE,
    ServerEvent,
    format_data,
    read_index,
)
from fescueflow.delivery.exchange import AttemptFailed, FailureReason
from fescueflow.delivery.relays import KEEPALIVE, AttemptRelay, TryWrite
from fescueflow.delivery.retries import Delivery
from fescueflow.schema import SlotOutcome

RESUME_PAUSE_S = 0.05
RESUME_PAUSE_MAX_S = 1.0
EVENT_STREAM = "text/event-stream"


class StreamCut(UpstreamFailed):
    """Ends a response without the end mark of its chunked body."""

    type = "stream_cut"


class CallerDisconnected(RequestError):
    """The caller closed its connection before the stream ended."""

    type = "caller_disconnected"


class StreamBody:
    """Body of a streamed answer.

    Parameters
    ----------
    delivery : Delivery
    attempt : Attempt
        The first attempt, started.
    started_at : float
        When the call arrived.
    on_finish : callable
        Called once with the error, or ``None``, when the stream ends in any way.

    Notes
    -----
    Each token reaches the caller once and in order. The body ends in ``[DONE]``
    only if the upstream's stream did. ``close`` cancels the upstream's work.
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
        self._clock = delivery.tools.clock
        self._metrics = delivery.tools.metrics
        self._started_at = started_at
        self._on_finish = on_finish
        self._token_at: float | None = None
        self._received = 0
        self._attempt_start = 0
        self._idle_resumes = 0
        self._finished = False
        self._try_write: TryWrite | None = None
        self._relay = self._relay_all()

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._relay)

    def close(self) -> None:
        """End the stream; an unfinished upstream request is cancelled."""
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
                yield format_data(DONE)
                return
            except AttemptFailed as error_seen:
                failure = self._attempt.classify(error_seen)
                self._attempt.finish(choose_outcome(failure))
                self._delivery.tools.client.count_failure(failure)
                error = yield from self._resume(failure)
            if error is not None:
                yield from self._fail(error)

    def _relay_attempt(self) -> Iterator[bytes]:
        """Relay until ``[DONE]``."""
        self._attempt_start = self._received
        exchange = self._attempt.get_exchange()
        relay = AttemptRelay(exchange, self._accept, self._try_write, self._clock)
        for part in self._attempt.iterate_body():
            relay.take(part)
            if relay.output:
                yield relay.take_output()
            # The server writes the head with the first output.
            if self._received and relay.can_poll():
                yield from self._poll(relay)
            if relay.failure is not None:
                raise relay.failure
            if relay.ended:
                return
        raise AttemptFailed(FailureReason.TRUNCATED, True)

    def _poll(self, relay: AttemptRelay) -> Iterator[bytes]:
        """Let the loop relay until this task is needed."""
        if relay.failure is not None or relay.ended:
            return
        relay.start_polling()
        self._delivery.tools.loop.run(relay)
        if relay.output:
            yield relay.take_output()

    def attach(self, try_write: TryWrite) -> None:
        """Let the body write to the caller by itself, after the first output.

        Parameters
        ----------
        try_write : callable
            Writes without waiting; false if that is not possible now.
        """
        self._try_write = try_write

    def _accept(self, event: ServerEvent, data: bytes) -> bool:
        """Return whether an event is the next token; a duplicate is dropped."""
        if event.name == b"error":
            raise AttemptFailed(FailureReason.BROKEN, True)
        index = read_index(data)
        if index is not None and index < self._received:
            self._metrics.count("duplicate_tokens")
            return False
        if index is not None and index > self._received:
            raise AttemptFailed(FailureReason.GAP, True)
        now = self._clock.monotonic()
        if self._token_at is None:
            self._metrics.observe("first_token", now - self._started_at)
        else:
            self._metrics.observe("token_gap", now - self._token_at)
        if self._received == self._attempt_start:
            self._attempt.mark_first_byte()
        self._token_at = now
        self._received += 1
        self._idle_resumes = 0
        return True

    def _resume(
        self, failure: AttemptFailed
    ) -> Generator[bytes, None, RequestError | None]:
        """Start the next attempt; return the error if there can be none."""
        while True:
            try:
                self._delivery.note_failure(failure, is_resume=True)
                if failure.reason is not FailureReason.RECALLED:
                    self._pause()
                for attempt in self._delivery.open(self._received):
                    if attempt is None:
                        yield KEEPALIVE
                        continue
                    self._attempt = attempt
                    self._check_stream(attempt)
                    self._metrics.count("resumed_streams")
                    return None
            except AttemptFailed as next_failure:
                self._attempt.finish(choose_outcome(next_failure))
                failure = next_failure
            except RequestError as error:
                return error

    def _check_stream(self, attempt: Attempt) -> None:
        exchange = attempt.get_exchange()
        is_stream = exchange.get_header("Content-Type").startswith(EVENT_STREAM)
        if exchange.status != 200 or not is_stream:
            raise AttemptFailed(FailureReason.BROKEN, True)

    def _pause(self) -> None:
        """Wait before an attempt that follows one without any token."""
        if self._idle_resumes:
            pause_s = RESUME_PAUSE_S * 2 ** min(self._idle_resumes, 10)
            remaining = self._delivery.deadline - self._clock.monotonic()
            limit_s = min(RESUME_PAUSE_MAX_S, pause_s, max(0.0, remaining))
            self._clock.wait(threading.Event(), limit_s)
        self._idle_resumes += 1

    def _fail(self, error: RequestError) -> Iterator[bytes]:
        self._delivery.sent = True
        self._delivery.qualify(error)
        self._metrics.count("failed_streams")
        self._finish(SlotOutcome.FAILED, error)
        text = json.dumps(describe_error(error)).encode()
        yield b"event: error\n" + format_data(text)
        raise StreamCut(error.message)


__all__ = ["EVENT_STREAM", "StreamBody", "StreamCut"]
