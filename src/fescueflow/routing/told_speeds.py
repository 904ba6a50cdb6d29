"""Slowdowns that other instances tell, joined so that no single one decides.

Load pattern: each instance sends an upstream a request in many seconds, while all
together send it several a second.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing.model import ServiceId
from fescueflow.routing.speed_signals import (
    LOG_STEP,
    Figure,
    clip,
    compute_log,
    find_service_median,
)

# Age up to which a slowdown is told to others and used by them, in seconds: reports
# reach every instance of a large fleet within two rounds of rotation.
TOLD_AGE_MAX_S = 3.0
# Sources from which on no limit by their number applies: as many steps as the whole
# range of slowdowns.
SOURCES_SURE = 5
# Time for which a service's median of told slowdowns is kept, in seconds: one interval
# of reports.
MEDIAN_PERIOD_S = 0.35
# Sources that are joined for one upstream, the latest ones. Two lying ones of seven do
# not decide, and more would cost time without changing the median much.
SOURCES_MAX = 7


@dataclass(frozen=True, slots=True)
class SpeedUpdate:
    """The slowdown of an upstream that an instance tells others, with its age."""

    upstream: UpstreamId
    slowdown: float
    age_s: float


class JoinedFigure(NamedTuple):
    """What several sources tell of an upstream, as logarithms.

    ``low`` and ``high`` are one step from the medians that remain without one source,
    and ``middle`` is the median of all within them, so that a source moves it by one
    step at most. If the sources contradict each other, ``low`` is above ``high``.
    """

    middle: float
    low: float
    high: float
    recorded_at: float
    source_count: int

    def get_log(self, base: float) -> float:
        """Return the joined logarithm, given what is known without the sources.

        Notes
        -----
        Each source moves the result by one step from ``base`` at most. Of two sources
        that contradict each other, either may be wrong, so the nearest value to
        ``base`` between them counts. Of three, the median is not that of one wrong one.
        """
        log = self.middle
        if self.source_count == 2 and self.low > self.high:
            log = clip(base, self.high, self.low)
        reach = self.source_count * LOG_STEP
        return clip(log, base - reach, base + reach)


class ToldSpeeds:
    """Slowdowns by upstream and source; not thread-safe."""

    def __init__(self) -> None:
        self._sources: dict[UpstreamId, dict[InstanceId, Figure]] = {}
        self._joined: dict[ServiceId, dict[UpstreamId, JoinedFigure]] = {}
        # Latest medians, by service and greatest age, and when they were computed.
        self._medians: dict[tuple[ServiceId, float], tuple[float, float | None]] = {}

    def merge(
        self,
        source: InstanceId,
        service: ServiceId,
        update: SpeedUpdate,
        now: float,
    ) -> None:
        """Store what an instance tells of an upstream of a service."""
        if update.age_s > TOLD_AGE_MAX_S:
            return
        figure = Figure(compute_log(update.slowdown), now - update.age_s)
        figures = self._sources.setdefault(update.upstream, {})
        known = figures.get(source)
        if known is None or known.recorded_at < figure.recorded_at:
            figures[source] = figure
        recent = sorted(
            (
                (source, figure)
                for source, figure in figures.items()
                if now - figure.recorded_at <= TOLD_AGE_MAX_S
            ),
            key=lambda item: -item[1].recorded_at,
        )[:SOURCES_MAX]
        self._sources[update.upstream] = dict(recent)
        self._joined.setdefault(service, {})[update.upstream] = join_figures(
            [figure for _, figure in recent]
        )

    def get_joined(self, service: ServiceId) -> dict[UpstreamId, JoinedFigure]:
        """Return what the sources tell of a service's upstreams, however old."""
        return self._joined.get(service, {})

    def find_median(
        self, service: ServiceId, now: float, age_max_s: float
    ) -> float | None:
        """Return the median of a service's upstreams, if there are enough.

        Notes
        -----
        Upstreams with one source are left out, as it may be wrong about all of them.
        The median is computed again after ``MEDIAN_PERIOD_S``.
        """
        computed_at, known = self._medians.get((service, age_max_s), (-math.inf, None))
        if now - computed_at < MEDIAN_PERIOD_S:
            return known
        oldest = now - age_max_s
        found = find_service_median(
            [
                joined.get_log(0.0)
                for joined in self.get_joined(service).values()
                if joined.source_count > 1 and joined.recorded_at >= oldest
            ]
        )
        self._medians[service, age_max_s] = now, found
        return found

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget all upstreams that are not in ``kept``."""
        for upstream in self._sources.keys() - kept:
            del self._sources[upstream]
        for service, joined in list(self._joined.items()):
            for upstream in joined.keys() - kept:
                del joined[upstream]
            if not joined:
                del self._joined[service]
        self._medians.clear()


def join_figures(figures: Iterable[Figure]) -> JoinedFigure:
    """Return the median of what at least one source tells, and its bounds."""
    logs, times = zip(*figures, strict=True)
    ordered, count = sorted(logs), len(logs)
    half = count // 2
    low, high = -math.inf, math.inf
    if count % 2 == 0:
        least, most = ordered[half - 1], ordered[half]
        middle = (least + most) / 2
    else:
        middle = ordered[half]
        least = (ordered[half - 1] + middle) / 2
        most = (middle + ordered[min(half + 1, count - 1)]) / 2
    if count > 1:
        # The medians without one source are between these two.
        low, high = most - LOG_STEP, least + LOG_STEP
    if low <= high:
        middle = clip(middle, low, high)
    # One source that tells its own age falsely does not decide the age, either.
    recorded_at = sorted(times)[(count - 1) // 2]
    return JoinedFigure(middle, low, high, recorded_at, count)


__all__ = [
    "SOURCES_SURE",
    "TOLD_AGE_MAX_S",
    "JoinedFigure",
    "SpeedUpdate",
    "ToldSpeeds",
]
