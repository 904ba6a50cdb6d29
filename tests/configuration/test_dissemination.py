"""Dissemination under datagram loss, broken links and service failures."""

import hashlib
import unittest
from itertools import product

from fescueflow.audit import AuditKind
from fescueflow.configuration import RelayDissemination
from fescueflow.schema import ConfigurationNotice
from tests.builders import build_configuration
from tests.configuration.fakes import Fleet
from tests.fakes import wait_until
from tests.selection import long_run

INVALID = {"engines": {"cold_limit": 0}}


class TestDissemination(unittest.TestCase):
    def start(self, **parameters):
        fleet = Fleet(**parameters)
        self.addCleanup(fleet.stop)
        fleet.platform.publish(build_configuration(1))
        fleet.start()
        self.assertTrue(wait_until(lambda: fleet.all_have_revision(1)))
        return fleet

    def assert_no_failures(self, fleet):
        self.assertEqual(fleet.count("configuration_task_failures"), 0)
        self.assertEqual(fleet.count("configuration_subscriber_failures"), 0)

    def test_both_strategies_reach_all_instances_without_heartbeats(self):
        for strategy in (None, RelayDissemination()):
            with self.subTest(strategy=strategy):
                fleet = Fleet(strategy=strategy)
                self.addCleanup(fleet.stop)
                fleet.heartbeats = False
                fleet.platform.publish(build_configuration(1))
                fleet.start()
                self.assertTrue(wait_until(lambda f=fleet: f.all_have_revision(1)))
                changed = build_configuration(2, zones={"withdrawn": ["a"]})
                fleet.platform.publish(changed)
                self.assertTrue(wait_until(lambda f=fleet: f.all_have_revision(2)))
                self.assert_no_failures(fleet)

    def test_only_changed_sections_are_read_and_only_by_readers(self):
        fleet = self.start(size=6)
        before = len(fleet.platform.calls)
        fleet.platform.publish(build_configuration(2, zones={"withdrawn": ["a"]}))
        self.assertTrue(wait_until(lambda: fleet.all_have_revision(2)))
        calls = fleet.platform.calls[before:]
        sections = {key for _, key in calls if key.startswith("sections/")}
        self.assertEqual(len(sections), 1)
        readers = {name for name, _ in fleet.platform.calls}
        # 2 of 6 instances per zone, or 4 if the readers change at a full minute.
        self.assertLessEqual(len(readers), 12)
        fleet.stop()
        counted = sum(
            fleet.count("platform_calls", kind=kind)
            for kind in ("manifest", "watch", "section")
        )
        self.assertEqual(counted, len(fleet.platform.calls))

    def test_lost_notices_are_repaired(self):
        fleet = self.start()
        fleet.network.loss = 0.3
        for revision in range(2, 8):
            zones = {"withdrawn": [f"z{revision}"]}
            fleet.platform.publish(build_configuration(revision, zones=zones))
            self.assertTrue(wait_until(lambda r=revision: fleet.all_have_revision(r)))
        self.assert_no_failures(fleet)

    def test_heartbeats_alone_repair_all_lost_notices(self):
        fleet = self.start()
        fleet.network.loss = 1.0
        fleet.platform.publish(build_configuration(2, zones={"withdrawn": ["a"]}))
        self.assertTrue(wait_until(lambda: fleet.all_have_revision(2)))
        self.assert_no_failures(fleet)

    def test_zone_without_platform_link_learns_from_other_zones(self):
        fleet = self.start()
        for name, instance in fleet.instances.items():
            instance.client.disconnected = name.startswith("a")
        fleet.heartbeats = False
        fleet.platform.publish(build_configuration(2, zones={"withdrawn": ["a"]}))
        self.assertTrue(wait_until(lambda: fleet.all_have_revision(2)))

    def test_isolated_instances_read_the_service_themselves(self):
        fleet = self.start(configuration_stale_after_ms=300)
        fleet.network.cut_pairs = set(product(fleet.instances, repeat=2))
        fleet.heartbeats = False
        fleet.platform.publish(build_configuration(2, zones={"withdrawn": ["a"]}))
        self.assertTrue(wait_until(lambda: fleet.all_have_revision(2)))
        self.assertGreater(fleet.count("configuration_own_readings"), 0)

    def test_failing_service_changes_nothing(self):
        fleet = self.start()
        fleet.platform.unavailable = True
        self.assertTrue(
            wait_until(lambda: fleet.count("platform_failures", kind="watch") > 0)
        )
        self.assertTrue(fleet.all_have_revision(1))
        fleet.platform.unavailable = False
        fleet.platform.publish(build_configuration(2, zones={"withdrawn": ["a"]}))
        self.assertTrue(wait_until(lambda: fleet.all_have_revision(2)))

    @long_run
    def test_older_revision_of_the_service_reverts_nothing(self):
        fleet = Fleet(zones="a", size=1)
        self.addCleanup(fleet.stop)
        fleet.platform.publish(build_configuration(1))
        newer = build_configuration(9, zones={"withdrawn": ["a"]})
        fleet.instances["a0"].store.offer(*newer)
        self.assertTrue(fleet.instances["a0"].service.recover(10.0))
        fleet.start()
        self.assertTrue(
            wait_until(lambda: fleet.count("configuration_service_older") > 0)
        )
        self.assertTrue(fleet.all_have_revision(9))
        fleet.platform.publish(build_configuration(10))
        self.assertTrue(wait_until(lambda: fleet.all_have_revision(10)))
        self.assert_no_failures(fleet)

    @long_run
    def test_refused_revision_is_not_fetched_again(self):
        fleet = self.start()
        before = len(fleet.platform.calls)
        fleet.platform.publish(build_configuration(2, groups=INVALID))

        def count_refused():
            return fleet.count("configuration_offers", result="refused")

        self.assertTrue(wait_until(lambda: count_refused() >= 2))
        watches = fleet.count("platform_calls", kind="watch")
        self.assertTrue(
            wait_until(
                lambda: fleet.count("platform_calls", kind="watch") > watches + 12
            )
        )
        fetched = [call for call in fleet.platform.calls[before:] if "/" in call[1]]
        self.assertEqual(len(fetched), len(set(fetched)))
        self.assertTrue(fleet.all_have_revision(1))
        fleet.platform.publish(build_configuration(3))
        self.assertTrue(wait_until(lambda: fleet.all_have_revision(3)))
        for instance in fleet.instances.values():
            kinds = [record.kind for record in instance.audit.read_after(0)]
            self.assertLessEqual(kinds.count(AuditKind.CONFIGURATION_REFUSED), 1)

    def test_sections_that_appear_late_are_fetched_later(self):
        fleet = self.start()
        built = build_configuration(2, zones={"withdrawn": ["a"]})
        digest = hashlib.sha256(built[2]["zones"]).hexdigest()
        fleet.platform.hidden_keys = {f"sections/{digest}"}
        fleet.platform.publish(built)
        self.assertTrue(
            wait_until(lambda: fleet.count("platform_failures", kind="section") > 0)
        )
        self.assertTrue(fleet.all_have_revision(1))
        fleet.platform.hidden_keys = set()
        self.assertTrue(wait_until(lambda: fleet.all_have_revision(2)))

    def test_conflicting_notice_is_audited_and_not_followed(self):
        fleet = self.start(zones="a", size=2)
        instance = fleet.instances["a0"]
        digest = instance.store.get().digest
        notice = ConfigurationNotice(revision=1, digest=b"other", relayed=False)
        for _ in range(3):
            fleet.instances["a1"].endpoint.send("a0", notice)
        self.assertEqual(instance.store.get().digest, digest)
        kinds = [record.kind for record in instance.audit.read_after(0)]
        self.assertEqual(kinds.count(AuditKind.CONFIGURATION_REFUSED), 1)


