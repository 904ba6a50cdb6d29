"""Tests of requests that arrive or run while an instance stops as planned."""

import json
import socket
import threading
import time

from fescueflow.gateway.departure import Stage
from tests.gateway.gateway_case import WAIT_S, GatewayTestCase

GRACE_S = 3.0


class PlannedStopTest(GatewayTestCase):
    """Guards against requests that are taken, passed on and cut without an answer."""

    grace_s = GRACE_S

    def setUp(self):
        super().setUp()
        self.released = threading.Event()
        self.addCleanup(self.released.set)

    def answer_late(self, handler):
        self.released.wait(WAIT_S)
        handler.send_sealed()

    def start_leaving(self):
        thread = threading.Thread(target=self.gateway.leave)
        self.addCleanup(thread.join)
        thread.start()

    def get_stage(self):
        return self.gateway._departure.get_stage()

    def send_part(self, target):
        """Return a connection on which the last byte of a request is missing."""
        caller = socket.create_connection(("127.0.0.1", self.ports["callers"]))
        self.addCleanup(caller.close)
        caller.settimeout(WAIT_S)
        caller.sendall(
            b"POST %s HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: a1\r\n"
            b"Authorization: Token k1\r\nX-Deadline-Ms: 9000\r\n"
            b"Content-Length: 2\r\n\r\nx" % target
        )
        time.sleep(0.2)
        return caller

    def read_answer(self, caller):
        """Return the status and body of the answer on a connection."""
        data = b""
        while part := caller.recv(10_000):
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        self.assertTrue(head, "the connection was closed without an answer")
        return int(head.split()[1]), body

    def test_request_late_in_the_grace_period(self):
        self.set_script(*[self.answer_late] * 2)
        # The instance stops at once when no request is left.
        self.send_part(b"/once/1").sendall(b"x")
        self.wait_for(lambda: sum(self.count_arrivals()) == 1)
        caller = self.send_part(b"/once/2")
        self.start_leaving()
        self.wait_for(lambda: self.get_stage() is Stage.REFUSING)
        caller.sendall(b"x")
        status, body = self.read_answer(caller)
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["error"]["outcome"], "not_run")
        self.assertEqual(sum(self.count_arrivals()), 1)

    def test_request_that_outlasts_the_grace_period(self):
        self.set_script(*[self.answer_late] * 2)
        caller = self.send_part(b"/once/1")
        caller.sendall(b"x")
        self.wait_for(lambda: sum(self.count_arrivals()))
        self.start_leaving()
        status, body = self.read_answer(caller)
        self.assertEqual(status, 504)
        self.assertEqual(json.loads(body)["error"]["outcome"], "outcome_unknown")

    def test_request_that_ends_within_the_grace_period(self):
        self.set_script(*[self.answer_late] * 2)
        caller = self.send_part(b"/once/1")
        caller.sendall(b"x")
        self.start_leaving()
        self.wait_for(lambda: self.get_stage() is Stage.REFUSING)
        self.released.set()
        self.assertEqual(self.read_answer(caller), (200, b"answer"))
