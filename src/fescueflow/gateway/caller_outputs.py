"""Output that waits for a caller, in pieces that are released as it is taken."""

from collections import deque

# The largest part of an output that stays in memory after it has been taken.
PIECE_BYTES = 1 << 15


class OutputBuffer:
    """Bytes in the order in which they are sent, as the HTTP library expects them.

    Notes
    -----
    The library's buffer keeps all bytes until the last one is taken.
    """

    def __init__(self) -> None:
        self._pieces: deque[bytearray] = deque()
        # Bytes of the first piece that are taken.
        self._taken = 0
        self._size = 0

    def __len__(self) -> int:
        """Return the number of bytes that are not taken."""
        return self._size

    def append(self, data: bytes) -> None:
        """Add bytes."""
        start = 0
        if self._pieces:
            start = max(0, PIECE_BYTES - len(self._pieces[-1]))
            self._pieces[-1] += data[:start]
        for position in range(start, len(data), PIECE_BYTES):
            self._pieces.append(bytearray(data[position : position + PIECE_BYTES]))
        self._size += len(data)

    def get(self, count: int) -> bytes:
        """Return at most so many of the next bytes, without taking them."""
        if not self._pieces:
            return b""
        return bytes(self._pieces[0][self._taken : self._taken + count])

    def skip(self, count: int, allow_prune: bool = False) -> None:
        """Take bytes that ``get`` has returned."""
        self._taken += count
        self._size -= count
        if self._taken >= len(self._pieces[0]):
            self._pieces.popleft()
            self._taken = 0

    def close(self) -> None:
        """Release the bytes."""
        self._pieces.clear()
        self._taken = self._size = 0


__all__ = ["OutputBuffer"]
