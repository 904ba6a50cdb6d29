"""Figures of upstreams' speed that decay to the median of their service."""

import math
from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

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
# Fewest upstreams whose median says something of the whole service.
MEDIAN_UPSTREAMS_MIN = 3


class Figure(NamedTuple):
    """Logarithm of a factor, and when it was recorded."""

    log: float
    recorded_at: float


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
        self.decay_s = decay_s
        self._age_max_s = age_max_s
        self._weight = weight
        self._figures: dict[ServiceId, dict[UpstreamId, Figure]] = {}

    def record(
        self, upstream: UpstreamId, service: ServiceId, log: float, now: float
    ) -> None:
        """Move the figure of an upstream toward a sample, by one step at most."""
        before = self.get_log(upstream, service, now)
        change = self._weight * (log - before)
        after = clip(before + clip(change, -LOG_STEP, LOG_STEP), LOG_MIN, LOG_MAX)
        self._figures.setdefault(service, {})[upstream] = Figure(after, now)

    def find_median(self, service: ServiceId, now: float) -> float | None:
        """Return the median of a service's recent figures, if there are enough."""
        oldest = now - self._age_max_s
        figures = self._figures.get(service, {}).values()
        return find_service_median([f.log for f in figures if f.recorded_at >= oldest])

    def get_log(self, upstream: UpstreamId, service: ServiceId, now: float) -> float:
        """Return the figure of an upstream, decayed to that of the service."""
        middle = self.find_median(service, now) or 0.0
        figure = self.get_figures(service).get(upstream)
        if figure is None:
            return middle
        kept = math.exp(-max(0.0, now - figure.recorded_at) / self.decay_s)
        return middle + kept * (figure.log - middle)

    def get_figures(self, service: ServiceId) -> Mapping[UpstreamId, Figure]:
        """Return the latest figures of a service's upstreams, however old."""
        return self._figures.get(service, {})

    def list_services(self) -> list[ServiceId]:
        """Return the services whose upstreams have figures."""
        return list(self._figures)

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget all upstreams that are not in ``kept``."""
        for service, figures in list(self._figures.items()):
            for upstream in figures.keys() - kept:
                del figures[upstream]
            if not figures:
                del self._figures[service]


def find_service_median(logs: list[float]) -> float | None:
    """Return the median of the figures of a service's upstreams, if enough."""
    return median(logs) if len(logs) >= MEDIAN_UPSTREAMS_MIN else None


def compute_log(factor: float) -> float:
    """Return the logarithm of a factor, within the range of slowdowns."""
    return math.log(clip(factor, SLOWDOWN_MIN, SLOWDOWN_MAX))


def clip(value: float, low: float, high: float) -> float:
    """Return the value within ``low`` to ``high`` that is nearest to a value."""
    return min(high, max(low, value))


__all__ = [
    "LOG_MAX",
    "LOG_MIN",
    "LOG_STEP",
    "SLOWDOWN_MAX",
    "SLOWDOWN_MIN",
    "Figure",
    "SpeedSignal",
    "clip",
    "compute_log",
    "find_service_median",
]
