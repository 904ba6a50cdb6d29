"""Load, warm-up state, cache events and batch slots of an engine stand-in."""

import heapq
import itertools
import random
import threading
import time
from dataclasses import dataclass

HISTORY_MAX = 200_000


@dataclass(frozen=True)
class ColdBreach:
    """More requests than the cold limit were in flight at a cold engine.

    ``at`` is a monotonic time and ``cold_for_s`` the time since the engine
    became cold, both in seconds.
    """

    at: float
    in_flight: int
    cold_for_s: float


class EngineState:
    """State that an engine publishes in its load report.

    Parameters
    ----------
    cold_limit : int
        Requests in flight above which a cold engine records a ``ColdBreach``.
    warm_after : int
        Number of completed requests after which a cold engine is warm.
    report_lag_s, event_lag_s : float
        Age of the data in load reports and of cache events, in seconds.
    warm : bool
        Whether the engine starts warm.
    """

    def __init__(self, cold_limit, warm_after, report_lag_s, event_lag_s, warm):
        self.lock = threading.RLock()
        self.cold_limit, self.warm_after = cold_limit, warm_after
        self.report_lag_s, self.event_lag_s = report_lag_s, event_lag_s
        self.incarnation = random.getrandbits(48)
        self.warm = warm
        self.in_flight = self.peak = self.completed_while_cold = 0
        self.cold_since = time.monotonic()
        self.cold_breaches = []
        self.history = []
        self.fencing = 0
        self._samples = [(float("-inf"), 0, warm)]
        self._events = []
        self._next_event = 1

    def _record_sample(self):
        now = time.monotonic()
        self._samples.append((now, self.in_flight, self.warm))
        if len(self.history) < HISTORY_MAX:
            self.history.append((now, self.in_flight))
        while len(self._samples) > 2 and self._samples[1][0] < now - 10:
            del self._samples[0]

    def start_request(self):
        with self.lock:
            self.in_flight += 1
            self.peak = max(self.peak, self.in_flight)
            now = time.monotonic()
            if not self.warm and self.in_flight > self.cold_limit:
                cold_for_s = now - self.cold_since
                self.cold_breaches.append(ColdBreach(now, self.in_flight, cold_for_s))
            self._record_sample()

    def end_request(self, completed):
        with self.lock:
            self.in_flight -= 1
            if completed and not self.warm:
                self.completed_while_cold += 1
                self.warm = self.completed_while_cold >= self.warm_after
            self._record_sample()

    def turn_cold(self):
        with self.lock:
            self.warm = False
            self.completed_while_cold = 0
            self.cold_since = time.monotonic()
            self._record_sample()

    def renew_incarnation(self):
        with self.lock:
            self.incarnation += 1
            self._events.clear()
            self._next_event = 1

    def add_event(self, kind):
        with self.lock:
            self._events.append((time.monotonic(), self._next_event, kind))
            self._next_event += 1
            del self._events[:-1000]

    def skip_events(self, count):
        """Skip sequence numbers of cache events, so that readers see a gap."""
        with self.lock:
            self._next_event += count

    def make_report(self, after):
        """Return the load report; ``after`` is the last cache event already read."""
        with self.lock:
            now = time.monotonic()
            limit = now - self.report_lag_s
            visible = [s for s in self._samples if s[0] <= limit] or self._samples[:1]
            _, in_flight, warm = visible[-1]
            events = [
                {"sequence": sequence, "kind": kind}
                for at, sequence, kind in self._events
                if sequence > after and at <= now - self.event_lag_s
            ]
            return {
                "incarnation": self.incarnation,
                "in_flight": in_flight,
                "warm": warm,
                "age_ms": int(self.report_lag_s * 1000),
                "events": events,
            }

    def accept_order(self, fencing, checked):
        """Return whether an order is accepted.

        With ``checked``, an order with an older fencing token is rejected.
        """
        with self.lock:
            if checked and fencing < self.fencing:
                return False
            self.fencing = max(self.fencing, fencing)
            return True


class BatchSlots:
    """Slots of the running batch, granted by priority, then in order of arrival."""

    def __init__(self, count):
        self._free = count
        self._waiting = []
        self._order = itertools.count()
        self._condition = threading.Condition()

    def acquire(self, priority, is_closed):
        """Wait for a slot; return ``False`` if the caller has disconnected."""
        ticket = (priority, next(self._order))
        with self._condition:
            heapq.heappush(self._waiting, ticket)
            while not (self._free and self._waiting[0] == ticket):
                self._condition.wait(0.1)
                if is_closed():
                    self._waiting.remove(ticket)
                    heapq.heapify(self._waiting)
                    self._condition.notify_all()
                    return False
            heapq.heappop(self._waiting)
            self._free -= 1
            self._condition.notify_all()
            return True

    def release(self):
        with self._condition:
            self._free += 1
            self._condition.notify_all()
