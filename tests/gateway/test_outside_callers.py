"""Tests of callers outside the limits, against a process of the smallest machine."""

import http.client
import subprocess
import tempfile
import threading
import time
import unittest

from tests.gateway.fake_servers import FakeStore, FakeUpstream
from tests.gateway.gateway_case import WAIT_S, make_table
from tests.gateway.outside_callers import (
    CHUNKED,
    HEAD,
    Crowd,
    count_descriptors,
    iterate_chunks,
    iterate_pieces,
    read_peak_bytes,
    render_length,
)
from tests.gateway.processes import start_process

# The smallest machine of the deployments, with fewer descriptors than any of them.
MEMORY_MB = 152
MAX_FDS = 256
LIMITS = "[limits]\nmemory_limit_mb = {}\nmax_fds = {}\n"
BODY_BYTES = 4 << 20
CALLER_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": BODY_BYTES,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 15000,
}
# Their bodies together exceed the memory of the machine.
CROWD = 60
# More connections than the machine has descriptors.
CONNECTIONS = 320
# Bytes that are missing at the end of a body.
SHORT_BYTES = 1000
ENDLESS_BYTES = 15 << 20
ANSWER_BYTES = 1 << 20
# Answers of which the end is not read, and how many of them in turn.
PARTLY_READ_BYTES = 470_000
UNREAD_BYTES = 300_000
PARTLY_READ_CROWD = 50
PARTLY_READ_ROUNDS = 16
# Time without growth after which a process is taken to have read what it reads.
SETTLE_S = 0.6


