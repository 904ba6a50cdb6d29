"""Home side of admission: grants slots of upstreams whose home this instance is."""

import threading
from collections.abc import Callable

from returns.result import Failure, Result, Success

from fescueflow.admission.checks import check_grant
from fescueflow.admission.grants import GrantedSlot, make_slot
from fescueflow.admission.loads import DigestTable, GroupLoad, is_in_service
from fescueflow.admission.pool import SlotCapacity, SlotPool, SlotPoolTimes
from fescueflow.admission.queue import Waiter
from fescueflow.admission.slots import (
    Grantee,
    LoadReport,
    SlotDemand,
    SlotRefused,
    UpstreamStatus,
)
from fescueflow.admission.status import list_loads, list_status
from fescueflow.admission.totals import GroupTotals
from fescueflow.audit import AuditKind, AuditTrail
from fescueflow.configuration import Configuration, ConfigurationStore
from fescueflow.core import (
    Clock,
    Incarnation,
    InstanceId,
    SlotId,
    UpstreamId,
)
from fescueflow.invariants import Invariants
from fescueflow.membership import ListService, MembershipService
from fescueflow.metrics import Metrics
from fescueflow.platform import ListedUpstream
from fescueflow.rights import SLOT_START_TIMEOUT_S, LeasedShares, RightsService
from fescueflow.schema import SlotOutcome, SlotRefusalReason, UpstreamLoad
from fescueflow.settings import Settings

# Default time after which a refused requester may retry.
RETRY_AFTER_MS = 200

# Slot id and the latest start time on the monotonic clock.
Grant = tuple[SlotId, float]


