"""Strategies that choose the receivers of notices."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from enum import Enum

from fescueflow.core import RandomSource, ZoneId
from fescueflow.membership import Member, choose_readers, get_zone_peers

RECEIVERS_PER_OTHER_ZONE = 2


class Origin(Enum):
    """Where an instance learned a revision from."""

    SERVICE = "service"
    OWN_ZONE = "own_zone"
    OTHER_ZONE = "other_zone"


def group_by_zone(members: Iterable[Member]) -> dict[ZoneId, list[Member]]:
    """Return the members of each zone."""
    zones: dict[ZoneId, list[Member]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    return zones


class DisseminationStrategy(ABC):
    """Chooses the receivers of the notice of a newly learned revision."""

    @abstractmethod
    def choose_receivers(
        self,
        origin: Origin,
        own: Member,
        members: list[Member],
        readers: dict[ZoneId, list[Member]],
        random_source: RandomSource,
    ) -> list[Member]:
        """Return the members to notify.

        Parameters
        ----------
        origin : Origin
            Where this instance learned the revision from.
        own : Member
            This instance.
        members : list of Member
            All members except dead ones; may include ``own``.
        readers : dict of ZoneId to list of Member
            Members of each zone that read the service.
        random_source : RandomSource
        """


class BroadcastDissemination(DisseminationStrategy):
    """Broadcast by the instance that learned a revision from the service.

    It notifies all members of its zone and 2 members of each other zone. A member
    that learned the revision from another zone forwards it within its own zone.

    Notes
    -----
    The first holder broadcasts in one step instead of relaying through a fixed
    process, as in "Faster commitment in small clusters" (design.md, section 15).
    """

    def choose_receivers(
        self,
        origin: Origin,
        own: Member,
        members: list[Member],
        readers: dict[ZoneId, list[Member]],
        random_source: RandomSource,
    ) -> list[Member]:
        """Return the receivers; see the class for the rule."""
        if origin is Origin.OWN_ZONE:
            return []
        chosen = get_zone_peers(own, members)
        if origin is Origin.OTHER_ZONE:
            return chosen
        for zone, zone_members in group_by_zone(members).items():
            if zone != own.zone:
                names = sorted(str(m.instance) for m in zone_members)
                sampled = random_source.sample(names, RECEIVERS_PER_OTHER_ZONE)
                chosen += [m for m in zone_members if m.instance in sampled]
        return chosen


class RelayDissemination(DisseminationStrategy):
    """Relay through the readers of each zone, which notify their zone."""

    def choose_receivers(
        self,
        origin: Origin,
        own: Member,
        members: list[Member],
        readers: dict[ZoneId, list[Member]],
        random_source: RandomSource,
    ) -> list[Member]:
        """Return the receivers.

        A reader notifies its zone and, if it learned the revision from the service,
        the readers of the other zones. Any other member notifies the readers of its
        zone, and only if it learned the revision from the service.
        """
        own_zone_readers = readers.get(own.zone, [])
        if all(reader.instance != own.instance for reader in own_zone_readers):
            return list(own_zone_readers) if origin is Origin.SERVICE else []
        chosen = get_zone_peers(own, members)
        if origin is Origin.SERVICE:
            for zone, zone_members in readers.items():
                chosen += zone_members if zone != own.zone else []
        return chosen


__all__ = [
    "BroadcastDissemination",
    "Origin",
    "RelayDissemination",
    "DisseminationStrategy",
    "choose_readers",
    "group_by_zone",
    "get_zone_peers",
]
