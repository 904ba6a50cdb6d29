"""Tests of retries and the retry budget."""

import unittest

from fescueflow.routing import (
    AttemptFailure,
    RetryBudget,
    RouteKind,
    ServiceId,
    may_retry,
)
from tests.routing.builders import make_route

SERVICE = ServiceId("s")
NOT_RUN_FAILURES = {
    AttemptFailure.NOT_SENT,
    AttemptFailure.REFUSED,
    AttemptFailure.MISDIRECTED,
}


class MayRetryTest(unittest.TestCase):
    """Guards against a second run of a request that must not be retried."""

    def test_unsafe_request_is_retried_only_if_it_did_not_run(self):
        for kind, resumable in ((RouteKind.UNSAFE, False), (RouteKind.STREAM, False)):
            route = make_route(kind=kind, is_resumable=resumable, attempts_max=3)
            allowed = {
                failure for failure in AttemptFailure if may_retry(route, failure, 1)
            }
            self.assertEqual(allowed, NOT_RUN_FAILURES)

    def test_safe_and_resumable_requests(self):
        safe = make_route(kind=RouteKind.SAFE, attempts_max=2)
        stream = make_route(is_resumable=True, attempts_max=2)
        for route in (safe, stream):
            self.assertTrue(may_retry(route, AttemptFailure.BROKEN, 1))
            self.assertFalse(may_retry(route, AttemptFailure.BROKEN, 2))


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load that made upstreams fail."""

    def count(self, requests, instances, attempts=1000):
        budget = RetryBudget(0.2, 50, 10.0)
        for number in range(requests):
            budget.record_request(SERVICE, number * 0.01)
        return sum(budget.try_take(SERVICE, 5.0, instances) for _ in range(attempts))

    def test_fleet_stays_within_the_rule(self):
        for requests in (0, 100, 400):
            total = 9 * self.count(requests, 9)
            self.assertLessEqual(total, 0.2 * requests * 9 + 50)

    def test_retry_that_is_given_back(self):
        budget = RetryBudget(0.0, 10, 10.0)
        budget.give_back(SERVICE)
        for _ in range(20):
            self.assertTrue(budget.try_take(SERVICE, 0.0, 1))
            budget.give_back(SERVICE)
        self.assertTrue(all(budget.try_take(SERVICE, 0.0, 1) for _ in range(7)))
        self.assertFalse(budget.try_take(SERVICE, 0.0, 1))

    def test_window_slides(self):
        budget = RetryBudget(0.0, 10, 10.0)
        self.assertTrue(all(budget.try_take(SERVICE, 0.0, 1) for _ in range(7)))
        self.assertFalse(budget.try_take(SERVICE, 9.9, 1))
        self.assertTrue(budget.try_take(SERVICE, 10.1, 1))


if __name__ == "__main__":
    unittest.main()
