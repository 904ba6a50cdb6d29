"""Tests of passive health checks and the rate limit of cold upstreams."""

import unittest

from fescueflow.core import UpstreamId
from fescueflow.routing import ColdStartLimiter, UpstreamHealth

NAME = UpstreamId("u1")


class UpstreamHealthTest(unittest.TestCase):
    """Guards against requests to a failing upstream, and against its lasting loss."""

    def test_exclusions_grow_and_end(self):
        health = UpstreamHealth()
        for _ in range(2):
            self.assertFalse(health.record_failure(NAME, 0.0))
        self.assertTrue(health.record_failure(NAME, 0.0))
        self.assertTrue(health.is_excluded(NAME, 0.4))
        self.assertFalse(health.is_excluded(NAME, 0.6))
        health.record_failure(NAME, 0.6)
        self.assertTrue(health.is_excluded(NAME, 1.5))

    def test_success_ends_the_exclusion(self):
        health = UpstreamHealth()
        for _ in range(5):
            health.record_failure(NAME, 0.0)
        health.record_success(NAME)
        self.assertFalse(health.is_excluded(NAME, 0.1))
        self.assertGreater(health.get_failure_rate(NAME), 0.0)


class ColdStartLimiterTest(unittest.TestCase):
    """Guards against instances that together exceed a cold upstream's rate limit."""

    def test_fleet_stays_within_the_rate_limit(self):
        limiters = [ColdStartLimiter(f"edge-{n}") for n in range(9)]
        times = [n / 100 for n in range(300)]
        sent = [
            now
            for now in times
            for limiter in limiters
            if limiter.try_acquire(NAME, 20.0, 9, now)
        ]
        # The service rules allow 1.5 times the rate plus five requests.
        for start in times:
            within = sum(start <= now < start + 1.0 for now in sent)
            self.assertLessEqual(within, 1.5 * 20 + 5)

    def count_peak(self, instances, per_s, first_s):
        """Return the most requests in any second after the upstream became cold."""
        limiters = [ColdStartLimiter(f"edge-{n}") for n in range(instances)]
        for limiter in limiters:
            limiter.try_acquire(NAME, per_s, instances, 0.0)
        times = [first_s + n / 20 for n in range(60)]
        sent = [
            now
            for now in times
            for limiter in limiters
            if limiter.try_acquire(NAME, per_s, instances, now)
        ]
        return max(sum(start <= now < start + 1.0 for now in sent) for start in times)

    def test_large_fleet_does_not_start_with_one_request_from_each(self):
        # Just after the first requests, and when cold again after a minute.
        for first_s in (0.05, 60.0):
            self.assertLessEqual(self.count_peak(88, 18.0, first_s), 1.5 * 18 + 5)

    def test_large_fleet_uses_the_rate(self):
        limiters = [ColdStartLimiter(f"edge-{n}") for n in range(88)]
        times = [n / 20 for n in range(100)]
        sent = [
            now
            for now in times
            for limiter in limiters
            if limiter.try_acquire(NAME, 18.0, len(limiters), now)
        ]
        self.assertGreater(len(sent), 0.8 * 18 * 5)


if __name__ == "__main__":
    unittest.main()
