"""HTTP exchange with an upstream: one request and its response.

Load pattern: an upstream responds while the request is still being sent, then closes
or resets the connection. A reset is reported once, to a read or to a write; after one
that a write has met, the connection ends for reads as if the upstream had closed it.
"""

import http.client
import re
import select
import socket
from collections.abc import Callable, Iterator

from fescueflow.core import Clock, FescueflowError, InvalidRequest
from fescueflow.gateway.buffers import AnswerBuffer, BufferFull
from fescueflow.gateway.connections import UpstreamConnection
from fescueflow.http1 import ChunkDecoder, EndMark, HeadReader
from fescueflow.platform import ATTEMPT_ID_HEADER, Headers
from fescueflow.routing import AttemptFailure, CallerDisconnected

READ_SIZE_BYTES = 65536
# Work for a caller that disconnected must end within 0.5 s.
CALLER_CHECK_INTERVAL_S = 0.2
# Time for the rest of a head after its first bytes: TCP resends a lost packet sooner.
HEAD_REMAINDER_TIMEOUT_S = 1.0
# Time after a deadline for which data that is ready is still read, so that a received
# response is delivered; less than the 0.25 s for which a request may be held beyond its
# route's timeout.
OVERRUN_MAX_S = 0.2
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=(\d+)")
BODY_BYTES_MAX = 16 << 20
# From this status on, an upstream that responds early does not want the rest of the
# request (RFC 9112, section 9.5); sending it could destroy the response on its way.
UNSUCCESSFUL_STATUS_MIN = 300


class ExchangeFailed(FescueflowError):
    """An attempt produced no usable response."""

    def __init__(self, kind: AttemptFailure, reason: str) -> None:
        super().__init__(f"{kind.value}: {reason}")
        self.kind = kind
        self.reason = reason

    @property
    def may_be_crash(self) -> bool:
        """Whether the upstream's process may have ended."""
        return False


class ConnectionLost(ExchangeFailed):
    """The connection ended or was reset before the end of the response."""

    def __init__(self, reason: str) -> None:
        super().__init__(AttemptFailure.BROKEN, reason)

    @property
    def may_be_crash(self) -> bool:
        """Whether the upstream's process may have ended."""
        return True


class OtherResponded(FescueflowError):
    """The connection that is watched beside the exchange has data, or has ended."""


class BufferSocket:
    """Socket substitute that collects the data sent."""

    def __init__(self) -> None:
        self.data = b""

    def sendall(self, data: bytes) -> None:
        """Append data."""
        self.data += data


