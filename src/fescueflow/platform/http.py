"""HTTP GET requests to the platform with limits on time and size."""

import http.client
import socket
import time
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from urllib.parse import urlsplit

import logbook

from fescueflow.core import PlatformUnavailable
from fescueflow.http1 import TimedConnection
from fescueflow.platform.records import MalformedResponse

READ_CHUNK_BYTES = 1 << 16
# Selects the gzip format: 16 plus the maximum window size of 15 bits.
GZIP_WINDOW_BITS = 31
# Time after which a connection attempt is repeated: many round trips within a region,
# and well below the second after which the system repeats a lost one (RFC 6298,
# section 2).
FIRST_ATTEMPT_S = 0.2

log = logbook.Logger("platform")

# Opens a connection to ``ip:port`` within a timeout in seconds.
Connect = Callable[[str, float], socket.socket]


@dataclass(frozen=True)
class Limits:
    """Limits of one request.

    ``read_timeout_s`` limits the time without received data. ``total_s`` limits the
    whole response, so that a slow sender cannot occupy the reader indefinitely.
    """

    connect_s: float = 1.0
    read_timeout_s: float = 1.0
    total_s: float = 3.0
    body_bytes: int = 1 << 20


@dataclass(frozen=True)
class PlatformResponse:
    """Status, headers and complete body of a response."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes


def connect_directly(address: str, timeout_s: float) -> socket.socket:
    """Open a TCP connection to ``ip:port``."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host.strip("[]"), int(port)), timeout_s)


def connect_twice(
    address: str, timeout_s: float, connect: Connect = connect_directly
) -> socket.socket:
    """Open a connection; repeat the attempt once if it is not answered soon.

    Parameters
    ----------
    address : str
        ``ip:port``.
    timeout_s : float
        Limit of the second attempt.
    connect : callable, optional
        Opens connections.

    Raises
    ------
    OSError
        If the second attempt fails, or if the first one is refused.
    """
    try:
        return connect(address, min(FIRST_ATTEMPT_S, timeout_s))
    except TimeoutError:
        log.info("connection attempt repeated", extra={"address": address})
    return connect(address, timeout_s)


def read_url(
    url: str,
    limits: Limits,
    connect: Connect,
    headers: Mapping[str, str] | None = None,
) -> PlatformResponse:
    """Return the response to a GET request on a new connection.

    Parameters
    ----------
    url : str
        ``http`` URL whose host is an IP address.
    limits : Limits
    connect : callable
        Opens the connection.
    headers : mapping of str to str, optional
        Additional request headers.

    Raises
    ------
    PlatformUnavailable
        If there is no complete response within the limits.
    """
    parts = urlsplit(url)
    host = parts.hostname or ""
    name = f"[{host}]" if ":" in host else host
    address = f"{name}:{parts.port or 80}"
    target = parts.path + (f"?{parts.query}" if parts.query else "")
    try:
        connection = connect(address, limits.connect_s)
    except (OSError, ValueError) as error:
        raise PlatformUnavailable(f"{address}: {error}") from error
    try:
        connection.settimeout(limits.read_timeout_s)
        http_connection = http.client.HTTPConnection(host, parts.port or 80)
        timed_connection = TimedConnection(
            connection, time.monotonic() + limits.total_s, limits.read_timeout_s
        )
        http_connection.sock = timed_connection
        http_connection.request(
            "GET", target, headers={"Connection": "close", **(headers or {})}
        )
        response = http_connection.getresponse()
        timed_connection.check_head()
        body = read_body(response, limits.body_bytes)
        if response.getheader("Content-Encoding") == "gzip":
            body = inflate_body(body, limits.body_bytes)
        return PlatformResponse(response.status, response.headers, body)
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise PlatformUnavailable(f"{url}: {error!r}") from error
    finally:
        connection.close()


def read_body(response: http.client.HTTPResponse, bytes_max: int) -> bytes:
    """Return the complete body.

    Raises
    ------
    MalformedResponse
        If the body is too large or truncated, or if it has neither a length nor
        chunked transfer coding, so that truncation could not be detected.
    """
    expected = response.length
    if expected is None and not response.chunked:
        raise MalformedResponse("body has neither a length nor chunked transfer coding")
    if expected is not None and expected > bytes_max:
        raise MalformedResponse(f"body has {expected} bytes, limit {bytes_max}")
    body = bytearray()
    while part := response.read(READ_CHUNK_BYTES):
        body += part
        if len(body) > bytes_max:
            raise MalformedResponse(f"body exceeds {bytes_max} bytes")
    if expected is not None and len(body) != expected:
        raise MalformedResponse(f"body has {len(body)} bytes instead of {expected}")
    return bytes(body)


def inflate_body(data: bytes, bytes_max: int) -> bytes:
    """Return the decompressed content of a gzip body.

    Raises
    ------
    MalformedResponse
        If the body is not exactly one complete gzip stream within the limit.
    """
    inflater = zlib.decompressobj(GZIP_WINDOW_BITS)
    try:
        body = inflater.decompress(data, bytes_max)
    except zlib.error as error:
        raise MalformedResponse(f"body is not gzip: {error}") from error
    if not inflater.eof or inflater.unused_data:
        raise MalformedResponse(
            f"gzip body is truncated, has trailing data or exceeds {bytes_max} bytes"
        )
    return body


__all__ = [
    "Connect",
    "Limits",
    "PlatformResponse",
    "connect_directly",
    "connect_twice",
    "read_url",
]
