"""Instances of the fleet, and the datagrams in which they report themselves."""

import json
import socket
import threading
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import logbook

from fescueflow.core import Clock, InstanceId, Randomness, UpstreamId, ZoneId
from fescueflow.gateway.counts import CountNews
from fescueflow.gateway.turns import ReceiverTurns
from fescueflow.routing import HolderNews, ServiceId

# Interval of the reports, in seconds: a quarter of the age at which loads are dropped.
REPORT_S = 0.35
# An instance that nobody has heard for this long is not named to callers, in
# seconds: four reports, so that a lost datagram does not remove it.
SILENCE_MAX_S = 1.5
# An instance counts for shared budgets for this long after its last sign, in
# seconds: the longest window of the budgets.
COUNT_S = 10.0
DATAGRAM_BYTES_MAX = 60_000
# Bytes of a report before it is compressed: several times the largest one.
REPORT_BYTES_MAX = 1 << 20
# What reports have in common, for their compression.
REPORT_WORDS = (
    b'{"members":[["edge-10.,"],true,0.0],false,0.0],"loads":{"i-":[1,0],"i-":[2,0],'
    b'"i-":[0,0]},"holders":[["",0.0],[],"counts":[["i-",10,0.0],["i-",20,0.1]]}'
)
RECEIVE_TIMEOUT_S = 0.2

log = logbook.Logger("peers")


@dataclass(frozen=True)
class PeerRecord:
    """An instance; ``heard_at`` is when it last gave a sign, as far as known."""

    instance: InstanceId
    host: str
    callers_address: str
    zone: ZoneId
    incarnation: int
    sequence: int
    is_serving: bool
    heard_at: float

    @property
    def version(self) -> tuple[int, int]:
        """Order of the records of one instance."""
        return self.incarnation, self.sequence


class PeerTable:
    """Instances that this one knows, itself among them.

    Parameters
    ----------
    own : PeerRecord
    """

    def __init__(self, own: PeerRecord) -> None:
        self._lock = threading.Lock()
        self._own = own
        self._peers: dict[InstanceId, PeerRecord] = {}

    def set_own(self, own: PeerRecord) -> None:
        """Replace the own record."""
        with self._lock:
            self._own = own

    def get_own(self) -> PeerRecord:
        """Return the own record."""
        return self._own

    def merge(self, record: PeerRecord) -> bool:
        """Take over a record unless a later one is known; return whether it is new."""
        if record.instance == self._own.instance:
            return False
        with self._lock:
            known = self._peers.get(record.instance)
            if known is not None and known.version > record.version:
                return False
            if known is not None and known.version == record.version:
                if record.heard_at <= known.heard_at:
                    return False
            self._peers[record.instance] = record
            return known is None or known.incarnation != record.incarnation

    def list_all(self) -> list[PeerRecord]:
        """Return all other instances that were ever known."""
        with self._lock:
            return list(self._peers.values())

    def list_serving(self, now: float) -> list[PeerRecord]:
        """Return the instances that callers may be sent to, this one if it serves."""
        others = [
            peer
            for peer in self.list_all()
            if peer.is_serving and now - peer.heard_at <= SILENCE_MAX_S
        ]
        return [self._own, *others] if self._own.is_serving else others

    def count(self, now: float) -> int:
        """Return the number of instances that share a budget."""
        return 1 + sum(now - peer.heard_at <= COUNT_S for peer in self.list_all())


def choose_addresses(serving: list[PeerRecord], zone: str, count_max: int) -> list[str]:
    """Return the addresses for a caller.

    Parameters
    ----------
    serving : list of PeerRecord
    zone : str
        Of the caller.
    count_max : int

    Notes
    -----
    Instances of the caller's zone spare the way between zones; with fewer than two
    of them a single loss would leave the caller without an address.
    """
    near = [peer for peer in serving if peer.zone == zone]
    chosen = near if len(near) > 1 else serving
    return [peer.callers_address for peer in chosen[:count_max]]


@dataclass(frozen=True)
class PeerReport:
    """What an instance tells of itself and others, its own record first."""

    records: list[PeerRecord]
    loads: Mapping[UpstreamId, tuple[int, int]] = field(default_factory=dict)
    news: list[HolderNews] = field(default_factory=list)
    counts: list[CountNews] = field(default_factory=list)


def encode_report(report: PeerReport, now: float) -> bytes:
    """Return the datagram of a report."""
    document = {
        "members": [
            encode_record(r, max(0.0, now - r.heard_at)) for r in report.records
        ],
        "loads": report.loads,
        "holders": [
            [news.service, news.key, news.upstream, round(news.age_s, 2)]
            for news in report.news
        ],
        "counts": [
            [news.upstream, news.count, round(news.age_s, 2)] for news in report.counts
        ],
    }
    return pack_report(json.dumps(document, separators=(",", ":")).encode())