def render_request(
    *, address: str, method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Return the bytes of a request.

    Raises
    ------
    InvalidRequest
        If the method, the target or a header is not valid in HTTP.
    """
    buffer = BufferSocket()
    writer = http.client.HTTPConnection(address)
    writer.auto_open = 0
    writer.sock = buffer
    try:
        writer.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            writer.putheader(name, value)
        if body or method not in {"GET", "HEAD", "DELETE"}:
            writer.putheader("Content-Length", str(len(body)))
        writer.endheaders(body or None)
    except (ValueError, http.client.HTTPException) as error:
        raise InvalidRequest("the request can't be forwarded") from error
    return buffer.data


class Exchange:
    """Sends one request on a connection and reads the response.

    Parameters
    ----------
    connection : UpstreamConnection
    clock : Clock
    is_caller_disconnected : callable
    """

    def __init__(
        self,
        connection: UpstreamConnection,
        clock: Clock,
        is_caller_disconnected: Callable[[], bool],
    ) -> None:
        self.status = 0
        self.headers: Headers = []
        self.is_complete = False
        self.method: str | None = None
        self._connection = connection
        self._clock = clock
        self._is_caller_disconnected = is_caller_disconnected
        self._socket = connection.socket
        self._poll = select.poll()
        self._poll.register(self._socket, select.POLLIN)
        self._caller_checked_at = clock.monotonic()
        # When a deadline was found to have passed while data still arrived.
        self._overrun_since: float | None = None
        self._watched: Exchange | None = None
        self._head_reader: HeadReader | None = None
        # Bytes of the body that arrived with the head.
        self._early_body = b""
        # Rest of the request; ``None`` before it is sent.
        self._unsent: memoryview | None = None
        self._send_error: OSError | None = None
        self._response: http.client.HTTPResponse | None = None
        self._decoder: ChunkDecoder | None = None
        self._remaining_bytes: int | None = None
        self._has_trailing_bytes = False

    def send_request(self, data: bytes, deadline: float) -> None:
        """Send the request; return early if the upstream responds before its end.

        Notes
        -----
        The rest is sent while the response is read, as the upstream may need it: after
        an interim response, or for a success that it began early.

        Raises
        ------
        ExchangeFailed
            If the deadline passes.
        CallerDisconnected
            If the caller disconnects.
        """
        self._unsent = memoryview(data)
        self._socket.settimeout(0.0)
        self._send_more()
        while self._unsent and self._send_error is None:
            ready = self._poll.poll(CALLER_CHECK_INTERVAL_S * 1000)
            if any(event & ~select.POLLOUT for _, event in ready):
                return
            self._check_time(deadline)
            self._send_more()

    def read_head(self, deadline: float, attempt_id: str, head_deadline: float) -> None:
        """Read status and headers, and check that they belong to this request.

        Parameters
        ----------
        deadline : float
            Deadline for the first byte.
        attempt_id : str
        head_deadline : float
            Deadline for the whole head.

        Raises
        ------
        ExchangeFailed
            If the head is late, malformed or for another request. After one that is
            late, the call can be repeated.
        OtherResponded
            If data arrives on the watched exchange.
        CallerDisconnected
            If the caller disconnects.
        """
        self._wait(deadline)
        remainder_deadline = min(
            head_deadline,
            max(deadline, self._clock.monotonic() + HEAD_REMAINDER_TIMEOUT_S),
        )
        response = self._response = self._receive_head(remainder_deadline)
        self.status = response.status
        self.headers = response.getheaders()
        if self.status >= UNSUCCESSFUL_STATUS_MIN:
            self._stop_sending()
        echo = response.getheader(ATTEMPT_ID_HEADER)
        if echo is None and not self._connection.is_new:
            # It may be a late copy of the response to an earlier request.
            raise ExchangeFailed(AttemptFailure.BROKEN, "response without an ID")
        if echo is not None and echo != attempt_id:
            raise ExchangeFailed(AttemptFailure.BROKEN, "response to another request")
        # Responses without a body, such as those to HEAD, have length 0.
        if response.chunked and response.length is None:
            self._decoder = ChunkDecoder()
        else:
            self._remaining_bytes = response.length
            self.is_complete = self._remaining_bytes == 0

    def get_header(self, name: str) -> str | None:
        """Return a header of the response."""
        return self._response.getheader(name) if self._response else None

    def watch(self, other: "Exchange") -> None:
        """Also wait for data of another exchange, until ``unwatch`` is called."""
        self._watched = other
        self._poll.register(other._socket, select.POLLIN)

    def unwatch(self) -> None:
        """Wait for data of this exchange only; called before the other is closed."""
        if self._watched is not None:
            self._poll.unregister(self._watched._socket)
            self._watched = None

    def is_cut(self) -> bool:
        """Return whether the connection has ended before the end of the response.

        Notes
        -----
        The end of a connection may be that of a body without a length or chunks, unless
        a write has met a reset or a part of the request was not taken.
        """
        try:
            if self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return False
        except BlockingIOError:
            return False
        except OSError:
            return True
        is_marked = self.end_mark is not EndMark.CONNECTION
        is_response_cut = self._is_reset or self._is_request_cut
        return self._response is None or is_marked or is_response_cut

    def iterate_parts(
        self, deadline: float, get_limit: Callable[[], float] | None = None
    ) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Parameters
        ----------
        deadline : float
        get_limit : callable, optional
            Returns the time until which the next data is awaited, if that is earlier
            than the deadline.

        Raises
        ------
        ExchangeFailed
            If the body ends early or no data arrives in time. After data that is late,
            the call can be repeated.
        CallerDisconnected
            If the caller disconnects.
        """
        if self._response is None:
            raise ExchangeFailed(AttemptFailure.BROKEN, "no response head")
        early_body, self._early_body = self._early_body, b""
        if early_body:
            yield from self._decode(early_body)
        while not self.is_complete:
            limit = deadline if get_limit is None else min(deadline, get_limit())
            data = self._receive(limit)
            if data:
                yield from self._decode(data)
            elif self.end_mark is not EndMark.CONNECTION:
                raise ConnectionLost("the body is cut")
            elif self._is_request_cut:
                raise ConnectionLost("an unmarked end before that of the request")
            else:
                self.is_complete = True

    def read_body(self, deadline: float, buffer: AnswerBuffer) -> bytes:
        """Return the whole body; its bytes are counted by the buffer."""
        parts: list[bytes] = []
        size = 0
        for part in self.iterate_parts(deadline):
            size += len(part)
            if size > BODY_BYTES_MAX:
                raise ExchangeFailed(AttemptFailure.BROKEN, "the body is too large")
            try:
                buffer.grow(len(part))
            except BufferFull as error:
                raise ExchangeFailed(AttemptFailure.BROKEN, str(error)) from error
            parts.append(part)
        return b"".join(parts)

    @property
    def end_mark(self) -> EndMark:
        """What marks the end of the body, once the head has been read."""
        if self._decoder is not None:
            return EndMark.CHUNKS
        if self._remaining_bytes is not None:
            return EndMark.LENGTH
        return EndMark.CONNECTION

    @property
    def has_marked_end(self) -> bool:
        """Whether a length or chunks show that the body is complete.

        Notes
        -----
        A body that ends with its connection may be that of a server that crashed.
        """
        return self.is_complete and self.end_mark is not EndMark.CONNECTION

    def get_keep_alive(self) -> tuple[bool, float | None]:
        """Return whether the connection is reusable, and its keep-alive timeout."""
        response = self._response
        reusable = (
            self.is_complete
            and self._unsent is not None
            and not self._unsent
            and self._send_error is None
            and not self._has_trailing_bytes
            and response is not None
            and not response.will_close
            and self.end_mark is not EndMark.CONNECTION
        )
        found = KEEP_ALIVE_TIMEOUT_PATTERN.search(self.get_header("Keep-Alive") or "")
        return reusable, float(found[1]) if found else None

    def _receive_head(self, deadline: float) -> http.client.HTTPResponse:
        if self._head_reader is None:
            self._head_reader = HeadReader(self.method)
        reader = self._head_reader
        while True:
            data = self._receive(deadline)
            if not data:
                raise ConnectionLost("the head is cut")
            try:
                response = reader.feed(data)
            except (http.client.HTTPException, ValueError) as error:
                raise ExchangeFailed(AttemptFailure.BROKEN, repr(error)) from error
            if response is not None:
                self._early_body = reader.unused_data
                return response

    def _receive(self, deadline: float) -> bytes:
        """Wait for data and return it; empty if the connection was closed."""
        self._socket.settimeout(0.0)
        while True:
            self._wait(deadline)
            try:
                data = self._socket.recv(READ_SIZE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise ConnectionLost(repr(error)) from error
            if not data and self._is_reset:
                raise ConnectionLost(f"{self._send_error!r} during the request")
            return data

    @property
    def _is_request_cut(self) -> bool:
        """Whether the upstream has not taken a request that it may still need.

        Notes
        -----
        A process that ends between two writes closes its connections like the end of a
        body. Only an error may end the exchange before the end of the request.
        """
        return bool(self._unsent) and self.status < UNSUCCESSFUL_STATUS_MIN

    @property
    def _is_reset(self) -> bool:
        """Whether a write has met the end of a connection that was not closed.

        Notes
        -----
        A write fails with EPIPE if the upstream had closed its direction before: what
        arrived is then all that it sent, though not always all that it had to send.
        Otherwise the write fails with ECONNRESET, or with ETIMEDOUT when the connection
        is given up.
        """
        error = self._send_error
        return error is not None and not isinstance(error, BrokenPipeError)

    def _send_more(self) -> None:
        """Send as much of the rest of the request as the connection takes now."""
        try:
            while self._unsent:
                self._unsent = self._unsent[self._socket.send(self._unsent) :]
        except BlockingIOError:
            self._poll.modify(self._socket, select.POLLIN | select.POLLOUT)
            return
        except OSError as error:
            # The upstream may have responded before it closed the connection.
            self._send_error = error
        self._poll.modify(self._socket, select.POLLIN)

    def _stop_sending(self) -> None:
        self._poll.modify(self._socket, select.POLLIN)

    def _decode(self, data: bytes) -> Iterator[bytes]:
        if self._decoder is not None:
            try:
                content = self._decoder.decode(data)
            except (http.client.HTTPException, ValueError) as error:
                raise ExchangeFailed(AttemptFailure.BROKEN, repr(error)) from error
            if self._decoder.finished:
                # The line end after the last chunk may arrive later; a connection
                # without it is not reused.
                self.is_complete = True
                self._has_trailing_bytes = self._decoder.unused_data != b"\r\n"
        elif self._remaining_bytes is not None:
            content, trailing = (
                data[: self._remaining_bytes],
                data[self._remaining_bytes :],
            )
            self._remaining_bytes -= len(content)
            self.is_complete = self._remaining_bytes == 0
            self._has_trailing_bytes = bool(trailing)
        else:
            content = data
        if content:
            yield content

    def _wait(self, deadline: float) -> None:
        """Wait for data; fail after the deadline even if data keeps arriving.

        Notes
        -----
        The rest of the request is sent meanwhile.

        Raises
        ------
        ExchangeFailed
            If the deadline has passed.
        OtherResponded
            If data arrives on the watched exchange.
        CallerDisconnected
            If the caller disconnects.
        """
        while True:
            now = self._clock.monotonic()
            # Checked even if the upstream always has data ready.
            if now - self._caller_checked_at >= CALLER_CHECK_INTERVAL_S:
                self._check_caller(now)
            remaining_s = deadline - now
            if remaining_s > 0:
                self._overrun_since = None
            elif self._overrun_since is None:
                self._overrun_since = now
            ready = self._poll.poll(
                max(0.0, min(CALLER_CHECK_INTERVAL_S, remaining_s)) * 1000
            )
            if any(event & select.POLLOUT for _, event in ready):
                self._send_more()
                ready = [found for found in ready if found[1] & ~select.POLLOUT]
            if ready:
                if any(descriptor != self._socket.fileno() for descriptor, _ in ready):
                    raise OtherResponded("the watched exchange goes on")
                if (
                    self._overrun_since is not None
                    and now - self._overrun_since >= OVERRUN_MAX_S
                ):
                    raise ExchangeFailed(AttemptFailure.BROKEN, "no end in time")
                return
            self._check_time(deadline)

    def _check_caller(self, now: float) -> None:
        self._caller_checked_at = now
        if self._is_caller_disconnected():
            raise CallerDisconnected("the caller closed its connection")

    def _check_time(self, deadline: float) -> None:
        now = self._clock.monotonic()
        self._check_caller(now)
        if now >= deadline:
            raise ExchangeFailed(AttemptFailure.TIMED_OUT, "no byte in time")


__all__ = [
    "UNSUCCESSFUL_STATUS_MIN",
    "ConnectionLost",
    "Exchange",
    "ExchangeFailed",
    "OtherResponded",
    "render_request",
]
