"""Answers of engines whose bytes arrive in any parts."""

import socket
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.admission.answers import MalformedAnswer, read_answer

LENGTH = b"HTTP/1.1 200 OK\r\nServer: x\r\ncontent-LENGTH: 4\r\n\r\nbody"
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS += b"2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nTrailer: x\r\n\r\n"


class Parts:
    """Connection that delivers given parts and then its end."""

    def __init__(self, *parts):
        self.parts = list(parts)

    def recv(self, size):
        return self.parts.pop(0) if self.parts else b""


def read(data, body_max=100):
    answer = read_answer(Parts(data), body_max)
    return answer.status, answer.body, answer.reusable


class TestReadAnswer(unittest.TestCase):
    @given(st.sampled_from([LENGTH, CHUNKS]), st.sets(st.integers(1, 100), max_size=8))
    def test_parts_do_not_matter(self, data, cuts):
        """Guards against an answer that is only read when it comes in one part."""
        edges = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
        parts = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
        answer = read_answer(Parts(*parts), 100)
        self.assertEqual((answer.body, answer.reusable), (b"body", True))

    @given(st.sampled_from([LENGTH, CHUNKS]), st.data())
    def test_cut_answer_is_an_error(self, data, draw):
        """Guards against a report made of half an answer."""
        cut = draw.draw(st.integers(0, len(data) - 1))
        with self.assertRaises((ConnectionError, MalformedAnswer)):
            read_answer(Parts(*[data[:cut]] if cut else []), 100)

    def test_connection_is_kept_only_after_a_complete_answer_that_allows_it(self):
        """Guards against the rest of one answer being read as the next one."""
        close = LENGTH.replace(b"Server: x", b"Connection: Close")
        self.assertEqual(read(close), (200, b"body", False))
        self.assertEqual(read(LENGTH + b"x"), (200, b"body", False))
        self.assertFalse(read(LENGTH.replace(b"1.1", b"1.0"))[2])
        self.assertEqual(read(b"HTTP/1.1 200 OK\r\n\r\nbody"), (200, b"body", False))
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" + LENGTH
        self.assertEqual(read(interim), (200, b"body", True))
        self.assertEqual(read(b"HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n")[0], 503)

    def test_malformed_answers(self):
        """Guards against lengths that two readers would understand differently."""
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
            with self.subTest(data=data[:80]), self.assertRaises(MalformedAnswer):
                read_answer(Parts(data), 100)

    def test_silent_connection_times_out(self):
        """Guards against a reader that waits for ever for the rest."""
        one, other = socket.socketpair()
        with one, other:
            one.settimeout(0.01)
            other.sendall(LENGTH[:20])
            with self.assertRaises(TimeoutError):
                read_answer(one, 100)


if __name__ == "__main__":
    unittest.main()
