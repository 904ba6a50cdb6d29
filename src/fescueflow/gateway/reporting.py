"""What an instance tells the others, and what it takes over from them."""

from collections.abc import Callable
from dataclasses import replace

import logbook

from fescueflow.core import Clock
from fescueflow.gateway.choice import Chooser
from fescueflow.gateway.loads import LoadBook
from fescueflow.gateway.peers import (
    COUNT_S,
    PeerReport,
    PeerTable,
    decode_report,
    encode_report,
)
from fescueflow.gateway.turns import is_full_report

log = logbook.Logger("reports")


class Reporter:
    """Makes reports and takes over those of others.

    Parameters
    ----------
    peers : PeerTable
    loads : LoadBook
    chooser : Chooser
    clock : Clock
    is_serving : callable
        Returns whether callers may be sent to this instance.
    """

    def __init__(
        self,
        *,
        peers: PeerTable,
        loads: LoadBook,
        chooser: Chooser,
        clock: Clock,
        is_serving: Callable[[], bool],
    ) -> None:
        self._peers = peers
        self._loads = loads
        self._chooser = chooser
        self._clock = clock
        self._is_serving = is_serving
        # Whether the next report tells a newcomer of all instances.
        self._has_newcomer = False

    def update_own(self) -> None:
        """Renew the own record."""
        own = self._peers.get_own()
        self._peers.set_own(
            replace(
                own,
                sequence=own.sequence + 1,
                is_serving=self._is_serving(),
                heard_at=self._clock.monotonic(),
            )
        )

    def make_report(self) -> bytes:
        """Return the datagram of the next report."""
        self.update_own()
        now = self._clock.monotonic()
        own, known = self._peers.get_own(), []
        receivers = self._peers.count(now) - 1
        if is_full_report(own.sequence, receivers) or self._has_newcomer:
            self._has_newcomer = False
            known = [p for p in self._peers.list_all() if now - p.heard_at <= COUNT_S]
        report = PeerReport(
            records=[own, *known],
            loads=self._loads.list_own(),
            news=self._chooser.take_news(),
            counts=self._loads.list_counts(now),
        )
        return encode_report(report, now)

    def take_report(self, data: bytes) -> None:
        """Take over a report.

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
                self._has_newcomer = True
                self._chooser.announce_all()
        self._loads.set_peer(report.records[0].instance, report.loads, now)
        self._loads.merge_counts(report.counts, now)
        self._chooser.merge_news(report.news)


__all__ = ["Reporter"]
