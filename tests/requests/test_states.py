"""Stateful test of owner tables.

Guards against a request that runs twice and against a false ``not_run``.
"""

import unittest

from hypothesis import settings, strategies
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    multiple,
    rule,
)

from fescueflow.core import Moved, Outcome, Overloaded, RequestError, UpstreamFailed
from fescueflow.schema import SubmitRequest
from tests.fakes import ManualClock
from tests.requests.fakes import FakeExecutor, FakeFleet, FakeInstance

NAMES = ["a", "b", "c", "d"]
STEPS = strategies.sampled_from(["answer", "large", "before", "after", "crash"])
FAULTS = strategies.lists(
    strategies.sampled_from([None, "refused", "lost", "unanswered"]), max_size=3
)


def make_step(name):
    return {
        "answer": b"x",
        "large": b"x" * 70000,
        "before": ("before", Overloaded("full", retry_after_ms=5)),
        "after": ("after", UpstreamFailed("cut")),
        "crash": ("after", ZeroDivisionError("bug")),
    }[name]


class OwnerTables(RuleBasedStateMachine):
    """Instances that fail, hand over their tables and restart."""

    ids = Bundle("ids")

    @initialize(target=ids)
    def start(self):
        self.fleet = FakeFleet()
        self.clock = ManualClock()
        self.executor = FakeExecutor()
        self.incarnation = 0
        self.instances = {}
        self.not_run = set()
        self.ran = {}
        self.sent = {}
        for name in NAMES:
            self.start_instance(name)
        first, second = (self.instances[name].requests.mint(4) for name in "ab")
        return multiple(*first, *second)

    def start_instance(self, name):
        self.incarnation += 1
        self.instances[name] = FakeInstance(
            self.fleet,
            name,
            self.incarnation,
            self.executor,
            self.clock,
            zone="z1" if name < "c" else "z2",
            request_records_max=5,
            request_id_lifetime_s=60,
        )

    @rule(
        target=ids,
        name=strategies.sampled_from(NAMES),
        count=strategies.integers(1, 4),
    )
    def mint(self, name, count):
        try:
            return multiple(*self.instances[name].requests.mint(count))
        except Moved:
            return multiple()

    @rule(
        request_id=ids,
        name=strategies.sampled_from(NAMES),
        step=STEPS,
        faults=FAULTS,
        change=strategies.sampled_from([None] * 6 + ["customer", "path", "body"]),
    )
    def submit(self, request_id, name, step, faults, change):
        self.send(request_id, name, step, faults, change)

    @rule(name=strategies.sampled_from(NAMES), changed=strategies.booleans())
    def repeat_all(self, name, changed):
        """Repeat every request that was sent before."""
        for request_id in self.sent:
            self.send(request_id, name, "answer", [], "body" if changed else None)

    @rule(name=strategies.sampled_from(NAMES), step=STEPS)
    def submit_new(self, name, step):
        """Send a new request to the instance that issues its id."""
        try:
            request_id = self.instances[name].requests.mint(1)[0]
        except Moved:
            return
        self.send(request_id, name, step, [], None)

    def send(self, request_id, name, step, faults, change):
        self.sent.setdefault(request_id)
        self.executor.plan = [make_step(step)]
        self.fleet.faults = list(faults)
        content = {"customer": "c", "path": "/pay", "body": "1"}
        if change:
            content[change] = "2"
        request = SubmitRequest(
            request_id=request_id,
            customer=content["customer"],
            method="POST",
            path=content["path"],
            body=content["body"].encode(),
            deadline_ms=1000,
        )
        before = self.executor.runs[request_id]
        try:
            answer = self.instances[name].requests.submit(request)
            assert answer.body.endswith(request.body)
            assert self.executor.runs[request_id] == 1
            assert self.ran.setdefault(request_id, content) == content
        except RequestError as error:
            if self.executor.runs[request_id] > before:
                self.ran.setdefault(request_id, content)
            if error.outcome is Outcome.NOT_RUN:
                self.not_run.add(request_id)
            if error.outcome is Outcome.RAN:
                assert self.executor.runs[request_id] == 1
        finally:
            self.fleet.faults = []

    @rule(
        name=strategies.sampled_from(NAMES),
        event=strategies.sampled_from(["wait", "close", "leave", "end", "leave"]),
        seconds=strategies.sampled_from([0.5, 30, 62]),
        faults=FAULTS,
    )
    def disturb(self, name, event, seconds, faults):
        """Apply an event.

        A single rule for all events makes most steps requests.
        """
        requests = self.instances[name].requests
        if event == "wait":
            self.clock.now += seconds
        elif event == "close":
            requests.close()
        elif event == "leave":
            self.fleet.faults = list(faults)
            requests.suspend()
            requests.hand_over()
            assert not requests.hand_over(), "a second handover must not happen"
            self.fleet.faults = []
        else:
            self.fleet.remove(name)
            self.start_instance(name)

    @invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.executor.runs.values())

    @invariant()
    def refusals_are_true(self):
        assert all(self.executor.runs[request_id] == 0 for request_id in self.not_run)

    @invariant()
    def memory_is_bounded(self):
        for instance in self.instances.values():
            tables = instance.requests._tables._tables.values()
            assert sum(map(len, tables)) <= 5


OwnerTablesTest = OwnerTables.TestCase
OwnerTablesTest.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, database=None
)


if __name__ == "__main__":
    unittest.main()
