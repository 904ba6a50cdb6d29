"""Lease requests that refer to the upstream list of an earlier request."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.rights.upstream_lists import (
    LIST_LIFETIME_S,
    ReceivedUpstreamLists,
    SentUpstreamLists,
)
from fescueflow.schema import LeaseGrant, LeaseRequest
from tests.rights.simulation import Simulation

LISTS = ((7,), (7, 8), (8, 7))


class TestLists(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 2), st.booleans()), min_size=1), st.data())
    def test_repeated_list_resolves_to_the_sent_one(self, steps, draw):
        """Guards against share bits that are assigned to other upstreams.

        Requests of two incarnations of a home are lost, repeated and reordered.
        """
        sent = {1: SentUpstreamLists(), 2: SentUpstreamLists()}
        transmitted, received, sequences = [], ReceivedUpstreamLists(), {1: 0, 2: 90}
        for choice, second in steps:
            home = 2 if second else 1
            sequences[home] += 1
            request = sent[home].make_request("h", LISTS[choice], sequences[home])
            transmitted.append((home, LISTS[choice], request))
            for index in draw.draw(st.lists(st.integers(0, len(transmitted) - 1))):
                home, expected, request = transmitted[index]
                upstreams = received.resolve(("home", home), request, 0.0)
                if upstreams is not None:
                    self.assertEqual(tuple(upstreams), expected)
                    sent[home].confirm("h", request.sequence)

    def test_list_is_repeated_only_after_its_answer(self):
        """Guards against requests that refer to a list that was lost."""
        sent = SentUpstreamLists()
        for sequence in (1, 2):
            request = sent.make_request("h", [7], sequence)
            self.assertEqual(request, LeaseRequest(sequence, [7], 0))
        sent.confirm("h", 1)
        self.assertEqual(sent.make_request("h", [7], 3), LeaseRequest(3, [7], 0))
        sent.confirm("h", 3)
        self.assertEqual(sent.make_request("h", [7], 5), LeaseRequest(5, [], 2))
        self.assertEqual(sent.make_request("h", [8], 6), LeaseRequest(6, [8], 0))
        sent.confirm("h", 6)
        self.assertTrue(sent.unconfirm("h"))
        self.assertFalse(sent.unconfirm("h"))
        self.assertEqual(sent.make_request("h", [8], 7), LeaseRequest(7, [8], 0))

    def test_unknown_lists_are_refused(self):
        """Guards against the use of another request's, incarnation's or home's list."""
        received = ReceivedUpstreamLists()
        received.resolve(("a", 1), LeaseRequest(10, [7], 0), 0.0)
        received.resolve(("a", 1), LeaseRequest(9, [8], 0), 0.0)
        self.assertEqual(received.resolve(("a", 1), LeaseRequest(12, [], 2), 0.0), [7])
        for home, repeats in ((("a", 1), 3), (("a", 2), 2), (("b", 1), 2)):
            request = LeaseRequest(12, [], repeats)
            self.assertIsNone(received.resolve(home, request, 0.0))
        received.remove_expired_lists(LIST_LIFETIME_S)
        self.assertIsNone(received.resolve(("a", 1), LeaseRequest(13, [], 3), 0.0))


class TestRepeatedRequests(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(1, size=5, upstreams=3)
        self.requests = []
        post = self.simulation.post

        def record(node, address, content):
            if isinstance(content, LeaseRequest):
                self.requests.append(content)
            post(node, address, content)

        self.simulation.post = record

    def count_slots(self):
        rows = (n.rights.get_shares("u0") for n in self.simulation.nodes.values())
        return sum(bin(shares.share_bits).count("1") for shares in rows)

    def test_renewals_repeat_their_list_and_keep_the_leases(self):
        """Guards against leases that expire while requests omit the list."""
        self.simulation.run(14)
        self.requests.clear()
        for _ in range(100):
            self.simulation.step()
            self.assertEqual(self.count_slots(), 8)
        self.assertTrue(self.requests)
        self.assertTrue(all(r.repeats and not r.upstreams for r in self.requests))

    def test_holder_that_lost_the_list_gets_it_within_a_lease(self):
        """Guards against leases that expire because a holder lost a list."""
        self.simulation.run(14)
        for node in self.simulation.nodes.values():
            node.rights._received = ReceivedUpstreamLists()
        self.requests.clear()
        for _ in range(100):
            self.simulation.step()
            self.assertEqual(self.count_slots(), 8)
        self.assertTrue(any(r.upstreams for r in self.requests))
        self.assertEqual(self.requests[-1].upstreams, [])

    def test_unknown_answer_extends_no_lease_and_asks_once(self):
        """Guards against empty grants that extend leases or cause a request storm."""
        self.simulation.run(14)
        home, holder = list(self.simulation.nodes.values())[:2]
        rights, now = home.rights, self.simulation.clock.monotonic()
        name = holder.sender.instance
        first = rights._sent.make_request(name, [1, 2], 1)
        rights._sent.confirm(name, first.sequence)
        for _ in range(2):
            sequence = rights._leases.open_request(name, [1, 2], now)
            rights._handle_grant(holder.sender, LeaseGrant(sequence, []))
        self.assertEqual(rights._leases.get_leases(1, now), ())
        self.assertEqual(rights._metrics.get_count("lease_grants_unmatched"), 1)


if __name__ == "__main__":
    unittest.main()
