"""Responses of engines, received in fragments of any size."""

import socket
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.admission.responses import MalformedResponse, read_response

LENGTH = b"HTTP/1.1 200 OK\r\nServer: x\r\ncontent-LENGTH: 4\r\n\r\nbody"
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS += b"2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nTrailer: x\r\n\r\n"


class FakeConnection:
    """Connection that delivers the given fragments and then closes."""

    def __init__(self, *parts):
        self.parts = list(parts)

    def recv(self, size):
        return self.parts.pop(0) if self.parts else b""


def read(data, body_max=100):
    response = read_response(FakeConnection(data), body_max)
    return response.status, response.body, response.reusable


class TestReadResponse(unittest.TestCase):
    @given(st.sampled_from([LENGTH, CHUNKS]), st.sets(st.integers(1, 100), max_size=8))
    def test_fragmented_response_is_read(self, data, cuts):
        """Guards against a reader that needs the response in one fragment."""
        edges = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
        parts = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
        response = read_response(FakeConnection(*parts), 100)
        self.assertEqual((response.body, response.reusable), (b"body", True))

    @given(st.sampled_from([LENGTH, CHUNKS]), st.data())
    def test_truncated_response_is_an_error(self, data, draw):
        """Guards against a report parsed from a truncated response."""
        cut = draw.draw(st.integers(0, len(data) - 1))
        with self.assertRaises((ConnectionError, MalformedResponse)):
            read_response(FakeConnection(*[data[:cut]] if cut else []), 100)

    def test_connection_is_reusable_only_after_a_complete_response_that_allows_it(self):
        """Guards against leftover bytes being read as the next response."""
        close = LENGTH.replace(b"Server: x", b"Connection: Close")
        self.assertEqual(read(close), (200, b"body", False))
        self.assertEqual(read(LENGTH + b"x"), (200, b"body", False))
        self.assertFalse(read(LENGTH.replace(b"1.1", b"1.0"))[2])
        self.assertEqual(read(b"HTTP/1.1 200 OK\r\n\r\nbody"), (200, b"body", False))
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" + LENGTH
        self.assertEqual(read(interim), (200, b"body", True))
        self.assertEqual(read(b"HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n")[0], 503)

    def test_malformed_responses_are_rejected(self):
        """Guards against lengths that two parsers interpret differently."""
        head = b"HTTP/1.1 200 OK\r\n"
        for data in (
            b"SSH-2.0-x\r\n\r\n",
            head + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx",
            head + b"Content-Length: -4\r\n\r\nbody",
            head + b"Content-Length: 1_0\r\n\r\n" + b"x" * 10,
            head + b"Content-Length : 4\r\n\r\nbody",
            head + b"Transfer-Encoding: gzip\r\n\r\nbody",
            head + b"Transfer-Encoding: chunked\r\n\r\n2\r\nbody0\r\n\r\n",
            head + b"Content-Length: 101\r\n\r\n" + b"x" * 101,
            head + b"X: " + b"x" * 20_000,
        ):
            with self.subTest(data=data[:80]), self.assertRaises(MalformedResponse):
                read_response(FakeConnection(data), 100)

    def test_silent_connection_times_out(self):
        """Guards against a reader that waits forever for the rest of a response."""
        one, other = socket.socketpair()
        with one, other:
            one.settimeout(0.01)
            other.sendall(LENGTH[:20])
            with self.assertRaises(TimeoutError):
                read_response(one, 100)


if __name__ == "__main__":
    unittest.main()
