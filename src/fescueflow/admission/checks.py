"""Invariants that hold whenever a slot is granted."""

from fescueflow.admission.grants import GrantedSlot
from fescueflow.admission.loads import GroupLoad
from fescueflow.admission.pool import SlotCapacity, SlotPool
from fescueflow.configuration import Configuration
from fescueflow.core import ListState
from fescueflow.invariants import Invariant, Invariants


def check_grant(
    invariants: Invariants,
    configuration: Configuration | None,
    pool: SlotPool,
    capacity: SlotCapacity,
    load: GroupLoad,
    known: int,
    slot: GrantedSlot,
) -> None:
    """Check the invariants after a slot was granted.

    Parameters
    ----------
    invariants : Invariants
    configuration : Configuration or None
        Configuration that the grant was decided with.
    pool : SlotPool
        Pool of the upstream; contains the granted slot.
    capacity : SlotCapacity
        Capacity of the pool before the grant.
    load : GroupLoad
        Load bound of the upstream's group before the grant.
    known : int
        Known load of the upstream before the grant.
    slot : GrantedSlot
        Granted slot.
    """
    check = invariants.check
    name, zone = pool.upstream.id, pool.upstream.zone
    own, limit = pool.count_in_use(), min(pool.ramp.limit, pool.ramp.limit_max)
    rights = capacity.count_rights()
    backed = slot.start_by <= capacity.get_lease_end(own)
    within = own <= rights and backed
    fields = {"upstream": name, "own": own}
    check(Invariant.SLOTS_WITHIN_RIGHTS, within, rights=rights, **fields)
    check(Invariant.COLD_LIMIT, own <= limit, limit=limit, **fields)
    bound = load.get_bound(known)
    bounded = not load.bounded or known + 1 <= bound
    check(Invariant.LOAD_BOUND, bounded, known=known, bound=bound, **fields)
    withdrawn = configuration is None or zone in configuration.withdrawn
    check(Invariant.NO_WORK_TO_WITHDRAWN_ZONE, not withdrawn, zone=zone, **fields)
    listed = pool.upstream.state is ListState.LIVE
    leaving = configuration is None or name in configuration.leaving
    serving = listed and not leaving
    check(Invariant.NO_WORK_TO_LEAVING_UPSTREAM, serving, listed=listed, **fields)


__all__ = ["check_grant"]
