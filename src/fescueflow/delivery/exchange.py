"""One request to an upstream on one connection."""

import contextlib
import http.client
import socket
from collections.abc import Iterator
from enum import Enum

from fescueflow.core import Clock, FescueflowError, InvalidRequest
from fescueflow.delivery.calls import Headers
from fescueflow.http1 import ChunkDecoder, TimedConnection

READ_BYTES = 65536
BODY_BYTES_MAX = 16 << 20
REFUSED_STATUS = 503


class FailureReason(Enum):
    """Why an attempt failed."""

    CONNECT = "connect"
    CONNECTION_REFUSED = "connection_refused"
    LATE = "late"
    SILENT = "silent"
    DEADLINE = "deadline"
    CROSSED = "crossed"
    TRUNCATED = "truncated"
    REFUSED = "refused"
    BROKEN = "broken"
    GAP = "gap"
    LOOP_FAILED = "loop_failed"
    RECALLED = "recalled"


class AttemptFailed(FescueflowError):
    """An attempt at an upstream failed.

    Parameters
    ----------
    reason : FailureReason
    sent : bool
        Whether any byte of the request may have reached the upstream.
    """

    def __init__(self, reason: FailureReason, sent: bool) -> None:
        super().__init__(f"attempt failed: {reason.value}")
        self.reason = reason
        self.sent = sent


