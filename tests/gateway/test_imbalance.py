"""Tests of the imbalance bound in simulated fleets of several sizes."""

import unittest
from dataclasses import replace
from functools import partial

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing import Prompt
from fescueflow.routing.health import FAILURES_MAX
from tests.fakes import FakeClock
from tests.gateway.fleet import FleetSimulation, Instance, Load
from tests.routing.builders import ENGINES, make_upstream

# Fraction of the requests in any five seconds that may reach an upstream whose load is
# above twice the mean of its service, plus 3.
OVER_PART_MAX = 0.03
SECONDS = 8.0
# Reads and copies per subject: most have a second holder and some have a third.
READS_MAX = 2.4
SMALL = Load(instances=8, upstreams=6, per_s=45.0, subjects=100, hot_share=0.25)
# 15% of the requests are suddenly for one subject, more than its holder may take.
HOT = Load(hot_share=0.15)
# The load of the incident of 2026-12-04: no single subject is hot, but a few holders
# get too many requests.
SKEWED = Load(subjects=60, skew=0.8)
LARGE = Load(instances=450, upstreams=37, per_s=220.0, hot_share=0.15)


class ImbalanceTest(unittest.TestCase):
    """Guards against holders that appear idle to each instance while all send there."""

    def check_bound(self, load, seeds=(1, 2)):
        for seed in seeds:
            with self.subTest(seed=seed):
                simulation = FleetSimulation(load, seed).run(SECONDS)
                self.assertLess(simulation.find_worst_window(), OVER_PART_MAX)

    def test_small_fleet(self):
        self.check_bound(SMALL)

    def test_hot_subject_in_a_large_fleet(self):
        self.check_bound(HOT)

    def test_upstreams_that_tell_no_load_in_a_large_fleet(self):
        self.check_bound(replace(HOT, is_load_reported=False))

    def test_uneven_subjects_in_a_large_fleet(self):
        self.check_bound(SKEWED)

    def test_copies_of_uneven_subjects(self):
        """Guards against keeping the bound by prefilling shared prefixes repeatedly."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                simulation = FleetSimulation(SKEWED, seed).run(SECONDS)
                self.assertLess(simulation.count_reads(), READS_MAX * SKEWED.subjects)

    def test_hot_subject_in_the_largest_fleet(self):
        self.check_bound(LARGE, seeds=(1,))


class MeanTest(unittest.TestCase):
    """Guards against bypassing holders because failing upstreams lower the mean."""

    def test_failing_upstreams_do_not_count_toward_the_mean(self):
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


class OvertakenReportTest(unittest.TestCase):
    """Guards against loads of a report that arrives after a later one."""

    def test_older_report_arrives_last(self):
        clock = FakeClock()
        name = UpstreamId("u0")
        names = [InstanceId(f"edge-{n}") for n in range(2)]
        sender, receiver = (
            Instance(n, names, [make_upstream(name)], clock, 1) for n in range(2)
        )
        request = sender.loads.start(name, ENGINES, 0, clock.monotonic())
        _, busy = sender.report(is_named=False)
        request.end()
        _, idle = sender.report(is_named=False)
        for data in (idle, busy):
            receiver.reporter.handle_report(data)
        loads = receiver.loads.estimate_loads([name], ENGINES, clock.monotonic())
        self.assertEqual(loads[name].running, 0)


if __name__ == "__main__":
    unittest.main()
