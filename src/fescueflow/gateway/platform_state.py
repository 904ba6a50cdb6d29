"""Local copy of the platform's configuration, upstreams and withdrawn zones."""

import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

import logbook

from fescueflow.core import UpstreamId, ZoneId
from fescueflow.gateway.era_memory import EraMemory
from fescueflow.gateway.store_calls import READ_TIMEOUT_S
from fescueflow.platform.boot import EVACUATION_S_DEFAULT
from fescueflow.routing import (
    Departures,
    RoutingTable,
    Service,
    ServiceId,
    Upstream,
    UpstreamState,
    get_start,
)

# Time after an outage of the store within which live upstreams restore their entries;
# upstreams without an entry are removed then.
RECOVERY_GRACE_S = 2.0
# Missed heartbeats after which an upstream's entry expires.
EXPIRY_HEARTBEATS = 3.0
# Time for which an announced departure is remembered; entries outlast their upstream by
# far less.
DEPARTURE_MEMORY_S = 600.0
# Time after which a response of the store, or of a reader, is not awaited any more.
NEWS_LAG_MAX_S = READ_TIMEOUT_S
# Starts of upstreams that are remembered after their entries are gone; more than a
# large fleet of upstreams has in an hour.
STARTS_MAX = 4096


log = logbook.Logger("store")


