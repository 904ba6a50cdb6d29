"""Passive health checks and the rate limit of cold upstreams.

An upstream may pass its health probe and still fail the requests that it accepts. It is
excluded for a growing time and then tried again with single requests. An upstream that
returns cold has a rate limit for the whole fleet, which is divided by the number of
instances. One that rejects a request with a delay gets nothing until the delay is over,
even if no other is left.
"""

from dataclasses import dataclass

from fescueflow.core import UpstreamId
from fescueflow.routing.buckets import TokenBuckets

# Consecutive failures after which an upstream is excluded.
FAILURES_MAX = 3
# First and longest exclusion of an upstream, in seconds; each one doubles the last.
EXCLUSION_MIN_S = 0.5
EXCLUSION_MAX_S = 4.0
# Weight of the latest attempt in the exponential moving average of failures.
FAILURE_RATE_WEIGHT = 0.15


@dataclass
class FailureRecord:
    """Failure statistics of one upstream."""

    consecutive_failures: int = 0
    failure_rate: float = 0.0
    exclusion_s: float = 0.0
    excluded_until: float = 0.0


class UpstreamHealth:
    """Tracks the failures of upstreams that this instance observes."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, FailureRecord] = {}
        self._paused_until: dict[UpstreamId, float] = {}

    def pause(self, upstream: UpstreamId, until: float, now: float) -> None:
        """Send nothing to an upstream until a time at least.

        Notes
        -----
        A pause outlasts the upstream's entry, which may lapse and return.
        """
        self._paused_until = {u: t for u, t in self._paused_until.items() if t > now}
        self._paused_until[upstream] = max(until, self.get_pause_end(upstream))

    def get_pause_end(self, upstream: UpstreamId) -> float:
        """Return the time until which an upstream is paused, 0 if it never was."""
        return self._paused_until.get(upstream, 0.0)

    def record_success(self, upstream: UpstreamId) -> None:
        """Record an attempt that returned an answer."""
        record = self._records.get(upstream)
        if record is not None:
            record.consecutive_failures, record.exclusion_s, record.excluded_until = (
                0,
                0.0,
                0.0,
            )
            record.failure_rate *= 1 - FAILURE_RATE_WEIGHT

    def record_failure(
        self, upstream: UpstreamId, now: float, is_down: bool = False
    ) -> bool:
        """Record a failed attempt; return whether the upstream is excluded now.

        Parameters
        ----------
        upstream : UpstreamId
        now : float
        is_down : bool, optional
            Whether it refused a connection; it is then excluded at once.
        """
        record = self._records.setdefault(upstream, FailureRecord())
        record.consecutive_failures += 1
        record.failure_rate += FAILURE_RATE_WEIGHT * (1 - record.failure_rate)
        if record.consecutive_failures < FAILURES_MAX and not is_down:
            return False
        record.exclusion_s = min(
            EXCLUSION_MAX_S, max(EXCLUSION_MIN_S, record.exclusion_s * 2)
        )
        record.excluded_until = now + record.exclusion_s
        return True

    def exclude(self, upstream: UpstreamId, until: float) -> None:
        """Exclude an upstream until a time at least."""
        record = self._records.setdefault(upstream, FailureRecord())
        record.excluded_until = max(record.excluded_until, until)

    def is_excluded(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an upstream is excluded."""
        record = self._records.get(upstream)
        return record is not None and now < record.excluded_until

    def get_exclusion_end(self, upstream: UpstreamId) -> float:
        """Return the time until which an upstream is excluded, 0 if it is not."""
        record = self._records.get(upstream)
        return record.excluded_until if record is not None else 0.0

    def has_failed(self, upstream: UpstreamId) -> bool:
        """Return whether the last attempt at an upstream failed."""
        record = self._records.get(upstream)
        return record is not None and record.consecutive_failures > 0

    def get_failure_rate(self, upstream: UpstreamId) -> float:
        """Return the recent fraction of failed attempts, 0 to 1."""
        record = self._records.get(upstream)
        return record.failure_rate if record is not None else 0.0

    def retain(self, kept: set[UpstreamId]) -> None:
        """Drop the records of all upstreams except the kept ones."""
        for upstream in self._records.keys() - kept:
            del self._records[upstream]


class ColdStartLimiter:
    """Limits this instance's requests to cold upstreams.

    Parameters
    ----------
    name : str
        Name of this instance.
    """

    def __init__(self, name: str) -> None:
        self._buckets = TokenBuckets(name)

    def try_acquire(
        self, upstream: UpstreamId, per_s: float, instances: int, now: float
    ) -> bool:
        """Take one token; return False if none is left.

        Parameters
        ----------
        upstream : UpstreamId
        per_s : float
            Requests per second that the upstream takes from the whole fleet.
        instances : int
            Number of instances that share this rate.
        now : float
        """
        share = per_s / max(1, instances)
        idle_s = self._buckets.get_idle_s(upstream, now)
        if share < 1.0 and (idle_s is None or idle_s * share >= 1.0):
            # With a full bucket after a pause, all instances could send at once.
            self._buckets.drop(upstream)
        elif idle_s is None:
            self._buckets.start(upstream, 1.0, now)
        if self._buckets.fill(upstream, share, max(1.0, share), now) < 1.0:
            return False
        self._buckets.take(upstream)
        return True


__all__ = ["ColdStartLimiter", "UpstreamHealth"]
