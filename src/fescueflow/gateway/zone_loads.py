"""Loads of whole zones, which the readers of the store add up and tell the others.

Load pattern: requests with one shared prefix come in clumps at many instances of a
large fleet. Instances report to each other by turns there, so that a load is about a
second old when the next request is placed by it, and all of them send to one upstream.
All instances of a zone report to its reader each time, and the reader to all of them:
its sums are about one report interval old.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from fescueflow.core import UpstreamId, ZoneId
from fescueflow.routing import LoadReport

Loads = Mapping[UpstreamId, tuple[int, int]]

# Age up to which the sum of a zone replaces the reports of its instances, in seconds.
# Instances of a large fleet report to each other within one to three seconds.
ZONE_AGE_MAX_S = 1.0
# Own loads that are remembered, one for each report, to take them out of a sum.
OWN_LOADS_MAX = 8


@dataclass(frozen=True)
class ZoneLoads:
    """Running requests and waiting prompt tokens of a zone's instances, added up.

    ``age_s`` is the mean age of the reports in the sum, in seconds.
    """

    zone: ZoneId
    age_s: float
    loads: Loads


def add_loads(reports: Iterable[Loads]) -> dict[UpstreamId, tuple[int, int]]:
    """Return the sums of loads by upstream."""
    sums: dict[UpstreamId, tuple[int, int]] = {}
    for loads in reports:
        for name, (running, tokens) in loads.items():
            before = sums.get(name, (0, 0))
            sums[name] = (before[0] + running, before[1] + tokens)
    return sums


def subtract_loads(total: Loads, part: Loads) -> dict[UpstreamId, tuple[int, int]]:
    """Return loads without a part of them, at least 0."""
    return {
        name: (
            max(0, running - part.get(name, (0, 0))[0]),
            max(0, tokens - part.get(name, (0, 0))[1]),
        )
        for name, (running, tokens) in total.items()
    }


class ZoneLoadTable:
    """The latest sum of each zone; not thread-safe.

    Parameters
    ----------
    own_zone : ZoneId
    """

    def __init__(self, own_zone: ZoneId) -> None:
        self._own_zone = own_zone
        # Each sum, and the time as of which it is known.
        self._sums: dict[ZoneId, tuple[float, Loads]] = {}
        self._published: deque[tuple[float, Loads]] = deque(maxlen=OWN_LOADS_MAX)

    def record_published(self, loads: Loads, now: float) -> None:
        """Store the own loads of a report that is being sent."""
        self._published.append((now, loads))

    def merge(self, sums: Iterable[ZoneLoads], now: float) -> None:
        """Store sums unless later ones are known."""
        for entry in sums:
            known = self._sums.get(entry.zone)
            if known is None or known[0] < now - entry.age_s:
                self._sums[entry.zone] = (now - entry.age_s, entry.loads)

    def list_sums(self, now: float) -> list[ZoneLoads]:
        """Return the sums that are recent."""
        return [
            ZoneLoads(zone, now - known_at, loads)
            for zone, (known_at, loads) in self._sums.items()
            if now - known_at <= ZONE_AGE_MAX_S
        ]

    def list_others(self, now: float) -> dict[ZoneId, LoadReport]:
        """Return the recent sums of zones without this instance's own part."""
        return {
            entry.zone: LoadReport(
                max(0.0, entry.age_s), self._remove_own(entry, now - entry.age_s)
            )
            for entry in self.list_sums(now)
        }

    def _remove_own(self, entry: ZoneLoads, known_at: float) -> Loads:
        if entry.zone != self._own_zone:
            return entry.loads
        return subtract_loads(entry.loads, self._find_published(known_at))

    def _find_published(self, known_at: float) -> Loads:
        """Return the own loads of the last report before a time."""
        earlier: Iterator[Loads] = (
            loads for sent_at, loads in reversed(self._published) if sent_at <= known_at
        )
        return next(earlier, {})


__all__ = [
    "ZONE_AGE_MAX_S",
    "Loads",
    "ZoneLoadTable",
    "ZoneLoads",
    "add_loads",
    "subtract_loads",
]
