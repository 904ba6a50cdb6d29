"""Discrete-event simulation of a fleet whose upstreams name limits, without I/O.

Instances use the gateway's selectors and reporters. Callers belong to customers that
cling to an instance; reports between instances come late or are lost.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

from fescueflow.core import InstanceId, Overloaded, UpstreamId
from fescueflow.gateway.peers import REPORT_INTERVAL_S
from fescueflow.routing import Prompt
from tests.fakes import FakeClock
from tests.gateway.fleet import NETWORK_DELAY_S, ZONES, Instance
from tests.routing.builders import ENGINES, make_upstream

# The rule: from so long after an upstream first named its limit, it gets in any window
# at most this multiple of what the limit allows, and some requests, of the instances
# that had passed on such an answer so long before.
STABLE_S = 3.0
RULE_WINDOW_S = 4.0
RULE_FACTOR = 1.5
RULE_SLACK = 5.0
HEARD_S = 0.5
# Time after a change of a limit within which its earlier value still counts.
CHANGE_S = 3.0
REMAINING_S = 8.0
ADDRESS_TTL_S = 5.0
# Repeats of a refused request by its caller.
RETURNS_MAX = 3


@dataclass(frozen=True)
class LimitDay:
    """A day of the simulated fleet.

    ``limits`` holds (time, upstreams, requests a second or ``None``); ``customers``
    differ in their demand as ``rank ** -skew``. ``cut`` holds instances that get and
    send no reports in a time, as (number, from, to); ``started`` and ``stopped`` hold
    (number, time); a stopped one says so for a second.
    """

    instances: int
    upstreams: int
    per_s: float
    limits: tuple[tuple[float, tuple[int, ...], float | None], ...]
    customers: int = 120
    skew: float = 1.0
    lost: float = 0.1
    late: float = 0.05
    late_s: float = 1.0
    cut: tuple[tuple[int, float, float], ...] = ()
    started: tuple[tuple[int, float], ...] = ()
    stopped: tuple[tuple[int, float], ...] = ()
    urgent_share: float = 0.0
    seconds: float = 20.0


@dataclass(frozen=True)
class Arrival:
    """A request at an upstream; ``is_bound`` is whether the rule counts it."""

    at: float
    upstream: UpstreamId
    instance: InstanceId
    limit: float | None
    is_bound: bool
    priority: int


@dataclass
class Refusal:
    """A request that was turned away."""

    at: float
    instance: InstanceId
    retry_after_s: float
    priority: int


@dataclass
class LimitedUpstream:
    """An upstream with the changes of its limit."""

    # Start and value of each limit, ``None`` for its end.
    changes: list[tuple[float, float | None]] = field(
        default_factory=lambda: [(0.0, None)]
    )
    # When an answer first named a limit, and when each instance passed one on.
    named_at: float | None = None
    heard_at: dict[InstanceId, float] = field(default_factory=dict)

    def get_limit(self, at):
        """Return the limit at a time."""
        return [limit for start, limit in self.changes if start <= at][-1]

    def get_highest(self, at):
        """Return the highest limit that counts in the window that ends at a time."""
        first = at - RULE_WINDOW_S - CHANGE_S
        ends = [start for start, _ in self.changes[1:]] + [float("inf")]
        return max(
            limit
            for (start, limit), end in zip(self.changes, ends, strict=True)
            if start <= at and end >= first and limit is not None
        )

    def get_last_end(self, at):
        """Return the time before which the last limit before a time had ended."""
        return max(s for s, limit in self.changes if s <= at and limit is None)


class LimitFleet:
    """Simulates a day and records requests at upstreams and refusals."""

    def __init__(self, day, seed):
        self.day = day
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = FakeClock()
        self.started_at = self.clock.monotonic()
        self.upstreams = {
            UpstreamId(f"u{n}"): LimitedUpstream() for n in range(day.upstreams)
        }
        self._entries = [
            make_upstream(name, ZONES[n % len(ZONES)], slots=64, started_at_ms=1)
            for n, name in enumerate(self.upstreams)
        ]
        self.arrivals = []
        self.refusals = []
        self._events = []
        self._order = itertools.count()
        late = {number for number, _ in day.started}
        self._names = [
            InstanceId(f"edge-{n}") for n in range(day.instances) if n not in late
        ]
        self.instances = {}
        for number in range(day.instances):
            if number not in late:
                self._start(number, self._names)
        self._addresses = {}
        self._weights = list(
            itertools.accumulate((n + 1) ** -day.skew for n in range(day.customers))
        )
        self._schedule_day()

    def _schedule_day(self):
        day = self.day
        for at, numbers, limit in day.limits:
            self._schedule(at, self._set_limit, numbers, limit)
        for number, at in day.started:
            # It knows of the first instances only, and learns of the others.
            seeds = [InstanceId(f"edge-{n}") for n in range(len(ZONES))]
            self._schedule(at, self._start, number, [*seeds, f"edge-{number}"])
        for number, at in day.stopped:
            self._schedule(at, self._stop, InstanceId(f"edge-{number}"))
        self._schedule(0.0, self._request)

    @property
    def now(self):
        """Simulated seconds since the start."""
        return self.clock.monotonic() - self.started_at

    def run(self):
        """Simulate the day."""
        while self._events[0][0] < self.day.seconds:
            at, _, work, arguments = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.now))
            work(*arguments)
        return self

    def list_windows(self):
        """Yield upstream, end, requests and bound of each window of the rule."""
        for name, upstream in self.upstreams.items():
            bound = [a for a in self.arrivals if a.upstream == name and a.is_bound]
            first = 0
            for last, arrival in enumerate(bound):
                start = arrival.at - RULE_WINDOW_S
                start = max(start, upstream.get_last_end(arrival.at))
                while bound[first].at < start:
                    first += 1
                limit = upstream.get_highest(arrival.at)
                allowed = RULE_FACTOR * RULE_WINDOW_S * limit + RULE_SLACK
                yield name, round(arrival.at, 2), last + 1 - first, allowed

    def find_breaches(self):
        """Return the windows above the rule's bound."""
        return [w for w in self.list_windows() if w[2] > w[3]]

    def find_highest_share(self):
        """Return the highest part of the rule's bound that a window has reached."""
        return max((w[2] / w[3] for w in self.list_windows()), default=0.0)

    def measure_use(self, first_s, last_s):
        """Return requests at limited upstreams as a part of what the limits allow."""
        count = sum(
            first_s <= a.at < last_s and a.limit is not None for a in self.arrivals
        )
        allowed = sum(u.get_limit(first_s) or 0.0 for u in self.upstreams.values())
        return count / (allowed * (last_s - first_s))

    def count_arrivals(self, names, first_s, last_s):
        """Return the requests at some upstreams in a time."""
        return sum(
            a.upstream in names and first_s <= a.at < last_s for a in self.arrivals
        )

    def _schedule(self, delay_s, work, *arguments):
        entry = (self.now + delay_s, next(self._order), work, arguments)
        heapq.heappush(self._events, entry)

    def _set_limit(self, numbers, limit):
        for number in numbers:
            upstream = self.upstreams[UpstreamId(f"u{number}")]
            upstream.changes.append((self.now, limit))
            if limit is None:
                upstream.named_at = None
                upstream.heard_at.clear()

    def _start(self, number, known):
        instance = Instance(number, known, self._entries, self.clock, self.seed)
        self.instances[instance.name] = instance
        delay_s = self.random.uniform(0, REPORT_INTERVAL_S)
        self._schedule(delay_s, self._report, instance)

    def _stop(self, name):
        self.instances[name].is_serving = False
        self._schedule(1.0, self.instances.pop, name, None)

    def _is_cut(self, name):
        return any(
            name == f"edge-{number}" and start <= self.now < end
            for number, start, end in self.day.cut
        )

    def _report(self, instance):
        if self.instances.get(instance.name) is not instance:
            return
        self._schedule(REPORT_INTERVAL_S, self._report, instance)
        receivers, data = instance.report(is_named=True)
        for receiver in receivers:
            if self.random.random() < self.day.lost or self._is_cut(instance.name):
                continue
            is_late = self.random.random() < self.day.late
            delay_s = self.random.uniform(0, self.day.late_s) if is_late else 0.0
            self._schedule(NETWORK_DELAY_S + delay_s, self._receive, receiver, data)

    def _receive(self, receiver, data):
        instance = self.instances.get(receiver)
        if instance is not None and not self._is_cut(receiver):
            instance.reporter.handle_report(data)

    def _request(self):
        self._schedule(self.random.expovariate(self.day.per_s), self._request)
        customers = range(self.day.customers)
        (customer,) = self.random.choices(customers, cum_weights=self._weights)
        is_urgent = self.random.random() < self.day.urgent_share
        self._send(customer, 0 if is_urgent else 5, RETURNS_MAX)

    def _find_instance(self, customer):
        """Return the instance to which a customer clings."""
        known = self._addresses.get(customer)
        if known and self.now < known[1] and known[0] in self.instances:
            if self.instances[known[0]].is_serving:
                return self.instances[known[0]]
        asked = self.random.choice(list(self.instances.values()))
        zone = ZONES[customer % len(ZONES)]
        names = [n for n in asked.list_addresses(zone) if n in self.instances]
        is_kept = known is not None and known[0] in names
        name = known[0] if is_kept else self.random.choice(names or [asked.name])
        self._addresses[customer] = (name, self.now + ADDRESS_TTL_S)
        return self.instances[name]

    def _send(self, customer, priority, returns_left):
        instance = self._find_instance(customer)
        instance.reporter.record_request()
        key = f"k{customer}-{self.random.randrange(5)}"
        prompt = Prompt(key, 2_000, 300, 100)
        try:
            selection = self._select(instance, prompt, priority)
        except Overloaded as error:
            delay_s = (error.retry_after_ms or 0) / 1000
            self.refusals.append(Refusal(self.now, instance.name, delay_s, priority))
            if returns_left:
                arguments = (customer, priority, returns_left - 1)
                self._schedule(delay_s, self._send, *arguments)
            return
        self._schedule(
            NETWORK_DELAY_S, self._arrive, instance, selection, self.now, priority
        )

    def _select(self, instance, prompt, priority):
        return instance.selector.select(
            ENGINES, prompt, set(), REMAINING_S, priority=priority
        )

    def _arrive(self, instance, selection, sent_at, priority):
        name = selection.upstream.id
        upstream = self.upstreams[name]
        limit = upstream.get_limit(self.now)
        heard_at = upstream.heard_at.get(instance.name)
        is_bound = (
            limit is not None
            and upstream.named_at is not None
            and self.now >= upstream.named_at + STABLE_S
            and heard_at is not None
            and sent_at >= heard_at + HEARD_S
            and not self._is_cut(instance.name)
        )
        self.arrivals.append(
            Arrival(self.now, name, instance.name, limit, is_bound, priority)
        )
        head_s = self.random.uniform(0.05, 0.6)
        self._schedule(head_s, self._answer, instance, selection, sent_at)

    def _answer(self, instance, selection, sent_at):
        """Write the head of an answer, which names the limit of this moment."""
        upstream = self.upstreams[selection.upstream.id]
        limit = upstream.get_limit(self.now)
        if limit is not None and upstream.named_at is None:
            upstream.named_at = self.now
        self._schedule(
            NETWORK_DELAY_S, self._pass_on, instance, selection, sent_at, limit
        )
        duration_s = self.random.uniform(0.3, 1.0)
        self._schedule(duration_s, selection.active_request.end)

    def _pass_on(self, instance, selection, sent_at, limit):
        upstream = self.upstreams[selection.upstream.id]
        headers = {"X-Server-Seal": "seal"}
        if limit is not None:
            headers["Server-Limit"] = str(limit)
            if upstream.named_at is not None:
                upstream.heard_at.setdefault(instance.name, self.now)
        attempt = SimpleNamespace(
            exchange=SimpleNamespace(status=200, get_header=headers.get),
            started_at=self.started_at + sent_at,
            selection=selection,
        )
        instance.client.record_upstream_wishes(attempt, "a1")
        instance.selector.record_success(selection.upstream.id)


__all__ = ["LimitDay", "LimitFleet"]
