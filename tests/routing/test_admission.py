"""Tests of admission control by predicted latency."""

import unittest

from fescueflow.routing import Prompt, decide_admission, rank_placements, select_in_time
from tests.routing.builders import make_candidate


def place(running, slots=6, hold_ms=40.0, own_tokens=500, name="u1"):
    """Return a placement at an upstream with the given load."""
    candidate = make_candidate(name, running=running, slots=slots)
    prompt = Prompt(own_tokens=own_tokens)
    return rank_placements([candidate], prompt, frozenset(), 2.0, hold_ms=hold_ms)[0]


class DecideAdmissionTest(unittest.TestCase):
    """Guards against requests that wait for an answer after their deadline."""

    def test_free_slot(self):
        self.assertTrue(decide_admission([place(5)], 100.0, 40.0).is_admitted)

    def test_answer_after_the_deadline_is_refused_at_once(self):
        # 36 requests ahead, six slots held for 40 ms each: 240 ms before the answer.
        decision = decide_admission([place(41)], 200.0, 40.0)
        self.assertFalse(decision.is_admitted)
        self.assertGreater(decision.prediction.wait_ms, 200.0)

    def test_one_upstream_in_time_is_enough(self):
        decision = decide_admission([place(41), place(2)], 200.0, 40.0)
        self.assertTrue(decision.is_admitted)

    def test_holder_with_a_queue_leaves_the_request_to_another(self):
        # The first placement is the cache holder; its queue takes 240 ms.
        queued, free = place(41, name="u1"), place(2, name="u2")
        self.assertFalse(decide_admission([queued], 200.0, 40.0).is_admitted)
        found = select_in_time([queued, free], 200.0, 40.0)
        self.assertEqual([p.candidate.upstream.id for p in found], ["u2"])
        self.assertEqual(select_in_time([queued], 200.0, 40.0), [])

    def test_retry_delay_grows_with_the_backlog(self):
        times = [
            decide_admission([place(n)], 200.0, 40.0).retry_after_s for n in (90, 200)
        ]
        self.assertLess(times[0], times[1])


def replay_surge(decide, seconds=4.0, rate=3.0, patience_ms=1000.0, hold_ms=40.0):
    """Return the numbers of requests served in time and late in a simulated surge.

    Notes
    -----
    By default, for four seconds, the load is three times the capacity of one upstream
    with six slots, and callers wait for one second.
    """
    slots, in_time, late = 6, 0, 0
    free_at = [0.0] * slots
    step_ms = hold_ms / slots / rate
    for number in range(int(seconds * 1000 / step_ms)):
        now = number * step_ms
        running = sum(max(0.0, at - now) for at in free_at) / hold_ms
        if not decide(running, patience_ms, hold_ms):
            continue
        first = free_at.index(min(free_at))
        free_at[first] = max(now, free_at[first]) + hold_ms
        if free_at[first] - now <= patience_ms:
            in_time += 1
        else:
            late += 1
    return in_time, late


def decide_by_prediction(running, patience_ms, hold_ms):
    """Return whether ``decide_admission`` admits the request."""
    return decide_admission(
        [place(int(running), hold_ms=hold_ms)], patience_ms, hold_ms
    ).is_admitted


class ReplayTest(unittest.TestCase):
    """Guards against admission that does no better in a surge than none at all."""

    def test_no_request_is_served_late(self):
        by_prediction = replay_surge(decide_by_prediction)
        admit_all = replay_surge(lambda *_: True)
        self.assertEqual(by_prediction[1], 0)
        self.assertGreater(by_prediction[0], 1.5 * admit_all[0])
        self.assertGreater(admit_all[1], admit_all[0])


if __name__ == "__main__":
    unittest.main()
