"""Tests of who is served when all upstreams of a service are at their limits."""

import random
import unittest

from fescueflow.routing import ReturnSlots, TokenSupply
from tests.routing.builders import BOOKINGS, ENGINES

URGENT, NORMAL = 0, 5
SUPPLY = TokenSupply(whole=1, depth=6, rate=2.0, next_s=0.0)
EMPTY = TokenSupply(whole=0, depth=6, rate=2.0, next_s=0.3)


class ReturnTest(unittest.TestCase):
    """Guards against rejected callers that all come back at once, or out of order."""

    def take(self, slots, count, priority=NORMAL, supply=EMPTY, now=0.0):
        return [slots.take_slot(ENGINES, priority, supply, now) for _ in range(count)]

    def test_each_gets_the_next_slot(self):
        delays = self.take(ReturnSlots(), 5)
        for delay, expected in zip(delays, (0.3, 0.8, 1.3, 1.8, 2.3), strict=True):
            self.assertAlmostEqual(delay, expected)

    def test_later_callers_come_back_later(self):
        slots, rng, now, last = ReturnSlots(), random.Random(1), 0.0, 0.0
        for _ in range(200):
            now += rng.expovariate(5.0)
            back_at = now + slots.take_slot(ENGINES, NORMAL, EMPTY, now)
            self.assertGreaterEqual(back_at, last - 1e-9)
            last = back_at

    def test_longest_delay(self):
        self.assertEqual(max(self.take(ReturnSlots(), 100)), 3.0)

    def test_slots_of_the_past_are_gone(self):
        slots = ReturnSlots()
        self.take(slots, 100)
        self.assertAlmostEqual(self.take(slots, 1, now=60.0)[0], 0.3)

    def test_slot_of_a_rate_that_has_risen(self):
        for rate in (0.0, 0.03):
            with self.subTest(rate=rate):
                slots = ReturnSlots()
                self.take(slots, 1, supply=TokenSupply(0, 0, rate, 0.0))
                self.take(slots, 1, now=1.0)
                self.assertAlmostEqual(self.take(slots, 1, now=5.0)[0], 0.3)

    def test_urgent_callers_do_not_queue_behind_others(self):
        slots = ReturnSlots()
        self.take(slots, 100)
        self.assertAlmostEqual(self.take(slots, 1, URGENT)[0], 0.3)

    def test_rate_of_nothing(self):
        supply = TokenSupply(0, 0, 0.0, float("inf"))
        self.assertEqual(self.take(ReturnSlots(), 2, supply=supply), [3.0, 3.0])


class ReserveTest(unittest.TestCase):
    """Guards against urgent requests that find the tokens taken by others."""

    def ask(self, slots, priority, supply, now, service=ENGINES):
        slots.record_request(service, priority, now)
        if slots.is_admitted(service, priority, supply, now):
            slots.record_taken(service, priority)
            return True
        slots.take_slot(service, priority, supply, now)
        return False

    def test_no_token_for_anyone(self):
        self.assertFalse(self.ask(ReturnSlots(), URGENT, EMPTY, 0.0))

    def test_without_urgent_requests_nothing_is_kept(self):
        slots = ReturnSlots()
        for step in range(20):
            self.assertTrue(self.ask(slots, NORMAL, SUPPLY, step / 10))

    def test_last_token_is_kept_for_urgent_requests(self):
        slots = ReturnSlots()
        for step in range(20):
            self.assertTrue(self.ask(slots, URGENT, SUPPLY, step / 10))
        self.assertFalse(self.ask(slots, NORMAL, SUPPLY, 2.0))
        more = TokenSupply(whole=4, depth=6, rate=2.0, next_s=0.0)
        self.assertTrue(self.ask(slots, NORMAL, more, 2.0))

    def test_urgent_requests_of_another_service(self):
        slots = ReturnSlots()
        for step in range(20):
            self.ask(slots, URGENT, SUPPLY, step / 10, BOOKINGS)
        self.assertTrue(self.ask(slots, NORMAL, SUPPLY, 2.0))

    def test_no_class_waits_for_ever(self):
        slots, served = ReturnSlots(), []
        for step in range(200):
            now = step / 10
            self.ask(slots, URGENT, SUPPLY, now)
            if self.ask(slots, NORMAL, SUPPLY, now):
                served.append(now)
        self.assertGreaterEqual(len(served), 8)

    def test_single_bucket_of_one_token(self):
        slots, supply = ReturnSlots(), TokenSupply(1, 1, 0.5, 0.0)
        for step in range(20):
            self.ask(slots, URGENT, supply, step / 10)
        self.assertTrue(self.ask(slots, NORMAL, supply, 2.0))

    def test_demand_that_has_ended(self):
        slots = ReturnSlots()
        for step in range(20):
            self.ask(slots, URGENT, SUPPLY, step / 10)
        self.assertTrue(self.ask(slots, NORMAL, SUPPLY, 30.0))


if __name__ == "__main__":
    unittest.main()
