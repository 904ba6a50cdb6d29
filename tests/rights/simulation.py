"""Simulation of instances, engines and network with a manually advanced clock."""

import random
from collections import Counter
from dataclasses import replace

from returns.result import Success

from fescueflow.admission import AdmissionService, LoadReader, LoadReport, SlotDemand
from fescueflow.configuration import Configuration, Group
from fescueflow.core import (
    ListState,
    PeerError,
    PlatformUnavailable,
    Priority,
    UpstreamKind,
)
from fescueflow.membership import PauseDetector
from fescueflow.platform import ListedInstance, ListSnapshot
from fescueflow.rights import RightsService
from fescueflow.schema import MemberState, SlotOutcome
from fescueflow.transport import Sender
from tests.builders import (
    build_member,
    build_monitoring,
    build_settings,
    build_upstream,
)
from tests.fakes import (
    DeferredExecutor,
    FakeMembership,
    Holder,
    InlineExecutor,
    ManualClock,
)

STEP_S = 0.05
WARM_LIMIT = 8


class FakeEndpoint:
    def __init__(self, simulation, node):
        self._simulation, self._node, self.handlers = simulation, node, {}

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, address, content):
        self._simulation.post(self._node, address, content)

    def send_all(self, addresses, content):
        for address in addresses:
            self.send(address, content)


class FakeFrames(FakeEndpoint):
    def exchange(self, address, content, timeout_s, reuse=True):
        target = self._simulation.nodes.get(address)
        if target is None or not self._simulation.can_reach(self._node, target):
            raise PeerError("unreachable", sent=True)
        answer = target.frames.handlers[type(content)](self._node.sender, content)
        if not self._simulation.can_reach(target, self._node):
            raise PeerError("no answer", sent=True)
        return answer


class FakeList:
    """List service that reads the simulation's list with a lag."""

    def __init__(self, simulation, node):
        self._simulation, self._node = simulation, node
        self._snapshot, self._callbacks, self._upstreams = None, [], {}

    def get_snapshot(self):
        return self._snapshot

    def is_readable(self):
        snapshot, now = self._snapshot, self._simulation.clock.now
        return snapshot is not None and now - snapshot.read_at <= 3.0

    def subscribe(self, callback):
        self._callbacks.append(callback)

    def get_upstream(self, name):
        return self._upstreams.get(name)

    def read(self):
        self._snapshot = self._simulation.read_list()
        self._upstreams = {u.id: u for u in self._snapshot.upstreams}
        for callback in self._callbacks:
            callback(self._snapshot)


class HeartbeatMembership(FakeMembership):
    """Members whose heartbeats an instance received recently."""

    def __init__(self, simulation, node):
        super().__init__(simulation, node)
        self._seen = {}

    def get_own_member(self):
        return self.own.member

    def set_never_held(self, never_held):
        self.own.member = replace(self.own.member, never_held=never_held)

    def receive_heartbeat(self, member):
        self._seen[member.instance] = (member, self.fleet.clock.now)

    def get_answered_ping_sent_at(self):
        return max((at for _, at in self._seen.values()), default=float("-inf"))

    def _list(self, limit_s):
        now = self.fleet.clock.now
        rows = [m for m, at in self._seen.values() if now - at < limit_s]
        return [self.own.member, *rows]

    def get_members(self):
        return self._list(4.0)

    def get_live(self):
        return [m for m in self._list(2.0) if m.state is MemberState.LIVE]

    def has_ended(self, instance, incarnation):
        member = self.get_member(instance)
        return member is None or member.incarnation != incarnation


class EngineReader(LoadReader):
    def __init__(self, simulation):
        self._simulation = simulation

    def read(self, upstream, after_event):
        if upstream.id in self._simulation.silent_engines:
            raise PlatformUnavailable("silent")
        age_s = self._simulation.random.uniform(0, 0.8)
        return self._simulation.engines[upstream.id].report(
            self._simulation.clock.now - age_s
        )


class Engine:
    """Engine with its running requests and their history for delayed reports."""

    def __init__(self, now):
        self.running = set()
        self.history = [(now, 0)]
        self.incarnation, self.warm = "e1", True

    def note(self, now):
        self.history.append((now, len(self.running)))
        del self.history[:-2000]

    def report(self, moment):
        count = next((n for at, n in reversed(self.history) if at <= moment), 0)
        return LoadReport(self.incarnation, count, self.warm, moment)


