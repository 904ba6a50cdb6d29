"""Tests of fleets whose store goes back to a copy."""

import copy
import unittest
from unittest import mock

import logbook

from fescueflow.core import InstanceId, Revision, StoreEra, ZoneId
from fescueflow.gateway.eras import READ_DELAY_MAX_S, UNCONFIRMED_MAX_S
from fescueflow.gateway.relay import (
    READER_TIMEOUT_S,
    Role,
    StoreUpdate,
    decode_update,
    encode_update,
)
from fescueflow.platform import TABLE_KEY, WITHDRAWN_PREFIX, StoreItem
from tests.gateway.random_store import RandomRun
from tests.gateway.store_fleet import (
    StoreInstance,
    make_configuration,
)
from tests.gateway.test_late_configuration import FleetTest

# Time in which a configuration must be in force, of the deployments with eras.
APPLY_S = 3.0
ZONE_KEY = f"{WITHDRAWN_PREFIX}z"
# Age of the copies; longer than the time in which the fleets settle.
COPY_S = 1.0


class EraTest(FleetTest):
    """Guards against changes that are lost, late or undone after a copy."""

    def setUp(self):
        self.fleet = self.make_fleet(1)
        self.store = self.fleet.store

    def restore(self, *lost):
        """Write and lose values of keys; return the number of the configuration."""
        version = self.fleet.put_configuration()
        for key, value in lost:
            self.store.put(key, value)
        self.fleet.run(COPY_S)
        self.store.restore(self.fleet.time.now - COPY_S - 0.001)
        return version

    def get_eras(self):
        return {instance.watcher._eras.era for instance in self.fleet.instances}

    def check_agreement(self, era, within_s=APPLY_S):
        """Put a configuration and check that all follow the store in its era."""
        self.check_in_force(self.fleet, within_s)
        reference = self.fleet.describe_store()
        self.assertEqual(self.get_eras(), {era})
        for instance in self.fleet.instances:
            self.assertEqual(instance.describe(), reference)
            self.assertTrue(instance.watcher.is_current())

    def test_era_changes_during_a_watch(self):
        """Guards against reissued revisions that are taken for old ones."""
        version = self.restore((ZONE_KEY, b"{}"))
        self.fleet.run(0.2)
        self.fleet.put_upstream()
        self.fleet.run(APPLY_S)
        for instance in self.fleet.instances:
            self.assertEqual(instance.describe(), (version, {"u1"}, {"z"}))
        self.store.put(ZONE_KEY, None)
        self.check_agreement(1)

    def test_era_changes_during_a_read_of_several_pages(self):
        """Guards against a state that is mixed from two histories."""
        instance = self.fleet.list_followers()[0]
        instance.client.page_size = 1
        instance.client.answer_delay_s = 0.2
        self.fleet.put_upstream()
        self.fleet.run(1.0)
        instance.watcher._revision = None
        calls = instance.client.calls
        self.store.put("other/x", b"{}")
        while instance.client.calls <= calls + 1:
            self.fleet.run(0.01)
        self.store.restore(self.fleet.time.now - 0.5)
        self.fleet.run(1.0)
        instance.client.answer_delay_s = 0.0
        self.check_agreement(1)

    def test_era_changes_at_one_instance_only(self):
        """Guards against responses of the old era after one of the new one."""
        old = copy.copy(self.store)
        reader = next(i for i in self.fleet.instances if i.relay.role is Role.READER)
        for instance in self.fleet.instances:
            if instance is not reader:
                instance.client.store = old
        self.store.restore(0.0)
        version = self.fleet.put_configuration()
        calls = sum(i.client.calls for i in self.fleet.instances if i is not reader)
        self.fleet.run(2.0)
        calls -= sum(i.client.calls for i in self.fleet.instances if i is not reader)
        # After the first calls, pauses of 0.4 s or more on average.
        self.assertLess(-calls, 10 * len(self.fleet.instances))
        self.assertEqual(self.get_eras(), {1})
        self.assertEqual(reader.get_version(), version)
        for instance in self.fleet.instances:
            instance.client.store = self.store
        self.fleet.run(APPLY_S)
        self.assertEqual(self.fleet.find_outdated(version), [])
        self.check_agreement(1)

    def test_era_changes_twice_in_a_row(self):
        self.restore()
        self.fleet.run(0.1)
        self.store.restore(0.0)
        self.fleet.put_upstream()
        self.check_agreement(2)

    def test_revision_that_the_store_does_not_have(self):
        """Guards against a 410 of a higher era that hides the era."""
        for _ in range(20):
            self.fleet.put_upstream("draining")
        self.fleet.run(1.0)
        self.store.restore(0.0)
        self.fleet.put_upstream(born=2)
        self.check_agreement(1)

    def test_notes_of_the_old_era(self):
        """Guards against calls for changes that the store has lost."""
        for instance in self.fleet.instances:
            instance.watcher._missing.announce_keys(["other/x"], 10**6)
        self.store.restore(0.0)
        self.fleet.run(APPLY_S)
        for instance in self.fleet.instances:
            fetches = instance.metrics.get_count("store_calls", kind="fetch")
            self.assertEqual((fetches, instance.watcher._missing.keys), (0, []))

    def test_reader_is_the_last_to_notice(self):
        """Guards against a zone that waits for its reader."""
        readers = [
            i for i in self.fleet.instances if i not in self.fleet.list_followers()
        ]
        for reader in readers:
            reader.client.refuse = True
        self.restore()
        version = self.fleet.put_configuration()
        while self.get_eras() == {0}:
            self.fleet.run(0.01)
        self.fleet.run(0.02)
        zones = [i.zone for i in self.fleet.instances if i.watcher._eras.era]
        # One follower tells its whole zone, the reader too.
        self.assertEqual(len(zones) % 3, 0)
        self.fleet.run(APPLY_S)
        self.assertEqual(self.get_eras(), {1})
        followers = {i.name for i in self.fleet.instances if i not in readers}
        outdated = {name for name, _ in self.fleet.find_outdated(version)}
        self.assertEqual(outdated & followers, set())
        for reader in readers:
            reader.client.refuse = False
        self.check_agreement(1)

    def test_instance_that_was_cut_off_notices_at_its_next_call(self):
        instance = self.fleet.list_followers()[0]
        self.fleet.cut.add(instance.host)
        instance.client.refuse = True
        self.restore()
        version = self.fleet.put_configuration()
        self.fleet.run(6.0)
        instance.client.refuse = False
        self.fleet.run(APPLY_S)
        self.assertEqual(instance.get_version(), version)

    def test_update_makes_the_receivers_read_at_once(self):
        self.restore()
        announced = None
        while announced is None:
            self.fleet.run(0.01)
            if 1 in self.get_eras():
                announced = self.fleet.time.now
        # Two datagrams and one call.
        self.fleet.run(READ_DELAY_MAX_S + 0.1)
        followers = self.fleet.list_followers()
        unread = [i.name for i in followers if i.watcher._eras.is_unread]
        self.assertEqual(unread, [])

    def test_update_of_the_old_era_arrives_late(self):
        """Guards against a value of the old era, and against its revision."""
        instance = self.fleet.list_followers()[0]
        update = self.make_update(0, instance.watcher.revision + 50)
        self.restore()
        self.fleet.run(APPLY_S)
        watcher = instance.watcher
        before = watcher.revision, watcher._missing.announced
        self.fleet.time.now += READER_TIMEOUT_S
        watcher.handle_update(update)
        self.assertTrue(instance.relay.is_zone_silent())
        self.fleet.time.now -= READER_TIMEOUT_S
        self.assertEqual((watcher.revision, watcher._missing.announced), before)
        self.assertNotIn("z", instance.describe()[2])
        self.check_agreement(1)

    def test_era_that_does_not_exist(self):
        """Guards against an instance that one wrong update keeps from the store."""
        instance = self.fleet.list_followers()[0]
        instance.watcher.handle_update(self.make_update(9, 1))
        self.fleet.run(UNCONFIRMED_MAX_S + APPLY_S)
        self.check_agreement(0)

    def test_instance_that_starts_among_peers_of_the_old_era(self):
        """Guards against a new instance that believes the old era."""
        self.restore()
        for instance in self.fleet.instances:
            instance.client.refuse = True
        new = StoreInstance(self.fleet, InstanceId("edge-a-9"), ZoneId("a"), 9)
        self.fleet.add(new)
        self.fleet.put_upstream()
        for _ in range(3):
            new.watcher.handle_update(self.make_update(0, 1000))
            self.fleet.run(0.5)
            new.watcher.handle_update(self.make_update(0, 1001))
        self.assertEqual(new.watcher._eras.era, 1)
        self.assertEqual(new.list_upstreams(), {"u1"})
        self.assertTrue(new.watcher.is_current())
        for instance in self.fleet.instances:
            instance.client.refuse = False
        self.check_agreement(1)

    def test_lower_configuration_is_never_in_force(self):
        version = self.restore()
        self.store.put(TABLE_KEY, make_configuration(version - 1))
        for _ in range(30):
            self.fleet.run(0.1)
            self.assertEqual(self.fleet.find_outdated(version), [])

    def test_each_instance_logs_and_counts_an_era_once(self):
        revisions = {i.watcher.revision for i in self.fleet.instances}
        with logbook.TestHandler() as handler:
            handler.push_application()
            self.addCleanup(handler.pop_application)
            self.restore()
            self.fleet.run(APPLY_S)
        lines = [r for r in handler.records if r.message == "store era changed"]
        self.assertEqual(len(lines), len(self.fleet.instances))
        for line in lines:
            self.assertEqual((line.extra["era_before"], line.extra["era"]), (0, 1))
            self.assertGreater(line.extra["revision_before"], max(revisions))
            self.assertEqual(line.extra["revision"], max(revisions))
        for instance in self.fleet.instances:
            self.assertEqual(instance.metrics.get_count("store_eras"), 1)

    def make_update(self, era, revision):
        """Return an update of a reader that continues any state."""
        return StoreUpdate(
            sender=InstanceId("edge-a-2"),
            zone=ZoneId("a"),
            role=Role.READER,
            base=Revision(0),
            revision=Revision(revision),
            age_s=0.0,
            items=(StoreItem(ZONE_KEY, b"{}", Revision(revision)),),
            era=StoreEra(era),
        )


class UpdateEraTest(unittest.TestCase):
    """Guards against updates that versions without eras can't read."""

    def test_era_in_an_update(self):
        update = EraTest().make_update(3, 7)
        self.assertEqual(decode_update(encode_update(update)), update)
        for era in (-1, 1 << 40):
            with self.assertRaises(ValueError):
                decode_update(encode_update(EraTest().make_update(era, 7)))

    def test_era_0_is_not_written(self):
        with mock.patch("json.dumps", return_value="[]") as dumps:
            encode_update(EraTest().make_update(0, 7))
        self.assertEqual(len(dumps.call_args.args[0]), 8)


class RandomRunTest(unittest.TestCase):
    """Guards against changes that are late, lost or undone where faults overlap."""

    def test_listed_seeds(self):
        for seed in (1, 2, 3, 26):
            with self.subTest(seed=seed):
                self.assertEqual(RandomRun(seed, has_eras=True).run(), [])


if __name__ == "__main__":
    unittest.main()
