"""Reading of response heads that arrive in parts of any size."""

import http.client
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.http1 import HeadReader

HEAD = b"HTTP/1.1 200 OK\r\nX-One: 1\r\nContent-Length: 4\r\n\r\n"
LENGTHS = ("abc", "-1", "+4", "4_0", "4, 4", "4, 5", "0x4", "4.0", "", "9" * 30)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"


class HeadReaderTest(unittest.TestCase):
    """Guards against heads that are parsed wrongly or grow without limit."""

    @given(st.lists(st.integers(1, 40), min_size=1), st.integers(0, 2))
    def test_parts_of_any_size(self, sizes, interim_count):
        data, reader, response = (
            INTERIM * interim_count + HEAD + b"body",
            HeadReader(),
            None,
        )
        start = 0
        while response is None:
            size = sizes[start % len(sizes)]
            response = reader.feed(data[start : start + size])
            start += size
        self.assertEqual((response.status, response.length), (200, 4))
        self.assertEqual(response.getheader("X-One"), "1")
        self.assertTrue((reader.unused_data + data[start:]).endswith(b"body"))
        self.assertEqual(reader.unused_data + data[start:], b"body")

    def test_bytes_that_are_not_a_head(self):
        for data in (b"garbage", b"HTTQ", b"HTTP/1.1 abc\r\n\r\n", b"\r\n\r\n"):
            with self.assertRaises(http.client.HTTPException):
                HeadReader().feed(data)

    def check_refused(self, data):
        with self.subTest(data=data), self.assertRaises(http.client.HTTPException):
            HeadReader().feed(data)

    def test_statuses_that_http_does_not_have(self):
        """An upstream in trouble sent 000; 1000 passed for an interim response."""
        statuses = "000 99 1000 20 2000 +200 0200 2_00 600 999 101 abc 20x -20".split()
        for status in ("", " ", " 200", *statuses):
            self.check_refused(f"HTTP/1.1 {status} OK\r\n\r\n".encode())
            self.check_refused(f"HTTP/1.1 {status}\r\n\r\n".encode())
        for line in (b"HTTP/1.1", b"HTTP/1.1200 OK", b"HTTP/2.0 200 OK"):
            self.check_refused(line + b"\r\n\r\n")
        for status in (200, 204, 302, 404, 502, 599):
            for end in ("", " ", " Some reason"):
                line = f"HTTP/1.1 {status}{end}\r\n\r\n".encode()
                self.assertEqual(HeadReader().feed(line).status, status)

    def test_lengths_that_cannot_be_read(self):
        """Without them, the end of the connection would end the body, cut or not."""
        for fields in (
            *[f"Content-Length: {length}" for length in LENGTHS],
            "Content-Length: 4\r\nContent-Length: 5",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: identity",
            "Transfer-Encoding: identity\r\nContent-Length: 4, 5",
            "Transfer-Encoding: identity, chunked\r\nContent-Length: 4",
            "Transfer-Encoding: chunked\r\n \r\nContent-Length: 4",
            "Transfer-Encoding: gzip\r\nContent-Length: 4",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "no field\r\nContent-Length: 4",
            ": no name\r\nContent-Length: 4",
            "X-One: 1\rX-Two: 2",
        ):
            self.check_refused(f"HTTP/1.1 200 OK\r\n{fields}\r\n\r\n".encode())

    def test_lengths_that_can_be_read(self):
        for fields, length, is_chunked in (
            ("Content-Length: 4 ", 4, False),
            ("Content-Length: 4\r\nContent-Length: 4", 4, False),
            ("Transfer-Encoding: Chunked", None, True),
            ("Transfer-Encoding: chunked\r\nContent-Length: 4", None, True),
            ("Transfer-Encoding: chunked \t", None, True),
            ("Transfer-Encoding: identity\r\nContent-Length: 4", 4, False),
            ("Transfer-Encoding: Identity \r\nContent-Length: 4 ", 4, False),
            ("X-One: 1", None, False),
        ):
            head = f"HTTP/1.1 200 OK\r\n{fields}\r\n\r\n".encode()
            response = HeadReader().feed(head)
            self.assertEqual((response.length, response.chunked), (length, is_chunked))

    def test_codings_of_answers_without_a_body(self):
        """Nothing follows the head, whatever coding a body would have had."""
        for coding in ("chunked", "chunked ", "identity", "gzip, chunked", "gzip"):
            for status, method in ((204, "GET"), (304, "GET"), (200, "HEAD")):
                head = f"HTTP/1.1 {status} OK\r\nTransfer-Encoding: {coding}\r\n\r\n"
                response = HeadReader(method).feed(head.encode())
                self.assertEqual(response.length, 0)

    def test_spaces_at_line_ends(self):
        """They are no part of a value; a line of spaces does not end the head."""
        reader = HeadReader()
        response = reader.feed(
            b"HTTP/1.1 200 OK \r\nX-One: a \t\r\n \r\nX-Two: b\r\n\r\n"
        )
        self.assertEqual(response.getheader("X-Two"), "b")
        self.assertEqual(reader.unused_data, b"")

    def test_multipart_answer_with_a_length(self):
        """Its body is not parsed with the head, and its absence is no defect."""
        for kind in ("multipart/byteranges; boundary=x", "multipart/mixed"):
            fields = f"Content-Type: {kind}\r\nContent-Length: 4"
            head = f"HTTP/1.1 206 Partial Content\r\n{fields}\r\n\r\n".encode()
            self.assertEqual(HeadReader().feed(head).length, 4)
            for line in ("no field", ": no name", "From x"):
                bad = fields.replace("\r\n", f"\r\n{line}\r\n")
                self.check_refused(f"HTTP/1.1 206 OK\r\n{bad}\r\n\r\n".encode())
                # The first line of the headers.
                self.check_refused(
                    f"HTTP/1.1 206 OK\r\n {line}\r\n{fields}\r\n\r\n".encode()
                )

    def test_head_without_end(self):
        reader = HeadReader()
        reader.feed(b"HTTP/1.1 200 OK\r\n")
        with self.assertRaises(http.client.LineTooLong):
            for _ in range(100):
                reader.feed(b"X: " + b"y" * 1000 + b"\r\n")

    def test_interim_responses_without_end(self):
        reader = HeadReader()
        with self.assertRaises(http.client.LineTooLong):
            while True:
                self.assertIsNone(reader.feed(INTERIM))

    def test_long_body_after_the_head_does_not_count_as_head(self):
        reader = HeadReader()
        self.assertEqual(reader.feed(HEAD + b"x" * 100_000).status, 200)
        self.assertEqual(len(reader.unused_data), 100_000)


if __name__ == "__main__":
    unittest.main()
