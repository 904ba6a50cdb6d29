"""Permits that this instance hands out as the coordinator of services."""

import threading
from collections.abc import Callable, Iterable, Mapping

import logbook

from fescueflow.core import Clock, UpstreamId
from fescueflow.gateway.permit_codec import PermitAsk, PermitReturn
from fescueflow.routing import PermitAnswer, PermitPool, ServiceId

# Time between two looks for queued requests that have become hopeless and for expired
# permits, in seconds: well below the shortest mean duration of the small services.
ADVANCE_INTERVAL_S = 0.02
# Time for which the upstreams that may be handed out are used again, in seconds; an
# exclusion lasts ten times as long at least.
UPSTREAMS_CACHE_S = 0.05
# Time without a message about a service after which its permits are forgotten, in
# seconds: above the life of the permits and the deadlines of small services.
POOL_MEMORY_S = 30.0

log = logbook.Logger("permits")


class PermitDesk:
    """Hands out permits; thread-safe.

    Parameters
    ----------
    find_slots : callable
        Returns the upstreams of a service that may be handed out, with their slots.
    deliver : callable
        Called with each answer, without a lock held.
    clock : Clock
    """

    def __init__(
        self,
        *,
        find_slots: Callable[[ServiceId], Mapping[UpstreamId, int]],
        deliver: Callable[[PermitAnswer], None],
        clock: Clock,
    ) -> None:
        self._find_slots = find_slots
        self._deliver = deliver
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[ServiceId, PermitPool] = {}
        self._used_at: dict[ServiceId, float] = {}
        self._refreshed_at: dict[ServiceId, float] = {}
        self._has_waiting = threading.Event()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the thread that serves queued requests in time."""
        threading.Thread(target=self.run, name="permits", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        self._has_waiting.set()

    def get_pool(self, service: ServiceId) -> PermitPool | None:
        """Return the permits of a service, ``None`` if nobody has asked for one."""
        return self._pools.get(service)

    def forget(self, service: ServiceId) -> None:
        """Forget the permits of a service, as a new coordinator knows none."""
        with self._lock:
            self._forget(service)

    def ask(self, ask: PermitAsk) -> None:
        """Answer a request for a permit, at once or with others that end."""
        request = ask.request
        with self._lock:
            now = self._clock.monotonic()
            pool = self._open_pool(request.service, now)
            for use in ask.uses:
                pool.learn(use.id, request.instance, use.upstream, use.age_s, now)
            answers = pool.ask(request, now)
        self._send(answers)

    def take_back(self, returned: PermitReturn) -> None:
        """End a permit, or the wait for one."""
        with self._lock:
            if returned.service not in self._pools:
                return
            now = self._clock.monotonic()
            pool = self._open_pool(returned.service, now)
            answers = pool.end(returned.id, returned.end, returned.duration_s, now)
        self._send(answers)

    def advance(self) -> None:
        """Refuse and grant what is due without a message."""
        answers: list[PermitAnswer] = []
        with self._lock:
            now = self._clock.monotonic()
            for service in [s for s, p in self._pools.items() if p.has_waiting]:
                self._refresh(service, now)
                answers += self._pools[service].advance(now)
            if not any(pool.has_waiting for pool in self._pools.values()):
                self._has_waiting.clear()
        self._send(answers)

    def _open_pool(self, service: ServiceId, now: float) -> PermitPool:
        for old in [s for s, t in self._used_at.items() if now - t > POOL_MEMORY_S]:
            self._forget(old)
        if service not in self._pools:
            self._pools[service] = PermitPool(started_at=now)
        self._used_at[service] = now
        self._refresh(service, now)
        return self._pools[service]

    def _forget(self, service: ServiceId) -> None:
        self._pools.pop(service, None)
        self._used_at.pop(service, None)
        self._refreshed_at.pop(service, None)

    def _refresh(self, service: ServiceId, now: float) -> None:
        if now - self._refreshed_at.get(service, -1e9) >= UPSTREAMS_CACHE_S:
            self._refreshed_at[service] = now
            self._pools[service].set_upstreams(self._find_slots(service))

    def _send(self, answers: Iterable[PermitAnswer]) -> None:
        for answer in answers:
            self._deliver(answer)
        with self._lock:
            if any(pool.has_waiting for pool in self._pools.values()):
                self._has_waiting.set()

    def run(self) -> None:
        """Serve queued requests in time, until this is stopped."""
        while not self._stopped.is_set():
            # Without a limit, a stop between the test and the wait would be missed.
            if not self._clock.wait(self._has_waiting, 1.0):
                continue
            try:
                self.advance()
            except Exception as error:  # noqa: BLE001
                # Without this thread, queued requests would wait for other messages.
                log.error("unexpected error with permits: {!r}", error)
            self._clock.wait(self._stopped, ADVANCE_INTERVAL_S)


__all__ = ["PermitDesk"]
