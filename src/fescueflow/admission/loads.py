"""Load of a group, from this instance's slot pools and other homes' digests."""

import threading
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import floor
from typing import TypeVar

from fescueflow.configuration import Configuration, accepts_new_requests
from fescueflow.core import GroupId, InstanceId, UpstreamRef, hash_upstream
from fescueflow.platform import ListedUpstream
from fescueflow.schema import UpstreamLoad

# Digest intervals for which a digest counts; the loss of the next two is harmless.
DIGEST_LIFETIME_INTERVALS = 3
# Shortest interval between digests of unchanged loads.
DIGEST_INTERVAL_S = 1.0
# In regions with up to SMALL_REGION_PEERS peers, changed loads are sent sooner, so
# that the load bound follows a surge.
SURGE_DATAGRAMS_PER_S = 40.0
SMALL_REGION_PEERS = 12
# Each home sends digests to every member of its region, so the rate is limited. In
# a large region each home is a small part of the total, so a longer delay is
# acceptable.
DIGEST_DATAGRAMS_PER_S = 12.0
# A packed UpstreamLoad takes up to 20 bytes and a datagram at most 1,400.
LOADS_PER_DATAGRAM = 50

Item = TypeVar("Item")


def is_in_service(upstream: ListedUpstream, configuration: Configuration) -> bool:
    """Return whether an upstream may get new work."""
    return upstream.group in configuration.groups and accepts_new_requests(
        upstream, configuration
    )


def compute_load_bound(load_factor: float, total: int, size: int) -> int:
    """Return the load bound of one engine of a group.

    Parameters
    ----------
    load_factor : float
        ``c`` in ``c * mean + 1``.
    total : int
        Requests in flight in the group, without the one to be admitted.
    size : int
        Number of engines of the group that may get work.

    Notes
    -----
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
    loads", SODA 2018.
    """
    return floor(load_factor * (total + 1) / max(1, size) + 1)


def split_batches(items: list[Item]) -> Iterator[list[Item]]:
    """Yield batches of items that each fit into one datagram."""
    for start in range(0, len(items), LOADS_PER_DATAGRAM):
        yield items[start : start + LOADS_PER_DATAGRAM]


@dataclass(frozen=True)
class DigestTimes:
    """Intervals at which load digests are sent, in seconds.

    ``changed_s`` applies when a load has changed, ``unchanged_s`` otherwise.
    """

    changed_s: float
    unchanged_s: float

    @property
    def lifetime_s(self) -> float:
        """Time for which a receiver counts a digest."""
        return DIGEST_LIFETIME_INTERVALS * self.unchanged_s


def compute_digest_times(peers: int) -> DigestTimes:
    """Return the intervals for a number of other members of the region."""
    unchanged_s = max(DIGEST_INTERVAL_S, peers / DIGEST_DATAGRAMS_PER_S)
    if peers > SMALL_REGION_PEERS:
        return DigestTimes(unchanged_s, unchanged_s)
    return DigestTimes(peers / SURGE_DATAGRAMS_PER_S, unchanged_s)


@dataclass(frozen=True)
class GroupLoad:
    """Load of a group from the point of view of one of its upstreams.

    ``other_load`` is the load of the other upstreams, ``size`` the number of
    engines of the group. The bound applies only if ``bounded``.
    """

    load_factor: float
    other_load: int
    size: int
    bounded: bool

    def allows(self, known: int) -> bool:
        """Return whether an upstream with a known load may get one more request."""
        return not self.bounded or known + 1 <= self.get_bound(known)

    def get_bound(self, known: int) -> int:
        """Return the load bound of an upstream with a known load."""
        return compute_load_bound(self.load_factor, self.other_load + known, self.size)


class DigestTable:
    """Latest load digests of other homes."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._loads: dict[UpstreamRef, dict[InstanceId, tuple[int, float]]] = {}

    def apply(
        self,
        home: InstanceId,
        loads: Iterable[UpstreamLoad],
        now: float,
        lifetime_s: float,
    ) -> None:
        """Store a digest for ``lifetime_s`` seconds."""
        expires_at = now + lifetime_s
        with self._lock:
            for load in loads:
                loads_by_home = self._loads.setdefault(UpstreamRef(load.upstream), {})
                loads_by_home[home] = (load.in_flight, expires_at)

    def get(self, upstream: UpstreamRef, now: float) -> int:
        """Return the largest load in the current digests of an upstream."""
        with self._lock:
            loads_by_home = self._loads.get(upstream, {})
            return max(
                (n for n, expires_at in loads_by_home.values() if expires_at > now),
                default=0,
            )

    def drop_expired(self, now: float) -> None:
        """Remove expired digests."""
        with self._lock:
            for ref, loads_by_home in list(self._loads.items()):
                current = {k: v for k, v in loads_by_home.items() if v[1] > now}
                if current:
                    self._loads[ref] = current
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
    digests: DigestTable, upstreams: Iterable[ListedUpstream], now: float
) -> int:
    """Return the total load of upstreams whose homes are other instances."""
    return sum(digests.get(hash_upstream(u.id), now) for u in upstreams)


__all__ = [
    "DigestTable",
    "DigestTimes",
    "GroupLoad",
    "compute_load_bound",
    "compute_digest_times",
    "is_in_service",
    "list_in_service",
    "split_batches",
    "sum_digests",
]
