"""HTTP exchange with an upstream: one request and its response."""

import contextlib
import http.client
import socket
from collections.abc import Iterator
from enum import Enum

from fescueflow.core import Clock, FescueflowError, InvalidRequest
from fescueflow.delivery.calls import Headers
from fescueflow.event_streams import find_body_cut
from fescueflow.http1 import ChunkDecoder, TimedConnection

READ_BYTES = 65536
BODY_BYTES_MAX = 16 << 20
REFUSAL_STATUS = 503
UNSUCCESSFUL_STATUS_MIN = 300


class FailureReason(Enum):
    """Why an attempt failed.

    Attributes
    ----------
    CONNECT
        No connection was established.
    CONNECTION_REFUSED
        The upstream's host refused the connection.
    LATE
        The slot or the deadline expired before the first byte was sent.
    SILENT
        The upstream sent nothing for longer than the read timeout.
    DEADLINE
        The deadline passed during the exchange.
    CROSSED
        The response names another request.
    TRUNCATED
        The response is incomplete, or its end can't be determined.
    REFUSED
        The upstream answered 503.
    BROKEN
        The connection failed, or the response is malformed or too large.
    GAP
        A token of a stream is missing.
    LOOP_FAILED
        The stream loop ended by an error.
    RECALLED
        The home instance of the upstream recalled the slot.
    """

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
        Host and port of the upstream.
    clock : Clock
    deadline : float
    read_timeout_s : float
        Limit for each wait for bytes.
    """

    def __init__(
        self,
        *,
        connection: socket.socket,
        address: str,
        clock: Clock,
        deadline: float,
        read_timeout_s: float,
    ) -> None:
        self.sent = False
        self.status = 0
        self.headers: Headers = []
        self._socket = connection
        self._clock = clock
        self._deadline = deadline
        self._read_timeout_s = read_timeout_s
        self._socket_timeout_s: float | None = None
        self._decoder = ChunkDecoder()
        self._is_head_buffer_empty = False
        self._request_key = ""
        self._method = ""
        self._body = b""
        self._http_connection = http.client.HTTPConnection(address)
        self._http_connection.auto_open = 0
        self._http_connection.sock = connection
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
        self._request_key, self._method, self._body = key, method, body
        try:
            self._http_connection.putrequest(method, target, skip_accept_encoding=True)
            for name, value in headers:
                self._http_connection.putheader(name, value)
            self._http_connection.putheader("X-Request-Id", key)
            self._http_connection.putheader("Content-Length", str(len(body)))
            self._http_connection.putheader("Connection", "close")
        except (ValueError, http.client.HTTPException) as error:
            raise InvalidRequest("the request can't be forwarded") from error

    def transmit(self) -> None:
        """Send the request."""
        self.sent = True
        with self._translate_errors():
            self._set_socket_timeout()
            self._http_connection.endheaders(self._body)

    def read_head(self) -> None:
        """Read status and headers, and check that they belong to this request.

        Raises
        ------
        AttemptFailed
        """
        with self._translate_errors():
            self._set_socket_timeout()
            # A faulty upstream may send an endless head, byte by byte.
            timed_connection = TimedConnection(
                self._socket,
                self._deadline,
                self._read_timeout_s,
                self._clock.monotonic,
            )
            response = http.client.HTTPResponse(
                timed_connection,  # type: ignore[arg-type]
                method=self._method,
            )
            self._response = response
            response.begin()
            timed_connection.check_head()
        self._socket_timeout_s = None
        self.status = response.status
        self.headers = response.getheaders()
        echo = response.getheader("X-Request-Id")
        if self.status == REFUSAL_STATUS and echo in {None, self._request_key}:
            raise AttemptFailed(FailureReason.REFUSED, True)
        if not self.matches_request():
            raise AttemptFailed(FailureReason.CROSSED, True)
        if response.length is None and not response.chunked:
            raise AttemptFailed(FailureReason.TRUNCATED, True)

    def matches_request(self) -> bool:
        """Return whether the response names this request."""
        response = self._response
        return (
            response is not None
            and response.getheader("X-Request-Id") == self._request_key
        )

    def get_header(self, name: str) -> str:
        """Return a header of the response, or an empty string if it is missing."""
        return (self._response and self._response.getheader(name)) or ""

    def iterate_body(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        AttemptFailed
            If the body ends early or a read takes longer than the read timeout.
        """
        response = self._response
        if response is None:
            raise AttemptFailed(FailureReason.BROKEN, self.sent)
        with self._translate_errors():
            if self._is_chunked():
                while (content := self._read_chunks(response)) is not None:
                    yield content
                return
            while True:
                self._set_socket_timeout()
                data = response.read1(READ_BYTES)
                if not data:
                    break
                yield data
        if response.length:
            raise AttemptFailed(FailureReason.TRUNCATED, True)

    def can_poll(self) -> bool:
        """Return whether ``poll_body`` can read the rest of the body."""
        return self._is_chunked() and self._is_head_buffer_empty

    def get_socket(self) -> socket.socket:
        """Return the socket, for use with a selector."""
        return self._socket

    def poll_body(self) -> bytes | None:
        """Return the content that has arrived, which may be empty; never block.

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
        if self._socket_timeout_s != 0.0:
            self._socket.settimeout(0.0)
            self._socket_timeout_s = 0.0
        try:
            if self._decoder.finished:
                return None
            return self._decode(self._socket.recv(READ_BYTES))
        except BlockingIOError:
            raise
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._to_attempt_failure(error) from error

    def get_timeout_failure(self, wait_started_at: float) -> AttemptFailed | None:
        """Return the failure of a wait for bytes that has exceeded its limit.

        Parameters
        ----------
        wait_started_at : float
            When the wait began.

        Returns
        -------
        AttemptFailed or None
            ``None`` if the wait is within its limits.
        """
        now = self._clock.monotonic()
        if now >= self._deadline:
            return AttemptFailed(FailureReason.DEADLINE, self.sent)
        if now >= wait_started_at + self._read_timeout_s:
            return AttemptFailed(FailureReason.SILENT, self.sent)
        return None

    def _is_chunked(self) -> bool:
        response = self._response
        return response is not None and response.chunked and self._method != "HEAD"

    def _read_chunks(self, response: http.client.HTTPResponse) -> bytes | None:
        """Wait for content; return ``None`` at the end of the body."""
        while not self._decoder.finished:
            self._set_socket_timeout()
            if self._is_head_buffer_empty:
                data = self._socket.recv(READ_BYTES)
            else:
                # A read of at least the buffer's size drains the buffer that was
                # used for the head and does not refill it.
                data = response.fp.read1(READ_BYTES)
                self._is_head_buffer_empty = True
                # Reading the head set other timeouts on the socket.
                self._socket_timeout_s = None
            if content := self._decode(data):
                return content
        return None

    def _decode(self, data: bytes) -> bytes:
        if not data:
            raise http.client.IncompleteRead(b"")
        return self._decoder.decode(data)

    def read_body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        AttemptFailed
            If the body is incomplete or larger than ``BODY_BYTES_MAX``. An event stream
            that ends inside an event is incomplete, however its body ends.
        """
        parts: list[bytes] = []
        size = 0
        for data in self.iterate_body():
            size += len(data)
            if size > BODY_BYTES_MAX:
                raise AttemptFailed(FailureReason.BROKEN, True)
            parts.append(data)
        body = b"".join(parts)
        is_success = self.status < UNSUCCESSFUL_STATUS_MIN
        if is_success and find_body_cut(body, self.get_header("Content-Type")):
            raise AttemptFailed(FailureReason.TRUNCATED, True)
        return body

    def interrupt(self, at_once: bool) -> None:
        """Cancel the request; the thread that reads sees the end of the stream.

        Parameters
        ----------
        at_once : bool
            Whether to shut down the reading side too. Otherwise the upstream
            closes the connection once it has cancelled the request, and the
            data that it sent before is still read.
        """
        how = socket.SHUT_RDWR if at_once else socket.SHUT_WR
        with contextlib.suppress(OSError):
            self._socket.shutdown(how)

    def close(self) -> None:
        """Close the connection, which cancels an unfinished request."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        if self._response is not None:
            self._response.close()
        self._http_connection.close()
        with contextlib.suppress(OSError):
            self._socket.close()

    def _set_socket_timeout(self) -> None:
        remaining = self._deadline - self._clock.monotonic()
        if remaining <= 0:
            raise AttemptFailed(FailureReason.DEADLINE, self.sent)
        timeout_s = min(self._read_timeout_s, remaining)
        # Each call of settimeout is a system call.
        if timeout_s != self._socket_timeout_s:
            self._socket.settimeout(timeout_s)
            self._socket_timeout_s = timeout_s

    @contextlib.contextmanager
    def _translate_errors(self) -> Iterator[None]:
        try:
            yield
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._to_attempt_failure(error) from error

    def _to_attempt_failure(self, error: Exception) -> AttemptFailed:
        """Return the failure that corresponds to an error of the connection."""
        reason = FailureReason.BROKEN
        if isinstance(error, TimeoutError):
            is_past_deadline = self._clock.monotonic() >= self._deadline
            reason = (
                FailureReason.DEADLINE if is_past_deadline else FailureReason.SILENT
            )
        elif isinstance(error, http.client.IncompleteRead):
            reason = FailureReason.TRUNCATED
        return AttemptFailed(reason, self.sent)


__all__ = ["AttemptFailed", "FailureReason", "UpstreamExchange"]
