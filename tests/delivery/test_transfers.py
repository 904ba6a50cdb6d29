"""Guards against cache imports that are late, repeated or harmful."""

import time
import unittest
from dataclasses import replace
from unittest.mock import patch

from fescueflow.configuration import Group
from fescueflow.core import ListState, SystemClock, UpstreamKind
from fescueflow.delivery import CacheImporter, PrefixTransfers
from fescueflow.delivery.calls import resolve_call
from fescueflow.delivery.slots import HeldSlot
from fescueflow.placement import DepartureTracker, PlacementService, RecentPrefixes
from fescueflow.platform import ListSnapshot
from fescueflow.schema import SlotOutcome, SlotRefusalReason
from fescueflow.transport import Keyring, SystemNetwork
from tests.builders import KEYS, build_monitoring, build_upstream
from tests.delivery.fakes import FakeAdmission, make_chat, make_configuration
from tests.fakes import Holder, ManualClock, wait_until
from tests.standins.cache_exchange import TransferMode
from tests.standins.engine import EngineOptions, EngineStandin

FAST = EngineOptions(token_s=0.001, report_lag_s=0.0, event_lag_s=0.0)
PROMPT = [{"role": "user", "content": "x" * 400}]
DEADLINE_S = 2.0


class DelayedNetwork(SystemNetwork):
    """Network on which connecting advances the manual clock by ``delay_s``."""

    def __init__(self, clock):
        self.clock, self.delay_s = clock, 0.0

    def connect(self, address, timeout_s):
        if self.delay_s:
            self.clock.now += self.delay_s
        return super().connect(address, timeout_s)


class TransferTestCase(unittest.TestCase):
    """Sets up an old engine that has cached prefixes and a new one without any."""

    clock_type = ManualClock

    def setUp(self):
        self.old = self.run_engine()
        self.new = self.run_engine()
        self.clock = self.clock_type()
        self.metrics, self.audit, _ = build_monitoring(clock=self.clock)
        self.network = DelayedNetwork(self.clock)
        self.store = Holder(make_configuration())
        self.list_service = Holder(None)
        self.admission = FakeAdmission(self.clock)
        self.recent_prefixes = RecentPrefixes(self.clock)
        self.placement = PlacementService(
            store=self.store,
            list_service=self.list_service,
            keyring=Keyring(KEYS),
            clock=self.clock,
        )
        self.tracker = DepartureTracker(
            store=self.store, list_service=self.list_service, clock=self.clock
        )
        self.transfers = PrefixTransfers(
            store=self.store,
            placement=self.placement,
            admission=self.admission,
            departures=self.tracker,
            recent_prefixes=self.recent_prefixes,
            importer=CacheImporter(
                network=self.network,
                clock=self.clock,
                metrics=self.metrics,
                audit=self.audit,
                connect_timeout_s=1.0,
            ),
            clock=self.clock,
            metrics=self.metrics,
        )
        self.addCleanup(self.transfers.stop)
        self.configure()
        self.set_old_engine_state("live")

    def run_engine(self):
        engine = EngineStandin(options=FAST).start()
        self.addCleanup(lambda: self.assertEqual(engine.errors, []))
        self.addCleanup(engine.stop)
        return engine

    def configure(self, **changes):
        self.store.value = make_configuration(**changes)
        for callback in self.store.callbacks:
            callback(self.store.value)

    def set_old_engine_state(self, state):
        """Publish an instance list in which the old engine has this state."""
        upstreams = (
            replace(
                build_upstream("old", address=self.old.address), state=ListState(state)
            ),
            build_upstream("new", address=self.new.address),
        )
        self.list_service.value = ListSnapshot((), upstreams, self.clock.monotonic())
        for callback in self.list_service.callbacks:
            callback(self.list_service.value)

    def resolve(self, chat):
        call = make_chat(headers=(("Fescueflow-Chat", chat),))
        token = self.placement.make_token("old", format_affinity_key(chat))
        call.headers += (("Fescueflow-Placement", token),)
        return resolve_call(self.store.get(), self.placement, call)

    def fill_cache(self, *chats):
        """Store the prefixes of chats in the cache of the old engine."""
        for chat in chats:
            self.old.cache.store(format_affinity_key(chat), PROMPT)
            self.transfers.record_use(self.resolve(chat), "old")

    def import_for_chat(self, chat):
        """Request an import like an attempt does, in a slot of the new engine."""
        upstream = self.list_service.value.upstreams[1]
        demand = type("Demand", (), {"upstream": upstream})
        held_slot = HeldSlot(self.admission, self.admission.acquire(demand).unwrap())
        deadline = self.clock.monotonic() + DEADLINE_S
        self.transfers.import_for_call(self.resolve(chat), held_slot, deadline)
        held_slot.release(SlotOutcome.COMPLETED)

    def count(self, name, trigger="return"):
        return self.metrics.get_count(f"cache_imports_{name}", trigger=trigger)

    def list_imports(self):
        return [e.cache_key for e in self.new.transfers.get_entries("import")]


