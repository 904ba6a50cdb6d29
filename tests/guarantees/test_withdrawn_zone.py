"""Guards that a withdrawn zone gets no new work 5 s after the publication."""

import threading
import time
from dataclasses import replace

from tests.guarantees.load_case import GENEROUS_S, LoadCase
from tests.selection import long_run
from tests.standins.caller import Caller
from tests.standins.deployment import FIRST_USER, LEDGER
from tests.standins.engine import EngineOptions
from tests.standins.plain_service import ServiceOptions

BOUND_S = 5.0
ZONE = "north-b"
PRESET = replace(
    FIRST_USER,
    engine_options=EngineOptions(token_s=0.03),
    service_options=ServiceOptions(delay_s=0.1),
)


class WithdrawnZoneTest(LoadCase):
    """Judged by ledgers of the zone's upstreams and by answers of its instances."""

    def setUp(self):
        self.direct = []

    def list_upstreams_of(self, zone):
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
        """Ask one instance, as a caller does that kept its address."""
        address = self.fleet.instances[name].http_address
        caller = Caller(lambda: [], "customer-5", attempts=1, timeout_s=60.0)
        started = time.monotonic()
        result = caller.call_service(
            LEDGER, "POST", "/quotes", b"{}", True, address=address
        )
        self.direct.append((started, result))

    def withdraw(self):
        """Start load, withdraw the zone and return when it was published."""
        for customer in ("customer-0", "customer-1"):
            self.start_load(8, customer)
        self.start_load(6, "customer-2", service=True)
        for load in self.loads:
            load.wait_whole(20)
        self.deployment.publish(withdrawn=[ZONE])
        return time.monotonic()

    def judge(self, published_at):
        """Check that nothing new began in the zone after the bound."""
        until = published_at + BOUND_S
        upstreams = self.list_upstreams_of(ZONE)
        self.assertEqual(self.list_starts(upstreams, until), {})
        inside = self.fleet.get_zone(ZONE)
        results = [pair for load in self.loads for pair in load.results]
        taken = [
            (at - published_at, result)
            for at, result in results + self.direct
            if at > until and result.instance in inside and result.status == 200
        ]
        self.assertEqual(taken, [])
        self.check_uninterrupted(upstreams, until)

    def run_past_bound(self, published_at):
        time.sleep(max(0.0, published_at + BOUND_S - time.monotonic()))
        for load in self.loads:
            load.wait_whole(20)

    def test_zone_returns_after_a_withdrawal_with_a_cut_link(self):
        """Guards against an instance without the service that keeps the zone."""
        with self.run_fleet(PRESET) as fleet:
            cut = fleet.get_zone(ZONE)[0]
            fleet.cut_platform([cut])
            self.run_past_bound(published_at := self.withdraw())
            self.call_directly(cut)
            self.assertEqual(self.direct[-1][1].error_type, "moved")
            self.judge(published_at)
            fleet.order(cut, "heal_platform")
            self.deployment.publish()
            returned_at = time.monotonic()
            fleet.wait_until(
                lambda: self.is_used(returned_at),
                GENEROUS_S,
                "work in the zone that returned",
            )
            self.finish_loads()

    def is_used(self, since):
        """Return whether all upstreams and some instance of the zone get work."""
        upstreams = self.list_upstreams_of(ZONE)
        results = [pair for load in self.loads for pair in list(load.results)]
        serving = {result.instance for at, result in results if at > since}
        used = self.list_starts(upstreams, since).keys()
        return used == upstreams.keys() and serving & set(self.fleet.get_zone(ZONE))

    @long_run
    def test_frozen_instances_wake_after_the_withdrawal(self):
        """Guards against a home that wakes with the configuration from before."""
        with self.run_fleet(PRESET) as fleet:
            homes = self.wait_homes()
            frozen = {homes[name][0] for name in self.list_upstreams_of(ZONE)}
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
            fleet.wait_until(lambda: all(t.is_alive() for t in threads), 5, "calls")
            for name in frozen:
                fleet.thaw(name)
            for thread in threads:
                thread.join(60)
            for load in self.loads:
                load.wait_whole(20)
            self.finish_loads()
            self.judge(published_at)
