"""The store's era as an instance knows it, and which responses may be applied in it.

Load pattern: the store comes back from an old copy, and revisions are issued again for
other contents. A revision is therefore compared only within its era. Instances notice
at different moments, by their own calls or by updates of others, and responses and
updates of the era before are still on their way.
"""

import math
import threading
from enum import Enum

import logbook

from fescueflow.core import (
    FIRST_ERA,
    Clock,
    PlatformUnavailable,
    RandomSource,
    StoreEra,
)

# Delay of the read after an update has told of a higher era: it spreads the reads of
# all instances, and is far below the time in which a configuration must be in force.
READ_DELAY_MIN_S = 0.05
READ_DELAY_MAX_S = 0.15
# Time after the last update of an era that no response of the store has named, from
# which responses of a lower era are believed again. Readers repeat a true era at least
# every 1.2 s; one wrong update must not keep an instance from the store for ever.
UNCONFIRMED_MAX_S = 2.0

log = logbook.Logger("store")


class OutdatedResponse(PlatformUnavailable):
    """Raised when a response belongs to an era before the known one."""


class Verdict(Enum):
    """What to do with a response.

    ``REPEAT`` means that the era has changed during the call, ``DISCARD`` that the
    response belongs to an era before that of the call.
    """

    APPLY = "apply"
    ENTER = "enter"
    REPEAT = "repeat"
    DISCARD = "discard"


class StoreEras:
    """The highest known era, and whether the store was read in it; not thread-safe.

    Parameters
    ----------
    clock : Clock
    random_source : RandomSource
    """

    def __init__(self, clock: Clock, random_source: RandomSource) -> None:
        self._clock = clock
        self._random_source = random_source
        self.era = FIRST_ERA
        # Whether everything has to be read again because of a new era.
        self.is_unread = False
        # Set from the entry of an era until the next call, and at the end.
        self.entered = threading.Event()
        # The highest era that a response has named, ``None`` before the first.
        self._confirmed: StoreEra | None = None
        self._heard_at = -math.inf
        self._is_delayed = False

    def is_older(self, era: StoreEra) -> bool:
        """Return whether an era is before the known one."""
        return self._confirmed is not None and era < self.era

    def is_newer(self, era: StoreEra) -> bool:
        """Return whether an era is after the known one."""
        return self._confirmed is not None and era > self.era

    def judge(self, era: StoreEra, asked: StoreEra, is_complete: bool) -> Verdict:
        """Return what to do with a response.

        Parameters
        ----------
        era : StoreEra
            Era of the response.
        asked : StoreEra
            Era that was known when the call began; a revision in the call is of it.
        is_complete : bool
            Whether the response has all items, so that it needs no state before.
        """
        if self._confirmed is None:
            self.era = self._confirmed = era
        if era < self.era:
            if asked < self.era:
                return Verdict.REPEAT
            self._doubt(era)
            return Verdict.DISCARD
        self._confirmed = era
        if era > self.era:
            return Verdict.ENTER
        return Verdict.APPLY if is_complete or asked == era else Verdict.REPEAT

    def enter(self, era: StoreEra, is_heard: bool) -> None:
        """Note a higher era, named by an update if ``is_heard``, else by a response."""
        self.era = era
        self.is_unread = True
        self._is_delayed = is_heard
        if is_heard:
            self._heard_at = self._clock.monotonic()
        else:
            self._confirmed = era
        self.entered.set()

    def record_update(self, era: StoreEra) -> None:
        """Note that another instance names the known era."""
        if era == self.era:
            self._heard_at = self._clock.monotonic()

    def record_read(self) -> None:
        """Note that everything was read in the known era."""
        self.is_unread = False

    def take_delay(self) -> float:
        """Return the delay of the next call in s, which is 0 for all but the first."""
        self.entered.clear()
        if not self._is_delayed:
            return 0.0
        self._is_delayed = False
        return self._random_source.uniform(READ_DELAY_MIN_S, READ_DELAY_MAX_S)

    def _doubt(self, era: StoreEra) -> None:
        """Go back to the store's era if only an update has told of another."""
        silent_s = self._clock.monotonic() - self._heard_at
        if self._confirmed == self.era or silent_s < UNCONFIRMED_MAX_S:
            return
        log.warning("era {} was announced but does not exist", self.era)
        self.era = max(era, self._confirmed or era)


__all__ = ["OutdatedResponse", "StoreEras", "Verdict"]