class UpstreamExchange:
    """Writes one request and reads its response.

    Parameters
    ----------
    connection : socket.socket
        Used for this exchange only.
    address : str
    clock : Clock
    deadline : float
    silence_s : float
        Limit for each wait for bytes.
    """

    def __init__(
        self,
        *,
        connection: socket.socket,
        address: str,
        clock: Clock,
        deadline: float,
        silence_s: float,
    ) -> None:
        self.sent = False
        self.status = 0
        self.headers: Headers = []
        self._socket = connection
        self._clock = clock
        self._deadline = deadline
        self._silence_s = silence_s
        self._wait_s: float | None = None
        self._decoder = ChunkDecoder()
        self._is_buffer_empty = False
        self._key = ""
        self._method = ""
        self._body = b""
        self._writer = http.client.HTTPConnection(address)
        self._writer.auto_open = 0
        self._writer.sock = connection
        self._response: http.client.HTTPResponse | None = None

    def prepare(
        self, *, method: str, target: str, headers: Headers, body: bytes, key: str
    ) -> None:
        """Build the request without sending a byte.

        Raises
        ------
        InvalidRequest
            If the method, target or a header can't be written.
        """
        self._key, self._method, self._body = key, method, body
        try:
            self._writer.putrequest(method, target, skip_accept_encoding=True)
            for name, value in headers:
                self._writer.putheader(name, value)
            self._writer.putheader("X-Request-Id", key)
            self._writer.putheader("Content-Length", str(len(body)))
            self._writer.putheader("Connection", "close")
        except (ValueError, http.client.HTTPException) as error:
            raise InvalidRequest("the request can't be passed on") from error

    def transmit(self) -> None:
        """Send the request."""
        self.sent = True
        with self._map_failures():
            self._limit_wait()
            self._writer.endheaders(self._body)

    def read_head(self) -> None:
        """Read status and headers, and check that they answer this request."""
        with self._map_failures():
            self._limit_wait()
            # An upstream in trouble may send a head without end, byte by byte.
            timed = TimedConnection(
                self._socket, self._deadline, self._silence_s, self._clock.monotonic
            )
            response = http.client.HTTPResponse(
                timed,  # type: ignore[arg-type]
                method=self._method,
            )
            self._response = response
            response.begin()
        self._wait_s = None
        self.status = response.status
        self.headers = response.getheaders()
        echo = response.getheader("X-Request-Id")
        if self.status == REFUSED_STATUS and echo in {None, self._key}:
            raise AttemptFailed(FailureReason.REFUSED, True)
        if not self.matches_request():
            raise AttemptFailed(FailureReason.CROSSED, True)
        if response.length is None and not response.chunked:
            raise AttemptFailed(FailureReason.TRUNCATED, True)

    def matches_request(self) -> bool:
        """Return whether the response names this request."""
        response = self._response
        return response is not None and response.getheader("X-Request-Id") == self._key

    def get_header(self, name: str) -> str:
        """Return a header of the response, empty if it is missing."""
        return (self._response and self._response.getheader(name)) or ""

    def iterate_body(self) -> Iterator[bytes]:
        """Yield the body as it comes.

        Raises
        ------
        AttemptFailed
            If the body ends early or stays silent.
        """
        response = self._response
        if response is None:
            raise AttemptFailed(FailureReason.BROKEN, self.sent)
        with self._map_failures():
            if self._is_chunked():
                while (content := self._read_chunks(response)) is not None:
                    yield content
                return
            while True:
                self._limit_wait()
                data = response.read1(READ_BYTES)
                if not data:
                    break
                yield data
        if response.length:
            raise AttemptFailed(FailureReason.TRUNCATED, True)

    def can_poll(self) -> bool:
        """Return whether the body can be read by ``poll_body`` from here on."""
        return self._is_chunked() and self._is_buffer_empty

    def get_socket(self) -> socket.socket:
        """Return the connection, to wait for bytes with."""
        return self._socket

    def poll_body(self) -> bytes | None:
        """Return the content that has arrived, possibly empty, without waiting.

        Returns
        -------
        bytes or None
            ``None`` after the end of the body.

        Raises
        ------
        AttemptFailed
        BlockingIOError
            If nothing has arrived.
        """
        if self._wait_s != 0.0:
            self._socket.settimeout(0.0)
            self._wait_s = 0.0
        try:
            if self._decoder.finished:
                return None
            return self._decode(self._socket.recv(READ_BYTES))
        except BlockingIOError:
            raise
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._translate(error) from error

    def find_timeout(self, waits_since: float) -> AttemptFailed | None:
        """Return the failure of a wait for bytes that is over its limit."""
        now = self._clock.monotonic()
        if now >= self._deadline:
            return AttemptFailed(FailureReason.DEADLINE, self.sent)
        if now >= waits_since + self._silence_s:
            return AttemptFailed(FailureReason.SILENT, self.sent)
        return None

    def _is_chunked(self) -> bool:
        response = self._response
        return response is not None and response.chunked and self._method != "HEAD"

    def _read_chunks(self, response: http.client.HTTPResponse) -> bytes | None:
        """Wait for content; return ``None`` after the last chunk."""
        while not self._decoder.finished:
            self._limit_wait()
            if self._is_buffer_empty:
                data = self._socket.recv(READ_BYTES)
            else:
                # A read of at least the buffer's size empties the buffer of the
                # head's reader and does not fill it again.
                data = response.fp.read1(READ_BYTES)
                self._is_buffer_empty = True
                # The reader of the head sets limits of its own.
                self._wait_s = None
            if content := self._decode(data):
                return content
        return None

    def _decode(self, data: bytes) -> bytes:
        if not data:
            raise http.client.IncompleteRead(b"")
        return self._decoder.decode(data)

    def read_body(self) -> bytes:
        """Return the whole body."""
        parts: list[bytes] = []
        size = 0
        for data in self.iterate_body():
            size += len(data)
            if size > BODY_BYTES_MAX:
                raise AttemptFailed(FailureReason.BROKEN, True)
            parts.append(data)
        return b"".join(parts)

    def interrupt(self, at_once: bool) -> None:
        """Cancel the upstream's work; the task that reads sees the end.

        Parameters
        ----------
        at_once : bool
            Whether to end the reading side too. Otherwise the upstream closes
            the connection when it has cancelled, and what it sent before is
            still read.
        """
        how = socket.SHUT_RDWR if at_once else socket.SHUT_WR
        with contextlib.suppress(OSError):
            self._socket.shutdown(how)

    def close(self) -> None:
        """Close the connection; the upstream sees that the request is cancelled."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        if self._response is not None:
            self._response.close()
        self._writer.close()
        with contextlib.suppress(OSError):
            self._socket.close()

    def _limit_wait(self) -> None:
        remaining = self._deadline - self._clock.monotonic()
        if remaining <= 0:
            raise AttemptFailed(FailureReason.DEADLINE, self.sent)
        wait_s = min(self._silence_s, remaining)
        # Each change is a system call.
        if wait_s != self._wait_s:
            self._socket.settimeout(wait_s)
            self._wait_s = wait_s

    @contextlib.contextmanager
    def _map_failures(self) -> Iterator[None]:
        try:
            yield
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._translate(error) from error

    def _translate(self, error: Exception) -> AttemptFailed:
        """Return the failure that an error of the connection stands for."""
        reason = FailureReason.BROKEN
        if isinstance(error, TimeoutError):
            late = self._clock.monotonic() >= self._deadline
            reason = FailureReason.DEADLINE if late else FailureReason.SILENT
        elif isinstance(error, http.client.IncompleteRead):
            reason = FailureReason.TRUNCATED
        return AttemptFailed(reason, self.sent)


__all__ = ["AttemptFailed", "FailureReason", "UpstreamExchange"]
