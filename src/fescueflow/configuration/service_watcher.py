"""Reading and watching of the configuration service by one instance."""

import threading
from collections.abc import Callable

from fescueflow.configuration.dissemination import Origin, choose_readers
from fescueflow.configuration.fetching import (
    FetchError,
    Manifest,
    RevisionFetcher,
    ServiceSource,
)
from fescueflow.configuration.notice_sender import NoticeSender
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import Clock, RandomSource, Revision
from fescueflow.membership import MembershipService
from fescueflow.metrics import Metrics
from fescueflow.schema import Settings

# A pending watch can't be interrupted, and ``ConfigurationService.stop`` must return
# within 2 s.
WATCH_TIMEOUT_MAX_S = 1.5
# A reader sends this many confirmations within the time after which an instance reads
# the service itself, because notices are datagrams and may be lost.
CONFIRMATIONS_PER_STALE_PERIOD = 3
BACK_OFF_MIN_S = 1.0
BACK_OFF_MAX_S = 30.0
# Readers retry sooner than other instances because their zone depends on them.
READER_BACK_OFF_MAX_S = 5.0
DOUBLINGS_MAX = 10
POLL_INTERVAL_S = 0.25
NEXT_WATCH_DELAY_S = 0.01


class ServiceWatcher:
    """Watches the service if this instance is a reader of its zone.

    Other instances read the service only when they received no confirmation for
    too long or after ``request_read``. One task calls ``step`` repeatedly;
    ``mark_confirmed``, ``get_confirmation_age`` and ``request_read`` may be called
    from any thread.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        store: ConfigurationStore,
        service_source: ServiceSource,
        membership: MembershipService,
        notice_sender: NoticeSender,
        clock: Clock,
        random_source: RandomSource,
        metrics: Metrics,
        is_stopped: Callable[[], bool],
    ) -> None:
        self._store = store
        self._service_source = service_source
        self._membership = membership
        self._notice_sender = notice_sender
        self._clock = clock
        self._random_source = random_source
        self._metrics = metrics
        self._is_stopped = is_stopped
        self._fetcher = RevisionFetcher(store, metrics)
        self._reader_count = settings.configuration_readers
        self._stale_after_s = settings.configuration_stale_after_ms / 1000
        self._watch_timeout_s = min(
            WATCH_TIMEOUT_MAX_S, self._stale_after_s / CONFIRMATIONS_PER_STALE_PERIOD
        )
        self._lock = threading.Lock()
        self._confirmed_at = clock.monotonic()
        self._due_at: float | None = None
        self._requested_at: float | None = None
        self._requested_revision = Revision(0)
        self._request_count = 0
        self._failure_count = 0
        self._highest_seen = Revision(0)
        self._next_is_plain_read = True

    def get_confirmation_age(self) -> float:
        """Return the seconds since the last confirmation."""
        return self._clock.monotonic() - self._confirmed_at

    def mark_confirmed(self) -> None:
        """Record that this or another member has just read the service."""
        with self._lock:
            self._confirmed_at = self._clock.monotonic()
            self._due_at = None

    def request_read(self) -> None:
        """Schedule a read of the service even if the revision is confirmed.

        The delay of repeated requests grows up to 30 s until a new revision arrives.
        """
        with self._lock:
            if self._requested_at is not None:
                return
            revision = self._store.get_revision()
            if revision != self._requested_revision:
                self._request_count, self._requested_revision = 0, revision
            backoff_limit_s = min(
                BACK_OFF_MAX_S, BACK_OFF_MIN_S * 2**self._request_count
            )
            self._request_count = min(self._request_count + 1, DOUBLINGS_MAX)
            delay_s = backoff_limit_s * self._random_source.uniform(0.5, 1.0)
            self._requested_at = self._clock.monotonic() + delay_s

    def step(self) -> float:
        """Read or watch the service if a read is due or this instance is a reader.

        Returns
        -------
        float
            Seconds until the next step.
        """
        if self._is_reader():
            return self._read_as_reader()
        self._next_is_plain_read = True
        now = self._clock.monotonic()
        with self._lock:
            if now - self._confirmed_at >= self._stale_after_s and self._due_at is None:
                self._due_at = now + self._random_source.uniform(0.0, BACK_OFF_MIN_S)
            times = [t for t in (self._due_at, self._requested_at) if t is not None]
        due_at = min(times, default=now + POLL_INTERVAL_S)
        if now < due_at:
            return min(POLL_INTERVAL_S, due_at - now)
        with self._lock:
            self._requested_at = None
        self._metrics.count("configuration_own_readings")
        return min(POLL_INTERVAL_S, self._read_or_watch(BACK_OFF_MAX_S))

    def _is_reader(self) -> bool:
        own = self._membership.get_own_member()
        live = self._membership.get_live()
        wall_s = self._clock.wall_time()
        readers = choose_readers(own.zone, live, wall_s, self._reader_count)
        return any(reader.instance == own.instance for reader in readers)

    def _read_as_reader(self) -> float:
        was_watch = not self._next_is_plain_read
        started_at = self._clock.monotonic()
        delay_s = self._read_or_watch(READER_BACK_OFF_MAX_S)
        if not was_watch or delay_s == 0.0:
            return delay_s
        # Prevents a busy loop when watches return immediately without a new revision.
        return max(
            delay_s, self._watch_timeout_s - (self._clock.monotonic() - started_at)
        )

    def _read_or_watch(self, back_off_max_s: float) -> float:
        """Read or watch the manifest once; return the delay before the next call.

        Notes
        -----
        A plain read shows whether the service has an older revision than this
        instance; a watch returns only later revisions.
        """
        try:
            if self._next_is_plain_read:
                manifest: Manifest | None = self._service_source.read_manifest()
            else:
                after = max(self._store.get_revision(), self._highest_seen)
                manifest = self._service_source.watch_manifest(
                    after, self._watch_timeout_s
                )
            if manifest and manifest.revision < self._store.get_revision():
                self._metrics.count("configuration_service_older")
                return self._schedule_retry(back_off_max_s)
            return self._process_manifest(manifest)
        except FetchError:
            self._metrics.count("configuration_fetch_failures", source="service")
            return self._schedule_retry(back_off_max_s)

    def _schedule_retry(self, back_off_max_s: float) -> float:
        self._next_is_plain_read = True
        self._failure_count = min(self._failure_count + 1, DOUBLINGS_MAX)
        backoff_limit_s = min(back_off_max_s, BACK_OFF_MIN_S * 2**self._failure_count)
        delay_s = max(
            BACK_OFF_MIN_S, backoff_limit_s * self._random_source.uniform(0.5, 1.0)
        )
        with self._lock:
            self._due_at = self._clock.monotonic() + delay_s
        return delay_s

    def _process_manifest(self, manifest: Manifest | None) -> float:
        accepted = False
        if manifest is not None:
            accepted = self._fetcher.fetch_and_offer(
                manifest, self._service_source, self._is_stopped
            )
            # Keeps the next watch from returning a refused revision again.
            self._highest_seen = max(self._highest_seen, manifest.revision)
        self._next_is_plain_read = False
        self._failure_count = 0
        self.mark_confirmed()
        if accepted:
            self._notice_sender.announce_revision(Origin.SERVICE)
            return 0.0
        self._notice_sender.announce_confirmation()
        return NEXT_WATCH_DELAY_S


__all__ = ["ServiceWatcher"]
