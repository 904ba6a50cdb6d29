"""Account of all bytes that a process holds for callers, in both directions.

Load pattern: many callers send bodies of legal size and stop short of their end, or do
not read their answers. Each of them alone is within the limits; together, they would
exceed the memory of the process.
"""

import contextlib
import ctypes
import threading
from dataclasses import dataclass
from typing import Final

# Fraction of the process's memory for all that is held for callers. The rest is for the
# program (about 30 MB), 3,000 connections, the threads' stacks and the allocator.
MEMORY_FRACTION = 3 / 8
# Fraction for what requests, answers and outputs hold beyond ``SMALL_BYTES`` each.
SURPLUS_FRACTION = 1 / 4
# Usual requests and answers are smaller; large ones leave room for them.
SMALL_BYTES = 1 << 16
# Part of a limit that is released beyond the excess, so that the holders are not
# ranked again for each piece that arrives.
MARGIN_FRACTION = 1 / 16
# Allocations above this size are returned to the system when they are released.
RETURNED_BYTES = 1 << 17
# Parameter of glibc's ``mallopt`` for that size.
M_MMAP_THRESHOLD: Final = -3


@dataclass(frozen=True, slots=True)
class Excess:
    """Bytes to release; of each holder only those beyond ``kept_bytes`` count."""

    size: int
    kept_bytes: int


class CallerMemory:
    """Bytes held for callers; thread-safe.

    Parameters
    ----------
    memory_bytes : float
        Memory of the process.
    """

    def __init__(self, memory_bytes: float) -> None:
        self._limit = int(memory_bytes * MEMORY_FRACTION)
        self._surplus_limit = int(memory_bytes * SURPLUS_FRACTION)
        self._exhausted_limit = int(self._limit * (1 + MARGIN_FRACTION))
        self._held = 0
        self._surplus = 0
        # Reentrant: a request that the garbage collector ends gives back its bytes.
        self._lock = threading.RLock()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for callers."""
        return self._held

    @property
    def is_over(self) -> bool:
        """Whether someone has to give way."""
        return self._held > self._limit or self._surplus > self._surplus_limit

    @property
    def is_exhausted(self) -> bool:
        """Whether nobody could give way and no request is taken in any more."""
        return self._held > self._exhausted_limit

    def move(self, before: int, after: int) -> None:
        """Change what one request, answer or output holds, in bytes."""
        if before <= SMALL_BYTES and after <= SMALL_BYTES:
            with self._lock:
                self._held += after - before
            return
        surplus = max(0, after - SMALL_BYTES) - max(0, before - SMALL_BYTES)
        with self._lock:
            self._held += after - before
            self._surplus += surplus

    def get_excess(self) -> Excess:
        """Return what has to be released."""
        margin = int(self._limit * MARGIN_FRACTION)
        if self._held > self._limit:
            return Excess(self._held - self._limit + margin, 0)
        if self._surplus > self._surplus_limit:
            return Excess(self._surplus - self._surplus_limit + margin, SMALL_BYTES)
        return Excess(0, 0)


def return_large_allocations() -> None:
    """Have the allocator return large bodies to the system when they are released.

    Notes
    -----
    glibc raises its threshold to the size of the largest block released so far, after
    which bodies fragment its heaps. Other C libraries have no such parameter.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, RETURNED_BYTES)


__all__ = ["CallerMemory", "return_large_allocations"]
