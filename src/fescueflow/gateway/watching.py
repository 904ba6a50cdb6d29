"""Tasks that keep beliefs current from the platform's store."""

import threading
from abc import ABC, abstractmethod
from collections.abc import Iterable

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
    parse_table,
    parse_upstream,
)

# Longest wait of a watch, in seconds: bounds how long a connection that went silent
# keeps changes away.
WATCH_S = 5.0
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
            log.info("upstream {} removed, in force: {}", name, at_once)
            return
        try:
            upstream = parse_upstream(item.key, item.value, now)
        except MalformedAnswer as error:
            # An entry that can't be read names no upstream to use.
            self._beliefs.remove_upstream(name, now)
            log.warning("entry {} left out: {}", item.key, error)
            return
        self._beliefs.put_upstream(upstream)
        cold_s = max(0.0, upstream.cold_until - now)
        log.info(
            "upstream {} {} in {}, cold for {:.1f} s",
            name,
            upstream.state.value,
            upstream.zone,
            cold_s,
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
    """Reads a prefix, then follows its changes, until it is stopped.

    Parameters
    ----------
    client : StoreClient
    follower : Follower
    beliefs : Beliefs
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
        follower: Follower,
        beliefs: Beliefs,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
    ) -> None:
        self._client = client
        self._follower = follower
        self._beliefs = beliefs
        self._clock = clock
        self._randomness = randomness
        self._metrics = metrics
        self._stopped = threading.Event()
        self._revision: Revision | None = None
        self._pause_s = 0.0

    def start(self) -> None:
        """Start the task."""
        name = f"watch {self._follower.prefix}"
        threading.Thread(target=self._work, name=name, daemon=True).start()

    def stop(self) -> None:
        """End the task after its present call."""
        self._stopped.set()

    def _work(self) -> None:
        while not self._stopped.is_set():
            try:
                self._advance()
            except HistoryGone:
                log.info("{}: history is gone, read again", self._follower.prefix)
                self._revision = None
            except PlatformUnavailable as error:
                self._note_failure(error)
            except Exception as error:  # noqa: BLE001
                # Without this task the instance would serve on old beliefs for good.
                log.error("{}: unexpected: {!r}", self._follower.prefix, error)
                self._revision = None
                self._note_failure(PlatformUnavailable(repr(error)))

    def _advance(self) -> None:
        """Make one call and take over its answer."""
        prefix = self._follower.prefix
        revision = self._revision
        self._metrics.count("store_calls", kind="read" if revision is None else "watch")
        if revision is None:
            reading = self._client.read(prefix)
        else:
            reading = self._client.watch(prefix, revision, WATCH_S)
        now = self._clock.monotonic()
        if self._pause_s:
            self._pause_s = 0.0
            # A watch that failed may have missed nothing, but entries may have
            # lapsed meanwhile: their deletions come now, their returns soon.
            self._beliefs.note_return(now)
            log.info("{}: the store answers again", prefix)
        if revision is None:
            self._follower.replace_all(reading.items)
        else:
            for item in reading.items:
                self._follower.apply(item)
        self._revision = reading.revision
        self._beliefs.note_current(prefix, now)

    def _note_failure(self, error: PlatformUnavailable) -> None:
        self._metrics.count("store_failures", prefix=self._follower.prefix)
        if not self._pause_s:
            log.warning("{}: no answer of the store: {}", self._follower.prefix, error)
        self._pause_s = min(PAUSE_MAX_S, max(PAUSE_MIN_S, self._pause_s * 2))
        spread = self._randomness.uniform(0.5, 1.5)
        self._clock.wait(self._stopped, self._pause_s * spread)


__all__ = ["Follower", "OperatorFollower", "UpstreamFollower", "Watcher"]
