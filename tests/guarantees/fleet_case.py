"""Base class of guarantee tests that share a real fleet between test methods."""

import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from tests.standins.caller import Caller
from tests.standins.content import make_message
from tests.standins.deployment import (
    FIRST_USER,
    LEDGER,
    MODEL,
    SHORT_TIMINGS,
    Deployment,
)
from tests.standins.fleet import Fleet

TIMEOUT_S = 90.0
PRESET = replace(FIRST_USER, zone_delay_s=0.001)


NON_IDEMPOTENT = ("/payouts", "/bookings")


def count_executions(deployment):
    """Return how often the plain services ran each non-idempotent request, by id."""
    entries = [e for s in deployment.services.values() for e in s.ledger.get_entries()]
    return Counter(e.key for e in entries if e.path in NON_IDEMPOTENT)


def run_concurrently(count, work):
    """Run ``work(number)`` for each number on its own thread; return the results."""
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(work, range(count)))


class FleetCase(unittest.TestCase):
    """Test case whose methods share one fleet.

    Each test starts with all instances live and without faults.

    Attributes
    ----------
    preset : DeploymentPreset
        Zones, upstreams and limits of the deployment.
    timings : dict
        Settings of the instances; short by default.
    count : int
        Number of instances.
    """

    preset = PRESET
    timings = SHORT_TIMINGS
    count = 9

    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(cls.preset).start()
        cls.addClassCleanup(cls.deployment.stop)
        cls.fleet = Fleet(cls.deployment, cls.count, cls.timings)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.ids = list(cls.fleet.instances)

    def setUp(self):
        self.wait_all_live()
        self.sent = set()
        self.executions_before = count_executions(self.deployment)

    def tearDown(self):
        """End all faults, then assert that no invariant was breached."""
        self.clear_faults()
        for instance in self.fleet.instances.values():
            if instance.is_running() and instance.frozen:
                self.fleet.thaw(instance.id)
        for instance in self.fleet.instances.values():
            if not instance.is_running():
                self.fleet.restart(instance.id, wait=False)
        self.fleet.wait_ready()
        self.fleet.heal()
        self.assertEqual(self.fleet.count_breaches(), {})
        self.assertEqual(self.deployment.get_errors(), [])

    def clear_faults(self):
        for upstream in self.deployment.get_upstreams().values():
            upstream.faults.clear()

    def publish_everywhere(self, **changes):
        """Publish a configuration and wait until all instances use it."""
        self.wait_revision(self.deployment.publish(**changes))

    def wait_revision(self, revision):
        def in_force():
            running = [i.id for i in self.fleet.get_running()]
            seen = {self.fleet.read_configuration(x)["revision"] for x in running}
            return seen == {revision}

        self.fleet.wait_until(in_force, TIMEOUT_S, f"revision {revision} in force")

    def wait_idle(self):
        """Wait until no instance has a request in progress."""

        def idle():
            running = [i.id for i in self.fleet.get_running()]
            return not any(
                self.fleet.read_status(x)["requests_running"] for x in running
            )

        self.fleet.wait_until(idle, TIMEOUT_S, "no request in progress")

    def wait_all_live(self):
        """Wait until each instance sees all others live."""
        self.wait_live_members(self.ids, set(self.ids))

    def wait_live_members(self, observers, expected):
        """Wait until each observer sees exactly the expected instances as live."""

        def all_see_expected():
            return all(
                self.get_live_members(name) == set(expected) for name in observers
            )

        self.fleet.wait_until(
            all_see_expected, TIMEOUT_S, f"{observers} see {sorted(expected)}"
        )

    def get_live_members(self, name):
        members = self.fleet.read_status(name)["members"]
        return {m["instance"] for m in members if m["state"] == "live"}

    def make_caller(self, seed=1, customer="customer-3", attempts=1, **options):
        """Return a caller that makes one attempt by default.

        A request id belongs to one customer, so callers share a default customer.
        """
        get = self.fleet.get_addresses
        return Caller(get, customer, attempts, seed=seed, **options)

    def obtain_request_ids(self, count=1, without=()):
        """Return the name of an instance and ``count`` request ids that it issued.

        Only homes of upstreams issue ids to callers, so the owner is whichever
        instance issues enough of them first, except those in ``without``.
        """
        caller, found = self.make_caller(), {}

        def collect():
            answer = caller.ask_address(service=LEDGER, ids=count) or {}
            for request_id in answer.get("request_ids", ()):
                owner = request_id.partition(".")[0]
                if owner not in without:
                    found.setdefault(owner, []).append(request_id)
            return any(len(ids) >= count for ids in found.values())

        self.fleet.wait_until(collect, TIMEOUT_S, f"{count} request ids of one owner")
        owner = max(found, key=lambda name: len(found[name]))
        return owner, found[owner][:count]

    def send_non_idempotent(
        self, caller, request_id, name, body=b"{}", path="/payouts"
    ):
        """Send a non-idempotent request to one instance."""
        address = self.fleet.instances[name].http_address
        self.sent.add(request_id)
        return caller.call_service(
            LEDGER, "POST", path, body, False, request_id, address
        )

    def chat(self, caller, chat, turn=1, tokens=16, stream=True):
        """Send a chat request; the caller verifies each byte of the answer."""
        message = make_message(caller.customer, chat, turn, tokens)
        messages = [{"role": "user", "content": message}]
        return caller.chat(MODEL, chat, messages, affinity=chat, stream=stream)

    def assert_at_most_once(self):
        """Assert that each request id in ``self.sent`` ran at most once.

        A run under an id that was not sent also counts as a second run.

        Returns
        -------
        collections.Counter
            Runs in this test, by request id.
        """
        runs = count_executions(self.deployment) - self.executions_before
        self.assertEqual({x: n for x, n in runs.items() if n > 1}, {})
        self.assertEqual(set(runs) - self.sent, set())
        return runs
