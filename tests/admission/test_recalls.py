"""Recalls of slots in favour of waiting entries."""

import unittest
from dataclasses import replace

from returns.result import Success

from fescueflow.core import Priority
from fescueflow.schema import SlotOutcome, SlotRecall
from tests.admission.test_home import find_home, make_simulation

SLOTS = 8


class TestRecalls(unittest.TestCase):
    def setUp(self):
        self.simulation = make_simulation()
        self.upstream = self.simulation.upstreams[0]
        self.home = find_home(self.simulation, self.upstream)
        self.other = next(
            n for n in self.simulation.nodes.values() if n is not self.home
        )
        self.recalled = []

    def hold_all(self, node, recallable=True, **changes):
        """Let one heavy customer hold all slots for a second."""
        slots = []
        for index in range(SLOTS):
            changed = {"customer": "loud", "recallable": recallable, **changes}
            demand = self.simulation.demand(self.upstream, f"loud{index}", **changed)
            slot = node.admission.acquire(demand).unwrap()
            node.admission.set_recall_callback(
                slot, lambda s=slot: self.recalled.append(s)
            )
            slots.append(slot)
        self.simulation.run(1)
        return slots

    def wait(self, key, customer="quiet", **changes):
        """Return an entry that waits in the home's queue."""
        pool = self.home.admission._home.list_pools()[0]
        own = self.home.member
        changed = {"customer": customer, "wait_s": 9.0, **changes}
        entry = self.home.admission._home._enqueue(
            pool,
            (own.instance, own.incarnation),
            self.simulation.demand(self.upstream, key, **changed),
            self.simulation.clock.now,
        )
        self.home.admission._home.serve_queue(pool)
        return entry

    def test_waiting_entry_gets_the_recalled_slot(self):
        """Guards against other customers that wait behind a surge's responses."""
        for name in ("home", "other"):
            with self.subTest(name):
                self.setUp()
                node = getattr(self, name)
                slots = self.hold_all(node)
                earlier = self.wait("more", "loud")
                entry = self.wait("q")
                self.simulation.step()
                self.simulation.step()
                self.assertEqual(self.recalled, [slots[-1]])
                self.assertIsNone(entry.result)
                node.admission.release(slots[-1], SlotOutcome.RECALLED)
                self.simulation.step()
                self.assertIsInstance(entry.result, Success)
                self.assertIsNone(earlier.result)
                self.assertFalse(self.home.admission.get_status()[0].cold)

    def test_lost_recall_is_repeated(self):
        """Guards against an entry that waits for a lost recall message."""
        self.hold_all(self.other)
        self.simulation.loss = 1.0
        self.wait("q")
        self.simulation.run(0.05)
        self.simulation.loss = 0.0
        self.simulation.run(0.2)
        self.assertGreaterEqual(len(self.recalled), 1)
        self.assertEqual(len(set(self.recalled)), 1)

    def test_reservation_expires(self):
        """Guards against slots reserved for an entry that has left the queue."""
        slots = self.hold_all(self.other)
        entry = self.wait("q")
        pool = self.home.admission._home.list_pools()[0]
        self.home.admission._home._finish_wait(pool, entry)
        later = self.wait("more", "loud")
        self.other.admission.release(slots[-1], SlotOutcome.RECALLED)
        self.simulation.step()
        self.assertIsNone(later.result)
        self.simulation.run(0.5)
        self.assertIsInstance(later.result, Success)

    def test_recall_reaches_its_slot_only(self):
        """Guards against a stream cut by a late recall or one of another slot."""
        slot = self.hold_all(self.other)[0]
        handler = self.other.endpoint.handlers[SlotRecall]
        restarted = replace(self.home.sender, incarnation=99)
        handler(restarted, SlotRecall(slot.id))
        handler(self.home.sender, SlotRecall(slot.id + 1000))
        self.assertEqual(self.recalled, [])
        handler(self.home.sender, SlotRecall(slot.id))
        self.other.admission.release(slot, SlotOutcome.COMPLETED, 0.1)
        handler(self.home.sender, SlotRecall(slot.id))
        self.assertEqual(self.recalled, [slot])

    def test_recall_before_the_requester_watches_is_kept(self):
        """Guards against a recall that is lost while the request starts."""
        demand = self.simulation.demand(self.upstream, "early", recallable=True)
        slot = self.other.admission.acquire(demand).unwrap()
        handler = self.other.endpoint.handlers[SlotRecall]
        handler(self.home.sender, SlotRecall(slot.id))
        self.other.admission.set_recall_callback(
            slot, lambda: self.recalled.append(slot)
        )
        self.assertEqual(self.recalled, [slot])

    def test_slot_that_is_not_recallable_is_never_recalled(self):
        """Guards against interrupted work that can't be resumed."""
        self.hold_all(self.other, recallable=False)
        self.wait("q")
        self.simulation.run(0.5)
        self.assertEqual(self.recalled, [])

    def test_slot_runs_for_a_while_before_its_recall(self):
        """Guards against streams that are recalled again without progress."""
        self.hold_all(self.other, resumed=True)
        pool = self.home.admission._home.list_pools()[0]
        for slot in list(pool.slots.values()):
            begun = replace(slot, granted_at=self.simulation.clock.now - 0.02)
            pool.slots[slot.id] = begun
        self.wait("q")
        self.simulation.step()
        self.assertEqual(self.recalled, [])
        self.simulation.run(0.3)
        self.assertGreaterEqual(len(self.recalled), 1)

    def test_expected_end_of_a_heavy_entry(self):
        """Guards against late refusals when no slot is free for a heavy customer."""
        slots = self.hold_all(self.other)
        self.wait("q", wait_s=0.0)
        pool = self.home.admission._home.list_pools()[0]
        shares = self.home.rights.get_shares("u0")
        now = self.simulation.clock.now
        pool.usage._usages["loud"].mean_hold_s = 0.8
        entry = self.wait("more", "loud", recallable=True)
        self.assertGreater(pool.estimate_heavy_end(entry, shares, now), 0.8)
        for slot in slots[:2]:
            pool.remove_slot(slot.id, now)
        pool.recalls._recalls.clear()
        self.assertEqual(pool.estimate_heavy_end(entry, shares, now), 0.0)

    def test_recalls_between_priority_classes(self):
        """Guards against urgent work behind lower classes, and recalls among equals."""
        cases = [
            ("heavy yields to its class", Priority.STANDARD, "quiet", 1, True),
            ("not to a lower one", Priority.STANDARD, "quiet", 2, False),
            ("own higher class", Priority.STANDARD, "loud", 0, True),
            ("own class", Priority.STANDARD, "loud", 1, False),
        ]
        for name, held, customer, priority, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.hold_all(self.other, priority=held)
                self.wait("first", "quiet", wait_s=0.0, priority=Priority.BATCH)
                self.wait("q", customer, priority=Priority(priority))
                self.simulation.run(0.2)
                self.assertEqual(bool(self.recalled), expected)

    def test_lookups_of_any_customer_are_recallable(self):
        """Guards against interactive work that waits behind lookups."""
        cases = [(Priority.LOOKUP, True), (Priority.STANDARD, False)]
        for held, expected in cases:
            with self.subTest(held.name):
                self.setUp()
                self.hold_all(self.other, priority=held, share=100)
                self.wait("q", priority=Priority.INTERACTIVE)
                self.simulation.run(0.2)
                self.assertEqual(bool(self.recalled), expected)


if __name__ == "__main__":
    unittest.main()
