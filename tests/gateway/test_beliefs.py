"""Beliefs through outages, withdrawals and late readings."""

import unittest
from dataclasses import replace

from fescueflow.core import ZoneId
from fescueflow.gateway.beliefs import RETURN_GRACE_S, Beliefs
from fescueflow.routing import UpstreamState
from tests.routing.builders import ENGINES, make_route, make_table, make_upstream


class TableTest(unittest.TestCase):
    """Guards against a configuration that goes back."""

    def test_highest_version_stays(self):
        beliefs = Beliefs()
        self.assertTrue(beliefs.accept_table(make_table(make_route(), version=7)))
        self.assertFalse(beliefs.accept_table(make_table(version=3)))
        self.assertEqual(beliefs.get_table().version, 7)


class UpstreamsTest(unittest.TestCase):
    """Guards against work for what is gone, and against a loss of all at once."""

    def setUp(self):
        self.beliefs = Beliefs()
        self.beliefs.accept_table(make_table(make_route()))
        self.upstreams = [make_upstream("u1", "a"), make_upstream("u2", "b")]
        self.beliefs.replace_upstreams(self.upstreams, 0.0)

    def list_names(self, now=0.0):
        return {u.id for u in self.beliefs.list_upstreams(ENGINES, now)}

    def test_deletion_holds_at_once(self):
        self.assertTrue(self.beliefs.remove_upstream("u1", 1.0))
        self.assertEqual(self.list_names(), {"u2"})

    def test_restart_under_the_same_id(self):
        first = replace(self.upstreams[0], started_at_ms=1)
        self.beliefs.put_upstream(first)
        self.beliefs.take_restarted()
        self.beliefs.put_upstream(first)
        self.assertEqual(self.beliefs.take_restarted(), set())
        self.beliefs.put_upstream(replace(first, started_at_ms=2))
        self.assertEqual(self.beliefs.take_restarted(), {"u1"})
        self.assertEqual(self.beliefs.take_restarted(), set())

    def test_draining_gets_nothing(self):
        leaving = replace(self.upstreams[0], state=UpstreamState.DRAINING)
        self.beliefs.put_upstream(leaving)
        self.assertEqual(self.list_names(), {"u2"})

    def test_entries_that_lapsed_in_an_outage_have_time_to_return(self):
        self.beliefs.note_return(10.0)
        self.beliefs.replace_upstreams([], 10.0)
        self.assertEqual(self.list_names(), {"u1", "u2"})
        self.beliefs.put_upstream(self.upstreams[0])
        self.assertEqual(self.list_names(10.0 + RETURN_GRACE_S), {"u1"})
        self.assertEqual(self.beliefs.drop_doubted(10.0 + RETURN_GRACE_S), ["u2"])
        self.assertEqual(self.list_names(), {"u1"})

    def test_withdrawn_zone(self):
        self.beliefs.set_withdrawn([ZoneId("a")], 5.0)
        self.assertEqual(self.list_names(), {"u2"})
        self.assertEqual(self.beliefs.set_withdrawn([], 9.0), {"a"})
        by_name = {u.id: u for u in self.beliefs.list_upstreams(ENGINES, 9.0)}
        # The service's cold time is 3 s.
        self.assertEqual(by_name["u1"].cold_until, 12.0)
        self.assertEqual(by_name["u2"].cold_until, 0.0)


if __name__ == "__main__":
    unittest.main()
