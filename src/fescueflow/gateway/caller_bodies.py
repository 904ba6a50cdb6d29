"""Bodies of callers' requests while they are read."""

import io
from typing import Any

from waitress.receiver import ChunkedReceiver
from waitress.utilities import BadRequest

# Longest size line of a chunk with its extensions, and longest trailers.
SIZE_LINE_BYTES_MAX = 4096
TRAILER_BYTES_MAX = 16 << 10


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
        count: int = super().received(data)
        if len(self.control_line) > SIZE_LINE_BYTES_MAX:
            self.error = BadRequest("The size line of a chunk is too long")
        elif len(self.trailer) > TRAILER_BYTES_MAX:
            self.error = BadRequest("The trailers are too long")
        return count


def read_whole(body: Any, length: int) -> bytes:
    """Return the first bytes of a body, without a copy if these are all of it."""
    if isinstance(body, io.BytesIO) and body.getbuffer().nbytes == length:
        return body.getvalue()
    return bytes(body.read(length))


__all__ = ["BodyBuffer", "BoundedChunks", "read_whole"]
