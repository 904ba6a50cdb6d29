"""Decoder of chunked transfer encoding (RFC 9112, section 7.1)."""

import http.client
import re

SIZE_LINE_BYTES_MAX = 4096
LINE_END = b"\r\n"
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;.*)?", re.DOTALL)


class ChunkDecoder:
    """Content of a chunked body from its bytes, in parts of any size.

    Attributes
    ----------
    finished : bool
        Whether the last chunk, of size 0, was seen; the trailer is not read.

    Notes
    -----
    ``http.client`` reads every chunk in several calls and discards the two bytes
    after it unseen; this decoder takes all chunks of a part in one pass.
    """

    def __init__(self) -> None:
        self.finished = False
        self._pending = b""
        # Bytes left of the current chunk with its line end; 0 before a size line.
        self._left = 0

    @property
    def rest(self) -> bytes:
        """Bytes that are not decoded yet; after the last chunk, the trailer."""
        return self._pending

    def decode(self, part: bytes) -> bytes:
        """Return the content that a part completes, possibly empty.

        Parameters
        ----------
        part : bytes

        Raises
        ------
        http.client.IncompleteRead
            If a size line is invalid, as ``http.client`` reports it.
        http.client.LineTooLong
        http.client.HTTPException
            If a chunk does not end in a line end.
        """
        data = self._pending + part if self._pending else part
        start = 0
        contents: list[bytes] = []
        while not self.finished:
            if not self._left:
                end = data.find(LINE_END, start)
                if end < 0:
                    break
                self._start_chunk(data[start:end])
                start = end + len(LINE_END)
                continue
            taken = self._take(data, start, contents)
            if not taken:
                break
            start += taken
        self._pending = data[start:]
        if not self._left and len(self._pending) > SIZE_LINE_BYTES_MAX:
            raise http.client.LineTooLong("chunk size")
        return contents[0] if len(contents) == 1 else b"".join(contents)

    def _start_chunk(self, line: bytes) -> None:
        found = SIZE_LINE.fullmatch(line)
        if found is None:
            raise http.client.IncompleteRead(b"")
        size = int(found[1], 16)
        self.finished = size == 0
        self._left = size + len(LINE_END) if size else 0

    def _take(self, data: bytes, start: int, contents: list[bytes]) -> int:
        """Move content of the current chunk; return the number of bytes used."""
        available = len(data) - start
        size = self._left - len(LINE_END)
        if available < self._left:
            # The line end is taken in one piece, so that it can be compared.
            taken = min(available, size)
            if taken:
                contents.append(data[start : start + taken])
                self._left -= taken
            return taken
        end = start + size
        if data[end : end + len(LINE_END)] != LINE_END:
            raise http.client.HTTPException("a chunk has no line end")
        if size:
            contents.append(data[start:end])
        self._left = 0
        return size + len(LINE_END)


__all__ = ["ChunkDecoder"]
