"""Tests of the store watch through lost connections and outages."""

import unittest

from fescueflow.core import (
    InstanceId,
    PlatformUnavailable,
    Revision,
    SeededRandomSource,
    StoreEra,
)
from fescueflow.gateway.changes import OperatorChangeHandler, UpstreamChangeHandler
from fescueflow.gateway.peers import PeerTable
from fescueflow.gateway.platform_state import RECOVERY_GRACE_S, PlatformState
from fescueflow.gateway.relay import Role, StoreRelay, StoreUpdate
from fescueflow.gateway.shared_values import SharedValues
from fescueflow.gateway.store_calls import SHARED_PAUSE_S
from fescueflow.gateway.value_reader import ValueSource
from fescueflow.gateway.watching import StoreWatcher
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    TABLE_KEY,
    EraChanged,
    HistoryExpired,
    StoreItem,
    StoreResult,
)
from tests.fakes import FakeClock
from tests.gateway.builders import make_peer
from tests.gateway.fake_servers import encode
from tests.gateway.store_fleet import make_configuration
from tests.routing.builders import ENGINES

HEARTBEAT_S = 1.2


def make_item(name, **changes):
    """Return the entry of an upstream."""
    entry = {
        "service": ENGINES,
        "address": "127.0.0.1:1",
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return StoreItem(f"servers/{name}", encode({**entry, **changes}))


def make_update(base, revision, omitted=(), era=0, items=()):
    """Return an update of the reader of a zone."""
    return StoreUpdate(
        InstanceId("edge-9"),
        make_peer().zone,
        Role.READER,
        Revision(base),
        Revision(revision),
        0.0,
        items=tuple(items),
        omitted=tuple(omitted),
        era=StoreEra(era),
    )


class InstantClock(FakeClock):
    """Fake clock whose waits return at once."""

    def wait(self, event, seconds):
        """Return at once."""
        return event.is_set()


class ScriptedClient:
    """Store client that returns prepared results or raises prepared errors."""

    def __init__(self, *results):
        self._results = list(results)

    def read(self, prefix):
        return self._next_result(prefix)

    def watch(self, prefix, after, wait_s):
        return self._next_result(prefix)

    def _next_result(self, prefix):
        result = self._results.pop(0)
        if isinstance(result, Exception):
            raise result
        if isinstance(result, StoreResult):
            return result
        return StoreResult(tuple(result), 1)


class WatcherCase(unittest.TestCase):
    """Feeds results of calls to a watcher."""

    def setUp(self):
        self.clock = InstantClock()
        self.platform_state = PlatformState()

    def run_all(self, *results, pause_s=0.0):
        """Process all results; the clock advances by ``pause_s`` before each."""
        client = ScriptedClient(*results)
        watcher = StoreWatcher(
            client=client,
            handlers=[UpstreamChangeHandler(self.platform_state, self.clock)],
            platform_state=self.platform_state,
            heartbeat_s=HEARTBEAT_S,
            clock=self.clock,
            random_source=SeededRandomSource(1),
            metrics=Metrics(),
        )
        for _ in results:
            self.clock.advance(pause_s)
            watcher.run_once()

    def list_names(self):
        now = self.clock.monotonic()
        return {u.id for u in self.platform_state.list_upstreams(ENGINES, now)}


class WatcherTest(WatcherCase):
    """Guards against requests to upstreams removed while a call failed."""

    def test_removal_after_one_lost_connection_takes_effect_at_once(self):
        lost = PlatformUnavailable("reset")
        removed = [StoreItem("servers/u1", None)]
        self.run_all([make_item("u1"), make_item("u2")], lost, removed)
        self.assertEqual(self.list_names(), {"u2"})

    def test_removal_after_an_outage_waits_for_the_entry_to_return(self):
        lost = [PlatformUnavailable("silent")] * 3
        removed = [StoreItem("servers/u1", None)]
        self.run_all([make_item("u1")], *lost, removed, pause_s=1.5)
        self.assertEqual(self.list_names(), {"u1"})
        self.clock.advance(RECOVERY_GRACE_S)
        self.assertEqual(self.list_names(), set())

    def test_lost_history_causes_a_full_read(self):
        self.run_all([make_item("u1")], HistoryExpired("410"), [make_item("u2")])
        self.assertEqual(self.list_names(), {"u2"})

    def test_odd_entries_do_not_stop_the_watch(self):
        """Guards against an entry of another writer that makes each read fail."""
        nested = StoreItem("servers/u2", b"[" * 100_000)
        large = make_item("u3", cold_remaining_ms=10**400)
        port = make_item("u4", address="127.0.0.1:70000")
        self.run_all(
            [make_item("u1"), nested, large, port], [nested], [make_item("u5")]
        )
        self.assertEqual(self.list_names(), {"u1", "u5"})

    def test_malformed_entry_removes_the_upstream(self):
        self.run_all([make_item("u1")], [make_item("u1", state=7)])
        self.assertEqual(self.list_names(), set())


class ListedValues(ValueSource):
    """Has prepared values of other instances; records the keys that are read."""

    def __init__(self, values):
        self.values = values
        self.asked = []

    def read(self, key, revision, era):
        """Return the prepared value."""
        self.asked.append(key)
        return self.values.get(key)


class SharedReadTest(unittest.TestCase):
    """Guards against reads of the zone's reader without pause, 400 a second."""

    def start(self, client, values=None):
        """Start a follower that has read the store once."""
        self.clock, self.values = InstantClock(), ListedValues(values or {})
        self.state, self.metrics = PlatformState(), Metrics()
        self.shared = SharedValues()
        self.relay = StoreRelay(
            peers=PeerTable(make_peer()),
            send=lambda host, data: None,
            clock=self.clock,
            random_source=SeededRandomSource(1),
        )
        self.watcher = StoreWatcher(
            client=client,
            handlers=[OperatorChangeHandler(self.state, self.clock)],
            platform_state=self.state,
            heartbeat_s=HEARTBEAT_S,
            clock=self.clock,
            random_source=SeededRandomSource(1),
            metrics=self.metrics,
            relay=self.relay,
            values=self.values,
            shared=self.shared,
        )
        self.watcher.run_once()
        self.relay.role = Role.FOLLOWER

    def announce(self, *keys, revision, items=()):
        base = self.watcher.revision
        update = make_update(base, revision, omitted=keys, items=items)
        self.watcher.handle_update(update)
        self.watcher.run_once()

    def test_unreadable_entry_is_read_from_the_store(self):
        spoiled = StoreItem(TABLE_KEY, b"{", Revision(1))
        self.start(ScriptedClient([spoiled], []), {TABLE_KEY: spoiled})
        self.clock.advance(0.5)
        self.watcher.run_once()
        self.assertEqual(self.values.asked, [])

    def test_pause_after_a_failed_read(self):
        self.start(ScriptedClient(*[[]] * 9))
        self.announce("op/a", "op/b", revision=2)
        self.assertEqual(self.values.asked, ["op/a"])
        self.clock.advance(SHARED_PAUSE_S - 0.1)
        self.announce("op/a", revision=3)
        self.assertEqual(self.values.asked, ["op/a"])
        self.clock.advance(0.2)
        self.announce("op/a", revision=4)
        self.assertEqual(self.values.asked, ["op/a", "op/a"])

    def test_one_failed_read_while_the_store_is_slow(self):
        client = ScriptedClient(*[[]] * 9)
        self.start(client)
        client.read = lambda key: (
            self.clock.advance(2 * SHARED_PAUSE_S) or StoreResult((), Revision(2))
        )
        self.announce("op/a", "op/b", revision=2)
        self.assertEqual(self.values.asked, ["op/a"])

    def test_complete_revision_of_a_served_value(self):
        """Guards against an outdated value that is served as complete."""
        large = StoreItem(TABLE_KEY, make_configuration(1), Revision(1))
        later = StoreItem(TABLE_KEY, make_configuration(2), Revision(3))
        self.start(ScriptedClient([large], *[[]] * 9), {TABLE_KEY: later})
        self.announce(revision=2)
        self.assertEqual(self.find_shared(), (1, 2))
        update = make_update(2, 4, omitted=[TABLE_KEY])
        self.watcher.handle_update(update)
        self.assertEqual(self.find_shared(), (1, 2))
        self.watcher.run_once()
        self.assertEqual(self.find_shared(), (3, 4))
        small = StoreItem(TABLE_KEY, b"{", Revision(5))
        self.announce(revision=5, items=[small])
        self.assertIsNone(self.find_shared())

    def test_deleted_value_is_not_served(self):
        """Guards against a complete read without a value that is still served."""
        large = StoreItem(TABLE_KEY, make_configuration(1), Revision(1))
        client = ScriptedClient([large])
        client.watch = lambda *_: self.fail("unexpected call")
        self.start(client)
        client.read = lambda key: StoreResult((), Revision(4))
        self.announce(TABLE_KEY, revision=4)
        self.assertIsNone(self.find_shared())

    def find_shared(self):
        found = self.shared.find(TABLE_KEY)
        return found and (found.revision, found.complete)

    def test_era_entered_just_before_the_wait_after_a_failure(self):
        """Guards against a follower that sleeps for seconds in a new era."""
        self.start(ScriptedClient([], PlatformUnavailable("silent")))
        self.clock.advance(5.0)
        waits = []
        self.clock.wait = lambda event, seconds: waits.append(seconds) or event.is_set()
        count_zone = self.relay.count_zone

        def enter_era():
            update = make_update(0, 1, era=1)
            self.watcher.handle_update(update)
            waits.clear()
            return count_zone()

        # Called after the role was checked, and before the notice is cleared.
        self.relay.count_zone = enter_era
        self.watcher.run_once()
        self.assertEqual(waits, [])


class EraTest(WatcherCase):
    """Guards against responses of one era that are used in another."""

    def make_result(self, era, revision, *names):
        items = tuple(make_item(name) for name in names)
        return StoreResult(items, revision, era)

    def test_changes_of_a_higher_era_are_not_applied(self):
        self.run_all(
            self.make_result(0, 5, "u1"),
            self.make_result(1, 6, "u2"),
            self.make_result(1, 6, "u3"),
        )
        # The second result is that of a watch, the third that of a read.
        self.assertEqual(self.list_names(), {"u1", "u3"})
        self.clock.advance(RECOVERY_GRACE_S)
        self.assertEqual(self.list_names(), {"u3"})

    def test_read_of_a_higher_era_is_applied_at_once(self):
        """Guards against a second read because of the revision of the old era."""
        results = self.make_result(0, 9, "u1"), self.make_result(1, 2, "u1", "u2")
        self.run_all(*results, pause_s=3.0)
        self.assertEqual(self.list_names(), {"u1", "u2"})

    def test_responses_of_a_lower_era_are_discarded(self):
        self.run_all(
            self.make_result(3, 5, "u1"),
            self.make_result(2, 9, "u2"),
            HistoryExpired("410", 1),
            EraChanged(2, 7),
            self.make_result(3, 6, "u3"),
        )
        # Neither the 410 nor the pages of old eras cause a read: the last is a watch.
        self.assertEqual(self.list_names(), {"u1", "u3"})

    def test_lost_history_of_the_same_era(self):
        self.run_all(
            self.make_result(3, 5, "u1"),
            HistoryExpired("410", 3),
            self.make_result(3, 6, "u2"),
        )
        self.assertEqual(self.list_names(), {"u2"})


if __name__ == "__main__":
    unittest.main()
