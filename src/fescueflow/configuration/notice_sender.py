"""Sending of notices that announce or confirm a revision."""

import threading
from dataclasses import dataclass

from fescueflow.configuration.dissemination import (
    DisseminationStrategy,
    Origin,
    choose_readers,
    get_zone_peers,
)
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import Clock, RandomSource, Revision, ZoneId
from fescueflow.membership import Member, MembershipService
from fescueflow.metrics import Metrics
from fescueflow.schema import ConfigurationNotice
from fescueflow.transport import DatagramEndpoint

# When a notice is sent and repeated. Each time it goes only to members whose heartbeats
# do not show the revision yet. Members that lose all of them learn the revision from
# heartbeats.
REPEAT_DELAYS_S = (0.0, 0.3, 1.0)
IDLE_DELAY_S = 5.0


@dataclass(frozen=True)
class ScheduledNotice:
    """A notice and the monotonic time at which it is due.

    A confirmation is also sent to members that already have the revision.
    """

    due_at: float
    notice: ConfigurationNotice
    receivers: tuple[Member, ...]
    is_confirmation: bool


class NoticeSender:
    """Sends notices to the members that a strategy chooses.

    ``announce_revision`` and ``announce_confirmation`` queue notices; the task that
    calls ``step`` sends them.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        membership: MembershipService,
        endpoint: DatagramEndpoint,
        strategy: DisseminationStrategy,
        reader_count: int,
        clock: Clock,
        random_source: RandomSource,
        metrics: Metrics,
        wake_event: threading.Event,
    ) -> None:
        self._store = store
        self._membership = membership
        self._endpoint = endpoint
        self._strategy = strategy
        self._reader_count = reader_count
        self._clock = clock
        self._random_source = random_source
        self._metrics = metrics
        self._wake_event = wake_event
        self._lock = threading.Lock()
        self._queue: list[ScheduledNotice] = []

    def announce_revision(self, origin: Origin) -> None:
        """Announce the current revision, which this instance has just learned."""
        self._metrics.count("configuration_learned", origin=origin.value)
        notice = self._make_notice(relayed=origin is not Origin.SERVICE)
        chosen = self._strategy.choose_receivers(
            origin,
            self._membership.get_own_member(),
            self._membership.get_members(),
            self._choose_readers_by_zone(),
            self._random_source,
        )
        now = self._clock.monotonic()
        receivers = tuple(chosen)
        self._enqueue(
            [
                ScheduledNotice(now + delay_s, notice, receivers, False)
                for delay_s in REPEAT_DELAYS_S
            ]
        )

    def announce_confirmation(self) -> None:
        """Tell the members of the own zone that the service was just read."""
        if not self._store.get_revision():
            return
        own, members = self._membership.get_own_member(), self._membership.get_members()
        receivers = tuple(get_zone_peers(own, members))
        notice = self._make_notice(relayed=False)
        self._enqueue(
            [ScheduledNotice(self._clock.monotonic(), notice, receivers, True)]
        )

    def step(self) -> float:
        """Send the notices that are due; return the seconds until the next one."""
        now = self._clock.monotonic()
        with self._lock:
            due = [scheduled for scheduled in self._queue if scheduled.due_at <= now]
            self._queue = [
                scheduled for scheduled in self._queue if scheduled.due_at > now
            ]
            next_at = min(
                (scheduled.due_at for scheduled in self._queue),
                default=now + IDLE_DELAY_S,
            )
        for scheduled in due:
            self._send(scheduled)
        return next_at - now

    def _enqueue(self, scheduled_notices: list[ScheduledNotice]) -> None:
        with self._lock:
            self._queue += [
                scheduled for scheduled in scheduled_notices if scheduled.receivers
            ]
        self._wake_event.set()

    def _make_notice(self, relayed: bool) -> ConfigurationNotice:
        configuration = self._store.get()
        if configuration is None:
            return ConfigurationNotice()
        return ConfigurationNotice(
            configuration.revision, configuration.digest, relayed
        )

    def _choose_readers_by_zone(self) -> dict[ZoneId, list[Member]]:
        live = self._membership.get_live()
        wall_s = self._clock.wall_time()
        zones = {member.zone for member in live}
        return {
            zone: choose_readers(zone, live, wall_s, self._reader_count)
            for zone in zones
        }

    def _send(self, scheduled: ScheduledNotice) -> None:
        revision = Revision(scheduled.notice.revision)
        if revision < self._store.get_revision():
            return
        addresses = []
        for receiver in scheduled.receivers:
            current = self._membership.get_member(receiver.instance)
            has_revision = current is not None and current.revision >= revision
            if scheduled.is_confirmation or not has_revision:
                addresses.append(receiver.peer_address)
        if addresses:
            self._endpoint.send_all(addresses, scheduled.notice)
            self._metrics.count("configuration_notices_sent", len(addresses))


__all__ = ["NoticeSender"]
