"""Selection of the holder pools whose instances hold shares.

Guards against large fleets that renew leases across their region.
"""

import unittest

from fescueflow.core import ListState, hash_upstream
from fescueflow.platform import ListedInstance, ListSnapshot
from fescueflow.rights.holder_pools import (
    BUCKETS_PER_SHARE,
    Scope,
    choose_holder_pool,
    make_share_key,
)
from fescueflow.rights.holdings import PeerReachability, ShareTable
from fescueflow.rights.shares import SHARE_COUNT
from tests.builders import build_upstream


def build_instances(zone, region, count):
    return [
        ListedInstance(f"{zone}-{n}", zone, region, "a:1", "a:2", ListState.LIVE)
        for n in range(count)
    ]


class TestChooseHolderPool(unittest.TestCase):
    def choose(self, instances, zone="z1", region="r1"):
        holder_pool = choose_holder_pool(Scope(zone, region), instances)
        return {name[:2] for name in holder_pool.members}

    def test_large_zone_keeps_its_shares(self):
        instances = build_instances("z1", "r1", SHARE_COUNT)
        instances += build_instances("z2", "r1", SHARE_COUNT)
        self.assertEqual(self.choose(instances), {"z1"})

    def test_small_zone_spreads_over_its_region_only(self):
        instances = build_instances("z1", "r1", SHARE_COUNT - 1)
        instances += build_instances("z2", "r1", 3) + build_instances("z3", "r2", 9)
        self.assertEqual(self.choose(instances), {"z1", "z2"})

    def test_region_without_instances_uses_all(self):
        instances = build_instances("z3", "r2", 2)
        self.assertEqual(self.choose(instances), {"z3"})


class TestShareKeys(unittest.TestCase):
    def list_keys(self, count):
        instances = build_instances("z1", "r1", count)
        scope = Scope("z1", "r1")
        holder_pool = choose_holder_pool(scope, instances)
        for number in range(50):
            name = f"u{number}"
            yield [
                make_share_key(scope, holder_pool, name, s) for s in range(SHARE_COUNT)
            ]

    def test_zone_has_few_buckets_and_each_upstream_a_key_per_share(self):
        """Guards against homes that send requests to all instances of a large zone."""
        rows = list(self.list_keys(SHARE_COUNT))
        self.assertTrue(all(len(set(row)) == SHARE_COUNT for row in rows))
        buckets = {key for row in rows for key in row}
        self.assertEqual(len(buckets), SHARE_COUNT * BUCKETS_PER_SHARE)

    def test_small_fleet_spreads_each_share_on_its_own(self):
        """Guards against one instance that holds much of a small fleet's limits."""
        keys = {key for row in self.list_keys(SHARE_COUNT - 1) for key in row}
        self.assertEqual(len(keys), 50 * SHARE_COUNT)


class TestHolderPoolSwitch(unittest.TestCase):
    def apply(self, count, now, readers):
        snapshot = ListSnapshot(
            tuple(build_instances("z1", "r1", count)),
            tuple(build_upstream(f"u{n}", "z1", f"u{n}") for n in range(20)),
            now,
        )
        self.table.apply(snapshot, PeerReachability(frozenset(readers), frozenset()))
        return sum(
            bin(self.table.get_held(hash_upstream(f"u{n}"))).count("1")
            for n in range(20)
        )

    def test_switched_holder_pool_waits_for_an_instance_that_does_not_read(self):
        """Guards against a share that is gained while its former holder lends it."""
        self.table = ShareTable("z1-0", 8.0, 3.0, 3.0)
        names = {f"z1-{n}" for n in range(1, SHARE_COUNT)}
        for now in range(20):
            held = self.apply(SHARE_COUNT, now, names)
        self.assertGreater(held, 0)
        for now in range(20, 40):
            kept = self.apply(SHARE_COUNT - 1, now, names - {"z1-1"})
        self.assertLess(kept, held)
        for now in range(40, 60):
            gained = self.apply(SHARE_COUNT - 1, now, names)
        self.assertGreater(gained, kept)


if __name__ == "__main__":
    unittest.main()
