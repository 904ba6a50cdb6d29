"""Reads and watches of the service: call rates and delays on a manual clock."""

import unittest
from dataclasses import replace

from fescueflow.configuration import (
    BroadcastDissemination,
    RelayDissemination,
    choose_readers,
)
from fescueflow.configuration.dissemination import Origin
from fescueflow.core import SeededRandomSource
from fescueflow.schema import ConfigurationNotice, MemberState
from tests.builders import build_configuration
from tests.configuration.fakes import Fleet
from tests.fakes import ManualClock

STRATEGIES = (BroadcastDissemination(), RelayDissemination())


def run_watcher(fleet, name, seconds):
    """Step the service watcher of one instance; return the times of its calls."""
    watcher = fleet.instances[name].service._service_watcher
    clock, calls = fleet.clock, fleet.platform.calls
    end, times = clock.now + seconds, []
    while clock.now < end:
        before = len(calls)
        delay_s = watcher.step()
        times += [clock.now] * (len(calls) - before)
        clock.now += max(delay_s, 0.01)
    return times


class TestServiceWatcher(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(size=4, clock=ManualClock(1_700_000_000.0))
        self.fleet.platform.publish(build_configuration(1))
        for instance in self.fleet.instances.values():
            instance.store.offer(*build_configuration(1))
        live = list(self.fleet.members.values())
        chosen = choose_readers("a", live, self.fleet.clock.wall_time(), 2)
        names = {member.instance for member in chosen}
        self.reader = chosen[0].instance
        self.other = min({"a0", "a1", "a2", "a3"} - names)

    def confirm(self, relayed=False, revision=1):
        digest = self.fleet.instances["b0"].store.get().digest
        notice = ConfigurationNotice(revision, digest, relayed)
        self.fleet.instances["b0"].endpoint.send(self.other, notice)

    def test_confirmed_instance_makes_no_calls(self):
        for _ in range(4):
            self.assertEqual(run_watcher(self.fleet, self.other, 4.0), [])
            self.confirm()

    def test_readers_confirm_for_their_zone(self):
        """Guards against readers whose notices are marked as relayed.

        Such notices confirm nothing, and the number of calls would grow with the fleet.
        """
        services = self.fleet.instances
        reader, other = services[self.reader].service, services[self.other].service
        end = self.fleet.clock.now + 30.0
        while self.fleet.clock.now < end:
            reader._service_watcher.step()
            reader._notice_sender.step()
            other._service_watcher.step()
        self.assertEqual({name for name, _ in self.fleet.platform.calls}, {self.reader})

    def test_instance_without_confirmation_reads_after_stale_period(self):
        start = self.fleet.clock.now
        times = run_watcher(self.fleet, self.other, 7.0)
        self.assertEqual(len(times), 1)
        self.assertGreaterEqual(times[0] - start, 5.0)

    def test_relayed_or_older_notices_confirm_nothing(self):
        # A relayed notice does not show that its sender has just read the service.
        self.assertEqual(run_watcher(self.fleet, self.other, 4.0), [])
        self.confirm(relayed=True)
        self.confirm(revision=0)
        self.assertEqual(len(run_watcher(self.fleet, self.other, 3.0)), 1)

    def test_notices_of_a_dead_member_confirm_nothing(self):
        """Guards against replayed notices of a dead member or an old incarnation.

        They kept an isolated instance from reading the service.
        """
        for change in ({"state": MemberState.DEAD}, {"incarnation": 99}):
            self.setUp()
            sender = self.fleet.members["b0"]
            self.fleet.members["b0"] = replace(sender, **change)
            self.assertEqual(run_watcher(self.fleet, self.other, 4.0), [])
            self.confirm()
            self.assertEqual(len(run_watcher(self.fleet, self.other, 3.0)), 1)

    def test_failed_reads_back_off_up_to_30_s(self):
        self.fleet.platform.unavailable = True
        times = run_watcher(self.fleet, self.other, 300.0)
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 1.0)
        self.assertLessEqual(max(gaps), 30.5)
        self.assertGreaterEqual(min(gaps[5:]), 15.0)

    def test_reader_of_an_unavailable_service_calls_at_most_once_per_second(self):
        self.fleet.platform.unavailable = True
        times = run_watcher(self.fleet, self.reader, 30.0)
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 1.0)
        self.assertLessEqual(max(gaps), 5.5)

    def test_watch_that_returns_immediately_causes_no_busy_loop(self):
        for instance in self.fleet.instances.values():
            instance.client.watch = lambda key, after, timeout_s: None
        metrics = self.fleet.instances[self.reader].metrics
        run_watcher(self.fleet, self.reader, 30.0)
        self.assertLessEqual(metrics.get_count("platform_calls", kind="watch"), 22)

    def test_requested_reads_back_off_while_no_new_revision_arrives(self):
        # A member that announces a revision but can't serve it must not cause a call at
        # each of its heartbeats.
        watcher = self.fleet.instances[self.other].service._service_watcher
        times = []
        for _ in range(400):
            watcher.request_read()
            times += run_watcher(self.fleet, self.other, 0.5)
            self.confirm()
        self.assertLessEqual(len(times), 16)
        self.assertGreaterEqual(len(times), 6)


