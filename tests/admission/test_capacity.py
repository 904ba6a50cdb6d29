"""Capacity of a home that leases further shares while its requests run."""

import unittest

from fescueflow.admission.pool import GrantedSlot, SlotPool, SlotPoolTimes
from fescueflow.admission.slots import LoadReport
from fescueflow.configuration import Group
from fescueflow.core import UpstreamKind
from fescueflow.rights import LeasedShares, ShareLease
from tests.builders import build_upstream

STEP_S = 0.005
REPORT_STEPS = 40
REPORT_LAG_S = 0.1
START_WITHIN_S = 1.0
LEASE_S = 1.2
COLD_LIMIT = 2
GROUP = Group("g", UpstreamKind.ENGINE, 16, COLD_LIMIT, 1.25)
TIMES = SlotPoolTimes(lease_s=LEASE_S, renew_s=0.35, report_lag_s=0.3)


class HomeSimulation:
    """Simulates a home with a permanently full queue and a cold engine.

    Parameters
    ----------
    late_s : float
        Time at which the second share is leased; the first is leased at 0.1 s.
    hold_s : float
        Duration of each request in seconds.
    """

    def __init__(self, late_s, hold_s):
        self.late_s, self.hold_s = late_s, hold_s
        self.pool = SlotPool(build_upstream(), GROUP, TIMES)
        self.pool.start_home_period(0.0)
        self.ends, self.history = {}, [(0.0, 0)]
        self.granted, self.peak = 0, 0

    def run(self, seconds):
        """Return the largest number of requests that ran at once."""
        for step in range(1, round(seconds / STEP_S)):
            now = step * STEP_S
            self.end_requests(now)
            if step % REPORT_STEPS == 0:
                self.report(now - REPORT_LAG_S)
            self.grant(now)
            self.peak = max(self.peak, len(self.ends))
        return self.peak

    def end_requests(self, now):
        for number, end in list(self.ends.items()):
            if end <= now:
                del self.ends[number]
                self.history.append((now, len(self.ends)))
                self.pool.remove_slot(number, now, now)

    def report(self, moment):
        count = next(n for at, n in reversed(self.history) if at <= moment)
        self.pool.apply_report(LoadReport("e", count, False, moment))

    def make_shares(self, now):
        until = now + LEASE_S
        leases = [ShareLease(0, 0.1, until), ShareLease(1, self.late_s, until)]
        leases = tuple(x for x in leases if x.acquired_at <= now)
        bits = sum(1 << lease.share for lease in leases)
        return LeasedShares(bits, until, 0.05, leases)

    def grant(self, now):
        shares = self.make_shares(now)
        capacity = self.pool.compute_capacity(shares, now)
        while self.pool.count_in_use() < capacity.slots:
            self.granted += 1
            slot = GrantedSlot(
                self.granted,
                f"k{self.granted}",
                ("i", 1),
                now,
                now + START_WITHIN_S,
                now + 90.0,
                "c",
                1,
            )
            self.pool.add_slot(slot, now)
            self.ends[self.granted] = now + self.hold_s
            self.history.append((now, len(self.ends)))


class TestShareUnderLoad(unittest.TestCase):
    """Guards against capacity that stays lost while requests follow each other."""

    def test_shares_leased_at_the_start(self):
        self.assertEqual(HomeSimulation(late_s=0.1, hold_s=0.6).run(12.0), COLD_LIMIT)

    def test_share_that_comes_while_long_requests_run(self):
        self.assertEqual(HomeSimulation(late_s=1.0, hold_s=1.5).run(12.0), COLD_LIMIT)

    def test_share_that_comes_while_short_requests_run(self):
        """Own requests that may still be started must not count as foreign load."""
        self.assertEqual(HomeSimulation(late_s=1.0, hold_s=0.6).run(12.0), COLD_LIMIT)


if __name__ == "__main__":
    unittest.main()
