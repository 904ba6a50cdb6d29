"""Changes of the store that an instance knows of but does not have.

Load pattern: configurations follow each other within one call of the store. While an
answer is on its way, updates of other instances tell of later changes, and the answer
does not have them. A note of what is missing therefore holds the revision that it is
about. An answer clears it if it goes as far, or if its call began after the note: the
store's answers are linearizable, so that the noted revision does not exist then.
"""

from collections.abc import Iterable

from fescueflow.core import Revision

# Attempts to read an entry again that could not be decoded, and the first pause, in
# seconds. An entry that was spoiled on its way is readable the next time; one that
# another writer left stays as it is until it changes.
UNREADABLE_ATTEMPTS_MAX = 3
UNREADABLE_PAUSE_S = 0.3


class MissingChanges:
    """Notes of missing changes and of entries to read again; not thread-safe."""

    def __init__(self) -> None:
        self._announced = Revision(0)
        # Keys whose last value an update did not include, with its revision.
        self._keys: dict[str, Revision] = {}
        # Keys of unreadable entries: failed attempts, and the time of the next one.
        self._unreadable: dict[str, tuple[int, float]] = {}

    def start_era(self, revision: Revision) -> None:
        """Forget all notes, whose revisions are of another era; announce one of it."""
        self._announced = revision
        self._keys.clear()
        self._unreadable.clear()

    @property
    def keys(self) -> list[str]:
        """Keys whose values have to be fetched."""
        return sorted(self._keys)

    @property
    def announced(self) -> Revision:
        """The highest revision that another instance has told of."""
        return self._announced

    def announce(self, revision: Revision) -> None:
        """Note that the store has reached a revision."""
        self._announced = max(self._announced, revision)

    def announce_keys(self, keys: Iterable[str], revision: Revision) -> None:
        """Note keys whose values have changed up to a revision."""
        for key in keys:
            self._keys[key] = max(revision, self._keys.get(key, revision))

    def count_behind(self, revision: Revision | None) -> int:
        """Return how many revisions the announced one is ahead of a state's."""
        return max(0, self._announced - (revision or 0))

    def is_complete(self, revision: Revision | None) -> bool:
        """Return whether a state of a revision lacks nothing, as far as is known."""
        return not self.has_any(revision) and self.get_next_due_s(0.0) is None

    def has_any(self, revision: Revision | None) -> bool:
        """Return whether a state of a revision lacks a change that is known of."""
        return bool(self._keys) or self.count_behind(revision) > 0

    def settle(self, noted: Revision, revision: Revision) -> bool:
        """Drop an announcement that an answer contradicts; return whether it did.

        Parameters
        ----------
        noted : Revision
            What was announced when the call began.
        revision : Revision
            How far the answer goes.
        """
        if not revision < self._announced <= noted:
            return False
        self._announced = revision
        return True

    def get_noted(self, key: str) -> Revision:
        """Return the revision up to which a key has changed, 0 without a note."""
        return self._keys.get(key, Revision(0))

    def resolve_key(self, key: str, revision: Revision) -> None:
        """Clear the note of a key whose value as of a revision is known."""
        if self.get_noted(key) <= revision:
            self._keys.pop(key, None)

    def resolve_all(self, revision: Revision) -> None:
        """Clear the notes of keys after a complete read as of a revision."""
        for key in self.keys:
            self.resolve_key(key, revision)

    def record_unreadable(self, key: str, now: float) -> None:
        """Note an entry that could not be decoded."""
        attempts, _ = self._unreadable.get(key, (0, 0.0))
        pause_s = UNREADABLE_PAUSE_S * 3**attempts
        self._unreadable[key] = attempts + 1, now + pause_s

    def record_readable(self, key: str) -> None:
        """Clear the note of an entry that could not be decoded."""
        self._unreadable.pop(key, None)

    def list_due(self, now: float) -> list[str]:
        """Return the unreadable entries to read again by now."""
        return sorted(
            key
            for key, (attempts, due_at) in self._unreadable.items()
            if attempts <= UNREADABLE_ATTEMPTS_MAX and due_at <= now
        )

    def get_next_due_s(self, now: float) -> float | None:
        """Return the time until an unreadable entry is read again, if any is."""
        times = [
            due_at - now
            for attempts, due_at in self._unreadable.values()
            if attempts <= UNREADABLE_ATTEMPTS_MAX
        ]
        return max(0.0, min(times)) if times else None


__all__ = ["MissingChanges"]
