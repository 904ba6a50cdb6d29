"""Ramp-up of upstreams that have started or recovered.

Load pattern: a new upstream is the cheapest one for every request, so that all
instances send to it at once; or it is kept at a fixed rate for long after it could take
its share. Each instance limits its own open requests there. The limits of all instances
add up to a small number at first, and grow with each round of good responses.
"""

import math
from dataclasses import dataclass
from enum import Enum

from fescueflow.core import UpstreamId, score_candidate
from fescueflow.routing.model import ServiceId

# First open requests of the whole fleet at an upstream, as a fraction of its slots: two
# doublings reach all of them, and a prompt that is read in full at once by as many
# requests still leaves room for a retry elsewhere.
FIRST_FRACTION = 0.25
# Least window after an exclusion or a pause, as a fraction of the upstream's share:
# often this instance alone has seen the reason and the others go on, so that the
# upstream has a part of its load already.
RESUMED_FRACTION = 0.25
# Lowest window, as a fraction of the first one: cuts of an upstream that refuses for
# seconds must not make its next request a matter of minutes.
FLOOR_FRACTION = 1 / 16
# A response is slow if its first event takes this many times the usual time, and more
# than the slack besides, in seconds: a few times the round trip between zones.
SLOW_FACTOR = 2.0
SLOW_SLACK_S = 0.02
# Age at which a ramp ends in any case, in seconds. Until then, an instance with few
# requests has heard from the reports of others how much the upstream takes, and one
# with many has seen whether it stays slow; placement then accounts for its speed.
RAMP_MAX_S = 30.0
# Bounds of the time for which a fractional window is drawn, in seconds. Requests
# should last no longer than it, or those of several draws would add up.
DRAW_MIN_S = 0.125
DRAW_MAX_S = 8.0


class RampCause(Enum):
    """Why a ramp begins."""

    START = "start"
    EXCLUSION = "exclusion"
    PAUSE = "pause"
    COLD = "cold"


class RampEnd(Enum):
    """Why a ramp ends."""

    REACHED = "reached"
    ELAPSED = "elapsed"
    REPLACED = "replaced"
    GONE = "gone"


@dataclass
class Ramp:
    """State of one ramp.

    ``window`` is the number of requests of this instance that may be open, ``first``
    the one at the begin, and ``share`` the open requests of this instance if all
    upstreams of the service had equally many. ``cut_at`` is the time of the begin or of
    the last cut. ``is_troubled`` tells that an attempt has failed since the begin, or
    that the upstream was excluded or paused.
    """

    service: ServiceId
    cause: RampCause
    first: float
    window: float
    began_at: float
    cut_at: float
    share: float = 0.0
    is_troubled: bool = False


