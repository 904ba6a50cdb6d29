"""Tests of the count of requests that end without a complete answer."""

import http.client
import socket
import threading

import logbook

from fescueflow.gateway.requests import Response
from fescueflow.gateway.server import IDLE_TIMEOUT_S
from fescueflow.gateway.streams import StreamBody
from fescueflow.gateway.unanswered import Cause
from tests.gateway.gateway_case import WAIT_S, GatewayTestCase

# More than the sockets of both sides hold.
LARGE_BYTES = 15_000_000
INTERNAL_ERROR = "unexpected error in a request"


class UnansweredTest(GatewayTestCase):
    """Guards against requests that end without an answer, a count and a line."""

    grace_s = 2.0

    def setUp(self):
        super().setUp()
        self.lines = logbook.TestHandler(level=logbook.INFO, bubble=True)
        self.lines.push_application()
        self.addCleanup(self.lines.pop_application)
        self.released = threading.Event()
        self.addCleanup(self.released.set)

    def get_counts(self):
        """Return the counts above 0 by cause."""
        metrics = self.gateway._metrics
        counts = {
            c.value: metrics.get_count("unanswered", cause=c.value) for c in Cause
        }
        return {cause: count for cause, count in counts.items() if count}

    def check_counted(self, cause, attempt_id="a1"):
        """Wait for the only unanswered request, and check its line."""
        self.wait_for(self.get_counts)
        self.assertEqual(self.get_counts(), {cause: 1})
        lines = [r for r in self.lines.records if r.message == "unanswered"]
        self.assertEqual([line.extra["id"] for line in lines], [attempt_id])
        self.assertEqual(lines[0].extra["cause"], cause)

    def connect(self, *requests, receive_bytes=None):
        """Return a connection on which requests for these targets are sent."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        if receive_bytes:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        caller.settimeout(WAIT_S)
        caller.connect(("127.0.0.1", self.ports["callers"]))
        for attempt_id, target in requests:
            caller.sendall(
                f"POST {target} HTTP/1.1\r\nHost: fleet.example\r\n"
                f"X-Attempt-Id: {attempt_id}\r\nAuthorization: Token k1\r\n"
                "X-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n".encode()
            )
        return caller

    def read_all(self, caller):
        """Return what comes until the connection ends."""
        data = b""
        while part := caller.recv(1 << 20):
            data += part
        return data

    def stall_stream(self, handler):
        handler.start_stream()
        handler.send_event(1)
        self.released.wait(WAIT_S)

    def set_forward(self, forward):
        """Replace the forwarding of requests."""
        (listener,) = self.gateway._caller_server._listeners
        listener.application._forwarder.forward = forward

    def start_large_answer(self):
        """Return a connection whose caller reads nothing of a large answer."""
        self.set_script(*[lambda h: h.send_sealed(body=b"x" * LARGE_BYTES)] * 2)
        caller = self.connect(("a1", "/safe/1"), receive_bytes=4096)
        (listener,) = self.gateway._caller_server._listeners
        self.wait_for(
            lambda: [
                c for c in listener.active_channels.values() if c.total_outbufs_len
            ]
        )
        return caller

    def test_answered_requests_are_not_counted(self):
        def answer(handler):
            handler.start_stream()
            handler.send_event(1)
            handler.end_stream()

        self.assertEqual(self.call("/safe/1")[0], 200)
        self.set_script(answer, answer)
        self.assertEqual(self.call("/stream/1")[0], 200)
        self.assertEqual(self.call("/nowhere/1")[0], 404)
        self.gateway.leave()
        self.assertEqual(self.get_counts(), {})

    def test_stream_that_its_upstream_breaks(self):
        def break_off(handler):
            handler.start_stream()
            handler.send_event(1)
            handler.reset_connection()

        self.set_script(break_off, break_off)
        with self.assertRaises(http.client.IncompleteRead):
            self.call("/single/1")
        self.check_counted("broken")

    def test_stream_at_its_deadline(self):
        self.set_script(self.stall_stream, self.stall_stream)
        with self.assertRaises(http.client.IncompleteRead):
            self.call("/single/1", headers={"X-Deadline-Ms": "500"})
        self.check_counted("deadline")

    def test_stream_at_the_end_of_the_grace_period(self):
        self.set_script(self.stall_stream, self.stall_stream)
        caller = self.connect(("a1", "/single/1"))
        self.assertTrue(caller.recv(100))
        self.gateway.leave()
        self.check_counted("stop")

    def test_answer_that_is_not_taken_before_the_stop(self):
        self.start_large_answer()
        self.gateway.leave()
        self.check_counted("stop")

    def test_answer_on_a_stalled_connection(self):
        (listener,) = self.gateway._caller_server._listeners
        listener.adj.outbuf_high_watermark = 2 * LARGE_BYTES
        caller = self.start_large_answer()

        def has_expired():
            for channel in list(listener.active_channels.values()):
                channel.received_at = channel.answered_at = -IDLE_TIMEOUT_S
            listener.next_channel_cleanup = 0
            # The server's loop closes the connection when it can write again.
            caller.recv(1 << 20)
            return self.get_counts()

        # The worker thread has given all parts to the connection.
        (channel,) = listener.active_channels.values()
        self.wait_for(lambda: not channel.requests)
        self.wait_for(has_expired)
        self.check_counted("not_written")

    def test_unexpected_error_in_a_stream(self):
        def fail():
            yield b"data: 1\n\n"
            raise ValueError("unforeseen")

        body = StreamBody(fail(), lambda: None)
        self.set_forward(lambda request: Response(200, [], body))
        with self.assertRaises(http.client.IncompleteRead):
            self.call("/stream/1")
        self.check_counted("error")
        texts = [r.message for r in self.lines.records if r.exc_info]
        self.assertEqual(texts, ["Exception while serving /stream/1"])

    def test_error_that_ends_a_thread(self):
        def fail(request):
            raise SystemExit("unforeseen")

        self.set_forward(fail)
        self.assertEqual(self.read_all(self.connect(("a1", "/safe/1"))), b"")
        self.check_counted("error")

    def test_unexpected_error_before_the_answer(self):
        def fail(request):
            raise ValueError("unforeseen")

        self.set_forward(fail)
        self.assertEqual(self.call("/safe/1")[0], 500)
        self.assertEqual(self.get_counts(), {})
        count = self.gateway._metrics.get_count("requests", outcome="internal_error")
        self.assertEqual(count, 1)
        lines = [r for r in self.lines.records if r.exc_info]
        ids = [r.extra["id"] for r in lines if r.message == INTERNAL_ERROR]
        self.assertEqual(ids, ["a1"])

    def test_request_behind_a_stream_that_closes_the_connection(self):
        def answer(handler):
            handler.start_stream()
            handler.send_event(1)
            self.released.wait(WAIT_S)
            handler.end_stream()

        self.set_script(answer, answer)
        caller = self.connect(("a1", "/stream/1"), ("a2", "/safe/2"))
        (listener,) = self.gateway._caller_server._listeners
        self.wait_for(
            lambda: any(len(c.requests) == 2 for c in listener.active_channels.values())
        )
        self.released.set()
        self.assertTrue(self.read_all(caller).endswith(b"0\r\n\r\n"))
        self.check_counted("dropped", "a2")

    def test_caller_that_leaves(self):
        self.set_script(*[lambda h: self.released.wait(WAIT_S)] * 2)
        caller = self.connect(("a1", "/safe/1"))
        self.wait_for(lambda: sum(self.count_arrivals()))
        caller.close()
        self.check_counted("caller_left")

    def test_caller_of_an_old_protocol_version_that_leaves_a_stream(self):
        self.set_script(self.stall_stream, self.stall_stream)
        caller = self.connect()
        caller.sendall(
            b"POST /single/1 HTTP/1.0\r\nHost: fleet.example\r\nX-Attempt-Id: a1\r\n"
            b"Authorization: Token k1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertTrue(caller.recv(100))
        caller.close()
        self.check_counted("caller_left")

    def test_caller_that_leaves_a_stream(self):
        self.set_script(self.stall_stream, self.stall_stream)
        caller = self.connect(("a1", "/single/1"))
        self.assertTrue(caller.recv(100))
        caller.close()
        self.check_counted("caller_left")
