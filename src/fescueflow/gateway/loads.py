"""Work of the whole fleet at each upstream."""

import threading
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.gateway.counts import CountBook, CountNews
from fescueflow.routing import (
    LoadReport,
    ServiceId,
    UpstreamLoad,
    blend_reports,
    correct_running,
)

# Loads of an instance that has not been heard for this long are dropped, in seconds;
# longer in fleets whose instances report to each other by turns.
LOAD_AGE_MAX_S = 1.5
# Weight of the latest request in the mean time that a place is held.
HOLD_WEIGHT = 0.05
# Mean time in seconds before any request has ended: a short whole answer.
HOLD_DEFAULT_S = 0.1


@dataclass
class OwnLoad:
    """Requests of this instance at one upstream."""

    running: int = 0
    waiting_tokens: int = 0


@dataclass
class PeerLoads:
    """Loads that another instance has reported."""

    received_at: float
    loads: Mapping[UpstreamId, tuple[int, int]] = field(default_factory=dict)


class Ticket:
    """One running request; counted until it ends."""

    def __init__(
        self, book: "LoadBook", upstream: UpstreamId, service: ServiceId, tokens: int
    ) -> None:
        self._book = book
        self._tokens = tokens
        self._ended = False
        self.upstream = upstream
        self.service = service

    def note_first(self) -> None:
        """Note that the prompt has been read."""
        tokens, self._tokens = self._tokens, 0
        if tokens:
            self._book.add(self.upstream, 0, -tokens)

    def end(self) -> None:
        """Stop counting the request."""
        if not self._ended:
            self._ended = True
            self._book.add(self.upstream, -1, -self._tokens)


class LoadBook:
    """Own loads, those that other instances report, and upstreams' own counts."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._own: dict[UpstreamId, OwnLoad] = {}
        self._peers: dict[InstanceId, PeerLoads] = {}
        self._hold_s: dict[ServiceId, float] = {}
        self._counts = CountBook()

    def start(
        self, upstream: UpstreamId, service: ServiceId, tokens: int, now: float
    ) -> Ticket:
        """Count a request with this many prompt tokens to read."""
        self.add(upstream, 1, tokens)
        with self._lock:
            self._counts.note_start(upstream, now)
        return Ticket(self, upstream, service, tokens)

    def add(self, upstream: UpstreamId, running: int, tokens: int) -> None:
        """Change the own load of an upstream."""
        with self._lock:
            own = self._own.setdefault(upstream, OwnLoad())
            own.running += running
            own.waiting_tokens += tokens
            if not own.running:
                del self._own[upstream]

    def note_hold(self, service: ServiceId, seconds: float) -> None:
        """Add a sample to the mean time that a request holds a place."""
        with self._lock:
            mean = self._hold_s.get(service, seconds)
            self._hold_s[service] = mean + HOLD_WEIGHT * (seconds - mean)

    def get_hold_s(self, service: ServiceId) -> float:
        """Return the mean time that a request holds a place."""
        return self._hold_s.get(service, HOLD_DEFAULT_S)

    def set_peer(
        self,
        peer: InstanceId,
        loads: Mapping[UpstreamId, tuple[int, int]],
        now: float,
    ) -> None:
        """Take over the loads of another instance."""
        with self._lock:
            self._peers[peer] = PeerLoads(now, loads)

    def note_count(
        self, upstream: UpstreamId, count: int, now: float, is_high: bool
    ) -> None:
        """Take over the requests that an upstream counts itself.

        Parameters
        ----------
        upstream : UpstreamId
        count : int
        now : float
        is_high : bool
            Whether other instances are to know.
        """
        with self._lock:
            self._counts.note(upstream, count, now, is_high)

    def merge_counts(self, news: Iterable[CountNews], now: float) -> None:
        """Take over the counts that another instance tells."""
        with self._lock:
            self._counts.merge(news, now)

    def list_counts(self, now: float) -> list[CountNews]:
        """Return the counts that other instances are to know."""
        with self._lock:
            return self._counts.list_news(now)

    def forget(self, kept: set[UpstreamId]) -> None:
        """Drop the counts of upstreams that are gone."""
        with self._lock:
            self._counts.forget(kept)

    def list_own(self) -> dict[UpstreamId, tuple[int, int]]:
        """Return running requests and waiting tokens of this instance."""
        with self._lock:
            return {n: (o.running, o.waiting_tokens) for n, o in self._own.items()}

    def get_report_age(self, now: float) -> float | None:
        """Return the mean age of the reports in use, ``None`` if there are none."""
        with self._lock:
            ages = [now - entry.received_at for entry in self._peers.values()]
        return sum(ages) / len(ages) if ages else None

    def estimate_loads(
        self,
        names: Sequence[UpstreamId],
        service: ServiceId,
        now: float,
        interval_s: float = 0.0,
    ) -> dict[UpstreamId, UpstreamLoad]:
        """Return the expected load of the whole fleet at upstreams of a service.

        Parameters
        ----------
        names : sequence of UpstreamId
        service : ServiceId
        now : float
        interval_s : float, optional
            Time from one report of an instance to the next. Two of them may pass
            before its loads are dropped.
        """
        age_max_s = max(LOAD_AGE_MAX_S, 2 * interval_s)
        own = self.list_own()
        with self._lock:
            for peer in list(self._peers):
                if now - self._peers[peer].received_at > age_max_s:
                    del self._peers[peer]
            reports = [
                LoadReport(max(0.0, now - entry.received_at), entry.loads)
                for entry in self._peers.values()
            ]
            counts = {name: self._counts.find(name, now) for name in names}
        hold_s = self.get_hold_s(service)
        others = blend_reports(reports, names, hold_s)
        loads = {
            name: add_load(own.get(name, (0, 0)), running, tokens)
            for name, (running, tokens) in others.items()
        }
        for name, count in counts.items():
            if count is not None:
                running = correct_running(loads[name].running, count, hold_s)
                loads[name] = replace(
                    loads[name], running=running, count_age_s=count.age_s
                )
        return loads


def add_load(own: tuple[int, int], running: float, tokens: float) -> UpstreamLoad:
    """Return the sum of the own load and that of others."""
    return UpstreamLoad(
        running=own[0] + running,
        waiting_tokens=own[1] + tokens,
        own_running=own[0],
    )


__all__ = ["LoadBook", "Ticket"]
