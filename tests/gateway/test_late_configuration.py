"""Tests of the time in which each instance has the last configuration."""

import unittest

from tests.gateway.random_store import RandomRun
from tests.gateway.store_fleet import StoreFleet

# Time in which a configuration must be in force, of the small deployments.
APPLY_S = 2.0
SETTLED_S = 3.0
ATTEMPTS_PER_CALL = 2
# Seeds of the drawn runs; ``python -m tests.gateway.random_store`` runs others.
SEEDS = (*range(1, 6), 19, 26, 67)

SHARED_SEEDS = (1, 2, 3, 4)


class FleetTest(unittest.TestCase):
    """Starts fleets that follow a simulated store."""

    def make_fleet(self, seed, zones="abc", per_zone=3):
        fleet = StoreFleet(zones, per_zone, seed)
        self.addCleanup(fleet.end)
        fleet.run(SETTLED_S)
        return fleet

    def check_in_force(self, fleet, within_s=APPLY_S, size=4000):
        version = fleet.put_configuration(size)
        fleet.run(within_s)
        self.assertEqual(fleet.find_outdated(version), [])


class LostCallTest(FleetTest):
    """Guards against a configuration that is late after one lost call."""

    def test_follower_loses_one_call(self):
        for seed in range(1, 13):
            with self.subTest(seed=seed):
                fleet = self.make_fleet(seed)
                fleet.random.choice(
                    fleet.list_followers()
                ).client.lose = ATTEMPTS_PER_CALL
                self.check_in_force(fleet)

    def test_follower_in_a_large_zone_loses_one_call(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                fleet = self.make_fleet(seed, "a", 24)
                fleet.random.choice(
                    fleet.list_followers()
                ).client.lose = ATTEMPTS_PER_CALL
                self.check_in_force(fleet)

    def test_reader_loses_one_call(self):
        for seed in (1, 2, 3, 4):
            with self.subTest(seed=seed):
                fleet = self.make_fleet(seed)
                for instance in fleet.instances:
                    if instance not in fleet.list_followers():
                        instance.client.lose = ATTEMPTS_PER_CALL
                fleet.run(fleet.random.uniform(0.0, 0.5))
                self.check_in_force(fleet)

    def test_readers_and_followers_lose_one_attempt_each(self):
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                fleet = self.make_fleet(seed)
                for instance in fleet.instances:
                    instance.client.lose = 1
                self.check_in_force(fleet)


class SharedValueTest(FleetTest):
    """Guards against a wiring in which followers don't use the reader's values."""

    def start(self, seed, **changes):
        """Return a fleet and one of its followers, whose values are changed."""
        fleet = self.make_fleet(seed, "ab", 4)
        follower = fleet.random.choice(fleet.list_followers())
        vars(follower.values).update(changes)
        return fleet, follower

    def test_no_store_call_for_a_value_of_the_reader(self):
        for seed in SHARED_SEEDS:
            for has_later_change in (False, True):
                with self.subTest(seed=seed, has_later_change=has_later_change):
                    fleet, follower = self.start(seed, is_served=True)
                    calls = follower.client.calls
                    version = fleet.put_configuration()
                    if has_later_change:
                        fleet.put_upstream()
                    fleet.run(APPLY_S)
                    self.assertEqual(follower.get_version(), version)
                    self.assertEqual(follower.client.calls, calls)
                    self.assertEqual(follower.values.asked, 1)

    def test_store_is_asked_after_a_failed_read(self):
        for seed in SHARED_SEEDS:
            with self.subTest(seed=seed):
                fleet, follower = self.start(seed, is_slow=True)
                calls = follower.client.calls
                self.check_in_force(fleet)
                self.assertEqual(follower.values.asked, 1)
                self.assertGreater(follower.client.calls, calls)


class RandomRunTest(unittest.TestCase):
    """Guards against changes that are late, lost or undone where faults overlap."""

    def test_listed_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(RandomRun(seed).run(), [])


if __name__ == "__main__":
    unittest.main()
