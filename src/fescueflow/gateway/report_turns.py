"""Turns of entries that exceed one report."""

from collections.abc import Sequence
from typing import Generic, TypeVar

EntryT = TypeVar("EntryT")


class ReportTurns(Generic[EntryT]):
    """Selects entries for reports so that each gets its turn.

    Parameters
    ----------
    size : int
        Entries in one report.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._next = 0

    def take(self, entries: Sequence[EntryT]) -> list[EntryT]:
        """Return the entries of the next report, in a stable order."""
        if len(entries) <= self._size:
            self._next = 0
            return list(entries)
        start = self._next % len(entries)
        self._next = start + self._size
        return [*entries, *entries][start : start + self._size]


__all__ = ["ReportTurns"]
