"""Tests of the platform state through outages, withdrawals and late readings."""

import unittest
from dataclasses import replace

from fescueflow.core import ZoneId
from fescueflow.gateway.platform_state import RECOVERY_GRACE_S, PlatformState
from fescueflow.routing import UpstreamState
from tests.routing.builders import ENGINES, make_route, make_table, make_upstream


class AcceptTableTest(unittest.TestCase):
    """Guards against a configuration that reverts to an older version."""

    def test_highest_version_stays(self):
        platform_state = PlatformState()
        self.assertTrue(
            platform_state.accept_table(make_table(make_route(), version=7))
        )
        self.assertFalse(platform_state.accept_table(make_table(version=3)))
        self.assertEqual(platform_state.get_table().version, 7)


class ListUpstreamsTest(unittest.TestCase):
    """Guards against requests to removed upstreams, and against losing all at once."""

    def setUp(self):
        self.platform_state = PlatformState()
        self.platform_state.accept_table(make_table(make_route()))
        self.upstreams = [make_upstream("u1", "a"), make_upstream("u2", "b")]
        self.platform_state.replace_upstreams(self.upstreams, 0.0)

    def list_names(self, now=0.0):
        return {u.id for u in self.platform_state.list_upstreams(ENGINES, now)}

    def test_deletion_takes_effect_at_once(self):
        self.assertTrue(self.platform_state.remove_upstream("u1", 1.0))
        self.assertEqual(self.list_names(), {"u2"})

    def test_restart_under_the_same_id(self):
        first = replace(self.upstreams[0], started_at_ms=1)
        self.platform_state.put_upstream(first)
        self.platform_state.pop_restarted()
        self.platform_state.put_upstream(first)
        self.assertEqual(self.platform_state.pop_restarted(), set())
        self.platform_state.put_upstream(replace(first, started_at_ms=2))
        self.assertEqual(self.platform_state.pop_restarted(), {"u1"})
        self.assertEqual(self.platform_state.pop_restarted(), set())

    def test_draining_upstream_gets_no_requests(self):
        leaving = replace(self.upstreams[0], state=UpstreamState.DRAINING)
        self.platform_state.put_upstream(leaving)
        self.assertEqual(self.list_names(), {"u2"})

    def test_entries_that_expired_in_an_outage_may_return(self):
        self.platform_state.start_recovery_grace(10.0)
        self.platform_state.replace_upstreams([], 10.0)
        self.assertEqual(self.list_names(), {"u1", "u2"})
        self.platform_state.put_upstream(self.upstreams[0])
        self.assertEqual(self.list_names(10.0 + RECOVERY_GRACE_S), {"u1"})
        self.assertEqual(
            self.platform_state.remove_overdue(10.0 + RECOVERY_GRACE_S), ["u2"]
        )
        self.assertEqual(self.list_names(), {"u1"})

    def test_withdrawn_zone(self):
        self.platform_state.set_withdrawn_zones([ZoneId("a")], 5.0)
        self.assertEqual(self.list_names(), {"u2"})
        self.assertEqual(self.platform_state.set_withdrawn_zones([], 9.0), {"a"})
        by_name = {u.id: u for u in self.platform_state.list_upstreams(ENGINES, 9.0)}
        # The service's cold time is 3 s.
        self.assertEqual(by_name["u1"].cold_until, 12.0)
        self.assertEqual(by_name["u2"].cold_until, 0.0)


if __name__ == "__main__":
    unittest.main()
