"""Upstreams that fail, wholly or in part, and the pace of cold ones.

Answers upstreams that accept work and fail it while their health probe is good, and
upstreams that return cold: the first are left out for a growing time and tried again
with single requests, the second get the fleet's pace divided by its instances.
"""

from dataclasses import dataclass

from fescueflow.core import UpstreamId, score_candidate

# Failures in a row after which an upstream is left out.
FAILURES_MAX = 3
# First and longest time that an upstream is left out, in seconds.
PAUSE_MIN_S = 0.5
PAUSE_MAX_S = 4.0
# Weight of the latest attempt in the rate of failures.
RATE_WEIGHT = 0.15


@dataclass
class Record:
    """Recent attempts at one upstream."""

    in_row: int = 0
    rate: float = 0.0
    pause_s: float = 0.0
    paused_until: float = 0.0


class UpstreamHealth:
    """Failures of upstreams, as this instance has met them."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, Record] = {}

    def note_success(self, upstream: UpstreamId) -> None:
        """Note an attempt that brought an answer."""
        record = self._records.get(upstream)
        if record is not None:
            record.in_row, record.pause_s, record.paused_until = 0, 0.0, 0.0
            record.rate *= 1 - RATE_WEIGHT

    def note_failure(self, upstream: UpstreamId, now: float) -> bool:
        """Note a failed attempt; return whether the upstream is left out from now."""
        record = self._records.setdefault(upstream, Record())
        record.in_row += 1
        record.rate += RATE_WEIGHT * (1 - record.rate)
        if record.in_row < FAILURES_MAX:
            return False
        record.pause_s = min(PAUSE_MAX_S, max(PAUSE_MIN_S, record.pause_s * 2))
        record.paused_until = now + record.pause_s
        return True

    def leave_out(self, upstream: UpstreamId, until: float) -> None:
        """Leave an upstream out until a time."""
        record = self._records.setdefault(upstream, Record())
        record.paused_until = max(record.paused_until, until)

    def is_paused(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an upstream is left out."""
        record = self._records.get(upstream)
        return record is not None and now < record.paused_until

    def has_failed(self, upstream: UpstreamId) -> bool:
        """Return whether the last attempt at an upstream failed."""
        record = self._records.get(upstream)
        return record is not None and record.in_row > 0

    def get_rate(self, upstream: UpstreamId) -> float:
        """Return the recent part of failed attempts, 0 to 1."""
        record = self._records.get(upstream)
        return record.rate if record is not None else 0.0

    def forget(self, kept: set[UpstreamId]) -> None:
        """Drop the records of all other upstreams."""
        for upstream in self._records.keys() - kept:
            del self._records[upstream]


class ColdPace:
    """Requests to cold upstreams, this instance's part of the fleet's pace.

    Parameters
    ----------
    name : str
        Of this instance; spreads the first requests of a large fleet over the time
        in which each instance may send one.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        # For each upstream, the tokens left and when they were counted.
        self._tokens: dict[UpstreamId, tuple[float, float]] = {}

    def take(
        self, upstream: UpstreamId, per_s: float, instances: int, now: float
    ) -> bool:
        """Use one request of the pace; return False if there is none left.

        Parameters
        ----------
        upstream : UpstreamId
        per_s : float
            Requests a second that the upstream bears from the whole fleet.
        instances : int
        now : float
        """
        share = per_s / max(1, instances)
        known = self._tokens.get(upstream)
        left, counted_at = known or (1.0, now)
        if share < 1.0 and (not known or (now - counted_at) * share >= 1.0):
            # After a pause every instance could send one at the same moment.
            left, counted_at = self._spread(upstream), now
        left = min(max(1.0, share), left + (now - counted_at) * share)
        granted = left >= 1.0
        self._tokens[upstream] = (left - 1.0 if granted else left, now)
        return granted

    def _spread(self, upstream: UpstreamId) -> float:
        """Return a number from 0 to 1 that differs between instances."""
        return score_candidate(self._name, str(upstream)) / 2**64


__all__ = ["ColdPace", "UpstreamHealth"]
