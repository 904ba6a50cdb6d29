"""Loads and states of the upstreams of a home."""

from collections.abc import Iterable

from fescueflow.admission.gate import Gate
from fescueflow.admission.slots import UpstreamStatus
from fescueflow.admission.totals import GroupTotals
from fescueflow.core import hash_upstream
from fescueflow.schema import UpstreamLoad


def list_loads(gates: Iterable[Gate], now: float) -> list[UpstreamLoad]:
    """Return the known loads of upstreams."""
    rows = []
    for gate in gates:
        ref = hash_upstream(gate.upstream.id)
        with gate.lock:
            known = gate.count_known(now)
            limit, cold = gate.ramp.limit, gate.ramp.cold
        rows.append(UpstreamLoad(ref, known, limit, cold))
    return rows


def list_status(
    gates: Iterable[Gate], totals: GroupTotals, now: float
) -> list[UpstreamStatus]:
    """Return the states of upstreams."""
    rows = []
    for gate in gates:
        load = totals.sum_group(gate)
        with gate.lock:
            known = gate.count_known(now)
            limit = gate.ramp.limit
            if load.bounded:
                limit = min(limit, load.get_bound(known))
            cold = gate.ramp.cold
            queued = len(gate.queue)
        rows.append(UpstreamStatus(gate.upstream, known, limit, cold, queued))
    return rows


__all__ = ["list_loads", "list_status"]