class HomeAdmission:
    """Grants, queues, releases and reclaims slots of upstreams whose home this is."""

    def __init__(
        self,
        *,
        settings: Settings,
        rights: RightsService,
        membership: MembershipService,
        list_service: ListService,
        store: ConfigurationStore,
        clock: Clock,
        metrics: Metrics,
        invariants: Invariants,
        audit: AuditTrail,
        send_recall: Callable[[Grantee, SlotId], None],
    ) -> None:
        self._rights = rights
        self._membership = membership
        self._list_service = list_service
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._invariants = invariants
        self._audit = audit
        self._send_recall = send_recall
        self._times = SlotPoolTimes(
            lease_s=settings.lease_ms / 1000,
            renew_s=settings.lease_renew_ms / 1000,
            report_lag_s=settings.load_report_lag_ms / 1000,
        )
        self.digests = DigestTable()
        self._lock = threading.Lock()
        self._totals = GroupTotals(
            rights=rights,
            list_service=list_service,
            store=store,
            digests=self.digests,
            find_pool=self._find_pool,
            clock=clock,
        )
        self._pools: dict[UpstreamId, SlotPool] = {}
        incarnation = membership.get_own_member().incarnation
        # Slot ids contain the incarnation, so that a late release never frees a
        # slot of the next incarnation.
        self._next_slot = (incarnation & 0x7FFFFFFF) << 32 | 1

    def acquire(
        self, grantee: Grantee, demand: SlotDemand
    ) -> Result[Grant, SlotRefused]:
        """Grant a slot, waiting in the queue for as long as the demand allows."""
        refusal = self._check_upstream(demand.upstream.id, self._store.get())
        pool = self._get_or_create_pool(demand.upstream.id) if refusal is None else None
        if refusal is not None or pool is None:
            return self._refuse(refusal or SlotRefusalReason.UNAVAILABLE)
        now = self._clock.monotonic()
        entry = self._enqueue(pool, grantee, demand, now)
        if not isinstance(entry, Waiter):
            return entry
        self.serve_queue(pool)
        with pool.lock:
            wait_s = max(demand.wait_s, pool.recalls.get_min_wait(entry.key))
        wait_until = now + min(wait_s, demand.deadline_s)
        while True:
            now = self._clock.monotonic()
            remaining_s = wait_until - now
            if entry.event.is_set() or remaining_s <= 0:
                return self._finish_wait(pool, entry)
            self._clock.wait(
                entry.event, min(remaining_s, entry.get_poll_interval(now))
            )
            self.serve_queue(pool)

    def _enqueue(
        self, pool: SlotPool, grantee: Grantee, demand: SlotDemand, now: float
    ) -> Waiter | Result[Grant, SlotRefused]:
        shares = self._rights.get_shares(pool.upstream.id)
        with pool.lock:
            existing = pool.by_request.get((grantee, demand.request_key))
            if existing is not None:
                return Success((existing, pool.slots[existing].start_by))
            for entry in pool.queue.list_waiters():
                if entry.key == (grantee, demand.request_key):
                    return entry
            pool.usage.record_demand(demand.customer, demand.share, now)
            waiter = Waiter(grantee, demand, now + demand.deadline_s, now)
            evicted = pool.queue.add(waiter, now)
            if evicted is not None:
                self._refuse_entry(evicted, SlotRefusalReason.QUEUE_FULL)
            if demand.resumed:
                # The estimates below are for whole requests; a resumed one has
                # only its rest to run.
                return waiter
            end_s = pool.estimate_heavy_end(waiter, shares, now)
            if end_s > demand.deadline_s:
                pool.queue.remove(waiter, served=False)
                return self._refuse(SlotRefusalReason.OVER_SHARE, int(end_s * 1000))
            expected_s = pool.estimate_wait(pool.queue.count_ahead(waiter), now)
            if 0 < demand.deadline_s < expected_s and len(pool.queue) > 1:
                pool.queue.remove(waiter, served=False)
                reason = SlotRefusalReason.WAIT_EXPIRED
                return self._refuse(reason, int(expected_s * 1000))
            return waiter

    def _finish_wait(self, pool: SlotPool, entry: Waiter) -> Result[Grant, SlotRefused]:
        now = self._clock.monotonic()
        shares = self._rights.get_shares(pool.upstream.id)
        with pool.lock:
            if entry.result is None:
                pool.queue.remove(entry, served=False)
                if entry.deadline > now and entry.demand.wait_s > 0:
                    pool.queue.retain_place(entry, now)
                self._refuse_entry(entry, *pool.choose_refusal(entry, shares, now))
            result: Result[Grant, SlotRefused] = entry.result
            return result

    def _refuse_entry(
        self, entry: Waiter, reason: SlotRefusalReason, retry_after_ms: int = 0
    ) -> None:
        entry.result = self._refuse(reason, retry_after_ms)
        entry.event.set()

    def _refuse(
        self, reason: SlotRefusalReason, retry_after_ms: int = RETRY_AFTER_MS
    ) -> Result[Grant, SlotRefused]:
        self._metrics.count("slots_refused", reason=reason.value)
        return Failure(SlotRefused(reason, max(RETRY_AFTER_MS, retry_after_ms)))

    def _check_upstream(
        self, upstream_id: UpstreamId, configuration: Configuration | None
    ) -> SlotRefusalReason | None:
        """Return why this instance may not grant slots of an upstream, if so."""
        upstream = self._list_service.get_upstream(upstream_id)
        if upstream is None or configuration is None:
            return SlotRefusalReason.UNAVAILABLE
        if not is_in_service(upstream, configuration):
            return SlotRefusalReason.UNAVAILABLE
        if not self._rights.is_home(upstream):
            return SlotRefusalReason.NOT_HOME
        return SlotRefusalReason.NO_SHARES if self._rights.is_fenced() else None

    def _get_or_create_pool(self, upstream_id: UpstreamId) -> SlotPool | None:
        upstream = self._list_service.get_upstream(upstream_id)
        configuration = self._store.get()
        if upstream is None or configuration is None:
            return None
        group = configuration.groups.get(upstream.group)
        if group is None:
            return None
        with self._lock:
            pool = self._pools.get(upstream_id)
            if pool is None:
                pool = self._pools[upstream_id] = SlotPool(upstream, group, self._times)
        with pool.lock:
            pool.configure(upstream, group)
        return pool

    def serve_queue(self, pool: SlotPool) -> None:
        """Grant slots to waiting entries as rights, limit and load bound allow."""
        if not len(pool.queue):
            return
        upstream_id = pool.upstream.id
        shares = self._rights.get_shares(upstream_id)
        load = self._totals.sum_group(pool)
        configuration = self._store.get()
        refusal = self._check_upstream(upstream_id, configuration)
        now = self._clock.monotonic()
        with pool.lock:
            if refusal is not None:
                for entry in pool.queue.list_waiters():
                    pool.queue.remove(entry, served=False)
                    self._refuse_entry(entry, refusal)
                return
            pool.has_shares = shares.share_bits != 0
            if not pool.has_shares:
                return
            pool.start_home_period(shares.home_since)
            self._serve_entries(pool, shares, load, configuration, now)
            may_recall = pool.is_engine and load.allows(pool.count_known(now) - 1)
            recalled = pool.plan_recalls(shares, now) if may_recall else []
        for slot in recalled:
            self._metrics.count("slots_recalled")
            self._send_recall(slot.grantee, slot.id)

    def _serve_entries(
        self,
        pool: SlotPool,
        shares: LeasedShares,
        load: GroupLoad,
        configuration: Configuration | None,
        now: float,
    ) -> None:
        while (waiter := pool.choose_next(shares, now)) is not None:
            if waiter.deadline <= now:
                pool.queue.remove(waiter, served=False)
                self._refuse_entry(waiter, SlotRefusalReason.WAIT_EXPIRED)
                continue
            capacity = pool.compute_capacity(shares, now)
            slot = self._grant(pool, waiter, capacity, load, now)
            if slot is None:
                return
            known = pool.count_known(now) - 1
            check_grant(
                self._invariants, configuration, pool, capacity, load, known, slot
            )

    def _grant(
        self,
        pool: SlotPool,
        entry: Waiter,
        capacity: SlotCapacity,
        load: GroupLoad,
        now: float,
    ) -> GrantedSlot | None:
        in_use = pool.count_in_use() + 1
        lease_end = capacity.get_lease_end(in_use)
        within = in_use <= capacity.slots and lease_end > now
        if not within or not load.allows(pool.count_known(now)):
            return None
        start_by = min(lease_end, now + SLOT_START_TIMEOUT_S, entry.deadline)
        with self._lock:
            slot_id = SlotId(self._next_slot)
            self._next_slot += 1
        pool.queue.remove(entry, served=True)
        slot = make_slot(slot_id, entry, now, start_by)
        pool.add_slot(slot, now)
        pool.recalls.record_grant(entry.key)
        self._metrics.count("slots_granted")
        self._metrics.observe("slot_wait", now - entry.enqueued_at)
        entry.result = Success((slot_id, start_by))
        entry.event.set()
        return slot

    def release(
        self,
        grantee: Grantee,
        slot_id: SlotId,
        outcome: SlotOutcome,
        first_byte_s: float | None,
        ended_s_ago: float = 0.0,
    ) -> bool:
        """Release a slot; return whether the grantee held it."""
        now = self._clock.monotonic()
        unused = outcome is SlotOutcome.UNUSED
        is_complete = outcome is not SlotOutcome.RECALLED
        ended_at = None if unused else now - ended_s_ago
        for pool in self.list_pools():
            with pool.lock:
                slot = pool.slots.get(slot_id)
                if slot is None or slot.grantee != grantee:
                    continue
                pool.remove_slot(slot_id, now, ended_at, is_complete)
                cold_reason = self._apply_outcome(pool, outcome, first_byte_s, now)
            self._record_cold(pool, cold_reason)
            self.serve_queue(pool)
            return True
        return False

    def _apply_outcome(
        self,
        pool: SlotPool,
        outcome: SlotOutcome,
        first_byte_s: float | None,
        now: float,
    ) -> str | None:
        if outcome in {SlotOutcome.UNUSED, SlotOutcome.RECALLED}:
            return None
        pool.record_completion(now)
        if outcome is SlotOutcome.REFUSED_BY_UPSTREAM:
            pool.ramp.turn_cold()
            return "refused"
        if outcome is SlotOutcome.COMPLETED and pool.ramp.complete(first_byte_s):
            return "slow_first_byte"
        return None

    def _record_cold(self, pool: SlotPool, cold_reason: str | None) -> None:
        if cold_reason is None:
            return
        self._metrics.count("upstreams_turned_cold", sign=cold_reason)
        self._audit.record(
            AuditKind.UPSTREAM_CHANGED, upstream=pool.upstream.id, cold=cold_reason
        )

    def _find_pool(self, upstream_id: UpstreamId) -> SlotPool | None:
        with self._lock:
            return self._pools.get(upstream_id)

    def list_pools(self) -> list[SlotPool]:
        """Return all slot pools."""
        with self._lock:
            return list(self._pools.values())

    def apply_report(self, pool: SlotPool, report: LoadReport) -> None:
        """Apply a load report and grant the slots that it allows."""
        with pool.lock:
            cold_reason = pool.apply_report(report)
        self._record_cold(pool, cold_reason)
        self.serve_queue(pool)

    def apply_carried(
        self, instance: InstanceId, upstream: ListedUpstream, count: int
    ) -> None:
        """Apply the number of requests of earlier homes that an instance runs."""
        pool = self._get_or_create_pool(upstream.id)
        if pool is not None:
            with pool.lock:
                pool.set_carried(instance, count, self._clock.monotonic())

    def tick(self) -> None:
        """Create pools of new upstreams, reclaim slots and serve the queues."""
        now = self._clock.monotonic()
        self.digests.drop_expired(now)
        for upstream in self._rights.list_own_upstreams():
            shares = self._rights.get_shares(upstream.id)
            opened = (
                self._get_or_create_pool(upstream.id) if shares.share_bits else None
            )
            if opened is not None:
                with opened.lock:
                    opened.start_home_period(shares.home_since)
        for pool in self.list_pools():
            self._reclaim(pool, now)
            self.serve_queue(pool)
            self._drop_idle(pool)

    def _reclaim(self, pool: SlotPool, now: float) -> None:
        has_ended: Callable[[InstanceId, Incarnation], bool] = (
            self._membership.has_ended
        )
        with pool.lock:
            slots = list(pool.slots.values())
        for slot in slots:
            if slot.reclaim_at > now and not has_ended(*slot.grantee):
                continue
            with pool.lock:
                pool.reclaim_slot(slot.id, now)
            self._metrics.count("slots_reclaimed")

    def _drop_idle(self, pool: SlotPool) -> None:
        if self._rights.is_home(pool.upstream):
            return
        with pool.lock:
            if pool.count_in_use() or len(pool.queue):
                return
        with self._lock:
            self._pools.pop(pool.upstream.id, None)

    def list_loads(self) -> list[UpstreamLoad]:
        """Return the known loads of the upstreams whose home this instance is."""
        return list_loads(self._list_home_pools(), self._clock.monotonic())

    def get_status(self) -> list[UpstreamStatus]:
        """Return the state of the upstreams whose home this instance is."""
        now = self._clock.monotonic()
        return list_status(self._list_home_pools(), self._totals, now)

    def _list_home_pools(self) -> list[SlotPool]:
        return [g for g in self.list_pools() if self._rights.is_home(g.upstream)]


__all__ = ["Grant", "GroupLoad", "HomeAdmission"]
