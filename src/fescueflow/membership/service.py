"""Heartbeats, failure detection and the member view of this instance."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

import logbook

from fescueflow.audit import AuditTrail
from fescueflow.core import Clock, Incarnation, InstanceId, RandomSource, Revision
from fescueflow.membership.changes import ChangeReporter
from fescueflow.membership.gossip import RecordSelector
from fescueflow.membership.indirect_probes import IndirectProbes, RelayedProbe
from fescueflow.membership.lists import ListService
from fescueflow.membership.members import (
    Member,
    add_adopted,
    make_own_member,
    parse_record,
)
from fescueflow.membership.ping_times import PingTimes
from fescueflow.membership.probes import Probe, ProbePlanner
from fescueflow.membership.table import MemberTable, Timing
from fescueflow.metrics import Metrics
from fescueflow.schema import (
    MemberRecord,
    MemberState,
    Ping,
    PingAck,
    PingIndirect,
)
from fescueflow.settings import Settings
from fescueflow.transport import DatagramEndpoint, Sender, Task

ANNOUNCE_TARGETS = 4

log = logbook.Logger("membership")


class MembershipService:
    """Tracks the fleet's members by heartbeats, at a constant cost per instance.

    Parameters
    ----------
    settings : Settings
    endpoint : DatagramEndpoint
        Started and stopped by its owner.
    list_service : ListService
    clock : Clock
    random_source : RandomSource
    metrics : Metrics
    audit : AuditTrail
    incarnation : Incarnation

    Notes
    -----
    A member's state is STARTING, LIVE or LEAVING as reported by the member, or
    SUSPECT or DEAD as concluded by this instance. A newer record of a member shows
    that it is alive, whether it comes from the member or from another one.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        endpoint: DatagramEndpoint,
        list_service: ListService,
        clock: Clock,
        random_source: RandomSource,
        metrics: Metrics,
        audit: AuditTrail,
        incarnation: Incarnation,
    ) -> None:
        self._endpoint = endpoint
        self._list_service = list_service
        self._clock = clock
        self._random_source = random_source
        self._metrics = metrics
        self._timing = Timing(
            settings.heartbeat_interval_ms / 1000,
            settings.suspect_after_ms / 1000,
            settings.dead_after_ms / 1000,
        )
        self._lock = threading.RLock()
        self._own = make_own_member(settings, incarnation)
        self._table = MemberTable(self._timing)
        self._selector = RecordSelector(self._table, random_source)
        self._planner = ProbePlanner(
            self._table,
            random_source,
            self._own.instance,
            settings.availability_zone,
            self._timing.interval_s,
        )
        self._reporter = ChangeReporter(self._table, metrics, audit)
        self._indirect_probes = IndirectProbes()
        self._ping_times = PingTimes()
        self._adopted_at: dict[tuple[InstanceId, Incarnation], float] = {}
        self._adopted_lifetime_s = float(settings.request_id_lifetime_s)
        self._ping_sequence = 0
        self._last_tick: float | None = None
        self._started_at: float | None = None
        self._task = Task("membership", self._run)
        endpoint.register(Ping, self._handle_ping)
        endpoint.register(PingAck, self._handle_ack)
        endpoint.register(PingIndirect, self._handle_indirect)
        for state in (MemberState.LIVE, MemberState.SUSPECT):
            read = partial(self._count_members, state)
            metrics.register_gauge("members", read, state=state.value)

    def start(self) -> None:
        """Start the heartbeats."""
        self._task.start()

    def stop(self) -> None:
        """Stop the heartbeats; other members detect it by the silence.

        An instance that ends in order calls ``set_state(DEAD)`` first.
        """
        self._task.stop()

    def get_own_member(self) -> Member:
        """Return this instance as a member."""
        with self._lock:
            return self._own

    def get_members(self) -> list[Member]:
        """Return all members that are not dead, including this instance."""
        with self._lock:
            alive = [
                e.get_observed() for e in self._table.iterate() if e.dead_at is None
            ]
            return [self._own, *alive]

    def get_member(self, instance: InstanceId) -> Member | None:
        """Return a member, also a dead one, or ``None`` if it is unknown."""
        with self._lock:
            if instance == self._own.instance:
                return self._own
            entry = self._table.get(instance)
            return entry.get_observed() if entry is not None else None

    def get_live(self) -> list[Member]:
        """Return the members whose state is LIVE."""
        return [m for m in self.get_members() if m.state is MemberState.LIVE]

    def find_owner(
        self, instance: InstanceId, incarnation: Incarnation
    ) -> Member | None:
        """Return the member that runs an incarnation or has adopted it.

        An adopter takes precedence, because the incarnation has already handed
        over its records. An adopter that is leaving itself yields to the one that
        took over the records from it.
        """
        runner = adopter = None
        for member in self.get_members():
            if (instance, incarnation) in member.adopted:
                if adopter is None or member.state is not MemberState.LEAVING:
                    adopter = member
            elif (member.instance, member.incarnation) == (instance, incarnation):
                runner = member
        return adopter or runner

    def has_ended(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is dead or was replaced by another one.

        An unknown incarnation has not ended, because it may be new.
        """
        with self._lock:
            if instance == self._own.instance:
                return incarnation != self._own.incarnation
            return self._table.has_ended(instance, incarnation)

    def get_answered_ping_sent_at(self) -> float:
        """Return the latest send time of a ping that was answered."""
        with self._lock:
            return self._ping_times.answered_ping_sent_at

    def set_state(self, state: MemberState) -> None:
        """Set this instance's state and announce it at once."""
        with self._lock:
            if state is self._own.state:
                return
            sequence = self._own.sequence + 1
            self._own = replace(self._own, state=state, sequence=sequence)
        self._reporter.report_state_change(self.get_own_member())
        self._announce()
        self._reporter.notify_subscribers()

    def set_revision(self, revision: Revision) -> None:
        """Set the configuration revision that heartbeats carry."""
        with self._lock:
            sequence = self._own.sequence + 1
            self._own = replace(self._own, revision=revision, sequence=sequence)

    def set_never_held(self, never_held: bool) -> None:
        """Set whether heartbeats report that this instance never held a share."""
        with self._lock:
            sequence = self._own.sequence + 1
            self._own = replace(self._own, never_held=never_held, sequence=sequence)

    def announce_adopted(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """Announce that this instance took over the records of an incarnation.

        Heartbeats include the incarnation for the lifetime of request ids; after
        that none of its request ids is known any more.
        """
        with self._lock:
            self._adopted_at[instance, incarnation] = self._clock.monotonic()
            own = replace(self._own, sequence=self._own.sequence + 1)
            self._own = add_adopted(own, instance, incarnation)
        self._announce()
        self._reporter.notify_subscribers()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of any member field but the sequence."""
        self._reporter.subscribe(callback)

    def tick(self) -> None:
        """Run one heartbeat interval."""
        with self._lock:
            now = self._clock.monotonic()
            self._handle_gap(now)
            self._own = replace(
                self._own,
                sequence=self._next_sequence(now),
                list_readable=self._list_service.is_readable(),
                adopted=self._prune_adopted(now),
            )
            snapshot = self._list_service.get_snapshot()
            if snapshot is not None:
                self._table.remove_unlisted(
                    {item.id for item in snapshot.instances}, now
                )
            self._table.apply_timeouts(now)
            probes = self._planner.plan(snapshot, now)
        self._report_changes()
        for probe in probes:
            self._probe(probe, now)

    def _run(self, stopping: threading.Event) -> None:
        interval_s = self._timing.interval_s
        due = self._clock.monotonic()
        while not stopping.is_set():
            try:
                self.tick()
            except Exception as error:
                self._metrics.count("membership_errors")
                log.error("heartbeat failed: {!r}", error)
            # Due times are a fixed interval apart, so the duration of a tick does
            # not delay the next one.
            now = self._clock.monotonic()
            due = due + interval_s if due + interval_s > now else now + interval_s
            self._clock.wait(stopping, due - now)

    def _handle_gap(self, now: float) -> None:
        """Restart timers after a gap: this process was paused, not the members."""
        last, self._last_tick = self._last_tick, now
        if last is None:
            return
        gap_s = now - last - self._timing.interval_s
        if gap_s > self._timing.interval_s / 2:
            self._metrics.count("membership_gaps")
            self._table.shift_times(gap_s, now)

    def _prune_adopted(self, now: float) -> tuple[tuple[InstanceId, Incarnation], ...]:
        """Return the adopted incarnations that may still have known request ids."""
        for key, adopted_at in list(self._adopted_at.items()):
            if now - adopted_at >= self._adopted_lifetime_s:
                del self._adopted_at[key]
        return tuple(key for key in self._own.adopted if key in self._adopted_at)

    def _next_sequence(self, now: float) -> int:
        """Return this instance's sequence for this interval.

        Others estimate the age of records from sequences, so the sequence follows
        the elapsed time, also after intervals that were too long.
        """
        if self._started_at is None:
            self._started_at = now
        passed = int((now - self._started_at) / self._timing.interval_s)
        return max(self._own.sequence + 1, passed)

    def _probe(self, probe: Probe, now: float) -> None:
        with self._lock:
            entry = self._table.get(probe.instance)
            if entry is not None and entry.dead_at is None:
                self._table.mark_probed(entry, now)
            sequence = self._next_ping_sequence()
            records = self._selector.select(self._own, probe.instance)
            if probe.relays:
                self._indirect_probes.add_requested(sequence, probe.instance)
        self._endpoint.send(probe.address, Ping(sequence, records))
        for address in probe.relays:
            self._endpoint.send(address, PingIndirect(sequence, probe.instance))

    def _next_ping_sequence(self) -> int:
        self._ping_sequence += 1
        self._ping_times.add_sent(self._ping_sequence, self._clock.monotonic())
        return self._ping_sequence

    def _announce(self) -> None:
        """Send a change to a few members at once; gossip spreads it to the others."""
        with self._lock:
            addresses = {
                e.member.instance: e.member.peer_address
                for e in self._table.iterate()
                if e.dead_at is None
            }
            names = self._random_source.sample(sorted(addresses), ANNOUNCE_TARGETS)
            pings = [
                (addresses[InstanceId(name)], self._selector.select(self._own))
                for name in names
            ]
            sequence = self._next_ping_sequence()
        for address, records in pings:
            self._endpoint.send(address, Ping(sequence, records))

    def _handle_ping(self, sender: Sender, ping: Ping) -> None:
        self._apply_records(sender, ping.records)
        with self._lock:
            records = self._selector.select(self._own, sender.instance)
        self._endpoint.send(sender.address, PingAck(ping.sequence, records))

    def _handle_ack(self, sender: Sender, ack: PingAck) -> None:
        self._apply_records(sender, ack.records)
        with self._lock:
            self._ping_times.add_answer(ack.sequence)
            probe = self._indirect_probes.take_relayed(sender.instance, ack.sequence)
            if probe is None:
                self._apply_indirect_answer(ack)
                return
            target = [r for r in ack.records if r.instance == sender.instance]
            answer = PingAck(probe.sequence, [self._own.to_record(), *target])
        self._endpoint.send(probe.requester, answer)

    def _apply_indirect_answer(self, ack: PingAck) -> None:
        """Mark a member alive whose answer came through another member."""
        record = self._indirect_probes.take_requested(ack)
        entry = self._table.get(InstanceId(record.instance)) if record else None
        if record is None or entry is None or entry.dead_at is not None:
            return
        known = entry.member
        if record.incarnation != known.incarnation:
            return
        if record.sequence >= known.sequence:
            entry.mark_alive(self._clock.monotonic(), direct=False)

    def _handle_indirect(self, sender: Sender, request: PingIndirect) -> None:
        with self._lock:
            entry = self._table.get(InstanceId(request.target))
            if entry is None:
                return
            target = entry.member
            sequence = self._next_ping_sequence()
            probe = RelayedProbe(target.instance, sender.address, request.sequence)
            self._indirect_probes.add_relayed(sequence, probe)
            records = self._selector.select(self._own, target.instance)
        self._endpoint.send(target.peer_address, Ping(sequence, records))

    def _apply_records(self, sender: Sender, records: list[MemberRecord]) -> None:
        with self._lock:
            now = self._clock.monotonic()
            for record in records:
                try:
                    member = parse_record(record)
                except ValueError:
                    self._metrics.count("member_records_rejected")
                    continue
                self._apply_member(sender, member, now)
        self._report_changes({InstanceId(r.instance) for r in records})

    def _apply_member(self, sender: Sender, member: Member, now: float) -> None:
        if member.instance == self._own.instance:
            self._refute(member)
        elif (member.instance, member.incarnation) == (
            sender.instance,
            sender.incarnation,
        ):
            self._table.apply_direct(member, now)
        elif not self._table.apply_gossip(member, now):
            self._planner.add_unverified(member.instance, member.peer_address)

    def _refute(self, report: Member) -> None:
        """Raise this instance's sequence above that of a report that it failed."""
        if report.incarnation != self._own.incarnation:
            return
        if report.state not in (MemberState.SUSPECT, MemberState.DEAD):
            return
        if self._own.state is MemberState.DEAD or report.sequence < self._own.sequence:
            return
        # Enough steps for its records to be dated after the report. The sequence
        # is then ahead of the elapsed time, which only makes records seem newer.
        steps = int(self._timing.dead_after_s / self._timing.interval_s) + 1
        self._own = replace(self._own, sequence=report.sequence + steps)
        self._metrics.count("refutations", state=report.state.value)

    def _report_changes(self, instances: Iterable[InstanceId] | None = None) -> None:
        """Report changes of the given members, or of all members by default."""
        with self._lock:
            changed = self._reporter.collect(instances)
            for _, member in changed:
                self._selector.add_change(member.instance)
        self._reporter.report(changed)

    def _count_members(self, state: MemberState) -> int:
        return sum(1 for member in self.get_members() if member.state is state)


__all__ = ["MembershipService"]
