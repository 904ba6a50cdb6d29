"""Members and their records in heartbeat datagrams."""

from dataclasses import dataclass, replace

from fescueflow.core import Incarnation, InstanceId, RegionId, Revision, ZoneId
from fescueflow.schema import AdoptedOwner, MemberRecord, MemberState
from fescueflow.settings import Settings
from fescueflow.transport import parse_address

# Bounds the size of a record. More than 16 handovers to one instance within the
# lifetime of request ids (10 minutes by default) are not expected.
ADOPTED_INCARNATIONS_MAX = 16
NAME_CHARACTERS_MAX = 64
# Leaves room for records of other members in a datagram of 1,400 bytes.
OWN_RECORD_BYTES_MAX = 1000
WORD_BYTES = 8
# Cap'n Proto packing takes up to 10 bytes for a word of 8 nonzero bytes.
PACKED_WORD_BYTES_MAX = 10
RECORD_FIXED_WORDS = 10
ADOPTED_FIXED_WORDS = 2


@dataclass(frozen=True)
class Member:
    """State of an instance as known to this instance.

    Attributes
    ----------
    sequence : int
        Version of the record; grows with each heartbeat interval of the member.
    adopted : tuple of (InstanceId, Incarnation)
        Incarnations whose request records the member took over, oldest first.
    list_readable : bool
        Whether the member can read the instance list.
    never_held : bool
        Whether this incarnation has not held a share of any upstream so far.
    """

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    state: MemberState
    zone: ZoneId
    region: RegionId
    http_address: str
    peer_address: str
    revision: Revision
    adopted: tuple[tuple[InstanceId, Incarnation], ...]
    list_readable: bool
    never_held: bool = False

    def to_record(self) -> MemberRecord:
        """Return the wire record."""
        return MemberRecord(
            self.instance,
            self.incarnation,
            self.sequence,
            self.state,
            self.zone,
            self.region,
            self.http_address,
            self.peer_address,
            self.revision,
            [AdoptedOwner(name, incarnation) for name, incarnation in self.adopted],
            self.list_readable,
            self.never_held,
        )


def make_own_member(settings: Settings, incarnation: Incarnation) -> Member:
    """Return the initial member for this instance."""
    return Member(
        InstanceId(settings.instance_id),
        incarnation,
        1,
        MemberState.STARTING,
        ZoneId(settings.availability_zone),
        RegionId(settings.region),
        settings.http_address,
        settings.peer_address,
        Revision(0),
        (),
        False,
    )


def parse_record(record: MemberRecord) -> Member:
    """Return the member for a wire record.

    Raises
    ------
    ValueError
        If a name or an address is invalid.
    """
    for name in (record.instance, record.zone, record.region):
        if not 0 < len(name) <= NAME_CHARACTERS_MAX:
            raise ValueError(f"{name!r} is not a name of 1 to 64 characters")
    parse_address(record.http_address)
    parse_address(record.peer_address)
    adopted = record.adopted[-ADOPTED_INCARNATIONS_MAX:]
    return Member(
        InstanceId(record.instance),
        Incarnation(record.incarnation),
        record.sequence,
        record.state,
        ZoneId(record.zone),
        RegionId(record.region),
        record.http_address,
        record.peer_address,
        Revision(record.revision),
        tuple((InstanceId(a.instance), Incarnation(a.incarnation)) for a in adopted),
        record.list_readable,
        record.never_held,
    )


def add_adopted(
    member: Member, instance: InstanceId, incarnation: Incarnation
) -> Member:
    """Return a copy of the member with one more adopted incarnation.

    Keeps the 16 newest, or fewer if their record would be too large.
    """
    entry = (instance, incarnation)
    kept = tuple(item for item in member.adopted if item != entry)
    member = replace(member, adopted=(*kept, entry)[-ADOPTED_INCARNATIONS_MAX:])
    while estimate_size(member) > OWN_RECORD_BYTES_MAX:
        member = replace(member, adopted=member.adopted[1:])
    return member


def count_text_words(text: str) -> int:
    """Return the number of words of a text with its terminating zero byte."""
    return len(text.encode()) // WORD_BYTES + 1


def estimate_size(member: Member) -> int:
    """Return an upper bound of the packed size of a member's record in bytes."""
    texts = [member.instance, member.zone, member.region]
    texts += [member.http_address, member.peer_address]
    texts += [name for name, _ in member.adopted]
    words = RECORD_FIXED_WORDS + sum(map(count_text_words, texts))
    words += 1 + ADOPTED_FIXED_WORDS * len(member.adopted)
    return words * PACKED_WORD_BYTES_MAX


__all__ = [
    "ADOPTED_INCARNATIONS_MAX",
    "Member",
    "add_adopted",
    "estimate_size",
    "parse_record",
]
