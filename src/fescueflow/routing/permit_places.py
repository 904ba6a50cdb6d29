"""Requests beyond its slots that an upstream gets."""

from fescueflow.core import UpstreamId

# Requests beyond its slots that an upstream gets: one waits there, so that no slot is
# idle during the round trip of a return and the next grant.
WAITING_AT_UPSTREAM = 1
# Time for which an upstream that refused such a request gets none, at first and at
# most, in seconds. It doubles, as an upstream without a queue refuses each of them.
WITHDRAWN_MIN_S, WITHDRAWN_MAX_S = 5.0, 40.0


class ExtraPlaces:
    """Places of upstreams beyond their slots; not thread-safe."""

    def __init__(self) -> None:
        # Until when, and for how long, the place of an upstream is withdrawn.
        self._withdrawn: dict[UpstreamId, tuple[float, float]] = {}

    def withdraw(self, upstream: UpstreamId, now: float) -> None:
        """Withdraw the place of an upstream that refused a request in it."""
        until, duration_s = self._withdrawn.get(upstream, (-WITHDRAWN_MAX_S, 0.0))
        if now < until:
            return
        if now - until > WITHDRAWN_MAX_S:
            duration_s = 0.0
        duration_s = min(WITHDRAWN_MAX_S, max(WITHDRAWN_MIN_S, 2 * duration_s))
        self._withdrawn[upstream] = now + duration_s, duration_s

    def count(self, upstream: UpstreamId, now: float) -> int:
        """Return the number of places beyond the slots."""
        until, _ = self._withdrawn.get(upstream, (now, 0.0))
        return WAITING_AT_UPSTREAM if until <= now else 0


__all__ = ["ExtraPlaces"]
