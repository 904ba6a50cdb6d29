"""How long ago a caller began, as the rest of its deadline tells.

A caller that was refused comes back with a new attempt, and with what is left of its
time. The latency objective runs from its first attempt.
"""

from collections.abc import Hashable
from dataclasses import dataclass

# Time for which the longest deadline of a route's callers is remembered, in seconds:
# some tens of requests of an instance that gets one a second.
DEADLINE_MEMORY_S = 30.0
# Time since the first attempt from which a caller counts as returning, in seconds: the
# shortest retry delay. Below it, callers' own delays would count.
RETURN_MIN_S = 0.1


@dataclass
class LongestDeadline:
    """Longest deadline of this period and of the one before, in seconds."""

    began_at: float
    current_s: float = 0.0
    before_s: float = 0.0


class CallerAges:
    """Estimates the time since callers' first attempts; not thread-safe."""

    def __init__(self) -> None:
        self._longest: dict[Hashable, LongestDeadline] = {}

    def estimate(self, route: Hashable, deadline_s: float | None, now: float) -> float:
        """Return the seconds since the first attempt, 0 if they are unknown.

        Parameters
        ----------
        route : hashable
            Callers of one route begin with the same deadline.
        deadline_s : float or None
            Time that the caller still waits, in seconds.
        now : float
        """
        if deadline_s is None:
            return 0.0
        longest = self._longest.setdefault(route, LongestDeadline(now))
        if now - longest.began_at >= DEADLINE_MEMORY_S:
            longest.before_s, longest.current_s = longest.current_s, 0.0
            longest.began_at = now
        longest.current_s = max(longest.current_s, deadline_s)
        return max(longest.current_s, longest.before_s) - deadline_s


__all__ = ["RETURN_MIN_S", "CallerAges"]
