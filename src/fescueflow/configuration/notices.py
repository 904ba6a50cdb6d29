"""Sending of notices about learned and confirmed revisions."""

import threading
from dataclasses import dataclass

from fescueflow.configuration.spreading import (
    Origin,
    SpreadStrategy,
    choose_readers,
    list_zone_peers,
)
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import Clock, Randomness, Revision, ZoneId
from fescueflow.membership import Member, MembershipService
from fescueflow.metrics import Metrics
from fescueflow.schema import ConfigurationNotice
from fescueflow.transport import DatagramEndpoint

# A notice is repeated to members that do not show the revision in their heartbeats;
# what is lost even then is repaired by heartbeats.
REPEAT_DELAYS_S = (0.0, 0.3, 1.0)
IDLE_S = 5.0


@dataclass(frozen=True)
class Sending:
    """A notice that is due at a time of the monotonic clock."""

    due_at: float
    notice: ConfigurationNotice
    receivers: tuple[Member, ...]
    confirms: bool


class NoticeSender:
    """Sends notices to the members that a strategy chooses.

    ``spread`` and ``confirm`` queue notices; the task that calls ``step`` sends them.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        membership: MembershipService,
        endpoint: DatagramEndpoint,
        strategy: SpreadStrategy,
        readers: int,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
        wake: threading.Event,
    ) -> None:
        self._store = store
        self._membership = membership
        self._endpoint = endpoint
        self._strategy = strategy
        self._readers = readers
        self._clock = clock
        self._randomness = randomness
        self._metrics = metrics
        self._wake = wake
        self._lock = threading.Lock()
        self._queue: list[Sending] = []

    def spread(self, origin: Origin) -> None:
        """Notify members of the revision in force, which was just learned."""
        self._metrics.count("configuration_learned", origin=origin.value)
        notice = self._make_notice(relayed=origin is not Origin.SERVICE)
        chosen = self._strategy.choose_receivers(
            origin,
            self._membership.get_own(),
            self._membership.get_members(),
            self._find_readers(),
            self._randomness,
        )
        now = self._clock.monotonic()
        receivers = tuple(chosen)
        self._add([Sending(now + d, notice, receivers, False) for d in REPEAT_DELAYS_S])

    def confirm(self) -> None:
        """Tell the own zone that the service was just read."""
        if not self._store.get_revision():
            return
        own, members = self._membership.get_own(), self._membership.get_members()
        receivers = tuple(list_zone_peers(own, members))
        notice = self._make_notice(relayed=False)
        self._add([Sending(self._clock.monotonic(), notice, receivers, True)])

    def step(self) -> float:
        """Send what is due; return the seconds until the next notice."""
        now = self._clock.monotonic()
        with self._lock:
            due = [sending for sending in self._queue if sending.due_at <= now]
            self._queue = [sending for sending in self._queue if sending.due_at > now]
            next_at = min((s.due_at for s in self._queue), default=now + IDLE_S)
        for sending in due:
            self._send(sending)
        return next_at - now

    def _add(self, sendings: list[Sending]) -> None:
        with self._lock:
            self._queue += [sending for sending in sendings if sending.receivers]
        self._wake.set()

    def _make_notice(self, relayed: bool) -> ConfigurationNotice:
        configuration = self._store.get()
        if configuration is None:
            return ConfigurationNotice()
        return ConfigurationNotice(
            configuration.revision, configuration.digest, relayed
        )

    def _find_readers(self) -> dict[ZoneId, list[Member]]:
        live = self._membership.get_live()
        wall_s = self._clock.wall()
        zones = {member.zone for member in live}
        return {
            zone: choose_readers(zone, live, wall_s, self._readers) for zone in zones
        }

    def _send(self, sending: Sending) -> None:
        revision = Revision(sending.notice.revision)
        if revision < self._store.get_revision():
            return
        addresses = []
        for receiver in sending.receivers:
            current = self._membership.get_member(receiver.instance)
            informed = current is not None and current.revision >= revision
            if sending.confirms or not informed:
                addresses.append(receiver.peer_address)
        if addresses:
            self._endpoint.send_all(addresses, sending.notice)
            self._metrics.count("configuration_notices_sent", len(addresses))


__all__ = ["NoticeSender"]
