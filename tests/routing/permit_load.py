"""Replays load on a small service, with and without permits, on simulated time."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing import (
    PermitDecision,
    PermitEnd,
    PermitId,
    PermitPool,
    PermitRequest,
    ServiceId,
)

SERVICE = ServiceId("bookings")
SLOTS = 6
UPSTREAMS = tuple(UpstreamId(f"u{n}") for n in range(3))
WORK_S, OBJECTIVE_S, DEADLINE_S = 0.09, 0.417, 3.1
# One way between an instance and an upstream or another instance.
HOP_S = 0.004
# Requests that wait at an upstream beside those in its slots.
UPSTREAM_QUEUE = 1
# A caller that is refused without a return slot comes back after this time.
RETRY_S = 0.5


@dataclass
class Caller:
    number: int
    first_at: float
    priority: int = 5
    is_returning: bool = False
    ended_at: float | None = None


@dataclass
class FakeUpstream:
    running: int = 0
    waiting: list = field(default_factory=list)
    refused: int = 0


class PermitLoad:
    """Callers that come at random, in waves, through a hundred instances."""

    def __init__(self, seed, seconds=30.0, mean_rate=129.0, wave=0.6, priorities=(5,)):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events, self.order = [], itertools.count()
        self.upstreams = {name: FakeUpstream() for name in UPSTREAMS}
        self.callers, self.returned = [], 0
        self.pool = PermitPool()
        self.pool.set_upstreams(dict.fromkeys(UPSTREAMS, SLOTS))
        self.waiting, self.numbers = {}, itertools.count()
        at = 0.0
        while at < seconds:
            # Waves of 4 s: crests of 1.6 times the mean rate.
            in_crest = int(at / 2.0) % 2 == 0
            at += self.rng.expovariate(mean_rate * (1 + wave if in_crest else 1 - wave))
            caller = Caller(len(self.callers), at, self.rng.choice(priorities))
            self.callers.append(caller)
            self.call_at(at, self.send, caller)

    def call_at(self, at, work, *arguments):
        heapq.heappush(self.events, (at, next(self.order), work, arguments))

    def run(self):
        while self.events:
            self.now, _, work, arguments = heapq.heappop(self.events)
            work(*arguments)

    def send(self, caller):
        """Send without a permit, to an upstream drawn by stale loads."""
        self.call_at(
            self.now + HOP_S, self.arrive, self.rng.choice(UPSTREAMS), caller, None
        )

    def arrive(self, name, caller, permit):
        upstream = self.upstreams[name]
        if upstream.running < SLOTS:
            upstream.running += 1
            work_s = WORK_S * self.rng.uniform(0.7, 1.3)
            self.call_at(self.now + work_s, self.end, name, caller, permit)
        elif len(upstream.waiting) < UPSTREAM_QUEUE:
            upstream.waiting.append((caller, permit))
        else:
            upstream.refused += 1
            self.refuse(caller, RETRY_S)
            self.give_back(permit, PermitEnd.FULL)

    def end(self, name, caller, permit):
        caller.ended_at = self.now + HOP_S
        self.give_back(permit, PermitEnd.ANSWERED)
        upstream = self.upstreams[name]
        upstream.running -= 1
        if upstream.waiting:
            self.arrive(name, *upstream.waiting.pop(0))

    def refuse(self, caller, retry_s):
        self.returned += 1
        back_at = self.now + retry_s
        if back_at < caller.first_at + DEADLINE_S - WORK_S:
            caller.is_returning = True
            self.call_at(back_at, self.send, caller)

    def give_back(self, permit, end):
        """Permits exist in the subclass only."""

    def list_in_time(self):
        return [
            c
            for c in self.callers
            if c.ended_at is not None and c.ended_at - c.first_at <= OBJECTIVE_S
        ]

    def count_refused(self):
        return sum(upstream.refused for upstream in self.upstreams.values())

    def find_median(self):
        times = sorted(c.ended_at - c.first_at for c in self.callers if c.ended_at)
        return times[len(times) // 2]


class CoordinatedLoad(PermitLoad):
    """The same callers, with permits of one coordinator."""

    def send(self, caller):
        permit = PermitId(str(next(self.numbers)))
        self.waiting[permit] = caller
        self.call_at(self.now + HOP_S, self.ask, permit, caller)

    def ask(self, permit, caller):
        request = PermitRequest(
            permit,
            InstanceId("i"),
            SERVICE,
            caller.priority,
            caller.first_at + DEADLINE_S,
            caller.first_at + OBJECTIVE_S,
            caller.is_returning,
        )
        self.deliver(self.pool.ask(request, self.now))

    def deliver(self, answers):
        for answer in answers:
            if answer.decision is PermitDecision.QUEUED:
                continue
            caller = self.waiting.pop(answer.id)
            if answer.decision is PermitDecision.REFUSED:
                self.refuse(caller, answer.retry_after_s)
                continue
            at = self.now + 2 * HOP_S
            granted = (answer.id, at)
            self.call_at(at, self.arrive, answer.upstream, caller, granted)

    def give_back(self, permit, end):
        identifier, granted_at = permit
        duration_s = self.now - granted_at
        self.call_at(self.now + 2 * HOP_S, self.take_back, identifier, end, duration_s)

    def take_back(self, permit, end, duration_s):
        self.deliver(self.pool.end(permit, end, duration_s, self.now))


__all__ = ["CoordinatedLoad", "PermitLoad"]
