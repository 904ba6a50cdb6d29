"""Membership service in simulated fleets and over UDP.

Guards against failures that are detected late or not at all, and against live members
that are declared dead.
"""

import unittest

from fescueflow.audit import AuditKind
from fescueflow.core import SeededRandomSource, SystemClock
from fescueflow.membership import MembershipService
from fescueflow.metrics import Metrics
from fescueflow.schema import MemberState
from fescueflow.transport import DatagramEndpoint, Keyring, SystemNetwork
from tests.builders import build_listed_instance
from tests.fakes import find_free_address, wait_until
from tests.membership.fleet import Fleet, make_settings
from tests.selection import long_run

LIVE, SUSPECT, DEAD = MemberState.LIVE, MemberState.SUSPECT, MemberState.DEAD


class FleetCase(unittest.TestCase):
    def make_fleet(self, count=9, **options):
        fleet = Fleet(count, **options)
        passed_s = fleet.run(10, fleet.is_converged)
        self.assertIsNotNone(passed_s, "instances did not find each other within 10 s")
        return fleet


class TestFailures(FleetCase):
    def test_killed_member_is_dead_after_the_limit_everywhere(self):
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                self.check_death(self.make_fleet(seed=seed))

    def check_death(self, fleet):
        fleet.kill("i4")
        early = fleet.run(3.4, lambda: self.is_dead_for_any(fleet, "i4"))
        self.assertIsNone(early, "dead before 4 s of silence")
        passed_s = fleet.run(3.6, lambda: fleet.is_seen_by_all("i4", DEAD))
        self.assertIsNotNone(passed_s, "not dead within 7 s")

    @staticmethod
    def is_dead_for_any(fleet, name):
        return any(fleet.get_state(v, name) is DEAD for v in fleet.instances)

    def test_replayed_datagrams_do_not_keep_a_member_alive(self):
        """Anyone who recorded datagrams could keep a killed member alive."""
        fleet = self.make_fleet()
        fleet.run(2)
        killed = fleet.instances["i4"]
        recorded = [sent for sent in fleet.hub.sent if sent[0] == killed.address]
        fleet.kill("i4")
        for _ in range(7):
            for _, address, content in recorded:
                fleet.hub.post(killed.endpoint, address, content)
            fleet.run(1)
        self.assertTrue(fleet.is_seen_by_all("i4", DEAD))

    def test_queued_answers_count_at_the_send_time_of_their_pings(self):
        """Datagrams from before a pause must not clear the fence after it."""
        fleet = self.make_fleet()
        service = fleet.instances["i0"].service
        paused_at = fleet.clock.monotonic()
        fleet.pause("i0")
        fleet.run(3)
        resumed_at = fleet.clock.monotonic()
        fleet.resume("i0")
        fleet.hub.deliver()
        answered_ping_sent_at = service.get_answered_ping_sent_at()
        self.assertFalse(
            paused_at < answered_ping_sent_at < resumed_at, answered_ping_sent_at
        )
        fleet.run(2)
        self.assertGreater(service.get_answered_ping_sent_at(), resumed_at)

    def test_no_false_death_with_loss(self):
        """Datagram loss must not make live members dead, which would move homes."""
        for seed in (1, 2):
            fleet = self.make_fleet(seed=seed, loss=0.3)
            fleet.run(40)
            for each in fleet.instances.values():
                states = [r.fields["state"] for r in each.audit.read_after(0)]
                self.assertNotIn("dead", states, f"seed {seed}, {each.name}")

    def test_partition_and_heal(self):
        """Members that declared each other dead must find each other again."""
        fleet = self.make_fleet(loss=0.1)
        left, right = ["i0", "i3", "i6"], ["i1", "i2", "i4", "i5", "i7", "i8"]
        fleet.cut(left, right)
        fleet.run(12)
        for name in right:
            self.assertTrue(fleet.is_seen_by_all(name, DEAD, left))
        self.assertEqual(len(fleet.instances["i1"].service.get_live()), 6)
        fleet.hub.heal()
        self.assertIsNotNone(fleet.run(15, fleet.is_converged))

    def test_broken_link_between_two_members_causes_no_death(self):
        """Indirect probes must reach a member whose direct link is broken."""
        fleet = self.make_fleet()
        fleet.cut(["i0"], ["i3"])
        fleet.run(30)
        for each in fleet.instances.values():
            states = [r.fields["state"] for r in each.audit.read_after(0)]
            self.assertNotIn("dead", states, each.name)

    def test_own_pause_does_not_make_others_dead(self):
        """Silence while this process was paused says nothing about the others."""
        fleet = self.make_fleet()
        fleet.pause("i0")
        fleet.run(20)
        self.assertTrue(fleet.is_seen_by_all("i0", DEAD))
        fleet.resume("i0")
        fleet.run(10)
        self.assertTrue(fleet.is_converged())
        states = [r.fields for r in fleet.instances["i0"].audit.read_after(0)]
        self.assertNotIn("dead", [s["state"] for s in states])

    def test_unreadable_list_keeps_the_view(self):
        fleet = self.make_fleet()
        fleet.client.fail()
        fleet.run(10)
        self.assertTrue(fleet.is_converged())
        readable = [
            m.list_readable for m in fleet.instances["i0"].service.get_members()
        ]
        self.assertEqual(set(readable), {False})


