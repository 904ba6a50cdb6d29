"""Decoder of the chunked transfer coding (RFC 9112, section 7.1)."""

import http.client
import re

SIZE_LINE_BYTES_MAX = 4096
CRLF = b"\r\n"
SIZE_LINE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;.*)?", re.DOTALL)


class ChunkDecoder:
    """Incremental decoder of a chunked body; accepts parts of any size.

    Attributes
    ----------
    finished : bool
        Whether the last chunk, of size 0, was decoded; trailers are not parsed.

    Notes
    -----
    ``http.client`` reads each chunk in several calls and discards the two bytes
    after it without checking them; this decoder handles all chunks of a part in
    one pass.
    """

    def __init__(self) -> None:
        self.finished = False
        self._pending = b""
        # Bytes left in the current chunk, including its CRLF; 0 before a size line.
        self._remaining = 0

    @property
    def unused_data(self) -> bytes:
        """Bytes not decoded yet; after the last chunk, the trailer section."""
        return self._pending

    def decode(self, part: bytes) -> bytes:
        """Return the content decoded from the next part, possibly empty.

        Parameters
        ----------
        part : bytes
            Next received bytes of the body.

        Raises
        ------
        http.client.IncompleteRead
            If a size line is invalid, as ``http.client`` reports it.
        http.client.LineTooLong
            If a size line is too long.
        http.client.HTTPException
            If a chunk is not followed by CRLF.
        """
        data = self._pending + part if self._pending else part
        start = 0
        contents: list[bytes] = []
        while not self.finished:
            if not self._remaining:
                end = data.find(CRLF, start)
                if end < 0:
                    break
                self._parse_size_line(data[start:end])
                start = end + len(CRLF)
                continue
            consumed = self._read_content(data, start, contents)
            if not consumed:
                break
            start += consumed
        self._pending = data[start:]
        if not self._remaining and len(self._pending) > SIZE_LINE_BYTES_MAX:
            raise http.client.LineTooLong("chunk size")
        return contents[0] if len(contents) == 1 else b"".join(contents)

    def _parse_size_line(self, line: bytes) -> None:
        found = SIZE_LINE_PATTERN.fullmatch(line)
        if found is None:
            raise http.client.IncompleteRead(b"")
        size = int(found[1], 16)
        self.finished = size == 0
        self._remaining = size + len(CRLF) if size else 0

    def _read_content(self, data: bytes, start: int, contents: list[bytes]) -> int:
        """Append content of the current chunk; return the bytes consumed."""
        available = len(data) - start
        size = self._remaining - len(CRLF)
        if available < self._remaining:
            # Keep the CRLF pending until all of it is available to be checked.
            consumed = min(available, size)
            if consumed:
                contents.append(data[start : start + consumed])
                self._remaining -= consumed
            return consumed
        end = start + size
        if data[end : end + len(CRLF)] != CRLF:
            raise http.client.HTTPException("chunk is not followed by CRLF")
        if size:
            contents.append(data[start:end])
        self._remaining = 0
        return size + len(CRLF)


__all__ = ["ChunkDecoder"]
