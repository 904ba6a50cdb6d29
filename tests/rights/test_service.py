"""Shares, loans, leases, homes and the fence after a pause."""

import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.core import hash_upstream
from fescueflow.rights import LeaseTable, LoanTable, count_slots
from fescueflow.rights.service import UPSTREAMS_PER_DATAGRAM, split_batches
from fescueflow.schema import Datagram, LeaseGrant, LeaseRequest
from fescueflow.schema.codec import encode_message
from tests.rights.simulation import Simulation


def total_slots(simulation, name, limit=8):
    shares = [node.rights.get_shares(name) for node in simulation.nodes.values()]
    return [count_slots(limit, s.share_bits) for s in shares]


class TestShares(unittest.TestCase):
    @given(st.integers(0, 100), st.lists(st.integers(0, 7), max_size=8))
    def test_disjoint_shares_add_up_to_the_limit(self, limit, chosen):
        """Guards against two homes that exceed the limit with their shares."""
        bits = sum(1 << share for share in set(chosen))
        rest = 255 & ~bits
        self.assertEqual(count_slots(limit, bits) + count_slots(limit, rest), limit)


class TestTables(unittest.TestCase):
    def test_share_is_lent_to_one_home_until_expiry_or_return(self):
        """Guards against a share that is lent to two homes."""
        table = LoanTable(2.0)
        one, two, homes = ("a", 1), ("b", 1), {}
        self.assertEqual(table.lend(one, {7: 3}, homes, 0.0)[0], {7: 3})
        self.assertEqual(table.lend(two, {7: 7}, homes, 1.9)[0], {7: 4})
        self.assertEqual(table.lend(("a", 2), {7: 3}, homes, 1.9)[0], {7: 0})
        self.assertEqual(table.lend(two, {7: 3}, homes, 2.0)[0], {7: 3})
        table.return_shares(two, [7])
        self.assertEqual(table.lend(one, {7: 3}, homes, 2.1)[0], {7: 3})

    def test_stale_home_does_not_keep_shares(self):
        """Guards against a replaced home that renews its leases indefinitely."""
        table = LoanTable(2.0)
        table.lend(("old", 1), {7: 3}, {7: "new"}, 0.0)
        table.lend(("new", 1), {7: 3}, {7: "new"}, 1.0)
        self.assertEqual(table.lend(("old", 1), {7: 3}, {7: "new"}, 1.5)[0], {7: 0})
        self.assertEqual(table.lend(("new", 1), {7: 3}, {7: "new"}, 2.0)[0], {7: 3})

    def test_lease_counts_from_before_the_request(self):
        """Guards against a lease that expires later at the home than at the holder."""
        table = LeaseTable(2.0)
        sequence = table.open_request("h", [7], 10.0)
        table.accept(("h", 1), sequence, {7: 1, 8: 1}, 11.5)
        (lease,) = table.get_leases(7, 11.9)
        self.assertEqual((lease.expires_at, lease.acquired_at), (12.0, 11.5))
        self.assertEqual(table.get_leases(8, 11.9), ())
        self.assertEqual(table.get_leases(7, 12.0), ())
        self.assertIsNone(table.accept(("h", 1), sequence, {7: 1}, 11.6))

    def test_full_batch_fits_into_a_datagram(self):
        """Guards against grants that are fragmented or dropped."""
        refs = [hash_upstream(f"upstream-{index}") for index in range(150)]
        batches = split_batches(refs)
        self.assertEqual([len(b) for b in batches], [60, 60, 30])
        bits = [number % 256 for number in range(60)]
        for content in (LeaseRequest(1 << 40, batches[0]), LeaseGrant(1 << 40, bits)):
            packed = encode_message(Datagram("i" * 40, 1 << 62, content))
            self.assertLessEqual(len(packed) + 18, 1400, UPSTREAMS_PER_DATAGRAM)

    def test_late_grant_is_ignored_by_the_next_incarnation(self):
        """Guards against share bits that are assigned to other upstreams."""
        former, present = LeaseTable(2.0, 5_000), LeaseTable(2.0, 9_000)
        sequence = former.open_request("h", [7, 8], 10.0)
        present.open_request("h", [8, 7], 10.1)
        self.assertEqual(former.find_upstreams("h", sequence), (7, 8))
        self.assertEqual(former.find_upstreams("other", sequence), ())
        self.assertEqual(present.find_upstreams("h", sequence), ())


