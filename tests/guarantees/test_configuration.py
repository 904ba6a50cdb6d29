"""Tests that accepted configurations spread within seconds and never revert."""

import threading
from http.client import HTTPException

from tests.guarantees.load_case import TIMEOUT_S, LoadCase
from tests.standins.configuration_service import MANIFEST, PlatformMode
from tests.standins.deployment import ENGINES, FIRST_USER, make_configuration

IN_FORCE_WITHIN_S = 5.0
IN_FORCE_WITHIN_FAULTS_S = 16.0


class Sampler:
    """Samples the revision of every ready instance and records each regression.

    Notes
    -----
    A revision must not be below an earlier one of the same instance, also across
    restarts, nor below ``floor``, the highest revision that was in force on all
    running instances.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.floor = 0
        self.regressions, self.samples = [], 0
        self._last = {}
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(name,), daemon=True)
            for name in fleet.instances
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, name):
        while not self._stopping.wait(0.05):
            floor = self.floor
            try:
                status = self.fleet.read_status(name)
            except (OSError, HTTPException, ValueError):
                continue
            if not status.get("ready"):
                continue
            # A restarted instance must not fall below its previous incarnation.
            minimum = max(floor, self._last.get(name, 0))
            if status["revision"] < minimum:
                self.regressions.append((name, status["revision"], minimum))
            self._last[name] = status["revision"]
            self.samples += 1

    def finish(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S)


class ConfigurationTest(LoadCase):
    """Samples the revision of every instance throughout each test."""

    def start_sampler(self, fleet):
        self.sampler = Sampler(fleet)
        self.addCleanup(self.sampler.finish)

    def publish(self, bound_s, names=None, **changes):
        """Publish and assert that it is in force on all ``names`` within the bound."""
        revision = self.deployment.publish(**changes)
        self.wait_revision(revision, bound_s, names)
        self.sampler.floor = max(self.sampler.floor, revision)
        return revision

    def assert_no_regression(self):
        self.sampler.finish()
        self.assertEqual(self.sampler.regressions, [])
        self.assertGreater(self.sampler.samples, 9)

    def read_warm_limits(self):
        return {
            self.fleet.read_configuration(name)["groups"][ENGINES]["warm_limit"]
            for name in self.fleet.instances
        }

    def test_spreads_without_faults_and_with_a_cut_link_and_loss(self):
        """Guards against instances that keep an old configuration."""
        with self.run_fleet(FIRST_USER) as fleet:
            self.start_sampler(fleet)
            for limit in (17, 18, 19):
                self.publish(IN_FORCE_WITHIN_S, warm_limit=limit)
                self.assertEqual(self.read_warm_limits(), {limit})
            fleet.set_loss(0.3)
            fleet.cut_platform(["instance-4"])
            for limit in (20, 21):
                self.publish(IN_FORCE_WITHIN_FAULTS_S, warm_limit=limit)
                self.assertEqual(self.read_warm_limits(), {limit})
            fleet.heal()
            self.assert_no_regression()

    def test_stale_service_outage_and_restarts(self):
        """Guards against a fleet that reverts with a stale service or a restart."""
        with self.run_fleet(FIRST_USER) as fleet:
            self.start_sampler(fleet)
            service = self.deployment.configuration
            old = self.publish(IN_FORCE_WITHIN_S, warm_limit=17)
            new = self.publish(IN_FORCE_WITHIN_S, warm_limit=18)
            service.set_mode(PlatformMode.STALE, old)
            for name in ("instance-0", "instance-4"):
                self.replace_instance(name, new)
            service.set_mode(PlatformMode.OUTAGE)
            self.replace_instance("instance-8", new)
            self.assertEqual(self.read_warm_limits(), {18})
            service.set_mode(PlatformMode.NORMAL)
            self.publish(IN_FORCE_WITHIN_FAULTS_S, warm_limit=19)
            self.assert_no_regression()

    def replace_instance(self, name, revision):
        """Kill and restart an instance; assert that it has ``revision`` or later."""
        self.fleet.kill(name)
        self.fleet.restart(name)
        self.assertGreaterEqual(self.read_revision(name), revision)

    def test_two_operators_and_invalid_revisions(self):
        """Guards against a fleet that is split between two publications."""
        with self.run_fleet(FIRST_USER) as fleet:
            self.start_sampler(fleet)
            for round_number in range(3):
                self.publish_concurrently(20 + 2 * round_number)
                self.publish_invalid(round_number)
            self.assert_no_regression()

    def publish_concurrently(self, limit):
        """Publish from two threads; assert that the higher revision wins."""
        revisions = {}
        barrier = threading.Barrier(2)

        def publish(number):
            barrier.wait()
            revision = self.deployment.publish(warm_limit=limit + number)
            revisions[revision] = limit + number

        threads = [threading.Thread(target=publish, args=(n,)) for n in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        highest = max(revisions)
        self.wait_revision(highest, IN_FORCE_WITHIN_S)
        self.sampler.floor = highest
        self.assertEqual(self.read_warm_limits(), {revisions[highest]})

    def publish_invalid(self, number):
        """Publish an invalid revision.

        Asserts that the readers of all zones refuse it and that it changes nothing.
        """
        before = {name: self.fleet.read_configuration(name) for name in self.names()}
        service = self.deployment.configuration
        sections = make_configuration(FIRST_USER, warm_limit=99)
        if number == 0:
            sections["groups"]["engines"]["cold_limit"] = -1
            refused = service.publish(sections)
        elif number == 1:
            refused = service.publish({**sections, "templates": b"{not json"})
        else:
            refused = service.write(MANIFEST, b"[]")
        # Only the readers of each zone fetch it, and they don't pass on a refused one.
        zones = set(self.deployment.preset.zones)
        self.fleet.wait_until(
            lambda: self.find_refusing_zones(refused) == zones,
            TIMEOUT_S,
            f"revision {refused} refused by the readers of {zones}",
        )
        after = {name: self.fleet.read_configuration(name) for name in self.names()}
        self.assertEqual(after, before)

    def names(self):
        return list(self.fleet.instances)

    def find_refusing_zones(self, revision):
        return {
            instance.zone
            for instance in self.fleet.get_running()
            if self.has_refused(instance.id, revision)
        }

    def has_refused(self, name, revision):
        lines = self.fleet.read_audit(name).splitlines()
        found = [x for x in lines if "configuration_refused" in x]
        return any(f'"revision":{revision}' in x.replace(" ", "") for x in found)
