"""Tests of the refusals of requests that are outside the limits."""

import contextlib
import gc
import json
import socket

from fescueflow.gateway.channels import RESET_ON_CLOSE
from fescueflow.gateway.requests import CallerRequest
from tests.gateway.gateway_case import GatewayTestCase, make_table
from tests.gateway.outside_callers import CHUNKED, HEAD, iterate_chunks, render_length
from tests.gateway.raw_callers import connect, list_statuses, read_all

BODY_BYTES = 100_000
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": BODY_BYTES,
    "header_timeout_ms": 200,
    "idle_timeout_ms": 15000,
}
DEADLINE = b"X-Deadline-Ms: 8000\r\n"


class CallerRefusalTest(GatewayTestCase):
    """Guards against refusals that are cut, late or untrue."""

    def setUp(self):
        super().setUp()
        self.store.put("op/config", make_table(2, limits=LIMITS))
        self.wait_for(lambda: self.gateway._platform_state.get_table().version == 2)

    def read_refusal(self, *parts):
        """Return the statuses of all answers and the document of the last one."""
        caller = connect(self.ports["callers"])
        self.addCleanup(caller.close)
        for part in parts:
            with contextlib.suppress(OSError):
                caller.sendall(part)
        data, is_reset = read_all(caller)
        self.assertFalse(is_reset)
        head, _, body = data.rpartition(b"\r\n\r\n")
        self.assertIn(f"Content-Length: {len(body)}".encode(), head)
        self.assertIn(b"Connection: close", head)
        return list_statuses(data), json.loads(body)["error"]

    def check(self, expected, type_, *parts):
        statuses, error = self.read_refusal(*parts)
        self.assertEqual(statuses, expected)
        self.assertEqual((error["type"], error["outcome"]), (type_, "not_run"))
        self.assertEqual(sum(self.count_arrivals()), len(expected) - 1)

    def test_announced_body_before_it_is_sent(self):
        head = HEAD + b"Expect: 100-continue\r\n" + render_length(BODY_BYTES + 1)
        self.check([413], "body_too_large", head)

    def test_announced_body_that_is_sent_all_the_same(self):
        head = HEAD + render_length(90_000_000_000)
        self.check([413], "body_too_large", head, *[b"x" * 65536] * 40)

    def test_chunked_body(self):
        chunks = iterate_chunks(BODY_BYTES * 10, 1000)
        self.check([413], "body_too_large", HEAD + CHUNKED, *chunks)

    def test_largest_body(self):
        self.assertEqual(self.call("/safe/1", body=b"x" * BODY_BYTES)[0], 200)

    def test_large_head(self):
        self.check([431], "head_too_large", HEAD, b"X-A: " + b"x" * 30_000)

    def test_head_that_does_not_end(self):
        self.check([408], "request_too_slow", HEAD)
        page = self.get_page("directory", "/metrics")[1]
        self.assertIn(b'callers_outside_total{limit="head_time"} 1', page)

    def test_request_behind_another_one(self):
        first = HEAD + DEADLINE + render_length(1) + b"x"
        second = HEAD + render_length(BODY_BYTES + 1) + b"x" * 5000
        self.check([200, 413], "body_too_large", first + second)

    def test_account_after_all(self):
        """Guards against bytes that stay counted after their connection."""
        for _ in range(5):
            caller = connect(self.ports["callers"])
            caller.sendall(HEAD + render_length(BODY_BYTES) + b"x" * 50_000)
            caller.shutdown(socket.SHUT_WR)
            caller.close()
        self.assertEqual(self.call("/safe/1")[0], 200)
        self.wait_for(lambda: self.gateway._rules.memory.held_bytes == 0)

    def test_reset_after_asking_for_continuation(self):
        """Guards against a server's loop that waits for its own lock."""
        for _ in range(100):
            caller = connect(self.ports["callers"])
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            caller.sendall(HEAD + b"Expect: 100-continue\r\n" + render_length(1000))
            caller.close()
        self.assertEqual(self.call("/safe/1")[0], 200)

    def test_line_ends_without_end(self):
        """Guards against a loop that makes a parser for each of them."""
        caller = connect(self.ports["callers"])
        self.addCleanup(caller.close)
        caller.sendall(b"\r\n" * 20 + HEAD + DEADLINE + render_length(1) + b"x")
        self.assertIn(b"HTTP/1.1 200", caller.recv(1 << 16))
        caller.sendall(b"\r\n" * 33)
        self.assertEqual(list_statuses(read_all(caller)[0]), [])

    def test_status_while_callers_hold_the_memory(self):
        """Guards against refusals of the platform's questions."""
        memory = self.gateway._rules.memory
        self.addCleanup(memory.move, 1 << 40, 0)
        memory.move(0, 1 << 40)
        self.assertEqual(self.call("/safe/1")[0], 503)
        self.assertEqual(self.get_page("directory", "/metrics")[0], 200)

    def test_request_after_its_answer(self):
        """Guards against bodies that stay until the garbage collector runs."""
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for target in ("/safe/1", "/stream/1", "/once/1"):
            self.assertEqual(self.call(target)[0], 200)
        self.wait_for(
            lambda: not any(isinstance(o, CallerRequest) for o in gc.get_objects())
        )