class TestReadersAndReceivers(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(size=5, clock=ManualClock(1_700_000_000.0))
        self.members = list(self.fleet.members.values())
        self.readers = {z: choose_readers(z, self.members, 0.0, 2) for z in "abc"}

    def choose(self, strategy, origin, own):
        member = self.fleet.members[own]
        random_source = SeededRandomSource(1)
        chosen = strategy.choose_receivers(
            origin, member, self.members, self.readers, random_source
        )
        names = [receiver.instance for receiver in chosen]
        self.assertNotIn(own, names)
        self.assertEqual(len(names), len(set(names)))
        return names

    def test_readers_are_two_per_zone_and_change(self):
        seen = set()
        for minute in range(60):
            chosen = choose_readers("a", self.members, minute * 60.0, 2)
            self.assertEqual({member.zone for member in chosen}, {"a"})
            self.assertEqual(len(chosen), 2)
            seen |= {member.instance for member in chosen}
        self.assertEqual(len(seen), 5)

    def test_leaving_members_do_not_read(self):
        for name in ("a0", "a1", "a2", "a3"):
            member = self.fleet.members[name]
            self.fleet.members[name] = replace(member, state=MemberState.LEAVING)
        self.fleet.platform.publish(build_configuration(1))
        self.assertEqual(run_watcher(self.fleet, "a0", 4.0), [])
        self.assertNotEqual(run_watcher(self.fleet, "a4", 1.0), [])

    def test_broadcast_reaches_own_zone_and_two_elsewhere(self):
        names = self.choose(BroadcastDissemination(), Origin.SERVICE, "a0")
        zones = sorted(name[0] for name in names)
        self.assertEqual(zones, list("aaaabbcc"))
        names = self.choose(BroadcastDissemination(), Origin.OTHER_ZONE, "a0")
        self.assertEqual(sorted(names), ["a1", "a2", "a3", "a4"])

    def test_nothing_is_relayed_twice_within_a_zone(self):
        own = next(m for m in self.members if m not in self.readers["a"])
        for strategy in STRATEGIES:
            names = self.choose(strategy, Origin.OWN_ZONE, own.instance)
            self.assertEqual(names, [])

    def test_relay_goes_through_the_readers(self):
        reader = self.readers["a"][0].instance
        non_reader = next(
            m.instance for m in self.members if m not in self.readers["a"]
        )
        own_zone_readers = sorted(m.instance for m in self.readers["a"])
        self.assertEqual(
            sorted(self.choose(RelayDissemination(), Origin.SERVICE, non_reader)),
            own_zone_readers,
        )
        names = self.choose(RelayDissemination(), Origin.SERVICE, reader)
        self.assertEqual(sorted(n[0] for n in names), list("aaaabbcc"))


if __name__ == "__main__":
    unittest.main()
