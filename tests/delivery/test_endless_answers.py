"""Answers without end on the product's own interface, which hold their reader."""

import socket
import threading
import time
import unittest

from fescueflow.admission import HttpLoadReader
from fescueflow.core import ListState, PlatformUnavailable, SystemClock
from fescueflow.delivery.exchange import AttemptFailed, FailureReason, UpstreamExchange
from fescueflow.platform import ListedUpstream
from fescueflow.transport import SystemNetwork

LIMIT_S = 0.4
# Generous bound for what ends at the limit.
WAIT_S = 8.0
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def flood(connection, data, pause_s):
    """Send data again and again until the other side closes."""
    try:
        while True:
            connection.sendall(data)
            time.sleep(pause_s)
    except OSError:
        connection.close()


class ExchangeTest(unittest.TestCase):
    """Guards against a head without end that outlasts the deadline."""

    def read_head(self, start, data, pause_s):
        """Return the reason for which the head was given up."""
        ours, upstream = socket.socketpair()
        self.addCleanup(upstream.close)
        clock = SystemClock()
        exchange = UpstreamExchange(
            connection=ours,
            address="127.0.0.1:1",
            clock=clock,
            deadline=clock.monotonic() + LIMIT_S,
            read_timeout_s=LIMIT_S,
        )
        self.addCleanup(exchange.close)
        upstream.sendall(start)
        threading.Thread(
            target=flood, args=(upstream, data, pause_s), daemon=True
        ).start()
        failed = []

        def read():
            try:
                exchange.read_head()
            except AttemptFailed as error:
                failed.append(error.reason)

        reader = threading.Thread(target=read, daemon=True)
        reader.start()
        reader.join(WAIT_S)
        return failed

    def test_slow_head(self):
        failed = self.read_head(b"HTTP/1.1 200 OK\r\nX-Long: ", b"x", 0.02)
        self.assertEqual(failed, [FailureReason.DEADLINE])

    def test_interim_responses(self):
        failed = self.read_head(b"", INTERIM * 100, 0.0)
        self.assertEqual(failed, [FailureReason.DEADLINE])


class LoadReportTest(unittest.TestCase):
    """Guards against an engine whose report keeps all others from being read."""

    def test_slow_report(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve():
            while True:
                try:
                    connection, _ = listener.accept()
                except OSError:
                    return
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n")
                flood(connection, b" ", 0.02)

        threading.Thread(target=serve, daemon=True).start()
        reader = HttpLoadReader(
            network=SystemNetwork(), clock=SystemClock(), timeout_s=LIMIT_S
        )
        self.addCleanup(reader.close)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        upstream = ListedUpstream("u", "g", "z", "r", address, ListState.LIVE)
        began = time.monotonic()
        with self.assertRaises(PlatformUnavailable):
            reader.read(upstream, 0)
        self.assertLess(time.monotonic() - began, WAIT_S)


if __name__ == "__main__":
    unittest.main()
