"""Reader for short HTTP responses on persistent connections.

``http.client`` parses response headers with the e-mail parser, which takes more
processor time than the rest of reading a load report.
"""

from dataclasses import dataclass

from fescueflow.http1 import TimedConnection

HEAD_BYTES_MAX = 16_384
RECEIVE_BYTES = 16_384
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"


class MalformedResponse(ValueError):
    """The received bytes are not an HTTP response within the size limits."""


@dataclass(frozen=True)
class ShortResponse:
    """Status and body; ``reusable`` says whether the connection can be reused."""

    status: int
    body: bytes
    reusable: bool


class ResponseReader:
    """Buffered reader of one connection.

    Parameters
    ----------
    connection : TimedConnection
    """

    def __init__(self, connection: TimedConnection) -> None:
        self._connection = connection
        self._buffer = b""

    def read_until(self, delimiter: bytes, limit: int) -> bytes:
        """Return the bytes before the next delimiter and consume the delimiter."""
        while (found := self._buffer.find(delimiter)) < 0:
            if len(self._buffer) > limit:
                raise MalformedResponse(
                    f"no end of line or header within {limit} bytes"
                )
            self._receive()
        head = self._buffer[:found]
        self._buffer = self._buffer[found + len(delimiter) :]
        return head

    def read_exactly(self, count: int) -> bytes:
        """Return the next ``count`` bytes."""
        while len(self._buffer) < count:
            self._receive()
        data, self._buffer = self._buffer[:count], self._buffer[count:]
        return data

    def read_to_end(self, limit: int) -> bytes:
        """Return all bytes until the peer closes the connection."""
        while data := self._connection.recv(RECEIVE_BYTES):
            self._buffer += data
            if len(self._buffer) > limit:
                raise MalformedResponse(f"body of more than {limit} bytes")
        return self._buffer

    def is_empty(self) -> bool:
        """Return whether every received byte has been consumed."""
        return not self._buffer

    def _receive(self) -> None:
        data = self._connection.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionError("connection closed before the end of the response")
        self._buffer += data


def parse_head(head: bytes) -> tuple[str, int, dict[str, str]]:
    """Return version, status and header fields with lower-case names."""
    lines = head.decode("latin-1").split("\r\n")
    version, _, rest = lines[0].partition(" ")
    code = rest[:3]
    if not version.startswith("HTTP/1.") or not (code.isdecimal() and len(code) == 3):
        raise MalformedResponse(f"invalid status line {lines[0][:80]!r}")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        name = name.lower()
        if not colon or not name or name != name.strip():
            raise MalformedResponse(f"invalid header line {line[:80]!r}")
        value = value.strip()
        if name == "content-length" and fields.get(name, value) != value:
            raise MalformedResponse("conflicting Content-Length fields")
        fields[name] = value
    return version, int(code), fields


def parse_length(text: str, base: int, limit: int) -> int:
    """Parse a length that consists of digits only.

    ``int`` alone would also accept signs, spaces and underscores.
    """
    if not text.isascii() or not text.isalnum():
        raise MalformedResponse(f"invalid length {text[:20]!r}")
    length = int(text, base)
    if length > limit:
        raise MalformedResponse(f"body of more than {limit} bytes")
    return length


def read_chunks(reader: ResponseReader, limit: int) -> bytes:
    """Return the body of a chunked response and consume the trailer."""
    body = b""
    while True:
        line = reader.read_until(LINE_END, HEAD_BYTES_MAX).decode("latin-1")
        size = parse_length(line.partition(";")[0].strip(), 16, limit - len(body))
        if size == 0:
            break
        body += reader.read_exactly(size)
        if reader.read_exactly(len(LINE_END)) != LINE_END:
            raise MalformedResponse("chunk without a line end")
    while reader.read_until(LINE_END, HEAD_BYTES_MAX):
        pass
    return body


def read_response(connection: TimedConnection, body_max: int) -> ShortResponse:
    """Return the response to a GET request that was sent on a connection.

    Parameters
    ----------
    connection : TimedConnection
    body_max : int
        Largest body in bytes.

    Returns
    -------
    ShortResponse

    Raises
    ------
    MalformedResponse
        If the response is not HTTP/1 or too long.
    OSError
        If the connection closes or times out before the end of the response.
    """
    reader = ResponseReader(connection)
    status = 100
    while status < 200:
        head = reader.read_until(HEAD_END, HEAD_BYTES_MAX)
        version, status, fields = parse_head(head)
    keep = version == "HTTP/1.1" and "close" not in fields.get("connection", "").lower()
    coding = fields.get("transfer-encoding", "").lower()
    if status in (204, 304):
        body = b""
    elif coding == "chunked":
        body = read_chunks(reader, body_max)
    elif coding:
        raise MalformedResponse(f"unsupported transfer encoding {coding[:20]!r}")
    elif "content-length" in fields:
        length = parse_length(fields["content-length"], 10, body_max)
        body = reader.read_exactly(length)
    else:
        body, keep = reader.read_to_end(body_max), False
    return ShortResponse(status, body, keep and reader.is_empty())


__all__ = ["MalformedResponse", "ShortResponse", "read_response"]
