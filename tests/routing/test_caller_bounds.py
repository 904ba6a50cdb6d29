"""Tests of which callers are outside the limits and who gives way."""

import unittest

from fescueflow.routing import (
    CallerBound,
    CallerProgress,
    Hold,
    choose_yielding,
    find_breach,
)

NOW = 100.0


class FindBreachTest(unittest.TestCase):
    """Guards against bounds that callers on slow links meet, and against none."""

    def check(self, expected, head_s=3.0, **progress):
        self.assertIs(find_breach(CallerProgress(**progress), head_s, NOW), expected)

    def test_unused_connection(self):
        self.check(None)

    def test_head(self):
        self.check(None, head_since=NOW - 3.9)
        self.check(CallerBound.HEAD_TIME, head_since=NOW - 4.1)

    def test_head_without_a_configured_time(self):
        self.check(None, head_s=None, head_since=NOW - 10.9)
        self.check(CallerBound.HEAD_TIME, head_s=None, head_since=NOW - 11.1)

    def test_body_after_a_pause_of_seconds(self):
        self.check(None, body_since=NOW - 19.0)
        self.check(CallerBound.BODY_PROGRESS, body_since=NOW - 20.1)

    def test_answer(self):
        self.check(None, answer_since=NOW - 29.0)
        self.check(CallerBound.ANSWER_PROGRESS, answer_since=NOW - 30.1)


class ChooseYieldingTest(unittest.TestCase):
    """Guards against small or steady requests that give way to large stalled ones."""

    def test_most_bytes_for_longest_first(self):
        holds = [
            Hold("small", 1000, NOW - 10),
            Hold("steady", 4_000_000, NOW),
            Hold("stalled", 4_000_000, NOW - 1),
        ]
        self.assertEqual(choose_yielding(holds, 1, NOW), ["stalled"])
        self.assertEqual(choose_yielding(holds, 4_000_001, NOW), ["stalled", "steady"])

    def test_no_more_than_needed(self):
        holds = [Hold(number, 1000, NOW) for number in range(10)]
        self.assertEqual(len(choose_yielding(holds, 2500, NOW)), 3)
        self.assertEqual(choose_yielding(holds, 0, NOW), [])

    def test_nobody_holds_anything(self):
        self.assertEqual(choose_yielding([Hold("idle", 0, NOW - 50)], 10, NOW), [])


if __name__ == "__main__":
    unittest.main()
