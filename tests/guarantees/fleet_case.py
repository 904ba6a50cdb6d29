"""What the tests of guarantees at a real fleet share: the fleet and its judges."""

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

BOUND_S = 90.0
PRESET = replace(FIRST_USER, zone_delay_s=0.001)


NON_IDEMPOTENT = ("/payouts", "/bookings")


def count_runs(deployment):
    """Return the plain services' own counts of non-idempotent runs by request id."""
    entries = [e for s in deployment.services.values() for e in s.ledger.get_entries()]
    return Counter(e.key for e in entries if e.path in NON_IDEMPOTENT)


def run_callers(count, work):
    """Return the results of ``work(number)``, each run on a thread of its own."""
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(work, range(count)))


class FleetCase(unittest.TestCase):
    """Tests that share one fleet; each one finds it whole and without faults.

    Attributes
    ----------
    preset, timings, count
        May be overridden; the default is nine instances with short timings.
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
        self.wait_whole()
        self.sent = set()
        self.runs_before = count_runs(self.deployment)

    def tearDown(self):
        """End all faults, then require that no invariant was breached."""
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
        """Publish a configuration and wait until it is in force."""
        self.wait_revision(self.deployment.publish(**changes))

    def wait_revision(self, revision):
        def in_force():
            running = [i.id for i in self.fleet.get_running()]
            seen = {self.fleet.read_configuration(x)["revision"] for x in running}
            return seen == {revision}

        self.fleet.wait_until(in_force, BOUND_S, f"revision {revision} in force")

    def wait_idle(self):
        """Wait until no instance has a request in progress."""

        def idle():
            running = [i.id for i in self.fleet.get_running()]
            return not any(
                self.fleet.read_status(x)["requests_running"] for x in running
            )

        self.fleet.wait_until(idle, BOUND_S, "no request in progress")

    def wait_whole(self):
        """Wait until each instance sees all others live."""
        self.wait_seen(self.ids, set(self.ids))

    def wait_seen(self, observers, expected):
        """Wait until each observer sees exactly the expected instances as live."""

        def see():
            return all(self.get_seen(name) == set(expected) for name in observers)

        self.fleet.wait_until(see, BOUND_S, f"{observers} see {sorted(expected)}")

    def get_seen(self, name):
        members = self.fleet.read_status(name)["members"]
        return {m["instance"] for m in members if m["state"] == "live"}

    def make_caller(self, seed=1, customer="customer-3", attempts=1, **options):
        """Return a caller that tries once; a request id is one customer's."""
        get = self.fleet.get_addresses
        return Caller(get, customer, attempts, seed=seed, **options)

    def mint(self, count=1, without=()):
        """Return an instance's name and request ids that it issued.

        Only homes of upstreams issue ids to callers, so tests take as owner
        whichever instance, but for some, answers.
        """
        caller, found = self.make_caller(), {}

        def collect():
            answer = caller.ask_address(service=LEDGER, ids=count) or {}
            for request_id in answer.get("request_ids", ()):
                owner = request_id.partition(".")[0]
                if owner not in without:
                    found.setdefault(owner, []).append(request_id)
            return any(len(ids) >= count for ids in found.values())

        self.fleet.wait_until(collect, BOUND_S, f"{count} request ids of one owner")
        owner = max(found, key=lambda name: len(found[name]))
        return owner, found[owner][:count]

    def pay(self, caller, request_id, name, body=b"{}", path="/payouts"):
        """Send a non-idempotent request to one instance."""
        address = self.fleet.instances[name].http_address
        self.sent.add(request_id)
        return caller.call_service(
            LEDGER, "POST", path, body, False, request_id, address
        )

    def chat(self, caller, chat, turn=1, tokens=16, stream=True):
        """Ask the model; the caller checks each byte of the answer."""
        message = make_message(caller.customer, chat, turn, tokens)
        messages = [{"role": "user", "content": message}]
        return caller.chat(MODEL, chat, messages, affinity=chat, stream=stream)

    def assert_at_most_once(self):
        """Require that each id that ``pay`` sent ran at most once.

        A run under an id that nobody sent is a second run of a request, too.

        Returns
        -------
        collections.Counter
            Runs by request id in this test.
        """
        runs = count_runs(self.deployment) - self.runs_before
        self.assertEqual({x: n for x, n in runs.items() if n > 1}, {})
        self.assertEqual(set(runs) - self.sent, set())
        return runs
