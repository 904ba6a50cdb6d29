"""Granted slots as their home records them."""

from dataclasses import dataclass

from fescueflow.admission.queue import Waiter
from fescueflow.admission.slots import Grantee
from fescueflow.core import CustomerId, Priority, SlotId

# Time after a request's deadline at which its slot is reclaimed.
RECLAIM_MARGIN_S = 1.0


@dataclass(frozen=True)
class GrantedSlot:
    """A granted slot that has not been released.

    Times are on the monotonic clock of the home. The requester must start its
    request before ``start_by``; the home takes the slot back at ``reclaim_at``.
    """

    id: SlotId
    request_key: str
    grantee: Grantee
    granted_at: float
    start_by: float
    reclaim_at: float
    customer: CustomerId
    share: int
    priority: Priority = Priority.STANDARD
    recallable: bool = False
    resumed: bool = False


def make_slot(
    slot_id: SlotId, entry: Waiter, now: float, start_by: float
) -> GrantedSlot:
    """Return the slot for a queue entry that is granted one."""
    return GrantedSlot(
        id=slot_id,
        request_key=entry.demand.request_key,
        grantee=entry.grantee,
        granted_at=now,
        start_by=start_by,
        reclaim_at=entry.deadline + RECLAIM_MARGIN_S,
        customer=entry.demand.customer,
        share=entry.demand.share,
        priority=entry.demand.priority,
        recallable=entry.demand.recallable,
        resumed=entry.demand.resumed,
    )


__all__ = ["GrantedSlot", "make_slot"]
