"""Guards against chunked bodies with lost bytes or undetected framing errors."""

import http.client
import unittest

from hypothesis import given, strategies

from fescueflow.http1.chunks import SIZE_LINE_BYTES_MAX, ChunkDecoder

END = b"0\r\n\r\n"


def format_chunks(contents, extension=b""):
    chunks = (b"%X%b\r\n%b\r\n" % (len(c), extension, c) for c in contents)
    return b"".join(chunks) + END


def split(data, size):
    return [data[i : i + size] for i in range(0, len(data), size)]


def decode_chunks(parts):
    """Yield the content of each part; raise an error if the body ends early."""
    decoder = ChunkDecoder()
    for part in parts:
        yield decoder.decode(part)
        if decoder.finished:
            return
    raise http.client.IncompleteRead(b"")


class ChunkTest(unittest.TestCase):
    @given(
        strategies.lists(strategies.binary(min_size=1, max_size=40)),
        strategies.integers(1, 50),
        strategies.sampled_from([b"", b" ", b';name="v"']),
    )
    def test_parts_do_not_matter(self, contents, size, extension):
        """Guards against content that depends on how the network splits the body."""
        parts = split(format_chunks(contents, extension), size)
        self.assertEqual(b"".join(decode_chunks(parts)), b"".join(contents))

    @given(
        strategies.lists(strategies.binary(min_size=1, max_size=40)),
        strategies.integers(1, 50),
        strategies.data(),
    )
    def test_body_that_ends_early_is_an_error(self, contents, size, data):
        """Guards against a truncated body that is accepted as complete."""
        body = format_chunks(contents)
        # The body is complete after the size line of the last chunk.
        length = data.draw(strategies.integers(0, len(body) - 3))
        received = b""
        with self.assertRaises(http.client.IncompleteRead):
            for content in decode_chunks(split(body[:length], size)):
                received += content
        self.assertTrue(b"".join(contents).startswith(received))

    def test_content_is_returned_before_its_chunk_is_complete(self):
        """Guards against a stream that is delayed until a whole chunk arrives."""
        chunks = decode_chunks(iter([b"100\r\nfirst", b"second"]))
        self.assertEqual([next(chunks), next(chunks)], [b"first", b"second"])

    def test_malformed_framing_is_an_error(self):
        """Guards against framing bytes that are returned as content."""
        malformed = [
            b"\r\n",
            b"-1\r\n\r\n",
            b"0x1\r\na\r\n",
            b"+1\r\na\r\n",
            b"1_0\r\n",
            b"g\r\n",
            b"1" * 17 + b"\r\n",
            b"1\r\nabc\r\n",
            b"1" * (SIZE_LINE_BYTES_MAX + 1),
        ]
        for body in malformed:
            for size in (1, len(body)):
                with self.subTest(body[:20], size=size):
                    with self.assertRaises(http.client.HTTPException):
                        list(decode_chunks(split(body + END, size)))


if __name__ == "__main__":
    unittest.main()
