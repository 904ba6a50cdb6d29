"""Choice of the targets of heartbeats and of the records they carry."""

from math import ceil, log2

from fescueflow.core import InstanceId, Randomness
from fescueflow.membership.members import Member, estimate_size
from fescueflow.membership.table import MemberTable
from fescueflow.schema import MemberRecord
from fescueflow.transport import CONTENT_BYTES_MAX

RECORDS_MAX = 6
# Each change is passed on this many times the logarithm of the fleet's size.
REPEAT_FACTOR = 3
# Datagram and ping fields besides the records: sender of up to 64 bytes,
# incarnation, sequence, pointers; packed, rounded up.
FIXED_BYTES = 180


class Rotation:
    """Visits all candidates in random order before any of them again.

    Bounds the time until a member is probed, unlike independent choices.
    """

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness
        self._queue: list[str] = []

    def choose(self, candidates: set[str]) -> str | None:
        """Return the next candidate, ``None`` if there is none."""
        if not candidates:
            return None
        while True:
            while self._queue:
                name = self._queue.pop()
                if name in candidates:
                    return name
            self._queue = self._randomness.sample(sorted(candidates), len(candidates))


class RecordSelector:
    """Chooses records: recent changes first, then all members in turn.

    Parameters
    ----------
    table : MemberTable
    randomness : Randomness
    """

    def __init__(self, table: MemberTable, randomness: Randomness) -> None:
        self._table = table
        self._rotation = Rotation(randomness)
        self._news: dict[InstanceId, int] = {}

    def add_news(self, instance: InstanceId) -> None:
        """Pass on the state of a member that has just changed."""
        count = sum(1 for _ in self._table.iterate())
        self._news[instance] = REPEAT_FACTOR * ceil(log2(count + 2))

    def select(
        self, own: Member, target: InstanceId | None = None
    ) -> list[MemberRecord]:
        """Return this instance's record and up to 6 others.

        Parameters
        ----------
        own : Member
        target : InstanceId, optional
            Receiver. If it is suspect, its record comes first so that it can
            refute.
        """
        left = CONTENT_BYTES_MAX - FIXED_BYTES - estimate_size(own)
        records = [own.to_record()]
        for instance in self._choose(target):
            entry = self._table.get(instance)
            if entry is None:
                continue
            member = entry.describe()
            size = estimate_size(member)
            if size > left:
                break
            left -= size
            records.append(member.to_record())
        return records

    def _choose(self, target: InstanceId | None) -> list[InstanceId]:
        chosen: list[InstanceId] = []
        entry = self._table.get(target) if target is not None else None
        if entry is not None and entry.describe() is not entry.member:
            chosen.append(entry.member.instance)
        fresh = sorted(self._news, key=lambda name: self._news[name], reverse=True)
        for instance in fresh[: RECORDS_MAX - len(chosen)]:
            self._news[instance] -= 1
            if self._news[instance] <= 0:
                del self._news[instance]
            if instance not in chosen:
                chosen.append(instance)
        living: set[str] = {
            e.member.instance for e in self._table.iterate() if e.dead_at is None
        }
        living -= {target or "", *chosen}
        while living and len(chosen) < RECORDS_MAX:
            name = self._rotation.choose(living)
            if name is not None:
                living.discard(name)
                chosen.append(InstanceId(name))
        return chosen


__all__ = ["RecordSelector", "Rotation"]
