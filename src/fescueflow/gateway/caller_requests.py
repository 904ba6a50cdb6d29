"""Requests of callers while they are read and until they end."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import logbook
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.receiver import FixedStreamReceiver

from fescueflow.core import BodyTooLarge, HeadTooLarge, Overloaded, RequestError
from fescueflow.gateway.application import make_error_response
from fescueflow.gateway.caller_bodies import BodyBuffer, BoundedChunks
from fescueflow.gateway.caller_memory import CallerMemory
from fescueflow.gateway.unanswered import Cause, UnansweredRequests
from fescueflow.metrics import Metrics
from fescueflow.platform import ATTEMPT_ID_VARIABLE
from fescueflow.routing import PROGRESS_BYTES, CallerBound, CallerLimits

# Above the limits that operators configure; in force before the configuration is known.
HEADER_BYTES_MAX = 65536
BODY_BYTES_MAX = 16 << 20
# The request line, which operators need not count as a header.
REQUEST_LINE_BYTES = 8192
# Bytes on the connection for each byte of a chunked body, and beyond them. Chunks of
# some ten bytes stay below.
CHUNKED_FACTOR = 2
CHUNKED_SLACK_BYTES = 1 << 20
# Memory for each byte of a head: the bytes, the parsed headers and the environment.
HEAD_COST = 3
# Memory for each byte of a body: its buffer, which grows by an eighth, and the request
# rendered for the upstream. In 1/8, so that the account stays exact.
BODY_COST_EIGHTHS = 17
RETRY_AFTER_MS = 1000
LINE_END = b"\r\n"
# The attempt's id among the headers that the server has read.
ATTEMPT_ID_KEY = ATTEMPT_ID_VARIABLE.removeprefix("HTTP_")
REASON_PHRASES = {
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}

log = logbook.Logger("server")


@dataclass(frozen=True)
class CallerRules:
    """What callers' requests are held against.

    ``get_limits`` returns the configuration's limits, ``None`` without one.
    """

    memory: CallerMemory
    get_limits: Callable[[], CallerLimits | None]
    metrics: Metrics

    def get_head_bytes(self) -> int:
        """Return the longest head in bytes."""
        limits = self.get_limits()
        if limits is None:
            return HEADER_BYTES_MAX
        return min(HEADER_BYTES_MAX, limits.header_bytes + REQUEST_LINE_BYTES)

    def get_body_bytes(self) -> int:
        """Return the largest body in bytes."""
        limits = self.get_limits()
        return min(BODY_BYTES_MAX, limits.body_bytes) if limits else BODY_BYTES_MAX

    def record(self, address: str, limit: CallerBound, held_bytes: int) -> None:
        """Count and log a caller outside the limits."""
        self.metrics.count("callers_outside", limit=limit.value)
        log.warning(
            "caller outside the limits",
            extra={
                "address": address,
                "limit": limit.value,
                "held_bytes": held_bytes,
                "all_held_bytes": self.memory.held_bytes,
            },
        )


class Refusal:
    """Answer to a request that is refused while it is read; it has not run."""

    def __init__(self, error: RequestError) -> None:
        self._error = error

    def to_response(self, _: str | None = None) -> tuple[str, Any, bytes]:
        """Return status line, headers and body."""
        response = make_error_response(self._error)
        status = f"{response.status} {REASON_PHRASES[response.status]}"
        return status, response.headers, bytes(response.body)  # type: ignore[arg-type]


class CallerParser(HTTPRequestParser):
    """Request of a caller, which notes how it ends.

    Attributes
    ----------
    address : str
        Address of the caller.
    is_running : bool
        Whether a worker thread answers it, which then finds how it ends.
    is_answered : bool
        Whether its whole answer is written or waits in the connection's buffers.
    read_at : float
        When the request had been read, on the monotonic clock in seconds.
    held_bytes : int
        Memory that it holds.
    line_ends : int
        Bytes of line ends before it.
    progress_at : float
        When it began or its body last grew by ``PROGRESS_BYTES``, on the same clock.
    """

    unanswered: UnansweredRequests
    rules: CallerRules
    is_running = False
    is_answered = False
    read_at = 0.0
    held_bytes = 0
    line_ends = 0
    # Of a request that is refused before its head is read.
    path = ""
    command = ""
    body_rcv: Any = None

    def __init__(self, adj: Any, address: str = "") -> None:
        super().__init__(adj)
        self.address = address
        self.progress_at = time.monotonic()
        # Size of the body at that time, ``None`` while the head is read.
        self._progress_bytes: int | None = None
        # The configuration's limit when the head had been read.
        self._body_bytes_max: int | None = None
        # The server's loop and a worker thread may find the end at the same time.
        self._settle_lock = threading.Lock()
        self._is_settled = False

    def __del__(self) -> None:
        """Give back what a request that was dropped unread still held."""
        self._hold(0)

    def received(self, data: bytes) -> int:
        """Read a part of the request; return the number of bytes used.

        Notes
        -----
        The library takes two line ends for an empty request, and would make a parser
        for each of them.
        """
        if self.is_blank and not self.completed:
            rest = data.lstrip(LINE_END)
            self.line_ends += len(data) - len(rest)
            if not rest:
                return len(data)
            return len(data) - len(rest) + self._receive(rest)
        return self._receive(data)

    @property
    def is_blank(self) -> bool:
        """Whether only line ends have been received."""
        return not self.header_bytes_received

    def _receive(self, data: bytes) -> int:
        count: int = super().received(data)
        if self.error is None:
            self._check_size()
        self._hold(self._measure())
        if not self.completed:
            self._note_progress()
            return count
        self.read_at = time.monotonic()
        # The library would go on with a request that is complete without a body.
        self.expect_continue = False
        if self.error is None:
            if not self.rules.memory.is_exhausted:
                return count
            self.refuse(Overloaded("too many requests", None, RETRY_AFTER_MS))
            self.rules.record(self.address, CallerBound.MEMORY, 0)
        # What follows a request with an error is not read as another one.
        return len(data)

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head; prepare to receive the body.

        Raises
        ------
        ParsingError
            If the head is malformed.
        """
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            raise ParsingError("Invalid head") from error
        if self.version != "1.1" and "TRANSFER_ENCODING" in self.headers:
            # The library takes such a request for one without a body, and the body for
            # the next request.
            raise ParsingError("Transfer-Encoding needs HTTP/1.1")
        if self.chunked:
            self.body_rcv = BoundedChunks(BodyBuffer())
        elif self.body_rcv is not None:
            self.body_rcv = FixedStreamReceiver(self.content_length, BodyBuffer())

    def refuse(self, error: RequestError) -> None:
        """End the request with an error before it runs, and release its bytes."""
        if not self.headers_finished:
            self.version = "1.1"
        self.error = Refusal(error)
        self.completed = True
        self.expect_continue = False
        self._is_settled = True
        self._release()

    def close(self) -> None:
        """Release the body of a request that is answered, or dropped unanswered."""
        if self.completed and not self.empty and not self.is_answered:
            self.settle(Cause.DROPPED, "the connection closes after an earlier answer")
        self._release()

    def settle(self, cause: Cause, why: str) -> None:
        """Record the end of the request without a complete answer, once."""
        with self._settle_lock:
            if self._is_settled:
                return
            self._is_settled = True
        self.unanswered.record(
            attempt_id=self.get_attempt_id(),
            path=str(self.path),
            cause=cause,
            why=why,
            read_at=self.read_at,
        )

    def get_attempt_id(self) -> str:
        """Return the id that the caller gave the request, empty without one."""
        return str(self.headers.get(ATTEMPT_ID_KEY, ""))

    def _check_size(self) -> None:
        """Refuse a request whose head or body is too large."""
        if self._body_bytes_max is None:
            head_bytes = self.rules.get_head_bytes()
            if self.header_bytes_received > head_bytes:
                self._refuse_size(HeadTooLarge, CallerBound.HEAD_BYTES, head_bytes)
                return
            if self.body_rcv is None:
                return
            self._body_bytes_max = self.rules.get_body_bytes()
        body_bytes = self._body_bytes_max
        is_over = self.content_length > body_bytes
        if self.chunked:
            sent_max = body_bytes * CHUNKED_FACTOR + CHUNKED_SLACK_BYTES
            is_over = (
                self.body_rcv.expected_bytes > body_bytes
                or self.body_bytes_received > sent_max
            )
        if is_over:
            self._refuse_size(BodyTooLarge, CallerBound.BODY_BYTES, body_bytes)

    def _refuse_size(
        self, kind: type[RequestError], limit: CallerBound, size: int
    ) -> None:
        held = self.held_bytes
        self.refuse(kind(f"more than {size} bytes"))
        self.rules.record(self.address, limit, held)

    def _measure(self) -> int:
        size: int = self.header_bytes_received * HEAD_COST
        if self.body_rcv is not None:
            size += len(self.body_rcv) * BODY_COST_EIGHTHS // 8
            if self.chunked:
                size += self.body_rcv.pending_bytes
        return size

    def _note_progress(self) -> None:
        if not self.headers_finished:
            return
        size: int = self.body_bytes_received
        last = self._progress_bytes
        if last is None or size - last >= PROGRESS_BYTES:
            self.progress_at = time.monotonic()
            self._progress_bytes = size

    def _hold(self, size: int) -> None:
        if size != self.held_bytes:
            self.rules.memory.move(self.held_bytes, size)
            self.held_bytes = size

    def _release(self) -> None:
        self.header_plus = b""
        if self.body_rcv is not None:
            self.body_rcv.getbuf().close()
        if self.error is not None:
            self.body_rcv = None
        self._hold(0)


__all__ = ["CallerParser", "CallerRules"]