def format_affinity_key(chat):
    return f"c/chat/{chat}"


class ReturningChatTest(TransferTestCase):
    def test_returning_chat_imports_its_prefix(self):
        """Guards against a prefix that is computed again after its engine left."""
        self.fill_cache("k")
        self.import_for_chat("k")
        self.assertEqual(self.list_imports(), [])
        self.set_old_engine_state("leaving")
        self.import_for_chat("k")
        self.assertEqual(
            self.new.cache.match(format_affinity_key("k"), PROMPT), (100, 100)
        )
        self.assertEqual((self.count("asked"), self.count("done")), (1, 1))
        self.import_for_chat("k")
        self.assertEqual(len(self.list_imports()), 1)

    def test_configured_leaves_and_withdrawn_zones_count_as_leaves(self):
        """Guards against lost prefixes when an operator changes the configuration."""
        for number, change in enumerate(({"leaving": {"old"}}, {"withdrawn": {"o"}})):
            listed = self.list_service.value.upstreams
            upstreams = (replace(listed[0], zone="o"), listed[1])
            self.list_service.value = ListSnapshot(
                (), upstreams, self.clock.monotonic()
            )
            self.list_service.callbacks[0](self.list_service.value)
            self.configure(**change)
            self.import_for_chat(f"k{number}")
            self.configure()
        self.assertEqual(
            self.list_imports(), [format_affinity_key("k0"), format_affinity_key("k1")]
        )
        # The old engine supports exports, but has none of these prefixes.
        self.assertEqual(self.count("refused"), 2)

    def test_no_import_after_the_export_window(self):
        """Guards against exports from an upstream 5 s after it began to leave."""
        self.fill_cache("k")
        self.clock.now += 1.0
        self.set_old_engine_state("leaving")
        # It may have begun to leave just after the previous reading, 1 s earlier.
        self.clock.now += 3.0
        self.import_for_chat("k")
        self.assertEqual(self.list_imports(), [])
        group = Group("g", UpstreamKind.ENGINE, 4, 1, 1.25, 9000)
        self.configure(groups={"g": group})
        self.import_for_chat("k")
        self.assertEqual(len(self.list_imports()), 1)
        self.clock.now += 6.0
        self.import_for_chat("later")
        self.assertEqual(len(self.list_imports()), 1)

    def test_no_import_when_the_window_closes_before_the_first_byte(self):
        """Guards against an export that is late because of a slow connection."""
        self.set_old_engine_state("leaving")
        self.clock.now += 3.95
        self.network.delay_s = 0.1
        self.import_for_chat("k")
        self.assertEqual(self.list_imports(), [])
        self.assertEqual(self.count("asked"), 0)

    def test_departure_of_unknown_age_has_no_export_window(self):
        """Guards against late exports for an instance that starts after a departure."""
        fresh = DepartureTracker(
            store=self.store, list_service=self.list_service, clock=self.clock
        )
        self.set_old_engine_state("leaving")
        self.assertEqual(fresh.list_exportable("g"), [])
        self.assertEqual(len(self.tracker.list_exportable("g")), 1)

    def test_failures_are_counted_and_end_in_time(self):
        """Guards against imports that delay the request or make it fail."""
        for mode, name in (
            (TransferMode.SILENT, "timed_out"),
            (TransferMode.FAILING, "refused"),
        ):
            self.new.transfers.import_mode = mode
            self.set_old_engine_state("live")
            self.set_old_engine_state("leaving")
            started_at = time.monotonic()
            self.import_for_chat(name)
            self.assertLess(time.monotonic() - started_at, 5.0)
            self.assertEqual(self.count(name), 1)

    def test_engine_without_imports_is_not_asked_again(self):
        """Guards against a useless import request for each returning chat."""
        self.set_old_engine_state("leaving")
        for mode in (TransferMode.ABSENT, TransferMode.UNIMPLEMENTED):
            self.new.transfers.import_mode = mode
            before = len(self.list_imports())
            self.import_for_chat(f"a{mode.value}")
            self.import_for_chat(f"b{mode.value}")
            self.assertEqual(len(self.list_imports()), before + 1)
            self.clock.now += 301
            self.set_old_engine_state("live")
            self.set_old_engine_state("leaving")
        changes = [r.fields.get("cache_import") for r in self.audit.read_after(0)]
        self.assertEqual(changes, ["absent", "absent"])

    def test_dead_source_is_not_used_again(self):
        """Guards against requests to a leaving engine that has stopped."""
        self.old.stop()
        self.set_old_engine_state("leaving")
        for number in range(6):
            self.import_for_chat(f"k{number}")
        self.assertEqual((len(self.list_imports()), self.count("refused")), (3, 3))


