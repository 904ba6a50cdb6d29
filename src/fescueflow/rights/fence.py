"""Fencing of this process after a pause: no lending, no admission, no calls."""

import threading

from fescueflow.core import Clock, InstanceId
from fescueflow.membership import (
    ListService,
    Member,
    MembershipService,
    PauseDetector,
)

# Datagrams that queued up during the pause are read after it and are outdated.
# The queue has been read once a ping sent after the pause is answered. Datagrams
# may also have been in transit, so heartbeats count only this long after the pause.
QUEUE_DRAIN_S = 1.0

# The first reading delivered after a pause may have been requested before it.
READINGS_AFTER_PAUSE = 2


class Fence:
    """Blocks lending and admission after a pause of the process.

    Other instances may have reclaimed its shares during the pause. The fence
    is active until two readings of the list are newer than the pause or, while
    the list can't be read, until a live peer was heard after the pause and no
    live peer can read the list either. It also remains active until the
    configuration in force has the revision of the live peers, because a zone may
    have been withdrawn during the pause.

    Parameters
    ----------
    pause_detector : PauseDetector
        Detects that the process did not run for a while.
    membership : MembershipService
    list_service : ListService
    clock : Clock
    """

    def __init__(
        self,
        *,
        pause_detector: PauseDetector,
        membership: MembershipService,
        list_service: ListService,
        clock: Clock,
    ) -> None:
        self._pause_detector = pause_detector
        self._membership = membership
        self._list_service = list_service
        self._clock = clock
        self._lock = threading.Lock()
        self._readings: list[float] = []
        self._cleared_pause: float | None = None
        # Pause, and sequences of the live peers after queued datagrams were read.
        self._baseline: tuple[float, dict[InstanceId, int]] | None = None

    def record_reading(self, read_at: float) -> None:
        """Record the time of a reading of the list."""
        with self._lock:
            self._readings = [*self._readings, read_at][-READINGS_AFTER_PAUSE:]

    def get_last_pause_end(self) -> float | None:
        """Return when the last pause ended, ``None`` if there was none."""
        return self._pause_detector.get_last_pause_end()

    def is_active(self) -> bool:
        """Return whether lending, admission and calls are blocked."""
        self._pause_detector.tick()
        pause = self._pause_detector.get_last_pause_end()
        with self._lock:
            if pause is None or pause == self._cleared_pause:
                return False
            fresh = [r for r in self._readings if r > pause]
        is_read = len(fresh) >= READINGS_AFTER_PAUSE
        if not is_read and self._list_service.is_readable():
            return True
        live, heard = self._find_heard(pause)
        if heard is None or not self._is_configuration_current(live, heard):
            return True
        # Without a reading, a peer must confirm that no instance reads the list.
        if not is_read and (not heard or any(m.list_readable for m in live)):
            return True
        with self._lock:
            self._cleared_pause = pause
        return False

    def _find_heard(self, pause: float) -> tuple[list[Member], list[Member] | None]:
        """Return the live peers and those of them heard after the pause.

        The second value is ``None`` until queued datagrams have been read.
        """
        own = self._membership.get_own_member().instance
        live = [m for m in self._membership.get_live() if m.instance != own]
        now = self._clock.monotonic()
        with self._lock:
            if self._baseline is None or self._baseline[0] != pause:
                queue_drained = (
                    not live or self._membership.get_answered_ping_sent_at() > pause
                )
                if queue_drained and now - pause >= QUEUE_DRAIN_S:
                    self._baseline = (pause, {m.instance: m.sequence for m in live})
                return live, None
            sequences = self._baseline[1]
            # A peer that appears later counts as heard at its next heartbeat.
            heard = [
                m
                for m in live
                if m.sequence > sequences.setdefault(m.instance, m.sequence)
            ]
        return live, heard

    def _is_configuration_current(
        self, live: list[Member], heard: list[Member]
    ) -> bool:
        """Return whether no live peer has a newer configuration revision.

        Half of the peers must have been heard, because some of them may have
        resumed from a pause as well. Without live peers the configuration counts
        as current.
        """
        revision = self._membership.get_own_member().revision
        return 2 * len(heard) >= len(live) and all(m.revision <= revision for m in live)


__all__ = ["Fence"]
