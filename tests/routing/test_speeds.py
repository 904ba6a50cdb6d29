"""Tests of what is known of the speed of upstreams."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.core import UpstreamId
from fescueflow.routing import (
    Candidate,
    FirstEvent,
    LeftOut,
    Placement,
    Prompt,
    ServiceId,
    Slowdown,
    SpeedTable,
    UpstreamLoad,
    estimate_cost_ms,
    estimate_first_event_ms,
    find_reason_to_leave_out,
    rank_placements,
    select_in_time,
)
from fescueflow.routing.speed_signals import LOG_STEP
from tests.routing.builders import ENGINES, make_candidate, make_prompt, make_upstream

OTHERS = ServiceId("other-engines")
U1, U2, U3, U4 = (UpstreamId(f"u{n}") for n in range(1, 5))
USUAL_LOAD = UpstreamLoad()
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
        self.assertEqual(found, Slowdown(factor=1.0, age_s=None, share=1.0))

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

    def test_share_of_the_upstream(self):
        """The service factor is in the measured duration of its requests already."""
        self.tell({U1: 160, U2: 160, U3: 320}, seconds=0.5)
        found = self.table.estimate([U1, U3, U4], ENGINES, self.now)
        shares = [found[upstream].share for upstream in (U1, U3, U4)]
        for share, expected in zip(shares, (1.0, 2.0, 1.0), strict=True):
            self.assertAlmostEqual(share, expected)

    def test_share_is_computed_before_the_slowdown_is_clipped(self):
        for upstream in (U1, U2, U3) * 30:
            self.table.record_time(upstream, ENGINES, 200.0, 100.0, self.now)
        self.tell({U1: 400, U2: 400, U3: 800}, seconds=1.0)
        found = self.table.estimate([U3], ENGINES, self.now)[U3]
        self.assertAlmostEqual(found.factor, 8.0)
        self.assertAlmostEqual(found.share, 2.0, delta=0.1)

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


class TimeTest(SpeedCase):
    """Guards against engines that are slow and don't tell it."""

    def observe(self, upstream, observed_ms, count=1, expected_ms=100.0):
        for _ in range(count):
            self.table.record_time(
                upstream, ENGINES, observed_ms, expected_ms, self.now
            )
            self.now += 0.1

    def test_permanently_slow(self):
        self.observe(U1, 200.0, count=12)
        self.assertAlmostEqual(self.get_factor(U1), 2.0, delta=0.15)
        self.assertEqual(self.get_factor(U2), 1.0)

    def test_slow_for_300_ms(self):
        self.observe(U1, 400.0)
        self.assertLess(self.get_factor(U1), 1.5)

    def test_service_of_another_engine_type(self):
        for upstream in (U1, U2, U3):
            self.observe(upstream, 110 / 66.2 * 100, count=20)
        self.assertAlmostEqual(self.get_factor(U4), 110 / 66.2, delta=0.05)
        self.now += 30.0
        self.assertAlmostEqual(self.get_factor(U1), 110 / 66.2, delta=0.05)

    def test_percent_explains_a_part_of_the_time(self):
        for _ in range(30):
            self.tell({U1: 200})
            self.observe(U1, 300.0)
        self.tell({U1: 200})
        self.assertAlmostEqual(self.get_factor(U1), 3.0, delta=0.2)
        self.tell({U1: 100})
        self.assertAlmostEqual(self.get_factor(U1), 1.5, delta=0.15)


