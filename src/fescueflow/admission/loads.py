"""Load of a group: own homes and the digests of other homes."""

import threading
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import floor
from typing import TypeVar

from fescueflow.configuration import Configuration, may_get_work
from fescueflow.core import GroupId, InstanceId, UpstreamRef, hash_upstream
from fescueflow.platform import ListedUpstream
from fescueflow.schema import UpstreamLoad

# A digest outlives the loss of the next two.
DIGESTS_KEPT = 3
DIGEST_INTERVAL_S = 1.0
# Changed loads are sent earlier, so that the bound follows a surge.
SURGE_DATAGRAMS_PER_S = 40.0
SMALL_REGION_PEERS = 12
# Each home tells each member of its region, so the rate is limited. In a large
# region one home is a small part of the total, which may lag more.
DIGEST_DATAGRAMS_PER_S = 12.0
# A packed UpstreamLoad takes up to 20 bytes and a datagram at most 1,400.
LOADS_PER_DATAGRAM = 50

Item = TypeVar("Item")


def is_in_service(upstream: ListedUpstream, configuration: Configuration) -> bool:
    """Return whether new work may go to an upstream."""
    return upstream.group in configuration.groups and may_get_work(
        upstream, configuration
    )


def compute_bound(load_factor: float, total: int, size: int) -> int:
    """Return the largest load of one engine of a group.

    Parameters
    ----------
    load_factor : float
        ``c`` in ``c * mean + 1``.
    total : int
        Requests in flight in the group, without the one to be admitted.
    size : int
        Engines of the group that may get work.

    Notes
    -----
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
    loads", SODA 2018.
    """
    return floor(load_factor * (total + 1) / max(1, size) + 1)


def split_batches(items: list[Item]) -> Iterator[list[Item]]:
    """Yield the items in parts that fit into one datagram."""
    for start in range(0, len(items), LOADS_PER_DATAGRAM):
        yield items[start : start + LOADS_PER_DATAGRAM]


@dataclass(frozen=True)
class DigestTimes:
    """Intervals of load digests in seconds."""

    changed_s: float
    unchanged_s: float

    @property
    def kept_s(self) -> float:
        """Return how long a digest counts."""
        return DIGESTS_KEPT * self.unchanged_s


def compute_digest_times(peers: int) -> DigestTimes:
    """Return the intervals for a number of other members of the region."""
    unchanged_s = max(DIGEST_INTERVAL_S, peers / DIGEST_DATAGRAMS_PER_S)
    if peers > SMALL_REGION_PEERS:
        return DigestTimes(unchanged_s, unchanged_s)
    return DigestTimes(peers / SURGE_DATAGRAMS_PER_S, unchanged_s)


@dataclass(frozen=True)
class GroupLoad:
    """Load bound of a group without the upstream that is judged."""

    load_factor: float
    others: int
    size: int
    bounded: bool

    def allows(self, known: int) -> bool:
        """Return whether the upstream may get one more request."""
        return not self.bounded or known + 1 <= self.get_bound(known)

    def get_bound(self, known: int) -> int:
        """Return the load bound while the upstream has a known load."""
        return compute_bound(self.load_factor, self.others + known, self.size)


class DigestBook:
    """Latest load digests of other homes."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._loads: dict[UpstreamRef, dict[InstanceId, tuple[int, float]]] = {}

    def apply(
        self, home: InstanceId, loads: Iterable[UpstreamLoad], now: float, kept_s: float
    ) -> None:
        """Take over a digest that counts for some seconds."""
        until = now + kept_s
        with self._lock:
            for load in loads:
                rows = self._loads.setdefault(UpstreamRef(load.upstream), {})
                rows[home] = (load.in_flight, until)

    def get(self, upstream: UpstreamRef, now: float) -> int:
        """Return the largest load that any home reported lately."""
        with self._lock:
            rows = self._loads.get(upstream, {})
            return max((n for n, until in rows.values() if until > now), default=0)

    def drop_ended(self, now: float) -> None:
        """Forget digests that ended."""
        with self._lock:
            for ref, rows in list(self._loads.items()):
                kept = {k: v for k, v in rows.items() if v[1] > now}
                if kept:
                    self._loads[ref] = kept
                else:
                    del self._loads[ref]


def list_in_service(
    upstreams: Iterable[ListedUpstream], configuration: Configuration, group: GroupId
) -> list[ListedUpstream]:
    """Return the upstreams of a group that may get work."""
    return [
        u for u in upstreams if u.group == group and is_in_service(u, configuration)
    ]


def sum_digests(
    book: DigestBook, upstreams: Iterable[ListedUpstream], now: float
) -> int:
    """Return the load of upstreams whose homes are other instances."""
    return sum(book.get(hash_upstream(u.id), now) for u in upstreams)


__all__ = [
    "DigestBook",
    "DigestTimes",
    "GroupLoad",
    "compute_bound",
    "compute_digest_times",
    "is_in_service",
    "list_in_service",
    "split_batches",
    "sum_digests",
]
