"""Whole events of a stream."""

import unittest

from fescueflow.gateway.streams import EventSplitter, StreamBody


class EventSplitterTest(unittest.TestCase):
    """Guards against half events of an upstream that stops in the middle."""

    def test_events_in_parts_of_any_size(self):
        stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
        for size in (1, 3, 7, len(stream)):
            splitter = EventSplitter()
            parts = [stream[n : n + size] for n in range(0, len(stream), size)]
            whole = b"".join(splitter.add(part) for part in parts)
            self.assertEqual(whole, stream[:30])
            self.assertEqual(splitter.last_id, "2")
            self.assertEqual(splitter.take_rest(), b"id: 3\nda")

    def test_line_ends_of_two_bytes(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.add(b"id: 7\r\ndata: a\r\n\r\n")[:5], b"id: 7")
        self.assertEqual(splitter.last_id, "7")


class StreamBodyTest(unittest.TestCase):
    """Guards against upstreams that work on for callers that never read."""

    def test_close_without_reading(self):
        ended = []
        StreamBody(iter([b"a"]), lambda: ended.append(True)).close()
        self.assertEqual(ended, [True])


if __name__ == "__main__":
    unittest.main()
