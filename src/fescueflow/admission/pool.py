"""Slot pool of one upstream, kept by its home."""

import threading
from collections import deque
from dataclasses import dataclass

from fescueflow.admission.grants import GrantedSlot
from fescueflow.admission.queue import Waiter, WaitQueue
from fescueflow.admission.ramp import LimitRamp
from fescueflow.admission.recalls import RecallTracker
from fescueflow.admission.slots import Grantee, LoadReport
from fescueflow.admission.usage import UsageTracker
from fescueflow.configuration import Group
from fescueflow.core import CustomerId, InstanceId, SlotId, UpstreamKind
from fescueflow.platform import ListedUpstream
from fescueflow.rights import SHARE_COUNT, LeasedShares, ShareLease, count_slots
from fescueflow.schema import SlotRefusalReason

# How long past slot counts and ended requests are kept to interpret load reports.
SLOT_HISTORY_S = 10.0
COMPLETION_RATE_WINDOW_S = 10.0
COMPLETION_RATE_SAMPLES_MIN = 5


@dataclass(frozen=True)
class SlotCapacity:
    """Number of slots that may be in use, and the leases that back them.

    ``slots`` is the part of ``limit`` that this home may use now, ``limit`` the
    limit of the upstream as a whole.
    """

    slots: int
    leases: tuple[ShareLease, ...]
    limit: int

    def count_rights(self) -> int:
        """Return the number of slots of the limit that belong to the leased shares."""
        owned = {lease.share for lease in self.leases}
        return sum(slot % SHARE_COUNT in owned for slot in range(self.limit))

    def get_lease_end(self, slots: int) -> float:
        """Return the time until which the leases back this number of slots."""
        bits = 0
        for lease in sorted(self.leases, key=lambda x: x.expires_at, reverse=True):
            bits |= 1 << lease.share
            if count_slots(self.limit, bits) >= slots:
                return lease.expires_at
        return float("-inf")


@dataclass(frozen=True)
class SlotPoolTimes:
    """Durations that a slot pool uses, in seconds.

    ``lease_s`` is the duration of a lease, ``renew_s`` the interval of renewals
    and ``report_lag_s`` the longest time by which a load report lags.
    """

    lease_s: float
    renew_s: float
    report_lag_s: float


