"""Detection of gaps in which the whole process did not run."""

import threading

from fescueflow.core import Clock


class PauseDetector:
    """Notices that the process was paused, from gaps between its ticks.

    Parameters
    ----------
    clock : Clock
    limit_s : float
        A longer gap between two ticks counts as a pause.
    """

    def __init__(self, *, clock: Clock, limit_s: float) -> None:
        self._clock = clock
        self._limit_s = limit_s
        self._lock = threading.Lock()
        self._last_tick: float | None = None
        self._last_pause: float | None = None

    def tick(self) -> None:
        """Note that the process runs; called at least every half limit."""
        with self._lock:
            # The clock is read under the lock: a thread that was descheduled
            # between reading and noting would hide or invent a gap.
            now = self._clock.monotonic()
            if self._last_tick is not None and now - self._last_tick > self._limit_s:
                self._last_pause = now
            self._last_tick = now

    def check(self) -> float | None:
        """Tick, then return the end time of the last pause."""
        self.tick()
        return self.get_last_pause()

    def get_last_pause(self) -> float | None:
        """Return the monotonic end time of the last pause, ``None`` without one."""
        with self._lock:
            return self._last_pause


__all__ = ["PauseDetector"]
