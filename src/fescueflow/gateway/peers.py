"""Instances of the fleet, and the datagrams in which they report their state."""

import math
import socket
import threading
from collections.abc import Callable, Iterable

import logbook

from fescueflow.core import Clock, InstanceId, ZoneId
from fescueflow.gateway.active_set import CARRYING_RATE_MIN, choose_active
from fescueflow.gateway.records import PeerRecord
from fescueflow.gateway.rotation import REPORT_FANOUT

# A quarter of the age at which reported loads are dropped.
REPORT_INTERVAL_S = 0.35
# Time from a report to the next one if other instances should hear of a change soon: a
# few round trips between availability zones.
HURRIED_INTERVAL_S = 0.02
# Silence after which callers are no longer sent to an instance: four reports, so that a
# lost datagram does not remove it.
PEER_TIMEOUT_S = 1.5
# The same while the reader of the zone is silent, through which instances of a large
# fleet hear of most others: the time until another takes over and has heard from them.
UNINFORMED_PEER_TIMEOUT_S = 3.0
# Time since its last report for which an instance counts toward shared budgets: the
# longest window of the budgets.
ACTIVE_AGE_MAX_S = 10.0
# Age after which an instance gets no more reports and is forgotten.
KNOWN_AGE_MAX_S = 6 * ACTIVE_AGE_MAX_S
DATAGRAM_BYTES_MAX = 60_000
RECEIVE_TIMEOUT_S = 0.2
# Time for which the list of instances that carry requests is used again; much shorter
# than the time in which instances hear of a change.
CARRYING_CACHE_S = 0.2

log = logbook.Logger("peers")


class PeerTable:
    """Known instances, including this one.

    Parameters
    ----------
    own : PeerRecord
        Record of this instance.
    """

    def __init__(self, own: PeerRecord) -> None:
        self._lock = threading.Lock()
        self._own = own
        self._peers: dict[InstanceId, PeerRecord] = {}
        # In large fleets, the instance that tells this one who serves.
        self._reader = own.instance
        self._carrying: list[PeerRecord] = []
        self._carrying_at = -math.inf

    def set_own_record(self, own: PeerRecord) -> None:
        """Replace the record of this instance."""
        with self._lock:
            self._own = own

    def get_own_record(self) -> PeerRecord:
        """Return the record of this instance."""
        return self._own

    def merge(self, record: PeerRecord) -> bool:
        """Store a record unless a later one is known.

        Returns
        -------
        bool
            Whether the instance is new or has restarted.
        """
        if record.instance == self._own.instance:
            return False
        with self._lock:
            known = self._peers.get(record.instance)
            if known is not None and known.version > record.version:
                return False
            if known is not None and known.version == record.version:
                if record.last_seen_at <= known.last_seen_at:
                    return False
            self._peers[record.instance] = record
            return known is None or known.incarnation != record.incarnation

    def find(self, instance: InstanceId) -> PeerRecord | None:
        """Return the record of another instance."""
        return self._peers.get(instance)

    def list_all(self) -> list[PeerRecord]:
        """Return all other instances ever seen."""
        with self._lock:
            return list(self._peers.values())

    def list_serving(self, now: float) -> list[PeerRecord]:
        """Return the instances that callers may be sent to, including this one."""
        timeout_s = PEER_TIMEOUT_S
        if self.is_large(now) and not self._is_informed(now):
            timeout_s = UNINFORMED_PEER_TIMEOUT_S
        others = [
            peer
            for peer in self.list_all()
            if peer.is_serving and now - peer.last_seen_at <= timeout_s
        ]
        return [self._own, *others] if self._own.is_serving else others

    def drop_old(self, now: float) -> None:
        """Drop the records of instances that were not heard of for long.

        Notes
        -----
        Replaced instances have new names, so that the table would grow for ever.
        """
        with self._lock:
            self._peers = {
                name: peer
                for name, peer in self._peers.items()
                if now - peer.last_seen_at <= KNOWN_AGE_MAX_S
            }

    def set_reader(self, reader: InstanceId) -> None:
        """Set the instance that tells this one who serves; may be its own name."""
        self._reader = reader

    def _is_informed(self, now: float) -> bool:
        if self._reader == self._own.instance:
            return True
        reader = self._peers.get(self._reader)
        return reader is not None and now - reader.last_seen_at <= PEER_TIMEOUT_S

    def list_recent(self, now: float) -> list[PeerRecord]:
        """Return this instance and all others heard of within the budgets' window."""
        return [
            self._own,
            *(p for p in self.list_all() if now - p.last_seen_at <= ACTIVE_AGE_MAX_S),
        ]

    def is_large(self, now: float) -> bool:
        """Return whether there are more instances than one report is sent to."""
        return self.count_active(now) - 1 > REPORT_FANOUT

    def list_carrying(self, now: float) -> list[PeerRecord]:
        """Return the instances that carry callers' requests, maybe this one.

        Notes
        -----
        In a small fleet, these are all instances. In a large one, they are the active
        ones of each zone and any other that gets requests.
        """
        if not 0 <= now - self._carrying_at < CARRYING_CACHE_S:
            self._carrying, self._carrying_at = self._find_carrying(now), now
        return self._carrying

    def _find_carrying(self, now: float) -> list[PeerRecord]:
        recent = self.list_recent(now)
        if len(recent) - 1 <= REPORT_FANOUT:
            return recent
        serving = {record.instance for record in self.list_serving(now)}
        zones: dict[ZoneId, list[PeerRecord]] = {}
        for record in recent:
            zones.setdefault(record.zone, []).append(record)
        active = {
            record.instance
            for records in zones.values()
            for record in choose_active(
                [r for r in records if r.instance in serving], records
            )
        }
        return [
            r for r in recent if r.instance in active or r.rate >= CARRYING_RATE_MIN
        ]

    def count_carrying(self, now: float) -> int:
        """Return the number of instances that carry requests, including this one."""
        carrying = self.list_carrying(now)
        own = self._own.instance
        return len(carrying) + all(record.instance != own for record in carrying)

    def count_active(self, now: float) -> int:
        """Return the number of instances that share a budget."""
        return 1 + sum(
            now - peer.last_seen_at <= ACTIVE_AGE_MAX_S for peer in self.list_all()
        )