class Node:
    """One incarnation of an instance."""

    def __init__(self, simulation, name, incarnation, zone, **changes):
        self.simulation, self.name, self.paused_until, self.can_read_list = (
            simulation,
            name,
            0.0,
            True,
        )
        self.address, self.next_read, self.next_heartbeat = name, 0.0, 0.0
        self.inbox, self.jobs = [], []
        addresses = {"http_address": name, "peer_address": name}
        settings = build_settings(name, zone, **addresses, **changes)
        self.member = build_member(
            name, incarnation, zone, sequence=0, list_readable=False, **addresses
        )
        self.sender = Sender(name, incarnation, name)
        self.list_service = FakeList(simulation, self)
        self.membership = HeartbeatMembership(simulation, self)
        self.endpoint, self.frames = (
            FakeEndpoint(simulation, self),
            FakeFrames(simulation, self),
        )
        self.metrics, audit, invariants = build_monitoring(
            name, incarnation, simulation.clock
        )
        shared = {
            "settings": settings,
            "membership": self.membership,
            "list_service": self.list_service,
            "store": simulation.store,
            "endpoint": self.endpoint,
            "clock": simulation.clock,
            "metrics": self.metrics,
            "invariants": invariants,
        }
        self.pause_detector = PauseDetector(clock=simulation.clock, limit_s=2.0)
        self.rights = RightsService(pause_detector=self.pause_detector, **shared)
        self.admission = AdmissionService(
            rights=self.rights,
            frame_server=self.frames,
            frame_client=self.frames,
            load_reader=EngineReader(simulation),
            audit=audit,
            **shared,
        )
        self.admission._readers = InlineExecutor()
        self.admission._remote._executor = DeferredExecutor()

    def run(self):
        now = self.simulation.clock.now
        self.pause_detector.tick()
        inbox, self.inbox = self.inbox, []
        for sender, content in inbox:
            self.endpoint.handlers[type(content)](sender, content)
        if now >= self.next_read and self.can_read_list and self.simulation.platform_up:
            self.next_read = now + self.simulation.random.uniform(0.8, 1.2)
            self.list_service.read()
        if now >= self.next_heartbeat:
            self.next_heartbeat = now + 0.5
            self.simulation.send_heartbeats(self)
        self.rights.renew()
        self.admission.tick()
        remote = self.admission._remote
        for home in list(remote._pending_by_home):
            while remote.send_next_pending(home):
                pass


