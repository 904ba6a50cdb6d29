"""How long the requests of a small service take, at all and at each upstream."""

import math

from fescueflow.core import UpstreamId

# Mean duration before any request has ended: that of a short response, in seconds.
DURATION_DEFAULT_S = 0.1
# Weights of the latest duration: that of the service is the mean of many upstreams'
# samples, that of one upstream has to follow a change within about a second.
SERVICE_WEIGHT = 0.05
UPSTREAM_WEIGHT = 0.1
# Time constant with which an upstream's duration is forgotten, in seconds: one that is
# handed out seldom would otherwise count as slow for long after it has recovered.
DURATION_MEMORY_S = 3.0
# Time constant with which the service's mean falls to the default without samples, in
# seconds: some deadlines, as a long mean refuses the requests that would correct it.
MEAN_MEMORY_S = 10.0
# Bounds of an upstream's duration, in means of the service: one that answers at once
# without doing the work must not attract all requests.
FACTOR_MIN, FACTOR_MAX = 0.5, 4.0


class PermitDurations:
    """Durations of one service's requests; not thread-safe."""

    def __init__(self) -> None:
        self._mean_s = DURATION_DEFAULT_S
        self._measured_at = 0.0
        # Duration of each upstream, and when it was measured.
        self._durations_s: dict[UpstreamId, tuple[float, float]] = {}

    def get_mean(self, now: float) -> float:
        """Return the mean duration of the service's requests, in seconds."""
        if self._mean_s <= DURATION_DEFAULT_S:
            return self._mean_s
        kept = math.exp(-max(0.0, now - self._measured_at) / MEAN_MEMORY_S)
        return DURATION_DEFAULT_S + kept * (self._mean_s - DURATION_DEFAULT_S)

    def estimate(self, upstream: UpstreamId, now: float) -> float:
        """Return the duration of an upstream's requests, in seconds."""
        mean_s = self.get_mean(now)
        known_s, measured_at = self._durations_s.get(upstream, (mean_s, now))
        kept = math.exp(-max(0.0, now - measured_at) / DURATION_MEMORY_S)
        estimate_s = mean_s + kept * (known_s - mean_s)
        return min(FACTOR_MAX * mean_s, max(FACTOR_MIN * mean_s, estimate_s))

    def record(self, upstream: UpstreamId, duration_s: float, now: float) -> None:
        """Record the duration of a request that was answered, in seconds."""
        known_s, mean_s = self.estimate(upstream, now), self.get_mean(now)
        known_s += UPSTREAM_WEIGHT * (duration_s - known_s)
        self._durations_s[upstream] = known_s, now
        self._mean_s = mean_s + SERVICE_WEIGHT * (duration_s - mean_s)
        self._measured_at = now


__all__ = ["DURATION_DEFAULT_S", "PermitDurations"]