class SlotPool:
    """Slots, queue, limit and load of one upstream.

    Callers hold ``lock`` during every call.

    Parameters
    ----------
    upstream : ListedUpstream
    group : Group
    times : SlotPoolTimes

    Notes
    -----
    Foreign load is load of the upstream that this home did not grant, such as
    requests that an earlier home granted and that still run. Carried load is the
    part of it that other instances report.
    """

    def __init__(
        self, upstream: ListedUpstream, group: Group, times: SlotPoolTimes
    ) -> None:
        self.lock = threading.RLock()
        self.upstream = upstream
        self.group = group
        self.ramp = LimitRamp(group)
        self.queue = WaitQueue()
        self.usage = UsageTracker()
        self.recalls = RecallTracker()
        self.slots: dict[SlotId, GrantedSlot] = {}
        self.by_request: dict[tuple[Grantee, str], SlotId] = {}
        self.report: LoadReport | None = None
        self.home_since: float | None = None
        self.read_due_at = float("-inf")
        self.has_shares = False
        self._times = times
        self._carried: dict[InstanceId, tuple[int, float]] = {}
        self._history: deque[tuple[float, int]] = deque([(float("-inf"), 0)])
        self._completions: deque[float] = deque()
        self._reclaim_times: list[float] = []
        self._ended_requests: deque[tuple[float, float]] = deque()
        self._last_reclaim_at = float("-inf")
        self._running_at_report = 0
        self._foreign_upper_bounds: list[tuple[float, int]] = []

    @property
    def is_engine(self) -> bool:
        """Whether the upstream reports its load."""
        return self.group.kind is UpstreamKind.ENGINE

    def start_home_period(self, home_since: float) -> None:
        """Start a new period as home and discard reports from before it."""
        if self.home_since == home_since:
            return
        self.home_since = home_since
        self.report = None
        self._foreign_upper_bounds = []
        self.read_due_at = float("-inf")
        self.ramp.restart()

    def configure(self, upstream: ListedUpstream, group: Group) -> None:
        """Apply a changed list entry or configuration."""
        self.upstream = upstream
        if group != self.group:
            self.group = group
            self.ramp.configure(group)

    def count_in_use(self) -> int:
        """Return the number of slots in use.

        A reclaimed slot counts until a load report that is certainly later.
        """
        return len(self.slots) + len(self._reclaim_times)

    def add_slot(self, slot: GrantedSlot, now: float) -> None:
        """Add a granted slot."""
        self.slots[slot.id] = slot
        self.by_request[slot.grantee, slot.request_key] = slot.id
        self.usage.add(slot.customer, slot.share, now)
        self._record_count(now)

    def remove_slot(
        self,
        slot_id: SlotId,
        now: float,
        ended_at: float | None = None,
        is_complete: bool = True,
    ) -> GrantedSlot | None:
        """Remove a slot; return ``None`` if it was released before.

        Parameters
        ----------
        slot_id : SlotId
        now : float
        ended_at : float or None
            When its request ended; ``None`` if the request was never started.
        is_complete : bool
            Whether the slot was held for the duration of a whole request.
        """
        slot = self.slots.pop(slot_id, None)
        if slot is not None:
            self._correct_estimates(slot, ended_at)
            held_s = None
            if ended_at is not None and is_complete:
                held_s = ended_at - slot.granted_at
            self.recalls.record_release(slot_id)
            self.usage.remove(slot.customer, now, held_s)
            self.by_request.pop((slot.grantee, slot.request_key), None)
            self._record_count(now)
        return slot

    def _correct_estimates(self, slot: GrantedSlot, ended_at: float | None) -> None:
        """Correct estimates whose report was taken after the request had ended.

        They took the request for one of the reported running requests.
        """
        if ended_at is not None:
            self._ended_requests.append((slot.start_by, ended_at))
        counted_from = max(slot.start_by, ended_at or slot.start_by)
        self._foreign_upper_bounds = [
            (at, n + (at >= counted_from)) for at, n in self._foreign_upper_bounds
        ]
        if self.report is not None and self.report.taken_at >= counted_from:
            self._running_at_report = max(0, self._running_at_report - 1)

    def reclaim_slot(self, slot_id: SlotId, now: float) -> None:
        """Remove the slot of a requester that is gone or too late.

        Its request may still run at an engine, so the slot becomes free only
        after a later load report.
        """
        if self.remove_slot(slot_id, now, now) is not None and self.is_engine:
            self._reclaim_times.append(now)
            # The request is foreign load from now on. Earlier reports counted it
            # as an own request.
            self._last_reclaim_at = now

    def record_completion(self, now: float) -> None:
        """Count a finished request towards the completion rate."""
        self._completions.append(now)

    def _record_count(self, now: float) -> None:
        self._history.append((now, len(self.slots)))
        while len(self._history) > 1 and self._history[1][0] < now - SLOT_HISTORY_S:
            self._history.popleft()
        while (
            self._ended_requests and self._ended_requests[0][1] < now - SLOT_HISTORY_S
        ):
            self._ended_requests.popleft()

    def _count_running(self, moment: float) -> int:
        """Return the number of own requests that certainly ran at a moment.

        A report may not include a request whose slot could still be started then.
        """
        running = sum(slot.start_by <= moment for slot in self.slots.values())
        return running + sum(
            start_by <= moment < ended_at for start_by, ended_at in self._ended_requests
        )

    def apply_report(self, report: LoadReport) -> str | None:
        """Apply a load report; return why the engine has turned cold, if so."""
        if self.home_since is None or report.taken_at < self.home_since:
            return None
        if self.report is not None and report.taken_at < self.report.taken_at:
            return None
        self.report = report
        self._running_at_report = self._count_running(report.taken_at)
        foreign = max(0, report.in_flight - self._running_at_report)
        # Foreign load that no home can add to only decreases, so an earlier
        # estimate that is not smaller adds no information.
        self._foreign_upper_bounds = [
            x for x in self._foreign_upper_bounds if x[1] < foreign
        ]
        self._foreign_upper_bounds.append((report.taken_at, foreign))
        seen_until = report.taken_at - self._times.report_lag_s
        self._reclaim_times = [at for at in self._reclaim_times if at >= seen_until]
        return self.ramp.apply_report(report)

    def set_carried(self, instance: InstanceId, count: int, now: float) -> None:
        """Set the number of requests that an instance runs from earlier homes."""
        self._carried[instance] = (count, now + self._times.lease_s)

    def count_carried(self, now: float) -> int:
        """Return the reported number of running requests that earlier homes granted."""
        self._carried = {k: v for k, v in self._carried.items() if v[1] > now}
        return sum(count for count, _ in self._carried.values())

    def _count_at(self, moment: float) -> int:
        return next((n for at, n in reversed(self._history) if at <= moment), 0)

    def _count_max(self, start: float, end: float) -> int:
        inside = [n for at, n in self._history if start < at <= end]
        return max([self._count_at(start), *inside])

    def count_foreign(self, now: float) -> int:
        """Return an estimate of the load that this home did not grant.

        The largest number of own slots within the report lag is subtracted from
        the reported load, so that own requests that have just ended are not
        counted as foreign.
        """
        carried = self.count_carried(now)
        report = self.report
        if not self.is_engine or report is None:
            return carried
        lag_s = self._times.report_lag_s
        own = self._count_max(report.taken_at - lag_s, report.taken_at + lag_s)
        return max(carried, report.in_flight - own, 0)

    def _compute_foreign_bound(self, now: float, since: float) -> int:
        """Return an upper bound of the foreign load from reports since a time."""
        since = max(since, self._last_reclaim_at)
        estimates = [n for at, n in self._foreign_upper_bounds if at >= since]
        if not estimates:
            return self.ramp.limit
        return max(self.count_carried(now), min(estimates))

    def count_known(self, now: float) -> int:
        """Return the load of this upstream that counts towards the group total.

        Notes
        -----
        A slot whose request was never started stays in use until it is reclaimed,
        for example while its holder is frozen. A slot that could no longer be
        started when the engine counted its requests therefore counts only if the
        engine reported the request.
        """
        granted = self.count_in_use() + self.count_foreign(now)
        if not self.is_engine or self.report is None:
            return granted
        counted_from = self.report.taken_at - self._times.report_lag_s
        unseen = sum(slot.start_by > counted_from for slot in self.slots.values())
        return min(granted, self.report.in_flight + unseen + len(self._reclaim_times))

    def compute_capacity(self, shares: LeasedShares, now: float) -> SlotCapacity:
        """Return the number of slots that may be in use now.

        Notes
        -----
        A share counts once the load of its former holder is known. For an engine
        this takes a report from after the start of the lease, for a service one
        renewal interval. Carried load reduces the slots of this home.
        """
        if self.is_engine:
            horizon = self.report.taken_at if self.report else float("-inf")
        else:
            horizon = now - self._times.renew_s
        limit = self.ramp.limit
        if shares.home_since > horizon:
            return SlotCapacity(0, (), limit)
        leases = tuple(
            x for x in shares.leases if x.acquired_at <= horizon and x.expires_at > now
        )
        slots = count_slots(limit, sum(1 << x.share for x in leases))
        allowed = slots - self.count_carried(now)
        if self.report is not None:
            allowed = min(allowed, self._limit_by_report(slots, leases, now))
        else:
            allowed = min(allowed, limit - self.count_foreign(now))
        return SlotCapacity(max(0, allowed), leases, limit)

    def choose_next(self, shares: LeasedShares, now: float) -> Waiter | None:
        """Return the entry to serve next.

        Entries for which a slot was recalled come first. Throttled customers are
        skipped unless their entries are recallable, and heavy customers while a
        recalled slot is reserved.
        """
        if self.recalls.has_reservation(now):
            reserved = self.recalls.find_reserved(self.queue.list_waiters())
            if reserved is not None:
                return reserved
            return self.queue.get_next(self.usage.find_heavy(now))
        slots = self.compute_capacity(shares, now).slots
        return self.queue.get_next((), self._find_throttled(slots, now))

    def _find_throttled(self, slots: int, now: float) -> set[CustomerId]:
        recallable = [s.customer for s in self.slots.values() if s.recallable]
        return self.usage.find_throttled(slots, now, recallable)

    def plan_recalls(self, shares: LeasedShares, now: float) -> list[GrantedSlot]:
        """Return the slots to recall for waiting entries.

        A recall helps only while the slots in use are within the capacity;
        otherwise the returned slot could not be granted again.
        """
        own = self.count_in_use()
        capacity = self.compute_capacity(shares, now)
        if own > capacity.slots or capacity.get_lease_end(own) <= now:
            return []
        waiters, heavy = self.queue.list_waiters(), self.usage.find_heavy(now)
        return self.recalls.plan(waiters, self.slots, heavy, now)

    def estimate_heavy_end(
        self, waiter: Waiter, shares: LeasedShares, now: float
    ) -> float:
        """Return the expected end of a heavy customer's waiting request.

        Returns
        -------
        float
            Seconds from now; 0 if a slot is free for the entry, or if its
            customer is not heavy.
        """
        ahead = self.queue.count_ahead(waiter, self.usage.find_heavy(now))
        slots = self.compute_capacity(shares, now).slots
        if not slots:
            return 0.0
        customer = waiter.demand.customer
        not_recallable = not waiter.demand.recallable
        if not_recallable and customer in self._find_throttled(slots, now):
            heavy_limit = self.usage.compute_heavy_limit(slots, now)
        elif self.recalls.has_reservation(now) or self.count_in_use() >= slots:
            heavy_limit = slots
        else:
            return 0.0
        return self.usage.estimate_end(customer, ahead, heavy_limit, now)

    def choose_refusal(
        self, waiter: Waiter, shares: LeasedShares, now: float
    ) -> tuple[SlotRefusalReason, int]:
        """Return why an entry got no slot, and when to retry in ms (0: unknown)."""
        if waiter.deadline <= now:
            return SlotRefusalReason.WAIT_EXPIRED, 0
        if not self.has_shares:
            return SlotRefusalReason.NO_SHARES, 0
        end_s = self.estimate_heavy_end(waiter, shares, now)
        if end_s > 0:
            return SlotRefusalReason.OVER_SHARE, int(end_s * 1000)
        return SlotRefusalReason.OVER_BOUND, 0

    def _limit_by_report(
        self, slots: int, leases: tuple[ShareLease, ...], now: float
    ) -> int:
        """Return the number of slots that the reported load leaves to this home.

        Notes
        -----
        While another home may hold the other shares, each home uses only its
        proportion of the free slots, because both see the same load of a third
        home. When this home holds all shares, foreign load can't grow. The lowest
        estimate since then applies, or the load that is certainly not this
        home's own if that is larger.
        """
        limit, report = self.ramp.limit, self.report
        if report is None or not leases:
            return 0
        if slots < limit:
            free = max(0, limit - report.in_flight)
            return self._running_at_report + free * slots // limit
        acquired_at = max(lease.acquired_at for lease in leases)
        foreign = self._compute_foreign_bound(now, acquired_at)
        return limit - max(foreign, self.count_foreign(now))

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return the expected wait behind ``ahead`` entries, in s; 0 if unknown."""
        while (
            self._completions and self._completions[0] < now - COMPLETION_RATE_WINDOW_S
        ):
            self._completions.popleft()
        if len(self._completions) < COMPLETION_RATE_SAMPLES_MIN:
            return 0.0
        span = max(now - self._completions[0], 1e-3)
        return (ahead + 1) * span / len(self._completions)


__all__ = ["SlotCapacity", "SlotPool", "SlotPoolTimes"]
