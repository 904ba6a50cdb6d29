"""Tests of upstream responses whose connection ends before the end of the head."""

import socket
import unittest

from fescueflow.core import SystemClock
from fescueflow.delivery.exchange import AttemptFailed, UpstreamExchange

# Status, header fields after the request's id, and body.
RESPONSES = (
    (b"200 OK", b"Content-Length: 12\r\nX-Last: 1", b"whole answer"),
    (b"200 OK", b"Content-Length: 0\r\nX-Last: 1", b""),
    (b"200 OK", b"Transfer-Encoding: chunked", b"1\r\na\r\n0\r\n\r\n"),
    (b"204 No Content", b"X-Last: 1", b""),
    (b"503 Refused", b"Content-Length: 0", b""),
)


def exchange_with(data):
    """Return an exchange whose upstream sends data and closes the connection."""
    here, there = socket.socketpair()
    clock = SystemClock()
    exchange = UpstreamExchange(
        connection=here,
        address="127.0.0.1:1",
        clock=clock,
        deadline=clock.monotonic() + 10.0,
        read_timeout_s=5.0,
    )
    exchange.prepare(method="POST", target="/1", headers=[], body=b"", key="key-1")
    exchange.transmit()
    there.recv(65536)
    there.sendall(data)
    there.close()
    return exchange


class CutHeadTest(unittest.TestCase):
    """Guards against a cut head that counts as a whole response or a refusal."""

    def test_each_byte_of_the_head(self):
        for status, fields, _ in RESPONSES:
            head = b"HTTP/1.1 %s\r\nX-Request-Id: key-1\r\n%s\r\n\r\n" % (
                status,
                fields,
            )
            for size in range(len(head)):
                with self.subTest(status=status, size=size):
                    exchange = exchange_with(head[:size])
                    self.addCleanup(exchange.close)
                    with self.assertRaises(AttemptFailed) as caught:
                        exchange.read_head()
                    self.assertTrue(caught.exception.sent)
                    self.assertNotEqual(caught.exception.reason.value, "refused")


if __name__ == "__main__":
    unittest.main()