class TestIncarnations(FleetCase):
    def test_restarted_instance_replaces_the_old_incarnation(self):
        fleet = self.make_fleet()
        killed = fleet.kill("i4")
        fleet.run(1)
        fleet.add(killed.settings, incarnation=2)
        viewers = [e.service for e in fleet.instances.values() if e.name != "i4"]
        replaced = fleet.run(
            6, lambda: all(v.get_member("i4").incarnation == 2 for v in viewers)
        )
        self.assertIsNotNone(replaced)
        for viewer in viewers:
            self.assertTrue(viewer.has_ended("i4", 1))
            self.assertFalse(viewer.has_ended("i4", 2))
            self.assertIsNone(viewer.find_owner("i4", 1))
            self.assertEqual(viewer.find_owner("i4", 2).instance, "i4")
        fleet.run(10)
        self.assertTrue(fleet.is_converged())

    def test_unknown_incarnation_is_not_gone(self):
        """Slots of an instance that has just started must not be reclaimed."""
        service = self.make_fleet(3).instances["i0"].service
        self.assertFalse(service.has_ended("i1", 99))
        self.assertFalse(service.has_ended("unknown", 1))

    def test_adopted_incarnation_is_found_after_a_leave(self):
        """Requests must find the records before and after the end of their owner."""
        fleet = self.make_fleet()
        leaver, successor = fleet.instances["i4"], fleet.instances["i5"]
        leaver.service.set_state(MemberState.LEAVING)
        self.assertIsNotNone(
            fleet.run(3, lambda: fleet.is_seen_by_all("i4", MemberState.LEAVING))
        )
        successor.service.announce_adopted("i4", 1)
        # It has handed over its records while others still see it leaving.
        others = [e.service for e in fleet.instances.values() if e is not leaver]
        self.assertIsNotNone(
            fleet.run(
                3,
                lambda: all(s.find_owner("i4", 1).instance == "i5" for s in others),
            )
        )
        leaver.service.set_state(DEAD)
        fleet.kill("i4")
        others = [e.service for e in fleet.instances.values()]
        found = fleet.run(
            3,
            lambda: all(
                s.has_ended("i4", 1) and s.find_owner("i4", 1) is not None
                for s in others
            ),
        )
        self.assertIsNotNone(found)
        self.assertEqual({s.find_owner("i4", 1).instance for s in others}, {"i5"})

    def test_leaving_adopter_is_not_the_owner(self):
        """A leaving adopter has handed the records on and must not be asked."""
        fleet = self.make_fleet(4)
        first, second = fleet.instances["i1"].service, fleet.instances["i2"].service
        first.announce_adopted("i4", 1)
        first.set_state(MemberState.LEAVING)
        second.announce_adopted("i4", 1)
        viewers = [fleet.instances[name].service for name in ("i0", "i3")]

        def find():
            owners = [v.find_owner("i4", 1) for v in viewers]
            return {owner.instance for owner in owners if owner} == {"i2"}

        self.assertIsNotNone(fleet.run(3, find))
        fleet.run(2)
        self.assertTrue(find())

    def test_adopted_incarnations_are_bounded_and_datagrams_fit(self):
        fleet = self.make_fleet(9)
        for number in range(40):
            fleet.instances["i0"].service.announce_adopted("x" * 64, number)
            fleet.instances["i1"].service.announce_adopted("i7", number)
        fleet.run(3)
        self.assertLessEqual(
            len(fleet.instances["i0"].service.get_own_member().adopted), 16
        )
        adopted = fleet.instances["i2"].service.get_member("i1").adopted
        self.assertEqual(adopted, tuple(("i7", number) for number in range(24, 40)))

    def test_adopted_incarnations_end_with_the_lifetime_of_request_ids(self):
        """Adopted incarnations stayed in every heartbeat until the process ended."""
        fleet = self.make_fleet(3)
        adopter, viewer = (fleet.instances[name].service for name in ("i0", "i1"))
        adopter.announce_adopted("i7", 1)
        fleet.run(300)
        adopter.announce_adopted("i8", 1)
        fleet.run(298)
        self.assertEqual(viewer.find_owner("i7", 1).instance, "i0")
        fleet.run(4)
        self.assertIsNone(viewer.find_owner("i7", 1))
        self.assertEqual(viewer.find_owner("i8", 1).instance, "i0")
        fleet.run(300)
        self.assertEqual(viewer.get_member("i0").adopted, ())

    def test_revision_spreads_and_subscribers_are_called(self):
        fleet = self.make_fleet()
        calls = []
        viewer = fleet.instances["i8"].service
        viewer.subscribe(lambda: calls.append(viewer.get_member("i0").revision))
        viewer.subscribe(lambda: 1 / 0)
        fleet.instances["i0"].service.set_revision(12)
        self.assertIsNotNone(fleet.run(5, lambda: 12 in calls))


