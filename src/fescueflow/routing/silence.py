"""How long an upstream may be silent before a request goes on elsewhere.

Load pattern: an upstream writes nothing for seconds, because long prompts delay it or
because it takes back memory, while the others are full. Its answers go on afterwards.
Silence alone therefore ends nothing. A replacement is looked for when callers would
soon leave, or earlier if the upstream can't be reached any more.
"""

import math
from collections.abc import Callable

from fescueflow.routing.model import Route

# Callers abandon a stream after the longest of three gaps (docs/platform.md): a fixed
# one, and multiples of the route's latency objective and of its longest pause.
ABANDON_GAP_S = 2.0
ABANDON_TARGETS = 4.0
ABANDON_PAUSES = 8.0
# Silence of a stream after which its upstream is looked at.
SUSPICION_S = 1.5
# Time within which all streams of an upstream that falls silent have had their last
# event: more than the longest pause for which streams are on time.
SPREAD_S = 0.5
# Time that a replacement takes to connect, to read the prompt and to write an event.
REPLACEMENT_S = 0.4
# Time from one search for a replacement to the next.
SEARCH_INTERVAL_S = 0.5
# Wait for the first byte after which an upstream is looked at: this many latency
# objectives, within two limits.
FIRST_BYTE_TARGETS = 2.5
FIRST_BYTE_MIN_S = 0.3
FIRST_BYTE_MAX_S = 1.5


def compute_patience(route: Route) -> float:
    """Return the gap in a stream after which callers abandon it, in seconds."""
    return max(
        ABANDON_GAP_S,
        ABANDON_TARGETS * route.target_s,
        ABANDON_PAUSES * route.pause_s,
    )


def compute_first_byte_wait(route: Route) -> float:
    """Return the wait for the first byte after which an upstream is looked at."""
    wait_s = FIRST_BYTE_TARGETS * route.target_s
    return min(FIRST_BYTE_MAX_S, max(FIRST_BYTE_MIN_S, wait_s))


class SilenceWatch:
    """When the silence of an upstream needs a decision.

    Parameters
    ----------
    suspicion_s : float
        Silence after which the upstream is looked at.
    patience_s : float
        Gap after which the caller abandons the answer.
    deadline : float
        Time at which the caller stops waiting.
    now : float
    may_replace : callable
        Returns whether another attempt is allowed; if not, the deadline is awaited.
    """

    def __init__(
        self,
        *,
        suspicion_s: float,
        patience_s: float,
        deadline: float,
        now: float,
        may_replace: Callable[[], bool],
    ) -> None:
        self._suspicion_s = suspicion_s
        self._patience_s = patience_s
        self._deadline = deadline
        self._may_replace = may_replace
        self.mark_progress(now)

    def mark_progress(self, now: float) -> None:
        """Note that the answer has grown, or that the caller has taken what came."""
        self._progress_at = now
        self._is_awaited = False
        self._searched_at = -math.inf

    def mark_awaited(self) -> None:
        """Note that the silence may end, so that it is awaited."""
        self._is_awaited = True

    def mark_searched(self, now: float) -> None:
        """Note that no replacement was found."""
        self._searched_at = now

    @property
    def quiet_since(self) -> float:
        """Time from which on all connections of a silent upstream are quiet."""
        return self._progress_at + SPREAD_S

    @property
    def is_suspected_only(self) -> bool:
        """Whether nothing has been decided on the silence so far."""
        return not self._is_awaited and self._searched_at == -math.inf

    def get_limit(self) -> float:
        """Return the time of the next decision."""
        if not self._may_replace():
            return self._deadline
        limit = self._progress_at + self._suspicion_s
        if self._is_awaited:
            gives_up_at = min(self._progress_at + self._patience_s, self._deadline)
            limit = max(limit, gives_up_at - REPLACEMENT_S)
        return min(self._deadline, max(limit, self._searched_at + SEARCH_INTERVAL_S))


__all__ = [
    "SUSPICION_S",
    "SilenceWatch",
    "compute_first_byte_wait",
    "compute_patience",
]
