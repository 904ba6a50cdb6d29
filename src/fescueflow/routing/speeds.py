"""How much longer work takes at upstreams than the constants of placement say.

Load pattern: engines of one service differ in speed, some for as long as they run and
others for a few hundred milliseconds. Some tell how long work takes there at this
moment.
"""

import math
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing.model import ServiceId
from fescueflow.routing.speed_signals import (
    LOG_MAX,
    LOG_MIN,
    SpeedSignal,
    clip,
    compute_log,
)
from fescueflow.routing.told_speeds import (
    SOURCES_SURE,
    TOLD_AGE_MAX_S,
    SpeedUpdate,
    ToldSpeeds,
)

# Value that stands for the usual duration of work in an upstream's own figure.
USUAL_PERCENT = 100
# Time constant of the decay of the percent figure, in seconds: engines change their
# speed many times a second.
PERCENT_DECAY_S = 1.0
# Age up to which a percent figure is part of the service's median, in seconds: several
# times its decay, in which an upstream gets more than ten requests at the usual load.
PERCENT_AGE_MAX_S = 5.0
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
# Weight below which what others tell is left out; it would change less than one
# hundredth of its deviation.
TOLD_WEIGHT_MIN = 0.01
NEVER = -math.inf


class Slowdown(NamedTuple):
    """Factor by which work takes longer, and the age of its latest sample.

    ``age_s`` is ``None`` if nothing was heard of the upstream itself. ``share`` is the
    upstream's part of the factor, without that of its service.
    """

    factor: float = 1.0
    age_s: float | None = None
    share: float = 1.0


USUAL = Slowdown()


class SpeedTable:
    """What is known of the speed of upstreams; not thread-safe."""

    def __init__(self) -> None:
        self._percents = SpeedSignal(PERCENT_DECAY_S, PERCENT_AGE_MAX_S, 1.0)
        self._times = SpeedSignal(TIME_DECAY_S, TIME_AGE_MAX_S, TIME_WEIGHT)
        self._told = ToldSpeeds()

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
        explained = self._percents.get_log(upstream, service, now)
        log = compute_log(observed_ms / max(expected_ms, MS_MIN)) - explained
        self._times.record(upstream, service, log, now)

    def merge(
        self, source: InstanceId, service: ServiceId, update: SpeedUpdate, now: float
    ) -> None:
        """Store the slowdown that another instance tells of a service's upstream."""
        self._told.merge(source, service, update, now)

    def list_updates(self, now: float) -> list[SpeedUpdate]:
        """Return the slowdowns that this instance has seen, the latest first.

        Notes
        -----
        What others told is not told again, so that it counts once.
        """
        updates = [
            update
            for service in {
                *self._percents.list_services(),
                *self._times.list_services(),
            }
            for update in self._list_service_updates(service, now)
        ]
        return sorted(updates, key=lambda update: (update.age_s, update.upstream))

    def _list_service_updates(
        self, service: ServiceId, now: float
    ) -> Iterator[SpeedUpdate]:
        percents = self._percents.get_figures(service)
        times = self._times.get_figures(service)
        # Own medians only: a told value that is told again would never decay.
        percent_middle = self._percents.find_median(service, now) or 0.0
        time_middle = self._times.find_median(service, now) or 0.0
        for upstream in percents.keys() | times.keys():
            percent, time = percents.get(upstream), times.get(upstream)
            latest = max(f.recorded_at for f in (percent, time) if f is not None)
            if now - latest > TOLD_AGE_MAX_S:
                continue
            has_percent = percent and now - percent.recorded_at <= TOLD_AGE_MAX_S
            has_time = time and now - time.recorded_at <= TIME_AGE_MAX_S
            log = percent.log if percent and has_percent else percent_middle
            log += time.log if time and has_time else time_middle
            factor = math.exp(clip(log, LOG_MIN, LOG_MAX))
            yield SpeedUpdate(upstream, factor, max(0.0, now - latest))

    def _find_middles(self, service: ServiceId, now: float) -> tuple[float, float]:
        """Return the percent and the time figure of a service, as logarithms.

        Notes
        -----
        What others tell contains both. The percent figure changes fast, so it is taken
        out of what was told in the same seconds only.
        """
        percent = self._percents.find_median(service, now)
        time = self._times.find_median(service, now)
        if time is None:
            age_max_s = TIME_AGE_MAX_S if percent is None else PERCENT_AGE_MAX_S
            told = self._told.find_median(service, now, age_max_s)
            time = 0.0 if told is None else told - (percent or 0.0)
        return percent or 0.0, time

    def estimate(
        self, upstreams: Sequence[UpstreamId], service: ServiceId, now: float
    ) -> dict[UpstreamId, Slowdown]:
        """Return the slowdown of upstreams of a service."""
        percents = self._percents.get_figures(service)
        times = self._times.get_figures(service)
        told = self._told.get_joined(service)
        if not percents and not times and not told:
            return dict.fromkeys(upstreams, USUAL)
        percent_middle, time_middle = self._find_middles(service, now)
        percent_rate, time_rate = -1 / self._percents.decay_s, -1 / self._times.decay_s
        told_rate = percent_rate if percents else time_rate
        middle, slowdowns, exp = percent_middle + time_middle, {}, math.exp
        # Runs for each request over all upstreams, so it makes few calls.
        for upstream in upstreams:
            log, latest, weight = middle, NEVER, 0.0
            if percent := percents.get(upstream):
                figure, latest = percent
                weight = exp(percent_rate * (now - latest))
                log += (figure - percent_middle) * weight
            if time := times.get(upstream):
                figure, at = time
                kept = exp(time_rate * (now - at))
                log += (figure - time_middle) * kept
                latest = at if at > latest else latest
                weight = kept if kept > weight else weight
            if joined := told.get(upstream):
                others, _, _, at, source_count = joined
                kept = exp(told_rate * (now - at))
                if kept > TOLD_WEIGHT_MIN:
                    # Mean of what both say, each decayed, by their weights.
                    if source_count < SOURCES_SURE:
                        others = joined.get_log(log)
                    deviation = kept * (others - middle)
                    own = weight * (log - middle)
                    log = middle + (own + kept * deviation) / (weight + kept)
                    latest = at if at > latest else latest
            part = log - middle
            slowdowns[upstream] = Slowdown(
                exp(LOG_MIN if log < LOG_MIN else LOG_MAX if log > LOG_MAX else log),
                None if latest == NEVER else now - latest,
                exp(LOG_MIN if part < LOG_MIN else LOG_MAX if part > LOG_MAX else part),
            )
        return slowdowns

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget all upstreams that are not in ``kept``."""
        self._percents.retain(kept)
        self._times.retain(kept)
        self._told.retain(kept)


__all__ = ["Slowdown", "SpeedTable"]
