"""Tests of retries and the retry budget."""

import unittest

from fescueflow.routing import (
    AttemptEnd,
    RepeatBudget,
    RouteKind,
    ServiceId,
    may_repeat,
)
from tests.routing.builders import make_route

SERVICE = ServiceId("s")
NOT_RUN_ENDS = {AttemptEnd.NOT_SENT, AttemptEnd.REFUSED, AttemptEnd.MISDIRECTED}


class MayRepeatTest(unittest.TestCase):
    """Guards against a second run of a request that must not be retried."""

    def test_unsafe_request_is_repeated_only_if_it_did_not_run(self):
        for kind, resumable in ((RouteKind.UNSAFE, False), (RouteKind.STREAM, False)):
            route = make_route(kind=kind, is_resumable=resumable, attempts_max=3)
            allowed = {end for end in AttemptEnd if may_repeat(route, end, 1)}
            self.assertEqual(allowed, NOT_RUN_ENDS)

    def test_safe_and_resumable_requests(self):
        safe = make_route(kind=RouteKind.SAFE, attempts_max=2)
        stream = make_route(is_resumable=True, attempts_max=2)
        for route in (safe, stream):
            self.assertTrue(may_repeat(route, AttemptEnd.BROKEN, 1))
            self.assertFalse(may_repeat(route, AttemptEnd.BROKEN, 2))


class RepeatBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load that made upstreams fail."""

    def count(self, firsts, instances, attempts=1000):
        budget = RepeatBudget(0.2, 50, 10.0)
        for number in range(firsts):
            budget.add_first(SERVICE, number * 0.01)
        return sum(budget.take(SERVICE, 5.0, instances) for _ in range(attempts))

    def test_fleet_stays_within_the_rule(self):
        for firsts in (0, 100, 400):
            total = 9 * self.count(firsts, 9)
            self.assertLessEqual(total, 0.2 * firsts * 9 + 50)

    def test_window_slides(self):
        budget = RepeatBudget(0.0, 10, 10.0)
        self.assertTrue(all(budget.take(SERVICE, 0.0, 1) for _ in range(7)))
        self.assertFalse(budget.take(SERVICE, 9.9, 1))
        self.assertTrue(budget.take(SERVICE, 10.1, 1))


if __name__ == "__main__":
    unittest.main()