class OutsideCallersCase(unittest.TestCase):
    """Starts a process; a test ends with an ordinary request beside the crowd's."""

    max_fds = MAX_FDS

    def setUp(self):
        store = FakeStore()
        self.addCleanup(store.close)
        self.released = threading.Event()
        self.addCleanup(self.released.set)
        self.upstream = FakeUpstream("u1", lambda handler: handler.send_sealed())
        self.addCleanup(self.upstream.close)
        store.put("servers/u1", self.upstream.make_entry(slots=64))
        store.put("op/config", make_table(1, limits=CALLER_LIMITS))
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        limits = LIMITS.format(MEMORY_MB, self.max_fds)
        self.process, self.ports = start_process(
            directory.name, store.port, subprocess.DEVNULL, 1.0, limits
        )
        self.addCleanup(self.process.stderr.close)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.wait_for_answer()

    def call(self, body=b"question"):
        """Return the status of one ordinary request, 0 without an answer."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports["callers"], timeout=WAIT_S
        )
        headers = {
            "Host": "fleet.example",
            "X-Attempt-Id": "a1",
            "X-Deadline-Ms": "8000",
            "Authorization": "Token k1",
        }
        try:
            connection.request("POST", "/safe/1", body=body, headers=headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def wait_for_answer(self, body=b"question"):
        deadline = time.monotonic() + WAIT_S
        while self.call(body) != 200:
            self.assertIsNone(self.process.poll(), "the process has ended")
            self.assertLess(time.monotonic(), deadline, "no ordinary request is served")
            time.sleep(0.05)

    def make_crowd(self, count=CROWD, receive_bytes=None):
        crowd = Crowd(self.ports["callers"], count, receive_bytes)
        self.addCleanup(crowd.close)
        return crowd

    def settle(self):
        """Wait until the process holds no more than before, or for four seconds."""
        deadline = time.monotonic() + 4.0
        peak, since = 0, time.monotonic()
        while time.monotonic() < min(deadline, since + SETTLE_S):
            time.sleep(0.05)
            if (now := read_peak_bytes(self.process)) > peak:
                peak, since = now, time.monotonic()

    def check(self):
        """Check that the process lives within its machine and serves a request."""
        self.settle()
        self.wait_for_answer()
        self.assertIsNone(self.process.poll())
        self.assertLess(read_peak_bytes(self.process), MEMORY_MB * 1e6)
        self.assertLess(count_descriptors(self.process), self.max_fds)

    def play(self, make_parts, count=CROWD):
        self.make_crowd(count).send(make_parts)
        self.check()


class OutsideCallersTest(OutsideCallersCase):
    """Guards against callers that exhaust the memory or the descriptors of a process.

    Each test ends with one ordinary request while the crowd's connections are open.
    """

    def test_bodies_with_a_length_that_stop_short(self):
        def make_parts():
            yield HEAD + render_length(BODY_BYTES)
            yield from iterate_pieces(BODY_BYTES - SHORT_BYTES)

        self.play(make_parts)

    def test_bodies_in_large_chunks_that_stop_short(self):
        def make_parts():
            yield HEAD + CHUNKED
            yield from iterate_chunks(BODY_BYTES, 1 << 16)

        self.play(make_parts)

    def test_bodies_in_tiny_chunks_that_stop_short(self):
        def make_parts():
            yield HEAD + CHUNKED
            yield from iterate_chunks(20_000, 1)

        self.play(make_parts)

    def test_whole_bodies_of_legal_size(self):
        self.upstream.script = self.answer_later

        def make_parts():
            yield HEAD + b"X-Deadline-Ms: 8000\r\n" + render_length(BODY_BYTES)
            yield from iterate_pieces(BODY_BYTES)

        self.make_crowd().send(make_parts)
        self.settle()
        self.released.set()
        self.check()

    def answer_later(self, handler):
        self.released.wait(WAIT_S)
        handler.send_sealed()

    def test_bodies_over_the_limit_that_are_announced(self):
        def make_parts():
            yield HEAD + render_length(90_000_000_000)
            yield from iterate_pieces(ENDLESS_BYTES)

        self.play(make_parts)

    def test_bodies_over_the_limit_that_are_simply_sent(self):
        def make_parts():
            yield HEAD + CHUNKED
            yield from iterate_chunks(ENDLESS_BYTES, 1 << 14)

        self.play(make_parts)

    def test_heads_that_never_end(self):
        crowd = self.make_crowd(CONNECTIONS)
        crowd.send_in_turn(HEAD[n : n + 1] for n in range(20))
        self.check()

    def test_connections_that_send_nothing(self):
        self.make_crowd(CONNECTIONS)
        self.check()

    def test_continuation_that_is_asked_for_and_not_used(self):
        crowd = self.make_crowd(CONNECTIONS)
        crowd.send_in_turn(
            [HEAD + b"Expect: 100-continue\r\n" + render_length(BODY_BYTES)]
        )
        self.check()

    def test_chunk_sizes_of_many_digits(self):
        def make_parts():
            yield HEAD + CHUNKED
            yield from (b"0" * (1 << 16) for _ in range(48))

        self.play(make_parts)

    def test_chunk_extensions_without_end(self):
        def make_parts():
            yield HEAD + CHUNKED + b"1;a="
            yield from iterate_pieces(3 << 20)

        self.play(make_parts)

    def test_trailers_without_end(self):
        def make_parts():
            yield HEAD + CHUNKED + b"0\r\n"
            for _ in range(48):
                yield b"a: b\r\n" * 10_000

        self.play(make_parts)

    def test_second_request_behind_an_unread_answer(self):
        self.upstream.script = lambda handler: handler.send_sealed(
            body=b"y" * ANSWER_BYTES
        )

        def make_parts():
            yield HEAD + b"X-Deadline-Ms: 8000\r\n" + render_length(1) + b"x"
            yield HEAD + render_length(BODY_BYTES)
            yield from iterate_pieces(BODY_BYTES - SHORT_BYTES)

        self.make_crowd(receive_bytes=4096).send(make_parts)
        self.settle()
        self.upstream.script = lambda handler: handler.send_sealed()
        self.check()

    def test_answers_that_are_never_read(self):
        self.upstream.script = lambda handler: handler.send_sealed(
            body=b"y" * ANSWER_BYTES
        )
        crowd = self.make_crowd(200, receive_bytes=4096)
        crowd.send_in_turn([HEAD + b"X-Deadline-Ms: 8000\r\n" + render_length(0)])
        self.settle()
        self.upstream.script = lambda handler: handler.send_sealed()
        self.check()

    def test_single_body_of_legal_size(self):
        """Guards against limits that refuse what callers may send."""
        self.wait_for_answer(b"x" * BODY_BYTES)
        self.assertLess(read_peak_bytes(self.process), MEMORY_MB * 1e6)

    def test_series_of_bodies_of_legal_size(self):
        """Guards against bodies that are kept after their requests."""
        for _ in range(30):
            self.assertEqual(self.call(b"x" * BODY_BYTES), 200)
        self.assertLess(read_peak_bytes(self.process), MEMORY_MB * 1e6)


class ManyCallersTest(OutsideCallersCase):
    """Guards against buffers that hold what many callers have taken."""

    max_fds = 1100

    def test_answers_that_are_read_but_for_their_end(self):
        self.upstream.script = lambda handler: handler.send_sealed(
            body=b"y" * PARTLY_READ_BYTES
        )
        request = HEAD + b"X-Deadline-Ms: 8000\r\n" + render_length(0)
        for _ in range(PARTLY_READ_ROUNDS):
            crowd = self.make_crowd(PARTLY_READ_CROWD, receive_bytes=4096)
            crowd.send_in_turn([request])
            crowd.read(PARTLY_READ_BYTES - UNREAD_BYTES)
        self.upstream.script = lambda handler: handler.send_sealed()
        self.check()


if __name__ == "__main__":
    unittest.main()
