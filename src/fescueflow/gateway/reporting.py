"""Creation and processing of the reports that instances exchange."""

import threading
from collections.abc import Callable
from dataclasses import replace

import logbook

from fescueflow.core import Clock
from fescueflow.gateway.active_set import RateMeter
from fescueflow.gateway.loads import LoadTracker
from fescueflow.gateway.peers import PeerTable
from fescueflow.gateway.quarantine import PromptQuarantine
from fescueflow.gateway.records import PeerRecord
from fescueflow.gateway.relay import Role, StoreRelay
from fescueflow.gateway.report_codec import (
    PeerReport,
    decode_report,
    encode_report,
)
from fescueflow.gateway.rotation import is_full_report
from fescueflow.gateway.selection import UpstreamSelector

# Reports of a reader from one that lists all instances to the next; the others list
# those that callers are sent to. A fraction of the time for which instances are kept.
READER_FULL_REPORTS = 8
# Reports from one with all known crashes to the next.
CRASH_FULL_REPORTS = 8

log = logbook.Logger("reports")


class Reporter:
    """Creates the reports of this instance and processes those of others.

    Parameters
    ----------
    peers : PeerTable
    loads : LoadTracker
    selector : UpstreamSelector
    clock : Clock
    is_serving : callable
        Returns whether callers may be sent to this instance.
    relay : StoreRelay
        Knows the reader of the zone, which tells the zone who serves.
    quarantine : PromptQuarantine
    """

    def __init__(
        self,
        *,
        peers: PeerTable,
        loads: LoadTracker,
        selector: UpstreamSelector,
        clock: Clock,
        is_serving: Callable[[], bool],
        relay: StoreRelay,
        quarantine: PromptQuarantine,
    ) -> None:
        self._quarantine = quarantine
        self._peers = peers
        self._loads = loads
        self._selector = selector
        self._clock = clock
        self._is_serving = is_serving
        self._relay = relay
        self._rate_meter = RateMeter()
        self._lock = threading.Lock()
        # Whether the next report lists all instances, for one that has just started.
        self._has_new_peer = False

    def record_request(self) -> None:
        """Count a caller's request."""
        with self._lock:
            self._rate_meter.record(self._clock.monotonic())

    def update_own_record(self) -> None:
        """Update the record of this instance."""
        own = self._peers.get_own_record()
        with self._lock:
            rate = self._rate_meter.measure(self._clock.monotonic())
        self._peers.set_own_record(
            replace(
                own,
                sequence=own.sequence + 1,
                is_serving=self._is_serving(),
                rate=rate,
                last_seen_at=self._clock.monotonic(),
            )
        )

    def make_report(self) -> bytes:
        """Return the datagram of the next report."""
        self.update_own_record()
        now = self._clock.monotonic()
        own = self._peers.get_own_record()
        self._selector.limits.record_published(own.rate)
        is_full = self._has_new_peer or own.sequence % CRASH_FULL_REPORTS == 1
        known = [r for r in self._list_known(now) if r.instance != own.instance]
        report = PeerReport(
            records=[own, *known],
            loads=self._loads.list_own_loads(),
            holder_updates=self._selector.take_holder_updates(),
            counts=self._loads.list_counts(now),
            quarantine=self._quarantine.make_report(is_full),
            limits=self._selector.limits.take_updates(),
            speeds=self._selector.speeds.take_updates(now),
        )
        return encode_report(report, now)

    def _list_known(self, now: float) -> list[PeerRecord]:
        """Return the instances that the next report lists.

        Notes
        -----
        In a large fleet, followers name their reader, so that two readers of a zone
        that don't know of each other are found.
        """
        sequence = self._peers.get_own_record().sequence
        is_large = self._peers.is_large(now)
        is_reader = self._relay.role is Role.READER
        if is_large and is_reader:
            is_full = sequence % READER_FULL_REPORTS == 1
        else:
            receivers = self._peers.count_active(now) - 1
            is_full = is_full_report(sequence, receivers)
        if is_full or self._has_new_peer:
            self._has_new_peer = False
            return self._peers.list_recent(now)
        if not is_large:
            return []
        if is_reader:
            return self._peers.list_carrying(now)
        reader = self._relay.find_reader()
        return [] if reader is None else [reader]

    def handle_report(self, data: bytes) -> None:
        """Process a received report.

        Raises
        ------
        ValueError
            If the datagram is malformed.
        """
        now = self._clock.monotonic()
        report = decode_report(data, now)
        sender = report.records[0]
        known = self._peers.find(sender.instance)
        is_outdated = known is not None and known.version > sender.version
        for record in report.records:
            if self._peers.merge(record):
                log.info(
                    "instance seen",
                    extra={"peer": str(record.instance), "zone": str(record.zone)},
                )
                self._has_new_peer = True
                self._selector.announce_all_holders()
        if not is_outdated:
            self._loads.set_peer_loads(sender.instance, report.loads, now)
            self._selector.speeds.merge(sender.instance, report.speeds, now)
        self._loads.merge_counts(report.counts, now)
        self._selector.merge_holder_updates(report.holder_updates)
        self._selector.merge_limits(report.limits)
        crashed = self._quarantine.merge(report.quarantine, sender.instance)
        self._selector.mark_crashed(crashed)


__all__ = ["Reporter"]
