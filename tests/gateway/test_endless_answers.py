"""Tests with faulty upstreams that send data without end, in a head or a body."""

import socket
import threading
import time
import tracemalloc
import unittest

from fescueflow.gateway.buffers import AnswerBuffer, AnswerBuffers
from fescueflow.gateway.connections import UpstreamConnection
from fescueflow.gateway.exchange import Exchange, ExchangeFailed
from tests.fakes import FakeClock
from tests.gateway.fake_servers import make_event
from tests.gateway.gateway_case import GatewayTestCase

# The caller's deadline, and a generous limit for a response that is due by then.
DEADLINE_MS = 1500
ANSWER_S = 8.0
# Endless responses send blocks faster than they are read, or a byte at a time.
BLOCK = 16384
DRIP_S = 0.05
MEMORY_BYTES_MAX = 40 << 20
# Memory of an instance, and endless answers at once that would exceed half of it if
# each held as much as one answer may.
INSTANCE_BYTES_MAX = 256 << 20
FLOODS = 20


def flood(handler, data):
    """Send data repeatedly until the connection is closed."""
    pause_s = 0.0 if len(data) >= BLOCK else DRIP_S
    try:
        while True:
            handler.wfile.write(data)
            time.sleep(pause_s)
    except OSError:
        handler.cancelled.set()
        handler.close_connection = True


def send_head(handler, *headers):
    """Send the head of a response whose body the script writes itself."""
    handler.send_response(200)
    for name, value in [*handler.make_seal(), *headers]:
        handler.send_header(name, value)
    handler.end_headers()


def flood_interim(handler):
    flood(handler, b"HTTP/1.1 100 Continue\r\n\r\n" * (BLOCK // 25 + 1))


def drip_head(handler):
    handler.wfile.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
    flood(handler, b"x")


def flood_head(handler):
    flood(handler, b"x" * BLOCK)


def flood_body(handler):
    send_head(handler)
    flood(handler, b"x" * BLOCK)


def drip_body(handler):
    send_head(handler)
    flood(handler, b"x")


def flood_chunks(handler):
    send_head(handler, ("Transfer-Encoding", "chunked"))
    flood(handler, b"%x\r\n%s\r\n" % (BLOCK, b"x" * BLOCK))


def flood_events(handler):
    send_head(handler, ("Transfer-Encoding", "chunked"))
    event = make_event(1) * (BLOCK // len(make_event(1)) + 1)
    flood(handler, b"%x\r\n%s\r\n" % (len(event), event))


class EndlessAnswerTest(GatewayTestCase):
    """Guards against callers, threads and memory held by an endless response."""

    def get_status(self, target):
        """Return the status of a request, or 0 for a truncated response."""
        began = time.monotonic()
        headers = {"X-Deadline-Ms": str(DEADLINE_MS)}
        try:
            status, _, _ = self.call(target, headers=headers)
        except OSError:
            status = 0
        self.assertLess(time.monotonic() - began, ANSWER_S)
        return status

    def check_fails(self, script, target="/once/1"):
        """Check that the caller gets an error and the connection is closed."""
        self.set_script(script, script)
        self.assertIn(self.get_status(target), {0, 502, 504})
        self.assertTrue(
            any(upstream.cancelled.wait(ANSWER_S) for upstream in self.upstreams)
        )

    def test_interim_responses(self):
        self.check_fails(flood_interim)

    def test_slow_head(self):
        self.check_fails(drip_head)

    def test_malformed_head(self):
        self.check_fails(flood_head)

    def test_body_without_length(self):
        self.check_fails(flood_body)

    def test_slow_body(self):
        self.check_fails(drip_body)

    def test_chunks(self):
        self.check_fails(flood_chunks)

    def test_stream_without_an_event(self):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.check_fails(flood_chunks, "/single/1")
        self.assertLess(tracemalloc.get_traced_memory()[1], MEMORY_BYTES_MAX)


class MemoryTest(GatewayTestCase):
    """Guards against upstreams whose endless answers fill an instance's memory."""

    def test_many_endless_answers_at_once(self):
        """Requests that others answer as usual are served meanwhile."""

        def answer(handler):
            if handler.path.startswith("/once/"):
                flood_body(handler)
            else:
                handler.send_sealed()

        self.set_script(answer, answer)
        headers = {"X-Deadline-Ms": "6000"}
        statuses = []
        calls = [
            threading.Thread(
                target=lambda: statuses.append(self.call("/once/1", headers=headers)[0])
            )
            for _ in range(FLOODS)
        ]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for call in calls:
            call.start()
        while any(call.is_alive() for call in calls):
            self.assertEqual(self.call("/safe/1")[0], 200)
        self.assertEqual(statuses, [502] * FLOODS)
        self.assertLess(tracemalloc.get_traced_memory()[1], INSTANCE_BYTES_MAX / 2)

    def test_large_answers_one_after_the_other(self):
        """Guards against memory that is counted for answers that were delivered."""
        large = b"x" * (12 << 20)
        self.set_script(*[lambda h: h.send_sealed(200, large)] * 2)
        for number in range(6):
            self.assertEqual(len(self.call(f"/once/{number}")[2]), len(large))


class RetryElsewhereTest(GatewayTestCase):
    """Guards against waiting for an endless response when a retry is possible."""

    def check_retried(self, script, target):
        self.upstreams[0].script = script
        for _ in range(4):
            began = time.monotonic()
            self.assertEqual(self.call(target)[0], 200)
            self.assertLess(time.monotonic() - began, ANSWER_S)

    def test_interim_responses(self):
        self.check_retried(flood_interim, "/safe/1")

    def test_slow_head(self):
        self.check_retried(drip_head, "/safe/1")

    def test_stream_without_an_event(self):
        self.check_retried(flood_chunks, "/stream/1")


class LateResponseTest(unittest.TestCase):
    """Guards against discarding received responses and reading endless ones on."""

    def setUp(self):
        self.clock = FakeClock()
        ours, self.upstream = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(self.upstream.close)
        connection = UpstreamConnection(ours, "127.0.0.1:1")
        self.exchange = Exchange(connection, self.clock, lambda: False)
        self.deadline = self.clock.monotonic() + 1.0

    def test_response_received_while_the_instance_was_suspended(self):
        head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 6\r\n\r\n"
        self.upstream.sendall(head + b"ans")
        self.exchange.read_head(self.deadline, "a1", self.deadline)
        self.upstream.sendall(b"wer")
        self.clock.advance(5.0)
        self.assertEqual(
            self.exchange.read_body(self.deadline, AnswerBuffer(AnswerBuffers(0))),
            b"answer",
        )

    def test_data_that_continues_after_the_deadline(self):
        self.upstream.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        self.exchange.read_head(self.deadline, "a1", self.deadline)
        read = 0
        with self.assertRaisesRegex(ExchangeFailed, "no end in time"):
            self.upstream.sendall(b"x")
            for part in self.exchange.iterate_parts(self.deadline):
                read += len(part)
                self.clock.advance(0.05)
                self.upstream.sendall(b"x")
        self.assertLess(read, 30)


if __name__ == "__main__":
    unittest.main()
