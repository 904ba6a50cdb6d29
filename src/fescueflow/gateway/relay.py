"""Relay of the store's changes from one reader in each zone to the other instances.

The store's calls are limited and expensive for the whole fleet, so in each zone one
instance, the reader, watches the store and sends each change on to the others, the
followers. A follower reads for itself when what it knows grows old, so that a reader
that is killed, frozen, or cut off from the store or from the zone delays changes by
about a second. Delays are drawn at random, and the first follower that reads suppresses
the others with its update. Readers of several zones tell each other what they read: a
zone whose reader is turned away by the store stays current.
"""

import json
import threading
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import logbook

from fescueflow.core import (
    FIRST_ERA,
    Clock,
    InstanceId,
    RandomSource,
    Revision,
    StoreEra,
    ZoneId,
    score_candidate,
)
from fescueflow.gateway.peers import ACTIVE_AGE_MAX_S, PeerTable
from fescueflow.gateway.records import PeerRecord
from fescueflow.platform import ERA_MAX, StoreItem

# First byte of the datagrams of this module; reports begin with a zlib header.
UPDATE_MARK = b"U"
# Compressed size up to which an update carries its items. Followers read larger changes
# from the store: sent to a zone of thirty, a configuration of 16 KB would hold up the
# callers of a reader with a link of 5 Mbit/s for most of a second.
UPDATE_BYTES_MAX = 2048
# Size up to which an update includes the value of an item; entries of upstreams have a
# few hundred bytes, configurations some tens of thousands.
VALUE_BYTES_MAX = 1024
# Uncompressed size of an update.
UPDATE_TEXT_BYTES_MAX = 1 << 20
# Age of the known state at which a follower reads the store itself. With the delay
# below and one call, it is below the 2 s in which a configuration must be in force.
FOLLOWER_AGE_MAX_S = 1.0
# Longest random delay of that read; it spreads the reads of a zone.
FOLLOWER_DELAY_MAX_S = 0.4
# Silence of a reader after which a follower that has read tells the others. Readers
# send an update at least every half second.
READER_QUIET_S = 1.2
# Silence of a reader after which another instance takes over. A large configuration
# delays the updates on a link of 5 Mbit/s by most of a second; if all followers took
# over then, their reports would delay the callers on all links of the zone.
READER_TIMEOUT_S = 2.5
# Delays of a read that fetches changes which updates could not carry: several changes
# in quick succession are fetched together.
FETCH_DELAY_MIN_S = 0.15
FETCH_DELAY_MAX_S = 0.45

log = logbook.Logger("relay")


class Role(Enum):
    """Whether an instance watches the store or gets its changes from a reader."""

    READER = "reader"
    FOLLOWER = "follower"


@dataclass(frozen=True)
class StoreUpdate:
    """State of the store as an instance knows it.

    ``items`` are the changes after ``base`` up to ``revision``, ``None`` if they are
    not included; ``omitted`` are the keys of those whose value is too large to include.
    ``age_s`` is the time since the state was known to be current. The revisions are
    those of the era.
    """

    sender: InstanceId
    zone: ZoneId
    role: Role
    base: Revision
    revision: Revision
    age_s: float
    items: tuple[StoreItem, ...] | None = field(default=())
    omitted: tuple[str, ...] = ()
    era: StoreEra = FIRST_ERA

    def continues(self, revision: Revision) -> bool:
        """Return whether the items bring a state of a revision up to the update's.

        Notes
        -----
        Items that the state has already are left out by their revisions.
        """
        if self.items is None or self.base > revision:
            return False
        return self.base == revision or all(item.revision for item in self.items)


def encode_update(update: StoreUpdate) -> bytes:
    """Return the datagram of an update, without values that are too large.

    Notes
    -----
    Followers fetch the last value of an omitted key. A series of large configurations
    is therefore transferred once or twice to each instance, not each of them. Versions
    that know no eras read only updates without one, which are those of era 0; they
    could not tell to which era a revision belongs.
    """
    items, omitted = None, set(update.omitted)
    if update.items is not None:
        large = [i for i in update.items if len(i.value or b"") > VALUE_BYTES_MAX]
        omitted |= {item.key for item in large}
        items = [encode_item(item) for item in update.items if item not in large]
    document = [
        update.sender,
        update.zone,
        update.role.value,
        update.base,
        update.revision,
        round(update.age_s, 3),
    ]
    for content in (items, None):
        fields = [*document, content, sorted(omitted)]
        if update.era:
            fields.append(update.era)
        text = json.dumps(fields, separators=(",", ":"))
        data = UPDATE_MARK + zlib.compress(text.encode())
        if len(data) <= UPDATE_BYTES_MAX and len(text) <= UPDATE_TEXT_BYTES_MAX:
            break
    return data


