"""One request to an upstream and its response."""

import http.client
import re
import select
from collections.abc import Callable, Iterator

from fescueflow.core import Clock, FescueflowError, InvalidRequest
from fescueflow.gateway.connections import UpstreamConnection
from fescueflow.http1 import ChunkDecoder, HeadReader
from fescueflow.platform import ATTEMPT_ID, Headers
from fescueflow.routing import AttemptEnd, CallerGone

READ_BYTES = 65536
# How often a wait looks whether the caller is still there, in seconds; work for a
# caller that left must end within half a second.
CALLER_CHECK_S = 0.2
# Time for the rest of a head whose first bytes are here, in seconds: a lost packet is
# sent again sooner.
HEAD_REST_S = 1.0
# How long bytes that are ready are still read once a limit was found to be over, in
# seconds, so that an answer that is here is delivered; less than the quarter of a
# second for which a request may be held beyond its route's time.
READY_S = 0.2
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
        self._caller_checked_at = clock.monotonic()
        # When a limit was found to be over while bytes still came.
        self._overrun_at: float | None = None
        # Bytes of the body that came with the head.
        self._early = b""
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

    def read_head(self, until: float, attempt_id: str, latest: float) -> None:
        """Read status and headers, and check that they answer this request.

        Parameters
        ----------
        until : float
            Limit for the first byte.
        attempt_id : str
        latest : float
            Limit for the whole head.

        Raises
        ------
        ExchangeFailed
        CallerGone
        """
        self._wait(until)
        rest_until = min(latest, max(until, self._clock.monotonic() + HEAD_REST_S))
        response = self._response = self._collect_head(rest_until)
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
        early, self._early = self._early, b""
        if early:
            yield from self._decode(early)
        while not self.is_complete:
            limit = until
            if silence_s is not None:
                limit = min(until, self._clock.monotonic() + silence_s)
            data = self._receive(limit)
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

    def _collect_head(self, until: float) -> http.client.HTTPResponse:
        reader = HeadReader()
        while True:
            data = self._receive(until)
            if not data:
                raise ExchangeFailed(AttemptEnd.BROKEN, "the head is cut")
            try:
                response = reader.add(data)
            except (http.client.HTTPException, ValueError) as error:
                raise ExchangeFailed(AttemptEnd.BROKEN, repr(error)) from error
            if response is not None:
                self._early = reader.rest
                return response

    def _receive(self, until: float) -> bytes:
        """Wait for bytes and return them; empty at the end of the connection."""
        self._socket.settimeout(0.0)
        while True:
            self._wait(until)
            try:
                return self._socket.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise ExchangeFailed(AttemptEnd.BROKEN, repr(error)) from error

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
        """Wait for bytes until a time; those that never end are waited for no longer.

        Raises
        ------
        ExchangeFailed
        CallerGone
        """
        while True:
            now = self._clock.monotonic()
            # An upstream that always has bytes ready must not keep this from being
            # noticed.
            if now - self._caller_checked_at >= CALLER_CHECK_S:
                self._check_caller(now)
            left_s = until - now
            if left_s > 0:
                self._overrun_at = None
            elif self._overrun_at is None:
                self._overrun_at = now
            if self._poll.poll(max(0.0, min(CALLER_CHECK_S, left_s)) * 1000):
                if self._overrun_at is not None and now - self._overrun_at >= READY_S:
                    raise ExchangeFailed(AttemptEnd.BROKEN, "no end in time")
                return
            self._check_time(until)

    def _check_caller(self, now: float) -> None:
        self._caller_checked_at = now
        if self._is_caller_gone():
            raise CallerGone("the caller closed its connection")

    def _check_time(self, until: float) -> None:
        now = self._clock.monotonic()
        self._check_caller(now)
        if now >= until:
            raise ExchangeFailed(AttemptEnd.SILENT, "no byte in time")


__all__ = ["Exchange", "ExchangeFailed", "render_request"]
