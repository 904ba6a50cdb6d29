"""Readings of the configuration service by one instance."""

import threading
from collections.abc import Callable

from fescueflow.configuration.fetching import (
    Fetcher,
    FetchFailed,
    Manifest,
    ServiceSource,
)
from fescueflow.configuration.notices import NoticeSender
from fescueflow.configuration.spreading import Origin, choose_readers
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import Clock, Randomness, Revision
from fescueflow.membership import MembershipService
from fescueflow.metrics import Metrics
from fescueflow.schema import Settings

# A waiting watch can't be interrupted, and the service must stop within 2 s.
WATCH_S_MAX = 1.5
# Notices of a reader are lost with the network's datagram loss: this many of them
# fit into the time after which an instance reads the service by itself.
CONFIRMATIONS_PER_STALE = 3
BACK_OFF_MIN_S = 1.0
BACK_OFF_MAX_S = 30.0
# Readers retry sooner than other instances because their zone waits for them.
READER_BACK_OFF_MAX_S = 5.0
DOUBLINGS_MAX = 10
TICK_S = 0.25
AGAIN_S = 0.01


class ServiceReading:
    """Watches the service as a reader; reads it when nothing confirms.

    All calls but ``confirm``, ``get_age`` and ``request`` are made by one task.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        store: ConfigurationStore,
        service: ServiceSource,
        membership: MembershipService,
        notices: NoticeSender,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
        is_stopped: Callable[[], bool],
    ) -> None:
        self._store = store
        self._service = service
        self._membership = membership
        self._notices = notices
        self._clock = clock
        self._randomness = randomness
        self._metrics = metrics
        self._is_stopped = is_stopped
        self._fetcher = Fetcher(store, metrics)
        self._readers = settings.configuration_readers
        self._stale_s = settings.configuration_stale_after_ms / 1000
        self._watch_s = min(WATCH_S_MAX, self._stale_s / CONFIRMATIONS_PER_STALE)
        self._lock = threading.Lock()
        self._confirmed_at = clock.monotonic()
        self._due_at: float | None = None
        self._requested_at: float | None = None
        self._requested_for = Revision(0)
        self._requests = 0
        self._failures = 0
        self._seen = Revision(0)
        self._plain_next = True

    def get_age(self) -> float:
        """Return seconds since the last confirmation."""
        return self._clock.monotonic() - self._confirmed_at

    def confirm(self) -> None:
        """Note that the service was just read, here or by another member."""
        with self._lock:
            self._confirmed_at = self._clock.monotonic()
            self._due_at = None

    def request(self) -> None:
        """Let this instance read the service although it may be confirmed.

        Repeated requests without a new revision wait longer, up to 30 s.
        """
        with self._lock:
            if self._requested_at is not None:
                return
            revision = self._store.get_revision()
            if revision != self._requested_for:
                self._requests, self._requested_for = 0, revision
            grown_s = min(BACK_OFF_MAX_S, BACK_OFF_MIN_S * 2**self._requests)
            self._requests = min(self._requests + 1, DOUBLINGS_MAX)
            delay_s = grown_s * self._randomness.uniform(0.5, 1.0)
            self._requested_at = self._clock.monotonic() + delay_s

    def step(self) -> float:
        """Read the service if it is this instance's turn.

        Returns
        -------
        float
            Seconds until the next step.
        """
        if self._is_reader():
            return self._read_as_reader()
        self._plain_next = True
        now = self._clock.monotonic()
        with self._lock:
            if now - self._confirmed_at >= self._stale_s and self._due_at is None:
                self._due_at = now + self._randomness.uniform(0.0, BACK_OFF_MIN_S)
            times = [t for t in (self._due_at, self._requested_at) if t is not None]
        due = min(times, default=now + TICK_S)
        if now < due:
            return min(TICK_S, due - now)
        with self._lock:
            self._requested_at = None
        self._metrics.count("configuration_own_readings")
        return min(TICK_S, self._read(BACK_OFF_MAX_S))

    def _is_reader(self) -> bool:
        own = self._membership.get_own()
        live = self._membership.get_live()
        wall_s = self._clock.wall()
        readers = choose_readers(own.zone, live, wall_s, self._readers)
        return any(reader.instance == own.instance for reader in readers)

    def _read_as_reader(self) -> float:
        watched = not self._plain_next
        started = self._clock.monotonic()
        delay_s = self._read(READER_BACK_OFF_MAX_S)
        if not watched or delay_s == 0.0:
            return delay_s
        # A watch that returns at once without news must not become a busy loop.
        return max(delay_s, self._watch_s - (self._clock.monotonic() - started))

    def _read(self, back_off_max_s: float) -> float:
        """Read or watch the manifest once; return the delay before the next time.

        Notes
        -----
        A plain reading shows whether the service is behind this instance; a watch
        only tells of later revisions.
        """
        try:
            if self._plain_next:
                manifest: Manifest | None = self._service.read_manifest()
            else:
                after = max(self._store.get_revision(), self._seen)
                manifest = self._service.watch_manifest(after, self._watch_s)
            if manifest and manifest.revision < self._store.get_revision():
                self._metrics.count("configuration_service_older")
                return self._back_off(back_off_max_s)
            return self._use(manifest)
        except FetchFailed:
            self._metrics.count("configuration_fetch_failures", source="service")
            return self._back_off(back_off_max_s)

    def _back_off(self, back_off_max_s: float) -> float:
        self._plain_next = True
        self._failures = min(self._failures + 1, DOUBLINGS_MAX)
        grown_s = min(back_off_max_s, BACK_OFF_MIN_S * 2**self._failures)
        delay_s = max(BACK_OFF_MIN_S, grown_s * self._randomness.uniform(0.5, 1.0))
        with self._lock:
            self._due_at = self._clock.monotonic() + delay_s
        return delay_s

    def _use(self, manifest: Manifest | None) -> float:
        accepted = False
        if manifest is not None:
            accepted = self._fetcher.complete(manifest, self._service, self._is_stopped)
            # A refused revision is not returned by the next watch.
            self._seen = max(self._seen, manifest.revision)
        self._plain_next = False
        self._failures = 0
        self.confirm()
        if accepted:
            self._notices.spread(Origin.SERVICE)
            return 0.0
        self._notices.confirm()
        return AGAIN_S


__all__ = ["ServiceReading"]
