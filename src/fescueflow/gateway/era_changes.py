"""Entry of a higher era of the store, named by a response or by another instance."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from fescueflow.core import Clock, RandomSource, Revision, StoreEra
from fescueflow.gateway.applying import EntryApplier
from fescueflow.gateway.eras import OutdatedResponse, StoreEras, Verdict
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.publication import UpdatePublisher
from fescueflow.gateway.relay import StoreUpdate
from fescueflow.gateway.store_contact import StoreContact
from fescueflow.gateway.store_logs import log_era
from fescueflow.metrics import Metrics
from fescueflow.platform import StoreResult


@dataclass(frozen=True)
class EraParts:
    """What an era change concerns.

    ``lock`` guards the parts. ``forget_revision`` drops the revision of the own state,
    so that all is read again, and returns it.
    """

    lock: threading.RLock
    applier: EntryApplier
    platform_state: PlatformState
    contact: StoreContact
    publisher: UpdatePublisher | None
    metrics: Metrics
    clock: Clock
    forget_revision: Callable[[], Revision | None]


class EraChanges:
    """Notices eras and makes the instance read all again; thread-safe.

    Parameters
    ----------
    parts : EraParts
    random_source : RandomSource
    """

    def __init__(self, parts: EraParts, random_source: RandomSource) -> None:
        self._parts = parts
        self.eras = StoreEras(parts.clock, random_source)
        # What is logged of an era whose revision is not known before all is read.
        self._unlogged: tuple[str, tuple[StoreEra, Revision | None]] | None = None

    def hear(self, update: StoreUpdate) -> Verdict:
        """Enter the era of an update if it is higher; return what to do with it."""
        with self._parts.lock:
            if self.eras.is_older(update.era):
                return Verdict.DISCARD
            if not self.eras.is_newer(update.era):
                self.eras.record_update(update.era)
                return Verdict.APPLY
            self._parts.contact.record_return(
                self._parts.clock.monotonic() - update.age_s
            )
            # An instance that has got a 410 knows no revision.
            self._enter(update.era, update.revision or None, is_heard=True)
            return Verdict.ENTER

    def discover(self, era: StoreEra, revision: Revision | None) -> bool:
        """Enter and announce a response's era if it is higher; return whether it is."""
        with self._parts.lock:
            if not self.eras.is_newer(era):
                return False
            self._enter(era, revision, is_heard=False)
        if self._parts.publisher is not None:
            self._parts.publisher.announce_era(era, revision, self._get_age())
        return True

    def accepts(self, result: StoreResult, asked: StoreEra, is_all: bool) -> bool:
        """Return whether a response may be applied; enter its era if it is higher.

        Parameters
        ----------
        result : StoreResult
        asked : StoreEra
            Era that was known when the call began.
        is_all : bool
            Whether the response has all items.

        Raises
        ------
        OutdatedResponse
            If its era is lower than that of the call.
        """
        with self._parts.lock:
            verdict = self.eras.judge(result.era, asked, is_all)
        if verdict is Verdict.ENTER:
            return self.discover(result.era, result.revision) and is_all
        if verdict is Verdict.DISCARD:
            raise OutdatedResponse(
                f"response of era {result.era}, but {self.eras.era} is known"
            )
        return verdict is Verdict.APPLY

    def record_read(self, revision: Revision) -> None:
        """Note that everything was read in the known era, up to a revision."""
        self.eras.record_read()
        self._log(revision)

    def _enter(self, era: StoreEra, revision: Revision | None, is_heard: bool) -> None:
        self._log(None)
        before = self.eras.era, self._parts.forget_revision()
        self._unlogged = "update" if is_heard else "store", before
        self._parts.metrics.count("store_eras")
        self._parts.applier.start_era(Revision(0) if revision is None else revision)
        self._parts.platform_state.start_era(self._parts.clock.monotonic())
        # Last, since it wakes the thread that calls the store.
        self.eras.enter(era, is_heard)
        if revision is not None:
            self._log(revision)

    def _log(self, revision: Revision | None) -> None:
        if self._unlogged is None:
            return
        source, before = self._unlogged
        self._unlogged = None
        # An era that does not exist may have been left meanwhile.
        if self.eras.era > before[0]:
            log_era(source, before, (self.eras.era, revision), self._get_age())

    def _get_age(self) -> float:
        return self._parts.clock.monotonic() - self._parts.contact.responded_at


__all__ = ["EraChanges", "EraParts"]
