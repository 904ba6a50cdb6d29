"""Reading of response heads that arrive in parts of any size."""

import http.client
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.http1 import HeadReader

HEAD = b"HTTP/1.1 200 OK\r\nX-One: 1\r\nContent-Length: 4\r\n\r\n"
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
