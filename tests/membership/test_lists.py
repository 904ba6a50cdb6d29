"""List service and pause detector.

Guards against a list that is lost when it can't be read or is malformed, and against
gaps that are wrongly taken for pauses.
"""

import unittest

from fescueflow.core import SeededRandomSource
from fescueflow.membership import ListService, PauseDetector
from fescueflow.metrics import Metrics
from fescueflow.platform import MalformedResponse
from tests.builders import build_listed_instance, build_upstream
from tests.fakes import FakeClock, wait_until
from tests.membership.fleet import FakeListClient, make_settings

UPSTREAM = build_upstream("u1")


class TestListService(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.client = FakeListClient(self.clock)
        self.metrics = Metrics()
        settings = make_settings("i1", "a", 1)
        self.client.instances = [build_listed_instance(settings)]
        self.client.upstreams = [UPSTREAM]
        self.service = ListService(
            client=self.client,
            settings=settings,
            clock=self.clock,
            random_source=SeededRandomSource(1),
            metrics=self.metrics,
        )

    def test_unreadable_list_keeps_the_last_snapshot(self):
        self.assertIsNone(self.service.get_snapshot())
        self.assertFalse(self.service.is_readable())
        self.assertTrue(self.service.refresh())
        snapshot = self.service.get_snapshot()
        self.client.fail()
        self.assertFalse(self.service.refresh())
        self.client.error = MalformedResponse("not a list")
        self.assertFalse(self.service.refresh())
        self.assertIs(self.service.get_snapshot(), snapshot)
        self.assertEqual(self.service.get_upstream("u1"), UPSTREAM)
        for result in ("read", "unavailable", "malformed"):
            count = self.metrics.get_count("list_readings", result=result)
            self.assertEqual(count, 1, result)

    def test_readable_for_three_intervals(self):
        self.service.refresh()
        self.clock.advance(3.0)
        self.assertTrue(self.service.is_readable())
        self.clock.advance(0.1)
        self.assertFalse(self.service.is_readable())

    def test_failing_subscriber_does_not_stop_others_or_the_task(self):
        calls = []
        self.service.subscribe(lambda snapshot: 1 / 0)
        self.service.subscribe(calls.append)
        self.service.start()
        self.addCleanup(self.service.stop)
        self.assertTrue(wait_until(lambda: len(calls) == 1))
        # The interval is 1 s with 20% jitter: nothing is read before 0.8 s.
        self.clock.advance(0.79)
        self.assertFalse(wait_until(lambda: len(calls) > 1, 0.1))

        def advance_and_check():
            self.clock.advance(0.05)
            return len(calls) > 1

        self.assertTrue(wait_until(advance_and_check))
        self.service.stop()
        self.service.stop()


class TestPauseDetector(unittest.TestCase):
    def test_only_gaps_beyond_the_limit_count(self):
        clock = FakeClock()
        detector = PauseDetector(clock=clock, limit_s=2.0)
        clock.advance(100)
        self.assertIsNone(detector.check(), "start-up is not a pause")
        clock.advance(2.0)
        self.assertIsNone(detector.check())
        clock.advance(2.1)
        self.assertEqual(detector.check(), clock.monotonic())
        ended_at = clock.monotonic()
        clock.advance(1.0)
        self.assertEqual(detector.check(), ended_at)


if __name__ == "__main__":
    unittest.main()
