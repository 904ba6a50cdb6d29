"""Watch of the platform's store that keeps the local state current."""

import math
import threading
from collections.abc import Iterable, Sequence

import logbook

from fescueflow.core import (
    Clock,
    PlatformUnavailable,
    RandomSource,
    Revision,
    StoreEra,
)
from fescueflow.gateway.applying import EntryApplier
from fescueflow.gateway.call_pauses import CallPauses
from fescueflow.gateway.changes import ChangeHandler
from fescueflow.gateway.confirmation import CURRENT_AGE_MAX_S, StateSource
from fescueflow.gateway.entries import EntryWriter
from fescueflow.gateway.era_changes import EraChanges, EraParts
from fescueflow.gateway.eras import Verdict
from fescueflow.gateway.missing import MissingChanges
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.publication import UpdatePublisher
from fescueflow.gateway.relay import (
    FETCH_DELAY_MAX_S,
    FETCH_DELAY_MIN_S,
    FOLLOWER_AGE_MAX_S,
    Role,
    StoreRelay,
    StoreUpdate,
)
from fescueflow.gateway.shared_values import SharedValues
from fescueflow.gateway.store_calls import (
    READ_TIMEOUT_S,
    WATCH_TIMEOUT_S,
    StoreCaller,
)
from fescueflow.gateway.store_contact import StoreContact
from fescueflow.gateway.store_logs import (
    log_changes,
    log_failed_call,
    log_gap,
)
from fescueflow.gateway.value_reader import ValueSource
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    EraChanged,
    HistoryExpired,
    StoreClient,
    StoreItem,
    StoreResult,
)

# Age of the state from which everything is read again instead of the changes since: a
# series of large configurations takes longer to transfer than the last one alone.
HISTORY_AGE_MAX_S = 2.5
# Missed revisions from which everything is read, for the same reason.
HISTORY_CHANGES_MAX = 8
# Shortest time between two reads that requests with unknown keys or routes ask for.
# Callers may send made-up ones at any rate.
HURRY_INTERVAL_S = 0.25
# Least gain in age for which an update of another zone is passed on: most of the
# interval of updates.
FORWARDED_GAIN_MIN_S = 0.3

log = logbook.Logger("store")


