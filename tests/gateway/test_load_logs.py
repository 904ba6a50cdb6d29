"""Tests of the logs and metrics about overloaded upstreams."""

import unittest

import logbook

from fescueflow.gateway.attempts import classify_estimate
from fescueflow.platform import parse_upstream_load
from tests.gateway.gateway_case import GatewayTestCase


class EstimateLogTest(GatewayTestCase):
    """Guards against overload whose cause can't be found in the log."""

    def test_upstream_with_more_requests_than_expected(self):
        busy = [("X-Server-Load", "40,3,64")]
        self.set_script(*[lambda h: h.send_sealed(200, b"answer", busy)] * 2)
        with logbook.TestHandler() as handler:
            with handler.applicationbound():
                self.assertEqual(self.call("/safe/1")[0], 200)
        records = {record.message: record.extra for record in handler.records}
        placed, over = records["placed"], records["upstream over the limit"]
        self.assertEqual(placed["mean_running"], 0.0)
        self.assertEqual(placed["own_running"], 0)
        self.assertIsNone(placed["report_age_ms"])
        self.assertEqual((over["told"], over["expected"]), (43, 1))
        self.assertEqual(over["running_limit"], placed["running_limit"])
        _, page = self.get_page("directory", "/metrics")
        self.assertIn(b'load_estimates_total{error="low"} 1', page)

    def test_malformed_load_is_ignored(self):
        for value in (None, "", "1,2", "1,x,3", "-1,2,3"):
            self.assertIsNone(parse_upstream_load(value))
        self.assertEqual(parse_upstream_load("3, 1, 8"), 4)

    def test_load_with_the_slowdown_of_the_machine(self):
        """Guards against upstreams of four figures that count as idle."""
        self.assertEqual(parse_upstream_load("3,1,8,140"), 4)
        for value in ("3,1,8,", "3,1,8,x", "3,1,8,140,1"):
            self.assertIsNone(parse_upstream_load(value))

    def test_classification_of_estimates(self):
        self.assertEqual(classify_estimate(9, 2.0), "low")
        self.assertEqual(classify_estimate(1, 7.5), "high")
        self.assertEqual(classify_estimate(5, 2.0), "near")


if __name__ == "__main__":
    unittest.main()
