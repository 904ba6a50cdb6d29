"""Tests of answers of the store that are older than what has been heard meanwhile."""

import unittest

from fescueflow.core import InstanceId, Revision, ZoneId
from fescueflow.gateway.relay import FETCH_DELAY_MAX_S, Role, StoreUpdate
from fescueflow.platform import TABLE_KEY, StoreItem
from tests.gateway.store_fleet import UPSTREAM_KEY
from tests.gateway.test_late_configuration import APPLY_S, FleetTest

# Time for which an answer is on its way.
ANSWER_S = 0.4
# A value that is too large for an update, so that it has to be fetched.
LARGE = "x" * 2000


class OvertakenAnswerTest(FleetTest):
    """Guards against answers that undo, or hide, what has been heard meanwhile."""

    def setUp(self):
        self.fleet = self.make_fleet(1)
        self.follower = self.fleet.list_followers()[0]
        self.client = self.follower.client

    def wait_for_call(self):
        """Let the time pass until the follower's next call has begun."""
        before = self.client.calls
        while self.client.calls == before:
            self.fleet.run(0.01)
        self.fleet.run(0.02)

    def test_news_during_a_call_that_does_not_have_it(self):
        """Guards against a note of missing changes that an older answer clears."""
        self.fleet.cut.add(self.follower.host)
        self.fleet.put_upstream()
        self.client.answer_delay_s = ANSWER_S
        self.wait_for_call()
        self.fleet.cut.clear()
        version = self.fleet.put_configuration()
        self.fleet.run(ANSWER_S - 0.1)
        self.fleet.cut.add(self.follower.host)
        self.client.answer_delay_s = 0.0
        self.fleet.run(0.1 + FETCH_DELAY_MAX_S)
        self.assertEqual(self.follower.get_version(), version)

    def test_state_is_not_current_while_a_value_is_fetched(self):
        """Guards against refusals by a state that is known to be old."""
        self.client.answer_delay_s = ANSWER_S
        version = self.fleet.put_configuration()
        self.wait_for_call()
        # An update without changes says that the state is current.
        put_at, until = self.fleet.time.now, self.fleet.time.now + ANSWER_S + 0.6
        while self.follower.get_version() < version:
            age_s = self.follower.state.get_age(self.fleet.time.now)
            self.assertGreaterEqual(age_s, self.fleet.time.now - put_at)
            self.assertLess(self.fleet.time.now, until)
            self.fleet.run(0.01)

    def test_fetched_value_is_older_than_an_update(self):
        """Guards against requests to an upstream that is known to be leaving."""
        self.fleet.put_upstream(more=LARGE)
        self.client.answer_delay_s = ANSWER_S
        self.wait_for_call()
        self.fleet.put_upstream("draining")
        self.fleet.run(APPLY_S)
        self.assertEqual(self.follower.list_upstreams(), set())

    def test_key_that_was_deleted_while_its_value_was_fetched(self):
        self.fleet.put_upstream(more=LARGE)
        self.client.answer_delay_s = ANSWER_S
        self.wait_for_call()
        self.fleet.store.put(UPSTREAM_KEY, None)
        self.fleet.run(APPLY_S)
        self.assertEqual(self.follower.list_upstreams(), set())

    def test_revision_that_does_not_exist(self):
        """Guards against calls without end after one malformed update."""
        self.follower.watcher._missing.announce(10**9)
        self.client.calls = 0
        self.fleet.run(10.0)
        self.assertLess(self.client.calls, 10)
        self.check_in_force(self.fleet)

    def test_malformed_update_that_is_far_ahead(self):
        """Guards against an instance that never hears of a change any more."""
        watcher = self.follower.watcher
        revision = watcher.revision
        watcher.handle_update(
            StoreUpdate(
                sender=InstanceId("edge-b-9"),
                zone=ZoneId("b"),
                role=Role.FOLLOWER,
                base=revision,
                revision=Revision(revision + 10**9),
                age_s=0.0,
            )
        )
        self.fleet.run(APPLY_S)
        self.check_in_force(self.fleet)


class SpoiledEntryTest(FleetTest):
    """Guards against an entry that is never read again after it arrived spoiled."""

    def setUp(self):
        self.fleet = self.make_fleet(1)

    def spoil_once(self, instance, key):
        def spoil(items):
            if not any(item.key == key for item in items):
                return items
            instance.client.spoil = list
            return [
                StoreItem(i.key, b"{", i.revision) if i.key == key else i for i in items
            ]

        instance.client.spoil = spoil

    def test_spoiled_configuration(self):
        for instance in self.fleet.instances:
            with self.subTest(instance=instance.name):
                self.spoil_once(instance, TABLE_KEY)
                self.check_in_force(self.fleet)

    def test_spoiled_upstream(self):
        for instance in self.fleet.instances:
            self.spoil_once(instance, UPSTREAM_KEY)
        self.fleet.put_upstream(more=LARGE)
        self.fleet.run(APPLY_S)
        for instance in self.fleet.instances:
            self.assertEqual(instance.list_upstreams(), {"u1"})

    def test_spoiled_series(self):
        """Guards against attempts that one answer with many spoiled values uses up."""
        follower = self.fleet.list_followers()[0]
        self.fleet.cut.add(follower.host)
        for _ in range(8):
            version = self.fleet.put_configuration(200)
        self.spoil_once(follower, TABLE_KEY)
        self.fleet.run(2 * APPLY_S)
        self.assertEqual(follower.get_version(), version)

    def test_entry_that_stays_unreadable(self):
        """Guards against reading an odd entry of another writer again and again."""
        self.fleet.store.put(UPSTREAM_KEY, b"[[")
        self.fleet.run(6.0)
        calls = sum(instance.client.calls for instance in self.fleet.instances)
        self.fleet.run(10.0)
        after = sum(instance.client.calls for instance in self.fleet.instances)
        # Two calls a second of each of three readers.
        self.assertLess(after - calls, 1.2 * 10 * 3 * 2)


if __name__ == "__main__":
    unittest.main()
