"""Guards cache imports against late, repeated and harmful ones."""

import time
import unittest
from dataclasses import replace
from unittest.mock import patch

from fescueflow.configuration import Group
from fescueflow.core import ListState, SystemClock, UpstreamKind
from fescueflow.delivery import CacheImporter, PrefixTransfers
from fescueflow.delivery.calls import resolve_call
from fescueflow.delivery.slots import HeldSlot
from fescueflow.placement import LeaveTracker, PlacementService, RecentPrefixes
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
    """Network on which opening a connection takes a time of the manual clock."""

    def __init__(self, clock):
        self.clock, self.delay_s = clock, 0.0

    def connect(self, address, timeout_s):
        if self.delay_s:
            self.clock.now += self.delay_s
        return super().connect(address, timeout_s)


class TransferCase(unittest.TestCase):
    """An old engine that holds prefixes, and a new one that follows it."""

    clock_type = ManualClock

    def setUp(self):
        self.old = self.run_engine()
        self.new = self.run_engine()
        self.clock = self.clock_type()
        self.metrics, self.audit, _ = build_monitoring(clock=self.clock)
        self.network = DelayedNetwork(self.clock)
        self.store = Holder(make_configuration())
        self.list = Holder(None)
        self.admission = FakeAdmission(self.clock)
        self.recent = RecentPrefixes(self.clock)
        self.placement = PlacementService(
            store=self.store,
            list_service=self.list,
            keyring=Keyring(KEYS),
            clock=self.clock,
        )
        self.tracker = LeaveTracker(
            store=self.store, list_service=self.list, clock=self.clock
        )
        self.transfers = PrefixTransfers(
            store=self.store,
            placement=self.placement,
            admission=self.admission,
            leaves=self.tracker,
            recent=self.recent,
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
        self.show("live")

    def run_engine(self):
        engine = EngineStandin(options=FAST).start()
        self.addCleanup(lambda: self.assertEqual(engine.errors, []))
        self.addCleanup(engine.stop)
        return engine

    def configure(self, **changes):
        self.store.value = make_configuration(**changes)
        for callback in self.store.callbacks:
            callback(self.store.value)

    def show(self, state):
        """Let the list show the old engine in a state."""
        upstreams = (
            replace(
                build_upstream("old", address=self.old.address), state=ListState(state)
            ),
            build_upstream("new", address=self.new.address),
        )
        self.list.value = ListSnapshot((), upstreams, self.clock.monotonic())
        for callback in self.list.callbacks:
            callback(self.list.value)

    def resolve(self, chat):
        call = make_chat(headers=(("Fescueflow-Chat", chat),))
        token = self.placement.make_token("old", chat_key(chat))
        call.headers += (("Fescueflow-Placement", token),)
        return resolve_call(self.store.get(), self.placement, call)

    def fill(self, *chats):
        """Compute the prefixes of chats at the old engine."""
        for chat in chats:
            self.old.cache.store(chat_key(chat), PROMPT)
            self.transfers.record_use(self.resolve(chat), "old")

    def return_chat(self, chat):
        """Ask for an import as an attempt does, with a slot of the new engine."""
        upstream = self.list.value.upstreams[1]
        demand = type("Demand", (), {"upstream": upstream})
        held_slot = HeldSlot(self.admission, self.admission.acquire(demand).unwrap())
        deadline = self.clock.monotonic() + DEADLINE_S
        self.transfers.import_for_call(self.resolve(chat), held_slot, deadline)
        held_slot.release(SlotOutcome.COMPLETED)

    def count(self, name, trigger="return"):
        return self.metrics.get_count(f"cache_imports_{name}", trigger=trigger)

    def list_imports(self):
        return [e.cache_key for e in self.new.transfers.get_entries("import")]


def chat_key(chat):
    return f"c/chat/{chat}"


class TestReturn(TransferCase):
    def test_a_returning_chat_brings_its_prefix(self):
        """Guards against a prefix that is computed again after a leave."""
        self.fill("k")
        self.return_chat("k")
        self.assertEqual(self.list_imports(), [])
        self.show("leaving")
        self.return_chat("k")
        self.assertEqual(self.new.cache.match(chat_key("k"), PROMPT), (100, 100))
        self.assertEqual((self.count("asked"), self.count("done")), (1, 1))
        self.return_chat("k")
        self.assertEqual(len(self.list_imports()), 1)

    def test_configured_leaves_and_withdrawn_zones_count_as_leaves(self):
        """Guards against operators' changes that lose prefixes."""
        for number, change in enumerate(({"leaving": {"old"}}, {"withdrawn": {"o"}})):
            listed = self.list.value.upstreams
            upstreams = (replace(listed[0], zone="o"), listed[1])
            self.list.value = ListSnapshot((), upstreams, self.clock.monotonic())
            self.list.callbacks[0](self.list.value)
            self.configure(**change)
            self.return_chat(f"k{number}")
            self.configure()
        self.assertEqual(self.list_imports(), [chat_key("k0"), chat_key("k1")])
        # The old engine has none of these prefixes, but offers exports.
        self.assertEqual(self.count("refused"), 2)

    def test_no_import_after_the_window(self):
        """Guards against work for an upstream 5 s after it began to leave."""
        self.fill("k")
        self.clock.now += 1.0
        self.show("leaving")
        # It may have begun to leave just after the reading 1 s before.
        self.clock.now += 3.0
        self.return_chat("k")
        self.assertEqual(self.list_imports(), [])
        group = Group("g", UpstreamKind.ENGINE, 4, 1, 1.25, 9000)
        self.configure(groups={"g": group})
        self.return_chat("k")
        self.assertEqual(len(self.list_imports()), 1)
        self.clock.now += 6.0
        self.return_chat("later")
        self.assertEqual(len(self.list_imports()), 1)

    def test_no_import_when_the_window_closes_before_the_first_byte(self):
        """Guards against an export that a slow connection makes late."""
        self.show("leaving")
        self.clock.now += 3.95
        self.network.delay_s = 0.1
        self.return_chat("k")
        self.assertEqual(self.list_imports(), [])
        self.assertEqual(self.count("asked"), 0)

    def test_a_leave_of_unknown_age_has_no_window(self):
        """Guards against an instance that starts long after a leave."""
        fresh = LeaveTracker(store=self.store, list_service=self.list, clock=self.clock)
        self.show("leaving")
        self.assertEqual(fresh.list_open("g"), [])
        self.assertEqual(len(self.tracker.list_open("g")), 1)

    def test_failures_are_counted_and_end_in_time(self):
        """Guards against imports that hold up or fail the request."""
        for mode, name in (
            (TransferMode.SILENT, "timed_out"),
            (TransferMode.FAILING, "refused"),
        ):
            self.new.transfers.import_mode = mode
            self.show("live")
            self.show("leaving")
            started = time.monotonic()
            self.return_chat(name)
            self.assertLess(time.monotonic() - started, 5.0)
            self.assertEqual(self.count(name), 1)

    def test_an_engine_without_imports_is_not_asked_again(self):
        """Guards against a useless question for each returning chat."""
        self.show("leaving")
        for mode in (TransferMode.ABSENT, TransferMode.UNIMPLEMENTED):
            self.new.transfers.import_mode = mode
            before = len(self.list_imports())
            self.return_chat(f"a{mode.value}")
            self.return_chat(f"b{mode.value}")
            self.assertEqual(len(self.list_imports()), before + 1)
            self.clock.now += 301
            self.show("live")
            self.show("leaving")
        changes = [r.fields.get("cache_import") for r in self.audit.read_after(0)]
        self.assertEqual(changes, ["absent", "absent"])

    def test_a_dead_source_is_given_up(self):
        """Guards against waiting for a leaving engine that is gone."""
        self.old.stop()
        self.show("leaving")
        for number in range(6):
            self.return_chat(f"k{number}")
        self.assertEqual((len(self.list_imports()), self.count("refused")), (3, 3))


class TestLeave(TransferCase):
    clock_type = SystemClock

    # One at a time, so that their order is seen.
    @patch("fescueflow.delivery.transfers.BURST_THREADS", 1)
    def test_prefixes_move_before_their_chats_return(self):
        """Guards against chats that return after the engine has gone."""
        self.fill("a", "b", "c")
        self.transfers.start()
        self.show("leaving")
        self.assertTrue(wait_until(lambda: self.count("done", "leave") == 3))
        for chat in "abc":
            self.assertEqual(self.new.cache.match(chat_key(chat), PROMPT)[0], 100)
        self.assertEqual(self.list_imports(), [chat_key(chat) for chat in "cba"])
        self.assertTrue(wait_until(lambda: len(self.admission.released) == 3))
        # They move on if the new engine leaves before the chats return.
        moved = [use.affinity_key for use in self.recent.iterate("new")]
        self.assertEqual(moved, [chat_key(chat) for chat in "cba"])
        outcomes = {outcome for _, _, outcome in self.admission.released}
        self.assertEqual(outcomes, {SlotOutcome.FAILED})
        self.assertEqual({d.wait_s for d in self.admission.demands}, {0.0})

    def test_imports_at_a_time_are_limited(self):
        """Guards against a burst that fills the importing engine."""
        self.fill(*(f"k{number}" for number in range(12)))
        self.new.transfers.import_mode = TransferMode.SLOW
        self.new.transfers.slow_s = 0.02
        self.transfers.start()
        self.show("leaving")
        self.assertTrue(wait_until(lambda: self.count("asked", "leave") > 2))
        self.assertLessEqual(self.new.state.peak, 2)


class TestFullEngine(TransferCase):
    def test_without_a_slot_nothing_is_imported(self):
        """Guards against imports beyond an engine's limits."""
        self.fill("a", "b")
        self.admission.plan = [SlotRefusalReason.OVER_BOUND] * 1000
        self.transfers.start()
        self.show("leaving")
        left = lambda: self.metrics.get_count("cache_imports_left_out")
        self.assertTrue(wait_until(lambda: left() == 2))
        self.assertEqual(self.list_imports(), [])


if __name__ == "__main__":
    unittest.main()
