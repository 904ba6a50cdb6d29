"""Ends of connections as an exchange sees them while its request is unsent."""

import select
import socket
import struct
import unittest

from fescueflow.core import SystemClock
from fescueflow.gateway.connections import UpstreamConnection
from fescueflow.gateway.exchange import ConnectionLost, Exchange

# More than the buffers of both ends of a connection on loopback take.
UPLOAD = b"x" * (12 << 20)
WAIT_S = 10.0
UNMARKED = b"HTTP/1.1 %d OK\r\nConnection: close\r\n\r\npart"


class ExchangeEndTest(unittest.TestCase):
    """Guards against cut answers without a length or chunks that count as whole."""

    def begin(self, status=200, upload=UPLOAD):
        """Return an exchange that has read a head, and the upstream's socket."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            own = socket.create_connection(server.getsockname())
            upstream, _ = server.accept()
        self.addCleanup(own.close)
        self.addCleanup(upstream.close)
        clock = SystemClock()
        exchange = Exchange(UpstreamConnection(own, "u1"), clock, lambda: False)
        self.deadline = clock.monotonic() + WAIT_S
        upstream.sendall(UNMARKED % status)
        exchange.send_request(upload, self.deadline)
        exchange.read_head(self.deadline, "a1", self.deadline)
        self.assertFalse(exchange.is_cut())
        return exchange, upstream

    def reset(self, exchange, upstream):
        """Reset the connection; the next write of the request meets it."""
        upstream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        upstream.close()
        poll = select.poll()
        poll.register(exchange._socket, 0)
        self.assertTrue(poll.poll(WAIT_S * 1000))
        exchange._send_more()

    def read(self, exchange):
        return b"".join(exchange.iterate_parts(self.deadline))

    def test_reset_that_a_write_has_met(self):
        """Reads then see an orderly end; a silent attempt was taken as going on."""
        exchange, upstream = self.begin()
        self.reset(exchange, upstream)
        self.assertTrue(exchange.is_cut())
        with self.assertRaises(ConnectionLost):
            self.read(exchange)

    def test_orderly_end_before_the_whole_request(self):
        """The upstream's process may have ended before it had read the request."""
        exchange, upstream = self.begin()
        upstream.shutdown(socket.SHUT_WR)
        with self.assertRaises(ConnectionLost):
            self.read(exchange)
        self.assertTrue(exchange.is_cut())
        self.assertFalse(exchange.is_complete)

    def test_orderly_end_and_a_write_that_fails(self):
        """The write meets EPIPE, as the upstream had closed its direction before."""
        exchange, upstream = self.begin()
        upstream.shutdown(socket.SHUT_WR)
        self.reset(exchange, upstream)
        self.assertTrue(exchange.is_cut())
        with self.assertRaises(ConnectionLost):
            self.read(exchange)

    def test_error_before_the_whole_request(self):
        """It may end so, as the rest of the request is not sent after it."""
        exchange, upstream = self.begin(status=404)
        upstream.shutdown(socket.SHUT_WR)
        self.assertEqual(self.read(exchange), b"part")
        self.assertFalse(exchange.is_cut())

    def test_end_after_the_whole_request(self):
        exchange, upstream = self.begin(upload=b"small")
        upstream.recv(100)
        upstream.close()
        self.assertEqual(self.read(exchange), b"part")
        self.assertFalse(exchange.is_cut())


if __name__ == "__main__":
    unittest.main()
