"""Upstreams' own counts of their requests, as this instance and others have heard them.

Answers a large fleet in which the reports of all instances together take seconds: one
answer of an upstream tells what all of them have sent there.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from fescueflow.core import UpstreamId
from fescueflow.routing import LoadCount

# A count that is older is not used, in seconds; three reports.
COUNT_AGE_MAX_S = 1.05
# A count is passed on for this long, in seconds: the interval of the reports, so that
# each instance that has heard it passes it on once.
RELAY_S = 0.36
# Counts in one report, of about 25 bytes each; the largest ones go first.
COUNTS_MAX = 4
# Own requests that are remembered for each upstream; more than an instance starts
# at one upstream while a count is in use.
STARTS_MAX = 64


@dataclass(frozen=True, slots=True)
class CountNews:
    """A count that other instances are to know."""

    upstream: UpstreamId
    count: int
    age_s: float


@dataclass(frozen=True, slots=True)
class KnownCount:
    """The latest count of an upstream; ``is_high`` if others are told."""

    count: int
    counted_at: float
    is_high: bool


class CountBook:
    """Latest counts by upstream; not safe for use from several threads."""

    def __init__(self) -> None:
        self._counts: dict[UpstreamId, KnownCount] = {}
        self._starts: dict[UpstreamId, deque[float]] = {}

    def note_start(self, upstream: UpstreamId, now: float) -> None:
        """Note that this instance sends a request."""
        starts = self._starts.setdefault(upstream, deque(maxlen=STARTS_MAX))
        starts.append(now)

    def note(
        self, upstream: UpstreamId, count: int, counted_at: float, is_high: bool
    ) -> None:
        """Take over a count unless a later one is known."""
        known = self._counts.get(upstream)
        if known is None or known.counted_at < counted_at:
            self._counts[upstream] = KnownCount(count, counted_at, is_high)

    def merge(self, news: Iterable[CountNews], now: float) -> None:
        """Take over the counts that another instance tells."""
        for item in news:
            self.note(item.upstream, item.count, now - item.age_s, True)

    def find(self, upstream: UpstreamId, now: float) -> LoadCount | None:
        """Return the count of an upstream, ``None`` if none is new enough."""
        known = self._counts.get(upstream)
        if known is None or now - known.counted_at > COUNT_AGE_MAX_S:
            return None
        starts = self._starts.get(upstream, ())
        own_since = sum(started_at > known.counted_at for started_at in starts)
        return LoadCount(known.count, now - known.counted_at, own_since)

    def list_news(self, now: float) -> list[CountNews]:
        """Return the high counts, the largest first.

        Notes
        -----
        Each instance passes on what it has heard. The busier an upstream is, the more
        instances hear it.
        """
        high = [
            CountNews(upstream, known.count, now - known.counted_at)
            for upstream, known in self._counts.items()
            if known.is_high and now - known.counted_at <= RELAY_S
        ]
        return sorted(high, key=lambda news: -news.count)[:COUNTS_MAX]

    def forget(self, kept: set[UpstreamId]) -> None:
        """Drop what is known of all other upstreams."""
        for upstream in self._counts.keys() - kept:
            del self._counts[upstream]
        for upstream in self._starts.keys() - kept:
            del self._starts[upstream]


__all__ = ["CountBook", "CountNews"]
