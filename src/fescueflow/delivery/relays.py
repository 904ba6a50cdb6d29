"""Tokens of one attempt on their way to the caller."""

import socket
from collections.abc import Callable

from fescueflow.core import Clock
from fescueflow.delivery.events import DONE, EventParser, ServerEvent, format_data
from fescueflow.delivery.exchange import AttemptFailed, UpstreamExchange
from fescueflow.delivery.loop import StreamSource

KEEPALIVE = b": keepalive\n\n"

# Writes to the caller without waiting; false if that is not possible now.
TryWrite = Callable[[bytes], bool]
# Returns whether an event with data is the next token; raises AttemptFailed.
Accept = Callable[[ServerEvent, bytes], bool]


class AttemptRelay(StreamSource):
    """Checks the events of an attempt and writes them to the caller.

    Parameters
    ----------
    exchange : UpstreamExchange
    accept : callable
    try_write : callable
    clock : Clock

    Attributes
    ----------
    output : bytes
        Checked events that are not written yet.
    ended : bool
        Whether ``[DONE]`` has come.
    failure : AttemptFailed or None
        What ended the attempt, after ``output``.
    """

    def __init__(
        self,
        exchange: UpstreamExchange,
        accept: Accept,
        try_write: TryWrite | None,
        clock: Clock,
    ) -> None:
        self.output = b""
        self.ended = False
        self.failure: AttemptFailed | None = None
        self._exchange = exchange
        self._accept = accept
        self._try_write = try_write
        self._clock = clock
        self._parser = EventParser()
        self._waits_since = 0.0

    def can_poll(self) -> bool:
        """Return whether the loop can go on with the attempt."""
        return self._try_write is not None and self._exchange.can_poll()

    def start_polling(self) -> None:
        """Start the time limit of the next wait for bytes."""
        self._waits_since = self._clock.monotonic()

    def take(self, part: bytes) -> None:
        """Check the events that a part completes, and add them to the output."""
        outputs = [self.output] if self.output else []
        try:
            for event in self._parser.feed(part):
                if event.data is None:
                    outputs.append(KEEPALIVE)
                elif event.data == DONE:
                    self.ended = True
                    break
                elif self._accept(event, event.data):
                    outputs.append(format_data(event.data))
        except AttemptFailed as failure:
            self.failure = failure
        self.output = b"".join(outputs)

    def take_output(self) -> bytes:
        """Return the output, which counts as written from now on."""
        output, self.output = self.output, b""
        return output

    def get_socket(self) -> socket.socket:
        """Return the connection to the upstream."""
        return self._exchange.get_socket()

    def receive(self) -> bool:
        """Relay what has arrived; return whether the loop can go on."""
        try:
            content = self._exchange.poll_body()
        except AttemptFailed as failure:
            self.failure = failure
            return False
        if content is None:
            return False
        self._waits_since = self._clock.monotonic()
        if content:
            self.take(content)
        if self.ended or self.failure is not None:
            return False
        if self.output:
            if self._try_write is None or not self._try_write(self.output):
                return False
            self.output = b""
        return True

    def check_time(self) -> bool:
        """Return whether the wait for bytes is within its limits."""
        self.failure = self._exchange.find_timeout(self._waits_since)
        return self.failure is None


__all__ = ["KEEPALIVE", "AttemptRelay", "TryWrite"]
