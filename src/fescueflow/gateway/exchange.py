"""One request to an upstream and its response."""

import http.client
import re
import select
from collections.abc import Callable, Iterator

from fescueflow.core import Clock, FescueflowError, InvalidRequest
from fescueflow.gateway.connections import UpstreamConnection
from fescueflow.http1 import ChunkDecoder
from fescueflow.platform import ATTEMPT_ID, Headers
from fescueflow.routing import AttemptEnd, CallerGone

READ_BYTES = 65536
# How often a wait looks whether the caller is still there, in seconds; work for a
# caller that left must end within half a second.
CALLER_CHECK_S = 0.2
# Longest wait for the rest of a head whose first bytes are here, in seconds.
HEAD_REST_S = 1.0
KEEP_ALIVE = re.compile(r"timeout=(\d+)")
BODY_BYTES_MAX = 16 << 20


class ExchangeFailed(FescueflowError):
    """An attempt brought no usable answer."""

    def __init__(self, end: AttemptEnd, reason: str) -> None:
        super().__init__(f"{end.value}: {reason}")
        self.end = end
        self.reason = reason


class Collector:
    """Stands in for a socket and keeps what is sent."""

    def __init__(self) -> None:
        self.data = b""

    def sendall(self, data: bytes) -> None:
        """Add data."""
        self.data += data


def render_request(
    *, address: str, method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Return the bytes of a request.

    Raises
    ------
    InvalidRequest
        If a part of it can't be written.
    """
    collector = Collector()
    writer = http.client.HTTPConnection(address)
    writer.auto_open = 0
    writer.sock = collector
    try:
        writer.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            writer.putheader(name, value)
        if body or method not in {"GET", "HEAD", "DELETE"}:
            writer.putheader("Content-Length", str(len(body)))
        writer.endheaders(body or None)
    except (ValueError, http.client.HTTPException) as error:
        raise InvalidRequest("the request can't be passed on") from error
    return collector.data


class Exchange:
    """Sends one request on a connection and reads the response.

    Parameters
    ----------
    connection : UpstreamConnection
    clock : Clock
    is_caller_gone : callable
    """

    def __init__(
        self,
        connection: UpstreamConnection,
        clock: Clock,
        is_caller_gone: Callable[[], bool],
    ) -> None:
        self.status = 0
        self.headers: Headers = []
        self.is_complete = False
        self._connection = connection
        self._clock = clock
        self._is_caller_gone = is_caller_gone
        self._socket = connection.socket
        self._poll = select.poll()
        self._poll.register(self._socket, select.POLLIN)
        self._sent_all = False
        self._response: http.client.HTTPResponse | None = None
        self._decoder: ChunkDecoder | None = None
        self._left: int | None = None
        self._extra = False

    def transmit(self, data: bytes, until: float) -> None:
        """Send the request; stop early if the upstream answers before its end.

        Raises
        ------
        ExchangeFailed
        CallerGone
        """
        both = select.poll()
        both.register(self._socket, select.POLLIN | select.POLLOUT)
        view = memoryview(data)
        self._socket.settimeout(0.0)
        while view:
            try:
                view = view[self._socket.send(view) :]
                continue
            except BlockingIOError:
                pass
            except OSError:
                # The upstream may have answered before it closed.
                return
            ready = both.poll(CALLER_CHECK_S * 1000)
            if any(event & select.POLLIN for _, event in ready):
                return
            self._check_time(until)
        self._sent_all = True

    def read_head(self, until: float, attempt_id: str) -> None:
        """Read status and headers, and check that they answer this request.

        Raises
        ------
        ExchangeFailed
        CallerGone
        """
        self._wait(until)
        self._socket.settimeout(HEAD_REST_S)
        response = http.client.HTTPResponse(self._socket)
        self._response = response
        try:
            response.begin()
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise ExchangeFailed(AttemptEnd.BROKEN, repr(error)) from error
        self.status = response.status
        self.headers = response.getheaders()
        echo = response.getheader(ATTEMPT_ID)
        if echo is not None and echo != attempt_id:
            raise ExchangeFailed(AttemptEnd.BROKEN, "answer of another request")
        if response.chunked:
            self._decoder = ChunkDecoder()
        else:
            self._left = response.length
            self.is_complete = self._left == 0

    def get_header(self, name: str) -> str | None:
        """Return a header of the response."""
        return self._response.getheader(name) if self._response else None

    def iterate_parts(
        self, until: float, silence_s: float | None = None
    ) -> Iterator[bytes]:
        """Yield the body as it comes; ``silence_s`` limits each wait.

        Raises
        ------
        ExchangeFailed
            If the body ends early or stays silent.
        CallerGone
        """
        if self._response is None:
            raise ExchangeFailed(AttemptEnd.BROKEN, "no head")
        self._socket.settimeout(0.0)
        # Without waiting this takes what the reader of the head has buffered; its
        # end and an empty buffer look alike and are told apart by the next read.
        data = self._response.fp.read1(READ_BYTES) if self._response.fp else b""
        if data:
            yield from self._decode(data)
        while not self.is_complete:
            limit = until
            if silence_s is not None:
                limit = min(until, self._clock.monotonic() + silence_s)
            self._wait(limit)
            try:
                data = self._socket.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise ExchangeFailed(AttemptEnd.BROKEN, repr(error)) from error
            if data:
                yield from self._decode(data)
            elif self._decoder is None and self._left is None:
                self.is_complete = True
            else:
                raise ExchangeFailed(AttemptEnd.BROKEN, "the body is cut")

    def read_body(self, until: float) -> bytes:
        """Return the whole body."""
        parts: list[bytes] = []
        size = 0
        for part in self.iterate_parts(until):
            size += len(part)
            if size > BODY_BYTES_MAX:
                raise ExchangeFailed(AttemptEnd.BROKEN, "the body is too large")
            parts.append(part)
        return b"".join(parts)

    def find_keep_alive(self) -> tuple[bool, float | None]:
        """Return whether the connection can be kept, and the idle time it is given."""
        response = self._response
        kept = (
            self.is_complete
            and self._sent_all
            and not self._extra
            and response is not None
            and not response.will_close
            and (self._left is not None or self._decoder is not None)
        )
        found = KEEP_ALIVE.search(self.get_header("Keep-Alive") or "")
        return kept, float(found[1]) if found else None

    def _decode(self, data: bytes) -> Iterator[bytes]:
        if self._decoder is not None:
            try:
                content = self._decoder.decode(data)
            except (http.client.HTTPException, ValueError) as error:
                raise ExchangeFailed(AttemptEnd.BROKEN, repr(error)) from error
            if self._decoder.finished:
                # The line end after the last chunk may come later; a connection
                # on which it is missing is not used again.
                self.is_complete = True
                self._extra = self._decoder.rest != b"\r\n"
        elif self._left is not None:
            content, extra = data[: self._left], data[self._left :]
            self._left -= len(content)
            self.is_complete = self._left == 0
            self._extra = bool(extra)
        else:
            content = data
        if content:
            yield content

    def _wait(self, until: float) -> None:
        while True:
            left_s = until - self._clock.monotonic()
            if self._poll.poll(max(0.0, min(CALLER_CHECK_S, left_s)) * 1000):
                return
            self._check_time(until)

    def _check_time(self, until: float) -> None:
        if self._is_caller_gone():
            raise CallerGone("the caller closed its connection")
        if self._clock.monotonic() >= until:
            raise ExchangeFailed(AttemptEnd.SILENT, "no byte in time")


__all__ = ["Exchange", "ExchangeFailed", "render_request"]