def decode_update(data: bytes) -> StoreUpdate:
    """Return the update of a datagram.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(
            data.removeprefix(UPDATE_MARK), 2 * UPDATE_TEXT_BYTES_MAX
        )
        if not decompressor.eof:
            raise ValueError("the update is truncated or too large")
        sender, zone, role, base, revision, age_s, items, omitted, *rest = json.loads(
            text
        )
        update = StoreUpdate(
            InstanceId(str(sender)),
            ZoneId(str(zone)),
            Role(role),
            Revision(int(base)),
            Revision(int(revision)),
            max(0.0, float(age_s)),
            None if items is None else tuple(map(decode_item, items)),
            tuple(str(key) for key in omitted),
            StoreEra(int(rest[0])) if rest else FIRST_ERA,
        )
        if not 0 <= update.era <= ERA_MAX:
            raise ValueError("the era is out of range")
        if any(not 0 <= i.revision <= update.revision for i in update.items or ()):
            raise ValueError("an item's revision is out of range")
        return update
    except (
        ArithmeticError,
        AttributeError,
        RecursionError,
        TypeError,
        zlib.error,
    ) as error:
        raise ValueError(f"malformed update: {error!r}") from error


def encode_item(item: StoreItem) -> list[str | int | None]:
    """Return the fields of an item in an update."""
    value = None if item.value is None else item.value.decode("latin-1")
    return [item.key, value, item.revision]


def decode_item(entry: Any) -> StoreItem:
    """Return the item that was encoded as a key, a value and a revision."""
    key, value, *rest = entry
    if not isinstance(key, str):
        raise ValueError("an item has no key")
    revision = Revision(int(rest[0]) if rest else 0)
    return StoreItem(key, None if value is None else value.encode("latin-1"), revision)


@dataclass
class KnownReader:
    """The instance that last sent updates of a zone as its reader."""

    instance: InstanceId
    heard_at: float


class StoreRelay:
    """Decides who reads the store, and sends updates to the others; thread-safe.

    Parameters
    ----------
    peers : PeerTable
    send : callable
        Sends a datagram to a host.
    clock : Clock
    random_source : RandomSource
    """

    def __init__(
        self,
        *,
        peers: PeerTable,
        send: Callable[[str, bytes], None],
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._peers = peers
        self._send = send
        self._clock = clock
        self._random_source = random_source
        self._lock = threading.Lock()
        self._readers: dict[ZoneId, KnownReader] = {}
        self.role = Role.READER
        self._may_read = False

    def record_sender(self, update: StoreUpdate) -> None:
        """Note who reads for a zone; yield to another reader of the own zone.

        Notes
        -----
        Of two readers of a zone that hear each other, the smaller instance yields,
        among equal ones that with the lower rendezvous score. A follower that is larger
        than the reader takes its place: the updates of the zone go over its link.
        """
        if update.role is not Role.READER:
            return
        own = self._peers.get_own_record()
        now = self._clock.monotonic()
        with self._lock:
            self._readers[update.zone] = KnownReader(update.sender, now)
            sender = self._peers.find(update.sender)
            if update.zone != own.zone or sender is None:
                return
            if self.role is Role.FOLLOWER:
                self._peers.set_reader(update.sender)
                if self._may_read and own.capacity > sender.capacity:
                    self._become_reader()
                return
            if self._rank(sender) < self._rank(own):
                return
            self.role = Role.FOLLOWER
            self._peers.set_reader(update.sender)
        log.info("follows the store's reader", extra={"reader": str(update.sender)})

    def set_may_read(self, may_read: bool) -> None:
        """Set whether this instance's calls of the store succeed."""
        self._may_read = may_read

    def take_over(self) -> bool:
        """Become the reader unless one is heard; return whether this one reads."""
        with self._lock:
            if self.role is Role.READER:
                return True
            known = self._readers.get(self._peers.get_own_record().zone)
            if self._is_recent(known):
                return False
            self._become_reader()
        log.info(
            "reads the store for the zone",
            extra={"before": str(known.instance) if known else None},
        )
        return True

    def find_reader(self) -> PeerRecord | None:
        """Return the record of the reader of the own zone, ``None`` if it is this."""
        own = self._peers.get_own_record()
        known = self._readers.get(own.zone)
        if self.role is Role.READER or known is None:
            return None
        return self._peers.find(known.instance)

    def _become_reader(self) -> None:
        self.role = Role.READER
        self._peers.set_reader(self._peers.get_own_record().instance)

    def is_from_other_zone(self, update: StoreUpdate) -> bool:
        """Return whether an update comes from another zone."""
        return update.zone != self._peers.get_own_record().zone

    def is_zone_silent(self) -> bool:
        """Return whether no reader of the own zone is heard and this is none."""
        with self._lock:
            if self.role is Role.READER:
                return False
            known = self._readers.get(self._peers.get_own_record().zone)
            return not self._is_recent(known)

    def is_reader_quiet(self) -> bool:
        """Return whether the others have not heard of a reader for some time."""
        with self._lock:
            known = self._readers.get(self._peers.get_own_record().zone)
            return not self._is_recent(known, READER_QUIET_S)

    def _is_recent(
        self, known: KnownReader | None, within_s: float = READER_TIMEOUT_S
    ) -> bool:
        if known is None:
            return False
        return self._clock.monotonic() - known.heard_at < within_s

    def draw_read_delay(self) -> float:
        """Return the random delay of a follower's read beyond the largest age."""
        return self._random_source.uniform(0.0, FOLLOWER_DELAY_MAX_S)

    def count_zone(self) -> int:
        """Return the number of known instances of the own zone, including this one."""
        return 1 + len(self._list_zone_hosts())

    def publish(
        self,
        base: Revision,
        revision: Revision,
        age_s: float,
        items: Iterable[StoreItem] | None,
        omitted: Iterable[str] = (),
        era: StoreEra = FIRST_ERA,
    ) -> None:
        """Send what this instance knows to the zone, and to other zones' readers."""
        own = self._peers.get_own_record()
        update = StoreUpdate(
            sender=own.instance,
            zone=own.zone,
            role=self.role,
            base=base,
            revision=revision,
            age_s=age_s,
            items=None if items is None else tuple(items),
            omitted=tuple(omitted),
            era=era,
        )
        data = encode_update(update)
        for host in [*self._list_zone_hosts(), *self._list_other_readers()]:
            self._send(host, data)

    def list_report_hosts(self) -> list[str]:
        """Return the hosts that get each report of this instance in a large fleet.

        Notes
        -----
        A follower reports to the reader of its zone. A reader reports to all of its
        zone, and to one instance of each other zone, so that they know who serves.
        """
        if self.role is Role.READER:
            return [*self._list_zone_hosts(), *self._list_other_readers()]
        reader = self.find_reader()
        return [reader.host] if reader is not None else []

    def _rank(self, record: PeerRecord) -> tuple[float, int]:
        return record.capacity, score_candidate("reader", str(record.instance))

    def _list_zone_hosts(self) -> list[str]:
        """Return the other instances of the own zone that were heard of recently."""
        own, now = self._peers.get_own_record(), self._clock.monotonic()
        return [
            peer.host
            for peer in self._peers.list_all()
            if peer.zone == own.zone and now - peer.last_seen_at <= ACTIVE_AGE_MAX_S
        ]

    def _list_other_readers(self) -> list[str]:
        """Return one instance of each other zone, its reader if that is known."""
        if self.role is not Role.READER:
            return []
        own, now = self._peers.get_own_record(), self._clock.monotonic()
        hosts: dict[ZoneId, str] = {}
        for peer in self._peers.list_all():
            if peer.zone == own.zone or now - peer.last_seen_at > ACTIVE_AGE_MAX_S:
                continue
            known = self._readers.get(peer.zone)
            is_reader = known is not None and known.instance == peer.instance
            if peer.zone not in hosts or (is_reader and self._is_recent(known)):
                hosts[peer.zone] = peer.host
        return list(hosts.values())


__all__ = [
    "FETCH_DELAY_MAX_S",
    "FETCH_DELAY_MIN_S",
    "FOLLOWER_AGE_MAX_S",
    "UPDATE_MARK",
    "Role",
    "StoreRelay",
    "StoreUpdate",
    "decode_update",
    "encode_update",
]