class Simulation:
    """Simulated instances, engines, instance list and network."""

    def __init__(
        self,
        seed,
        size=6,
        upstreams=3,
        kind=UpstreamKind.ENGINE,
        group=None,
        zones=3,
        **changes,
    ):
        self.zones = zones
        self.random, self.clock = random.Random(seed), ManualClock()
        self.changes, self.platform_up, self.loss = changes, True, 0.0
        self.cut, self.nodes, self.incarnations, self.killed = set(), {}, 0, []
        self.silent_engines, self.refusals, self.granted = set(), Counter(), 0
        self.recalled = 0
        group = group or Group("g", kind, WARM_LIMIT, WARM_LIMIT, 100.0)
        self.store = Holder(
            Configuration(1, b"", frozenset(), frozenset(), {"g": group}, {})
        )
        self.upstreams = [
            build_upstream(f"u{i}", f"z{i % zones}", f"u{i}") for i in range(upstreams)
        ]
        self.engines = {u.id: Engine(self.clock.now) for u in self.upstreams}
        self.names = [f"i{i}" for i in range(size)]
        self.listed = list(self.names)
        self.list_history = [(0.0, tuple(self.names), tuple(self.upstreams))]
        for name in self.names:
            self.start(name)

    def get_zone(self, name):
        return f"z{self.names.index(name) % self.zones}"

    def start(self, name):
        self.incarnations += 1
        zone = self.get_zone(name)
        self.nodes[name] = Node(self, name, self.incarnations, zone, **self.changes)

    def kill(self, name):
        node = self.nodes.pop(name)
        self.killed.append(node)
        for job in node.jobs:
            self.stop_job(job)

    def set_listed(self, names, upstreams=None):
        upstreams = self.list_history[-1][2] if upstreams is None else upstreams
        self.list_history.append((self.clock.now, tuple(names), tuple(upstreams)))

    def read_list(self):
        moment = self.clock.now - self.random.uniform(0, 3.0)
        rows = [row for row in self.list_history if row[0] <= moment]
        _, names, upstreams = rows[-1] if rows else self.list_history[0]
        listed = tuple(
            ListedInstance(n, self.get_zone(n), "r", n, n, ListState.LIVE)
            for n in names
        )
        return ListSnapshot(listed, tuple(upstreams), self.clock.now)

    def can_reach(self, one, other):
        now = self.clock.now
        up = self.nodes.get(one.name) is one and self.nodes.get(other.name) is other
        awake = max(one.paused_until, other.paused_until) <= now
        return up and awake and frozenset((one.name, other.name)) not in self.cut

    def post(self, node, address, content):
        target = self.nodes.get(address)
        apart = frozenset((node.name, address)) in self.cut
        if target and not apart and self.random.random() >= self.loss:
            target.inbox.append((node.sender, content))

    def send_heartbeats(self, node):
        readable = node.list_service.is_readable()
        node.member = replace(
            node.member, sequence=node.member.sequence + 1, list_readable=readable
        )
        others = (n for n in self.nodes.values() if n is not node)
        for target in filter(lambda n: self.can_reach(node, n), others):
            target.membership.receive_heartbeat(node.member)

    def demand(self, upstream, key, **changes):
        values = {
            "request_key": key,
            "upstream": upstream,
            "customer": "c",
            "priority": Priority.STANDARD,
            "share": 1,
            "wait_s": 0.0,
            "deadline_s": 60.0,
        }
        return SlotDemand(**{**values, **changes})

    def request(self, node, upstream, hold_s, **changes):
        """Acquire a slot and start the request after a random delay."""
        key = f"{node.name}/{self.random.getrandbits(60)}"
        answer = node.admission.acquire(self.demand(upstream, key, **changes))
        if not isinstance(answer, Success):
            self.refusals[answer.failure().reason] += 1
            return
        self.granted += 1
        start_at = self.clock.now + self.random.choice([0.0, 0.0, 0.1, 0.5, 1.5])
        job = [answer.unwrap(), start_at, start_at + hold_s, False, False]
        node.jobs.append(job)
        node.admission.set_recall_callback(job[0], lambda: self.recall_job(job))
        self.run_job(node, job)

    def recall_job(self, job):
        """End a recalled request, or prevent its start, at the node's next step."""
        job[2], job[4] = self.clock.now, True
        self.recalled += 1

    def run_job(self, node, job):
        slot, start_at, end_at, started, recalled = job
        now = self.clock.now
        engine = self.engines[slot.upstream.id]
        if not started and now >= start_at:
            if now > slot.start_by or recalled:
                node.jobs.remove(job)
                node.admission.release(slot, SlotOutcome.UNUSED)
                return
            job[3] = started = True
            engine.running.add(id(job))
            engine.note(now)
        if started and now >= end_at:
            self.stop_job(job)
            node.jobs.remove(job)
            outcome = SlotOutcome.RECALLED if recalled else SlotOutcome.COMPLETED
            node.admission.release(slot, outcome, 0.01)

    def stop_job(self, job):
        engine = self.engines[job[0].upstream.id]
        engine.running.discard(id(job))
        engine.note(self.clock.now)

    def step(self):
        """Run every node that is not paused once and advance the clock."""
        for node in list(self.nodes.values()):
            if node.paused_until <= self.clock.now:
                node.run()
                for job in list(node.jobs):
                    self.run_job(node, job)
        self.clock.now += STEP_S

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def find_double_loans(self):
        """Return the shares that are lent to two home incarnations."""
        now, lenders = self.clock.now, {}
        for node in [*self.nodes.values(), *self.killed]:
            for key, loan in node.rights._lending.get_loans(now).items():
                lenders.setdefault(key, set()).add(loan.borrower)
        return [key for key, borrowers in lenders.items() if len(borrowers) > 1]

    def find_overloads(self):
        """Return the upstreams that run more requests than their limit."""
        return [n for n, e in self.engines.items() if len(e.running) > WARM_LIMIT]
