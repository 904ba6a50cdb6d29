"""Decisions of a coordinator: who gets a permit for a slot of a small service.

Load pattern: a hundred instances send single requests to upstreams with few slots, and
none knows what the others send at the same moment. Upstreams then refuse while others
have free slots, and requests that are late already run before those in time.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing.health import UpstreamHealth
from fescueflow.routing.model import ServiceId
from fescueflow.routing.permit_durations import PermitDurations
from fescueflow.routing.permit_places import ExtraPlaces
from fescueflow.routing.permit_queue import PermitId, PermitQueue, PermitRequest
from fescueflow.routing.return_slots import ReturnSlots, TokenSupply

# Life of a permit that is not returned, in mean durations and at least in seconds.
LIFE_DURATIONS = 4.0
LIFE_MIN_S = 1.0
# Share of the places that a new coordinator hands out for its first mean duration, and
# the least such time in seconds: permits of the coordinator before may still be in use.
START_SHARE = 0.5
START_MIN_S = 0.2
# Longest queue: what 18 slots of 90 ms work off in about 2.5 s.
QUEUE_MAX = 512
# Time for which ended permits are remembered, so that a late or doubled datagram does
# not use them again, in seconds: above all delays of datagrams.
ENDED_MEMORY_S = 5.0


class PermitDecision(Enum):
    """What a coordinator answers."""

    GRANTED = "granted"
    REFUSED = "refused"
    QUEUED = "queued"
    # The coordinator knows no upstream for the request, which is sent without a permit.
    OPEN = "open"


class PermitEnd(Enum):
    """How the use of a permit ended."""

    ANSWERED = "answered"
    # The upstream refused the request, as it was full.
    FULL = "full"
    FAILED = "failed"
    # The upstream refused the connection.
    UNREACHABLE = "unreachable"
    # The caller left, or its deadline passed.
    CANCELLED = "cancelled"
    # The upstream was silent; it may still run the request.
    SILENT = "silent"
    # Nothing was sent, the request has left the queue, or its answer was a server
    # error, which tells neither the upstream's speed nor its health.
    UNUSED = "unused"


# Ends after which the place counts as taken for one mean duration: the upstream was
# full, or may still run the request.
BLOCKING_ENDS = {PermitEnd.FULL, PermitEnd.CANCELLED, PermitEnd.SILENT}


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """Answer to an instance.

    ``retry_after_s`` is that of a refusal, or the expected wait of a queued request, in
    seconds.
    """

    id: PermitId
    instance: InstanceId
    service: ServiceId
    decision: PermitDecision
    upstream: UpstreamId | None = None
    retry_after_s: float = 0.0
    queue_length: int = 0


@dataclass(frozen=True, slots=True)
class PermitUse:
    """A permit in use, until it is returned or expires."""

    upstream: UpstreamId
    instance: InstanceId
    expires_at: float


class PermitPool:
    """Permits of one service at its coordinator; not thread-safe.

    Parameters
    ----------
    started_at : float
        When this instance became the coordinator.
    """

    def __init__(self, started_at: float = -math.inf) -> None:
        self._started_at = started_at
        self._slots: Mapping[UpstreamId, int] = {}
        # Whether upstreams may have gone since the queue was searched for them.
        self._have_changed = False
        self._uses: dict[PermitId, PermitUse] = {}
        self._in_use: Counter[UpstreamId] = Counter()
        self._ended: OrderedDict[PermitId, float] = OrderedDict()
        # Upstreams of permits that expired and have not been returned.
        self._expired: dict[PermitId, UpstreamId] = {}
        self._queue = PermitQueue()
        self._return_slots = ReturnSlots()
        self._durations = PermitDurations()
        self._extra_places = ExtraPlaces()
        # Until when an upstream counts as fuller than its permits tell, for each of its
        # refusals, and each request that may run on.
        self._blocked_until: dict[UpstreamId, list[float]] = {}
        # Failures that other instances saw, as the coordinator sends little itself.
        self._health = UpstreamHealth()

    @property
    def has_waiting(self) -> bool:
        """Whether requests wait for a permit."""
        return len(self._queue) > 0

    def set_upstreams(self, slots: Mapping[UpstreamId, int]) -> None:
        """Set the upstreams that may be handed out, with their slots."""
        self._have_changed |= slots.keys() != self._slots.keys()
        self._slots = slots

    def count_in_use(self, upstream: UpstreamId) -> int:
        """Return the number of permits in use of an upstream."""
        return self._in_use[upstream]

    def get_mean_duration(self, now: float) -> float:
        """Return the mean duration of the service's requests, in seconds."""
        return self._durations.get_mean(now)

    def learn(
        self,
        permit: PermitId,
        instance: InstanceId,
        upstream: UpstreamId,
        age_s: float,
        now: float,
    ) -> None:
        """Note a permit in use that another coordinator has granted."""
        if permit in self._uses or permit in self._ended or permit in self._queue:
            return
        expires_at = now - age_s + self._compute_life(now)
        if expires_at > now:
            self._uses[permit] = PermitUse(upstream, instance, expires_at)
            self._in_use[upstream] += 1

    def ask(self, request: PermitRequest, now: float) -> list[PermitAnswer]:
        """Return the answer to a request, and to others that it lets go on.

        Notes
        -----
        A request that was answered before gets the same answer; one that has ended gets
        none.
        """
        answers = self.advance(now)
        if request.id in self._ended:
            return answers
        use = self._uses.get(request.id)
        if use is not None:
            return [*answers, self._answer(request, use.upstream)]
        if request.id in self._queue:
            return [*answers, self._answer_queued(request, now)]
        if not self._slots.keys() - request.avoid:
            return [*answers, self._decide(request, PermitDecision.OPEN)]
        mean_s = self._durations.get_mean(now)
        wait_s = self._estimate_wait(request, now)
        # A request that need not wait is sent, as a mean that is too long would never
        # be corrected otherwise.
        is_hopeless = wait_s > 0 and now + wait_s + mean_s > request.deadline_at
        if is_hopeless or len(self._queue) >= QUEUE_MAX:
            return [*answers, self._refuse(request, wait_s, now)]
        self._queue.add(request, mean_s, now)
        answers += self._grant(now)
        if request.id in self._queue:
            answers.append(self._answer_queued(request, now))
        return answers

    def end(
        self, permit: PermitId, end: PermitEnd, duration_s: float, now: float
    ) -> list[PermitAnswer]:
        """End a permit or a wait for one; return the answers to others.

        Parameters
        ----------
        permit : PermitId
        end : PermitEnd
        duration_s : float
            Time from the grant to the end, in seconds.
        now : float
        """
        self._queue.remove(permit)
        use = self._forget(permit, now)
        if use is not None:
            self._record_end(use.upstream, end, duration_s, now)
        upstream = self._expired.pop(permit, None)
        if upstream is not None and end is PermitEnd.ANSWERED:
            # Without it, the mean would not follow when requests outlast permits.
            self._durations.record(upstream, duration_s, now)
        return self.advance(now)

    def advance(self, now: float) -> list[PermitAnswer]:
        """Return the answers that are due without a message: refusals and grants."""
        self._drop_old(now)
        answers = [*self._release_stranded(), *self._grant(now)]
        hopeless = self._queue.pop_hopeless(self._durations.get_mean(now), now)
        return answers + [
            self._refuse(request, self._estimate_wait(request, now), now)
            for request in hopeless
        ]

    def _drop_old(self, now: float) -> None:
        """End the permits that have expired, and forget those that ended long ago."""
        for permit, use in list(self._uses.items()):
            if use.expires_at <= now:
                self._forget(permit, now)
                self._expired[permit] = use.upstream
        while self._ended and now - next(iter(self._ended.values())) > ENDED_MEMORY_S:
            permit, _ = self._ended.popitem(last=False)
            self._expired.pop(permit, None)

    def _release_stranded(self) -> list[PermitAnswer]:
        """Answer the queued requests for which no upstream is left."""
        if not self._have_changed:
            return []
        self._have_changed = False
        stranded = self._queue.pop_stranded(self._slots.keys())
        return [self._decide(request, PermitDecision.OPEN) for request in stranded]

    def _record_end(
        self, upstream: UpstreamId, end: PermitEnd, duration_s: float, now: float
    ) -> None:
        if end in BLOCKING_ENDS:
            until = now + self._durations.get_mean(now)
            self._blocked_until.setdefault(upstream, []).append(until)
        # The permit that ended is no longer counted.
        has_extra = self._in_use[upstream] >= self._slots.get(upstream, math.inf)
        if end is PermitEnd.FULL and has_extra:
            self._extra_places.withdraw(upstream, now)
        elif end is PermitEnd.ANSWERED:
            self._health.record_success(upstream)
            self._durations.record(upstream, duration_s, now)
        elif end in (PermitEnd.FAILED, PermitEnd.UNREACHABLE):
            is_down = end is PermitEnd.UNREACHABLE
            self._health.record_failure(upstream, now, is_down)

    def _grant(self, now: float) -> list[PermitAnswer]:
        """Grant all free slots to waiting requests, in their order."""
        answers: list[PermitAnswer] = []
        while len(self._queue):
            free = {u for u in self._list_usable(now) if self._count_free(u, now) > 0}
            if not free:
                break
            request = self._queue.pop(self._durations.get_mean(now), now, free)
            if request is None:
                break
            costs = {
                upstream: self._estimate_cost(upstream, now)
                for upstream in free - request.avoid
            }
            upstream = min(costs, key=lambda name: (costs[name], name))
            expires_at = now + self._compute_life(now)
            self._uses[request.id] = PermitUse(upstream, request.instance, expires_at)
            self._in_use[upstream] += 1
            answers.append(self._answer(request, upstream))
        return answers

    def _list_usable(self, now: float) -> list[UpstreamId]:
        """Return the upstreams that do not fail, or all if all fail."""
        healthy = [u for u in self._slots if not self._health.is_excluded(u, now)]
        return healthy or list(self._slots)

    def _count_free(self, upstream: UpstreamId, now: float) -> int:
        penalties = [t for t in self._blocked_until.get(upstream, ()) if t > now]
        if penalties:
            self._blocked_until[upstream] = penalties
        else:
            self._blocked_until.pop(upstream, None)
        granted = self._in_use[upstream] + len(penalties)
        places = self._slots[upstream] + self._extra_places.count(upstream, now)
        start_s = max(START_MIN_S, self._durations.get_mean(now))
        if now - self._started_at < start_s:
            places = math.ceil(places * START_SHARE)
        return places - granted

    def _estimate_cost(self, upstream: UpstreamId, now: float) -> float:
        """Return the duration of one more request by the load of the slots."""
        load = (self._in_use[upstream] + 1) / self._slots[upstream]
        return load * self._durations.estimate(upstream, now)

    def _estimate_wait(self, request: PermitRequest, now: float) -> float:
        """Return the expected time until a request is granted, in seconds."""
        free = sum(
            max(0, self._count_free(upstream, now))
            for upstream in self._list_usable(now)
            if upstream not in request.avoid
        )
        ahead = self._queue.count_ahead(request, self._durations.get_mean(now), now)
        # The requests ahead of one that waits include itself.
        turns = ahead + (request.id not in self._queue) - free
        return max(0, turns) * self._compute_turn(now)

    def _compute_turn(self, now: float) -> float:
        """Return the mean time from one end of a request to the next, in seconds."""
        return self._durations.get_mean(now) / max(1, sum(self._slots.values()))

    def _compute_life(self, now: float) -> float:
        return max(LIFE_MIN_S, LIFE_DURATIONS * self._durations.get_mean(now))

    def _forget(self, permit: PermitId, now: float) -> PermitUse | None:
        self._ended[permit] = now
        self._ended.move_to_end(permit)
        use = self._uses.pop(permit, None)
        if use is not None:
            self._in_use[use.upstream] -= 1
        return use

    def _refuse(
        self, request: PermitRequest, wait_s: float, now: float
    ) -> PermitAnswer:
        """Return a refusal with the next return slot of the request's class."""
        slots = sum(self._slots.values())
        rate = 1.0 / self._compute_turn(now) if slots else 0.0
        supply = TokenSupply(whole=0, depth=slots, rate=rate, next_s=wait_s)
        retry_after_s = self._return_slots.take_slot(
            request.service, request.priority, supply, now
        )
        self._forget(request.id, now)
        return self._decide(
            request, PermitDecision.REFUSED, retry_after_s=retry_after_s
        )

    def _answer(self, request: PermitRequest, upstream: UpstreamId) -> PermitAnswer:
        return self._decide(request, PermitDecision.GRANTED, upstream)

    def _answer_queued(self, request: PermitRequest, now: float) -> PermitAnswer:
        wait_s = self._estimate_wait(request, now)
        return self._decide(request, PermitDecision.QUEUED, retry_after_s=wait_s)

    def _decide(
        self,
        request: PermitRequest,
        decision: PermitDecision,
        upstream: UpstreamId | None = None,
        retry_after_s: float = 0.0,
    ) -> PermitAnswer:
        return PermitAnswer(
            request.id,
            request.instance,
            request.service,
            decision,
            upstream,
            retry_after_s,
            len(self._queue),
        )


__all__ = [
    "PermitAnswer",
    "PermitDecision",
    "PermitEnd",
    "PermitPool",
]
