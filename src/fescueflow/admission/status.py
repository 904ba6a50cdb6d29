"""Loads and status of the upstreams of a home."""

from collections.abc import Iterable

from fescueflow.admission.pool import SlotPool
from fescueflow.admission.slots import UpstreamStatus
from fescueflow.admission.totals import GroupTotals
from fescueflow.core import hash_upstream
from fescueflow.schema import UpstreamLoad


def list_loads(pools: Iterable[SlotPool], now: float) -> list[UpstreamLoad]:
    """Return the known load of each pool's upstream."""
    rows = []
    for pool in pools:
        ref = hash_upstream(pool.upstream.id)
        with pool.lock:
            known = pool.count_known(now)
            limit, cold = pool.ramp.limit, pool.ramp.cold
        rows.append(UpstreamLoad(ref, known, limit, cold))
    return rows


def list_status(
    pools: Iterable[SlotPool], totals: GroupTotals, now: float
) -> list[UpstreamStatus]:
    """Return the status of each pool's upstream."""
    rows = []
    for pool in pools:
        load = totals.sum_group(pool)
        with pool.lock:
            known = pool.count_known(now)
            limit = pool.ramp.limit
            if load.bounded:
                limit = min(limit, load.get_bound(known))
            cold = pool.ramp.cold
            queued = len(pool.queue)
        rows.append(UpstreamStatus(pool.upstream, known, limit, cold, queued))
    return rows


__all__ = ["list_loads", "list_status"]
