"""Prompt prefixes that this instance has served recently, and on which upstream."""

import threading
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from fescueflow.core import Clock, CustomerId, GroupId, UpstreamId

# Entries in the table; about 300 bytes each.
ENTRIES_MAX = 8192
# Time without use after which a prefix is omitted, in seconds. Most chats return within
# minutes, and engines have evicted older prefixes.
AGE_MAX_S = 900.0


@dataclass(frozen=True, slots=True)
class RecentPrefix:
    """A prefix, identified by its affinity key, and the engine that computed it."""

    customer: CustomerId
    group: GroupId
    affinity_key: str
    upstream: UpstreamId
    used_at: float


class RecentPrefixes:
    """Bounded table of the latest uses of prefixes.

    Parameters
    ----------
    clock : Clock
    count_max : int, optional
        Most entries in the table; the least recently recorded one is dropped.
    """

    def __init__(self, clock: Clock, count_max: int = ENTRIES_MAX) -> None:
        self._clock = clock
        self._count_max = count_max
        self._lock = threading.Lock()
        self._uses: OrderedDict[tuple[str, UpstreamId], RecentPrefix] = OrderedDict()

    def record(
        self,
        customer: CustomerId,
        group: GroupId,
        affinity_key: str,
        upstream: UpstreamId,
        used_at: float | None = None,
    ) -> None:
        """Record that an engine caches a prefix.

        Parameters
        ----------
        customer : CustomerId
        group : GroupId
        affinity_key : str
        upstream : UpstreamId
        used_at : float, optional
            Time of the last use on the monotonic clock, by default now.
        """
        if used_at is None:
            used_at = self._clock.monotonic()
        use = RecentPrefix(customer, group, affinity_key, upstream, used_at)
        with self._lock:
            self._uses[affinity_key, upstream] = use
            self._uses.move_to_end((affinity_key, upstream))
            if len(self._uses) > self._count_max:
                self._uses.popitem(last=False)

    def iterate_upstream(self, upstream: UpstreamId) -> Iterator[RecentPrefix]:
        """Yield the recent prefixes of an engine, the latest used one first."""
        with self._lock:
            uses = [use for use in self._uses.values() if use.upstream == upstream]
        oldest = self._clock.monotonic() - AGE_MAX_S
        for use in sorted(uses, key=lambda use: -use.used_at):
            if use.used_at >= oldest:
                yield use


__all__ = ["RecentPrefix", "RecentPrefixes"]
