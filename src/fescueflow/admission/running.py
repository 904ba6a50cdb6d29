"""Slots that this instance holds, and who is told when one is asked back."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from fescueflow.admission.slots import Slot
from fescueflow.core import Incarnation, InstanceId, SlotId

HomeKey = tuple[InstanceId, Incarnation]


@dataclass
class RunningSlot:
    """A slot; ``is_recalled`` if a recall came before there was a callback."""

    slot: Slot
    recall: Callable[[], None] | None = None
    is_recalled: bool = False


class RunningSlots:
    """Slots by the home that granted them; safe for use from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rows: dict[tuple[HomeKey, SlotId], RunningSlot] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def add(self, slot: Slot) -> None:
        """Note a slot that was granted."""
        with self._lock:
            self._rows[get_key(slot)] = RunningSlot(slot)

    def remove(self, slot: Slot) -> bool:
        """Forget a slot; return whether it was held."""
        with self._lock:
            return self._rows.pop(get_key(slot), None) is not None

    def list_slots(self) -> list[Slot]:
        """Return the slots that are held."""
        with self._lock:
            return [row.slot for row in self._rows.values()]

    def watch(self, slot: Slot, callback: Callable[[], None]) -> None:
        """Call back when the slot is recalled, at once if it was."""
        with self._lock:
            row = self._rows.get(get_key(slot))
            if row is None:
                return
            row.recall = callback
            is_recalled = row.is_recalled
        if is_recalled:
            callback()

    def recall(self, home: HomeKey, slot_id: SlotId) -> None:
        """Pass a recall on; one of a slot that is not held does nothing."""
        with self._lock:
            row = self._rows.get((home, slot_id))
            if row is None:
                return
            row.is_recalled = True
            callback = row.recall
        if callback is not None:
            callback()


def get_key(slot: Slot) -> tuple[HomeKey, SlotId]:
    """Return the identity of a slot; ids of different homes may be the same."""
    return (slot.home.instance, slot.home.incarnation), slot.id


__all__ = ["HomeKey", "RunningSlots"]
