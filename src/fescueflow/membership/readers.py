"""Selection of the instances that read the platform's services for their zone."""

from collections.abc import Iterable

from fescueflow.core import ZoneId, rank_candidates
from fescueflow.membership.members import Member

READER_PERIOD_S = 60.0


def choose_readers(
    zone: ZoneId, live: Iterable[Member], wall_s: float, count: int
) -> list[Member]:
    """Return the members of a zone that read the platform for the others.

    Parameters
    ----------
    zone : ZoneId
    live : iterable of Member
        Live members of any zone.
    wall_s : float
        Seconds since the epoch; the selection changes every minute.
    count : int
        Number of readers.
    """
    candidates = {
        str(member.instance): member for member in live if member.zone == zone
    }
    key = f"reader/{zone}/{int(wall_s // READER_PERIOD_S)}"
    return [candidates[name] for name in rank_candidates(key, list(candidates))[:count]]


def get_zone_peers(own: Member, members: Iterable[Member]) -> list[Member]:
    """Return the members in the same zone as ``own``, without ``own`` itself."""
    return [m for m in members if m.zone == own.zone and m.instance != own.instance]


__all__ = ["choose_readers", "get_zone_peers"]
