"""How much longer work takes at upstreams than the constants of placement say.

Load pattern: engines of one service differ in speed, some for as long as they run and
others for a few hundred milliseconds. Some tell how long work takes there at this
moment.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from fescueflow.core import UpstreamId
from fescueflow.routing.model import ServiceId

# Range of slowdowns, as factors. Beyond it, an upstream is hardly useful at all, or its
# figure is wrong.
SLOWDOWN_MIN = 0.25
SLOWDOWN_MAX = 8.0
LOG_MIN = math.log(SLOWDOWN_MIN)
LOG_MAX = math.log(SLOWDOWN_MAX)
# Largest change by one sample or one source, as the logarithm of a factor: three
# samples cover the range from the usual speed to the lowest one.
LOG_STEP = math.log(2.0)
# Value that stands for the usual duration of work in an upstream's own figure.
USUAL_PERCENT = 100
# Time constant of the decay of the percent figure, in seconds: engines change their
# speed many times a second.
PERCENT_DECAY_S = 1.0
# Age up to which a percent figure is part of the service's median, in seconds: several
# times its decay, in which an upstream gets more than ten requests at the usual load.
PERCENT_AGE_MAX_S = 5.0
# Fewest upstreams whose median says something of the whole service.
MEDIAN_UPSTREAMS_MIN = 3


@dataclass(frozen=True, slots=True)
class Figure:
    """Logarithm of a factor, and when it was recorded."""

    log: float
    recorded_at: float


@dataclass(frozen=True, slots=True)
class Slowdown:
    """Factor by which work takes longer, and the age of its latest sample.

    ``age_s`` is ``None`` if nothing was heard of the upstream itself.
    """

    factor: float = 1.0
    age_s: float | None = None


class SpeedSignal:
    """Figures of one kind; they decay to the median of their service.

    Parameters
    ----------
    decay_s : float
        Time constant of the decay.
    age_max_s : float
        Age up to which a figure is part of the median.
    weight : float
        Weight of a sample against the figure so far, 0 to 1.
    """

    def __init__(self, decay_s: float, age_max_s: float, weight: float) -> None:
        self._decay_s = decay_s
        self._age_max_s = age_max_s
        self._weight = weight
        self._figures: dict[ServiceId, dict[UpstreamId, Figure]] = {}

    def record(
        self, upstream: UpstreamId, service: ServiceId, log: float, now: float
    ) -> None:
        """Move the figure of an upstream toward a sample, by one step at most."""
        before = self.get_log(upstream, service, self.find_median(service, now), now)
        change = self._weight * (log - before)
        after = clip(before + clip(change, -LOG_STEP, LOG_STEP), LOG_MIN, LOG_MAX)
        self._figures.setdefault(service, {})[upstream] = Figure(after, now)

    def find(self, upstream: UpstreamId, service: ServiceId) -> Figure | None:
        """Return the latest figure of an upstream, however old."""
        return self._figures.get(service, {}).get(upstream)

    def find_median(self, service: ServiceId, now: float) -> float:
        """Return the median of a service's recent figures, 0 if there are too few."""
        oldest = now - self._age_max_s
        figures = self._figures.get(service, {}).values()
        logs = [f.log for f in figures if f.recorded_at >= oldest]
        return median(logs) if len(logs) >= MEDIAN_UPSTREAMS_MIN else 0.0

    def get_log(
        self, upstream: UpstreamId, service: ServiceId, middle: float, now: float
    ) -> float:
        """Return the figure of an upstream, decayed to that of the service."""
        figure = self.find(upstream, service)
        if figure is None:
            return middle
        kept = math.exp(-max(0.0, now - figure.recorded_at) / self._decay_s)
        return middle + kept * (figure.log - middle)

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget all upstreams that are not in ``kept``."""
        for service, figures in list(self._figures.items()):
            for upstream in figures.keys() - kept:
                del figures[upstream]
            if not figures:
                del self._figures[service]


class SpeedTable:
    """What is known of the speed of upstreams; not thread-safe."""

    def __init__(self) -> None:
        self._percents = SpeedSignal(PERCENT_DECAY_S, PERCENT_AGE_MAX_S, 1.0)

    def record_percent(
        self, upstream: UpstreamId, service: ServiceId, percent: int, now: float
    ) -> None:
        """Store how long work takes at an upstream, in percent of the usual time."""
        log = compute_log(percent / USUAL_PERCENT)
        self._percents.record(upstream, service, log, now)

    def estimate(
        self, upstreams: Iterable[UpstreamId], service: ServiceId, now: float
    ) -> dict[UpstreamId, Slowdown]:
        """Return the slowdown of upstreams of a service."""
        middle = self._percents.find_median(service, now)
        return {
            upstream: Slowdown(
                self._compute_factor(upstream, service, middle, now),
                self._find_age(upstream, service, now),
            )
            for upstream in upstreams
        }

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget all upstreams that are not in ``kept``."""
        self._percents.retain(kept)

    def _compute_factor(
        self, upstream: UpstreamId, service: ServiceId, middle: float, now: float
    ) -> float:
        log = self._percents.get_log(upstream, service, middle, now)
        return math.exp(clip(log, LOG_MIN, LOG_MAX))

    def _find_age(
        self, upstream: UpstreamId, service: ServiceId, now: float
    ) -> float | None:
        figure = self._percents.find(upstream, service)
        return None if figure is None else max(0.0, now - figure.recorded_at)


def compute_log(factor: float) -> float:
    """Return the logarithm of a factor, within the range of slowdowns."""
    return math.log(clip(factor, SLOWDOWN_MIN, SLOWDOWN_MAX))


def clip(value: float, low: float, high: float) -> float:
    """Return the value within ``low`` to ``high`` that is nearest to a value."""
    return min(high, max(low, value))


__all__ = ["Slowdown", "SpeedTable"]
