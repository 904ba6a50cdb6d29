"""Tests of the time for which leaving upstreams are sure to serve."""

import unittest
from dataclasses import replace

from fescueflow.routing import Departures
from tests.routing.builders import make_upstream

SERVING_S, LAG_S = 2.0, 0.5


class DeparturesTest(unittest.TestCase):
    """Guards against leaving upstreams whose crashes are taken for their end."""

    def setUp(self):
        self.departures = Departures(SERVING_S, LAG_S)
        self.upstream = make_upstream("u1", "a")

    def test_time_counts_from_the_last_state_without_the_departure(self):
        self.departures.record(self.upstream, 10.0)
        self.assertTrue(self.departures.is_serving(self.upstream, 11.4))
        self.assertFalse(self.departures.is_serving(self.upstream, 11.5))

    def test_later_news_extends_nothing(self):
        """A draining entry is removed before its upstream leaves."""
        self.departures.record(self.upstream, 10.0)
        self.departures.record(self.upstream, 11.0)
        self.assertFalse(self.departures.is_serving(self.upstream, 11.5))

    def test_upstream_that_stays_after_all(self):
        """Its entry expired in an outage and is back."""
        self.departures.record(self.upstream, 10.0)
        self.departures.forget(self.upstream)
        self.departures.record(self.upstream, 20.0)
        self.assertTrue(self.departures.is_serving(self.upstream, 21.4))

    def test_other_start_under_the_same_id(self):
        self.departures.record(self.upstream, 10.0)
        other = replace(self.upstream, started_at_ms=7)
        self.assertFalse(self.departures.is_serving(other, 10.2))

    def test_time_that_is_not_known(self):
        for serving_s in (0.0, LAG_S):
            departures = Departures(serving_s, LAG_S)
            departures.record(self.upstream, 10.0)
            self.assertFalse(departures.is_serving(self.upstream, 10.0))


if __name__ == "__main__":
    unittest.main()
