"""Guards against endless responses that block their reader.

An upstream or an engine keeps sending bytes, so that no single read times out.
"""

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
# Upper bound of the time in which a read must end after ``LIMIT_S``.
WAIT_S = 8.0
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def send_repeatedly(connection, data, pause_s):
    """Send data repeatedly until the other side closes."""
    try:
        while True:
            connection.sendall(data)
            time.sleep(pause_s)
    except OSError:
        connection.close()


class ExchangeTest(unittest.TestCase):
    """Guards against an endless head that is read beyond the deadline."""

    def read_head(self, start, data, pause_s):
        """Return the reasons for which reading the head failed."""
        client_socket, upstream_socket = socket.socketpair()
        self.addCleanup(upstream_socket.close)
        clock = SystemClock()
        exchange = UpstreamExchange(
            connection=client_socket,
            address="127.0.0.1:1",
            clock=clock,
            deadline=clock.monotonic() + LIMIT_S,
            read_timeout_s=LIMIT_S,
        )
        self.addCleanup(exchange.close)
        upstream_socket.sendall(start)
        threading.Thread(
            target=send_repeatedly, args=(upstream_socket, data, pause_s), daemon=True
        ).start()
        failure_reasons = []

        def read():
            try:
                exchange.read_head()
            except AttemptFailed as error:
                failure_reasons.append(error.reason)

        reader = threading.Thread(target=read, daemon=True)
        reader.start()
        reader.join(WAIT_S)
        return failure_reasons

    def test_slow_head(self):
        failure_reasons = self.read_head(b"HTTP/1.1 200 OK\r\nX-Long: ", b"x", 0.02)
        self.assertEqual(failure_reasons, [FailureReason.DEADLINE])

    def test_interim_responses(self):
        failure_reasons = self.read_head(b"", INTERIM * 100, 0.0)
        self.assertEqual(failure_reasons, [FailureReason.DEADLINE])


class LoadReportTest(unittest.TestCase):
    """Guards against an endless load report that delays those of other engines."""

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
                send_repeatedly(connection, b" ", 0.02)

        threading.Thread(target=serve, daemon=True).start()
        reader = HttpLoadReader(
            network=SystemNetwork(), clock=SystemClock(), timeout_s=LIMIT_S
        )
        self.addCleanup(reader.close)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        upstream = ListedUpstream("u", "g", "z", "r", address, ListState.LIVE)
        started_at = time.monotonic()
        with self.assertRaises(PlatformUnavailable):
            reader.read(upstream, 0)
        self.assertLess(time.monotonic() - started_at, WAIT_S)


if __name__ == "__main__":
    unittest.main()
