"""Fleet of instances that all prefer one upstream, on simulated time."""

import random
from collections import deque

from fescueflow.core import UpstreamId
from fescueflow.routing import RampCause, ServiceId, UpstreamRamps, is_slow

UPSTREAM = UpstreamId("u1")
SERVICE = ServiceId("engines")
STEP_S = 0.02
USUAL_S = 0.1
# Age of what instances know of the upstream's load: a report and a half.
LOAD_AGE_STEPS = 25


class RampFleet:
    """Instances whose requests go to the upstream where its ramp allows it.

    All requests of the service prefer it until it is known to have its fair share.

    Parameters
    ----------
    instances : int
    demand : float
        Requests of the whole fleet that are open at the service.
    fair : float
        Share of the upstream in them.
    room : int, optional
        Open requests above which the first event takes longer.
    crash_at : int, optional
        Open requests at which the upstream refuses for a second.
    slowness : callable, optional
        Returns by how much longer work takes at a time.
    """

    def __init__(
        self,
        instances,
        demand,
        fair,
        *,
        room=10**6,
        crash_at=10**9,
        slowness=lambda now: 1.0,
        slots=32,
        duration_s=1.0,
    ):
        self.random = random.Random(7)
        self.ramps = [UpstreamRamps(f"i{n}") for n in range(instances)]
        self.demand, self.room, self.duration_s = demand, room, duration_s
        self.fair = fair
        self.counts = deque([[0] * instances], LOAD_AGE_STEPS)
        self.crash_at, self.slowness = crash_at, slowness
        self.now, self.down_until, self.crashes = 100.0, 0.0, 0
        # Instance, when sent, when its first event arrives, when it ends.
        self.open = []
        for ramps in self.ramps:
            ramps.begin(UPSTREAM, SERVICE, RampCause.START, slots, instances, self.now)

    def run(self, seconds):
        """Run for some time; yield the open requests after each step."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.end_requests()
            for ramps in self.ramps:
                for upstream in ramps.list_elapsed(self.now):
                    ramps.end(upstream)
            counts = [0] * len(self.ramps)
            for entry in self.open:
                counts[entry[0]] += 1
            self.counts.append(counts)
            self.reported = sum(self.counts[0])
            for number in range(len(self.ramps)):
                chance = self.demand / len(self.ramps) * STEP_S / self.duration_s
                if self.random.random() < chance:
                    self.offer(number)
            yield len(self.open)

    def offer(self, number):
        """Send a request of an instance if its ramp allows it."""
        ramps = self.ramps[number]
        own = sum(entry[0] == number for entry in self.open)
        if self.reported - self.counts[0][number] + own >= self.fair:
            return
        demand = self.demand / len(self.ramps)
        if not ramps.has_room(UPSTREAM, own, demand, self.duration_s, self.now):
            return
        if self.now < self.down_until:
            ramps.record_bad(UPSTREAM, self.now, self.now)
            return
        first_s = USUAL_S * self.slowness(self.now)
        first_s *= max(1.0, (len(self.open) + 1) / self.room)
        begun_at = self.now + first_s
        self.open.append([number, self.now, begun_at, self.now + self.duration_s])
        if len(self.open) > self.crash_at:
            self.crash()

    def crash(self):
        """Fail all open requests, and refuse others for a second."""
        self.crashes += 1
        self.down_until = self.now + 1.0
        for number, sent_at, *_ in self.open:
            self.ramps[number].record_bad(UPSTREAM, sent_at, self.now)
        self.open = []

    def end_requests(self):
        """Record the first events and drop the requests that have ended."""
        for entry in self.open:
            number, sent_at, begun_at, _ = entry
            if begun_at <= self.now:
                entry[2] = float("inf")
                if is_slow(begun_at - sent_at, USUAL_S):
                    self.ramps[number].record_slow(UPSTREAM, sent_at, self.now)
                elif self.ramps[number].record_good(UPSTREAM, sent_at):
                    self.ramps[number].end(UPSTREAM)
        self.open = [entry for entry in self.open if entry[3] > self.now]
