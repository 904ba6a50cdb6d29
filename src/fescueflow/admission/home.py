"""Home side of admission: grants slots of the upstreams of this instance."""

import threading
from collections.abc import Callable

from returns.result import Failure, Result, Success

from fescueflow.admission.checks import check_grant
from fescueflow.admission.gate import Gate, GateTimes, SlotCapacity
from fescueflow.admission.grants import GrantedSlot, make_slot
from fescueflow.admission.loads import DigestBook, GroupLoad, is_in_service
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
from fescueflow.rights import START_WITHIN_MAX_S, LeasedShares, RightsService
from fescueflow.schema import SlotOutcome, SlotRefusalReason, UpstreamLoad
from fescueflow.settings import Settings

RETRY_AFTER_MS = 200

Grant = tuple[SlotId, float]


class HomeAdmission:
    """Grants, queues, releases and reclaims slots."""

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
        self._times = GateTimes(
            lease_s=settings.lease_ms / 1000,
            renew_s=settings.lease_renew_ms / 1000,
            report_lag_s=settings.load_report_lag_ms / 1000,
        )
        self.digests = DigestBook()
        self._lock = threading.Lock()
        self._totals = GroupTotals(
            rights=rights,
            list_service=list_service,
            store=store,
            digests=self.digests,
            find_gate=self._find_gate,
            clock=clock,
        )
        self._gates: dict[UpstreamId, Gate] = {}
        incarnation = membership.get_own().incarnation
        # Ids of different incarnations differ, so that a late release never
        # frees a slot of the next incarnation.
        self._next_slot = (incarnation & 0x7FFFFFFF) << 32 | 1

    def acquire(
        self, grantee: Grantee, demand: SlotDemand
    ) -> Result[Grant, SlotRefused]:
        """Grant a slot, after waiting in the queue if the demand allows it."""
        refusal = self._judge_upstream(demand.upstream.id, self._store.get())
        gate = self._open_gate(demand.upstream.id) if refusal is None else None
        if refusal is not None or gate is None:
            return self._refuse(refusal or SlotRefusalReason.UNAVAILABLE)
        now = self._clock.monotonic()
        entry = self._enter(gate, grantee, demand, now)
        if not isinstance(entry, Waiter):
            return entry
        self.serve_queue(gate)
        with gate.lock:
            wait_s = max(demand.wait_s, gate.recalls.get_wait(entry.key))
        wait_until = now + min(wait_s, demand.deadline_s)
        while True:
            now = self._clock.monotonic()
            left = wait_until - now
            if entry.event.is_set() or left <= 0:
                return self._leave(gate, entry)
            self._clock.wait(entry.event, min(left, entry.get_pause(now)))
            self.serve_queue(gate)

    def _enter(
        self, gate: Gate, grantee: Grantee, demand: SlotDemand, now: float
    ) -> Waiter | Result[Grant, SlotRefused]:
        shares = self._rights.get_shares(gate.upstream.id)
        with gate.lock:
            former = gate.by_request.get((grantee, demand.request_key))
            if former is not None:
                return Success((former, gate.slots[former].start_by))
            for entry in gate.queue.list_waiters():
                if entry.key == (grantee, demand.request_key):
                    return entry
            gate.usage.note_demand(demand.customer, demand.share, now)
            waiter = Waiter(grantee, demand, now + demand.deadline_s, now)
            displaced = gate.queue.add(waiter, now)
            if displaced is not None:
                self._answer(displaced, SlotRefusalReason.QUEUE_FULL)
            if demand.resumed:
                # What is left of it takes less time than is estimated here.
                return waiter
            end_s = gate.estimate_heavy_end(waiter, shares, now)
            if end_s > demand.deadline_s:
                gate.queue.remove(waiter, served=False)
                return self._refuse(SlotRefusalReason.OVER_SHARE, int(end_s * 1000))
            expected = gate.estimate_wait(gate.queue.count_ahead(waiter), now)
            if 0 < demand.deadline_s < expected and len(gate.queue) > 1:
                gate.queue.remove(waiter, served=False)
                reason = SlotRefusalReason.WAIT_EXPIRED
                return self._refuse(reason, int(expected * 1000))
            return waiter

    def _leave(self, gate: Gate, entry: Waiter) -> Result[Grant, SlotRefused]:
        now = self._clock.monotonic()
        shares = self._rights.get_shares(gate.upstream.id)
        with gate.lock:
            if entry.answer is None:
                gate.queue.remove(entry, served=False)
                if entry.deadline > now and entry.demand.wait_s > 0:
                    gate.queue.keep_place(entry, now)
                self._answer(entry, *gate.choose_refusal(entry, shares, now))
            answer: Result[Grant, SlotRefused] = entry.answer
            return answer

    def _answer(
        self, entry: Waiter, reason: SlotRefusalReason, retry_after_ms: int = 0
    ) -> None:
        entry.answer = self._refuse(reason, max(RETRY_AFTER_MS, retry_after_ms))
        entry.event.set()

    def _refuse(
        self, reason: SlotRefusalReason, retry_after_ms: int = RETRY_AFTER_MS
    ) -> Result[Grant, SlotRefused]:
        self._metrics.count("slots_refused", reason=reason.value)
        return Failure(SlotRefused(reason, retry_after_ms))

    def _judge_upstream(
        self, upstream_id: UpstreamId, configuration: Configuration | None
    ) -> SlotRefusalReason | None:
        """Return why an upstream gets no work at all from here."""
        upstream = self._list_service.get_upstream(upstream_id)
        if upstream is None or configuration is None:
            return SlotRefusalReason.UNAVAILABLE
        if not is_in_service(upstream, configuration):
            return SlotRefusalReason.UNAVAILABLE
        if not self._rights.is_home(upstream):
            return SlotRefusalReason.NOT_HOME
        return SlotRefusalReason.NO_SHARES if self._rights.is_fenced() else None

    def _open_gate(self, upstream_id: UpstreamId) -> Gate | None:
        upstream = self._list_service.get_upstream(upstream_id)
        configuration = self._store.get()
        if upstream is None or configuration is None:
            return None
        group = configuration.groups.get(upstream.group)
        if group is None:
            return None
        with self._lock:
            gate = self._gates.get(upstream_id)
            if gate is None:
                gate = self._gates[upstream_id] = Gate(upstream, group, self._times)
        with gate.lock:
            gate.configure(upstream, group)
        return gate

    def serve_queue(self, gate: Gate) -> None:
        """Grant waiting entries as far as rights, limits and bound allow."""
        if not len(gate.queue):
            return
        upstream_id = gate.upstream.id
        shares = self._rights.get_shares(upstream_id)
        load = self._totals.sum_group(gate)
        configuration = self._store.get()
        refusal = self._judge_upstream(upstream_id, configuration)
        now = self._clock.monotonic()
        with gate.lock:
            if refusal is not None:
                for entry in gate.queue.list_waiters():
                    gate.queue.remove(entry, served=False)
                    self._answer(entry, refusal)
                return
            gate.has_shares = shares.share_bits != 0
            if not gate.has_shares:
                return
            gate.begin(shares.home_since)
            self._serve_entries(gate, shares, load, configuration, now)
            may_recall = gate.is_engine and load.allows(gate.count_known(now) - 1)
            recalled = gate.plan_recalls(shares, now) if may_recall else []
        for slot in recalled:
            self._metrics.count("slots_recalled")
            self._send_recall(slot.grantee, slot.id)

    def _serve_entries(
        self,
        gate: Gate,
        shares: LeasedShares,
        load: GroupLoad,
        configuration: Configuration | None,
        now: float,
    ) -> None:
        while (waiter := gate.choose_next(shares, now)) is not None:
            if waiter.deadline <= now:
                gate.queue.remove(waiter, served=False)
                self._answer(waiter, SlotRefusalReason.WAIT_EXPIRED)
                continue
            capacity = gate.compute_capacity(shares, now)
            slot = self._grant(gate, waiter, capacity, load, now)
            if slot is None:
                return
            known = gate.count_known(now) - 1
            check_grant(
                self._invariants, configuration, gate, capacity, load, known, slot
            )

    def _grant(
        self,
        gate: Gate,
        entry: Waiter,
        capacity: SlotCapacity,
        load: GroupLoad,
        now: float,
    ) -> GrantedSlot | None:
        in_use = gate.count_own() + 1
        lease_end = capacity.get_lease_end(in_use)
        within = in_use <= capacity.slots and lease_end > now
        if not within or not load.allows(gate.count_known(now)):
            return None
        start_by = min(lease_end, now + START_WITHIN_MAX_S, entry.deadline)
        with self._lock:
            slot_id = SlotId(self._next_slot)
            self._next_slot += 1
        gate.queue.remove(entry, served=True)
        slot = make_slot(slot_id, entry, now, start_by)
        gate.add_slot(slot, now)
        gate.recalls.note_granted(entry.key)
        self._metrics.count("slots_granted")
        self._metrics.observe("slot_wait", now - entry.enqueued_at)
        entry.answer = Success((slot_id, start_by))
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
        """Free a slot; return whether it was in use by this grantee."""
        now = self._clock.monotonic()
        unused = outcome is SlotOutcome.UNUSED
        is_whole = outcome is not SlotOutcome.RECALLED
        ended_at = None if unused else now - ended_s_ago
        for gate in self.list_gates():
            with gate.lock:
                slot = gate.slots.get(slot_id)
                if slot is None or slot.grantee != grantee:
                    continue
                gate.remove_slot(slot_id, now, ended_at, is_whole)
                sign = self._judge_outcome(gate, outcome, first_byte_s, now)
            self._note_cold(gate, sign)
            self.serve_queue(gate)
            return True
        return False

    def _judge_outcome(
        self,
        gate: Gate,
        outcome: SlotOutcome,
        first_byte_s: float | None,
        now: float,
    ) -> str | None:
        if outcome in {SlotOutcome.UNUSED, SlotOutcome.RECALLED}:
            return None
        gate.note_completion(now)
        if outcome is SlotOutcome.REFUSED_BY_UPSTREAM:
            gate.ramp.turn_cold()
            return "refused"
        if outcome is SlotOutcome.COMPLETED and gate.ramp.complete(first_byte_s):
            return "slow_first_byte"
        return None

    def _note_cold(self, gate: Gate, sign: str | None) -> None:
        if sign is None:
            return
        self._metrics.count("upstreams_turned_cold", sign=sign)
        self._audit.record(
            AuditKind.UPSTREAM_CHANGED, upstream=gate.upstream.id, cold=sign
        )

    def _find_gate(self, upstream_id: UpstreamId) -> Gate | None:
        with self._lock:
            return self._gates.get(upstream_id)

    def list_gates(self) -> list[Gate]:
        """Return all gates with state."""
        with self._lock:
            return list(self._gates.values())

    def apply_report(self, gate: Gate, report: LoadReport) -> None:
        """Take over an engine's report and grant what it allows."""
        with gate.lock:
            sign = gate.apply_report(report)
        self._note_cold(gate, sign)
        self.serve_queue(gate)

    def apply_carried(
        self, instance: InstanceId, upstream: ListedUpstream, count: int
    ) -> None:
        """Note requests of earlier homes that an instance runs."""
        gate = self._open_gate(upstream.id)
        if gate is not None:
            with gate.lock:
                gate.set_carried(instance, count, self._clock.monotonic())

    def tick(self) -> None:
        """Open gates of new homes, reclaim slots and serve the queues."""
        now = self._clock.monotonic()
        self.digests.drop_ended(now)
        for upstream in self._rights.list_homes():
            shares = self._rights.get_shares(upstream.id)
            opened = self._open_gate(upstream.id) if shares.share_bits else None
            if opened is not None:
                with opened.lock:
                    opened.begin(shares.home_since)
        for gate in self.list_gates():
            self._reclaim(gate, now)
            self.serve_queue(gate)
            self._drop_idle(gate)

    def _reclaim(self, gate: Gate, now: float) -> None:
        is_gone: Callable[[InstanceId, Incarnation], bool] = self._membership.is_gone
        with gate.lock:
            slots = list(gate.slots.values())
        for slot in slots:
            if slot.reclaim_at > now and not is_gone(*slot.grantee):
                continue
            with gate.lock:
                gate.reclaim_slot(slot.id, now)
            self._metrics.count("slots_reclaimed")

    def _drop_idle(self, gate: Gate) -> None:
        if self._rights.is_home(gate.upstream):
            return
        with gate.lock:
            if gate.count_own() or len(gate.queue):
                return
        with self._lock:
            self._gates.pop(gate.upstream.id, None)

    def list_loads(self) -> list[UpstreamLoad]:
        """Return the known loads of the upstreams whose home this is."""
        return list_loads(self._list_own_gates(), self._clock.monotonic())

    def get_status(self) -> list[UpstreamStatus]:
        """Return the state of the upstreams whose home this instance is."""
        now = self._clock.monotonic()
        return list_status(self._list_own_gates(), self._totals, now)

    def _list_own_gates(self) -> list[Gate]:
        return [g for g in self.list_gates() if self._rights.is_home(g.upstream)]


__all__ = ["Grant", "GroupLoad", "HomeAdmission"]
