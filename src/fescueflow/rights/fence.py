"""Stops lending, admitting and taking calls after a pause of the process."""

import threading

from fescueflow.core import Clock, InstanceId
from fescueflow.membership import (
    ListService,
    Member,
    MembershipService,
    PauseDetector,
)

# Datagrams that arrived during the pause are still read after it; they say
# nothing about the present. Peers count from the first answer to a ping that was
# sent after the pause, because the queue has been read by then, and not before
# this long after it: datagrams may have been on their way.
QUEUE_DRAIN_S = 1.0

# The first reading that is delivered after a pause may have been requested
# before it.
READINGS_AFTER_PAUSE = 2


class Fence:
    """Tells whether this process may lend and admit.

    After a pause, other instances may have reclaimed its shares. The fence
    stays up until readings of the list were made after the pause or, while the
    list can't be read, until a live peer was heard after the pause and no live
    peer can read the list either. It also stays up until the revision in force
    is that of the live peers: a zone may have been withdrawn during the pause.

    Parameters
    ----------
    pauses : PauseDetector
    membership : MembershipService
    list_service : ListService
    clock : Clock
    """

    def __init__(
        self,
        *,
        pauses: PauseDetector,
        membership: MembershipService,
        list_service: ListService,
        clock: Clock,
    ) -> None:
        self._pauses = pauses
        self._membership = membership
        self._list_service = list_service
        self._clock = clock
        self._lock = threading.Lock()
        self._readings: list[float] = []
        self._cleared_pause: float | None = None
        self._baseline: tuple[float, dict[InstanceId, int]] | None = None

    def record_reading(self, read_at: float) -> None:
        """Note a reading of the list."""
        with self._lock:
            self._readings = [*self._readings, read_at][-READINGS_AFTER_PAUSE:]

    def get_last_pause(self) -> float | None:
        """Return when the last pause ended, ``None`` if there was none."""
        return self._pauses.get_last_pause()

    def is_active(self) -> bool:
        """Return whether lending, admitting and taking calls must stop."""
        self._pauses.tick()
        pause = self._pauses.get_last_pause()
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
        # Without a reading, a peer must show that the list is down for all.
        if not is_read and (not heard or any(m.list_readable for m in live)):
            return True
        with self._lock:
            self._cleared_pause = pause
        return False

    def _find_heard(self, pause: float) -> tuple[list[Member], list[Member] | None]:
        """Return live peers, and those heard after the pause once that is known."""
        own = self._membership.get_own().instance
        live = [m for m in self._membership.get_live() if m.instance != own]
        now = self._clock.monotonic()
        with self._lock:
            if self._baseline is None or self._baseline[0] != pause:
                queue_drained = not live or self._membership.get_answered_at() > pause
                if queue_drained and now - pause >= QUEUE_DRAIN_S:
                    self._baseline = (pause, {m.instance: m.sequence for m in live})
                return live, None
            sequences = self._baseline[1]
            # A peer that appears later is heard at its next sequence.
            heard = [
                m
                for m in live
                if m.sequence > sequences.setdefault(m.instance, m.sequence)
            ]
        return live, heard

    def _is_configuration_current(
        self, live: list[Member], heard: list[Member]
    ) -> bool:
        """Return whether the configuration in force is that of the live peers.

        Half of them must have been heard, because some may just have woken, too.
        An instance without peers goes on with what it has.
        """
        revision = self._membership.get_own().revision
        return 2 * len(heard) >= len(live) and all(m.revision <= revision for m in live)


__all__ = ["Fence"]
