"""Shares of the instances in the limit that an upstream names, without a leader.

A few instances hold each limited upstream, the first of a rendezvous ranking that all
instances compute from the same names. Each holder keeps a token bucket. Their rates add
up to the limit, and follow the requests that the holders get from callers.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from fescueflow.core import InstanceId, UpstreamId, rank_candidates

# The users' rule LIMIT: in any window of so many seconds, an upstream gets at most this
# multiple of what its limit allows, and so many requests more.
RULE_WINDOW_S = 4.0
RULE_FACTOR = 1.5
RULE_SLACK_REQUESTS = 5.0
# Part of the rule's bound that the buckets of all holders may fill at worst. The rest
# is for instances that don't know yet who else holds the upstream.
BOUND_FRACTION = 0.85
# Rate at which an upstream is tried whose limit is lower, in requests a second: one
# request in ten seconds shows that the limit has ended.
TRIAL_RATE = 0.1
# Rate of callers' requests that each holder counts at least, in requests a second: that
# from which an instance counts as carrying requests.
DEMAND_MIN = 0.2


@dataclass(frozen=True, slots=True)
class LimitShare:
    """Share of this instance in the limit of an upstream.

    ``rate`` is in requests a second, 0 unless this instance holds the upstream;
    ``depth`` is the size of its bucket in requests, and ``holders`` counts the
    instances that hold the upstream.
    """

    rate: float
    depth: float
    holders: int


def compute_burst(limit: float) -> float:
    """Return the requests that all holders may send at once, at least 1.

    Parameters
    ----------
    limit : float
        Limit of the upstream in requests a second.

    Notes
    -----
    Full buckets of this size and the limit over a whole window add up to
    ``BOUND_FRACTION`` of the rule's bound.
    """
    allowed = RULE_FACTOR * RULE_WINDOW_S * limit + RULE_SLACK_REQUESTS
    sent = RULE_WINDOW_S * max(TRIAL_RATE, limit)
    return max(1.0, BOUND_FRACTION * allowed - sent)


class LimitShares:
    """Computes the shares of this instance; not thread-safe.

    Parameters
    ----------
    own : InstanceId
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._demands: dict[InstanceId, float] = {}
        self._names: list[str] = []
        self._rankings: dict[UpstreamId, list[str]] = {}
        self._shares: dict[tuple[UpstreamId, float], LimitShare] = {}

    def set_demands(self, demands: Mapping[InstanceId, float]) -> None:
        """Set the callers' requests a second of each instance that may hold upstreams.

        Notes
        -----
        If each instance counts no more for itself than the others count for it, the
        shares of an upstream never add up to more than its limit.
        """
        if demands == self._demands:
            return
        names = sorted(str(name) for name in demands)
        if names != self._names:
            self._names = names
            self._rankings.clear()
        self._demands = dict(demands)
        self._shares.clear()

    def compute(self, upstream: UpstreamId, limit: float) -> LimitShare:
        """Return the share of this instance in a limit in requests a second."""
        known = self._shares.get((upstream, limit))
        if known is None:
            known = self._compute(upstream, limit)
            self._shares[upstream, limit] = known
        return known

    def _compute(self, upstream: UpstreamId, limit: float) -> LimitShare:
        rate = max(TRIAL_RATE, limit)
        burst = compute_burst(limit)
        ranking = self._rankings.get(upstream)
        if ranking is None:
            ranking = rank_candidates(str(upstream), self._names)
            self._rankings[upstream] = ranking
        holders = [
            InstanceId(name) for name in ranking[: int(min(burst, len(ranking)))]
        ]
        if self._own not in holders:
            return LimitShare(0.0, 0.0, len(holders))
        demands = {n: max(DEMAND_MIN, self._demands[n]) for n in holders}
        part = demands[self._own] / sum(demands.values())
        return LimitShare(rate * part, burst / len(holders), len(holders))

    def retain(self, kept: set[UpstreamId]) -> None:
        """Drop what is kept of all upstreams except the kept ones."""
        self._rankings = {u: r for u, r in self._rankings.items() if u in kept}
        self._shares = {k: s for k, s in self._shares.items() if k[0] in kept}


class PublishedDemand:
    """Rates of callers' requests that this instance has told others."""

    def __init__(self) -> None:
        self._rates: deque[tuple[float, float]] = deque()

    def record(self, rate: float, now: float) -> None:
        """Record a rate in requests a second that is being reported."""
        self._rates.append((now, rate))

    def get_lowest(self, age_s: float, now: float) -> float:
        """Return the lowest rate that others may know.

        Parameters
        ----------
        age_s : float
            Age up to which others use a report.
        now : float
        """
        while len(self._rates) > 1 and self._rates[1][0] <= now - age_s:
            self._rates.popleft()
        return min((rate for _, rate in self._rates), default=0.0)


__all__ = ["LimitShare", "LimitShares", "PublishedDemand", "compute_burst"]
