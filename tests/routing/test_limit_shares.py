"""Tests of the shares of instances in the limit of an upstream."""

import unittest

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing import LimitShares, PublishedDemand, compute_burst

LIMITS = (0.0, 0.05, 0.1, 0.3, 1.0, 1.3, 2.4, 3.8, 10.0, 60.0, 1e6)
SIZES = (1, 2, 5, 8, 9, 88, 195)
WINDOW_S = 4.0


def make_demands(size, rate=lambda number: 1.0):
    """Return callers' requests a second by instance."""
    return {InstanceId(f"edge-{n}"): rate(n) for n in range(size)}


def compute_shares(demands, limit, upstream="u1"):
    """Return the shares that all instances compute from the same demands."""
    found = []
    for name in demands:
        shares = LimitShares(name)
        shares.set_demands(demands)
        found.append(shares.compute(UpstreamId(upstream), limit))
    return found


class WorstCaseTest(unittest.TestCase):
    """Guards against buckets that together hold more than the rule allows."""

    def test_full_buckets_and_a_whole_window(self):
        for limit in LIMITS:
            for size in SIZES:
                with self.subTest(limit=limit, size=size):
                    held = [
                        s
                        for s in compute_shares(make_demands(size, lambda n: n), limit)
                        if s.rate > 0
                    ]
                    worst = sum(s.depth + WINDOW_S * s.rate for s in held)
                    self.assertLessEqual(worst, 0.85 * (6 * limit + 5) + 1e-6)
                    self.assertGreaterEqual(min(s.depth for s in held), 1.0)

    def test_rates_add_up_to_the_limit(self):
        for limit in (0.3, 1.0, 3.8):
            shares = compute_shares(make_demands(88, lambda n: n / 3), limit)
            self.assertAlmostEqual(sum(s.rate for s in shares), limit)

    def test_zero_is_tried_now_and_then(self):
        rates = [s.rate for s in compute_shares(make_demands(8), 0.0)]
        self.assertAlmostEqual(sum(rates), 0.1)

    def test_burst_leaves_a_part_of_the_bound(self):
        for limit in LIMITS:
            highest = compute_burst(limit) + WINDOW_S * max(0.1, limit)
            self.assertLessEqual(highest, 0.85 * (6 * limit + 5) + 1e-6)


class DemandTest(unittest.TestCase):
    """Guards against shares that lie where no request comes, or count twice."""

    def test_shares_follow_the_demand(self):
        demands = make_demands(4, lambda n: 9.0 if n == 0 else 1.0)
        rates = [s.rate for s in compute_shares(demands, 2.4)]
        self.assertAlmostEqual(rates[0], 2.4 * 9 / 12)

    def test_idle_holder_keeps_a_little(self):
        demands = make_demands(4, lambda n: 9.0 if n == 0 else 0.0)
        self.assertGreater(min(s.rate for s in compute_shares(demands, 2.4)), 0.04)

    def test_demand_that_others_have_not_heard_of(self):
        before, after = make_demands(5), make_demands(5, lambda n: 20.0)
        total = 0.0
        for name in before:
            published = PublishedDemand()
            published.record(before[name], 1.0)
            published.record(after[name], 2.0)
            own = published.get_lowest(3.0, 4.5)
            shares = LimitShares(name)
            shares.set_demands({**after, name: own})
            total += shares.compute(UpstreamId("u1"), 2.0).rate
        self.assertLessEqual(total, 2.0)

    def test_old_published_demand_is_dropped(self):
        published = PublishedDemand()
        self.assertEqual(published.get_lowest(3.0, 0.0), 0.0)
        published.record(1.0, 1.0)
        published.record(5.0, 2.0)
        self.assertEqual(published.get_lowest(3.0, 4.9), 1.0)
        self.assertEqual(published.get_lowest(3.0, 5.1), 5.0)

    def test_upstreams_have_different_holders(self):
        demands = make_demands(88)
        counts = dict.fromkeys(demands, 0)
        for number in range(88):
            shares = compute_shares(demands, 1.0, f"u{number}")
            for name, share in zip(demands, shares, strict=True):
                counts[name] += share.rate > 0
        self.assertEqual(sum(counts.values()), 88 * 5)
        self.assertLess(max(counts.values()), 20)

    def test_instance_that_does_not_carry_requests(self):
        shares = LimitShares(InstanceId("other"))
        shares.set_demands(make_demands(3))
        self.assertEqual(shares.compute(UpstreamId("u1"), 2.0).rate, 0.0)

    def test_no_instance_is_known(self):
        shares = LimitShares(InstanceId("other"))
        self.assertEqual(shares.compute(UpstreamId("u1"), 2.0).rate, 0.0)


if __name__ == "__main__":
    unittest.main()