class FirstEventTest(unittest.TestCase):
    """Guards against delays that count as a slow upstream."""

    def find_reason(self, observed_ms=150.0, load=USUAL_LOAD, **changes):
        candidate = Candidate(make_upstream("u1", slots=16, cold_until=1.0), load)
        prompt = Prompt("k", 0, 11_000)
        placement = Placement(candidate, 0.0, False, 11_000)
        values = {"placement": placement, "prompt": prompt, "observed_ms": observed_ms}
        return find_reason_to_leave_out(FirstEvent(**{**values, **changes}), 2.0)

    def test_expected_time(self):
        load = UpstreamLoad(20, 1_100, failure_rate=0.5, slowdown=4.0)
        placement = Placement(Candidate(make_upstream("u1"), load), 0.0, False)
        self.assertAlmostEqual(estimate_first_event_ms(placement, 11_000), 123.0)

    def test_usual_sample(self):
        self.assertIsNone(self.find_reason())
        self.assertIsNone(self.find_reason(reported_running=16))

    def test_each_delay(self):
        full, cached = UpstreamLoad(16), Prompt("k", 20_000, 11_000)
        for reason, changes in (
            (LeftOut.RETRY, {"is_retry": True}),
            (LeftOut.SILENT, {"is_silent": True}),
            (LeftOut.COPIED, {"is_copied": True}),
            (LeftOut.QUEUED, {"reported_running": 17}),
            (LeftOut.QUEUED, {"load": full}),
            (LeftOut.IMPLAUSIBLE, {"observed_ms": 900.0}),
            (LeftOut.IMPLAUSIBLE, {"observed_ms": 20.0}),
            (LeftOut.EVICTED, {"prompt": cached, "observed_ms": 300.0}),
        ):
            with self.subTest(reason=reason):
                self.assertIs(self.find_reason(**changes), reason)
        self.assertIsNone(self.find_reason(load=full, reported_running=3))

    def test_copy_of_an_evicted_prefix(self):
        """The copy takes less time than the prefill, unless the prefix is short."""
        for shared, observed_ms, reason in (
            (20_000, 180.0, None),
            (20_000, 200.0, LeftOut.EVICTED),
            (300, 112.0, None),
            (300, 113.0, LeftOut.EVICTED),
        ):
            found = self.find_reason(
                prompt=Prompt("k", shared, 11_000),
                observed_ms=observed_ms,
                copy_tokens_per_ms=2_000.0,
            )
            self.assertIs(found, reason)

    def test_cold_upstream_and_short_prompt(self):
        cold = make_candidate("u1", cold_until=3.0, slots=16)
        for placement, reason in (
            (Placement(cold, 0.0, False, 11_000), LeftOut.COLD),
            (Placement(cold, 0.0, True, 11_000, is_copied=True), LeftOut.COPIED),
            (Placement(make_candidate("u1"), 0.0, False, 4_000), LeftOut.SHORT),
        ):
            self.assertIs(self.find_reason(placement=placement), reason)


class SlowPlacementTest(unittest.TestCase):
    """Guards against slow upstreams that get as many requests as the others."""

    def rank(self, *slowdowns, running=0, hold_ms=0.0, share=1.0):
        candidates = [
            make_candidate(
                f"u{n}",
                running=running,
                slots=16,
                slowdown=slowdown,
                slowdown_share=share,
            )
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
        """The mean duration, on which the wait rests, has the service factor in it."""
        for slowdown, share, wait_ms in (
            (1.0, 1.0, 100.0),
            (1.6, 1.0, 100.0),
            (2.0, 2.0, 200.0),
            (3.2, 2.0, 200.0),
            (0.5, 0.25, 25.0),
        ):
            found = self.rank(slowdown, running=20, hold_ms=320.0, share=share)[0]
            self.assertEqual(found.wait_ms, wait_ms)
            work_ms = (1_000 / 110.0 + 20 * 0.15) * slowdown + 40.0 * (slowdown - 1)
            self.assertAlmostEqual(found.cost_ms, wait_ms + max(0.0, work_ms))
        risky = UpstreamLoad(failure_rate=0.5, slowdown=4.0)
        self.assertEqual(estimate_cost_ms(risky, 0), 300.0 + 40.0 * 3)

    def test_slow_holder_of_a_short_prompt(self):
        """Its cached prompt costs a few ms, and its first event takes 100 ms longer."""
        # Short answers without copies, and chats with copies, of the two deployments.
        for shared, own, copy_rate in ((2_041, 360, 0.0), (699, 130, 2_000.0)):
            for percent, first in ((100, U1), (120, U1), (300, U2)):
                candidates = [
                    make_candidate("u1", running=2, slowdown=percent / 100),
                    make_candidate("u2", running=2),
                    make_candidate("u3", running=3),
                ]
                placed = rank_placements(
                    candidates,
                    make_prompt(shared, own),
                    frozenset({U1}),
                    2.0,
                    copy_tokens_per_ms=copy_rate,
                )
                self.assertEqual(placed[0].candidate.upstream.id, first)

    def test_fast_upstreams_are_told_apart_by_load(self):
        """Costs of 0 would send all short prompts to the first by name."""
        candidates = [
            make_candidate("u1", running=4, slowdown=0.5),
            make_candidate("u2", running=3, slowdown=0.5),
        ]
        placed = rank_placements(
            candidates, make_prompt(0, 100, key=""), frozenset(), 2.0
        )
        self.assertEqual([p.cost_ms for p in placed], [0.0, 0.0])
        self.assertEqual(placed[0].candidate.upstream.id, U2)

    @given(st.integers(0, 99), st.integers(0, 10**6), st.floats(0, 1))
    def test_usual_speed_changes_nothing(self, running, tokens, failure_rate):
        load = UpstreamLoad(running, tokens, failure_rate)
        expected = (tokens + 500) / 110.0 + running * 0.15 + failure_rate * 600.0
        self.assertEqual(estimate_cost_ms(load, 500), expected)

    def test_upstream_too_slow_for_the_deadline(self):
        placements = self.rank(1.0, 8.0)
        found = select_in_time(placements, 500.0, 0.0)
        self.assertEqual([p.candidate.upstream.id for p in found], [U1])


if __name__ == "__main__":
    unittest.main()
