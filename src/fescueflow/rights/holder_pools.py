"""Selection of the instances that may hold the shares of an upstream."""

from collections.abc import Iterable
from dataclasses import dataclass

from fescueflow.core import InstanceId, RegionId, UpstreamId, ZoneId, hash_upstream
from fescueflow.platform import ListedInstance, ListedUpstream
from fescueflow.rights.shares import SHARE_COUNT

# Without buckets, a home of 7 upstreams sends requests to nearly all instances of
# a zone of 20. Fewer buckets reduce the requests, but the loss of one instance
# then removes a larger part of the zone's limits.
BUCKETS_PER_SHARE = 2


@dataclass(frozen=True)
class Scope:
    """Location of an upstream, which determines its holder pool."""

    zone: ZoneId
    region: RegionId


@dataclass(frozen=True)
class HolderPool:
    """Instances among which the shares of a scope are spread.

    In a pool of one zone, shares in the same bucket have the same holder; in
    other pools the holder of each share is chosen independently.
    """

    members: frozenset[InstanceId]
    in_zone: bool


def get_scope(upstream: ListedUpstream) -> Scope:
    """Return the scope of an upstream."""
    return Scope(upstream.zone, upstream.region)


def choose_holder_pool(scope: Scope, instances: Iterable[ListedInstance]) -> HolderPool:
    """Return the holder pool of a scope.

    Parameters
    ----------
    scope : Scope
    instances : iterable of ListedInstance
        Live instances of one reading of the list.

    Returns
    -------
    HolderPool
        The instances of the zone if it has one for each share, else those of
        the region, else all.

    Notes
    -----
    A home renews its leases with each holder. In a large fleet, a pool within
    the zone makes the number of holders, and thus the traffic, independent of
    the region's size, and a partition between zones makes no share unavailable.
    In a small fleet, a pool of the region loses fewer shares with one instance.
    """
    known = list(instances)
    zone = frozenset(i.id for i in known if i.zone == scope.zone)
    if len(zone) >= SHARE_COUNT:
        return HolderPool(zone, True)
    region = frozenset(i.id for i in known if i.region == scope.region)
    return HolderPool(region or frozenset(i.id for i in known), False)


def make_share_key(
    scope: Scope, holder_pool: HolderPool, upstream: UpstreamId, share: int
) -> str:
    """Return the rendezvous key of a share.

    The shares of one upstream have different keys, so their holders are chosen
    independently of each other.
    """
    if not holder_pool.in_zone:
        return f"share\0{upstream}\0{share}"
    choice = (hash_upstream(upstream) >> share) % BUCKETS_PER_SHARE
    bucket = BUCKETS_PER_SHARE * share + choice
    return f"bucket\0{scope.region}\0{scope.zone}\0{bucket}"


__all__ = ["HolderPool", "Scope", "choose_holder_pool", "get_scope", "make_share_key"]
