"""Whether a failed attempt is retried.

Retries are limited by a budget that grows with the number of first attempts. Without
it, retries under high load would multiply the load that made the upstreams fail.
"""

from collections import deque
from enum import Enum

from fescueflow.routing.model import Route, ServiceId

# Fraction of the configured budget that is used. Instances share the budget without
# knowing what the others use, and learn their number with a delay.
BUDGET_FRACTION = 0.7


class AttemptFailure(Enum):
    """Reason why an attempt returned no usable response."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    TIMED_OUT = "silent"
    BROKEN = "broken"
    SERVER_ERROR = "server_error"

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have run the request."""
        return self not in NOT_RUN_FAILURES


class RetryDenial(Enum):
    """Reason why a failed request gets no further attempt."""

    ROUTE = "route"
    BUDGET = "budget"


def may_retry(route: Route, failure: AttemptFailure, attempts_sent: int) -> bool:
    """Return whether the route allows another attempt.

    Parameters
    ----------
    route : Route
    failure : AttemptFailure
        How the last attempt failed.
    attempts_sent : int
        Number of attempts so far that may have reached an upstream.
    """
    if attempts_sent >= route.attempts_max:
        return False
    return route.is_retryable or not failure.may_have_run


NOT_RUN_FAILURES = frozenset(
    {AttemptFailure.NOT_SENT, AttemptFailure.REFUSED, AttemptFailure.MISDIRECTED}
)


class RetryBudget:
    """This instance's share of each service's retry budget in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries for each first attempt.
    base : float
        Further retries in each window, for the whole fleet.
    window_s : float
        Length of the window.
    """

    def __init__(self, ratio: float, base: float, window_s: float) -> None:
        self._ratio = ratio
        self._base = base
        self._window_s = window_s
        self._requests: dict[ServiceId, deque[float]] = {}
        self._retries: dict[ServiceId, deque[float]] = {}

    def set_limits(self, ratio: float, base: float, window_s: float) -> None:
        """Replace the limits and keep the counts."""
        self._ratio, self._base, self._window_s = ratio, base, window_s

    def record_request(self, service: ServiceId, now: float) -> None:
        """Count a request toward the budget."""
        self._trim(self._requests, service, now).append(now)

    def try_take(self, service: ServiceId, now: float, instances: int) -> bool:
        """Count a retry and return True, or return False if the budget is used up."""
        requests = len(self._trim(self._requests, service, now))
        retries = self._trim(self._retries, service, now)
        share = self._base / max(1, instances)
        if len(retries) + 1 > BUDGET_FRACTION * (self._ratio * requests + share):
            return False
        retries.append(now)
        return True

    def give_back(self, service: ServiceId) -> None:
        """Count one retry less, as nothing was sent."""
        if retries := self._retries.get(service):
            retries.pop()

    def _trim(
        self, uses: dict[ServiceId, deque[float]], service: ServiceId, now: float
    ) -> deque[float]:
        entries = uses.setdefault(service, deque())
        while entries and entries[0] < now - self._window_s:
            entries.popleft()
        return entries


__all__ = ["AttemptFailure", "RetryBudget", "RetryDenial", "may_retry"]
