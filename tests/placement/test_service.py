"""Tests of the ranking of candidates and of placement tokens."""

import unittest
from dataclasses import replace

from fescueflow.configuration import Affinity, Configuration, Customer
from fescueflow.core import ListState
from fescueflow.metrics import Metrics
from fescueflow.placement import PlacementService
from fescueflow.platform import ListSnapshot
from fescueflow.transport import Keyring
from tests.builders import KEYS, build_upstream
from tests.fakes import Holder, ManualClock


def make_upstreams(count):
    return [build_upstream(f"u{i}", f"z{i % 3}") for i in range(count)]


class TestPlacement(unittest.TestCase):
    def setUp(self):
        self.clock, self.metrics = ManualClock(), Metrics()
        self.list = Holder(None)
        self.show(make_upstreams(6))
        configuration = Configuration(1, b"", frozenset(), frozenset(), {}, {})
        self.store = Holder(configuration)
        self.customer = Customer("c", 1, Affinity.BRIEF, frozenset(), {}, {})
        self.placement = PlacementService(
            store=self.store,
            list_service=self.list,
            keyring=Keyring(KEYS),
            clock=self.clock,
            metrics=self.metrics,
        )

    def show(self, upstreams):
        self.list.value = ListSnapshot((), tuple(upstreams), 0.0)

    def rank(self, key, token=None):
        ranked = self.placement.rank(self.customer, "g", key, token)
        return [upstream.id for upstream in ranked]

    def first_of(self, count):
        self.show(make_upstreams(count))
        return {k: self.rank(k)[0] for k in (f"chat{i}" for i in range(6000))}

    def test_lost_engine_moves_only_its_chats(self):
        """Guards against chats that lose the prompt cache of an unchanged engine."""
        before, after = self.first_of(6), self.first_of(5)
        moved = {k for k in before if before[k] != after[k]}
        self.assertEqual(moved, {k for k in before if before[k] == "u5"})
        self.assertLess(len(moved), 6000 / 6 * 1.1)

    def test_new_engine_takes_only_its_share(self):
        """Guards against a new engine that takes more chats than its share."""
        before, after = self.first_of(6), self.first_of(7)
        moved = {k for k in before if before[k] != after[k]}
        self.assertEqual({after[k] for k in moved}, {"u6"})
        self.assertLess(abs(len(moved) - 6000 / 7), 6000 / 7 * 0.15)

    def test_candidates(self):
        """Guards against requests to upstreams that are out of service."""
        self.store.value = replace(
            self.store.value,
            withdrawn=frozenset(["z1"]),
            leaving=frozenset(["u0"]),
        )
        self.assertEqual(set(self.rank("k")), {"u2", "u3", "u5"})
        self.customer = replace(self.customer, zones=frozenset(["z2"]))
        self.assertEqual(set(self.rank("k")), {"u2", "u5"})
        self.show(replace(u, state=ListState.LEAVING) for u in make_upstreams(6))
        self.assertEqual(self.rank("k"), [])

    def test_token_prefers_its_upstream(self):
        """Guards against chats that move to a new engine despite their token."""
        order = self.rank("k")
        token = self.placement.make_token(order[3], "k")
        rest = [name for name in order if name != order[3]]
        self.assertEqual(self.rank("k", token), [order[3], *rest])
        self.show(u for u in make_upstreams(6) if u.id != order[3])
        self.assertEqual(self.rank("k", token), rest)

    def test_the_former_upstream_of_a_moved_chat(self):
        """Guards against cache imports from an engine that never had the prefix."""
        order, upstreams = self.rank("k"), make_upstreams(6)
        for name, token, is_former in (
            (order[0], None, True),
            (order[1], None, False),
            (order[1], self.placement.make_token(order[1], "k"), True),
            (order[0], self.placement.make_token(order[1], "k"), False),
        ):
            leaving = [u for u in upstreams if u.id == name]
            self.store.value = replace(self.store.value, leaving=frozenset([name]))
            found = self.placement.find_departing_upstream(
                self.customer, "g", "k", token, leaving
            )
            self.assertEqual(found, leaving[0] if is_former else None)
            rest = [other for other in order if other != name]
            self.assertEqual(self.rank("k")[0], rest[0])

    def test_bad_tokens_are_ignored_and_counted(self):
        """Guards against callers that select an upstream with an invalid token."""
        order = self.rank("k")
        token = self.placement.make_token(order[3], "k")
        cases = {
            "forged": token[:-1] + ("0" if token[-1] != "0" else "1"),
            "malformed": "x" * 40,
            "other_key": self.placement.make_token(order[3], "other"),
        }
        for reason, case in cases.items():
            self.assertEqual(self.rank("k", case), order)
            self.assert_ignored(reason)
        self.clock.now += 1801
        self.assertEqual(self.rank("k", token), order)
        self.assert_ignored("expired")

    def assert_ignored(self, reason):
        count = self.metrics.get_count("placement_tokens_ignored", reason=reason)
        self.assertEqual(count, 1)

    def test_affinity_key(self):
        """Guards against chats with the same shared prompt on different engines."""
        choose = self.placement.choose_affinity_key
        brief = choose(self.customer, "prompt", "chat1", b"")
        self.assertEqual(brief, choose(self.customer, "prompt", "chat2", b""))
        self.assertNotEqual(brief, choose(self.customer, None, "chat1", b""))
        by_chat = replace(self.customer, affinity=Affinity.CHAT)
        self.assertNotEqual(
            choose(by_chat, "prompt", "a", b""), choose(by_chat, "prompt", "b", b"")
        )
        first = b'{"messages": [{"content": "x"}], "n": 1}'
        same = b'{"n": 2, "messages": [{"content": "x"}, {"content": "y"}]}'
        self.assertEqual(
            choose(by_chat, None, None, first), choose(by_chat, None, None, same)
        )
        self.assertTrue(choose(by_chat, None, None, b"\xff"))


if __name__ == "__main__":
    unittest.main()
