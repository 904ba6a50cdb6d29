"""Limit on the memory of answers that are held until they are complete.

Load pattern: a faulty upstream sends bytes without end in the bodies of many answers at
once. Each of them alone is within the limit of a body; together, they would exceed the
memory of the process, and end the requests of all callers.
"""

import threading
import weakref

from fescueflow.core import FescueflowError
from fescueflow.gateway.caller_memory import CallerMemory

# Bytes that each answer may hold whatever the others hold. Usual answers are smaller.
GUARANTEED_BYTES = 1 << 18
# Fraction of the process's memory for what answers hold beyond that.
MEMORY_FRACTION = 1 / 8


class BufferFull(FescueflowError):
    """Answers hold as many bytes as they may."""


class AnswerBuffers:
    """Bytes that all answers hold beyond what each of them may; thread-safe.

    Parameters
    ----------
    memory_bytes : float
        Memory of the process.
    memory : CallerMemory, optional
        Account of all that is held for callers, in which answers are counted, too.
    """

    def __init__(self, memory_bytes: float, memory: CallerMemory | None = None) -> None:
        self._memory = memory or CallerMemory(memory_bytes)
        self._left = int(memory_bytes * MEMORY_FRACTION)
        self._lock = threading.Lock()

    def take(self, count: int) -> None:
        """Take bytes from what is left.

        Raises
        ------
        BufferFull
            If not enough are left.
        """
        with self._lock:
            if count > self._left:
                raise BufferFull("answers hold too many bytes")
            self._left -= count

    def give_back(self, count: int) -> None:
        """Give bytes back."""
        with self._lock:
            self._left += count

    def move(self, before: int, after: int) -> None:
        """Change what one answer holds in all, in bytes."""
        self._memory.move(before, after)


class AnswerBuffer:
    """The bytes of one answer; they are given back with the last reference to it."""

    def __init__(self, buffers: AnswerBuffers) -> None:
        self._buffers = buffers
        # Bytes beyond what each answer may hold, and all bytes.
        self._taken = [0, 0]
        weakref.finalize(self, give_all_back, buffers, self._taken)

    def grow(self, count: int) -> None:
        """Count further bytes.

        Raises
        ------
        BufferFull
            If all answers together hold too many.
        """
        size = self._taken[1] + count
        self._buffers.move(self._taken[1], size)
        self._taken[1] = size
        surplus = size - GUARANTEED_BYTES - self._taken[0]
        if surplus > 0:
            self._buffers.take(surplus)
            self._taken[0] += surplus


def give_all_back(buffers: AnswerBuffers, taken: list[int]) -> None:
    """Give back what an answer has taken."""
    buffers.give_back(taken[0])
    buffers.move(taken[1], 0)


__all__ = ["AnswerBuffer", "AnswerBuffers", "BufferFull"]
