"""Local copy of the platform's configuration, upstreams and withdrawn zones."""

import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

from fescueflow.core import UpstreamId, ZoneId
from fescueflow.routing import RoutingTable, ServiceId, Upstream, UpstreamState

# Time after an outage of the store within which live upstreams restore their entries;
# upstreams without an entry are removed then.
RECOVERY_GRACE_S = 2.0
# Missed heartbeats after which an upstream's entry expires.
EXPIRY_HEARTBEATS = 3.0
# Time for which an announced departure is remembered; entries outlast their upstream by
# far less.
DEPARTURE_MEMORY_S = 600.0
# Starts of upstreams that are remembered after their entries are gone; more than a
# large fleet of upstreams has in an hour.
STARTS_MAX = 4096


class PlatformState:
    """Latest state read from the store; thread-safe.

    Notes
    -----
    Entries expire during an outage of the store and return together afterwards, so a
    deletion within the grace period after an outage takes effect when the period ends.
    The highest version of the configuration stays in force whatever is read later.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._table: RoutingTable | None = None
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._pending_removals: dict[UpstreamId, float] = {}
        # Upstreams that have restarted with the same id.
        self._restarted: set[UpstreamId] = set()
        # Upstreams that were listed with a new start, or may be cold for longer.
        self._started: set[tuple[UpstreamId, int]] = set()
        self._cooled: set[UpstreamId] = set()
        # Upstreams that announced their departure: their start, time of the news.
        self._departing: dict[UpstreamId, tuple[int, float]] = {}
        # Upstreams with the time of their start that were ever listed, latest last.
        self._listed_starts: OrderedDict[tuple[UpstreamId, int], None] = OrderedDict()
        self._withdrawn: frozenset[ZoneId] = frozenset()
        self._grace_until = 0.0
        self._current_at = 0.0

    def get_table(self) -> RoutingTable | None:
        """Return the configuration in force."""
        return self._table

    def get_withdrawn_zones(self) -> frozenset[ZoneId]:
        """Return the zones whose upstreams get no requests."""
        return self._withdrawn

    def get_age(self, now: float) -> float:
        """Return the seconds since the state was last known to be current."""
        return now - self._current_at

    def mark_current(self, now: float) -> None:
        """Record that the whole state is current."""
        self._current_at = now

    def start_recovery_grace(self, now: float) -> None:
        """Start the grace period: the store responds again after an outage."""
        with self._lock:
            self._grace_until = now + RECOVERY_GRACE_S

    def accept_table(self, table: RoutingTable) -> bool:
        """Put a configuration in force unless it is outdated; return whether it is."""
        with self._lock:
            if self._table is not None and table.version <= self._table.version:
                return False
            self._table = table
            return True

    def set_withdrawn_zones(
        self, zones: Iterable[ZoneId], now: float
    ) -> frozenset[ZoneId]:
        """Set the withdrawn zones; return those that were restored.

        Notes
        -----
        The upstreams of a restored zone may have turned cold meanwhile, so they count
        as cold until the cold time of their service has passed.
        """
        with self._lock:
            before, self._withdrawn = self._withdrawn, frozenset(zones)
            restored = before - self._withdrawn
            for upstream in list(self._upstreams.values()):
                if upstream.zone in restored:
                    self._cooled.add(upstream.id)
                    self._upstreams[upstream.id] = self._mark_cold(upstream, now)
            return restored

    def put_upstream(self, upstream: Upstream) -> Upstream | None:
        """Store an entry; return the one it replaces."""
        with self._lock:
            self._pending_removals.pop(upstream.id, None)
            before = self._upstreams.get(upstream.id)
            self._upstreams[upstream.id] = upstream
            if (upstream.id, upstream.started_at_ms) not in self._listed_starts:
                self._started.add((upstream.id, upstream.started_at_ms))
            if upstream.cold_until:
                self._cooled.add(upstream.id)
            self._listed_starts[upstream.id, upstream.started_at_ms] = None
            if len(self._listed_starts) > STARTS_MAX:
                self._listed_starts.popitem(last=False)
            if before and before.started_at_ms != upstream.started_at_ms:
                self._restarted.add(upstream.id)
            return before

    def has_listed(self, upstream: UpstreamId, started_at_ms: int) -> bool:
        """Return whether this start of an upstream is or was listed."""
        return (upstream, started_at_ms) in self._listed_starts

    def mark_departing(self, upstream: Upstream, now: float) -> bool:
        """Stop using an upstream that is leaving; return whether this is new.

        Notes
        -----
        Its entry may say for seconds that it is ready, or lapse and return. A start
        with another time under the same ID is used again.
        """
        with self._lock:
            known = self._departing.get(upstream.id)
            self._departing = {
                name: entry
                for name, entry in self._departing.items()
                if now - entry[1] < DEPARTURE_MEMORY_S
            }
            self._departing[upstream.id] = (upstream.started_at_ms, now)
            return known is None or known[0] != upstream.started_at_ms

    def _is_departing(self, upstream: Upstream) -> bool:
        known = self._departing.get(upstream.id)
        return known is not None and known[0] == upstream.started_at_ms

    def pop_restarted(self) -> set[UpstreamId]:
        """Return the upstreams that have restarted since the last call."""
        with self._lock:
            restarted, self._restarted = self._restarted, set()
            return restarted

    def pop_started(self) -> list[Upstream]:
        """Return the upstreams whose start was first listed since the last call."""
        if not self._started:
            return []
        with self._lock:
            started, self._started = self._started, set()
            known = self._upstreams
            return [
                known[name]
                for name, at_ms in started
                if name in known and known[name].started_at_ms == at_ms
            ]

    def pop_cooled(self) -> list[Upstream]:
        """Return the upstreams that were listed as cold since the last call."""
        if not self._cooled:
            return []
        with self._lock:
            cooled, self._cooled = self._cooled, set()
            return [self._upstreams[name] for name in cooled if name in self._upstreams]

    def remove_upstream(self, upstream: UpstreamId, now: float) -> bool:
        """Remove an upstream; return whether the removal takes effect at once."""
        with self._lock:
            if now < self._grace_until and upstream in self._upstreams:
                self._pending_removals.setdefault(upstream, self._grace_until)
                return False
            self._upstreams.pop(upstream, None)
            self._pending_removals.pop(upstream, None)
            return True

    def replace_upstreams(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Replace all upstreams by those of a complete reading."""
        found = {upstream.id: upstream for upstream in upstreams}
        for upstream in found.values():
            self.put_upstream(upstream)
        for missing in self._upstreams.keys() - found.keys():
            self.remove_upstream(missing, now)

    def remove_overdue(self, now: float) -> list[UpstreamId]:
        """Remove and return upstreams whose entries did not return in time."""
        with self._lock:
            removed = [
                name for name, until in self._pending_removals.items() if now >= until
            ]
            for name in removed:
                del self._pending_removals[name]
                self._upstreams.pop(name, None)
            return removed

    def list_upstreams(self, service: ServiceId, now: float) -> list[Upstream]:
        """Return the upstreams of a service that take new requests."""
        withdrawn = self._withdrawn
        with self._lock:
            overdue = {
                name for name, until in self._pending_removals.items() if now >= until
            }
            return [
                upstream
                for upstream in self._upstreams.values()
                if upstream.service == service
                and upstream.state is UpstreamState.READY
                and upstream.zone not in withdrawn
                and upstream.id not in overdue
                and not self._is_departing(upstream)
            ]

    def count_upstreams(self, service: ServiceId) -> int:
        """Return the number of a service's upstreams, whatever their state."""
        with self._lock:
            return sum(u.service == service for u in self._upstreams.values())

    def list_all(self) -> list[Upstream]:
        """Return all known upstreams."""
        with self._lock:
            return list(self._upstreams.values())

    def _mark_cold(self, upstream: Upstream, now: float) -> Upstream:
        table = self._table
        service = table.services.get(upstream.service) if table else None
        cold_until = now + (service.cold_s if service else 0.0)
        return replace(upstream, cold_until=max(upstream.cold_until, cold_until))


__all__ = ["PlatformState"]
