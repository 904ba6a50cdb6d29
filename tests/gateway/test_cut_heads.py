"""Tests of answers whose connection ends before the end of their head."""

import contextlib
import socket
import time

from tests.gateway.fake_servers import make_event
from tests.gateway.gateway_case import GatewayTestCase

BODY = b"whole answer"
EVENTS = b"".join(make_event(number) for number in range(1, 4))
FRAMINGS = ("length", "chunks", "none")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"


def make_answer(handler, framing, body, status=200):
    """Return head and framed body of an answer."""
    lines = [f"HTTP/1.1 {status} OK", "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in handler.make_seal()]
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    if framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\nX-Trailer: 1\r\n\r\n" % (len(body), body)
    return "\r\n".join([*lines, "", ""]).encode(), body


class CutHeadTest(GatewayTestCase):
    """Guards against a cut answer that callers get as a short or empty whole one."""

    def cut(self, framing, size, body=BODY, end="close", before=b""):
        """Return a script that ends its answer after ``size`` bytes."""

        def script(handler):
            head, framed = make_answer(handler, framing, body)
            with contextlib.suppress(OSError):
                handler.wfile.write((before + head + framed)[:size])
            handler.close_connection = True
            if end == "reset":
                handler.reset_connection()
            elif end == "close":
                handler.connection.shutdown(socket.SHUT_WR)
            else:
                time.sleep(4.0)

        return script

    def measure(self, framing, body=BODY):
        """Return the sizes of the head and of the answer with ids of four digits."""
        handler = self.upstreams[0]
        handler.make_seal = lambda: [
            ("X-Attempt-Id", "a1"),
            ("X-Server-Seal", "u1.a1"),
        ]
        head, framed = make_answer(handler, framing, body)
        return len(head), len(head) + len(framed)

    def check_cut(self, script):
        """Check a request that may be repeated, one that may not, and a stream."""
        self.set_script(script, script)
        status = self.call("/safe/1")[0]
        self.assertEqual(status, 502)
        before = sum(self.count_arrivals())
        # Refusals would promise that the request did not run.
        status, _, body = self.call("/once/1")
        self.assertEqual((status, sum(self.count_arrivals()) - before), (502, 1), body)
        self.assertEqual(self.call("/stream/1")[0], 502)

    def test_each_byte_of_the_head(self):
        """The status line, header names and values, line ends, and the empty line."""
        for framing in FRAMINGS:
            head, _ = self.measure(framing)
            for size in range(head):
                with self.subTest(framing=framing, size=size):
                    end = "reset" if size % 3 == 2 else "close"
                    self.check_cut(self.cut(framing, size, end=end))

    def test_between_the_empty_line_and_the_end_of_the_body(self):
        for framing in ("length", "chunks"):
            head, whole = self.measure(framing)
            # The line end after the last chunk's trailers may be missing.
            last = whole - (len(b"X-Trailer: 1\r\n\r\n") if framing == "chunks" else 0)
            for size in range(head, last):
                with self.subTest(framing=framing, size=size):
                    self.set_script(*[self.cut(framing, size)] * 2)
                    self.assertEqual(self.call("/safe/1")[0], 502)
                    self.assertEqual(self.call("/once/1")[0], 502)

    def test_after_an_interim_answer(self):
        for size in range(0, len(INTERIM) + 30):
            with self.subTest(size=size):
                self.check_cut(self.cut("length", size, before=INTERIM))

    def test_other_upstream_answers_whole(self):
        for framing in FRAMINGS:
            head, _ = self.measure(framing)
            for size in (0, 5, 12, head // 2, head - 2, head - 1):
                for first in (0, 1):
                    scripts = [self.cut(framing, size), lambda h: h.send_sealed()]
                    self.set_script(scripts[first], scripts[1 - first])
                    status, _, body = self.call("/safe/1")
                    self.assertEqual((status, body), (200, b"answer"))

    def test_silence_inside_the_head(self):
        for framing in ("length", "none"):
            head, _ = self.measure(framing)
            for size in (12, head - 2):
                self.set_script(*[self.cut(framing, size, end="silence")] * 2)
                status, _, body = self.call("/once/1", headers={"X-Deadline-Ms": "700"})
                self.assertIn(status, (502, 504), body)
                self.assertNotIn(BODY, body)


if __name__ == "__main__":
    import unittest

    unittest.main()
