"""Threads that run one at a time on simulated time, so that runs are repeatable."""

import heapq
import itertools
import threading

from fescueflow.core import Clock

# Real time after which a thread that neither waits nor ends fails the run.
STALLED_S = 30.0


class Sleeper:
    """A wait of one thread."""

    def __init__(self, owner, until, event):
        self.owner = owner
        self.until = until
        self.event = event
        self.woken = threading.Event()


class VirtualTime:
    """Simulated time; threads that wait are woken in order of time, one by one."""

    def __init__(self, start=1000.0):
        self.now = start
        self._changed = threading.Condition()
        self._running = 0
        self._sleepers = []
        self._calls = []
        self._order = itertools.count()
        # Owners whose threads stand still.
        self.frozen = set()
        self._is_over = False

    def start(self, owner, work):
        """Start a thread of an owner."""
        with self._changed:
            self._running += 1
        threading.Thread(target=self._run_thread, args=(work,), daemon=True).start()
        self._settle()

    def _run_thread(self, work):
        try:
            work()
        finally:
            with self._changed:
                self._running -= 1
                self._changed.notify_all()

    def call_at(self, at, work, *arguments):
        """Call a function at a time, on the thread that runs the simulation."""
        heapq.heappush(self._calls, (at, next(self._order), work, arguments))

    def call_later(self, delay_s, work, *arguments):
        """Call a function after a delay."""
        self.call_at(self.now + delay_s, work, *arguments)

    def wait(self, owner, event, seconds):
        """Let a thread wait until the event is set or the time is over."""
        sleeper = Sleeper(owner, self.now + max(0.0, seconds), event)
        with self._changed:
            self._sleepers.append(sleeper)
            self._running -= 1
            self._changed.notify_all()
        sleeper.woken.wait()
        if self._is_over:
            raise SystemExit
        return event is not None and event.is_set()

    def run(self, seconds):
        """Let the simulated time pass."""
        end = self.now + seconds
        while True:
            sleeper = self._find_next()
            at = sleeper.until if sleeper is not None else end
            if sleeper is not None and self._is_set(sleeper):
                at = self.now
            call_at = self._calls[0][0] if self._calls else end
            if min(at, call_at) >= end:
                self.now = end
                return
            if call_at <= at:
                _, _, work, arguments = heapq.heappop(self._calls)
                self.now = max(self.now, call_at)
                work(*arguments)
                continue
            self.now = max(self.now, at)
            self._wake(sleeper)

    def end(self):
        """End all threads."""
        self._is_over = True
        while self._sleepers:
            self._wake(self._sleepers[0])

    def _find_next(self):
        ready = [s for s in self._sleepers if s.owner not in self.frozen]
        key = lambda s: self.now if self._is_set(s) else s.until  # noqa: E731
        return min(ready, key=key, default=None)

    def _is_set(self, sleeper):
        return sleeper.event is not None and sleeper.event.is_set()

    def _wake(self, sleeper):
        with self._changed:
            self._sleepers.remove(sleeper)
            self._running += 1
        sleeper.woken.set()
        self._settle()

    def _settle(self):
        """Wait until all threads wait or have ended."""
        with self._changed:
            if not self._changed.wait_for(lambda: not self._running, STALLED_S):
                raise AssertionError("a thread neither waits nor ends")


class OwnedClock(Clock):
    """Clock of one instance on simulated time."""

    def __init__(self, time, owner):
        self._time = time
        self._owner = owner

    def monotonic(self):
        return self._time.now

    def wall_time(self):
        return 1.7e9 + self._time.now

    def wait(self, event, seconds):
        return self._time.wait(self._owner, event, seconds)

    def sleep(self, seconds):
        """Let the calling thread wait."""
        self._time.wait(self._owner, None, seconds)


__all__ = ["OwnedClock", "VirtualTime"]
