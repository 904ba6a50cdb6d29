"""Bounded HTTP reads from the platform."""

import http.client
import socket
import time
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from urllib.parse import urlsplit

from fescueflow.core import PlatformUnavailable
from fescueflow.http1 import TimedConnection
from fescueflow.platform.records import MalformedAnswer

READ_BYTES = 1 << 16
# Window size of zlib with a gzip header.
GZIP_BITS = 31

# Opens a connection to ``ip:port`` within a timeout in seconds.
Connect = Callable[[str, float], socket.socket]


@dataclass(frozen=True)
class Limits:
    """Limits of one call.

    ``silence_s`` limits the time without a byte and ``total_s`` the whole
    answer, so that an answer that trickles in does not hold the reader.
    """

    connect_s: float = 1.0
    silence_s: float = 1.0
    total_s: float = 3.0
    body_bytes: int = 1 << 20


@dataclass(frozen=True)
class PlatformAnswer:
    """Status, headers and complete body of an answer."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes


def connect_directly(address: str, timeout_s: float) -> socket.socket:
    """Open a TCP connection to ``ip:port``."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host.strip("[]"), int(port)), timeout_s)


def read_url(
    url: str,
    limits: Limits,
    connect: Connect,
    headers: Mapping[str, str] | None = None,
) -> PlatformAnswer:
    """Return the answer to a GET request on a new connection.

    Parameters
    ----------
    url : str
        ``http`` URL whose host is an IP number.
    limits : Limits
    connect : callable
    headers : mapping of str to str, optional
        Further request headers.

    Raises
    ------
    PlatformUnavailable
        If there is no complete answer within the limits.
    """
    parts = urlsplit(url)
    host = parts.hostname or ""
    name = f"[{host}]" if ":" in host else host
    address = f"{name}:{parts.port or 80}"
    target = parts.path + (f"?{parts.query}" if parts.query else "")
    try:
        opened = connect(address, limits.connect_s)
    except (OSError, ValueError) as error:
        raise PlatformUnavailable(f"{address}: {error}") from error
    try:
        opened.settimeout(limits.silence_s)
        exchange = http.client.HTTPConnection(host, parts.port or 80)
        exchange.sock = TimedConnection(
            opened, time.monotonic() + limits.total_s, limits.silence_s
        )
        exchange.request(
            "GET", target, headers={"Connection": "close", **(headers or {})}
        )
        response = exchange.getresponse()
        body = read_body(response, limits.body_bytes)
        if response.getheader("Content-Encoding") == "gzip":
            body = inflate_body(body, limits.body_bytes)
        return PlatformAnswer(response.status, response.headers, body)
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise PlatformUnavailable(f"{url}: {error!r}") from error
    finally:
        opened.close()


def read_body(response: http.client.HTTPResponse, bytes_max: int) -> bytes:
    """Return the complete body.

    Raises
    ------
    MalformedAnswer
        If the body is too large, cut short, or its end can't be known because
        it has neither a length nor chunks.
    """
    expected = response.length
    if expected is None and not response.chunked:
        raise MalformedAnswer("body has no length")
    if expected is not None and expected > bytes_max:
        raise MalformedAnswer(f"body has {expected} bytes, limit {bytes_max}")
    body = bytearray()
    while part := response.read(READ_BYTES):
        body += part
        if len(body) > bytes_max:
            raise MalformedAnswer(f"body exceeds {bytes_max} bytes")
    if expected is not None and len(body) != expected:
        raise MalformedAnswer(f"body has {len(body)} bytes instead of {expected}")
    return bytes(body)


def inflate_body(data: bytes, bytes_max: int) -> bytes:
    """Return the content of a gzip body.

    Raises
    ------
    MalformedAnswer
        If the body is not one complete gzip stream within the limit.
    """
    inflater = zlib.decompressobj(GZIP_BITS)
    try:
        body = inflater.decompress(data, bytes_max)
    except zlib.error as error:
        raise MalformedAnswer(f"body is not gzip: {error}") from error
    if not inflater.eof or inflater.unused_data:
        raise MalformedAnswer(f"gzip body is cut or exceeds {bytes_max} bytes")
    return body


__all__ = ["Connect", "Limits", "PlatformAnswer", "connect_directly", "read_url"]
