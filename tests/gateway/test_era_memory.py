"""Tests of the platform state when the store comes back from an old copy."""

import unittest
from dataclasses import replace

from fescueflow.core import ZoneId
from fescueflow.gateway.changes import OperatorChangeHandler
from fescueflow.gateway.entries import EntryWriter
from fescueflow.gateway.platform_state import RECOVERY_GRACE_S, PlatformState
from fescueflow.platform import WITHDRAWN_PREFIX, StoreItem
from fescueflow.routing import UpstreamState
from tests.fakes import FakeClock
from tests.routing.builders import ENGINES, make_route, make_table, make_upstream

EVACUATION_S = 5.0
ERA_AT = 100.0
A = ZoneId("a")


class EraMemoryTest(unittest.TestCase):
    """Guards against a copy that undoes what was accepted."""

    def setUp(self):
        self.state = PlatformState(EVACUATION_S)
        self.state.accept_table(make_table(make_route(), version=7))
        self.first = replace(make_upstream("u1", "a"), started_at_ms=1, sequence=5)
        self.second = make_upstream("u2", "b")
        self.state.replace_upstreams([self.first, self.second], 0.0)

    def list_names(self, after_s=0.0):
        upstreams = self.state.list_upstreams(ENGINES, ERA_AT + after_s)
        return {u.id for u in upstreams}

    def start_era(self, *copied, after_s=0.0):
        """Start an era, with the upstreams of the copy."""
        self.state.start_era(ERA_AT + after_s)
        self.state.replace_upstreams(copied, ERA_AT + after_s)

    def test_configuration_of_a_lower_version(self):
        self.start_era()
        self.assertFalse(self.state.accept_table(make_table(version=6)))
        self.assertEqual(self.state.get_table().version, 7)

    def test_draining_upstream_stays_draining_until_it_restarts(self):
        self.state.put_upstream(replace(self.first, state=UpstreamState.DRAINING))
        self.start_era(self.first, self.second)
        self.assertEqual(self.list_names(), {"u2"})
        self.state.put_upstream(replace(self.first, sequence=9))
        self.assertEqual(self.list_names(), {"u2"})
        self.state.put_upstream(replace(self.first, started_at_ms=2))
        self.assertEqual(self.list_names(), {"u1", "u2"})

    def test_upstream_missing_in_the_copy(self):
        self.start_era(self.second)
        self.assertEqual(self.list_names(), {"u1", "u2"})
        self.assertEqual(self.list_names(RECOVERY_GRACE_S), {"u2"})

    def test_upstream_that_is_gone_returns_with_a_higher_sequence_only(self):
        self.state.remove_upstream("u1", 1.0)
        self.start_era(self.first, self.second)
        self.assertEqual(self.list_names(), {"u2"})
        self.state.put_upstream(replace(self.first, sequence=6))
        self.assertEqual(self.list_names(), {"u1", "u2"})

    def test_two_eras_while_a_removal_is_pending(self):
        """Guards against a copy that brings back an upstream for good."""
        self.start_era(self.first, self.second)
        self.assertFalse(self.state.remove_upstream("u1", ERA_AT + 0.5))
        self.start_era(self.first, self.second, after_s=1.0)
        self.assertEqual(self.list_names(RECOVERY_GRACE_S), {"u2"})
        self.start_era(self.first, self.second, after_s=1.5)
        self.assertEqual(self.list_names(RECOVERY_GRACE_S), {"u2"})
        self.state.put_upstream(replace(self.first, sequence=6))
        self.assertEqual(self.list_names(RECOVERY_GRACE_S), {"u1", "u2"})

    def test_two_copies_of_which_the_first_lacks_an_upstream(self):
        """Guards against the removal of an upstream that runs."""
        self.start_era(self.second)
        self.start_era(self.first, self.second, after_s=1.0)
        self.assertEqual(self.list_names(RECOVERY_GRACE_S), {"u1", "u2"})

    def test_start_that_was_replaced_is_gone(self):
        """Guards against requests for the former start of an upstream."""
        self.state.put_upstream(replace(self.first, started_at_ms=2, sequence=1))
        self.start_era(self.first, self.second)
        (known,) = [u for u in self.state.list_all() if u.id == "u1"]
        self.assertEqual(known.started_at_ms, 2)

    def test_removed_upstream_returns_within_an_era(self):
        """Guards against another rule for stores without eras."""
        self.state.remove_upstream("u1", 1.0)
        self.state.put_upstream(self.first)
        self.assertEqual(self.list_names(), {"u1", "u2"})
        self.start_era(self.first, self.second)
        self.assertEqual(self.list_names(RECOVERY_GRACE_S), {"u1", "u2"})

    def test_withdrawn_zone_missing_in_the_copy(self):
        self.state.set_withdrawn_zones([A], 1.0)
        self.start_era(self.first, self.second)
        self.state.set_withdrawn_zones([], ERA_AT)
        self.assertEqual(self.list_names(EVACUATION_S - 0.1), {"u2"})
        self.assertEqual(self.list_names(EVACUATION_S), {"u1", "u2"})
        by_name = {u.id: u for u in self.state.list_all()}
        # The service's cold time is 3 s.
        self.assertEqual(by_name["u1"].cold_until, ERA_AT + EVACUATION_S + 3.0)

    def test_second_era_extends_the_time(self):
        self.state.set_withdrawn_zones([A], 1.0)
        self.start_era(self.first, self.second)
        self.state.set_withdrawn_zones([], ERA_AT)
        self.start_era(self.first, self.second, after_s=3.0)
        self.assertEqual(self.list_names(3.0 + EVACUATION_S - 0.1), {"u2"})
        self.assertEqual(self.list_names(3.0 + EVACUATION_S), {"u1", "u2"})

    def test_withdrawal_in_the_copy_counts_as_long_as_it_is_there(self):
        self.start_era(self.first, self.second)
        self.state.set_withdrawn_zones([A], ERA_AT)
        self.assertEqual(self.list_names(10 * EVACUATION_S), {"u2"})


class WrittenAgainTest(unittest.TestCase):
    """Guards against a zone that stays withdrawn after the operator takes it back."""

    def test_zone_is_written_again(self):
        for is_put in (True, False):
            with self.subTest(is_put=is_put):
                state = PlatformState(EVACUATION_S)
                handler = OperatorChangeHandler(state, FakeClock())
                put = StoreItem(f"{WITHDRAWN_PREFIX}a", b"{}", 4)
                deleted = StoreItem(put.key, None, 5)
                writer = EntryWriter([handler])
                writer.replace_all([put])
                state.start_era(0.0)
                writer.start_era()
                writer.replace_all([])
                self.assertEqual(state.get_withdrawn_zones(), {A})
                # The revisions of the new era may be lower.
                items = [replace(put, revision=2)] if is_put else []
                writer.apply(items)
                self.assertEqual(state.get_withdrawn_zones(), {A})
                writer.apply([replace(deleted, revision=3)])
                self.assertEqual(state.get_withdrawn_zones(), set())


if __name__ == "__main__":
    unittest.main()
