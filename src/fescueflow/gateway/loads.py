"""Load of the whole fleet at each upstream."""

import threading
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.gateway.counts import CountTracker, CountUpdate
from fescueflow.routing import (
    LoadReport,
    ServiceId,
    UpstreamLoad,
    blend_reports,
    correct_running,
)

# Age at which the reported loads of an instance are dropped; higher in large fleets,
# where instances report to each other in rotation.
LOAD_AGE_MAX_S = 1.5
# Weight of the latest sample in the moving average of request durations.
DURATION_WEIGHT = 0.05
# Mean duration assumed before any request has ended: that of a short, unstreamed
# response.
DURATION_DEFAULT_S = 0.1


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


class ActiveRequest:
    """A request that counts toward an upstream's load until it ends."""

    def __init__(
        self,
        tracker: "LoadTracker",
        upstream: UpstreamId,
        service: ServiceId,
        tokens: int,
    ) -> None:
        self._tracker = tracker
        self._tokens = tokens
        self._ended = False
        self.upstream = upstream
        self.service = service

    def mark_prompt_read(self) -> None:
        """Record that the upstream has read the prompt."""
        tokens, self._tokens = self._tokens, 0
        if tokens:
            self._tracker.adjust(self.upstream, 0, -tokens)

    def end(self) -> None:
        """Stop counting the request."""
        if not self._ended:
            self._ended = True
            self._tracker.adjust(self.upstream, -1, -self._tokens)


class LoadTracker:
    """Loads of this instance and of others, and counts reported by upstreams."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._own: dict[UpstreamId, OwnLoad] = {}
        self._peers: dict[InstanceId, PeerLoads] = {}
        self._mean_durations_s: dict[ServiceId, float] = {}
        self._counts = CountTracker()

    def start(
        self, upstream: UpstreamId, service: ServiceId, tokens: int, now: float
    ) -> ActiveRequest:
        """Count a request with this many unread prompt tokens."""
        self.adjust(upstream, 1, tokens)
        with self._lock:
            self._counts.record_start(upstream, now)
        return ActiveRequest(self, upstream, service, tokens)

    def adjust(self, upstream: UpstreamId, running: int, tokens: int) -> None:
        """Change this instance's load at an upstream."""
        with self._lock:
            own = self._own.setdefault(upstream, OwnLoad())
            own.running += running
            own.waiting_tokens += tokens
            if not own.running:
                del self._own[upstream]

    def record_duration(self, service: ServiceId, seconds: float) -> None:
        """Add a sample to the mean duration of a service's requests."""
        with self._lock:
            mean = self._mean_durations_s.get(service, seconds)
            self._mean_durations_s[service] = mean + DURATION_WEIGHT * (seconds - mean)

    def get_mean_duration_s(self, service: ServiceId) -> float:
        """Return the mean duration of a service's requests."""
        return self._mean_durations_s.get(service, DURATION_DEFAULT_S)

    def set_peer_loads(
        self,
        peer: InstanceId,
        loads: Mapping[UpstreamId, tuple[int, int]],
        now: float,
    ) -> None:
        """Store the loads that another instance reported."""
        with self._lock:
            self._peers[peer] = PeerLoads(now, loads)

    def record_count(
        self, upstream: UpstreamId, count: int, now: float, is_high: bool
    ) -> None:
        """Store the request count that an upstream reported.

        Parameters
        ----------
        upstream : UpstreamId
        count : int
        now : float
        is_high : bool
            Whether the count is reported to other instances.
        """
        with self._lock:
            self._counts.record(upstream, count, now, is_high)

    def merge_counts(self, updates: Iterable[CountUpdate], now: float) -> None:
        """Store the counts that another instance reported."""
        with self._lock:
            self._counts.merge(updates, now)

    def list_counts(self, now: float) -> list[CountUpdate]:
        """Return the counts to report to other instances."""
        with self._lock:
            return self._counts.list_updates(now)

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget the counts of upstreams that are not in ``kept``."""
        with self._lock:
            self._counts.retain(kept)

    def list_own_loads(self) -> dict[UpstreamId, tuple[int, int]]:
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
            Time from one report of an instance to the next. Its loads are kept for
            at least two intervals.
        """
        age_max_s = max(LOAD_AGE_MAX_S, 2 * interval_s)
        own = self.list_own_loads()
        with self._lock:
            for peer in list(self._peers):
                if now - self._peers[peer].received_at > age_max_s:
                    del self._peers[peer]
            reports = [
                LoadReport(max(0.0, now - entry.received_at), entry.loads)
                for entry in self._peers.values()
            ]
            counts = {name: self._counts.find(name, now) for name in names}
        ages = [report.age_s for report in reports]
        report_age_s = sum(ages) / len(ages) if ages else None
        mean_duration_s = self.get_mean_duration_s(service)
        others = blend_reports(reports, names, mean_duration_s)
        loads = {
            name: sum_loads(own.get(name, (0, 0)), running, tokens)
            for name, (running, tokens) in others.items()
        }
        for name, count in counts.items():
            if count is not None:
                running = correct_running(
                    loads[name].running, count, mean_duration_s, report_age_s
                )
                loads[name] = replace(
                    loads[name], running=running, count_age_s=count.age_s
                )
        return loads


def sum_loads(own: tuple[int, int], running: float, tokens: float) -> UpstreamLoad:
    """Return the sum of this instance's load and that of others."""
    return UpstreamLoad(
        running=own[0] + running,
        waiting_tokens=own[1] + tokens,
        own_running=own[0],
    )


__all__ = ["ActiveRequest", "LoadTracker"]
