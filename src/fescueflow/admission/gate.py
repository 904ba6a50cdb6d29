"""Slots of one upstream at its home."""

import threading
from collections import deque
from dataclasses import dataclass

from fescueflow.admission.grants import GrantedSlot
from fescueflow.admission.queue import Waiter, WaitQueue
from fescueflow.admission.ramp import Ramp
from fescueflow.admission.recalls import RecallBook
from fescueflow.admission.slots import Grantee, LoadReport
from fescueflow.admission.usage import UsageBook
from fescueflow.configuration import Group
from fescueflow.core import CustomerId, InstanceId, SlotId, UpstreamKind
from fescueflow.platform import ListedUpstream
from fescueflow.rights import SHARE_COUNT, LeasedShares, ShareLease, count_slots
from fescueflow.schema import SlotRefusalReason

HISTORY_S = 10.0
RATE_WINDOW_S = 10.0
RATE_SAMPLES_MIN = 5


@dataclass(frozen=True)
class SlotCapacity:
    """How many slots may be in use, and the leases that back them."""

    slots: int
    leases: tuple[ShareLease, ...]
    limit: int

    def count_rights(self) -> int:
        """Return how many slots of the limit belong to the leased shares."""
        owned = {lease.share for lease in self.leases}
        return sum(slot % SHARE_COUNT in owned for slot in range(self.limit))

    def get_lease_end(self, slots: int) -> float:
        """Return until when the leases back this number of slots."""
        bits = 0
        for lease in sorted(self.leases, key=lambda x: x.expires_at, reverse=True):
            bits |= 1 << lease.share
            if count_slots(self.limit, bits) >= slots:
                return lease.expires_at
        return float("-inf")


@dataclass(frozen=True)
class GateTimes:
    """Durations that a gate needs, in seconds."""

    lease_s: float
    renew_s: float
    report_lag_s: float


