"""Tests that a withdrawn zone gets no new work 5 s after the publication."""

import threading
import time
from dataclasses import replace

from tests.guarantees.load_case import TIMEOUT_S, LoadCase
from tests.selection import long_run
from tests.standins.caller import Caller
from tests.standins.deployment import FIRST_USER, LEDGER
from tests.standins.engine import EngineOptions
from tests.standins.plain_service import ServiceOptions

NO_NEW_WORK_AFTER_S = 5.0
ZONE = "north-b"
PRESET = replace(
    FIRST_USER,
    engine_options=EngineOptions(token_s=0.03),
    service_options=ServiceOptions(delay_s=0.1),
)


class WithdrawnZoneTest(LoadCase):
    """Checks ledgers of the zone's upstreams and answers of its instances."""

    def setUp(self):
        self.direct_results = []

    def list_zone_upstreams(self, zone):
        numbered = [
            item
            for group in (self.deployment.engines, self.deployment.services)
            for item in enumerate(group.items())
        ]
        return {
            name: upstream
            for number, (name, upstream) in numbered
            if self.deployment.get_zone(number) == zone
        }

    def call_directly(self, name):
        """Call one instance, as a caller with a cached address does."""
        address = self.fleet.instances[name].http_address
        caller = Caller(lambda: [], "customer-5", attempts=1, timeout_s=60.0)
        started = time.monotonic()
        result = caller.call_service(
            LEDGER, "POST", "/quotes", b"{}", True, address=address
        )
        self.direct_results.append((started, result))

    def withdraw(self):
        """Start load, withdraw the zone and return the time of the publication."""
        for customer in ("customer-0", "customer-1"):
            self.start_load(8, customer)
        self.start_load(6, "customer-2", service=True)
        for load in self.loads:
            load.wait_complete_answers(20)
        self.deployment.publish(withdrawn=[ZONE])
        return time.monotonic()

    def assert_no_late_work(self, published_at):
        """Assert that no new work began in the zone after the bound."""
        until = published_at + NO_NEW_WORK_AFTER_S
        upstreams = self.list_zone_upstreams(ZONE)
        self.assertEqual(self.list_starts(upstreams, until), {})
        inside = self.fleet.get_zone(ZONE)
        results = [pair for load in self.loads for pair in load.results]
        accepted = [
            (at - published_at, result)
            for at, result in results + self.direct_results
            if at > until and result.instance in inside and result.status == 200
        ]
        self.assertEqual(accepted, [])
        self.assert_uninterrupted(upstreams, until)

    def run_past_bound(self, published_at):
        time.sleep(max(0.0, published_at + NO_NEW_WORK_AFTER_S - time.monotonic()))
        for load in self.loads:
            load.wait_complete_answers(20)

    def test_zone_returns_after_a_withdrawal_with_a_cut_link(self):
        """Guards against work in the zone by an instance cut off from the service."""
        with self.run_fleet(PRESET) as fleet:
            cut = fleet.get_zone(ZONE)[0]
            fleet.cut_platform([cut])
            self.run_past_bound(published_at := self.withdraw())
            self.call_directly(cut)
            self.assertEqual(self.direct_results[-1][1].error_type, "moved")
            self.assert_no_late_work(published_at)
            fleet.order(cut, "heal_platform")
            self.deployment.publish()
            returned_at = time.monotonic()
            fleet.wait_until(
                lambda: self.is_used(returned_at),
                TIMEOUT_S,
                "work in the zone that returned",
            )
            self.finish_loads()

    def is_used(self, since):
        """Return whether all upstreams and any instance of the zone get work."""
        upstreams = self.list_zone_upstreams(ZONE)
        results = [pair for load in self.loads for pair in list(load.results)]
        serving = {result.instance for at, result in results if at > since}
        used = self.list_starts(upstreams, since).keys()
        return used == upstreams.keys() and serving & set(self.fleet.get_zone(ZONE))

    @long_run
    def test_frozen_instances_wake_after_the_withdrawal(self):
        """Guards against a home that resumes with an outdated configuration."""
        with self.run_fleet(PRESET) as fleet:
            homes = self.wait_homes()
            frozen = {homes[name][0] for name in self.list_zone_upstreams(ZONE)}
            for name in frozen:
                fleet.freeze(name)
            self.run_past_bound(published_at := self.withdraw())
            threads = [
                threading.Thread(target=self.call_directly, args=(name,), daemon=True)
                for name in frozen
                for _ in range(4)
            ]
            for thread in threads:
                thread.start()
            fleet.wait_until(
                lambda: all(t.is_alive() for t in threads), 5, "calls in progress"
            )
            for name in frozen:
                fleet.thaw(name)
            for thread in threads:
                thread.join(60)
            for load in self.loads:
                load.wait_complete_answers(20)
            self.finish_loads()
            self.assert_no_late_work(published_at)
