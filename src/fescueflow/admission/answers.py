"""Short HTTP answers on kept connections.

``http.client`` parses the headers of each answer with the parser of e-mails,
which takes more processor time than the rest of a load report.
"""

from dataclasses import dataclass

from fescueflow.http1 import TimedConnection

HEAD_BYTES_MAX = 16_384
RECEIVE_BYTES = 16_384
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"


class MalformedAnswer(ValueError):
    """Bytes that are not an HTTP answer within the limits."""


@dataclass(frozen=True)
class ShortAnswer:
    """Status and complete body; ``reusable`` if the connection can be kept."""

    status: int
    body: bytes
    reusable: bool


class AnswerStream:
    """Bytes of one connection.

    Parameters
    ----------
    connection : TimedConnection
    """

    def __init__(self, connection: TimedConnection) -> None:
        self._connection = connection
        self._buffer = b""

    def read_until(self, mark: bytes, limit: int) -> bytes:
        """Return the bytes before the next mark, which is consumed."""
        while (found := self._buffer.find(mark)) < 0:
            if len(self._buffer) > limit:
                raise MalformedAnswer(f"no end within {limit} bytes")
            self._receive()
        head = self._buffer[:found]
        self._buffer = self._buffer[found + len(mark) :]
        return head

    def read_exactly(self, count: int) -> bytes:
        """Return the next bytes."""
        while len(self._buffer) < count:
            self._receive()
        data, self._buffer = self._buffer[:count], self._buffer[count:]
        return data

    def read_to_end(self, limit: int) -> bytes:
        """Return the bytes until the other side closes."""
        while data := self._connection.recv(RECEIVE_BYTES):
            self._buffer += data
            if len(self._buffer) > limit:
                raise MalformedAnswer(f"body of more than {limit} bytes")
        return self._buffer

    def is_empty(self) -> bool:
        """Return whether all received bytes were read."""
        return not self._buffer

    def _receive(self) -> None:
        data = self._connection.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionError("closed before the end of the answer")
        self._buffer += data


def parse_head(head: bytes) -> tuple[str, int, dict[str, str]]:
    """Return version, status and header fields with lower-case names."""
    lines = head.decode("latin-1").split("\r\n")
    version, _, rest = lines[0].partition(" ")
    code = rest[:3]
    if not version.startswith("HTTP/1.") or not (code.isdecimal() and len(code) == 3):
        raise MalformedAnswer(f"status line {lines[0][:80]!r}")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        name = name.lower()
        if not colon or not name or name != name.strip():
            raise MalformedAnswer(f"header line {line[:80]!r}")
        value = value.strip()
        if name == "content-length" and fields.get(name, value) != value:
            raise MalformedAnswer("two lengths")
        fields[name] = value
    return version, int(code), fields


def parse_length(text: str, base: int, limit: int) -> int:
    """Return a length of digits only, as signs and spaces are no length."""
    if not text.isascii() or not text.isalnum():
        raise MalformedAnswer(f"length {text[:20]!r}")
    length = int(text, base)
    if length > limit:
        raise MalformedAnswer(f"body of more than {limit} bytes")
    return length


def read_chunks(stream: AnswerStream, limit: int) -> bytes:
    """Return a body in chunks, its trailer is consumed."""
    body = b""
    while True:
        line = stream.read_until(LINE_END, HEAD_BYTES_MAX).decode("latin-1")
        size = parse_length(line.partition(";")[0].strip(), 16, limit - len(body))
        if size == 0:
            break
        body += stream.read_exactly(size)
        if stream.read_exactly(len(LINE_END)) != LINE_END:
            raise MalformedAnswer("chunk without its end")
    while stream.read_until(LINE_END, HEAD_BYTES_MAX):
        pass
    return body


def read_answer(connection: TimedConnection, body_max: int) -> ShortAnswer:
    """Return the answer to the GET request that was sent on a connection.

    Raises
    ------
    MalformedAnswer
        If it is not HTTP/1 or too long.
    OSError
        If the connection ends or is silent before the end of the answer.
    """
    stream = AnswerStream(connection)
    status = 100
    while status < 200:
        head = stream.read_until(HEAD_END, HEAD_BYTES_MAX)
        version, status, fields = parse_head(head)
    keep = version == "HTTP/1.1" and "close" not in fields.get("connection", "").lower()
    coding = fields.get("transfer-encoding", "").lower()
    if status in (204, 304):
        body = b""
    elif coding == "chunked":
        body = read_chunks(stream, body_max)
    elif coding:
        raise MalformedAnswer(f"transfer encoding {coding[:20]!r}")
    elif "content-length" in fields:
        length = parse_length(fields["content-length"], 10, body_max)
        body = stream.read_exactly(length)
    else:
        body, keep = stream.read_to_end(body_max), False
    return ShortAnswer(status, body, keep and stream.is_empty())


__all__ = ["MalformedAnswer", "ShortAnswer", "read_answer"]
