"""Tests of relayed streams."""

import unittest

from fescueflow.gateway.streams import (
    RelayTimes,
    StreamBody,
    record_times,
)
from tests.fakes import FakeClock


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