class Gate:
    """Bookkeeping of one upstream; every call holds ``lock``.

    Parameters
    ----------
    upstream : ListedUpstream
    group : Group
    times : GateTimes
    """

    def __init__(
        self, upstream: ListedUpstream, group: Group, times: GateTimes
    ) -> None:
        self.lock = threading.RLock()
        self.upstream = upstream
        self.group = group
        self.ramp = Ramp(group)
        self.queue = WaitQueue()
        self.usage = UsageBook()
        self.recalls = RecallBook()
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
        self._reclaimed: list[float] = []
        self._ended: deque[tuple[float, float]] = deque()
        self._reclaimed_at = float("-inf")
        self._started = 0
        self._foreign_most: list[tuple[float, int]] = []

    @property
    def is_engine(self) -> bool:
        """Whether the upstream reports its load."""
        return self.group.kind is UpstreamKind.ENGINE

    def begin(self, home_since: float) -> None:
        """Start a new period as home; reports from before it do not count."""
        if self.home_since == home_since:
            return
        self.home_since = home_since
        self.report = None
        self._foreign_most = []
        self.read_due_at = float("-inf")
        self.ramp.restart()

    def configure(self, upstream: ListedUpstream, group: Group) -> None:
        """Take over a new entry of the list or a new configuration."""
        self.upstream = upstream
        if group != self.group:
            self.group = group
            self.ramp.configure(group)

    def count_own(self) -> int:
        """Return slots in use, reclaimed ones included until they are seen gone."""
        return len(self.slots) + len(self._reclaimed)

    def add_slot(self, slot: GrantedSlot, now: float) -> None:
        """Note a granted slot."""
        self.slots[slot.id] = slot
        self.by_request[slot.grantee, slot.request_key] = slot.id
        self.usage.add(slot.customer, slot.share, now)
        self._note_count(now)

    def remove_slot(
        self,
        slot_id: SlotId,
        now: float,
        ended_at: float | None = None,
        is_whole: bool = True,
    ) -> GrantedSlot | None:
        """Take out a slot; ``None`` if it was released before.

        Parameters
        ----------
        slot_id : SlotId
        now : float
        ended_at : float or None
            When its request ended, ``None`` if it was never started.
        is_whole : bool
            Whether the time it was held is that of a whole request.
        """
        slot = self.slots.pop(slot_id, None)
        if slot is not None:
            self._correct_estimates(slot, ended_at)
            held_s = None
            if ended_at is not None and is_whole:
                held_s = ended_at - slot.granted_at
            self.recalls.note_freed(slot_id)
            self.usage.remove(slot.customer, now, held_s)
            self.by_request.pop((slot.grantee, slot.request_key), None)
            self._note_count(now)
        return slot

    def _correct_estimates(self, slot: GrantedSlot, ended_at: float | None) -> None:
        """Undo that reports after the request's end counted it as running."""
        if ended_at is not None:
            self._ended.append((slot.start_by, ended_at))
        counted_from = max(slot.start_by, ended_at or slot.start_by)
        self._foreign_most = [
            (at, n + (at >= counted_from)) for at, n in self._foreign_most
        ]
        if self.report is not None and self.report.taken_at >= counted_from:
            self._started = max(0, self._started - 1)

    def reclaim_slot(self, slot_id: SlotId, now: float) -> None:
        """Take out the slot of a requester that is gone.

        At an engine its request may still run, so the slot is free only after
        a report that was taken later.
        """
        if self.remove_slot(slot_id, now, now) is not None and self.is_engine:
            self._reclaimed.append(now)
            # Its request is foreign load from now on; reports that were taken
            # before do not show it as such.
            self._reclaimed_at = now

    def note_completion(self, now: float) -> None:
        """Count a finished request for the completion rate."""
        self._completions.append(now)

    def _note_count(self, now: float) -> None:
        self._history.append((now, len(self.slots)))
        while len(self._history) > 1 and self._history[1][0] < now - HISTORY_S:
            self._history.popleft()
        while self._ended and self._ended[0][1] < now - HISTORY_S:
            self._ended.popleft()

    def _count_started(self, moment: float) -> int:
        """Return own slots whose requests were running at a moment for sure.

        A slot that could still be started then may be missing from a report.
        """
        running = sum(slot.start_by <= moment for slot in self.slots.values())
        return running + sum(
            start_by <= moment < ended_at for start_by, ended_at in self._ended
        )

    def apply_report(self, report: LoadReport) -> str | None:
        """Take over an engine's report; return the sign of coldness, if any."""
        if self.home_since is None or report.taken_at < self.home_since:
            return None
        if self.report is not None and report.taken_at < self.report.taken_at:
            return None
        self.report = report
        self._started = self._count_started(report.taken_at)
        foreign = max(0, report.in_flight - self._started)
        # Foreign load that no home can add to only decreases: an earlier
        # estimate that is not smaller says nothing beyond this one.
        self._foreign_most = [x for x in self._foreign_most if x[1] < foreign]
        self._foreign_most.append((report.taken_at, foreign))
        seen_until = report.taken_at - self._times.report_lag_s
        self._reclaimed = [at for at in self._reclaimed if at >= seen_until]
        return self.ramp.apply_report(report)

    def set_carried(self, instance: InstanceId, count: int, now: float) -> None:
        """Note the requests that another instance runs from earlier homes."""
        self._carried[instance] = (count, now + self._times.lease_s)

    def count_carried(self, now: float) -> int:
        """Return requests of earlier homes that other instances reported."""
        self._carried = {k: v for k, v in self._carried.items() if v[1] > now}
        return sum(count for count, _ in self._carried.values())

    def _count_at(self, moment: float) -> int:
        return next((n for at, n in reversed(self._history) if at <= moment), 0)

    def _count_most(self, start: float, end: float) -> int:
        inside = [n for at, n in self._history if start < at <= end]
        return max([self._count_at(start), *inside])

    def count_foreign(self, now: float) -> int:
        """Return load that this home did not grant, as well as it is known.

        The largest own number within the report's lag is subtracted, so that
        own requests that just ended are not taken for foreign ones.
        """
        carried = self.count_carried(now)
        report = self.report
        if not self.is_engine or report is None:
            return carried
        lag_s = self._times.report_lag_s
        own = self._count_most(report.taken_at - lag_s, report.taken_at + lag_s)
        return max(carried, report.in_flight - own, 0)

    def _count_foreign_most(self, now: float, since: float) -> int:
        """Return the most load of others that reports since a time allow for."""
        since = max(since, self._reclaimed_at)
        estimates = [n for at, n in self._foreign_most if at >= since]
        if not estimates:
            return self.ramp.limit
        return max(self.count_carried(now), min(estimates))

    def count_known(self, now: float) -> int:
        """Return the load that the group total counts for this upstream.

        Notes
        -----
        A slot whose request was never started stays in use until its reclaim,
        for example while its holder is frozen. So a slot that could no longer
        be started when the engine counted its requests counts only if the
        engine reported that request.
        """
        granted = self.count_own() + self.count_foreign(now)
        if not self.is_engine or self.report is None:
            return granted
        counted_from = self.report.taken_at - self._times.report_lag_s
        unseen = sum(slot.start_by > counted_from for slot in self.slots.values())
        return min(granted, self.report.in_flight + unseen + len(self._reclaimed))

    def compute_capacity(self, shares: LeasedShares, now: float) -> SlotCapacity:
        """Return how many slots may be in use now.

        Notes
        -----
        A share counts once the load of its earlier users is known: engines by
        a report taken after the lease began, services after a renewal interval.
        Carried load takes slots of this home.
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

        Entries that recalled a slot come first. Restrained customers are passed
        over, and heavy ones while a recalled slot is reserved.
        """
        if self.recalls.is_reserving(now):
            reserved = self.recalls.find_reserved(self.queue.list_waiters())
            if reserved is not None:
                return reserved
            return self.queue.get_next(self.usage.find_heavy(now))
        slots = self.compute_capacity(shares, now).slots
        return self.queue.get_next((), self._find_restrained(slots, now))

    def _find_restrained(self, slots: int, now: float) -> set[CustomerId]:
        recallable = [s.customer for s in self.slots.values() if s.recallable]
        return self.usage.find_restrained(slots, now, recallable)

    def plan_recalls(self, shares: LeasedShares, now: float) -> list[GrantedSlot]:
        """Return the slots to ask back for entries that wait.

        A slot that is given back helps only while the slots in use are within
        the capacity.
        """
        own = self.count_own()
        capacity = self.compute_capacity(shares, now)
        if own > capacity.slots or capacity.get_lease_end(own) <= now:
            return []
        waiters, heavy = self.queue.list_waiters(), self.usage.find_heavy(now)
        return self.recalls.plan(waiters, self.slots, heavy, now)

    def estimate_heavy_end(
        self, waiter: Waiter, shares: LeasedShares, now: float
    ) -> float:
        """Return when a waiting entry of a heavy customer may have ended.

        0 if a slot is free for it, or if the customer is not heavy.
        """
        ahead = self.queue.count_ahead(waiter, self.usage.find_heavy(now))
        slots = self.compute_capacity(shares, now).slots
        if not slots:
            return 0.0
        customer = waiter.demand.customer
        is_kept = not waiter.demand.recallable
        if is_kept and customer in self._find_restrained(slots, now):
            open_slots = self.usage.count_open(slots, now)
        elif self.recalls.is_reserving(now) or self.count_own() >= slots:
            open_slots = slots
        else:
            return 0.0
        return self.usage.estimate_end(customer, ahead, open_slots, now)

    def choose_refusal(
        self, waiter: Waiter, shares: LeasedShares, now: float
    ) -> tuple[SlotRefusalReason, int]:
        """Return why an entry got no slot, and the pause in ms, 0 if not known."""
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
        """Return how many slots the reported load leaves to this home.

        Notes
        -----
        While another home may hold the other shares, each takes its part of
        the free slots, because both see the same load of a third. When this
        home has all shares, foreign load can't grow, and the lowest estimate
        since then counts, or what is certainly not its own if that is more.
        """
        limit, report = self.ramp.limit, self.report
        if report is None or not leases:
            return 0
        if slots < limit:
            free = max(0, limit - report.in_flight)
            return self._started + free * slots // limit
        acquired_at = max(lease.acquired_at for lease in leases)
        foreign = self._count_foreign_most(now, acquired_at)
        return limit - max(foreign, self.count_foreign(now))

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return the expected wait behind other entries; 0 if not known."""
        while self._completions and self._completions[0] < now - RATE_WINDOW_S:
            self._completions.popleft()
        if len(self._completions) < RATE_SAMPLES_MIN:
            return 0.0
        span = max(now - self._completions[0], 1e-3)
        return (ahead + 1) * span / len(self._completions)


__all__ = ["Gate", "GateTimes", "SlotCapacity"]
