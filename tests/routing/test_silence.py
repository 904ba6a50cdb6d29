"""Tests of when the silence of an upstream needs a decision."""

import unittest

from fescueflow.routing import SilenceWatch, compute_patience
from tests.routing.builders import make_route


class SilenceWatchTest(unittest.TestCase):
    """Guards against giving up a silent upstream early, or after callers have left."""

    def make_watch(self, **changes):
        settings = {
            "suspicion_s": 1.5,
            "patience_s": 3.2,
            "deadline": 12.0,
            "now": 0.0,
            "may_replace": lambda: True,
        }
        return SilenceWatch(**{**settings, **changes})

    def test_patience_is_the_longest_gap_that_callers_bear(self):
        for target_s, pause_s, expected_s in (
            (0.3, 0.0, 2.0),
            (0.6, 0.4, 3.2),
            (1.5, 0.4, 6.0),
        ):
            route = make_route(target_s=target_s, pause_s=pause_s)
            self.assertEqual(compute_patience(route), expected_s)

    def test_decision_on_an_upstream_that_may_go_on(self):
        watch = self.make_watch()
        self.assertEqual(watch.get_limit(), 1.5)
        watch.mark_awaited()
        self.assertFalse(watch.is_suspected_only)
        self.assertAlmostEqual(watch.get_limit(), 2.8)

    def test_replacement_has_time_before_the_deadline(self):
        watch = self.make_watch(patience_s=6.0, deadline=3.0)
        watch.mark_awaited()
        self.assertAlmostEqual(watch.get_limit(), 2.6)

    def test_next_search_after_one_in_vain(self):
        watch = self.make_watch()
        watch.mark_searched(1.5)
        self.assertEqual(watch.get_limit(), 2.0)

    def test_progress_ends_a_silence(self):
        watch = self.make_watch()
        watch.mark_awaited()
        watch.mark_searched(2.8)
        watch.mark_progress(3.0)
        self.assertTrue(watch.is_suspected_only)
        self.assertEqual(watch.get_limit(), 4.5)

    def test_route_without_a_further_attempt(self):
        watch = self.make_watch(may_replace=lambda: False)
        self.assertEqual(watch.get_limit(), 12.0)


if __name__ == "__main__":
    unittest.main()
