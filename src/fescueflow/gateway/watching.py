"""Tasks that keep beliefs current from the platform's store."""

import threading
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence

import logbook

from fescueflow.core import (
    Clock,
    PlatformUnavailable,
    Randomness,
    Revision,
    UpstreamId,
    ZoneId,
)
from fescueflow.gateway.beliefs import Beliefs
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    OPERATOR_PREFIX,
    TABLE_KEY,
    UPSTREAMS_PREFIX,
    WITHDRAWN_PREFIX,
    HistoryGone,
    MalformedAnswer,
    StoreClient,
    StoreItem,
    StoreReading,
    parse_table,
    parse_upstream,
)

# Longest wait of a watch, in seconds, and the longest silence of the store beyond it.
# Their sum bounds how long a connection that went silent keeps changes away, which
# must be well below the time in which a configuration is to be in force.
WATCH_S = 1.0
SILENCE_S = 0.7
# All that is followed, in one watch: each call of a read is priced alike.
ALL_PREFIXES = ""
# Entries lapse after three heartbeats of silence, so a shorter outage, or a single
# lost connection, removes none.
LAPSE_HEARTBEATS = 2.0
# Pause after a failed call, in seconds, doubled up to the longest; the first is
# far below the time in which a configuration must be in force.
PAUSE_MIN_S = 0.1
PAUSE_MAX_S = 0.8

log = logbook.Logger("store")


class Follower(ABC):
    """Takes over what the store holds below one prefix."""

    prefix: str

    @abstractmethod
    def replace_all(self, items: Iterable[StoreItem]) -> None:
        """Take over a complete reading."""

    @abstractmethod
    def apply(self, item: StoreItem) -> None:
        """Take over one change."""


class UpstreamFollower(Follower):
    """Keeps the upstreams.

    Parameters
    ----------
    beliefs : Beliefs
    clock : Clock
    """

    prefix = UPSTREAMS_PREFIX

    def __init__(self, beliefs: Beliefs, clock: Clock) -> None:
        self._beliefs = beliefs
        self._clock = clock

    def replace_all(self, items: Iterable[StoreItem]) -> None:
        """Take over a complete reading."""
        now = self._clock.monotonic()
        found = []
        for item in items:
            try:
                found.append(parse_upstream(item.key, item.value or b"", now))
            except MalformedAnswer as error:
                log.warning("entry {} left out: {}", item.key, error)
        self._beliefs.replace_upstreams(found, now)
        log.info("upstreams read: {}", len(found))

    def apply(self, item: StoreItem) -> None:
        """Take over one change."""
        now = self._clock.monotonic()
        name = UpstreamId(item.key.removeprefix(UPSTREAMS_PREFIX))
        if item.value is None:
            at_once = self._beliefs.remove_upstream(name, now)
            log.info(
                "upstream removed", extra={"upstream": str(name), "at_once": at_once}
            )
            return
        try:
            upstream = parse_upstream(item.key, item.value, now)
        except MalformedAnswer as error:
            # An entry that can't be read names no upstream to use.
            self._beliefs.remove_upstream(name, now)
            log.warning("entry {} left out: {}", item.key, error)
            return
        self._beliefs.put_upstream(upstream)
        log.info(
            "upstream listed",
            extra={
                "upstream": str(name),
                "state": upstream.state.value,
                "zone": str(upstream.zone),
                "cold_ms": round(max(0.0, upstream.cold_until - now) * 1000),
            },
        )


class OperatorFollower(Follower):
    """Keeps the configuration and the withdrawn zones.

    Parameters
    ----------
    beliefs : Beliefs
    clock : Clock
    """

    prefix = OPERATOR_PREFIX

    def __init__(self, beliefs: Beliefs, clock: Clock) -> None:
        self._beliefs = beliefs
        self._clock = clock

    def replace_all(self, items: Iterable[StoreItem]) -> None:
        """Take over a complete reading."""
        listed = list(items)
        for item in listed:
            if item.key == TABLE_KEY:
                self.apply(item)
        zones = {
            ZoneId(item.key.removeprefix(WITHDRAWN_PREFIX))
            for item in listed
            if item.key.startswith(WITHDRAWN_PREFIX)
        }
        self._set_withdrawn(zones)

    def apply(self, item: StoreItem) -> None:
        """Take over one change."""
        if item.key.startswith(WITHDRAWN_PREFIX):
            zone = ZoneId(item.key.removeprefix(WITHDRAWN_PREFIX))
            withdrawn = self._beliefs.get_withdrawn()
            change = withdrawn - {zone} if item.value is None else withdrawn | {zone}
            self._set_withdrawn(change)
        elif item.key == TABLE_KEY and item.value is not None:
            try:
                table = parse_table(item.value)
            except MalformedAnswer as error:
                log.error("configuration refused, the last one stays: {}", error)
                return
            accepted = self._beliefs.accept_table(table)
            log.info("configuration {} in force: {}", table.version, accepted)

    def _set_withdrawn(self, zones: Iterable[ZoneId]) -> None:
        before = self._beliefs.get_withdrawn()
        self._beliefs.set_withdrawn(zones, self._clock.monotonic())
        after = self._beliefs.get_withdrawn()
        if after != before:
            log.info("withdrawn zones: {}", sorted(after))