def pack_report(text: bytes) -> bytes:
    """Return the datagram that carries the text of a report.

    Notes
    -----
    Reports go to other zones by links of a few Mbit/s, on which they hold up answers.
    """
    packer = zlib.compressobj(zdict=REPORT_WORDS)
    return packer.compress(text) + packer.flush()


def unpack_report(data: bytes) -> bytes:
    """Return the text of a report.

    Raises
    ------
    ValueError
        If the datagram is no complete report within the size.
    """
    unpacker = zlib.decompressobj(zdict=REPORT_WORDS)
    try:
        text = unpacker.decompress(data, REPORT_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(f"malformed report: {error}") from error
    if not unpacker.eof:
        raise ValueError("a report is cut or too large")
    return text


def encode_record(record: PeerRecord, age_s: float) -> list[Any]:
    """Return a record as a list, with the age of its last sign."""
    return [
        record.instance,
        record.host,
        record.callers_address,
        record.zone,
        record.incarnation,
        record.sequence,
        record.is_serving,
        round(age_s, 2),
    ]


def decode_report(data: bytes, now: float) -> PeerReport:
    """Return the report of a datagram.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    document = json.loads(unpack_report(data))
    try:
        records = [decode_record(entry, now) for entry in document["members"]]
        loads = {
            UpstreamId(name): (int(running), int(tokens))
            for name, (running, tokens) in document["loads"].items()
        }
        news = [
            HolderNews(
                ServiceId(str(service)),
                str(key),
                UpstreamId(str(upstream)),
                max(0.0, float(age_s)),
            )
            for service, key, upstream, age_s in document["holders"]
        ]
        # Instances of earlier versions send no counts.
        counts = [
            CountNews(UpstreamId(str(upstream)), int(count), max(0.0, float(age_s)))
            for upstream, count, age_s in document.get("counts", [])
        ]
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"malformed report: {error!r}") from error
    if not records:
        raise ValueError("a report names no instance")
    return PeerReport(records, loads, news, counts)


def decode_record(entry: Any, now: float) -> PeerRecord:
    """Return the record that a list holds."""
    name, host, address, zone, incarnation, sequence, serving, age_s = entry
    return PeerRecord(
        InstanceId(str(name)),
        str(host),
        str(address),
        ZoneId(str(zone)),
        int(incarnation),
        int(sequence),
        bool(serving),
        now - max(0.0, float(age_s)),
    )


class PeerLink:
    """Sends and receives reports.

    Parameters
    ----------
    table : PeerTable
    seeds : tuple of str
        Hosts that are asked first; they may be down.
    address : tuple of str and int
        Own host and the port of all instances.
    make_report : callable
        Returns the datagram to send.
    on_report : callable
        Takes each received datagram.
    """

    def __init__(
        self,
        *,
        table: PeerTable,
        seeds: tuple[str, ...],
        address: tuple[str, int],
        make_report: Callable[[], bytes],
        on_report: Callable[[bytes], None],
        clock: Clock,
        randomness: Randomness,
    ) -> None:
        self._table = table
        self._seeds = seeds
        self._host, self._port = address
        self._make_report = make_report
        self._on_report = on_report
        self._clock = clock
        self._turns = ReceiverTurns(randomness)
        self._stopped = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._socket.settimeout(RECEIVE_TIMEOUT_S)

    def start(self) -> None:
        """Start sending and receiving."""
        for name, work in (("reports", self._send_all), ("peers", self._receive_all)):
            threading.Thread(target=work, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop; the last report says that this instance has left."""
        self._stopped.set()

    def send_now(self) -> None:
        """Send a report to the next receivers."""
        report = self._make_report()
        for host in self._choose_receivers():
            try:
                self._socket.sendto(report, (host, self._port))
            except OSError as error:
                log.debug("report to {} not sent: {!r}", host, error)

    def _choose_receivers(self) -> list[str]:
        known = {peer.host for peer in self._table.list_all() if not self._is_old(peer)}
        return self._turns.take(sorted((known | set(self._seeds)) - {self._host}))

    def _is_old(self, peer: PeerRecord) -> bool:
        return self._clock.monotonic() - peer.heard_at > COUNT_S * 6

    def _send_all(self) -> None:
        while not self._stopped.is_set():
            self.send_now()
            self._clock.wait(self._stopped, REPORT_S)

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
                self._on_report(data)
            except ValueError as error:
                log.warning("report refused: {}", error)


__all__ = [
    "COUNT_S",
    "REPORT_S",
    "PeerLink",
    "PeerRecord",
    "PeerReport",
    "PeerTable",
    "choose_addresses",
    "decode_report",
    "encode_report",
    "pack_report",
    "unpack_report",
]
