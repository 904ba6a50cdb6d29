"""Entries of the store, applied to the local state, and the notes of missing ones."""

from collections.abc import Mapping, Sequence

from fescueflow.core import Clock, Revision
from fescueflow.gateway.entries import EntryWriter
from fescueflow.gateway.missing import MissingChanges
from fescueflow.platform import StoreItem, StoreResult


class EntryApplier:
    """Applies entries and clears the notes that they answer; not thread-safe.

    Parameters
    ----------
    writer : EntryWriter
    missing : MissingChanges
    clock : Clock
    """

    def __init__(
        self, writer: EntryWriter, missing: MissingChanges, clock: Clock
    ) -> None:
        self._writer = writer
        self._missing = missing
        self._clock = clock

    def start_era(self, revision: Revision) -> None:
        """Forget all revisions, which say nothing in another era.

        Parameters
        ----------
        revision : Revision
            Revision of the era that the store is known to have reached.
        """
        self._writer.start_era()
        self._missing.start_era(revision)

    def apply(self, items: Sequence[StoreItem]) -> None:
        """Apply changes."""
        readable = self._writer.apply(items)
        for item in items:
            self._missing.resolve_key(item.key, item.revision)
        self._note_readable(readable)

    def replace_all(self, result: StoreResult) -> None:
        """Apply a complete read."""
        self._note_readable(self._writer.replace_all(result.items))
        self._missing.resolve_all(result.revision)

    def _note_readable(self, readable: Mapping[str, bool]) -> None:
        now = self._clock.monotonic()
        for key, is_readable in readable.items():
            if is_readable:
                self._missing.record_readable(key)
            else:
                self._missing.record_unreadable(key, now)


__all__ = ["EntryApplier"]
