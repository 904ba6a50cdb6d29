"""Changes of the store that an instance knows of but does not have.

Load pattern: configurations follow each other within one call of the store. While an
answer is on its way, updates of other instances tell of later changes, and the answer
does not have them. A note of what is missing therefore holds the revision that it is
about. An answer clears it if it goes as far, or if its call began after the note: the
store's answers are linearizable, so that the noted revision does not exist then.
"""

from collections.abc import Iterable

from fescueflow.core import Revision


class MissingChanges:
    """Notes of missing changes; not thread-safe."""

    def __init__(self) -> None:
        self._announced = Revision(0)
        # Keys whose last value an update did not include, with its revision.
        self._keys: dict[str, Revision] = {}

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


__all__ = ["MissingChanges"]
