"""Slots that this instance holds, and the callbacks for their recalls."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from fescueflow.admission.slots import Slot
from fescueflow.core import Incarnation, InstanceId, SlotId

HomeKey = tuple[InstanceId, Incarnation]


@dataclass
class HeldSlot:
    """A held slot.

    ``is_recalled`` makes a recall that arrives before the callback is set take
    effect when it is set.
    """

    slot: Slot
    callback: Callable[[], None] | None = None
    is_recalled: bool = False


class HeldSlots:
    """Held slots by the home that granted them; safe for use from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._slots: dict[tuple[HomeKey, SlotId], HeldSlot] = {}

    def __len__(self) -> int:
        return len(self._slots)

    def add(self, slot: Slot) -> None:
        """Add a slot that was granted to this instance."""
        with self._lock:
            self._slots[get_key(slot)] = HeldSlot(slot)

    def remove(self, slot: Slot) -> bool:
        """Remove a slot; return whether it was held."""
        with self._lock:
            return self._slots.pop(get_key(slot), None) is not None

    def list_slots(self) -> list[Slot]:
        """Return all held slots."""
        with self._lock:
            return [held.slot for held in self._slots.values()]

    def set_callback(self, slot: Slot, callback: Callable[[], None]) -> None:
        """Set the recall callback of a slot.

        It is called at once if the slot was recalled before.
        """
        with self._lock:
            held = self._slots.get(get_key(slot))
            if held is None:
                return
            held.callback = callback
            is_recalled = held.is_recalled
        if is_recalled:
            callback()

    def recall(self, home: HomeKey, slot_id: SlotId) -> None:
        """Call the callback of a recalled slot; unknown slots are ignored."""
        with self._lock:
            held = self._slots.get((home, slot_id))
            if held is None:
                return
            held.is_recalled = True
            callback = held.callback
        if callback is not None:
            callback()


def get_key(slot: Slot) -> tuple[HomeKey, SlotId]:
    """Return a unique key of a slot; slot ids are unique within one home only."""
    return (slot.home.instance, slot.home.incarnation), slot.id


__all__ = ["HeldSlots", "HomeKey"]
