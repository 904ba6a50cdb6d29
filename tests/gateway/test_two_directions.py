"""Tests of exchanges that end differently in their two directions."""

import http.client
import select
import threading
from unittest import mock

from fescueflow.gateway.exchange import Exchange
from tests.gateway.fake_servers import make_event
from tests.gateway.gateway_case import WAIT_S, GatewayTestCase, make_table
from tests.gateway.test_cut_heads import make_answer

# More than the buffers of both ends of a connection on loopback take.
UPLOAD = b"x" * (12 << 20)
READ_BYTES = 256 << 10


class HeldUpload:
    """Stops an upload between two writes until the connection is reset.

    Notes
    -----
    The reset then meets the next write of the request and not a read.
    """

    def __init__(self):
        self.is_stopped = threading.Event()
        self._check_time = Exchange._check_time

    def apply(self):
        """Return the context manager that is in force during a test."""

        def check_time(exchange, deadline):
            self._check_time(exchange, deadline)
            if exchange.method == "POST" and not self.is_stopped.is_set():
                self.is_stopped.set()
                poll = select.poll()
                poll.register(exchange._socket, 0)
                poll.poll(WAIT_S * 1000)

        return mock.patch.object(Exchange, "_check_time", check_time)

    def take_some(self, handler):
        """Read the upload at the upstream, slowly, until the writer is stopped."""
        while not self.is_stopped.wait(0.02):
            handler.connection.recv(READ_BYTES)


class TwoDirectionsTest(GatewayTestCase):
    """Guards against cut answers given as whole ones, and whole ones as cut."""

    def setUp(self):
        super().setUp()
        limits = {**make_table(2)["limits"], "max_body_bytes": 16 << 20}
        self.store.put("op/config", make_table(2, limits=limits))
        self.wait_for(
            lambda: self.call("/safe/1", body=UPLOAD[: 1 << 20])[0] == 200,
        )
        for upstream in self.upstreams:
            upstream.reads_body = False
            upstream.arrivals.clear()

    def respond_and_reset(self, framing, size=None, body=b"half of it", before=b""):
        """Return a script that responds to an upload and resets it, and the hold."""
        held = HeldUpload()

        def script(handler):
            held.take_some(handler)
            handler.wfile.write(
                before + b"".join(make_answer(handler, framing, body))[:size]
            )
            handler.reset_connection()

        return script, held

    def upload(self, target, script, held, **changes):
        """Return status and body of the answer to an upload."""
        self.set_script(script, script)
        with held.apply():
            status, _, body = self.call(target, body=UPLOAD, **changes)
        self.assertTrue(held.is_stopped.is_set())
        return status, body

    def test_part_of_an_unmarked_answer_and_a_reset_during_the_upload(self):
        """The reset is met by a write; the end of the connection looks orderly."""
        script, held = self.respond_and_reset("none")
        self.assertEqual(self.upload("/once/1", script, held)[0], 502)
        script, held = self.respond_and_reset("none", body=make_event(1))
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.upload("/single/1", script, held)
        self.assertEqual(caught.exception.partial, make_event(1))
        self.assertEqual(sum(self.count_arrivals()), 2)
