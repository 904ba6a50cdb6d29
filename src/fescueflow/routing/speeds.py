"""How much longer work takes at upstreams than the constants of placement say.

Load pattern: engines of one service differ in speed, some for as long as they run and
others for a few hundred milliseconds. Some tell how long work takes there at this
moment.
"""

import math
from collections.abc import Mapping, Sequence
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


# Time constant of the decay of observed times, in seconds: an upstream gets few
# requests whose time tells its speed.
TIME_DECAY_S = 5.0
# Age up to which an observed time is part of the service's median, in seconds: the type
# of a service's engines does not change, and some services get few such requests.
TIME_AGE_MAX_S = 60.0
# Weight of an observed time: single times vary with the other requests at the upstream.
TIME_WEIGHT = 0.25
# Least expected time by which an observed one is divided, in milliseconds.
MS_MIN = 1e-3
NEVER = -math.inf


class Figure(NamedTuple):
    """Logarithm of a factor, and when it was recorded."""

    log: float
    recorded_at: float


class Slowdown(NamedTuple):
    """Factor by which work takes longer, and the age of its latest sample.

    ``age_s`` is ``None`` if nothing was heard of the upstream itself.
    """

    factor: float = 1.0
    age_s: float | None = None


USUAL = Slowdown()


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
        before = self.get_log(upstream, service, self.find_median(service, now), now)
        change = self._weight * (log - before)
        after = clip(before + clip(change, -LOG_STEP, LOG_STEP), LOG_MIN, LOG_MAX)
        self._figures.setdefault(service, {})[upstream] = Figure(after, now)

    def find_median(self, service: ServiceId, now: float) -> float:
        """Return the median of a service's recent figures, 0 if there are too few."""
        oldest = now - self._age_max_s
        figures = self._figures.get(service, {}).values()
        return find_median([f.log for f in figures if f.recorded_at >= oldest])

    def get_log(
        self, upstream: UpstreamId, service: ServiceId, middle: float, now: float
    ) -> float:
        """Return the figure of an upstream, decayed to that of the service."""
        figure = self.get_figures(service).get(upstream)
        if figure is None:
            return middle
        kept = math.exp(-max(0.0, now - figure.recorded_at) / self.decay_s)
        return middle + kept * (figure.log - middle)

    def get_figures(self, service: ServiceId) -> Mapping[UpstreamId, Figure]:
        """Return the latest figures of a service's upstreams, however old."""
        return self._figures.get(service, {})

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
        self._times = SpeedSignal(TIME_DECAY_S, TIME_AGE_MAX_S, TIME_WEIGHT)

    def record_percent(
        self, upstream: UpstreamId, service: ServiceId, percent: int, now: float
    ) -> None:
        """Store how long work takes at an upstream, in percent of the usual time."""
        log = compute_log(percent / USUAL_PERCENT)
        self._percents.record(upstream, service, log, now)

    def record_time(
        self,
        upstream: UpstreamId,
        service: ServiceId,
        observed_ms: float,
        expected_ms: float,
        now: float,
    ) -> None:
        """Store how long work took at an upstream, and how long it should have.

        Notes
        -----
        The percent figure explains a part of the time; the rest is stored.
        """
        middle = self._percents.find_median(service, now)
        explained = self._percents.get_log(upstream, service, middle, now)
        log = compute_log(observed_ms / max(expected_ms, MS_MIN)) - explained
        self._times.record(upstream, service, log, now)

    def estimate(
        self, upstreams: Sequence[UpstreamId], service: ServiceId, now: float
    ) -> dict[UpstreamId, Slowdown]:
        """Return the slowdown of upstreams of a service."""
        percents = self._percents.get_figures(service)
        times = self._times.get_figures(service)
        if not percents and not times:
            return dict.fromkeys(upstreams, USUAL)
        percent_middle = self._percents.find_median(service, now)
        time_middle = self._times.find_median(service, now)
        percent_rate, time_rate = -1 / self._percents.decay_s, -1 / self._times.decay_s
        middle, slowdowns, exp = percent_middle + time_middle, {}, math.exp
        # Runs for each request over all upstreams, so it makes few calls.
        for upstream in upstreams:
            log, latest = middle, NEVER
            if percent := percents.get(upstream):
                figure, latest = percent
                log += (figure - percent_middle) * exp(percent_rate * (now - latest))
            if time := times.get(upstream):
                figure, at = time
                log += (figure - time_middle) * exp(time_rate * (now - at))
                latest = at if at > latest else latest
            factor = exp(
                LOG_MIN if log < LOG_MIN else LOG_MAX if log > LOG_MAX else log
            )
            age_s = None if latest == NEVER else now - latest
            slowdowns[upstream] = Slowdown(factor, age_s)
        return slowdowns

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget all upstreams that are not in ``kept``."""
        self._percents.retain(kept)
        self._times.retain(kept)


def find_median(logs: list[float]) -> float:
    """Return the median of a service's figures, 0 if there are too few."""
    return median(logs) if len(logs) >= MEDIAN_UPSTREAMS_MIN else 0.0


def compute_log(factor: float) -> float:
    """Return the logarithm of a factor, within the range of slowdowns."""
    return math.log(clip(factor, SLOWDOWN_MIN, SLOWDOWN_MAX))


def clip(value: float, low: float, high: float) -> float:
    """Return the value within ``low`` to ``high`` that is nearest to a value."""
    return min(high, max(low, value))


__all__ = ["Slowdown", "SpeedTable"]