class UpstreamRamps:
    """Windows of this instance at upstreams in their ramp; not thread-safe.

    Parameters
    ----------
    name : str
        Name of this instance, which the draws depend on.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._ramps: dict[UpstreamId, Ramp] = {}

    def __len__(self) -> int:
        """Return the number of upstreams in their ramp."""
        return len(self._ramps)

    def begin(
        self,
        upstream: UpstreamId,
        service: ServiceId,
        cause: RampCause,
        slots: int,
        instances: int,
        now: float,
        *,
        own_running: int = 0,
        share: float = 0.0,
    ) -> Ramp:
        """Begin a ramp, in place of one that there may be.

        Parameters
        ----------
        upstream : UpstreamId
        service : ServiceId
        cause : RampCause
        slots, instances : int
            Slots of the upstream, and instances that carry requests.
        now : float
        own_running : int, optional
            Requests of this instance that are open there.
        share : float, optional
            Those that would be if all upstreams of the service had equally many.

        Notes
        -----
        What an upstream has taken while it was cold, it takes afterwards, too.
        """
        first = window = max(1.0, FIRST_FRACTION * slots) / max(1, instances)
        if cause is RampCause.COLD:
            current = self._ramps.get(upstream)
            reached = current.window if current is not None else 0.0
            window = max(first, float(own_running), reached)
        elif cause is not RampCause.START:
            window = max(first, RESUMED_FRACTION * share)
        ramp = Ramp(service, cause, first, window, now, now, share)
        self._ramps[upstream] = ramp
        return ramp

    def may_begin(self, upstream: UpstreamId, cause: RampCause) -> bool:
        """Return whether a ramp begins for a cause, given one that there may be.

        Notes
        -----
        A start is that of another process, of which a running ramp knows nothing.
        """
        ramp = self._ramps.get(upstream)
        return ramp is None or cause is RampCause.START or ramp.is_troubled

    def mark_troubled(self, upstream: UpstreamId) -> None:
        """Note that an upstream in its ramp has failed, or is excluded or paused."""
        ramp = self._ramps.get(upstream)
        if ramp is not None:
            ramp.is_troubled = True

    def find(self, upstream: UpstreamId) -> Ramp | None:
        """Return the ramp of an upstream, ``None`` without one."""
        return self._ramps.get(upstream)

    def list_names(self) -> list[UpstreamId]:
        """Return the upstreams in their ramp."""
        return list(self._ramps)

    def end(self, upstream: UpstreamId) -> None:
        """End a ramp."""
        self._ramps.pop(upstream, None)

    def has_room(
        self,
        upstream: UpstreamId,
        own_running: int,
        demand: float,
        duration_s: float,
        now: float,
    ) -> bool:
        """Return whether this instance may open one more request at an upstream.

        Parameters
        ----------
        upstream : UpstreamId
        own_running : int
            Requests of this instance that are open there.
        demand : float
            Requests of this instance that are open at the whole service on average.
        duration_s : float
            Mean duration of the service's requests.
        now : float

        Notes
        -----
        Whether the fractional part of the window counts is drawn for some time. An
        instance that has an open request for a part of the time only uses its draw for
        this part; the chance is higher by as much.
        """
        ramp = self._ramps.get(upstream)
        if ramp is None:
            return True
        whole = int(ramp.window)
        if own_running != whole:
            return own_running < whole
        chance = ramp.window - whole
        if not whole:
            chance /= min(1.0, max(chance, demand))
        slot = int(now / compute_draw_s(duration_s))
        return score_candidate(self._name, f"{upstream} {slot}") < chance * 2**64

    def record_good(self, upstream: UpstreamId, sent_at: float) -> bool:
        """Raise the window after a good response; return whether the ramp is over.

        Notes
        -----
        One request more for each good response doubles the window in a round. An
        instance whose window is below 1 has the response of a draw; it may keep one
        request open from then on. While the others draw on, the sum over the fleet
        doubles, too.
        """
        ramp = self._ramps.get(upstream)
        if ramp is None or sent_at < ramp.cut_at:
            return False
        ramp.window = max(1.0, ramp.window + min(1.0, ramp.window))
        return ramp.window > max(1.0, ramp.share)

    def record_bad(self, upstream: UpstreamId, sent_at: float, now: float) -> bool:
        """Halve the window; return whether it was changed.

        Notes
        -----
        Requests that were sent before the last cut say nothing of what is left of it.
        """
        ramp = self._ramps.get(upstream)
        if ramp is None or sent_at < ramp.cut_at:
            return False
        ramp.window = max(FLOOR_FRACTION * ramp.first, ramp.window / 2)
        ramp.cut_at = now
        return True

    def record_slow(self, upstream: UpstreamId, sent_at: float, now: float) -> bool:
        """Halve the window after a slow response; return whether it was changed.

        Notes
        -----
        An upstream that is still slow at the lowest window is not slow because of
        this instance's requests. A further cut would only discard good responses.
        """
        ramp = self._ramps.get(upstream)
        if ramp is None or ramp.window <= FLOOR_FRACTION * ramp.first:
            return False
        return self.record_bad(upstream, sent_at, now)

    def list_elapsed(self, now: float) -> list[UpstreamId]:
        """Return the upstreams whose ramp has lasted for as long as it may."""
        return [n for n, r in self._ramps.items() if now - r.began_at >= RAMP_MAX_S]


def is_slow(seconds: float, usual_s: float | None) -> bool:
    """Return whether a first event took longer than it may during a ramp."""
    return usual_s is not None and seconds > SLOW_FACTOR * usual_s + SLOW_SLACK_S


def compute_draw_s(duration_s: float) -> float:
    """Return for how long a draw counts: the next power of 2 above the duration.

    Notes
    -----
    The mean duration changes with each request; a draw should not.
    """
    bounded = min(DRAW_MAX_S, max(DRAW_MIN_S, duration_s))
    return float(2.0 ** math.ceil(math.log2(bounded)))


__all__ = ["Ramp", "RampCause", "RampEnd", "UpstreamRamps", "is_slow"]
