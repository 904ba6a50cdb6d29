"""Tests of streams that break off and of what comes after them."""

import http.client

from tests.gateway.fake_servers import make_event
from tests.gateway.gateway_case import GatewayTestCase


class BrokenStreamTest(GatewayTestCase):
    """Guards against an error of the next upstream in the middle of a stream."""

    def check_truncated(self, second):
        """Check the caller's stream if the second upstream answers by this script."""

        def answer(handler):
            if handler.headers["Last-Event-Id"]:
                second(handler)
                return
            handler.start_stream()
            handler.send_event(1)
            handler.reset_connection()

        self.set_script(answer, answer)
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.call("/stream/1")
        self.assertEqual(caught.exception.partial, make_event(1))
        self.assertEqual(sum(self.count_arrivals()), 2)
        for upstream in self.upstreams:
            upstream.arrivals.clear()

    def test_next_upstream_answers_with_an_error(self):
        refusal = [("X-Not-Executed", "1")]
        for second in (
            lambda h: h.send_sealed(500, b"id: 2\ndata: error\n\n"),
            lambda h: h.send_sealed(404, b"id: 2\ndata: error\n\n"),
            lambda h: h.send_sealed(503, b"busy", refusal),
            lambda h: h.send_with_length(200, [], b"id: 2\n\n"),
            lambda h: h.reset_connection(),
        ):
            self.check_truncated(second)

    def test_next_upstream_answers_something_else(self):
        """Its status is that of a success, but the answer is no rest of a stream."""
        json_type = [("Content-Type", "application/json")]
        stream_type = [("Content-Type", "text/event-stream")]
        for second in (
            lambda h: h.send_sealed(200, b'{"error": "busy"}\n\n', json_type),
            lambda h: h.send_sealed(200, make_event(1) + make_event(2), stream_type),
        ):
            self.check_truncated(second)

    def test_caller_of_an_old_protocol_version(self):
        """Without chunks, only a reset shows that the stream is broken."""

        def break_off(handler):
            handler.start_stream()
            handler.send_event(1)
            handler.reset_connection()

        self.set_script(break_off, break_off)
        with self.assertRaises(ConnectionResetError):
            self.read_without_chunks("/single/1")
