"""Tests of the answers whose upstreams were not seen alive since they began."""

import unittest

from fescueflow.routing import (
    SURVIVAL_S,
    BegunAnswer,
    UnprovenAnswers,
    make_crash_id,
)
from fescueflow.routing.survival import ANSWERS_MAX, UNPROVEN_AGE_MAX_S
from tests.routing.builders import make_upstream

UPSTREAM = make_upstream("u1")
NAME = make_crash_id(UPSTREAM)


def make_answer(begun_at, part="part"):
    return BegunAnswer(UPSTREAM, (part,), begun_at - 0.1, begun_at)


class UnprovenAnswersTest(unittest.TestCase):
    """Guards against parts cleared by an answer that its upstream did not survive."""

    def test_data_of_the_moment_of_the_write_proves_nothing(self):
        answers = UnprovenAnswers()
        answers.add(make_answer(10.0, "early"))
        answers.add(make_answer(10.0 + SURVIVAL_S, "late"))
        seen_at = 10.0 + 1.5 * SURVIVAL_S
        self.assertFalse(answers.has_proven(NAME, 10.0 + SURVIVAL_S / 2))
        self.assertTrue(answers.has_proven(NAME, seen_at))
        proven = answers.take_proven(NAME, seen_at)
        self.assertEqual([answer.parts for answer in proven], [("early",)])
        left = answers.take_all(NAME, seen_at)
        self.assertEqual([answer.parts for answer in left], [("late",)])
        self.assertFalse(answers.has_answers(NAME))

    def test_bounds(self):
        answers = UnprovenAnswers()
        for number in range(3 * ANSWERS_MAX):
            answers.add(make_answer(10.0, f"part{number}"))
        self.assertEqual(len(answers), ANSWERS_MAX)
        late = 10.0 + UNPROVEN_AGE_MAX_S + 1.0
        self.assertEqual(len(answers.take_expired(late)), ANSWERS_MAX)
        self.assertEqual((len(answers), answers.has_answers(NAME)), (0, False))


if __name__ == "__main__":
    unittest.main()
