"""Rate and lifetime of load digests."""

import unittest
from types import SimpleNamespace

from fescueflow.admission.digests import DigestSender
from fescueflow.admission.loads import DigestTable, compute_digest_times
from fescueflow.admission.pool import SlotPool, SlotPoolTimes
from fescueflow.admission.totals import GroupTotals
from fescueflow.configuration import Configuration, Group
from fescueflow.core import SystemClock, UpstreamKind, hash_upstream
from fescueflow.platform import ListSnapshot
from fescueflow.schema import UpstreamLoad
from tests.builders import build_upstream
from tests.fakes import Holder


class TestDigestTimes(unittest.TestCase):
    def test_rate_stays_bounded_in_large_regions(self):
        """Guards against control traffic that grows with the region."""
        for peers in (0, 1, 8, 12, 13, 26, 63, 449):
            times = compute_digest_times(peers)
            limit = 40 if peers <= 12 else 12
            self.assertLessEqual(peers, limit * times.changed_s + 1e-9)
            self.assertLessEqual(times.changed_s, times.unchanged_s)

    def test_digest_outlives_two_lost_ones(self):
        """Guards against packet loss that removes loads from the total."""
        for peers in (2, 63, 449):
            times = compute_digest_times(peers)
            self.assertGreaterEqual(times.lifetime_s, 3 * times.unchanged_s)


class TestDigestSender(unittest.TestCase):
    def setUp(self):
        self.now, self.loads, self.sent = 100.0, {1: 0, 2: 0}, []
        members = [
            SimpleNamespace(instance=f"i{n}", region="north", peer_address=f"a{n}")
            for n in range(4)
        ]
        self.sender = DigestSender(
            membership=SimpleNamespace(
                get_own_member=lambda: members[0], get_members=lambda: members
            ),
            endpoint=SimpleNamespace(
                send_all=lambda addresses, digest: self.sent.append((addresses, digest))
            ),
            list_loads=lambda: [UpstreamLoad(u, n) for u, n in self.loads.items()],
        )

    def run_for(self, seconds):
        """Return the loads by upstream of each digest sent in the next seconds."""
        self.sent.clear()
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.sender.send_when_due(self.now)
        return [
            {load.upstream: load.in_flight for load in digest.loads}
            for _, digest in self.sent
        ]

    def test_idle_home_sends_nothing_and_a_new_load_is_sent_at_once(self):
        """Guards against traffic of idle homes and surges that go unreported."""
        self.assertEqual(self.run_for(5.0), [])
        self.loads[1] = 3
        self.assertEqual(self.run_for(0.2)[0], {1: 3})
        self.assertEqual(self.sent[0][0], ["a1", "a2", "a3"])
        self.assertGreaterEqual(len(self.run_for(5.0)), 4)

    def test_end_of_a_load_is_sent_until_earlier_digests_expire(self):
        """Guards against a finished load that still counts after lost digests."""
        self.loads[1] = 3
        self.run_for(2.0)
        self.loads[1] = 0
        found = self.run_for(10.0)
        self.assertGreaterEqual(found.count({1: 0}), 3)
        self.assertEqual(set(found[0].items()), {(1, 0)})
        self.assertEqual(self.run_for(5.0), [])


class TestGroupTotals(unittest.TestCase):
    def test_engines_of_other_regions_do_not_lower_the_bound(self):
        """Guards against a bound below the mean load when there are several regions.

        Digests stay within a region, so engines of other regions would count as
        idle.
        """
        group = Group("g", UpstreamKind.ENGINE, 64, 2, 1.25)
        upstreams = tuple(
            build_upstream(f"u{n}", f"{r}-a", region=r)
            for n, r in enumerate(["north"] * 4 + ["south"] * 12)
        )
        none = frozenset()
        configuration = Configuration(1, b"", none, none, {"g": group}, {})
        clock, table = SystemClock(), DigestTable()
        loads = [UpstreamLoad(hash_upstream(u.id), 10) for u in upstreams[1:4]]
        table.apply("other", loads, clock.monotonic(), 60.0)
        totals = GroupTotals(
            rights=SimpleNamespace(is_home=lambda u: u is upstreams[0]),
            list_service=Holder(ListSnapshot((), upstreams, 0.0)),
            store=Holder(configuration),
            digests=table,
            find_pool=lambda name: None,
            clock=clock,
        )
        load = totals.sum_group(
            SlotPool(upstreams[0], group, SlotPoolTimes(2.0, 0.7, 1.0))
        )
        self.assertEqual((load.other_load, load.size), (30, 4))
        self.assertTrue(load.allows(10))
