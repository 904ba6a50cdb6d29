"""Entries of the store, applied to the local state in the order of their revisions."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from fescueflow.core import Revision
from fescueflow.gateway.changes import ChangeHandler, UnreadableEntries
from fescueflow.platform import StoreItem

# Keys whose last revision is kept, deleted ones among them; more than a store of a
# large fleet has. Without its revision, an item is applied as it comes.
KEYS_MAX = 16_384


class EntryWriter:
    """Applies each key's entries in order, however they arrive; not thread-safe.

    Parameters
    ----------
    handlers : sequence of ChangeHandler

    Notes
    -----
    Pages of a read, answers to a watch, fetched values and updates of other instances
    overlap, and an older value may come last.
    """

    def __init__(self, handlers: Sequence[ChangeHandler]) -> None:
        self._handlers = handlers
        self._revisions: OrderedDict[str, Revision] = OrderedDict()

    def start_era(self) -> None:
        """Forget the revisions: the store issues them again for other values."""
        self._revisions.clear()

    def apply(self, items: Iterable[StoreItem]) -> dict[str, bool]:
        """Apply items that are newer than what is known.

        Returns
        -------
        dict of str to bool
            Whether the last item that was applied of each key was readable.
        """
        readable = {}
        for item in filter(self._is_newer, items):
            self._remember(item.key, item.revision)
            readable[item.key] = True
            for handler in self._handlers:
                if item.key.startswith(handler.prefix):
                    try:
                        handler.apply(item)
                    except UnreadableEntries:
                        readable[item.key] = False
                        # The same revision is accepted when it is read again.
                        self._remember(item.key, Revision(item.revision - 1))
        return readable

    def replace_all(self, items: Sequence[StoreItem]) -> dict[str, bool]:
        """Apply a complete read; return whether the entry of each key was readable."""
        readable = dict.fromkeys((item.key for item in items), True)
        self._revisions.clear()
        for item in items:
            self._remember(item.key, item.revision)
        for handler in self._handlers:
            prefix = handler.prefix
            try:
                handler.replace_all(i for i in items if i.key.startswith(prefix))
            except UnreadableEntries as error:
                for key in error.keys:
                    readable[key] = False
                    self._revisions.pop(key, None)
        return readable

    def _is_newer(self, item: StoreItem) -> bool:
        return not item.revision or item.revision > self._revisions.get(item.key, 0)

    def _remember(self, key: str, revision: Revision) -> None:
        if revision <= 0:
            return
        self._revisions[key] = revision
        self._revisions.move_to_end(key)
        if len(self._revisions) > KEYS_MAX:
            self._revisions.popitem(last=False)


__all__ = ["EntryWriter"]