class Watcher:
    """Reads what the store holds, then follows its changes, until it is stopped.

    Parameters
    ----------
    client : StoreClient
    followers : sequence of Follower
    beliefs : Beliefs
    heartbeat_s : float
        Interval at which upstreams renew their entries.
    clock : Clock
    randomness : Randomness
    metrics : Metrics

    Notes
    -----
    While the store gives no answer the last belief stays, and its age is known.
    """

    def __init__(
        self,
        *,
        client: StoreClient,
        followers: Sequence[Follower],
        beliefs: Beliefs,
        heartbeat_s: float,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
    ) -> None:
        self._client = client
        self._followers = followers
        self._beliefs = beliefs
        self._lapse_s = LAPSE_HEARTBEATS * heartbeat_s
        self._clock = clock
        self._randomness = randomness
        self._metrics = metrics
        self._stopped = threading.Event()
        self._revision: Revision | None = None
        self._pause_s = 0.0
        self._answered_at = clock.monotonic()

    def start(self) -> None:
        """Start the task."""
        threading.Thread(target=self._work, name="watch", daemon=True).start()

    def stop(self) -> None:
        """End the task after its present call."""
        self._stopped.set()

    def advance(self) -> None:
        """Make one call and take over its answer; pause if there is none."""
        try:
            self._call()
        except HistoryGone:
            log.info("the store's history is gone, all is read again")
            self._revision = None
        except PlatformUnavailable as error:
            self._note_failure(error)
        except Exception as error:  # noqa: BLE001
            # Without this task the instance would serve on old beliefs for good.
            log.error("unexpected: {!r}", error)
            self._revision = None
            self._note_failure(PlatformUnavailable(repr(error)))

    def _work(self) -> None:
        while not self._stopped.is_set():
            self.advance()

    def _call(self) -> None:
        revision = self._revision
        self._metrics.count("store_calls", kind="read" if revision is None else "watch")
        if revision is None:
            reading = self._read_all()
        else:
            reading = self._client.watch(ALL_PREFIXES, revision, WATCH_S)
        self._note_answer()
        if revision is not None:
            for item in reading.items:
                self._apply(item)
        self._revision = reading.revision
        self._beliefs.note_current(self._answered_at)

    def _read_all(self) -> StoreReading:
        reading = self._client.read(ALL_PREFIXES)
        self._note_answer()
        for follower in self._followers:
            prefix = follower.prefix
            follower.replace_all(i for i in reading.items if i.key.startswith(prefix))
        return reading

    def _apply(self, item: StoreItem) -> None:
        for follower in self._followers:
            if item.key.startswith(follower.prefix):
                follower.apply(item)

    def _note_answer(self) -> None:
        now = self._clock.monotonic()
        silent_s, self._answered_at = now - self._answered_at, now
        if not self._pause_s:
            return
        self._pause_s = 0.0
        log.info("the store answers again after {:.1f} s", silent_s)
        if silent_s >= self._lapse_s:
            # Entries may have lapsed: their deletions come now, their returns soon.
            self._beliefs.note_return(now)

    def _note_failure(self, error: PlatformUnavailable) -> None:
        self._metrics.count("store_failures")
        if not self._pause_s:
            log.warning("no answer of the store: {}", error)
        self._pause_s = min(PAUSE_MAX_S, max(PAUSE_MIN_S, self._pause_s * 2))
        spread = self._randomness.uniform(0.5, 1.5)
        self._clock.wait(self._stopped, self._pause_s * spread)


__all__ = [
    "SILENCE_S",
    "WATCH_S",
    "Follower",
    "OperatorFollower",
    "UpstreamFollower",
    "Watcher",
]
