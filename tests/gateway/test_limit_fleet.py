"""Tests of the sum that a fleet sends to upstreams that name a limit."""

import unittest

from tests.gateway.limit_fleet import LimitDay, LimitFleet

RATES = (3.8, 2.4, 1.3, 1.0)
AT_S = 3.0


def spread_limits(count, at=AT_S, rates=RATES):
    """Return limits of some upstreams, each rate in turn."""
    return tuple(
        (at, tuple(range(n, count, len(rates))), rate) for n, rate in enumerate(rates)
    )


class SumTest(unittest.TestCase):
    """Guards against a fleet that sends an upstream more than it said it takes."""

    def check(self, day, seed=1):
        fleet = LimitFleet(day, seed).run()
        self.assertTrue(any(a.is_bound for a in fleet.arrivals))
        breaches = fleet.find_breaches()
        self.assertEqual((len(breaches), breaches[:3]), (0, []))
        return fleet

    def test_eight_instances(self):
        self.check(LimitDay(8, 12, 80.0, spread_limits(8)))

    def test_all_upstreams_of_eight_instances(self):
        self.check(LimitDay(8, 6, 60.0, spread_limits(6)))

    def test_88_instances(self):
        self.check(LimitDay(88, 30, 180.0, spread_limits(21), seconds=14.0))

    def test_195_instances(self):
        self.check(LimitDay(195, 48, 300.0, spread_limits(34), seconds=11.0))

    def test_small_service_of_a_large_fleet(self):
        limits = spread_limits(4, rates=(19.0,))
        self.check(LimitDay(73, 4, 150.0, limits, seconds=10.0))

    def test_one_customer_has_most_of_the_demand(self):
        self.check(LimitDay(8, 8, 60.0, spread_limits(6), skew=2.5), seed=2)

    def test_most_reports_are_lost_or_late(self):
        day = LimitDay(8, 8, 60.0, spread_limits(6), lost=0.5, late=0.5, late_s=2.0)
        self.check(day, seed=3)

    def test_instance_cut_off(self):
        cut = ((2, 6.0, 20.0),)
        self.check(LimitDay(8, 8, 60.0, spread_limits(6), cut=cut), seed=4)

    def test_instances_start_and_stop(self):
        started, stopped = ((7, 7.0), (8, 10.0)), ((3, 9.0), (4, 13.0))
        day = LimitDay(
            9, 8, 60.0, spread_limits(6), started=started, stopped=stopped, seconds=22.0
        )
        self.check(day, seed=5)

    def test_limit_that_changes(self):
        changes = spread_limits(6)
        changes += spread_limits(6, 9.0, RATES[::-1]) + spread_limits(6, 15.0)
        self.check(LimitDay(8, 8, 60.0, changes, seconds=22.0), seed=6)

    def test_limit_named_again_after_its_end(self):
        changes = spread_limits(6) + spread_limits(6, 9.0, (None,))
        changes += spread_limits(6, 12.0)
        self.check(LimitDay(8, 8, 60.0, changes, seconds=22.0), seed=7)


class RecoveryTest(unittest.TestCase):
    """Guards against an upstream that is avoided after its limit has ended."""

    def test_ended_limit_is_used_soon(self):
        for instances, seconds in ((8, 20.0), (88, 17.0)):
            limits = spread_limits(6) + spread_limits(6, 10.0, (None,))
            day = LimitDay(instances, 8, 60.0, limits, seconds=seconds)
            fleet = LimitFleet(day, 8).run()
            # From the rule's time to settle on: half of what even loads would give.
            even = 60.0 / 8 * (seconds - 13.0)
            for number in range(6):
                with self.subTest(instances=instances, upstream=number):
                    count = fleet.count_arrivals({f"u{number}"}, 13.0, seconds)
                    self.assertGreater(count, even / 2)

    def test_limits_are_used_under_load(self):
        day = LimitDay(8, 6, 60.0, spread_limits(6))
        fleet = LimitFleet(day, 9).run()
        self.assertGreater(fleet.measure_use(7.0, 20.0), 0.5)
        self.assertLessEqual(fleet.measure_use(7.0, 20.0), 1.0)


class RefusalTest(unittest.TestCase):
    """Guards against refused callers that come back at once, or urgent ones last."""

    def setUp(self):
        day = LimitDay(8, 6, 60.0, spread_limits(6), urgent_share=0.1, seconds=25.0)
        self.fleet = LimitFleet(day, 10).run()
        self.refusals = [r for r in self.fleet.refusals if r.at > 7.0]

    def test_return_times_are_bounded_and_spread(self):
        delays = [r.retry_after_s for r in self.refusals]
        self.assertGreater(min(delays), 0.0)
        self.assertLessEqual(max(delays), 3.0)
        backs = {}
        for refusal in self.refusals:
            back = (refusal.instance, round(refusal.at + refusal.retry_after_s, 3))
            backs[back] = backs.get(back, 0) + 1
        self.assertLessEqual(max(backs.values()), 3)

    def test_urgent_requests_are_served_first(self):
        def measure_served(priority):
            served = sum(
                a.priority == priority and a.at > 7.0 for a in self.fleet.arrivals
            )
            refused = sum(r.priority == priority for r in self.refusals)
            return served / (served + refused)

        self.assertGreater(measure_served(0), 3 * measure_served(5))
        self.assertGreater(measure_served(5), 0.0)


if __name__ == "__main__":
    unittest.main()
