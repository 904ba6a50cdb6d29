"""Tests of event splitting and of relayed streams."""

import unittest

from fescueflow.gateway.streams import (
    EventSplitter,
    RelayTimes,
    StreamBody,
    record_times,
)
from tests.fakes import FakeClock


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


class WatchTimesTest(unittest.TestCase):
    """Guards against attributing the delay of a stream to the wrong side."""

    def test_waits_for_the_upstream_and_the_caller(self):
        clock, times = FakeClock(), RelayTimes()

        def iterate():
            for wait_s in (0.1, 0.4):
                clock.advance(wait_s)
                yield b"part"

        for _ in record_times(iterate(), times, clock):
            clock.advance(0.2)
        self.assertEqual(times.parts, 2)
        self.assertAlmostEqual(times.upstream_wait_s, 0.4)
        self.assertAlmostEqual(times.caller_wait_s, 0.2)


class StreamBodyTest(unittest.TestCase):
    """Guards against upstreams that keep working for callers that never read."""

    def test_close_without_reading(self):
        ended = []
        StreamBody(iter([b"a"]), lambda: ended.append(True)).close()
        self.assertEqual(ended, [True])


if __name__ == "__main__":
    unittest.main()