class LeaveTest(TransferTestCase):
    clock_type = SystemClock

    # With one import at a time, the order is known.
    @patch("fescueflow.delivery.transfers.LEAVE_IMPORT_THREADS", 1)
    def test_prefixes_are_imported_before_their_chats_return(self):
        """Guards against lost prefixes of chats that return after the stop."""
        self.fill_cache("a", "b", "c")
        self.transfers.start()
        self.set_old_engine_state("leaving")
        self.assertTrue(wait_until(lambda: self.count("done", "leave") == 3))
        for chat in "abc":
            self.assertEqual(
                self.new.cache.match(format_affinity_key(chat), PROMPT)[0], 100
            )
        self.assertEqual(
            self.list_imports(), [format_affinity_key(chat) for chat in "cba"]
        )
        self.assertTrue(wait_until(lambda: len(self.admission.released) == 3))
        # They can be imported again if the new engine leaves, too.
        moved_keys = [
            prefix.affinity_key
            for prefix in self.recent_prefixes.iterate_upstream("new")
        ]
        self.assertEqual(moved_keys, [format_affinity_key(chat) for chat in "cba"])
        outcomes = {outcome for _, _, outcome in self.admission.released}
        self.assertEqual(outcomes, {SlotOutcome.FAILED})
        self.assertEqual({d.wait_s for d in self.admission.demands}, {0.0})

    def test_concurrent_imports_are_limited(self):
        """Guards against a burst of imports that overloads the importing engine."""
        self.fill_cache(*(f"k{number}" for number in range(12)))
        self.new.transfers.import_mode = TransferMode.SLOW
        self.new.transfers.slow_s = 0.02
        self.transfers.start()
        self.set_old_engine_state("leaving")
        self.assertTrue(wait_until(lambda: self.count("asked", "leave") > 2))
        self.assertLessEqual(self.new.state.peak, 2)


class FullEngineTest(TransferTestCase):
    def test_without_a_slot_nothing_is_imported(self):
        """Guards against imports that exceed the limits of an engine."""
        self.fill_cache("a", "b")
        self.admission.plan = [SlotRefusalReason.OVER_BOUND] * 1000
        self.transfers.start()
        self.set_old_engine_state("leaving")
        count_left_out = lambda: self.metrics.get_count("cache_imports_left_out")
        self.assertTrue(wait_until(lambda: count_left_out() == 2))
        self.assertEqual(self.list_imports(), [])


if __name__ == "__main__":
    unittest.main()
