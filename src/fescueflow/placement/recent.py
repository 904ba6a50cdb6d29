"""Prefixes that this instance has lately served, and where."""

import threading
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from fescueflow.core import Clock, CustomerId, GroupId, UpstreamId

# About 300 bytes an entry.
RECENT_MAX = 8192
# Most chats return within minutes, and an engine has evicted older prefixes.
RECENT_S = 900.0


@dataclass(frozen=True, slots=True)
class RecentPrefix:
    """A prefix, by its affinity key, at the engine that computed it."""

    customer: CustomerId
    group: GroupId
    affinity_key: str
    upstream: UpstreamId
    used_at: float


class RecentPrefixes:
    """Bounded table of the last uses.

    Parameters
    ----------
    clock : Clock
    count_max : int, optional
    """

    def __init__(self, clock: Clock, count_max: int = RECENT_MAX) -> None:
        self._clock = clock
        self._count_max = count_max
        self._lock = threading.Lock()
        self._uses: OrderedDict[tuple[str, UpstreamId], RecentPrefix] = OrderedDict()

    def note(
        self,
        customer: CustomerId,
        group: GroupId,
        affinity_key: str,
        upstream: UpstreamId,
        used_at: float | None = None,
    ) -> None:
        """Note that an engine holds a prefix.

        Parameters
        ----------
        customer : CustomerId
        group : GroupId
        affinity_key : str
        upstream : UpstreamId
        used_at : float, optional
            When a request last used it, now by default.
        """
        if used_at is None:
            used_at = self._clock.monotonic()
        use = RecentPrefix(customer, group, affinity_key, upstream, used_at)
        with self._lock:
            self._uses[affinity_key, upstream] = use
            self._uses.move_to_end((affinity_key, upstream))
            if len(self._uses) > self._count_max:
                self._uses.popitem(last=False)

    def iterate(self, upstream: UpstreamId) -> Iterator[RecentPrefix]:
        """Yield the prefixes of an engine, the last used one first."""
        with self._lock:
            uses = [use for use in self._uses.values() if use.upstream == upstream]
        oldest = self._clock.monotonic() - RECENT_S
        for use in sorted(uses, key=lambda use: -use.used_at):
            if use.used_at >= oldest:
                yield use


__all__ = ["RecentPrefix", "RecentPrefixes"]
