"""Bound on imbalance in fleets of any size, on a replayed load."""

import unittest
from dataclasses import replace
from functools import partial

from fescueflow.core import UpstreamId
from fescueflow.routing import Prompt
from fescueflow.routing.health import FAILURES_MAX
from tests.fakes import FakeClock
from tests.gateway.fleet import FleetReplay, Instance, Load
from tests.routing.builders import ENGINES, make_upstream

# The rules' bound: so many of the requests of five seconds may reach an upstream over
# twice the mean of its service, plus 3.
OVER_PART_MAX = 0.03
SECONDS = 8.0
# Reads and copies for each subject: a second holder for most and a third for some.
READS_MAX = 2.4
SMALL = Load(instances=8, upstreams=6, per_s=45.0, subjects=100, hot_share=0.25)
# One subject is suddenly asked for by 15 of 100 callers, more than its holder may take.
HOT = Load(hot_share=0.15)
# The load of the incident: no subject stands out, and a few holders have too many.
SKEWED = Load(subjects=60, skew=0.8)
LARGE = Load(instances=450, upstreams=37, per_s=220.0, hot_share=0.15)


class ImbalanceTest(unittest.TestCase):
    """Guards against holders that each instance takes for idle while all send there."""

    def check_bound(self, load, seeds=(1, 2)):
        for seed in seeds:
            with self.subTest(seed=seed):
                replay = FleetReplay(load, seed).run(SECONDS)
                self.assertLess(replay.find_worst_window(), OVER_PART_MAX)

    def test_small_fleet(self):
        self.check_bound(SMALL)

    def test_hot_subject_in_a_large_fleet(self):
        self.check_bound(HOT)

    def test_upstreams_that_tell_no_load_in_a_large_fleet(self):
        self.check_bound(replace(HOT, is_load_reported=False))

    def test_uneven_subjects_in_a_large_fleet(self):
        self.check_bound(SKEWED)

    def test_copies_of_uneven_subjects(self):
        """Guards against a bound that is kept by reading parts again and again."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                replay = FleetReplay(SKEWED, seed).run(SECONDS)
                self.assertLess(replay.count_reads(), READS_MAX * SKEWED.subjects)

    def test_hot_subject_in_the_largest_fleet(self):
        self.check_bound(LARGE, seeds=(1,))


class MeanTest(unittest.TestCase):
    """Guards against holders that are left for the load of upstreams that fail."""

    def test_failing_upstreams_share_no_load(self):
        clock = FakeClock()
        names = [UpstreamId(f"u{n}") for n in range(4)]
        upstreams = [make_upstream(name) for name in names]
        instance = Instance(0, ["edge-0"], upstreams, clock, 1)
        instance.loads.set_peer_loads(
            "edge-1", {names[0]: (8, 0), names[1]: (8, 0)}, 1000.0
        )
        select = partial(instance.selector.select, ENGINES, Prompt(), set(), 10.0)
        self.assertEqual(select().bound.mean, 4.0)
        for name in names[2:] * FAILURES_MAX:
            instance.selector.record_failure(name)
        self.assertGreaterEqual(select().bound.mean, 8.0)


if __name__ == "__main__":
    unittest.main()