class TestCost(FleetCase):
    @long_run
    def test_traffic_does_not_grow_with_the_fleet(self):
        rates = {}
        for count, zones in ((9, 3), (60, 6)):
            fleet = Fleet(count, zones)
            fleet.run(40)
            self.assertTrue(fleet.is_converged())
            fleet.hub.sizes.clear()
            fleet.run(20)
            rates[count] = (
                sum(size for _, size in fleet.hub.sizes.values()) / count / 20
            )
        self.assertLess(rates[60], 1.5 * rates[9])
        self.assertLess(max(rates.values()), 6000, "bytes/s sent per instance")

    def test_state_changes_are_audited_once(self):
        fleet = self.make_fleet()
        fleet.kill("i4")
        fleet.run(20)
        records = fleet.instances["i0"].audit.read_after(0)
        states = [
            r.fields["state"]
            for r in records
            if r.kind is AuditKind.INSTANCE_CHANGED and r.fields["instance"] == "i4"
        ]
        self.assertEqual(states[-2:], ["suspect", "dead"])
        self.assertEqual(states.count("dead"), 1)


class TestOverUdp(unittest.TestCase):
    def test_three_instances_over_real_sockets(self):
        fleet = Fleet(1)
        services = []
        for number in range(3):
            settings = make_settings(
                f"i{number}",
                f"z{number}",
                number,
                peer_address=find_free_address(),
                heartbeat_interval_ms=50,
            )
            services.append(self.start(settings, fleet))
            fleet.client.instances.append(build_listed_instance(settings))
        fleet.instances["i0"].lists.refresh()
        for service in services:
            service.set_state(LIVE)
        self.assertTrue(
            wait_until(lambda: all(len(s.get_live()) == 3 for s in services), 30)
        )

    def start(self, settings, fleet):
        metrics = Metrics()
        endpoint = DatagramEndpoint(
            network=SystemNetwork(),
            address=settings.peer_address,
            keyring=Keyring(settings.fleet_keys),
            instance=settings.instance_id,
            incarnation=1,
            metrics=metrics,
        )
        fleet.client.instances = fleet.client.instances[-3:]
        service = MembershipService(
            settings=settings,
            endpoint=endpoint,
            list_service=fleet.instances["i0"].lists,
            clock=SystemClock(),
            random_source=SeededRandomSource(1),
            metrics=metrics,
            audit=fleet.instances["i0"].audit,
            incarnation=1,
        )
        endpoint.start()
        service.start()
        self.addCleanup(endpoint.stop)
        self.addCleanup(service.stop)
        return service


if __name__ == "__main__":
    unittest.main()
