"""Request counts that upstreams report in their responses.

In a large fleet, the load reports of all instances together take seconds. One response
of an upstream tells how many requests all instances have sent there.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from fescueflow.core import UpstreamId
from fescueflow.routing import LoadCount

# Age up to which a count is used: three reports.
COUNT_AGE_MAX_S = 1.05
# Age up to which a count is relayed: the report interval, so that each instance that
# receives a count relays it once.
RELAY_AGE_MAX_S = 0.36
# Counts in one report, about 25 bytes each; the largest are sent first.
REPORTED_COUNTS_MAX = 4
# Start times kept for each upstream; more than an instance starts at one upstream while
# a count is in use.
STARTS_MAX = 64


@dataclass(frozen=True, slots=True)
class CountUpdate:
    """A count that instances report to each other."""

    upstream: UpstreamId
    count: int
    age_s: float


@dataclass(frozen=True, slots=True)
class KnownCount:
    """The latest count of an upstream; reported to others if ``is_high``."""

    count: int
    counted_at: float
    is_high: bool


class CountTracker:
    """Latest counts by upstream; not thread-safe."""

    def __init__(self) -> None:
        self._counts: dict[UpstreamId, KnownCount] = {}
        self._starts: dict[UpstreamId, deque[float]] = {}

    def record_start(self, upstream: UpstreamId, now: float) -> None:
        """Record that this instance starts a request at an upstream."""
        starts = self._starts.setdefault(upstream, deque(maxlen=STARTS_MAX))
        starts.append(now)

    def record(
        self, upstream: UpstreamId, count: int, counted_at: float, is_high: bool
    ) -> None:
        """Store a count unless a later one is known."""
        known = self._counts.get(upstream)
        if known is None or known.counted_at < counted_at:
            self._counts[upstream] = KnownCount(count, counted_at, is_high)

    def merge(self, updates: Iterable[CountUpdate], now: float) -> None:
        """Store the counts that another instance reported."""
        for update in updates:
            self.record(update.upstream, update.count, now - update.age_s, True)

    def find(self, upstream: UpstreamId, now: float) -> LoadCount | None:
        """Return the count of an upstream, ``None`` if there is no recent one."""
        known = self._counts.get(upstream)
        if known is None or now - known.counted_at > COUNT_AGE_MAX_S:
            return None
        starts = self._starts.get(upstream, ())
        sent_since = sum(started_at > known.counted_at for started_at in starts)
        return LoadCount(known.count, now - known.counted_at, sent_since)

    def list_updates(self, now: float) -> list[CountUpdate]:
        """Return the high counts to report, the largest first.

        Notes
        -----
        Each instance relays the counts it receives. The busier an upstream is, the more
        instances receive its count.
        """
        high = [
            CountUpdate(upstream, known.count, now - known.counted_at)
            for upstream, known in self._counts.items()
            if known.is_high and now - known.counted_at <= RELAY_AGE_MAX_S
        ]
        return sorted(high, key=lambda update: -update.count)[:REPORTED_COUNTS_MAX]

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget all upstreams that are not in ``kept``."""
        for upstream in self._counts.keys() - kept:
            del self._counts[upstream]
        for upstream in self._starts.keys() - kept:
            del self._starts[upstream]


__all__ = ["CountTracker", "CountUpdate"]
