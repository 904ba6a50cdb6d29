"""Which instances may hold the shares of an upstream."""

from collections.abc import Iterable
from dataclasses import dataclass

from fescueflow.core import InstanceId, RegionId, UpstreamId, ZoneId, hash_upstream
from fescueflow.platform import ListedInstance, ListedUpstream
from fescueflow.rights.shares import SHARE_COUNT

# With a holder for each share on its own, a home of 7 upstreams asks nearly all
# instances of a zone of 20. With fewer buckets it asks fewer, but the end of one
# instance takes a larger part of the zone's limits.
BUCKETS_PER_SHARE = 2


@dataclass(frozen=True)
class Scope:
    """Location of an upstream, on which its panel depends."""

    zone: ZoneId
    region: RegionId


@dataclass(frozen=True)
class Panel:
    """Instances among which the shares of a scope are spread.

    In a panel of one zone, upstreams whose shares are in the same bucket have
    the same holder; in another one each share has a holder of its own.
    """

    members: frozenset[InstanceId]
    in_zone: bool


def get_scope(upstream: ListedUpstream) -> Scope:
    """Return the scope of an upstream."""
    return Scope(upstream.zone, upstream.region)


def choose_panel(scope: Scope, instances: Iterable[ListedInstance]) -> Panel:
    """Return the panel of a scope.

    Parameters
    ----------
    scope : Scope
    instances : iterable of ListedInstance
        Live instances of one reading of the list.

    Returns
    -------
    Panel
        The instances of the zone if it has one for each share, else those of
        the region, else all.

    Notes
    -----
    A home renews its leases with each holder. In a large fleet a panel within
    the zone keeps the number of holders, and so the traffic, independent of the
    size of the region, and a cut between zones takes no share away. In a small
    fleet the region's instances lose fewer shares when one of them ends.
    """
    known = list(instances)
    zone = frozenset(i.id for i in known if i.zone == scope.zone)
    if len(zone) >= SHARE_COUNT:
        return Panel(zone, True)
    region = frozenset(i.id for i in known if i.region == scope.region)
    return Panel(region or frozenset(i.id for i in known), False)


def make_share_key(scope: Scope, panel: Panel, upstream: UpstreamId, share: int) -> str:
    """Return the rendezvous key of a share.

    The shares of one upstream have different keys, so that their holders are
    independent of each other.
    """
    if not panel.in_zone:
        return f"share\0{upstream}\0{share}"
    choice = (hash_upstream(upstream) >> share) % BUCKETS_PER_SHARE
    bucket = BUCKETS_PER_SHARE * share + choice
    return f"bucket\0{scope.region}\0{scope.zone}\0{bucket}"


__all__ = ["Panel", "Scope", "choose_panel", "get_scope", "make_share_key"]
