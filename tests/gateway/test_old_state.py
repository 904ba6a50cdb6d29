"""Tests of requests that the state of an instance does not know."""

import json
import threading
import time
import unittest

from fescueflow.gateway.confirmation import (
    CONFIRM_WAIT_S,
    CURRENT_AGE_MAX_S,
    WAITING_MAX,
    StateConfirmation,
    StateSource,
)
from fescueflow.gateway.watching import HURRY_INTERVAL_S
from tests.fakes import ManualClock
from tests.gateway.gateway_case import ROUTES, GatewayTestCase, make_table
from tests.gateway.test_late_configuration import FleetTest


class RefusalTest(GatewayTestCase):
    """Guards against refusals for good by a configuration that may be outdated."""

    unknown_key = {"Authorization": "Token k2"}

    def make_state_old(self):
        self.store.is_down = True
        state = self.gateway._platform_state
        self.wait_for(lambda: state.get_age(time.monotonic()) > CURRENT_AGE_MAX_S)

    def check_told_to_return(self, answer):
        status, headers, body = answer
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertEqual(json.loads(body)["error"]["outcome"], "not_run")

    def test_unknown_key_and_route_with_a_current_state(self):
        self.assertEqual(self.call("/safe/1", headers=self.unknown_key)[0], 401)
        self.assertEqual(self.call("/nowhere/1")[0], 404)

    def test_unknown_key_and_route_with_an_old_state(self):
        self.make_state_old()
        self.check_told_to_return(self.call("/safe/1", headers=self.unknown_key))
        self.check_told_to_return(self.call("/nowhere/1"))
        self.assertEqual(self.call("/safe/1")[0], 200)

    def test_key_that_was_added_during_an_outage(self):
        self.make_state_old()
        self.store.put(
            "op/config",
            make_table(2, tenants=[{"name": "c1", "api_keys": ["k1", "k2"]}]),
        )
        self.check_told_to_return(self.call("/safe/1", headers=self.unknown_key))
        self.store.is_down = False
        self.wait_for(lambda: self.call("/safe/1", headers=self.unknown_key)[0] == 200)

    def test_new_key_and_route_are_never_refused_for_good(self):
        """Each answer is 200, or 503 until the state is current again."""
        self.make_state_old()
        routes = [*ROUTES, {**ROUTES[2], "name": "new", "prefix": "/new/"}]
        keys = [{"name": "c1", "api_keys": ["k1", "k2"]}]
        self.store.put("op/config", make_table(2, routes=routes, tenants=keys))
        threading.Timer(0.3, lambda: setattr(self.store, "is_down", False)).start()
        seen = set()
        while 200 not in seen:
            seen.add(self.call("/new/1", headers=self.unknown_key)[0])
        self.assertLessEqual(seen, {200, 503})


class FollowerTest(FleetTest):
    """Guards against refusals while a configuration is on its way."""

    def setUp(self):
        self.fleet = self.make_fleet(1)
        self.follower = self.fleet.list_followers()[0]
        self.confirmation = StateConfirmation(
            self.follower.watcher, self.follower.clock
        )

    def confirm(self):
        """Confirm on a thread of its own; return the list that gets the result."""
        results = []

        def work():
            until = self.fleet.time.now + 5.0
            is_current = self.confirmation.confirm(until)
            results.append((is_current, self.follower.get_version()))

        self.fleet.time.start("caller", work)
        return results

    def test_announced_configuration_is_fetched_at_once(self):
        version = self.fleet.put_configuration()
        while not self.follower.watcher._missing.keys:
            self.fleet.run(0.001)
        results = self.confirm()
        self.fleet.run(0.1)
        self.assertEqual(results, [(True, version)])

    def test_instance_without_updates_asks(self):
        self.fleet.cut.add(self.follower.host)
        self.fleet.run(CURRENT_AGE_MAX_S - 0.55)
        version = self.fleet.put_configuration()
        self.fleet.run(0.5)
        while not self.follower.watcher.is_current():
            results = self.confirm()
            self.fleet.run(0.1)
            self.assertEqual(results, [(True, version)])

    def test_flood_of_unknown_requests(self):
        """Guards against a call of the store for each made-up key."""
        self.follower.client.answer_delay_s = 0.2
        self.fleet.put_configuration()
        self.follower.client.calls = 0
        for _ in range(200):
            self.confirm()
            self.fleet.run(0.01)
        self.assertLessEqual(self.follower.client.calls, 2.0 / HURRY_INTERVAL_S + 2)


class SilentSource(StateSource):
    """A source that is never current."""

    def __init__(self, is_reachable):
        self._is_reachable = is_reachable

    def is_current(self):
        return False

    def is_reachable(self):
        return self._is_reachable

    def hurry(self):
        """Do nothing."""


class WaitTest(unittest.TestCase):
    """Guards against requests that wait for nothing."""

    def setUp(self):
        self.clock = ManualClock()

    def test_store_that_is_not_reachable(self):
        confirmation = StateConfirmation(SilentSource(False), self.clock)
        self.assertFalse(confirmation.confirm(self.clock.now + 5.0))
        self.assertEqual(self.clock.now, 1000.0)

    def test_longest_wait(self):
        confirmation = StateConfirmation(SilentSource(True), self.clock)
        self.assertFalse(confirmation.confirm(self.clock.now + 5.0))
        self.assertLess(self.clock.now, 1000.0 + CONFIRM_WAIT_S + 0.1)

    def test_deadline_of_the_request(self):
        confirmation = StateConfirmation(SilentSource(True), self.clock)
        self.assertFalse(confirmation.confirm(self.clock.now + 0.1))
        self.assertLess(self.clock.now, 1000.2)

    def test_places_are_bounded(self):
        confirmation = StateConfirmation(SilentSource(True), self.clock)
        for _ in range(WAITING_MAX):
            confirmation._places.acquire()
        self.assertFalse(confirmation.confirm(self.clock.now + 5.0))
        self.assertEqual(self.clock.now, 1000.0)


if __name__ == "__main__":
    unittest.main()
