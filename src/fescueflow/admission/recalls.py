"""Recalls of slots in favour of waiting entries."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from math import inf

from fescueflow.admission.grants import GrantedSlot
from fescueflow.admission.queue import Waiter
from fescueflow.admission.slots import Grantee, SlotDemand
from fescueflow.core import CustomerId, Priority, SlotId

# A request runs at least this long before its slot is recalled, so that the cost of
# its connection and request head is not wasted.
RUN_MIN_S = 0.03
# The same for a resumed stream, which must make progress between two recalls.
RESUMED_RUN_MIN_S = 0.1
# A recall that is not followed by a release is repeated after this time, because
# datagrams may be lost.
RECALL_REPEAT_S = 0.1
# How long a recalled slot is reserved, counted from the first recall message.
RESERVATION_S = 0.3
# Shortest wait of an entry for which a slot was recalled, even if its demand allows
# no wait: most recalled slots are released within a few hundredths of a second.
RECALL_WAIT_S = 0.1


@dataclass
class Recall:
    """Recall of a slot in favour of the entry with the key ``waiter``."""

    slot: GrantedSlot
    waiter: tuple[Grantee, str]
    sent_at: float
    reserved_until: float
    is_released: bool = False


def get_earliest_recall(slot: GrantedSlot) -> float:
    """Return the earliest time at which a recallable slot may be recalled."""
    return slot.granted_at + (RESUMED_RUN_MIN_S if slot.resumed else RUN_MIN_S)


def may_preempt(
    demand: SlotDemand, slot: GrantedSlot, heavy: Collection[CustomerId]
) -> bool:
    """Return whether a slot may be recalled in favour of a demand.

    Notes
    -----
    A heavy customer's slot may be recalled for customers that are not heavy in the
    same or a higher class, and for heavy customers in a higher class. Lookup and
    batch slots of any customer may be recalled for every higher class, because
    such requests can wait.
    """
    if slot.customer in heavy:
        if demand.customer in heavy:
            return demand.priority < slot.priority
        return demand.priority <= slot.priority
    return slot.priority >= Priority.LOOKUP and demand.priority < slot.priority


class RecallTracker:
    """Recalls of one upstream; callers hold the lock of its slot pool."""

    def __init__(self) -> None:
        self._recalls: dict[SlotId, Recall] = {}

    def has_reservation(self, now: float) -> bool:
        """Return whether a recalled slot is still reserved for an entry."""
        if self._recalls:
            self._recalls = {
                k: r for k, r in self._recalls.items() if r.reserved_until > now
            }
        return bool(self._recalls)

    def find_reserved(self, waiters: Iterable[Waiter]) -> Waiter | None:
        """Return the first waiting entry for which a slot was recalled, if any."""
        keys = {recall.waiter for recall in self._recalls.values()}
        waiting = [waiter for waiter in waiters if waiter.key in keys]
        return min(waiting, key=get_service_order, default=None)

    def record_release(self, slot_id: SlotId) -> None:
        """Record that a slot was released, so that its recall is not repeated."""
        recall = self._recalls.get(slot_id)
        if recall is not None:
            recall.is_released = True

    def get_min_wait(self, key: tuple[Grantee, str]) -> float:
        """Return the shortest wait of an entry in seconds."""
        keys = {recall.waiter for recall in self._recalls.values()}
        return RECALL_WAIT_S if key in keys else 0.0

    def record_grant(self, key: tuple[Grantee, str]) -> None:
        """Remove the recalls of an entry that was granted a slot."""
        self._recalls = {k: r for k, r in self._recalls.items() if r.waiter != key}

    def plan(
        self,
        waiters: Iterable[Waiter],
        slots: Mapping[SlotId, GrantedSlot],
        heavy: Collection[CustomerId],
        now: float,
    ) -> list[GrantedSlot]:
        """Return the slots to recall now, including repeated recalls.

        Parameters
        ----------
        waiters : iterable of Waiter
        slots : mapping of SlotId to GrantedSlot
            Slots in use.
        heavy : collection of CustomerId
            Customers that use far more than their share.
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
        for waiter in sorted(waiters, key=get_service_order):
            if waiter.key in claimed:
                continue
            matching = [s for s in victims if may_preempt(waiter.demand, s, heavy)]
            waiter.next_recall_at = min(map(get_earliest_recall, matching), default=inf)
            victim = next((s for s in matching if get_earliest_recall(s) <= now), None)
            if victim is not None:
                waiter.next_recall_at = inf
                victims.remove(victim)
                reserved_until = now + RESERVATION_S
                self._recalls[victim.id] = Recall(
                    victim, waiter.key, now, reserved_until
                )
                chosen.append(victim)
        return repeated + chosen

    def _repeat(self, now: float) -> list[GrantedSlot]:
        if not self.has_reservation(now):
            return []
        due = [
            recall
            for recall in self._recalls.values()
            if not recall.is_released and now >= recall.sent_at + RECALL_REPEAT_S
        ]
        for recall in due:
            recall.sent_at = now
        return [recall.slot for recall in due]


def get_service_order(waiter: Waiter) -> tuple[Priority, float, float]:
    """Return the sort key that orders entries as the queue serves them."""
    return (waiter.demand.priority, waiter.start_tag, waiter.enqueued_at)


__all__ = ["RecallTracker"]