def choose_addresses(
    serving: list[PeerRecord],
    zone: str,
    count_max: int,
    recent: Iterable[PeerRecord] = (),
) -> list[str]:
    """Return the addresses for a caller.

    Parameters
    ----------
    serving : list of PeerRecord
    zone : str
        Zone of the caller.
    count_max : int
    recent : iterable of PeerRecord, optional
        All instances whose requests count toward the size of the active set.

    Notes
    -----
    Instances of the caller's zone avoid traffic between zones. With fewer than two of
    them, a single failure would leave the caller without an address.
    """
    near = [peer for peer in serving if peer.zone == zone]
    if len(near) > 1:
        chosen = choose_active(near, [r for r in recent if r.zone == zone] or near)
    else:
        chosen = serving
    return [peer.callers_address for peer in chosen[:count_max]]


class PeerTransport:
    """Sends and receives reports.

    Parameters
    ----------
    address : tuple of str and int
        Host of this instance and the port of all instances.
    choose_receivers : callable
        Returns the hosts that get the next report.
    make_report : callable
        Returns the datagram to send.
    on_report : callable
        Called with each received report.
    on_update : callable
        Called with each received datagram that is not a report.
    clock : Clock
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        choose_receivers: Callable[[], list[str]],
        make_report: Callable[[], bytes],
        on_report: Callable[[bytes], None],
        on_update: Callable[[bytes], None],
        clock: Clock,
    ) -> None:
        self._port = address[1]
        self._choose_receivers = choose_receivers
        self._make_report = make_report
        self._on_report = on_report
        self._on_update = on_update
        self._clock = clock
        self._stopped = threading.Event()
        # Set if the next report should not wait for its time.
        self._hurried = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._socket.settimeout(RECEIVE_TIMEOUT_S)

    def start(self) -> None:
        """Start sending and receiving."""
        for name, work in (("reports", self._send_all), ("peers", self._receive_all)):
            threading.Thread(target=work, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop sending and receiving."""
        self._stopped.set()
        self._hurried.set()

    def hurry(self) -> None:
        """Send the next report soon."""
        self._hurried.set()

    def send_now(self) -> None:
        """Send a report to the next receivers of the rotation."""
        report = self._make_report()
        for host in self._choose_receivers():
            self.send(host, report)

    def send(self, host: str, data: bytes) -> None:
        """Send a datagram to another instance."""
        try:
            self._socket.sendto(data, (host, self._port))
        except OSError as error:
            log.debug("datagram to {} not sent: {!r}", host, error)

    def _send_all(self) -> None:
        while not self._stopped.is_set():
            try:
                self.send_now()
            except Exception as error:  # noqa: BLE001
                # Without this thread, callers would not be sent to this instance.
                log.error("unexpected error while reporting: {!r}", error)
            sent_at = self._clock.monotonic()
            if self._clock.wait(self._hurried, REPORT_INTERVAL_S):
                rest_s = sent_at + HURRIED_INTERVAL_S - self._clock.monotonic()
                self._clock.wait(self._stopped, max(0.0, rest_s))
                self._hurried.clear()

    def _receive_all(self) -> None:
        while not self._stopped.is_set():
            try:
                data, _ = self._socket.recvfrom(DATAGRAM_BYTES_MAX)
            except TimeoutError:
                continue
            except OSError as error:
                log.warning("no report received: {!r}", error)
                self._clock.wait(self._stopped, RECEIVE_TIMEOUT_S)
                continue
            try:
                # Reports begin with a zlib header.
                handle = self._on_report if data[:1] == b"x" else self._on_update
                handle(data)
            except ValueError as error:
                log.warning("datagram refused: {}", error)
            except Exception as error:  # noqa: BLE001
                # Without this thread, the instance would not hear of others any more.
                log.error("unexpected error in a datagram: {!r}", error)
        self._socket.close()


__all__ = [
    "ACTIVE_AGE_MAX_S",
    "KNOWN_AGE_MAX_S",
    "REPORT_INTERVAL_S",
    "PeerTable",
    "PeerTransport",
    "choose_addresses",
]
