"""Detection of pauses of the whole process."""

import threading

from fescueflow.core import Clock


class PauseDetector:
    """Detects pauses of the process from gaps between ticks.

    Parameters
    ----------
    clock : Clock
    limit_s : float
        A gap between two ticks that exceeds this many seconds is a pause.
    """

    def __init__(self, *, clock: Clock, limit_s: float) -> None:
        self._clock = clock
        self._limit_s = limit_s
        self._lock = threading.Lock()
        self._last_tick: float | None = None
        self._last_pause_end: float | None = None

    def tick(self) -> None:
        """Record that the process runs; called at least every half ``limit_s``."""
        with self._lock:
            # The clock is read under the lock: if a thread were descheduled between
            # reading and storing the time, gaps would be missed or made up.
            now = self._clock.monotonic()
            if self._last_tick is not None and now - self._last_tick > self._limit_s:
                self._last_pause_end = now
            self._last_tick = now

    def check(self) -> float | None:
        """Tick, then return the monotonic end time of the last pause, if any."""
        self.tick()
        return self.get_last_pause_end()

    def get_last_pause_end(self) -> float | None:
        """Return the monotonic end time of the last pause, or ``None``."""
        with self._lock:
            return self._last_pause_end


__all__ = ["PauseDetector"]
