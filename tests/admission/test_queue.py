"""Order and bounds of the queue, limit ramp and load estimates."""

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.admission.loads import compute_load_bound
from fescueflow.admission.pool import GrantedSlot, SlotPool, SlotPoolTimes
from fescueflow.admission.queue import QUEUE_MAX, Waiter, WaitQueue
from fescueflow.admission.ramp import LimitRamp
from fescueflow.admission.reader import parse_report
from fescueflow.admission.slots import LoadEvent, LoadReport, SlotDemand
from fescueflow.configuration import Group
from fescueflow.core import Priority, UpstreamKind
from fescueflow.rights import LeasedShares, ShareLease
from tests.builders import build_upstream

UPSTREAM = build_upstream()
GROUP = Group("g", UpstreamKind.ENGINE, 16, 2, 1.25)


def make_waiter(key, customer="c", priority=Priority.STANDARD, share=1, at=0.0):
    demand = SlotDemand(key, UPSTREAM, customer, priority, share, 1.0, 30.0)
    return Waiter(("i", 1), demand, at + 30.0, at)


def serve(queue, count):
    served = []
    for _ in range(count):
        waiter = queue.get_next()
        queue.remove(waiter, served=True)
        served.append(waiter.demand)
    return served


class TestQueue(unittest.TestCase):
    def setUp(self):
        self.queue = WaitQueue()

    def add(self, key, at=0.0, **changes):
        return self.queue.add(make_waiter(key, at=at, **changes), at)

    def test_surge_of_one_customer_does_not_delay_others(self):
        """Guards against a queue that serves in order of arrival."""
        for index in range(100):
            self.add(f"a{index}", customer="surging", at=index / 100)
        self.add("b", customer="quiet", at=2.0)
        self.assertIn("quiet", [d.customer for d in serve(self.queue, 2)])

    def test_service_follows_shares(self):
        """Guards against shares without effect."""
        for index in range(60):
            self.add(f"a{index}", customer="large", share=3)
            self.add(f"b{index}", customer="small", share=1)
        served = [d.customer for d in serve(self.queue, 40)]
        self.assertAlmostEqual(served.count("large"), 30, delta=3)

    def test_lower_class_gets_a_guaranteed_part(self):
        """Guards against starvation of batch work."""
        self.add("batch", priority=Priority.BATCH)
        for index in range(40):
            self.add(f"i{index}", priority=Priority.INTERACTIVE, at=1.0)
        served = [d.priority for d in serve(self.queue, 16)]
        self.assertEqual(served.count(Priority.BATCH), 1)
        self.assertEqual(served[0], Priority.INTERACTIVE)

    def test_full_queue_refuses_the_heaviest_customer(self):
        """Guards against a surge that fills the whole queue."""
        for index in range(QUEUE_MAX):
            self.assertIsNone(self.add(f"a{index}", customer="surging", at=index))
        evicted = self.add("b", customer="quiet", at=QUEUE_MAX)
        self.assertEqual(evicted.demand.customer, "surging")
        self.assertEqual(len(self.queue), QUEUE_MAX)

    def test_throttled_customer_is_skipped(self):
        """Guards against a throttled customer that blocks the queue."""
        self.add("i", customer="surging", priority=Priority.INTERACTIVE)
        self.add("s", customer="quiet", at=1.0)
        self.assertEqual(self.queue.get_next({"surging"}).demand.request_key, "s")
        self.assertIsNone(self.queue.get_next({"surging", "quiet"}))

    def test_repeated_wait_keeps_its_place(self):
        """Guards against requesters that lose their place after each wait interval."""
        waiter = make_waiter("first")
        self.queue.add(waiter, 0.0)
        self.queue.remove(waiter, served=False)
        self.queue.retain_place(waiter, 0.2)
        self.add("second", customer="d", at=0.2)
        self.add("first", at=0.3)
        self.assertEqual(serve(self.queue, 1)[0].request_key, "first")