class TestRights(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(1, size=5, upstreams=3)

    def test_nothing_is_lent_during_the_hold_down(self):
        """Guards against an instance that lends shares its predecessor still lends."""
        self.simulation.run(7.5)
        self.assertEqual(sum(total_slots(self.simulation, "u0")), 0)
        self.simulation.run(4)
        self.assertEqual(sum(total_slots(self.simulation, "u0")), 8)

    def test_instance_that_never_read_the_list_keeps_only_its_own_shares(self):
        """Guards against one instance that keeps a new fleet without capacity.

        An instance that lost access to the platform in the first second of the
        fleet prevented all others from gaining shares until access was restored.
        """
        cut_off = self.simulation.nodes["i0"]
        cut_off.can_read_list = False
        self.simulation.run(30)
        names = [upstream.id for upstream in self.simulation.upstreams]
        slots = sum(sum(total_slots(self.simulation, name)) for name in names)
        kept = sum(
            record.winner[1] == "i0"
            for record in self.simulation.nodes["i1"].rights._table._all_records()
        )
        self.assertGreater(kept, 0)
        self.assertEqual(slots, 8 * len(names) - kept)
        self.assertEqual(self.simulation.find_double_loans(), [])
        cut_off.can_read_list = True
        self.simulation.run(20)
        slots = sum(sum(total_slots(self.simulation, name)) for name in names)
        self.assertEqual(slots, 8 * len(names))

    def test_grant_of_another_length_changes_nothing(self):
        """Guards against leases from a grant that doesn't match its request."""
        self.simulation.run(14)
        home, holder = list(self.simulation.nodes.values())[:2]
        rights, now = home.rights, self.simulation.clock.monotonic()
        for bits in ([255], [255] * 3):
            sequence = rights._leases.open_request(holder.sender.instance, [1, 2], now)
            rights._handle_grant(holder.sender, LeaseGrant(sequence, bits))
            self.assertEqual(rights._leases.get_leases(1, now), ())
        rights._handle_grant(holder.sender, LeaseGrant(sequence, [3, 0]))
        self.assertEqual(len(rights._leases.get_leases(1, now)), 2)
        self.assertEqual(rights._leases.get_leases(2, now), ())
        unmatched = rights._metrics.get_count("lease_grants_unmatched")
        self.assertEqual(unmatched, 2)

    def test_new_upstream_needs_no_second_hold_down(self):
        """Guards against a delay of a hold-down for each engine that joins."""
        self.simulation.run(14)
        known = self.simulation.list_history[-1][2]
        self.simulation.set_listed(self.simulation.names, known[:2])
        self.simulation.run(5)
        self.simulation.set_listed(self.simulation.names, known)
        self.simulation.run(5.5)
        self.assertEqual(sum(total_slots(self.simulation, "u2")), 8)

    def test_both_sides_of_a_partition_have_disjoint_shares(self):
        """Guards against sides that together exceed the limit or have no capacity."""
        self.simulation.run(12)
        side = {"i0", "i1"}
        self.simulation.cut = {
            frozenset((a, b))
            for a in side
            for b in self.simulation.names
            if b not in side
        }
        self.simulation.platform_up = False
        self.simulation.run(10)
        slots = total_slots(self.simulation, "u0")
        self.assertEqual((sum(slots), sum(n > 0 for n in slots)), (8, 2))

    def test_home_is_an_instance_that_can_read_the_list(self):
        """Guards against a home that doesn't learn which upstreams leave."""
        self.simulation.run(12)
        upstream = self.simulation.upstreams[0]
        nodes = self.simulation.nodes.values()
        home = next(node for node in nodes if node.rights.is_home(upstream))
        home.can_read_list = False
        self.simulation.run(5)
        self.assertFalse(home.rights.is_home(upstream))
        self.assertTrue(any(node.rights.is_home(upstream) for node in nodes))
        for node in nodes:
            node.can_read_list = False
        self.simulation.run(5)
        self.assertTrue(home.rights.is_home(upstream))

    def test_unlisted_instance_stops_at_once(self):
        """Guards against lending after the instance was removed from the list."""
        self.simulation.run(12)
        self.simulation.set_listed([n for n in self.simulation.names if n != "i0"])
        self.simulation.run(5)
        self.assertTrue(self.simulation.nodes["i0"].rights.is_fenced())

    def test_paused_instance_is_fenced_until_the_list_is_read(self):
        """Guards against a resumed process that uses outdated shares."""
        self.simulation.run(12)
        node = self.simulation.nodes["i0"]
        node.can_read_list = False
        node.paused_until = self.simulation.clock.now + 3
        self.simulation.run(6)
        self.assertTrue(node.rights.is_fenced())
        node.can_read_list = True
        self.simulation.run(3)
        self.assertFalse(node.rights.is_fenced())

    def test_paused_instance_is_fenced_until_its_configuration_is_current(self):
        """Guards against a resumed home that serves a zone withdrawn in the pause."""
        self.simulation.run(12)
        node = self.simulation.nodes["i0"]
        node.paused_until = self.simulation.clock.now + 3
        self.simulation.nodes["i1"].member = replace(
            self.simulation.nodes["i1"].member, revision=9
        )
        self.simulation.run(8)
        self.assertTrue(node.rights.is_fenced())
        node.member = replace(node.member, revision=9)
        self.simulation.run(1)
        self.assertFalse(node.rights.is_fenced())

    def test_queued_heartbeats_do_not_end_the_fence(self):
        """Guards against a resumed process that takes queued datagrams as current.

        On a busy CI machine, an instance of a withdrawn zone read datagrams from
        before the withdrawal when it resumed, and then served a call 12 s after the
        withdrawal was published.
        """
        self.simulation.run(12)
        node = self.simulation.nodes["i0"]
        node.paused_until = self.simulation.clock.now + 3
        answered_ping_sent_at = node.membership.get_answered_ping_sent_at()
        with mock.patch.object(
            node.membership,
            "get_answered_ping_sent_at",
            return_value=answered_ping_sent_at,
        ):
            self.simulation.run(10)
            self.assertTrue(node.rights.is_fenced())
        self.simulation.run(2)
        self.assertFalse(node.rights.is_fenced())

    def test_peers_that_appear_after_a_pause_count_as_heard(self):
        """Guards against an instance that stays fenced indefinitely.

        This happened if it knew few of its peers when it resumed, as shortly
        after its start on a busy machine.
        """
        self.simulation.run(12)
        node, others = self.simulation.nodes["i0"], self.simulation.names[2:]
        self.simulation.cut = {frozenset(("i0", other)) for other in others}
        self.simulation.run(5)
        node.paused_until = self.simulation.clock.now + 3
        self.simulation.run(4.1)
        # The list is read and the other peers are heard before the known one.
        self.simulation.nodes["i1"].next_heartbeat = self.simulation.clock.now + 1
        for _ in range(2):
            node.list_service.read()
            self.simulation.step()
        self.assertTrue(node.rights.is_fenced())
        self.simulation.cut = set()
        self.simulation.run(5)
        self.assertEqual(len(node.membership.get_live()), len(self.simulation.names))
        self.assertFalse(node.rights.is_fenced())

    def test_pause_during_an_outage_of_the_platform(self):
        """Guards against an instance that stays fenced until the outage ends."""
        self.simulation.run(12)
        self.simulation.platform_up = False
        node = self.simulation.nodes["i0"]
        node.paused_until = self.simulation.clock.now + 8
        self.simulation.run(8.2)
        self.assertTrue(node.rights.is_fenced())
        self.simulation.run(3)
        self.assertFalse(node.rights.is_fenced())

    def test_joiner_waits_for_an_instance_that_cannot_read_the_list(self):
        """Guards against a share that is gained while a cut-off instance lends it."""
        self.simulation.kill("i4")
        self.simulation.set_listed(["i0", "i1", "i2", "i3"])
        self.simulation.run(16)
        for node in self.simulation.nodes.values():
            node.can_read_list = False
        self.simulation.start("i4")
        self.simulation.set_listed(self.simulation.names)
        for _ in range(400):
            self.simulation.step()
            self.assertEqual(self.simulation.find_double_loans(), [])
        self.assertEqual(self.simulation.nodes["i4"].rights._table.count_held(), 0)
        for node in self.simulation.nodes.values():
            node.can_read_list = True
        self.simulation.run(14)
        self.assertEqual(sum(total_slots(self.simulation, "u0")), 8)

    def test_returned_leases_are_free_at_once(self):
        """Guards against a loss of capacity when an instance leaves as planned."""
        self.simulation.run(12)
        node = next(n for n in self.simulation.nodes.values() if n.rights._home_since)
        name = next(iter(node.rights._home_since))
        node.rights.return_leases()
        self.simulation.run(0.1)
        self.assertEqual(node.rights.get_shares(name).share_bits, 0)
        loans = [
            n.rights._lending.get_loans(0.0) for n in self.simulation.nodes.values()
        ]
        borrowers = {loan.borrower[0] for table in loans for loan in table.values()}
        self.assertNotIn(node.name, borrowers)


if __name__ == "__main__":
    unittest.main()
