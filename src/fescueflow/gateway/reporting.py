"""Creation and processing of the reports that instances exchange."""

from collections.abc import Callable
from dataclasses import replace

import logbook

from fescueflow.core import Clock
from fescueflow.gateway.loads import LoadTracker
from fescueflow.gateway.peers import (
    ACTIVE_AGE_MAX_S,
    PeerReport,
    PeerTable,
    decode_report,
    encode_report,
)
from fescueflow.gateway.rotation import is_full_report
from fescueflow.gateway.selection import UpstreamSelector

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
    """

    def __init__(
        self,
        *,
        peers: PeerTable,
        loads: LoadTracker,
        selector: UpstreamSelector,
        clock: Clock,
        is_serving: Callable[[], bool],
    ) -> None:
        self._peers = peers
        self._loads = loads
        self._selector = selector
        self._clock = clock
        self._is_serving = is_serving
        # Whether the next report lists all instances, for one that has just started.
        self._has_new_peer = False

    def update_own_record(self) -> None:
        """Update the record of this instance."""
        own = self._peers.get_own_record()
        self._peers.set_own_record(
            replace(
                own,
                sequence=own.sequence + 1,
                is_serving=self._is_serving(),
                last_seen_at=self._clock.monotonic(),
            )
        )

    def make_report(self) -> bytes:
        """Return the datagram of the next report."""
        self.update_own_record()
        now = self._clock.monotonic()
        own, known = self._peers.get_own_record(), []
        receivers = self._peers.count_active(now) - 1
        if is_full_report(own.sequence, receivers) or self._has_new_peer:
            self._has_new_peer = False
            known = [
                p
                for p in self._peers.list_all()
                if now - p.last_seen_at <= ACTIVE_AGE_MAX_S
            ]
        report = PeerReport(
            records=[own, *known],
            loads=self._loads.list_own_loads(),
            holder_updates=self._selector.take_holder_updates(),
            counts=self._loads.list_counts(now),
        )
        return encode_report(report, now)

    def handle_report(self, data: bytes) -> None:
        """Process a received report.

        Raises
        ------
        ValueError
            If the datagram is malformed.
        """
        now = self._clock.monotonic()
        report = decode_report(data, now)
        for record in report.records:
            if self._peers.merge(record):
                log.info(
                    "instance seen",
                    extra={"peer": str(record.instance), "zone": str(record.zone)},
                )
                self._has_new_peer = True
                self._selector.announce_all_holders()
        self._loads.set_peer_loads(report.records[0].instance, report.loads, now)
        self._loads.merge_counts(report.counts, now)
        self._selector.merge_holder_updates(report.holder_updates)


__all__ = ["Reporter"]
