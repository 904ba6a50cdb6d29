"""Tests that chats of a leaving engine find their prefix cached at the next one."""

import time
from collections import Counter
from dataclasses import replace

from tests.guarantees.load_case import LoadCase
from tests.selection import long_run
from tests.standins.cache_exchange import TransferMode
from tests.standins.caller import Caller
from tests.standins.content import make_answer, make_message
from tests.standins.deployment import FIRST_USER, MODEL
from tests.standins.engine import EngineOptions

CUSTOMER = "customer-5"
CHATS = 24
NO_NEW_WORK_AFTER_S = 5.0
PRESET = replace(
    FIRST_USER,
    export_after_leave_ms=4000,
    engine_options=EngineOptions(token_s=0.002),
)


class CacheTransferTest(LoadCase):
    """Checks the cached tokens in the engines' ledgers."""

    def send_turn(self, caller, chat, turns):
        """Send the last of ``turns`` turns of a chat with its history."""
        messages = []
        for turn in range(1, turns + 1):
            text = make_message(CUSTOMER, chat, turn, 8, "x" * 400)
            messages.append({"role": "user", "content": text})
            messages.append({"role": "assistant", "content": make_answer(text)})
        result = caller.chat(MODEL, chat, messages[:-1])
        self.assertTrue(result.whole, result)
        return result

    def find_cached(self, result):
        """Return (cached, all) prompt tokens of a call from the engine's ledger."""
        engine = self.deployment.engines[result.upstream]
        entry = engine.ledger.get_entries(result.request_id)[-1]
        return entry.cached_tokens, entry.prompt_tokens

    def serve_and_mark_leaving(self, caller):
        """Serve chats, mark the busiest engine as leaving, return (name, its chats)."""
        chats = [f"chat-{number}" for number in range(CHATS)]
        first = {chat: self.send_turn(caller, chat, 1).upstream for chat in chats}
        leaving = Counter(first.values()).most_common(1)[0][0]
        self.deployment.instance_list.mark_leaving(leaving)
        return leaving, [chat for chat in chats if first[chat] == leaving]

    @long_run
    def test_chats_return_to_a_warm_prefix_after_a_leave(self):
        """Guards against prefixes that are recomputed after a planned leave."""
        with self.run_fleet(PRESET) as fleet:
            self.wait_homes()
            caller = Caller(fleet.get_addresses, CUSTOMER, seed=1)
            leaving, moving_chats = self.serve_and_mark_leaving(caller)
            old = self.deployment.engines[leaving]
            shown_at = time.monotonic() + self.deployment.instance_list.lag_s
            time.sleep(max(0.0, shown_at + NO_NEW_WORK_AFTER_S - time.monotonic()))
            # The engine ends before its chats continue.
            self.deployment.instance_list.remove(leaving)
            old.stop_listening()
            time.sleep(2 * self.deployment.instance_list.lag_s)
            for chat in moving_chats:
                result = self.send_turn(caller, chat, 2)
                cached, tokens = self.find_cached(result)
                self.assertNotEqual(result.upstream, leaving)
                self.assertGreater(cached, 0.45 * tokens, (chat, result.upstream))
            self.assert_imports(fleet, len(moving_chats))
            exports = old.transfers.get_entries("export")
            self.assertEqual(len(exports), len(moving_chats))
            late = [e for e in exports if e.started_at > shown_at + NO_NEW_WORK_AFTER_S]
            self.assertEqual(late, [])

    @long_run
    def test_silent_imports_hold_up_no_request(self):
        """Guards against requests that fail or wait because an import hangs."""
        with self.run_fleet(PRESET) as fleet:
            self.wait_homes()
            for engine in self.deployment.engines.values():
                engine.transfers.import_mode = TransferMode.SILENT
            caller = Caller(fleet.get_addresses, CUSTOMER, seed=1)
            leaving, moving_chats = self.serve_and_mark_leaving(caller)
            time.sleep(3 * self.deployment.instance_list.lag_s)
            for chat in moving_chats:
                result = self.send_turn(caller, chat, 2)
                self.assertNotEqual(result.upstream, leaving)
                self.assertLess(result.first_token_s, 5.0)
            self.assertGreater(self.count_imports(fleet, "asked", "leave"), 0)
            timed_out = [
                self.count_imports(fleet, "timed_out", trigger)
                for trigger in ("leave", "return")
            ]
            self.assertGreater(sum(timed_out), 0)

    def assert_imports(self, fleet, count):
        """Assert that each prefix was imported once, when the engine left."""
        for name in ("asked", "done"):
            self.assertEqual(self.count_imports(fleet, name, "leave"), count, name)

    def count_imports(self, fleet, name, trigger):
        series = f'fescueflow_cache_imports_{name}_total{{trigger="{trigger}"}}'
        found = [fleet.read_metrics(i.id).get(series, 0) for i in fleet.get_running()]
        return sum(found)
