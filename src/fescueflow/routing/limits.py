"""Limits that upstreams name: the requests a second that each takes from the fleet.

An instance hears of a limit in an upstream's answers and in the reports of other
instances. Answers overtake each other, and a reported limit may be older than what the
instance has heard itself, so that each belief has the time at which it was heard.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from fescueflow.core import UpstreamId

# Time for which the end of a limit is remembered and reported, in seconds: as long as a
# limit without an entry, so that none is reported after its end is forgotten.
LIFT_MEMORY_S = 60.0
# Time for which the limit of an upstream without an entry is remembered, in seconds.
# Entries lapse and return during outages of the store; none of them took longer.
UNLISTED_MEMORY_S = 60.0
# Time for which a change is reported before all other limits, in seconds: four reports.
CHANGE_REPORT_S = 1.5
# Reported times are used if they are later than the known one by more than this, in
# seconds: several times the delay of a datagram, by which an age is too low.
REPORT_MARGIN_S = 0.1


class LimitId(NamedTuple):
    """An upstream with the time of its start; it forgets its limit at a restart."""

    upstream: UpstreamId
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class Limit:
    """What is believed of the limit of an upstream.

    ``rate`` is in requests a second, ``None`` if the limit has ended. ``is_reported``
    is whether another instance told of it.
    """

    rate: float | None
    heard_at: float
    is_reported: bool = False


@dataclass(frozen=True, slots=True)
class LimitUpdate:
    """A limit, or the end of one, that instances report to each other."""

    id: LimitId
    rate: float | None
    age_s: float


class LimitTable:
    """Limits of upstreams, as this instance believes them; not thread-safe."""

    def __init__(self) -> None:
        self._limits: dict[LimitId, Limit] = {}
        # When the rate of each limit last changed.
        self._changed_at: dict[LimitId, float] = {}

    @property
    def has_limits(self) -> bool:
        """Whether any limit, or the end of one, is known."""
        return bool(self._limits)

    def find_rate(self, limit_id: LimitId) -> float | None:
        """Return the limit in requests a second, ``None`` without one."""
        known = self._limits.get(limit_id)
        return known.rate if known is not None else None

    def record_answer(
        self, limit_id: LimitId, rate: float | None, sent_at: float, now: float
    ) -> Limit | None:
        """Store what the head of an answer says; return the limit if it has changed.

        Parameters
        ----------
        limit_id : LimitId
        rate : float or None
            ``None`` if the answer names no limit.
        sent_at : float
            When the request was sent.
        now : float

        Notes
        -----
        Answers overtake each other on their connections. A lower limit counts at once.
        A higher one, or none, counts only in the answer to a request that was sent
        after the limit was last heard.
        """
        known = self._limits.get(limit_id)
        if known is None and rate is None:
            return None
        if known is not None and known.rate is not None:
            is_raised = rate is None or rate > known.rate
            if is_raised and sent_at <= known.heard_at:
                return None
        if known is not None and known.rate is None and rate is None:
            return None
        return self._store(limit_id, Limit(rate, now), now)

    def merge(
        self, updates: Iterable[LimitUpdate], now: float
    ) -> list[tuple[LimitId, Limit]]:
        """Store what another instance has heard later; return the changed limits."""
        changed = []
        for update in updates:
            heard_at = now - update.age_s
            known = self._limits.get(update.id)
            if known is None and update.rate is None:
                continue
            if known is not None and heard_at <= known.heard_at + REPORT_MARGIN_S:
                continue
            limit = Limit(update.rate, heard_at, is_reported=True)
            if self._store(update.id, limit, now) is not None:
                changed.append((update.id, limit))
        return changed

    def list_updates(self, now: float) -> list[LimitUpdate]:
        """Return all limits and recent ends of limits, in a stable order."""
        self._forget_ended(now)
        return [self._make_update(limit_id, now) for limit_id in self._limits]

    def list_changes(self, now: float) -> list[LimitUpdate]:
        """Return the limits that have just changed, the latest change first."""
        recent = [
            (changed_at, limit_id)
            for limit_id, changed_at in self._changed_at.items()
            if now - changed_at <= CHANGE_REPORT_S
        ]
        recent.sort(key=lambda entry: -entry[0])
        return [self._make_update(limit_id, now) for _, limit_id in recent]

    def retain(self, kept: set[UpstreamId], now: float) -> None:
        """Forget upstreams that are not in ``kept`` and were not heard of for long."""
        for limit_id, limit in list(self._limits.items()):
            is_old = now - limit.heard_at > UNLISTED_MEMORY_S
            if limit_id.upstream not in kept and is_old:
                self._drop(limit_id)

    def _make_update(self, limit_id: LimitId, now: float) -> LimitUpdate:
        limit = self._limits[limit_id]
        return LimitUpdate(limit_id, limit.rate, max(0.0, now - limit.heard_at))

    def _store(self, limit_id: LimitId, limit: Limit, now: float) -> Limit | None:
        known = self._limits.get(limit_id)
        self._limits[limit_id] = limit
        if known is not None and known.rate == limit.rate:
            return None
        self._changed_at[limit_id] = now
        return limit

    def _forget_ended(self, now: float) -> None:
        for limit_id, limit in list(self._limits.items()):
            if limit.rate is None and now - limit.heard_at > LIFT_MEMORY_S:
                self._drop(limit_id)

    def _drop(self, limit_id: LimitId) -> None:
        del self._limits[limit_id]
        del self._changed_at[limit_id]


__all__ = ["Limit", "LimitId", "LimitTable", "LimitUpdate"]
