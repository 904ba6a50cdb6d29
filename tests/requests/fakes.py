"""Fakes for tests of the request service: fleet, membership and executor."""

import threading
from collections import Counter

from fescueflow.requests import RequestExecutor, RequestService
from fescueflow.schema import Header, SubmitAnswer
from fescueflow.transport import Keyring
from tests.builders import KEYS, build_member, build_monitoring, build_settings
from tests.fakes import FakeMembership, MemoryHub


class FakeFleet(MemoryHub):
    """Members and frame connections of instances in one process."""

    def __init__(self):
        super().__init__()
        self.members = {}
        self.adopted = {}

    def add(self, member):
        self.members[member.instance] = member

    def remove(self, instance):
        member = self.members.pop(instance, None)
        if member is not None:
            self.endpoints.pop(member.peer_address, None)


class AdoptingMembership(FakeMembership):
    """Members with the incarnations whose tables they adopted."""

    def find_owner(self, instance, incarnation):
        for member in self.fleet.members.values():
            key = (member.instance, member.incarnation)
            if key == (instance, incarnation):
                return member
            if (instance, incarnation) in self.fleet.adopted.get(key, set()):
                return member
        return None

    def announce_adopted(self, instance, incarnation):
        key = (self.own.instance, self.own.incarnation)
        self.fleet.adopted.setdefault(key, set()).add((instance, incarnation))


class FakeExecutor(RequestExecutor):
    """Counts executions by id; ``plan`` holds the results of the next ones."""

    def __init__(self):
        self.runs = Counter()
        self.plan = []
        self.entered = threading.Event()
        self.before_send = None
        self.after_send = None

    def execute(self, request, record, deadline):
        step = self.plan.pop(0) if self.plan else b"answer"
        self.entered.set()
        if self.before_send is not None:
            self.before_send()
        if isinstance(step, tuple) and step[0] == "before":
            raise step[1]
        record.mark_sent()
        self.runs[request.request_id] += 1
        if self.after_send is not None:
            self.after_send()
        if isinstance(step, tuple):
            raise step[1]
        return SubmitAnswer(200, [Header("X-Upstream", "u")], step + request.body)


class FakeInstance:
    """A request service with its fakes."""

    def __init__(
        self, fleet, name, incarnation, executor, clock, zone="z1", **settings
    ):
        self.fleet = fleet
        self.clock = clock
        self.member = build_member(name, incarnation, zone)
        fleet.add(self.member)
        self.metrics, self.audit, self.invariants = build_monitoring(
            name, incarnation, clock
        )
        self.settings = build_settings(name, zone, **settings)
        self.membership = AdoptingMembership(fleet, self.member)
        endpoint = fleet.make_endpoint(self.member.peer_address, name, incarnation)
        self.requests = RequestService(
            settings=self.settings,
            keyring=Keyring(KEYS),
            membership=self.membership,
            frame_client=endpoint,
            frame_server=endpoint,
            executor=executor or self.make_executor(),
            clock=clock,
            metrics=self.metrics,
            audit=self.audit,
            invariants=self.invariants,
            incarnation=incarnation,
        )

    def make_executor(self):
        """Return the default executor."""
        return FakeExecutor()