class PlatformState:
    """Latest state read from the store; thread-safe.

    Parameters
    ----------
    evacuation_s : float, optional
        Time for which a withdrawn zone stays so after the store has lost it.
    drain_s : float, optional
        Time for which an upstream serves after the store has taken its departure, 0 if
        that is not known.

    Notes
    -----
    Entries expire during an outage of the store and return together afterwards, so a
    deletion within the grace period after an outage takes effect when the period ends.
    The highest version of the configuration stays in force whatever is read later.
    """

    def __init__(
        self, evacuation_s: float = EVACUATION_S_DEFAULT, drain_s: float = 0.0
    ) -> None:
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
        # What the store says, and with the zones that stay withdrawn in a new era.
        self._listed_zones: frozenset[ZoneId] = frozenset()
        self._withdrawn: frozenset[ZoneId] = frozenset()
        self._memory = EraMemory(evacuation_s)
        self._departures = Departures(drain_s, NEWS_LAG_MAX_S)
        self._grace_until = 0.0
        self._current_at = 0.0

    def get_table(self) -> RoutingTable | None:
        """Return the configuration in force."""
        return self._table

    def find_service(self, service: ServiceId) -> Service | None:
        """Return a service of the configuration in force, ``None`` if unknown."""
        table = self._table
        return table.services.get(service) if table else None

    def get_withdrawn_zones(self) -> frozenset[ZoneId]:
        """Return the zones whose upstreams get no requests."""
        return self._withdrawn

    def get_listed_zones(self) -> frozenset[ZoneId]:
        """Return the zones that the store says are withdrawn."""
        return self._listed_zones

    def get_age(self, now: float) -> float:
        """Return the seconds since the state was last known to be current."""
        return now - self._current_at

    def mark_current(self, now: float) -> None:
        """Record that the whole state is current."""
        self._current_at = now

    def start_recovery_grace(self, now: float) -> None:
        """Start the grace period: the store responds again after an outage."""
        with self._lock:
            self._grace_until = max(self._grace_until, now + RECOVERY_GRACE_S)

    def start_era(self, now: float) -> None:
        """Keep what is known: the store came back from a copy that may lack it."""
        self.remove_overdue(now)
        self.start_recovery_grace(now)
        with self._lock:
            self._memory.start_era(self._upstreams.values(), self._withdrawn, now)

    def accept_table(self, table: RoutingTable) -> bool:
        """Put a configuration in force unless it is outdated; return whether it is."""
        with self._lock:
            if self._table is not None and table.version <= self._table.version:
                return False
            self._table = table
            return True

    def set_withdrawn_zones(
        self, zones: Iterable[ZoneId], now: float, written: Iterable[ZoneId] = ()
    ) -> frozenset[ZoneId]:
        """Set the zones that the store says are withdrawn; return those restored.

        Parameters
        ----------
        zones : iterable of ZoneId
        now : float
            Monotonic time.
        written : iterable of ZoneId, optional
            Zones whose withdrawal or its end was written in this era.

        Notes
        -----
        The upstreams of a restored zone may have turned cold meanwhile, so they count
        as cold until the cold time of their service has passed.
        """
        with self._lock:
            self._listed_zones = frozenset(zones)
            self._memory.release_zones([*self._listed_zones, *written])
            return self._update_withdrawn(now)

    def _update_withdrawn(self, now: float) -> frozenset[ZoneId]:
        before = self._withdrawn
        self._withdrawn = self._listed_zones | self._memory.get_zones()
        restored = before - self._withdrawn
        for upstream in list(self._upstreams.values()):
            if upstream.zone in restored:
                self._cooled.add(upstream.id)
                self._upstreams[upstream.id] = self._mark_cold(upstream, now)
        return restored

    def put_upstream(self, upstream: Upstream) -> Upstream | None:
        """Store an entry unless its upstream is gone; return the one it replaces."""
        with self._lock:
            if self._memory.is_gone(upstream):
                return None
            upstream = self._memory.correct(upstream)
            self._memory.record_listed(upstream)
            self._pending_removals.pop(upstream.id, None)
            before = self._upstreams.get(upstream.id)
            self._upstreams[upstream.id] = upstream
            if upstream.state is UpstreamState.READY:
                self._departures.forget(upstream)
            elif before and get_start(before) == get_start(upstream):
                self._record_departure(before)
            if (upstream.id, upstream.started_at_ms) not in self._listed_starts:
                self._started.add((upstream.id, upstream.started_at_ms))
            if upstream.cold_until:
                self._cooled.add(upstream.id)
            self._listed_starts[upstream.id, upstream.started_at_ms] = None
            if len(self._listed_starts) > STARTS_MAX:
                self._listed_starts.popitem(last=False)
            if before and before.started_at_ms != upstream.started_at_ms:
                self._restarted.add(upstream.id)
                self._memory.record_removed(before)
            return before

    def is_gone(self, upstream: Upstream) -> bool:
        """Return whether an entry is an old one, lost before the store's era."""
        with self._lock:
            return self._memory.is_gone(upstream)

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
        """Remove an upstream whose entry is deleted; return whether it is at once.

        Notes
        -----
        A removal that waits for the end of the grace period is noted already: a copy
        of the store in a further era must not undo it.
        """
        with self._lock:
            known = self._upstreams.get(upstream)
            if known is not None:
                self._memory.record_removed(known)
            return self._remove(upstream, now)

    def _record_departure(self, known: Upstream) -> None:
        if known.state is UpstreamState.READY:
            self._departures.record(known, self._current_at)

    def _remove(self, upstream: UpstreamId, now: float) -> bool:
        if (known := self._upstreams.get(upstream)) is not None:
            self._record_departure(known)
        if now < self._grace_until and upstream in self._upstreams:
            self._pending_removals.setdefault(upstream, self._grace_until)
            return False
        self._drop(upstream)
        return True

    def _drop(self, upstream: UpstreamId) -> None:
        self._pending_removals.pop(upstream, None)
        removed = self._upstreams.pop(upstream, None)
        if removed is not None:
            self._memory.record_removed(removed)

    def replace_upstreams(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Replace all upstreams by those of a complete reading."""
        found = {u.id: u for u in upstreams if not self.is_gone(u)}
        for upstream in found.values():
            self.put_upstream(upstream)
        with self._lock:
            for missing in self._upstreams.keys() - found.keys():
                # Not a deletion: the copy of an era may lack an upstream that runs.
                self._remove(missing, now)

    def remove_overdue(self, now: float) -> list[UpstreamId]:
        """Remove and return upstreams whose entries did not return in time.

        Notes
        -----
        Zones whose withdrawal was not written again in time are used again.
        """
        with self._lock:
            self._release_zones(now)
            removed = [
                name for name, until in self._pending_removals.items() if now >= until
            ]
            for name in removed:
                self._drop(name)
            return removed

    def _release_zones(self, now: float) -> None:
        if self._memory.release_overdue(now):
            restored = self._update_withdrawn(now)
            log.info("withdrawal not written again: {}", sorted(restored))

    def list_upstreams(self, service: ServiceId, now: float) -> list[Upstream]:
        """Return the upstreams of a service that take new requests."""
        with self._lock:
            self._release_zones(now)
            return [
                upstream
                for upstream in self._upstreams.values()
                if upstream.service == service
                and upstream.zone not in self._withdrawn
                and self._stays(upstream, now)
            ]

    def is_serving(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream stays, or leaves but is sure to serve still.

        Notes
        -----
        The upstreams of a withdrawn zone get no new requests, but stay and finish those
        that they have.
        """
        with self._lock:
            known = self._upstreams.get(upstream.id)
            is_listed = known is not None and get_start(known) == get_start(upstream)
            if is_listed and known is not None and self._stays(known, now):
                return True
            return self._departures.is_serving(upstream, now)

    def _stays(self, upstream: Upstream, now: float) -> bool:
        removed_at = self._pending_removals.get(upstream.id)
        return (
            upstream.state is UpstreamState.READY
            and (removed_at is None or now < removed_at)
            and not self._is_departing(upstream)
        )

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
