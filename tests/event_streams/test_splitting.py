"""Tests of the splitting of event streams."""

import unittest

from hypothesis import given, strategies

from fescueflow.event_streams import EventSplitter, StreamCut

LINE_ENDS = (b"\n", b"\r\n", b"\r")


class EventSplitterTest(unittest.TestCase):
    """Guards against relaying incomplete events of an upstream that stops."""

    def test_events_in_parts_of_any_size(self):
        stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
        for size in (1, 3, 7, len(stream)):
            splitter = EventSplitter()
            parts = [stream[n : n + size] for n in range(0, len(stream), size)]
            events = b"".join(splitter.feed(part) for part in parts)
            self.assertEqual(events, stream[:30])
            self.assertEqual(splitter.last_id, "2")
            self.assertEqual(splitter.take_remainder(), b"id: 3\nda")

    def test_crlf_line_ends(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 7\r\ndata: a\r\n\r\n")[:5], b"id: 7")
        self.assertEqual(splitter.last_id, "7")

    def test_any_line_end_in_parts_of_any_size(self):
        """Guards against streams that are held until their end."""
        for line_end in LINE_ENDS:
            stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n".replace(b"\n", line_end)
            for size in range(1, len(stream) + 1):
                with self.subTest(line_end=line_end, size=size):
                    splitter = EventSplitter()
                    parts = split(stream, size)
                    self.assertEqual(b"".join(map(splitter.feed, parts)), stream)
                    self.assertEqual((splitter.event_count, splitter.last_id), (2, "2"))
                    self.assertEqual(splitter.take_remainder(), b"")

    def test_event_that_lacks_a_byte(self):
        """Guards against a blank line that is taken for whole in the middle of CRLF."""
        for line_end in LINE_ENDS:
            first, second = (
                b"id: %d\ndata: a\n\n".replace(b"\n", line_end) % n for n in (1, 2)
            )
            for size in range(1, len(second)):
                with self.subTest(line_end=line_end, size=size):
                    splitter = EventSplitter()
                    found = splitter.feed(first + second[:size])
                    self.assertEqual(found, first)
                    self.assertEqual(splitter.take_remainder(), second[:size])

    def test_cut_after_an_unknown_field(self):
        """Guards against events that are not known as such by their first line."""
        splitter = EventSplitter()
        for part in (b"x: 1\n\n", b"data: a\n\n", b"data: b"):
            splitter.feed(part)
        self.assertIs(splitter.find_cut(), StreamCut.INSIDE_EVENT)

    def test_cut_after_blank_lines(self):
        """Guards against a first event that is not known as one."""
        splitter = EventSplitter()
        splitter.feed(b"\n\n")
        splitter.feed(b"id: 1\nda")
        self.assertIs(splitter.find_cut(), StreamCut.INSIDE_EVENT)

    def test_text_after_which_a_name_could_follow(self):
        """Guards against a whole text that is taken for a cut stream."""
        splitter = EventSplitter()
        splitter.feed(b"one\n\n")
        splitter.feed(b"i")
        self.assertIsNone(splitter.find_cut())

    def test_lines_that_end_differently(self):
        splitter = EventSplitter()
        self.assertEqual(
            splitter.feed(b"id: 1\n\rid: 2\r\r\nid: 3"), b"id: 1\n\rid: 2\r\r\n"
        )
        self.assertEqual(splitter.last_id, "2")

    @given(
        strategies.lists(
            strategies.sampled_from([b"\r", b"\n", b"\r\n", b"id: 7", b"data: a", b":"])
        ),
        strategies.integers(1, 9),
    )
    def test_bytes_are_kept(self, pieces, size):
        """Guards against bytes that are lost or changed on the way to the caller."""
        stream = b"".join(pieces)
        splitter = EventSplitter()
        found = b"".join(splitter.feed(part) for part in split(stream, size))
        self.assertEqual(found + splitter.take_remainder(), stream)


def split(stream, size):
    """Return the stream in parts of a size."""
    return [stream[n : n + size] for n in range(0, len(stream), size)]


if __name__ == "__main__":
    unittest.main()
