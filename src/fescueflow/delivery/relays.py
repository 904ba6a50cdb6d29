"""Relay of the events of one attempt to the caller."""

import socket
from collections.abc import Callable

from fescueflow.core import Clock
from fescueflow.delivery.events import DONE, EventParser, ServerEvent, format_data_event
from fescueflow.delivery.exchange import AttemptFailed, UpstreamExchange
from fescueflow.delivery.loop import StreamSource

KEEPALIVE_COMMENT = b": keepalive\n\n"

# Writes to the caller without blocking; returns false if that is not possible.
TryWrite = Callable[[bytes], bool]
# Returns whether an event with data is the next token, or raises AttemptFailed.
AcceptToken = Callable[[ServerEvent, bytes], bool]


class AttemptRelay(StreamSource):
    """Checks the events of an attempt and relays them to the caller.

    Parameters
    ----------
    exchange : UpstreamExchange
    accept_token : callable
        Returns whether an event is relayed; raises ``AttemptFailed`` if it is
        invalid.
    try_write : callable or None
        Writes to the caller without blocking; returns false if that is not
        possible. Without it the attempt is never read by the stream loop.
    clock : Clock

    Attributes
    ----------
    output : bytes
        Checked events that have not been written yet.
    ended : bool
        Whether ``[DONE]`` has arrived.
    failure : AttemptFailed or None
        Failure that followed ``output``.
    """

    def __init__(
        self,
        exchange: UpstreamExchange,
        accept_token: AcceptToken,
        try_write: TryWrite | None,
        clock: Clock,
    ) -> None:
        self.output = b""
        self.ended = False
        self.failure: AttemptFailed | None = None
        self._exchange = exchange
        self._accept_token = accept_token
        self._try_write = try_write
        self._clock = clock
        self._parser = EventParser()
        self._wait_started_at = 0.0

    def can_poll(self) -> bool:
        """Return whether the stream loop can read the rest of the attempt."""
        return self._try_write is not None and self._exchange.can_poll()

    def start_polling(self) -> None:
        """Start measuring the wait for bytes."""
        self._wait_started_at = self._clock.monotonic()

    def feed(self, chunk: bytes) -> None:
        """Check the events that a chunk completes, and add them to the output."""
        outputs = [self.output] if self.output else []
        try:
            for event in self._parser.feed(chunk):
                if event.data is None:
                    outputs.append(KEEPALIVE_COMMENT)
                elif event.data == DONE:
                    self.ended = True
                    break
                elif self._accept_token(event, event.data):
                    outputs.append(format_data_event(event.data))
        except AttemptFailed as failure:
            self.failure = failure
        self.output = b"".join(outputs)

    def take_output(self) -> bytes:
        """Return the output and clear it; the caller of this method writes it."""
        output, self.output = self.output, b""
        return output

    def get_socket(self) -> socket.socket:
        """Return the socket of the connection to the upstream."""
        return self._exchange.get_socket()

    def receive(self) -> bool:
        """Relay what has arrived; return whether the stream stays in the loop."""
        try:
            content = self._exchange.poll_body()
        except AttemptFailed as failure:
            self.failure = failure
            return False
        if content is None:
            return False
        self._wait_started_at = self._clock.monotonic()
        if content:
            self.feed(content)
        if self.ended or self.failure is not None:
            return False
        if self.output:
            if self._try_write is None or not self._try_write(self.output):
                return False
            self.output = b""
        return True

    def check_timeout(self) -> bool:
        """Return whether the wait for bytes is within its limits."""
        self.failure = self._exchange.get_timeout_failure(self._wait_started_at)
        return self.failure is None


__all__ = ["KEEPALIVE_COMMENT", "AttemptRelay", "TryWrite"]