class TestRamp(unittest.TestCase):
    def report(self, incarnation="e", warm=True, events=()):
        listed = tuple(LoadEvent(number, kind) for number, kind in events)
        return LoadReport(incarnation, 0, warm, 0.0, listed)

    @given(st.lists(st.booleans(), max_size=60))
    def test_limit_never_outruns_completed_answers(self, completions):
        """Guards against a cold upstream that gets a warm upstream's load."""
        ramp, completed = LimitRamp(GROUP), 0
        for good in completions:
            if good:
                ramp.complete(0.01)
                completed += 1
            else:
                ramp.turn_cold()
                completed = 0
            self.assertLessEqual(ramp.limit, max(2, completed + 2))
            self.assertLessEqual(ramp.limit, 16)

    def test_report_of_a_lost_cache_sets_the_cold_limit(self):
        """Guards against a lost cache that goes undetected."""
        first = self.report(events=[(4, "stored")])
        cases = {
            "cleared": self.report(events=[(5, "cleared")]),
            "event_gap": self.report(events=[(6, "stored")]),
            "new_incarnation": self.report("other"),
            "reported_cold": self.report(warm=False),
            None: self.report(events=[(5, "stored"), (6, "stored")]),
        }
        for cold_reason, report in cases.items():
            ramp = LimitRamp(GROUP)
            ramp.apply_report(first)
            self.assertEqual(ramp.limit, 16)
            self.assertEqual(ramp.apply_report(report), cold_reason)
            self.assertEqual(ramp.limit, 2 if cold_reason else 16)

    def test_limit_stays_while_the_engine_reports_that_it_is_cold(self):
        """Guards against old responses that raise the limit of a cold engine."""
        ramp = LimitRamp(GROUP)
        ramp.apply_report(self.report(warm=False))
        for _ in range(10):
            ramp.complete(0.1)
        self.assertEqual(ramp.limit, 2)
        ramp.apply_report(self.report())
        ramp.complete(0.1)
        self.assertEqual(ramp.limit, 4)

    def test_first_report_of_a_new_home_sets_the_cold_limit(self):
        """Guards against slots of an earlier period that raise a cold engine's limit.

        They complete before the first report of the new period. With seed 132 of
        the randomised run, a cold engine with a limit of 1 ran two requests at a
        time for a second.
        """
        ramp = LimitRamp(GROUP)
        ramp.restart()
        for _ in range(2):
            ramp.complete(0.1)
        self.assertEqual(ramp.limit, 4)
        self.assertEqual(ramp.apply_report(self.report(warm=False)), "reported_cold")
        self.assertEqual((ramp.limit, ramp.limit_max), (2, 2))
        ramp.restart()
        self.assertIsNone(ramp.apply_report(self.report(warm=False)))
        self.assertEqual(ramp.limit, 2)

    def test_raised_warm_limit_leaves_a_cold_engine_at_its_cold_limit(self):
        """Guards against a configuration change that raises a cold engine's limit.

        When the warm limit equals the cold limit, the current limit alone does not
        show that the engine is cold.
        """
        ramp = LimitRamp(replace(GROUP, warm_limit=2))
        ramp.apply_report(self.report(warm=False))
        ramp.configure(GROUP)
        self.assertEqual(ramp.limit, 2)
        ramp.apply_report(self.report())
        ramp.configure(replace(GROUP, warm_limit=8))
        self.assertEqual(ramp.limit, 2)

    def test_slow_first_byte_sets_the_cold_limit(self):
        """Guards against a cache loss that no event reports."""
        ramp = LimitRamp(GROUP)
        self.assertFalse(any(ramp.complete(0.1) for _ in range(20)))
        self.assertTrue(ramp.complete(0.9))
        self.assertEqual(ramp.limit, 2)


class TestLoads(unittest.TestCase):
    @given(st.integers(1, 50), st.lists(st.integers(0, 200), min_size=1, max_size=40))
    def test_some_engine_is_always_below_the_bound(self, hundredths, loads):
        """Guards against a bound that refuses work at every engine of a group."""
        bound = compute_load_bound(1 + hundredths / 100, sum(loads), len(loads))
        self.assertLess(min(loads), bound)

    def test_foreign_load_excludes_own_finished_requests(self):
        """Guards against own finished requests that count as foreign load."""
        pool = SlotPool(UPSTREAM, GROUP, SlotPoolTimes(2.0, 0.7, 1.0))
        pool.start_home_period(0.0)
        pool.apply_report(LoadReport("e", 3, True, 1.0))
        self.assertEqual(pool.count_foreign(1.5), 3)
        pool.set_carried("i", 4, 1.5)
        self.assertEqual(pool.count_foreign(1.6), 4)
        self.assertEqual(pool.count_foreign(4.0), 3)

    def make_shares(self):
        leases = tuple(ShareLease(share, 0.5, 99.0) for share in range(8))
        return LeasedShares(255, 99.0, 0.0, leases)

    def test_reclaimed_request_counts_until_a_later_report(self):
        """Guards against slots granted twice when their holder is partitioned."""
        pool = SlotPool(UPSTREAM, GROUP, SlotPoolTimes(2.0, 0.7, 1.0))
        pool.start_home_period(0.0)
        pool.apply_report(LoadReport("e", 0, True, 1.0))
        pool.add_slot(GrantedSlot(1, "k", ("i", 1), 1.0, 1.5, 90.0, "c", 1), 1.0)
        pool.reclaim_slot(1, 3.0)
        pool.apply_report(LoadReport("e", 1, True, 2.9))
        self.assertEqual(pool.compute_capacity(self.make_shares(), 3.1).slots, 0)
        pool.apply_report(LoadReport("e", 1, True, 4.5))
        self.assertEqual(pool.compute_capacity(self.make_shares(), 4.6).slots, 15)

    def test_unused_slot_is_not_taken_for_a_running_request(self):
        """Guards against foreign load hidden by a slot whose request never started."""
        pool = SlotPool(UPSTREAM, GROUP, SlotPoolTimes(2.0, 0.7, 1.0))
        pool.start_home_period(0.0)
        pool.add_slot(GrantedSlot(1, "k", ("i", 1), 1.0, 1.5, 90.0, "c", 1), 1.0)
        pool.apply_report(LoadReport("e", 4, True, 2.0))
        self.assertEqual(pool.compute_capacity(self.make_shares(), 2.1).slots, 13)
        pool.remove_slot(1, 2.2)
        self.assertEqual(pool.compute_capacity(self.make_shares(), 2.3).slots, 12)

    def test_report_is_dated_back(self):
        """Guards against an old report that is treated as new."""
        body = (
            b'{"incarnation": "e", "in_flight": 2, "warm": true, "age_ms": 400,'
            b' "events": [{"sequence": 7, "kind": "cleared"}]}'
        )
        report = parse_report(body, 100.0)
        self.assertEqual((report.taken_at, report.in_flight), (99.6, 2))
        self.assertEqual(report.events, (LoadEvent(7, "cleared"),))


if __name__ == "__main__":
    unittest.main()
