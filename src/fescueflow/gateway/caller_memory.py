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
# Part of a limit above which answers give way that their callers are taking, too: the
# memory of the process would not suffice otherwise.
CRITICAL_FRACTION = 1 / 4
# Allocations above this size are returned to the system when they are released.
RETURNED_BYTES = 1 << 17
# Parameter of glibc's ``mallopt`` for that size.
M_MMAP_THRESHOLD: Final = -3


@dataclass(frozen=True, slots=True)
class Excess:
    """Bytes to release; of each holder only those beyond ``kept_bytes`` count.

    ``urgent_bytes`` have to be released even if ``size`` can't be. If it is critical,
    answers and requests that make progress give way as well.
    """

    size: int
    kept_bytes: int
    urgent_bytes: int = 0
    is_critical: bool = False


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
        self._critical_limit = int(self._limit * (1 + CRITICAL_FRACTION))
        # Whether those who can give way hold less than has to be released.
        self._is_stuck = False
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
        """Whether not enough could be released and no request is taken in any more."""
        limit = self._limit if self._is_stuck else self._exhausted_limit
        return self._held > limit

    def note_relief(self, is_enough: bool) -> None:
        """Note whether those who can give way hold what has to be released."""
        self._is_stuck = not is_enough

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
            size = self._held - self._limit + margin
            urgent = max(0, self._held - self._exhausted_limit)
            return Excess(size, 0, urgent, self._held > self._critical_limit)
        if self._surplus > self._surplus_limit:
            size = self._surplus - self._surplus_limit + margin
            return Excess(size, SMALL_BYTES, max(0, size - 2 * margin))
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


__all__ = ["SMALL_BYTES", "CallerMemory", "return_large_allocations"]