class TestRecovery(unittest.TestCase):
    def test_service_alone_is_enough(self):
        fleet = Fleet(zones="a", size=1)
        fleet.platform.publish(build_configuration(3))
        self.assertTrue(fleet.instances["a0"].service.recover(10.0))
        self.assertTrue(fleet.all_have_revision(3))

    def test_one_peer_is_enough_when_the_service_is_down(self):
        fleet = Fleet(zones="ab", size=1)
        fleet.platform.unavailable = True
        fleet.instances["b0"].store.offer(*build_configuration(4))
        self.assertTrue(fleet.instances["a0"].service.recover(10.0))
        self.assertTrue(fleet.all_have_revision(4))

    def test_highest_of_service_and_peers_is_taken(self):
        fleet = Fleet(zones="ab", size=2)
        fleet.platform.publish(build_configuration(3))
        fleet.instances["b0"].store.offer(*build_configuration(5))
        fleet.instances["b1"].store.offer(*build_configuration(4))
        self.assertTrue(fleet.instances["a0"].service.recover(10.0))
        self.assertEqual(fleet.instances["a0"].store.get_revision(), 5)

    def test_refused_highest_revision_falls_back_to_a_valid_one(self):
        fleet = Fleet(zones="ab", size=1)
        fleet.platform.publish(build_configuration(6, groups=INVALID))
        fleet.instances["b0"].store.offer(*build_configuration(4))
        self.assertTrue(fleet.instances["a0"].service.recover(10.0))
        self.assertTrue(fleet.all_have_revision(4))

    def test_recovery_without_a_source_fails_within_the_timeout(self):
        fleet = Fleet(zones="ab", size=1)
        fleet.platform.unavailable = True
        self.assertFalse(fleet.instances["a0"].service.recover(0.2))

    def test_large_sections_arrive_in_several_responses(self):
        fleet = Fleet(zones="ab", size=1)
        fleet.platform.unavailable = True
        padding = {
            f"customers_{number}": b"{" + b" " * 700_000 + b"}" for number in range(4)
        }
        padding["customers_1"] += b"\n"
        padding["customers_2"] += b"\n\n"
        padding["customers_3"] += b"\n\n\n"
        fleet.instances["b0"].store.offer(*build_configuration(4, **padding))
        self.assertTrue(fleet.instances["a0"].service.recover(10.0))
        self.assertTrue(fleet.all_have_revision(4))
        self.assertGreaterEqual(len(fleet.network.frames), 5)


if __name__ == "__main__":
    unittest.main()
