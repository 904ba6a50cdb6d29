"""The instance list, from own readings and those of other instances."""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

import logbook

from fescueflow.core import Clock, PlatformUnavailable, RandomSource, UpstreamId
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    InstanceListClient,
    ListedUpstream,
    ListSnapshot,
    MalformedResponse,
)
from fescueflow.settings import Settings
from fescueflow.transport import Task

READABLE_INTERVALS = 3
# Keeps instances that started together from reading at the same time.
JITTER_RATIO = 0.2
# How often per interval an instance that gets readings from others checks whether
# it must read the list itself.
CHECKS_PER_INTERVAL = 4

log = logbook.Logger("membership")


class ReadingSchedule(ABC):
    """Decides when an instance reads the list itself."""

    @abstractmethod
    def is_due(self) -> bool:
        """Return whether this instance should read the list now."""

    @abstractmethod
    def handle_own_reading(self, snapshot: ListSnapshot) -> None:
        """Handle a reading that this instance has just made."""


class ListService:
    """Reads the instance list; keeps the last snapshot while it can't be read.

    Snapshots come from own readings and from those of other instances. An older
    snapshot never replaces a newer one.

    Parameters
    ----------
    client : InstanceListClient
    settings : Settings
    clock : Clock
    random_source : RandomSource
    metrics : Metrics
    """

    def __init__(
        self,
        *,
        client: InstanceListClient,
        settings: Settings,
        clock: Clock,
        random_source: RandomSource,
        metrics: Metrics,
    ) -> None:
        self._client = client
        self._interval_s = settings.list_interval_ms / 1000
        self._clock = clock
        self._random_source = random_source
        self._metrics = metrics
        self._lock = threading.Lock()
        # Serialises callbacks: own and relayed readings arrive on different threads.
        self._delivery_lock = threading.RLock()
        self._schedule: ReadingSchedule | None = None
        self._snapshot: ListSnapshot | None = None
        self._upstreams: dict[UpstreamId, ListedUpstream] = {}
        self._callbacks: list[Callable[[ListSnapshot], None]] = []
        self._last_failure: str | None = None
        self._task = Task("list", self._run)

    def start(self) -> None:
        """Start reading the list periodically."""
        self._task.start()

    def stop(self) -> None:
        """Stop reading the list."""
        self._task.stop()

    def set_schedule(self, schedule: ReadingSchedule) -> None:
        """Set the schedule; without one, the list is read in every interval."""
        self._schedule = schedule

    def get_snapshot(self) -> ListSnapshot | None:
        """Return the last snapshot, or ``None`` before the first one."""
        return self._snapshot

    def is_readable(self) -> bool:
        """Return whether the last reading is at most 3 intervals old."""
        snapshot = self._snapshot
        if snapshot is None:
            return False
        age_s = self._clock.monotonic() - snapshot.read_at
        return age_s <= READABLE_INTERVALS * self._interval_s

    def subscribe(self, callback: Callable[[ListSnapshot], None]) -> None:
        """Register a callback for each newer reading, changed or not."""
        with self._lock:
            self._callbacks.append(callback)

    def get_upstream(self, upstream: UpstreamId) -> ListedUpstream | None:
        """Return a listed upstream, or ``None`` if the list does not show it."""
        return self._upstreams.get(upstream)

    def refresh(self) -> bool:
        """Read the list once.

        Returns
        -------
        bool
            Whether the list was read.
        """
        try:
            snapshot = self._client.read()
        except MalformedResponse as error:
            return self._handle_failure("malformed", error)
        except PlatformUnavailable as error:
            return self._handle_failure("unavailable", error)
        self._metrics.count("list_readings", result="read")
        if self._last_failure is not None:
            log.info("instance list is readable again")
            self._last_failure = None
        self.accept(snapshot)
        if self._schedule is not None:
            self._schedule.handle_own_reading(snapshot)
        return True

    def accept(self, snapshot: ListSnapshot) -> bool:
        """Use a reading of this or another instance if it is not outdated.

        Parameters
        ----------
        snapshot : ListSnapshot
            ``read_at`` must not be later than the request to the platform, on
            the clock of this instance.

        Returns
        -------
        bool
            False if the snapshot is older than the last one.
        """
        with self._delivery_lock:
            last = self._snapshot
            if last is not None and snapshot.read_at < last.read_at:
                self._metrics.count("list_readings", result="older")
                return False
            if last is None or snapshot.upstreams is not last.upstreams:
                self._upstreams = {item.id: item for item in snapshot.upstreams}
            self._snapshot = snapshot
            with self._lock:
                callbacks = list(self._callbacks)
            for callback in callbacks:
                try:
                    callback(snapshot)
                except Exception as error:
                    self._metrics.count("callback_errors", source="list")
                    log.error("subscriber of the instance list failed: {!r}", error)
        return True

    def _handle_failure(self, result: str, error: Exception) -> bool:
        self._metrics.count("list_readings", result=result)
        if self._last_failure != result:
            log.warning("instance list is {}: {}", result, error)
            self._last_failure = result
        return False

    def step(self) -> float:
        """Read the list if due; return the seconds until the next step."""
        is_due = self._schedule is None or self._schedule.is_due()
        if is_due:
            self.refresh()
        factor = self._random_source.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        parts = 1 if is_due else CHECKS_PER_INTERVAL
        return self._interval_s * factor / parts

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            delay_s = self._interval_s
            try:
                delay_s = self.step()
            except Exception as error:
                self._metrics.count("list_readings", result="failed")
                log.error("reading the instance list failed: {!r}", error)
            self._clock.wait(stopping, delay_s)


__all__ = ["ListService", "ReadingSchedule"]
