"""Selection of heartbeat targets and of the member records they carry."""

from math import ceil, log2

from fescueflow.core import InstanceId, RandomSource
from fescueflow.membership.members import Member, estimate_size
from fescueflow.membership.table import MemberTable
from fescueflow.schema import MemberRecord
from fescueflow.transport import CONTENT_BYTES_MAX

OTHER_RECORDS_MAX = 6
# A change is sent this many times log2 of the number of members.
RETRANSMIT_FACTOR = 3
# Packed size of a ping datagram without its records, rounded up: sender name of
# up to 64 bytes, incarnation, sequence and pointers.
PING_OVERHEAD_BYTES = 180


class ShuffledRoundRobin:
    """Visits all candidates in random order before it repeats any of them.

    Unlike independent random choices, this bounds the time until each member is
    probed.
    """

    def __init__(self, random_source: RandomSource) -> None:
        self._random_source = random_source
        self._queue: list[str] = []

    def choose(self, candidates: set[str]) -> str | None:
        """Return the next candidate, or ``None`` if there are none."""
        if not candidates:
            return None
        while True:
            while self._queue:
                name = self._queue.pop()
                if name in candidates:
                    return name
            self._queue = self._random_source.sample(
                sorted(candidates), len(candidates)
            )


class RecordSelector:
    """Selects records to send: recent changes first, then all members in turn.

    Parameters
    ----------
    table : MemberTable
    random_source : RandomSource
    """

    def __init__(self, table: MemberTable, random_source: RandomSource) -> None:
        self._table = table
        self._round_robin = ShuffledRoundRobin(random_source)
        self._transmissions_left: dict[InstanceId, int] = {}

    def add_change(self, instance: InstanceId) -> None:
        """Schedule a changed member's record for repeated transmission."""
        count = sum(1 for _ in self._table.iterate())
        self._transmissions_left[instance] = RETRANSMIT_FACTOR * ceil(log2(count + 2))

    def select(
        self, own: Member, target: InstanceId | None = None
    ) -> list[MemberRecord]:
        """Return this instance's record and up to 6 others that fit in a datagram.

        Parameters
        ----------
        own : Member
            Record of this instance.
        target : InstanceId, optional
            Receiver. If it is suspected, its record is the first of the others
            so that it can refute the suspicion.
        """
        bytes_left = CONTENT_BYTES_MAX - PING_OVERHEAD_BYTES - estimate_size(own)
        records = [own.to_record()]
        for instance in self._choose_instances(target):
            entry = self._table.get(instance)
            if entry is None:
                continue
            member = entry.get_observed()
            size = estimate_size(member)
            if size > bytes_left:
                break
            bytes_left -= size
            records.append(member.to_record())
        return records

    def _choose_instances(self, target: InstanceId | None) -> list[InstanceId]:
        chosen: list[InstanceId] = []
        entry = self._table.get(target) if target is not None else None
        if entry is not None and entry.get_observed() is not entry.member:
            chosen.append(entry.member.instance)
        recent = sorted(
            self._transmissions_left,
            key=lambda name: self._transmissions_left[name],
            reverse=True,
        )
        for instance in recent[: OTHER_RECORDS_MAX - len(chosen)]:
            self._transmissions_left[instance] -= 1
            if self._transmissions_left[instance] <= 0:
                del self._transmissions_left[instance]
            if instance not in chosen:
                chosen.append(instance)
        alive: set[str] = {
            e.member.instance for e in self._table.iterate() if e.dead_at is None
        }
        alive -= {target or "", *chosen}
        while alive and len(chosen) < OTHER_RECORDS_MAX:
            name = self._round_robin.choose(alive)
            if name is not None:
                alive.discard(name)
                chosen.append(InstanceId(name))
        return chosen


__all__ = ["RecordSelector", "ShuffledRoundRobin"]
