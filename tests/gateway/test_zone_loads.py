"""Tests of the loads that the readers of zones add up.

They guard against clumps of requests that many instances of a large fleet send to one
upstream: 25 requests within 0.6 s reached an engine that each instance believed to
have 15 running requests, and that had 33.
"""

import unittest

from fescueflow.core import InstanceId, UpstreamId, ZoneId
from fescueflow.gateway.loads import LoadTracker
from fescueflow.gateway.report_codec import PeerReport, decode_report, encode_report
from fescueflow.gateway.zone_loads import ZONE_AGE_MAX_S, ZoneLoads
from fescueflow.routing import ServiceId
from tests.gateway.builders import make_peer

ENGINE, OTHER = UpstreamId("engine-1"), UpstreamId("engine-2")
SERVICE = ServiceId("models")
ZONE, FAR = ZoneId("a"), ZoneId("b")


def make_sum(running, zone=ZONE, age_s=0.1, tokens=0):
    return ZoneLoads(zone, age_s, {ENGINE: (running, tokens)})


class ZoneLoadsTest(unittest.TestCase):
    def setUp(self):
        self.loads = LoadTracker(ZONE)

    def estimate(self, now):
        return self.loads.estimate_loads([ENGINE, OTHER], SERVICE, now)[ENGINE].running

    def report(self, name, running, now, zone=ZONE):
        loads = {ENGINE: (running, 0)}
        self.loads.set_peer_loads(InstanceId(name), loads, now, zone)

    def test_clump_at_many_instances(self):
        """Reports of other instances come by turns, the sum of the reader at once."""
        for index in range(10):
            self.report(f"edge-{index}", 1, now=0.0)
        self.loads.merge_zones([make_sum(33, age_s=0.0)], ZONE, now=0.5)
        self.assertGreater(self.estimate(now=0.5), 32.0)

    def test_own_part_counts_once(self):
        self.loads.start(ENGINE, SERVICE, 0, now=0.0)
        self.loads.record_published(self.loads.list_own_loads(), now=0.1)
        self.loads.merge_zones([make_sum(1, age_s=0.1)], ZONE, now=0.3)
        self.assertAlmostEqual(self.estimate(now=0.3), 1.0, delta=0.1)

    def test_own_part_that_the_reader_does_not_know(self):
        self.loads.merge_zones([make_sum(5, age_s=0.1)], ZONE, now=0.3)
        self.loads.start(ENGINE, SERVICE, 0, now=0.25)
        self.loads.record_published(self.loads.list_own_loads(), now=0.28)
        self.assertAlmostEqual(self.estimate(now=0.3), 6.0, delta=0.5)

    def test_reader_that_is_gone(self):
        """Reports of the instances themselves are used after the sum is old."""
        self.loads.merge_zones([make_sum(30)], ZONE, now=0.0)
        self.report("edge-1", 2, now=ZONE_AGE_MAX_S)
        self.assertLess(self.estimate(now=ZONE_AGE_MAX_S + 0.1), 2.5)

    def test_late_sum(self):
        self.loads.merge_zones([make_sum(8, age_s=0.1)], ZONE, now=1.0)
        self.loads.merge_zones([make_sum(30, age_s=0.5)], ZONE, now=1.1)
        self.assertLess(self.estimate(now=1.1), 9.0)

    def test_zone_that_only_its_own_reader_tells(self):
        self.loads.merge_zones([make_sum(9), make_sum(3, FAR)], FAR, now=0.0)
        self.assertLess(self.estimate(now=0.0), 4.0)

    def test_sums_of_a_reader(self):
        self.report("edge-1", 2, now=1.0)
        self.report("edge-2", 3, now=1.2)
        self.report("edge-3", 7, now=0.0)
        self.report("edge-4", 5, now=1.2, zone=FAR)
        self.loads.merge_zones([make_sum(4, FAR)], FAR, now=1.2)
        own, far = self.loads.add_up_zones(now=1.2)
        self.assertEqual((own.zone, own.loads[ENGINE]), (ZONE, (5, 0)))
        self.assertEqual((far.zone, far.loads[ENGINE]), (FAR, (4, 0)))


class ZoneCodecTest(unittest.TestCase):
    def test_report_with_sums_and_one_of_an_earlier_version(self):
        sums = [make_sum(3, tokens=120), make_sum(1, FAR)]
        report = PeerReport([make_peer()], zone_loads=sums)
        self.assertEqual(
            decode_report(encode_report(report, 1.0), 1.0).zone_loads, sums
        )
        plain = encode_report(PeerReport([make_peer()]), 1.0)
        self.assertEqual(decode_report(plain, 1.0).zone_loads, [])

    def test_malformed_sum(self):
        broken = ZoneLoads(ZONE, 0.1, {ENGINE: (-1, 0)})
        with self.assertRaises(ValueError):
            decode_report(
                encode_report(PeerReport([make_peer()], zone_loads=[broken]), 1.0), 1.0
            )


if __name__ == "__main__":
    unittest.main()
