"""Choice of the instances that get a report.

Each report goes to all instances of a small fleet. In a large one, the active instances
report to each other by turns, so that each knows the loads of the others within about a
second, and everyone reports to the reader of its zone, which tells the zone who serves.
"""

from fescueflow.core import Clock, RandomSource
from fescueflow.gateway.peers import KNOWN_AGE_MAX_S, PeerTable
from fescueflow.gateway.relay import StoreRelay
from fescueflow.gateway.rotation import REPORT_FANOUT, ReceiverRotation

# Further receivers of each report in a large fleet, drawn by turns from all instances.
# They keep instances known to each other while readers change.
DISCOVERY_FANOUT = 2


class ReceiverChooser:
    """Chooses the receivers of each report of this instance.

    Parameters
    ----------
    peers : PeerTable
    relay : StoreRelay
    seeds : tuple of str
        Hosts that are reported to until other instances are known; they may be down.
    clock : Clock
    random_source : RandomSource
    """

    def __init__(
        self,
        *,
        peers: PeerTable,
        relay: StoreRelay,
        seeds: tuple[str, ...],
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._peers = peers
        self._relay = relay
        self._seeds = seeds
        self._clock = clock
        self._carrying_rotation = ReceiverRotation(random_source)
        self._discovery_rotation = ReceiverRotation(random_source, DISCOVERY_FANOUT)

    def choose(self) -> list[str]:
        """Return the hosts of the receivers of the next report."""
        now = self._clock.monotonic()
        own = self._peers.get_own_record()
        known = {
            peer.host
            for peer in self._peers.list_all()
            if now - peer.last_seen_at <= KNOWN_AGE_MAX_S
        }
        hosts = sorted((known | set(self._seeds)) - {own.host})
        if len(hosts) <= REPORT_FANOUT:
            return hosts
        chosen = set(self._discovery_rotation.next_receivers(hosts))
        chosen.update(self._relay.list_report_hosts())
        carrying = self._peers.list_carrying(now)
        if any(record.instance == own.instance for record in carrying):
            others = sorted(record.host for record in carrying)
            others = [host for host in others if host != own.host]
            chosen.update(self._carrying_rotation.next_receivers(others))
        return sorted(chosen)


__all__ = ["ReceiverChooser"]
