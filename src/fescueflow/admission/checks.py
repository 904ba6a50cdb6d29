"""Invariants that hold at every grant."""

from fescueflow.admission.gate import Gate, SlotCapacity
from fescueflow.admission.grants import GrantedSlot
from fescueflow.admission.loads import GroupLoad
from fescueflow.configuration import Configuration
from fescueflow.core import ListState
from fescueflow.invariants import Invariant, Invariants


def check_grant(
    invariants: Invariants,
    configuration: Configuration | None,
    gate: Gate,
    capacity: SlotCapacity,
    load: GroupLoad,
    known: int,
    slot: GrantedSlot,
) -> None:
    """Check a grant that was just made.

    Parameters
    ----------
    invariants : Invariants
    configuration : Configuration or None
        Read after the grant was decided.
    gate : Gate
        Contains the granted slot.
    capacity : SlotCapacity
    load : GroupLoad
    known : int
        Known load of the upstream before the grant.
    slot : GrantedSlot
    """
    check = invariants.check
    name, zone = gate.upstream.id, gate.upstream.zone
    own, limit = gate.count_own(), min(gate.ramp.limit, gate.ramp.limit_max)
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
    listed = gate.upstream.state is ListState.LIVE
    leaving = configuration is None or name in configuration.leaving
    serving = listed and not leaving
    check(Invariant.NO_WORK_TO_LEAVING_UPSTREAM, serving, listed=listed, **fields)


__all__ = ["check_grant"]
