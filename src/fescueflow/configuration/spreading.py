"""Choice of the readers of the service and of the receivers of notices."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from enum import Enum

from fescueflow.core import Randomness, ZoneId
from fescueflow.membership import Member, choose_readers, list_zone_peers

OTHER_ZONE_RECEIVERS = 2


class Origin(Enum):
    """How an instance learned a revision."""

    SERVICE = "service"
    OWN_ZONE = "own_zone"
    OTHER_ZONE = "other_zone"


def group_by_zone(members: Iterable[Member]) -> dict[ZoneId, list[Member]]:
    """Return members by zone."""
    zones: dict[ZoneId, list[Member]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    return zones


class SpreadStrategy(ABC):
    """Chooses who receives the notice of a revision that was just learned."""

    @abstractmethod
    def choose_receivers(
        self,
        origin: Origin,
        own: Member,
        members: list[Member],
        readers: dict[ZoneId, list[Member]],
        randomness: Randomness,
    ) -> list[Member]:
        """Return the members to notify.

        Parameters
        ----------
        origin : Origin
            How this instance learned the revision.
        own : Member
        members : list of Member
            All members but dead ones; may contain the own record.
        readers : dict of ZoneId to list of Member
            Readers of each zone.
        randomness : Randomness
        """


class BroadcastSpread(SpreadStrategy):
    """Whoever learns a revision first notifies its zone and 2 in each other zone.

    A member that learned it from another zone forwards it within its own zone.

    Notes
    -----
    One-step broadcast by the first holder instead of a relay through a fixed
    process, as in "Faster commitment in small clusters" (design.md, section 15).
    """

    def choose_receivers(
        self,
        origin: Origin,
        own: Member,
        members: list[Member],
        readers: dict[ZoneId, list[Member]],
        randomness: Randomness,
    ) -> list[Member]:
        """Return own zone and, after an own reading, 2 of each other zone."""
        if origin is Origin.OWN_ZONE:
            return []
        chosen = list_zone_peers(own, members)
        if origin is Origin.OTHER_ZONE:
            return chosen
        for zone, group in group_by_zone(members).items():
            if zone != own.zone:
                names = sorted(str(m.instance) for m in group)
                picked = randomness.sample(names, OTHER_ZONE_RECEIVERS)
                chosen += [m for m in group if m.instance in picked]
        return chosen


class RelaySpread(SpreadStrategy):
    """Notices go through the readers of each zone, which notify their zone."""

    def choose_receivers(
        self,
        origin: Origin,
        own: Member,
        members: list[Member],
        readers: dict[ZoneId, list[Member]],
        randomness: Randomness,
    ) -> list[Member]:
        """Return the own zone for a reader, otherwise the own zone's readers."""
        here = readers.get(own.zone, [])
        if all(reader.instance != own.instance for reader in here):
            return list(here) if origin is Origin.SERVICE else []
        chosen = list_zone_peers(own, members)
        if origin is Origin.SERVICE:
            for zone, group in readers.items():
                chosen += group if zone != own.zone else []
        return chosen


__all__ = [
    "BroadcastSpread",
    "Origin",
    "RelaySpread",
    "SpreadStrategy",
    "choose_readers",
    "group_by_zone",
    "list_zone_peers",
]
