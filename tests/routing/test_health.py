"""Failing and cold upstreams."""

import unittest

from fescueflow.core import UpstreamId
from fescueflow.routing import ColdPace, UpstreamHealth

NAME = UpstreamId("u1")


class UpstreamHealthTest(unittest.TestCase):
    """Guards against work for an upstream that fails it, and against its loss."""

    def test_pauses_grow_and_end(self):
        health = UpstreamHealth()
        for _ in range(2):
            self.assertFalse(health.note_failure(NAME, 0.0))
        self.assertTrue(health.note_failure(NAME, 0.0))
        self.assertTrue(health.is_paused(NAME, 0.4))
        self.assertFalse(health.is_paused(NAME, 0.6))
        health.note_failure(NAME, 0.6)
        self.assertTrue(health.is_paused(NAME, 1.5))

    def test_success_ends_the_pause(self):
        health = UpstreamHealth()
        for _ in range(5):
            health.note_failure(NAME, 0.0)
        health.note_success(NAME)
        self.assertFalse(health.is_paused(NAME, 0.1))
        self.assertGreater(health.get_rate(NAME), 0.0)


class ColdPaceTest(unittest.TestCase):
    """Guards against a cold upstream that gets the pace from every instance."""

    def test_fleet_stays_within_the_pace(self):
        paces = [ColdPace() for _ in range(9)]
        times = [n / 100 for n in range(300)]
        sent = [now for now in times for pace in paces if pace.take(NAME, 20.0, 9, now)]
        # The rule allows one and a half times the pace and five more.
        for start in times:
            within = sum(start <= now < start + 1.0 for now in sent)
            self.assertLessEqual(within, 1.5 * 20 + 5)


if __name__ == "__main__":
    unittest.main()
