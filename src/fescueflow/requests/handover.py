"""Handover of owner tables to a successor instance."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from fescueflow.core import InstanceId, ZoneId, choose_candidate
from fescueflow.membership import Member
from fescueflow.schema import HandoverTable, MemberState, OwnedRecord
from fescueflow.transport import Sender

# A frame holds at most 2 MiB; half of that leaves room for the encoding.
PART_BYTES_MAX = 1 << 20
RECORD_OVERHEAD_BYTES = 128
PARTIAL_TABLES_MAX = 64
PARTIAL_TABLE_LIFETIME_S = 30.0

OwnerKey = tuple[str, int]


def choose_successor(
    own: InstanceId, zone: ZoneId, live: list[Member]
) -> Member | None:
    """Return the live instance that takes over, preferably in the same zone."""
    others = {
        member.instance: member
        for member in live
        if member.instance != own and member.state is MemberState.LIVE
    }
    same_zone = [name for name, member in others.items() if member.zone == zone]
    successor = choose_candidate(own, list(same_zone or others))
    return others[InstanceId(successor)] if successor is not None else None


def estimate_record_size(record: OwnedRecord) -> int:
    """Return the approximate size of a record in a frame, in bytes."""
    headers = sum(len(h.name) + len(h.value) + 32 for h in record.headers)
    return RECORD_OVERHEAD_BYTES + len(record.body) + headers


def split_table(table: HandoverTable) -> Iterator[HandoverTable]:
    """Yield parts of a table that fit into frames; the last one has ``last`` set."""
    part: list[OwnedRecord] = []
    size = 0
    for record in table.records:
        record_size = estimate_record_size(record)
        if part and size + record_size > PART_BYTES_MAX:
            yield HandoverTable(table.owner, table.floor, table.next, part, False)
            part, size = [], 0
        part.append(record)
        size += record_size
    yield HandoverTable(table.owner, table.floor, table.next, part, True)


@dataclass
class PartialTable:
    """Records of a table received so far."""

    sender: Sender
    floor: int
    next: int
    received_at: float
    records: list[OwnedRecord] = field(default_factory=list)


class HandoverAssembler:
    """Assembles tables from their parts; the caller must hold a lock.

    Parameters
    ----------
    records_max : int
        Maximum number of records in all incomplete tables together.
    """

    def __init__(self, records_max: int) -> None:
        self._records_max = records_max
        self._partial: dict[OwnerKey, PartialTable] = {}

    def add(self, sender: Sender, part: HandoverTable, now: float) -> bool:
        """Add a part; a part that is rejected discards the earlier ones.

        Returns
        -------
        bool
            Whether the part was accepted.
        """
        self._discard_expired(now)
        key = (part.owner.instance, part.owner.incarnation)
        if key not in self._partial and len(self._partial) >= PARTIAL_TABLES_MAX:
            return False
        partial = self._partial.setdefault(
            key, PartialTable(sender, part.floor, part.next, now)
        )
        origin = (partial.sender.instance, partial.sender.incarnation)
        same_sender = origin == (sender.instance, sender.incarnation)
        if not same_sender or (part.floor, part.next) != (partial.floor, partial.next):
            del self._partial[key]
            return False
        partial.records.extend(part.records)
        partial.received_at = now
        total = sum(len(other.records) for other in self._partial.values())
        if total > self._records_max:
            del self._partial[key]
            return False
        return True

    def take(self, key: OwnerKey) -> PartialTable:
        """Remove and return a table."""
        return self._partial.pop(key)

    def _discard_expired(self, now: float) -> None:
        for key, partial in list(self._partial.items()):
            if now - partial.received_at > PARTIAL_TABLE_LIFETIME_S:
                del self._partial[key]


__all__ = ["HandoverAssembler", "choose_successor", "split_table"]
