"""Recalls of slots in favour of waiting entries; guarded by the gate's lock."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from math import inf

from fescueflow.admission.grants import GrantedSlot
from fescueflow.admission.queue import Waiter
from fescueflow.admission.slots import Grantee, SlotDemand
from fescueflow.core import CustomerId, Priority, SlotId

# A request that has just begun is let run, so that its connection and its head
# are not paid for nothing.
RUN_MIN_S = 0.03
# The same for a resumed stream, so that it makes progress between two recalls.
RESUMED_RUN_MIN_S = 0.1
# A recall without a release is repeated after this time: datagrams get lost.
REPEAT_S = 0.1
# How long a recalled slot is reserved, from the first message on.
RESERVED_S = 0.3
# An entry that asked not to wait waits this long after all if a slot was asked
# back for it, because most come back within a few hundredths of a second.
RECALL_WAIT_S = 0.1


@dataclass
class Recall:
    """A slot that was asked back for an entry."""

    slot: GrantedSlot
    waiter: tuple[Grantee, str]
    sent_at: float
    until: float
    is_freed: bool = False


def get_due_time(slot: GrantedSlot) -> float:
    """Return from when on a recallable slot may be asked back."""
    return slot.granted_at + (RESUMED_RUN_MIN_S if slot.resumed else RUN_MIN_S)


def precedes(
    demand: SlotDemand, slot: GrantedSlot, heavy: Collection[CustomerId]
) -> bool:
    """Return whether a slot may be asked back for a demand.

    Notes
    -----
    The slot of a heavy customer yields to other customers of the same or a higher
    class and to every higher class. Lookups and batches of any customer yield to
    every higher class, because they may wait.
    """
    if slot.customer in heavy:
        if demand.customer in heavy:
            return demand.priority < slot.priority
        return demand.priority <= slot.priority
    return slot.priority >= Priority.LOOKUP and demand.priority < slot.priority


class RecallBook:
    """Recalls of one upstream."""

    def __init__(self) -> None:
        self._recalls: dict[SlotId, Recall] = {}

    def is_reserving(self, now: float) -> bool:
        """Return whether an entry that recalled a slot still has a claim."""
        if self._recalls:
            self._recalls = {k: r for k, r in self._recalls.items() if r.until > now}
        return bool(self._recalls)

    def find_reserved(self, waiters: Iterable[Waiter]) -> Waiter | None:
        """Return the first entry that recalled a slot, if it waits."""
        keys = {recall.waiter for recall in self._recalls.values()}
        waiting = [waiter for waiter in waiters if waiter.key in keys]
        return min(waiting, key=get_order, default=None)

    def note_freed(self, slot_id: SlotId) -> None:
        """Note that a slot was released; its recall is not repeated."""
        recall = self._recalls.get(slot_id)
        if recall is not None:
            recall.is_freed = True

    def get_wait(self, key: tuple[Grantee, str]) -> float:
        """Return how long an entry waits at least, in seconds."""
        keys = {recall.waiter for recall in self._recalls.values()}
        return RECALL_WAIT_S if key in keys else 0.0

    def note_granted(self, key: tuple[Grantee, str]) -> None:
        """End the claims of an entry that got a slot."""
        self._recalls = {k: r for k, r in self._recalls.items() if r.waiter != key}

    def plan(
        self,
        waiters: Iterable[Waiter],
        slots: Mapping[SlotId, GrantedSlot],
        heavy: Collection[CustomerId],
        now: float,
    ) -> list[GrantedSlot]:
        """Return the slots to ask back now, repeated recalls included.

        Parameters
        ----------
        waiters : iterable of Waiter
        slots : mapping of SlotId to GrantedSlot
            Slots in use.
        heavy : collection of CustomerId
        now : float
        """
        repeated = self._repeat(now)
        victims = [
            s for s in slots.values() if s.recallable and s.id not in self._recalls
        ]
        if not victims:
            return repeated
        victims.sort(key=lambda slot: (slot.granted_at, slot.id), reverse=True)
        claimed = {recall.waiter for recall in self._recalls.values()}
        chosen: list[GrantedSlot] = []
        for waiter in sorted(waiters, key=get_order):
            if waiter.key in claimed:
                continue
            matching = [s for s in victims if precedes(waiter.demand, s, heavy)]
            waiter.look_at = min(map(get_due_time, matching), default=inf)
            victim = next((s for s in matching if get_due_time(s) <= now), None)
            if victim is not None:
                waiter.look_at = inf
                victims.remove(victim)
                until = now + RESERVED_S
                self._recalls[victim.id] = Recall(victim, waiter.key, now, until)
                chosen.append(victim)
        return repeated + chosen

    def _repeat(self, now: float) -> list[GrantedSlot]:
        if not self.is_reserving(now):
            return []
        due = [
            recall
            for recall in self._recalls.values()
            if not recall.is_freed and now >= recall.sent_at + REPEAT_S
        ]
        for recall in due:
            recall.sent_at = now
        return [recall.slot for recall in due]


def get_order(waiter: Waiter) -> tuple[Priority, float, float]:
    """Return the key that orders entries as the queue serves them."""
    return (waiter.demand.priority, waiter.start_tag, waiter.enqueued_at)


__all__ = ["RecallBook"]
