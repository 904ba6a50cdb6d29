"""Bodies of callers' requests while they are read."""

import io
import re
from typing import Any

from waitress.receiver import ChunkedReceiver
from waitress.utilities import BadRequest

# Longest size line of a chunk with its extensions, and longest trailers.
SIZE_LINE_BYTES_MAX = 4096
TRAILER_BYTES_MAX = 16 << 10
CRLF = b"\r\n"
# Sizes without extensions; the library takes all others.
PLAIN_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,8}")
SIZE_END_MAX = 8 + len(CRLF)


class BodyBuffer:
    """Bytes of a body, in the form that the HTTP library expects.

    Notes
    -----
    The library's buffer seeks four times for each piece.
    """

    def __init__(self) -> None:
        self._file = io.BytesIO()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._size

    def append(self, data: bytes) -> None:
        """Add bytes."""
        self._size += self._file.write(data)

    def getfile(self) -> io.BytesIO:
        """Return a file of the whole body, at its start."""
        self._file.seek(0)
        return self._file

    def close(self) -> None:
        """Release the bytes."""
        self._file.close()


class BoundedChunks(ChunkedReceiver):
    """Receiver of a chunked body with bounds on what surrounds the content."""

    @property
    def expected_bytes(self) -> int:
        """Bytes of the content that are received or announced by a chunk."""
        return len(self.buf) + int(self.chunk_remainder)

    @property
    def pending_bytes(self) -> int:
        """Bytes of a size line or of trailers that are not complete."""
        return len(self.control_line) + len(self.trailer)

    def received(self, data: bytes) -> int:
        """Take a part of the body; return the number of bytes used."""
        position, size = 0, len(data)
        while position < size and not self.all_chunks_received:
            if self._is_between_chunks():
                position = self._take_whole_chunks(data, position)
            piece = data[position : position + self._count_step(data, position)]
            if self._is_too_long(piece):
                self.error = BadRequest("The size line of a chunk is too long")
                return size
            super().received(piece)
            position += len(piece)
        if self.error is None and position < size:
            position += int(super().received(data[position:]))
        if len(self.trailer) > TRAILER_BYTES_MAX:
            self.error = BadRequest("The trailers are too long")
        return position

    def _is_too_long(self, piece: bytes) -> bool:
        """Return whether a piece of a size line makes it too long."""
        if self.chunk_remainder or self.validate_chunk_end:
            return False
        return len(self.control_line) + len(piece) > SIZE_LINE_BYTES_MAX + len(CRLF)

    def _is_between_chunks(self) -> bool:
        return not (
            self.chunk_remainder or self.validate_chunk_end or self.control_line
        )

    def _count_step(self, data: bytes, position: int) -> int:
        """Return the bytes up to the next chunk, as far as this is known."""
        if self.chunk_remainder:
            return int(self.chunk_remainder) + len(CRLF)
        if self.validate_chunk_end:
            return len(CRLF) - len(self.chunk_end)
        end = data.find(CRLF, position)
        return (end if end >= 0 else len(data)) + len(CRLF) - position

    def _take_whole_chunks(self, data: bytes, position: int) -> int:
        """Take chunks that are whole and plain; return where others begin.

        Notes
        -----
        The library copies the rest of its input for each part of a chunk, so that
        chunks of a byte cost twice as much.
        """
        contents = []
        while (end := data.find(CRLF, position, position + SIZE_END_MAX)) >= 0:
            line = data[position:end]
            if not PLAIN_SIZE_PATTERN.fullmatch(line):
                break
            start = end + len(CRLF)
            stop = start + int(line, 16)
            if stop == start or data[stop : stop + len(CRLF)] != CRLF:
                break
            contents.append(data[start:stop])
            position = stop + len(CRLF)
        if contents:
            self.buf.append(b"".join(contents))
        return position


def read_whole(body: Any, length: int) -> bytes:
    """Return the first bytes of a body, without a copy if these are all of it."""
    if isinstance(body, io.BytesIO) and body.getbuffer().nbytes == length:
        return body.getvalue()
    return bytes(body.read(length))


__all__ = ["BodyBuffer", "BoundedChunks", "read_whole"]
