"""Discrete-event simulation of request placement in a fleet, without I/O.

Instances use the gateway's selectors, load trackers and reporters. Requests, upstreams
and the datagrams between instances are events in a queue on a simulated clock.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, replace
from types import SimpleNamespace

from fescueflow.core import (
    InstanceId,
    Revision,
    SeededRandomSource,
    UpstreamId,
    ZoneId,
)
from fescueflow.gateway.attempts import AttemptClient
from fescueflow.gateway.loads import LoadTracker
from fescueflow.gateway.peers import (
    REPORT_INTERVAL_S,
    PeerTable,
    choose_addresses,
)
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.quarantine import PromptQuarantine
from fescueflow.gateway.receivers import ReceiverChooser
from fescueflow.gateway.relay import Role, StoreRelay, StoreUpdate
from fescueflow.gateway.reporting import Reporter
from fescueflow.gateway.rotation import ReceiverRotation
from fescueflow.gateway.selection import UpstreamSelector
from fescueflow.metrics import Metrics
from fescueflow.routing import Prompt
from tests.fakes import FakeClock
from tests.gateway.builders import make_boot, make_peer
from tests.routing.builders import ENGINES, make_table, make_upstream

ZONES = ("a", "b", "c")
# Delay of a datagram between instances and of a response head.
NETWORK_DELAY_S = 0.005
# Prompt tokens that an upstream reads per second, by the site specifications.
TOKENS_PER_S = 112_000
WINDOW_S = 5.0
REMAINING_S = 12.0


@dataclass(frozen=True)
class Load:
    """Load that callers put on the fleet.

    Requests run for 0.7 to 1.3 times ``duration_s``. The frequency of the subject of
    rank ``r`` is proportional to ``r ** -skew``; from ``hot_at`` on, ``hot_share`` of
    the requests are for one subject. ``is_load_reported`` is whether upstreams report
    their load, ``is_named`` whether callers go to the instances that they are told of
    instead of to all.
    """

    instances: int = 88
    upstreams: int = 30
    per_s: float = 180.0
    duration_s: float = 1.2
    subjects: int = 600
    skew: float = 0.0
    hot_share: float = 0.0
    hot_at: float = 2.0
    shared_tokens: int = 10_500
    is_load_reported: bool = True
    is_named: bool = False


@dataclass(frozen=True)
class Arrival:
    """A request at an upstream, with the upstream's load and the mean just before.

    ``is_read`` is whether the upstream had to read or copy the shared prefix.
    """

    at: float
    upstream: UpstreamId
    load: int
    mean: float
    is_read: bool


class Instance:
    """The components of one instance that place requests."""

    def __init__(self, number, peers, upstreams, clock, seed):
        self.name = InstanceId(f"edge-{number}")
        self.clock = clock
        zone = ZoneId(ZONES[number % len(ZONES)])
        self.platform_state = PlatformState()
        self.platform_state.accept_table(make_table())
        self.platform_state.replace_upstreams(upstreams, clock.monotonic())
        self.loads = LoadTracker()
        self.peers = PeerTable(make_peer(self.name, zone, clock.monotonic()))
        for other, peer in enumerate(peers):
            self.peers.merge(
                make_peer(peer, ZONES[other % len(ZONES)], clock.monotonic())
            )
        self.selector = UpstreamSelector(
            boot=replace(make_boot(), instance=self.name, zone=zone),
            platform_state=self.platform_state,
            loads=self.loads,
            peers=self.peers,
            clock=clock,
            metrics=Metrics(),
        )
        self.quarantine = PromptQuarantine(
            peers=self.peers,
            platform_state=self.platform_state,
            clock=clock,
            metrics=Metrics(),
            on_change=lambda: None,
        )
        self.client = AttemptClient(
            pool=None,
            selector=self.selector,
            loads=self.loads,
            clock=clock,
            metrics=Metrics(),
            quarantine=self.quarantine,
        )
        self.relay = StoreRelay(
            peers=self.peers,
            send=lambda host, data: None,
            clock=clock,
            random_source=SeededRandomSource(seed + number),
        )
        self.reporter = Reporter(
            peers=self.peers,
            loads=self.loads,
            selector=self.selector,
            clock=clock,
            is_serving=lambda: self.is_serving,
            relay=self.relay,
            quarantine=self.quarantine,
        )
        self.rotation = ReceiverRotation(SeededRandomSource(seed + number))
        self.hosts = sorted(peer for peer in peers if peer != self.name)
        self.sent_bytes = 0
        self.is_serving = True
        self.receivers = ReceiverChooser(
            peers=self.peers,
            relay=self.relay,
            seeds=(),
            clock=clock,
            random_source=SeededRandomSource(seed + number),
        )
        self.follow(InstanceId(f"edge-{number % len(ZONES)}"), zone)

    def follow(self, reader, zone):
        """Have the first instance of each zone tell the others who serves."""
        if reader != self.name:
            self.relay.record_sender(
                StoreUpdate(reader, zone, Role.READER, Revision(1), Revision(1), 0.0)
            )
            self.relay.role = Role.FOLLOWER

    def report(self, is_named):
        """Return the receivers and the datagram of the next report."""
        data = self.reporter.make_report()
        if is_named:
            hosts = self.receivers.choose()
            receivers = [host.removeprefix("host-") for host in hosts]
        else:
            receivers = self.rotation.next_receivers(self.hosts)
        self.sent_bytes += len(data) * len(receivers)
        return receivers, data

    def list_addresses(self, zone):
        """Return the instances that this one names to a caller of a zone."""
        now = self.clock.monotonic()
        addresses = choose_addresses(
            self.peers.list_serving(now), zone, 64, self.peers.list_recent(now)
        )
        return [InstanceId(address.removesuffix(":80")) for address in addresses]


class FleetSimulation:
    """Simulates a load and records each arrival at an upstream."""

    def __init__(self, load, seed):
        self.load = load
        self.random = random.Random(seed)
        self.clock = FakeClock()
        self.started_at = self.clock.monotonic()
        self.running = {UpstreamId(f"u{n}"): 0 for n in range(load.upstreams)}
        self.cached_keys = {name: set() for name in self.running}
        self.arrivals = []
        # Requests by the instance that callers were sent to.
        self.named = {}
        self._subjects = [f"k{n}" for n in range(load.subjects)]
        self._weights = list(
            itertools.accumulate((n + 1) ** -load.skew for n in range(load.subjects))
        )
        self._events = []
        self._order = itertools.count()
        upstreams = [
            make_upstream(name, ZONES[n % len(ZONES)], slots=64)
            for n, name in enumerate(self.running)
        ]
        names = [InstanceId(f"edge-{n}") for n in range(load.instances)]
        self.instances = {
            name: Instance(n, names, upstreams, self.clock, seed)
            for n, name in enumerate(names)
        }
        for instance in self.instances.values():
            self._schedule(
                self.random.uniform(0, REPORT_INTERVAL_S), self._report, instance
            )
        self._schedule(0.0, self._request)

    @property
    def now(self):
        """Simulated seconds since the start."""
        return self.clock.monotonic() - self.started_at

    def run(self, seconds):
        """Simulate the load for a number of seconds."""
        while self._events[0][0] < seconds:
            at, _, work, arguments = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.now))
            work(*arguments)
        return self

    def find_worst_window(self, factor=2.0, slack=3.0):
        """Return the largest fraction of requests over the limit in any 5 s window."""
        worst = 0.0
        over = [a.load > factor * a.mean + slack for a in self.arrivals]
        first = 0
        for last, arrival in enumerate(self.arrivals):
            while self.arrivals[first].at < arrival.at - WINDOW_S:
                first += 1
            if arrival.at >= WINDOW_S and last > first:
                part = sum(over[first : last + 1]) / (last + 1 - first)
                worst = max(worst, part)
        return worst

    def count_reads(self):
        """Return how often an upstream read or copied a shared prefix."""
        return sum(arrival.is_read for arrival in self.arrivals)

    def _schedule(self, delay_s, work, *arguments):
        entry = (self.now + delay_s, next(self._order), work, arguments)
        heapq.heappush(self._events, entry)

    def _report(self, instance):
        receivers, data = instance.report(self.load.is_named)
        for receiver in receivers:
            self._schedule(
                NETWORK_DELAY_S, self.instances[receiver].reporter.handle_report, data
            )
        self._schedule(REPORT_INTERVAL_S, self._report, instance)

    def _request(self):
        load = self.load
        self._schedule(self.random.expovariate(load.per_s), self._request)
        is_hot = self.now >= load.hot_at and self.random.random() < load.hot_share
        (key,) = self.random.choices(self._subjects, cum_weights=self._weights)
        key = "hot" if is_hot else key
        instance = self._choose_instance()
        instance.reporter.record_request()
        prompt = Prompt(key, load.shared_tokens, 1_000, 400)
        selection = instance.selector.select(ENGINES, prompt, set(), REMAINING_S)
        name = selection.upstream.id
        is_read = key not in self.cached_keys[name]
        mean = sum(self.running.values()) / load.upstreams
        self.arrivals.append(Arrival(self.now, name, self.running[name], mean, is_read))
        self.cached_keys[name].add(key)
        self.running[name] += 1
        unread = 1_000 + (load.shared_tokens if is_read else 0)
        duration_s = load.duration_s * self.random.uniform(0.7, 1.3)
        self._schedule(
            unread / TOKENS_PER_S + NETWORK_DELAY_S,
            self._finish_reading,
            instance,
            selection,
        )
        self._schedule(duration_s, self._finish, instance, selection, duration_s)

    def _choose_instance(self):
        """Return the instance to which a caller sends its request."""
        instance = self.random.choice(list(self.instances.values()))
        if not self.load.is_named:
            return instance
        zone = self.random.choice(ZONES)
        name = self.random.choice(instance.list_addresses(zone))
        self.named[name] = self.named.get(name, 0) + 1
        return self.instances[name]

    def _finish_reading(self, instance, selection):
        selection.active_request.mark_prompt_read()
        if self.load.is_load_reported:
            reported = self.running[selection.upstream.id]
            instance.client.record_reported_load(
                SimpleNamespace(selection=selection), "", reported
            )

    def _finish(self, instance, selection, duration_s):
        self.running[selection.upstream.id] -= 1
        selection.active_request.end()
        instance.loads.record_duration(ENGINES, duration_s)
        instance.selector.record_success(selection.upstream.id)


__all__ = ["FleetSimulation", "Instance", "Load"]
