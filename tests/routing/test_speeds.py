"""Tests of what is known of the speed of upstreams."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.core import UpstreamId
from fescueflow.routing import (
    ServiceId,
    SpeedTable,
    UpstreamLoad,
    estimate_cost_ms,
    rank_placements,
    select_in_time,
)
from fescueflow.routing.speeds import LOG_STEP
from tests.routing.builders import ENGINES, make_candidate, make_prompt

OTHERS = ServiceId("other-engines")
U1, U2, U3, U4 = (UpstreamId(f"u{n}") for n in range(1, 5))
SAMPLES = st.tuples(st.sampled_from((U1, U2, U3)), st.integers(1, 10**9))


class SpeedCase(unittest.TestCase):
    """Records samples at a table whose time the test sets."""

    def setUp(self):
        self.table = SpeedTable()
        self.now = 100.0

    def tell(self, percents, seconds=0.0, every_s=0.05, service=ENGINES):
        """Record the same percent figures of upstreams for some time."""
        end = self.now + seconds
        while True:
            for upstream, percent in percents.items():
                self.table.record_percent(upstream, service, percent, self.now)
            if self.now + every_s > end:
                return
            self.now += every_s

    def get_factor(self, upstream, service=ENGINES):
        return self.table.estimate([upstream], service, self.now)[upstream].factor


class PercentTest(SpeedCase):
    """Guards against placement by the speed that an engine does not have now."""

    def test_nothing_known(self):
        found = self.table.estimate([U1], ENGINES, self.now)[U1]
        self.assertEqual((found.factor, found.age_s), (1.0, None))

    def test_permanently_slow(self):
        self.tell({U1: 300, U2: 100, U3: 100}, seconds=2.0)
        self.now += 0.1
        self.assertAlmostEqual(self.get_factor(U1), 3.0, delta=0.35)
        self.assertEqual(self.get_factor(U2), 1.0)
        self.now += 5.0
        self.assertAlmostEqual(self.get_factor(U1), 1.0, delta=0.02)

    def test_slow_for_300_ms(self):
        usual = {U1: 100, U2: 100, U3: 100}
        self.tell(usual, seconds=1.0)
        self.tell({**usual, U1: 400}, seconds=0.3)
        self.assertAlmostEqual(self.get_factor(U1), 4.0)
        self.now += 0.05
        self.tell(usual, seconds=0.1)
        self.assertEqual(self.get_factor(U1), 1.0)

    def test_one_sample_moves_a_figure_by_a_step(self):
        self.tell({U1: 800})
        self.assertAlmostEqual(self.get_factor(U1), math.exp(LOG_STEP))

    def test_service_of_another_engine_type(self):
        slow = {U1: 160, U2: 180, U3: 200}
        self.tell(slow, seconds=0.5)
        self.tell({U1: 100, U2: 100, U3: 100}, service=OTHERS)
        self.assertAlmostEqual(self.get_factor(U4), 1.8)
        self.assertEqual(self.get_factor(U4, OTHERS), 1.0)
        self.now += 4.0
        self.assertAlmostEqual(self.get_factor(U1), 1.8, delta=0.05)

    def test_two_upstreams_say_nothing_of_a_third(self):
        self.tell({U1: 200, U2: 200})
        self.assertEqual(self.get_factor(U3), 1.0)

    @given(st.lists(SAMPLES, max_size=30), st.floats(0, 10))
    def test_any_samples_stay_in_range(self, samples, pause_s):
        table = SpeedTable()
        for upstream, percent in samples:
            table.record_percent(upstream, ENGINES, percent, 1.0)
        for slowdown in table.estimate([U1, U4], ENGINES, 1.0 + pause_s).values():
            self.assertTrue(0.25 <= slowdown.factor <= 8.0)

    def test_lost_upstreams_are_forgotten(self):
        self.tell({U1: 200, U2: 200, U3: 200})
        self.table.retain({U1})
        self.assertEqual(self.get_factor(U2), 1.0)


class SlowPlacementTest(unittest.TestCase):
    """Guards against slow upstreams that get as many requests as the others."""

    def rank(self, *slowdowns, running=0, hold_ms=0.0):
        candidates = [
            make_candidate(f"u{n}", running=running, slots=16, slowdown=slowdown)
            for n, slowdown in enumerate(slowdowns, 1)
        ]
        return rank_placements(
            candidates, make_prompt(), frozenset({U1}), 2.0, hold_ms=hold_ms
        )

    def test_slow_holder_is_passed_over(self):
        # Its 1,000 tokens take longer than 11,000 at the other one.
        self.assertEqual(self.rank(1.0, 1.0)[0].candidate.upstream.id, U1)
        self.assertEqual(self.rank(8.0, 0.5)[0].candidate.upstream.id, U2)

    def test_cost_and_wait(self):
        usual, slow = (self.rank(f, running=20, hold_ms=320.0)[0] for f in (1.0, 2.0))
        self.assertEqual((usual.wait_ms, slow.wait_ms), (100.0, 200.0))
        self.assertAlmostEqual(slow.cost_ms, 2 * usual.cost_ms)
        risky = UpstreamLoad(failure_rate=0.5, slowdown=4.0)
        self.assertEqual(estimate_cost_ms(risky, 0), 300.0)

    def test_upstream_too_slow_for_the_deadline(self):
        placements = self.rank(1.0, 8.0)
        found = select_in_time(placements, 500.0, 0.0)
        self.assertEqual([p.candidate.upstream.id for p in found], [U1])


if __name__ == "__main__":
    unittest.main()