class StoreWatcher(StateSource):
    """Reads the whole store, then watches its changes until it is stopped.

    Parameters
    ----------
    client : StoreClient
    handlers : sequence of ChangeHandler
    platform_state : PlatformState
    heartbeat_s : float
        Interval at which upstreams renew their entries.
    clock : Clock
    random_source : RandomSource
    metrics : Metrics
    relay : StoreRelay, optional
        Without one, this instance always reads the store itself.
    values : ValueSource, optional
    shared : SharedValues, optional

    Notes
    -----
    While the store doesn't respond, the last state stays in use and its age is known.
    """

    def __init__(
        self,
        *,
        client: StoreClient,
        handlers: Sequence[ChangeHandler],
        platform_state: PlatformState,
        heartbeat_s: float,
        clock: Clock,
        random_source: RandomSource,
        metrics: Metrics,
        relay: StoreRelay | None = None,
        values: ValueSource | None = None,
        shared: SharedValues | None = None,
    ) -> None:
        self._caller = StoreCaller(client, clock, metrics, values, shared)
        self._platform_state = platform_state
        self._clock = clock
        self._random_source = random_source
        self._metrics = metrics
        self._stopped = threading.Event()
        self._revision: Revision | None = None
        self._pauses = CallPauses(random_source)
        self._contact = StoreContact(platform_state, heartbeat_s, clock.monotonic())
        self._relay = relay
        self._publisher = UpdatePublisher(relay) if relay is not None else None
        # Guards the revision and the state's changes against those of updates.
        self._lock = threading.RLock()
        self._missing = MissingChanges()
        self._applier = EntryApplier(EntryWriter(handlers), self._missing, clock)
        parts = EraParts(
            lock=self._lock,
            applier=self._applier,
            platform_state=platform_state,
            contact=self._contact,
            publisher=self._publisher,
            metrics=metrics,
            clock=clock,
            forget_revision=self._forget_revision,
        )
        self._era_changes = EraChanges(parts, random_source)
        self._eras = self._era_changes.eras
        # Set if an update named changes that it did not carry, and at the end.
        self._is_behind = threading.Event()
        # Set if requests wait for a current state, and at the end.
        self._is_hurried = threading.Event()
        self._hurried_at = -math.inf
        self._read_delay_s = 0.0
        # Whether a wait after a failed call has ended early since the last response.
        self._was_hurried = False

    @property
    def revision(self) -> Revision | None:
        """Revision of the store up to which the state goes, ``None`` before a read."""
        return self._revision

    def start(self) -> None:
        """Start the watch thread."""
        threading.Thread(target=self._run, name="watch", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread after its current call."""
        self._stopped.set()
        self._is_behind.set()
        self._is_hurried.set()
        self._eras.entered.set()

    def is_current(self) -> bool:
        """Return whether the state is new and lacks no change that is known of."""
        with self._lock:
            return self._is_complete() and self._get_age() <= CURRENT_AGE_MAX_S

    def is_reachable(self) -> bool:
        """Return whether the last call of the store succeeded."""
        return not self._pauses.failures

    def hurry(self) -> None:
        """Read the store soon; asked again within a short time, do nothing."""
        now = self._clock.monotonic()
        if now - self._hurried_at >= HURRY_INTERVAL_S:
            self._hurried_at = now
            self._is_hurried.set()
            self._is_behind.set()

    def handle_update(self, update: StoreUpdate) -> None:
        """Apply what another instance has read, if it continues the own state."""
        if self._relay is None or self._publisher is None:
            return
        verdict = self._era_changes.hear(update)
        if verdict is Verdict.DISCARD:
            return
        self._relay.record_sender(update)
        if verdict is Verdict.ENTER:
            self._publisher.forward_era(update, self._get_age())
            return
        with self._lock:
            revision = self._revision
            if revision is None or self._eras.era != update.era:
                return
            if update.revision < revision:
                return
            current_at = self._clock.monotonic() - update.age_s
            self._contact.record_return(current_at)
            has_advanced = update.revision > revision
            if has_advanced and not update.continues(revision):
                self._missing.announce(update.revision)
                self._is_behind.set()
                log_gap(revision, update.revision)
                return
            gained_s = current_at - self._contact.responded_at
            if gained_s > 0:
                self._contact.record_response(current_at)
            if has_advanced:
                self._apply_update(update)
            self._mark_current()
        if gained_s >= FORWARDED_GAIN_MIN_S or has_advanced:
            self._publisher.forward(
                update, self._get_age(), has_advanced, not self.is_reachable()
            )

    def _apply_update(self, update: StoreUpdate) -> None:
        self._applier.apply(update.items or ())
        self._caller.record_items(update.items or (), update.era)
        self._revision = update.revision
        self._metrics.count("store_updates")
        if update.omitted:
            self._missing.announce_keys(update.omitted, update.revision)
            self._is_behind.set()
        log_changes("update", update.revision, update.items, update.omitted)

    def run_once(self) -> None:
        """Make one call and apply its result; wait before the next if it fails.

        A follower waits until its state is too old, or until it misses a change.
        """
        try:
            if delay_s := self._eras.take_delay():
                self._clock.wait(self._stopped, delay_s)
            if self._is_follower() and not self._wait_until_due():
                return
            if not self._stopped.is_set():
                self._is_hurried.clear()
            self._poll()
        except HistoryExpired as error:
            self._handle_lost_history(error)
        except EraChanged as error:
            if not self._era_changes.discover(error.era, error.revision):
                self._record_failure(error)
        except PlatformUnavailable as error:
            self._record_failure(error)
        except Exception as error:  # noqa: BLE001
            # Without this thread, the instance would use outdated state indefinitely.
            log.error("unexpected error in the store watch: {!r}", error)
            self._revision = None
            self._record_failure(PlatformUnavailable(repr(error)))

    def _handle_lost_history(self, error: HistoryExpired) -> None:
        if self._eras.is_older(error.era):
            self._record_failure(error)
        elif not self._era_changes.discover(error.era, None):
            log.info("the store's history is gone, all entries are read again")
            self._revision = None

    def _forget_revision(self) -> Revision | None:
        """Have everything read again; return how far the state went."""
        revision, self._revision = self._revision, None
        self._is_behind.set()
        self._is_hurried.set()
        return revision

    def _run(self) -> None:
        while not self._stopped.is_set():
            self.run_once()

    def _wait_as_follower(self, delay_s: float) -> None:
        """Wait after failed calls, once until another instance tells of changes.

        Notes
        -----
        After an outage, the first instance that reads tells the others. If the store
        turns away this instance only, it must not call after each update.
        """
        if self._was_hurried:
            self._clock.wait(self._eras.entered, delay_s)
            return
        self._is_behind.clear()
        if self._eras.entered.is_set():
            # The era was entered before the clear, which has undone its notice.
            return
        self._was_hurried = self._clock.wait(self._is_behind, delay_s)

    def _is_follower(self) -> bool:
        return (
            self._relay is not None
            and self._relay.role is Role.FOLLOWER
            and self._revision is not None
        )

    def _wait_until_due(self) -> bool:
        """Wait for an update; return whether this follower has to read the store."""
        if self._misses_changes() and self._pauses.failures:
            # The pause after the failed call has spread the calls already.
            return not self._stopped.is_set()
        if not self._has_reason():
            self._is_behind.clear()
            if not self._has_reason():
                self._clock.wait(self._is_behind, self._get_remaining_s())
            if not self._has_reason():
                return self._get_remaining_s() <= 0 and not self._eras.is_unread
        delay_s = self._random_source.uniform(FETCH_DELAY_MIN_S, FETCH_DELAY_MAX_S)
        self._clock.wait(self._is_hurried, delay_s)
        is_free = not self._stopped.is_set() and not self._eras.is_unread
        return self._has_reason() and is_free

    def _has_reason(self) -> bool:
        """Return whether a call should not wait until the state is old."""
        return self._is_hurried.is_set() or self._misses_changes()

    def _misses_changes(self) -> bool:
        return self._missing.has_any(self._revision)

    def _get_age(self) -> float:
        """Return the age of the state in seconds."""
        return self._clock.monotonic() - self._contact.responded_at

    def _get_remaining_s(self) -> float:
        """Return the time until this follower reads for itself."""
        now = self._clock.monotonic()
        due_at = self._contact.responded_at + FOLLOWER_AGE_MAX_S + self._read_delay_s
        retry_s = self._missing.get_next_due_s(now)
        return due_at - now if retry_s is None else min(due_at - now, retry_s)

    def _poll(self) -> None:
        # Before the revision, which is of this era or gone.
        era = self._eras.era
        revision = self._revision
        now = self._clock.monotonic()
        behind = self._missing.count_behind(revision)
        if revision is not None and not behind:
            keys = self._missing.keys or self._missing.list_due(now)
            if keys:
                self._fetch(keys, era)
                return
        is_fetch = self._misses_changes()
        age_s = self._get_age()
        if behind > HISTORY_CHANGES_MAX or age_s >= HISTORY_AGE_MAX_S:
            revision = None
        noted, reached = self._missing.announced, self._revision
        result, current_at = self._caller.call(revision, self._is_follower())
        if not self._era_changes.accepts(result, era, revision is None):
            return
        if result.era != era:
            # What was known when the call began is of another era.
            noted, reached = Revision(0), None
        if reached is not None and result.revision < reached:
            # The store never goes back: an update has told a revision that is none.
            log.warning("revision {} does not exist, all is read again", reached)
            self._revision = None
            return
        with self._lock:
            if self._eras.is_older(result.era):
                # An update has told of a higher one just now.
                return
            self._contact.record_response(max(current_at, self._contact.responded_at))
            self._record_success()
            self._accept_result(result, revision)
            if self._missing.settle(noted, result.revision):
                log.warning("revision {} was announced but does not exist", noted)
            self._mark_current()
        source = "read" if revision is None else "watch"
        log_changes(source, result.revision, result.items)
        if self._relay is not None and self._publisher is not None:
            self._read_delay_s = self._relay.draw_read_delay()
            self._publisher.publish(result, revision, self._get_age(), is_fetch)

    def _fetch(self, keys: Iterable[str], era: StoreEra) -> None:
        """Read the last values of keys that updates did not include.

        Notes
        -----
        The notes stay until the values are known, so that the state does not count as
        current while a call is on its way. Unreadable entries have no noted revision,
        which any value of the reader would satisfy: the store is asked for them.
        """
        may_share = True
        for key in keys:
            noted = self._missing.get_noted(key)
            shared = None
            if noted and may_share:
                shared = self._caller.read_shared(key, noted, era)
                may_share = shared is not None
            result = shared or self._caller.fetch(key)
            if not self._era_changes.accepts(result, era, False):
                return
            deleted = StoreItem(key, None, result.revision)
            items = [i for i in result.items if i.key == key] or [deleted]
            with self._lock:
                if self._eras.is_older(result.era):
                    return
                self._applier.apply(items)
                self._missing.resolve_key(key, max(noted, result.revision))
                if shared is None:
                    self._record_success()
                self._mark_current()
            log_changes("fetch", result.revision, items)

    def _mark_current(self) -> None:
        """Record that the whole state is current, unless a change is known to miss."""
        if self._is_complete():
            self._caller.record_complete(self._revision, self._eras.era)
            self._platform_state.mark_current(self._contact.responded_at)

    def _is_complete(self) -> bool:
        return not self._eras.is_unread and self._missing.is_complete(self._revision)

    def _record_success(self) -> None:
        self._pauses.record_success()
        self._was_hurried = False
        if self._relay is not None:
            self._relay.set_may_read(True)

    def _accept_result(self, result: StoreResult, after: Revision | None) -> None:
        """Apply the result of a call; updates may have gone further meanwhile."""
        is_older = self._revision is not None and self._revision > result.revision
        if after is not None:
            self._applier.apply([i for i in result.items if i.revision or not is_older])
        elif not is_older:
            self._applier.replace_all(result)
            self._era_changes.record_read(result.revision)
        if not is_older:
            self._revision = result.revision

    def _record_failure(self, error: PlatformUnavailable) -> None:
        self._metrics.count("store_failures")
        if self._relay is not None:
            self._relay.set_may_read(False)
        self._contact.record_failure(error)
        if self._relay is None or not self._is_follower():
            pause_s = self._pauses.draw_reader_pause()
            self._log_failure(error, pause_s)
            self._clock.wait(self._eras.entered, pause_s)
            return
        pause_s = self._pauses.draw_follower_pause(
            self._relay.count_zone(), self._misses_changes()
        )
        self._log_failure(error, pause_s)
        self._wait_as_follower(pause_s)

    def _log_failure(self, error: PlatformUnavailable, pause_s: float) -> None:
        log_failed_call(error, pause_s, self._missing, self._revision, self._get_age())


__all__ = [
    "READ_TIMEOUT_S",
    "WATCH_TIMEOUT_S",
    "StoreWatcher",
]
