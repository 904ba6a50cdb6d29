"""Tests of the report rotation in fleets too large to send each report to all."""

import unittest

from fescueflow.core import SeededRandomSource, UpstreamId
from fescueflow.gateway.loads import LOAD_AGE_MAX_S, LoadTracker
from fescueflow.gateway.rotation import (
    REPORT_FANOUT,
    ReceiverRotation,
    count_reports_per_round,
    is_full_report,
)
from fescueflow.routing import HolderTable
from fescueflow.routing.holders import UPDATE_SENDS
from tests.routing.builders import ENGINES, make_upstream

# The other instances of the larger of the two extended sites.
HOSTS = [f"host{n}" for n in range(87)]


class ReceiverRotationTest(unittest.TestCase):
    """Guards against instances of a large fleet that never get some reports."""

    def test_each_instance_gets_one_report_of_a_round(self):
        rotation = ReceiverRotation(SeededRandomSource(1))
        for _ in range(3):
            taken = [
                rotation.next_receivers(HOSTS)
                for _ in range(count_reports_per_round(len(HOSTS)))
            ]
            self.assertEqual(sorted(sum(taken, [])), sorted(HOSTS))
            self.assertLessEqual(max(map(len, taken)), REPORT_FANOUT)

    def test_small_fleet_gets_all_reports(self):
        rotation = ReceiverRotation(SeededRandomSource(1))
        self.assertEqual(
            rotation.next_receivers(HOSTS[:REPORT_FANOUT]), HOSTS[:REPORT_FANOUT]
        )

    def test_lost_instance_is_skipped_and_a_new_one_included(self):
        rotation = ReceiverRotation(SeededRandomSource(1))
        rotation.next_receivers(HOSTS)
        changed = [*HOSTS[1:], "new"]
        rounds = 2 * count_reports_per_round(len(HOSTS))
        taken = {
            host for _ in range(rounds) for host in rotation.next_receivers(changed)
        }
        self.assertEqual(taken, set(changed))

    def test_holder_updates_reach_every_instance(self):
        table, rotation = HolderTable(), ReceiverRotation(SeededRandomSource(1))
        upstreams = [make_upstream(f"u{n}") for n in range(70)]
        expected = min(table.find(ENGINES, "k", upstreams, 0.0))
        other = next(u.id for u in upstreams if u.id != expected)
        table.record_use(ENGINES, "k", other, upstreams, 0.0)
        told = set()
        for _ in range(UPDATE_SENDS * count_reports_per_round(len(HOSTS)) + 1):
            receivers = rotation.next_receivers(HOSTS)
            if table.take_updates(0.0, count_reports_per_round(len(HOSTS))):
                told.update(receivers)
        self.assertEqual(told, set(HOSTS))


class FullReportTest(unittest.TestCase):
    """Guards against control traffic that grows quadratically with the fleet."""

    def test_number_of_full_reports_is_independent_of_fleet_size(self):
        for receivers in (8, 72, 450):
            reports = 4 * 4 * count_reports_per_round(receivers)
            full = sum(is_full_report(n, receivers) for n in range(reports))
            self.assertEqual(full, 4)

    def test_small_fleet_lists_all_in_every_fourth_report(self):
        full = [n for n in range(12) if is_full_report(n, REPORT_FANOUT)]
        self.assertEqual(full, [1, 5, 9])


class LoadAgeTest(unittest.TestCase):
    """Guards against dropping loads before the next report can arrive."""

    def test_loads_are_kept_for_two_reports(self):
        tracker = LoadTracker()
        tracker.set_peer_loads("other", {UpstreamId("u1"): (3, 0)}, 0.0)
        interval_s = 2 * LOAD_AGE_MAX_S
        for now, total in ((LOAD_AGE_MAX_S + 0.1, 3), (2 * interval_s + 0.1, 0)):
            found = tracker.estimate_loads(["u1"], ENGINES, now, interval_s)["u1"]
            self.assertAlmostEqual(found.running, total)

    def test_own_requests_count_in_full(self):
        tracker = LoadTracker()
        tracker.set_peer_loads("other", {UpstreamId("u1"): (3, 0)}, 0.0)
        tracker.start(UpstreamId("u1"), ENGINES, 700, 0.0)
        found = tracker.estimate_loads(["u1", "u2"], ENGINES, 0.0)
        self.assertEqual((found["u1"].running, found["u1"].own_running), (4, 1))
        self.assertEqual((found["u1"].waiting_tokens, found["u2"].running), (700, 0))


if __name__ == "__main__":
    unittest.main()
