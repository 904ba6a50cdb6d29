"""Tests of the log lines that tell which request an upstream failed under."""

import http.client
import unittest

import logbook

from tests.gateway.gateway_case import GatewayTestCase

PROMPT = {"X-Prefix-Hash": "aa:400,bb:100,cc:10", "X-Token-Count": "510,40"}


class FailedAttemptLogTest(GatewayTestCase):
    """Guards against upstreams that end under one prompt part without a trace of it."""

    def test_parts_and_events_of_a_cut_request(self):
        def send_two_events(handler):
            handler.start_stream()
            handler.send_event(1)
            handler.send_event(2)
            handler.reset_connection()

        self.set_script(send_two_events, send_two_events)
        with logbook.TestHandler() as handler:
            with handler.applicationbound():
                with self.assertRaises(http.client.IncompleteRead):
                    self.call("/single/1", headers=PROMPT)
        records = {record.message: record.extra for record in handler.records}
        self.assertEqual(records["placed"]["prompt_parts"], ["aa", "bb"])
        failed = records["attempt failed"]
        self.assertEqual((failed["prompt_parts"], failed["events"]), (["aa", "bb"], 2))
        self.assertGreater(failed["upstream_age_ms"], 0)
        self.assertEqual(failed["cold_ms"], 0)


if __name__ == "__main__":
    unittest.main()
