"""Whether a failed attempt is followed by another one.

Answers upstreams that fail while load is high: repeats come from a budget that grows
with first attempts, so that they can't multiply the load that caused them.
"""

from collections import deque
from enum import Enum

from fescueflow.routing.model import Route, ServiceId

# Part of the rules' budget that is used; instances share it without a count of what
# the others use, and their number is known with a lag.
BUDGET_PART = 0.7


class AttemptEnd(Enum):
    """How an attempt without a usable answer ended."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    SILENT = "silent"
    BROKEN = "broken"
    SERVER_ERROR = "server_error"

    @property
    def has_run(self) -> bool:
        """Whether the upstream may have run the request."""
        return self not in NOT_RUN_ENDS


def may_repeat(route: Route, end: AttemptEnd, arrived: int) -> bool:
    """Return whether the route allows another attempt.

    Parameters
    ----------
    route : Route
    end : AttemptEnd
        Of the last attempt.
    arrived : int
        Upstreams that the request may have reached so far.
    """
    if arrived >= route.attempts_max:
        return False
    return route.is_repeatable or not end.has_run


NOT_RUN_ENDS = frozenset(
    {AttemptEnd.NOT_SENT, AttemptEnd.REFUSED, AttemptEnd.MISDIRECTED}
)


class RepeatBudget:
    """Repeats to one service in a sliding window, this instance's part.

    Parameters
    ----------
    ratio : float
        Repeats for each first attempt.
    base : float
        Repeats in a window besides, for the whole fleet.
    window_s : float
    """

    def __init__(self, ratio: float, base: float, window_s: float) -> None:
        self._ratio = ratio
        self._base = base
        self._window_s = window_s
        self._firsts: dict[ServiceId, deque[float]] = {}
        self._repeats: dict[ServiceId, deque[float]] = {}

    def set_limits(self, ratio: float, base: float, window_s: float) -> None:
        """Replace the limits; what is counted stays."""
        self._ratio, self._base, self._window_s = ratio, base, window_s

    def add_first(self, service: ServiceId, now: float) -> None:
        """Count a first attempt."""
        self._trim(self._firsts, service, now).append(now)

    def take(self, service: ServiceId, now: float, instances: int) -> bool:
        """Count a repeat and return True, or return False if there is none left."""
        firsts = len(self._trim(self._firsts, service, now))
        repeats = self._trim(self._repeats, service, now)
        share = self._base / max(1, instances)
        if len(repeats) + 1 > BUDGET_PART * (self._ratio * firsts + share):
            return False
        repeats.append(now)
        return True

    def _trim(
        self, uses: dict[ServiceId, deque[float]], service: ServiceId, now: float
    ) -> deque[float]:
        entries = uses.setdefault(service, deque())
        while entries and entries[0] < now - self._window_s:
            entries.popleft()
        return entries


__all__ = ["AttemptEnd", "RepeatBudget", "may_repeat"]
