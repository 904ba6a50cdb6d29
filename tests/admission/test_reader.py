"""Load reports over persistent connections."""

import socket
import unittest

from fescueflow.admission import HttpLoadReader
from fescueflow.core import ListState, PlatformUnavailable, SystemClock
from fescueflow.platform import ListedUpstream
from fescueflow.transport import SystemNetwork
from tests.standins.faulty_network import LinkFaults, wrap_connection
from tests.standins.server import StandinServer

REPORT = {"incarnation": "1", "in_flight": 3, "warm": True, "age_ms": 0, "events": []}
TIMEOUT_S = 0.3


class Engine(StandinServer):
    """Responds with a fixed report; ``cut`` truncates the body."""

    cut = False

    def handle(self, exchange):
        if self.cut:
            exchange.send(200, b'{"incarnation": "1"', length=100)
            exchange.drop()
            return
        exchange.send_json(200, REPORT)


class CountingNetwork(SystemNetwork):
    """Counts connections and applies ``faults`` to them."""

    def __init__(self):
        self.opened = 0
        self.faults = LinkFaults("127.0.0.1")

    def connect(self, address, timeout_s):
        self.opened += 1
        host, port = address.split(":")
        connection = super().connect(address, timeout_s)
        return wrap_connection(connection, self.faults, host, int(port))


class TestHttpLoadReader(unittest.TestCase):
    def setUp(self):
        self.engine = Engine().start()
        self.addCleanup(self.engine.stop)
        self.network = CountingNetwork()
        self.reader = HttpLoadReader(
            network=self.network, clock=SystemClock(), timeout_s=TIMEOUT_S
        )
        self.addCleanup(self.reader.close)
        self.upstream = ListedUpstream(
            "u", "g", "z", "r", self.engine.address, ListState.LIVE
        )

    def read(self):
        return self.reader.read(self.upstream, 0).in_flight

    def test_reports_share_a_connection(self):
        """Guards against a new connection for each report of each engine."""
        self.assertEqual([self.read() for _ in range(5)], [3] * 5)
        self.assertEqual(self.network.opened, 1)

    def test_silent_or_closed_connection_is_replaced_at_once(self):
        """Guards against a dead connection that makes an engine seem gone."""
        self.read()
        self.network.faults.silence("127.0.0.1")
        asked_at = SystemClock().monotonic()
        report = self.reader.read(self.upstream, 0)
        self.assertEqual(report.in_flight, 3)
        # The report is dated by the repeated request, not by the unanswered one.
        self.assertGreaterEqual(report.taken_at, asked_at + 0.9 * TIMEOUT_S)
        self.engine.stop_listening()
        self.engine.start()
        self.assertEqual(self.read(), 3)

    def test_truncated_body_is_rejected_and_its_connection_closed(self):
        """Guards against leftover bytes being read as the next response."""
        self.engine.cut = True
        with self.assertRaises(PlatformUnavailable):
            self.read()
        self.engine.cut = False
        self.assertEqual(self.read(), 3)
        self.assertEqual(self.network.opened, 2)

    def test_unsolicited_response_is_not_used_as_a_report(self):
        """Guards against an unsolicited response that counts as a newer report."""
        self.read()
        with self.engine._server.lock:
            (connection,) = self.engine._server.connections
        body = b'{"incarnation": "1", "in_flight": 0, "warm": true, "age_ms": 0}'
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        self.assertEqual(self.read(), 3)
        self.assertEqual(self.network.opened, 2)

    def test_refused_connection_raises_platform_unavailable(self):
        """Guards against a socket error that reaches the caller as it is."""
        with socket.create_server(("127.0.0.1", 0)) as unused:
            address = f"127.0.0.1:{unused.getsockname()[1]}"
        upstream = ListedUpstream("u", "g", "z", "r", address, ListState.LIVE)
        with self.assertRaises(PlatformUnavailable):
            self.reader.read(upstream, 0)


if __name__ == "__main__":
    unittest.main()
