"""Ramps of upstreams that start or recover."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.core import UpstreamId
from fescueflow.routing import FirstEventTimes, RampCause, UpstreamRamps, is_slow
from tests.routing.ramp_fleet import SERVICE, UPSTREAM, RampFleet

# Fleet sizes of the deployments, and one instance.
SIZES = (1, 9, 67, 140)


class RampTest(unittest.TestCase):
    """Guards against upstreams that are flooded at their start, or left idle."""

    def test_first_windows_of_a_fleet(self):
        """They add up to a quarter of the slots, whatever the number of instances."""
        for instances in SIZES:
            with self.subTest(instances=instances):
                fleet = RampFleet(instances, 320, 320, slowness=lambda now: 20.0)
                self.assertLessEqual(max(fleet.run(0.9)), 8 * 2)

    def test_fast_starter_is_not_left_idle(self):
        for instances in SIZES:
            with self.subTest(instances=instances):
                fleet = RampFleet(instances, 450, 24)
                open_counts = list(fleet.run(6.0))
                self.assertGreater(sum(open_counts[-50:]) / 50, 0.6 * 24)

    def test_slow_starter_gets_little_until_it_is_fast(self):
        """Each prompt takes five times as long in the first four seconds."""
        for instances in SIZES:
            with self.subTest(instances=instances):
                slow = lambda now: 5.0 if now < 104.0 else 1.0  # noqa: E731
                fleet = RampFleet(instances, 450, 24, slowness=slow)
                open_counts = list(fleet.run(14.0))
                self.assertLessEqual(max(open_counts[:175]), 16)
                self.assertGreater(sum(open_counts[-50:]) / 50, 0.6 * 24)

    def test_upstream_that_crashes_when_it_is_flooded(self):
        """Without a ramp it crashes each second."""
        for instances in (67, 140):
            with self.subTest(instances=instances):
                fleet = RampFleet(instances, 450, 24, room=12, crash_at=60)
                open_counts = list(fleet.run(4.0))
                self.assertLessEqual(fleet.crashes, 1)
                self.assertGreater(sum(open_counts) / len(open_counts), 4)

    def test_instances_with_few_requests_each(self):
        """The small service: 116 calls a second of 45 ms, 140 instances."""
        demand = 116 * 0.045
        fleet = RampFleet(140, demand, demand, slots=6, duration_s=0.045)
        open_counts = list(fleet.run(4.0))
        self.assertLess(max(open_counts[:25]), 6)
        # Its share is a third of the demand.
        self.assertGreater(sum(open_counts[-100:]) / 100, demand / 3)

    def test_upstream_that_stays_slow(self):
        """Each cut prolonged the ramp of an instance that has many requests."""
        for instances in (1, 2):
            with self.subTest(instances=instances):
                fleet = RampFleet(instances, 450, 24, slowness=lambda now: 3.0)
                open_counts = list(fleet.run(36.0))
                self.assertGreater(sum(open_counts[-50:]) / 50, 0.6 * 24)

    def test_slow_responses_at_the_lowest_window(self):
        """They cut nothing more, so that a good response of that time counts."""
        ramps = UpstreamRamps("i1")
        ramp = ramps.begin(UPSTREAM, SERVICE, RampCause.START, 32, 1, 10.0)
        cuts = [ramps.record_slow(UPSTREAM, 11.0 + n, 11.0 + n) for n in range(6)]
        self.assertEqual((cuts, ramp.window), ([True] * 4 + [False] * 2, 0.5))
        ramps.record_good(UPSTREAM, 15.0)
        self.assertEqual(ramp.window, 1.0)
        self.assertTrue(ramps.record_bad(UPSTREAM, 20.0, 20.0))
        self.assertTrue(ramps.record_bad(UPSTREAM, 21.0, 21.0))

    def test_old_requests_neither_cut_nor_raise(self):
        ramps = UpstreamRamps("i1")
        ramp = ramps.begin(UPSTREAM, SERVICE, RampCause.START, 32, 1, 10.0)
        self.assertTrue(ramps.record_bad(UPSTREAM, 10.1, 11.0))
        self.assertFalse(ramps.record_bad(UPSTREAM, 10.2, 11.1))
        self.assertFalse(ramps.record_good(UPSTREAM, 10.3))
        self.assertEqual(ramp.window, 4.0)
        ramp.share = 6.0
        over = [ramps.record_good(UPSTREAM, 12.0) for _ in range(3)]
        self.assertEqual((over, ramp.window), ([False, False, True], 7.0))

    @given(st.integers(1, 200), st.integers(1, 64), st.lists(st.booleans()))
    def test_window_stays_within_bounds(self, instances, slots, responses):
        ramps = UpstreamRamps("i1")
        ramp = ramps.begin(UPSTREAM, SERVICE, RampCause.COLD, slots, instances, 0.0)
        for now, is_good in enumerate(responses, 1):
            before = ramp.window
            if is_good:
                ramps.record_good(UPSTREAM, now)
                self.assertTrue(before < ramp.window <= max(1.0, 2 * before))
            else:
                ramps.record_bad(UPSTREAM, now, now)
                self.assertTrue(0 < ramp.window <= before)

    def test_upstream_without_a_ramp(self):
        ramps = UpstreamRamps("i1")
        self.assertTrue(ramps.has_room(UpstreamId("u2"), 99, 0.0, 1.0, 0.0))
        self.assertFalse(ramps.record_good(UPSTREAM, 0.0))
        self.assertFalse(ramps.record_bad(UPSTREAM, 0.0, 0.0))

    def test_usual_times_by_size_and_age(self):
        times = FirstEventTimes()
        times.record(SERVICE, 1000, 0.1, 0.0)
        self.assertEqual(times.find(SERVICE, 900, 1.0), (0.1, 1.0))
        self.assertIsNone(times.find(SERVICE, 9000, 1.0))
        self.assertIsNone(times.find(SERVICE, 1000, 31.0))
        self.assertTrue(is_slow(0.23, 0.1))
        self.assertFalse(is_slow(0.21, 0.1) or is_slow(9.0, None))


if __name__ == "__main__":
    unittest.main()
