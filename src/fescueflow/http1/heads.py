"""Heads of HTTP/1.1 responses, collected within a size (RFC 9112, section 2)."""

import http.client
import io
import re

# Bytes of a head, interim responses before it included: what ``http.client`` allows
# for a single line.
HEAD_BYTES_MAX = 65536
PROTOCOL = b"HTTP/"
HEAD_END = re.compile(rb"\r?\n\r?\n")
# Responses before the final one; 101 would end HTTP on the connection.
INTERIM = re.compile(rb"HTTP/1\.[0-9] 1(?!01)[0-9][0-9]")


class HeadBytes:
    """Stands in for the socket of a response whose head is complete."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def makefile(self, mode: str) -> io.BytesIO:
        """Return a reader of the head."""
        return io.BytesIO(self._data)


class HeadReader:
    """Head of a response from its bytes, in parts of any size.

    Attributes
    ----------
    rest : bytes
        Bytes after the head, once ``add`` has returned the response.

    Notes
    -----
    ``http.client`` reads a head with calls that wait for each byte anew, skips interim
    responses without end, and keeps the connection open for as long as the response
    exists.
    """

    def __init__(self) -> None:
        self.rest = b""
        self._interim_bytes = 0

    def add(self, data: bytes) -> http.client.HTTPResponse | None:
        """Return the response once its head is complete.

        Raises
        ------
        http.client.HTTPException
            If the bytes are no head, or too many.
        """
        self.rest += data
        while True:
            if not PROTOCOL.startswith(self.rest[: len(PROTOCOL)]):
                raise http.client.BadStatusLine(repr(self.rest[:40]))
            found = HEAD_END.search(self.rest)
            size = found.end() if found else len(self.rest)
            if self._interim_bytes + size > HEAD_BYTES_MAX:
                raise http.client.LineTooLong("head")
            if found is None:
                return None
            head, self.rest = self.rest[:size], self.rest[size:]
            if not INTERIM.match(head):
                return parse_head(head)
            self._interim_bytes += size


def parse_head(head: bytes) -> http.client.HTTPResponse:
    """Return the response of a complete head; its body is not read through it.

    Raises
    ------
    http.client.HTTPException
    """
    response = http.client.HTTPResponse(HeadBytes(head))  # type: ignore[arg-type]
    response.begin()
    return response


__all__ = ["HeadReader"]
