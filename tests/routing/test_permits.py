"""Tests of a coordinator's decisions on permits."""

import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing import (
    CallerAges,
    CoordinatorCandidate,
    PermitDecision,
    PermitEnd,
    PermitId,
    PermitPool,
    PermitRequest,
    Service,
    choose_coordinator,
    is_coordinated,
)
from fescueflow.routing.permit_durations import PermitDurations
from tests.routing.builders import BOOKINGS, ENGINES, make_table
from tests.routing.permit_load import SERVICE, UPSTREAMS, CoordinatedLoad, PermitLoad

ONE = UpstreamId("u0")
GRANTED, REFUSED = PermitDecision.GRANTED, PermitDecision.REFUSED
QUEUED, OPEN = PermitDecision.QUEUED, PermitDecision.OPEN
ENGINE_SERVICE = make_table().services[ENGINES]
SMALL_SERVICE = make_table().services[BOOKINGS]


def make_request(name="r1", deadline_at=3.0, objective_at=0.4, **changes):
    values = {"priority": 5, **changes}
    return PermitRequest(
        PermitId(name),
        InstanceId("i1"),
        SERVICE,
        deadline_at=deadline_at,
        objective_at=objective_at,
        **values,
    )


def make_pool(slots=1, upstreams=(ONE,)):
    pool = PermitPool()
    pool.set_upstreams(dict.fromkeys(upstreams, slots))
    return pool


def fill_pool(pool, count=2, now=0.0):
    """Use all permits of an upstream with one slot."""
    return [pool.ask(make_request(f"fill{n}"), now)[0] for n in range(count)]


def list_granted(answers):
    return [a.id for a in answers if a.decision is GRANTED]


class LoadTest(unittest.TestCase):
    """Guards against upstreams that refuse while others have free slots."""

    def run_both(self, **changes):
        loads = [cls(1, **changes) for cls in (PermitLoad, CoordinatedLoad)]
        for load in loads:
            load.run()
        return loads

    def test_load_within_the_capacity(self):
        without, with_permits = self.run_both(mean_rate=84.0)
        self.assertGreater(without.count_refused(), 0)
        self.assertEqual(with_permits.count_refused(), 0)
        self.assertEqual(with_permits.returned, 0)
        self.assertEqual(len(with_permits.list_in_time()), len(with_permits.callers))

    def test_crests_above_the_capacity(self):
        without, with_permits = self.run_both(mean_rate=129.0)
        self.assertEqual(with_permits.count_refused(), 0)
        late = [len(s.callers) - len(s.list_in_time()) for s in (without, with_permits)]
        self.assertLess(late[1], late[0] / 2)
        self.assertTrue(all(c.ended_at is not None for c in with_permits.callers))

    def test_load_far_above_the_capacity(self):
        without, with_permits = self.run_both(mean_rate=250.0)
        self.assertEqual(with_permits.count_refused(), 0)
        self.assertGreater(
            len(with_permits.list_in_time()), 2 * len(without.list_in_time())
        )

    def test_less_urgent_callers_do_not_starve(self):
        load = CoordinatedLoad(1, mean_rate=300.0, wave=0.0, priorities=(0, 0, 0, 5))
        load.run()
        served = [c.ended_at for c in load.callers if c.priority and c.ended_at]
        gaps = [b - a for a, b in zip(sorted(served), sorted(served)[1:], strict=False)]
        # Twice the time after which a group is served like the most urgent one.
        self.assertLess(max(gaps), 1.0)

    def test_processor_time_of_a_decision(self):
        load = CoordinatedLoad(1, mean_rate=250.0)
        started = time.process_time()
        load.run()
        # A request and a return take two decisions, of 0.2 ms each at most.
        used_s = time.process_time() - started
        self.assertLess(used_s / len(load.callers), 2 * 0.0002)


class GrantTest(unittest.TestCase):
    """Guards against permits beyond the slots, and against the wrong order."""

    def test_slots_and_one_request_that_waits_there(self):
        pool = make_pool(slots=2)
        answers = [pool.ask(make_request(f"r{n}"), 0.0)[0] for n in range(4)]
        self.assertEqual([a.decision for a in answers], [GRANTED] * 3 + [QUEUED])

    def test_fewest_permits_for_the_slots(self):
        pool = PermitPool()
        pool.set_upstreams({ONE: 2, UpstreamId("large"): 6})
        for number in range(8):
            pool.ask(make_request(f"r{number}"), 0.0)
        self.assertEqual(pool.count_in_use(ONE), 2)

    def run_rounds(self, pool, slow_s):
        """Let nine requests run at a time, which take longer at one upstream."""
        for number in range(10):
            answers = [
                pool.ask(make_request(f"{number}-{n}"), 0.0)[0] for n in range(9)
            ]
            for answer in answers:
                duration_s = slow_s if answer.upstream == ONE else 0.09
                pool.end(answer.id, PermitEnd.ANSWERED, duration_s, 0.0)

    def test_slow_upstream_gets_less(self):
        pool = make_pool(slots=6, upstreams=UPSTREAMS)
        self.run_rounds(pool, 0.3)
        for number in range(9):
            pool.ask(make_request(f"s{number}"), 0.0)
        # An even share would be three.
        self.assertLess(pool.count_in_use(ONE), 3)

    def test_slow_upstream_that_has_recovered(self):
        pool = make_pool(slots=6, upstreams=UPSTREAMS)
        self.run_rounds(pool, 0.3)
        # Its duration is not measured meanwhile.
        for number in range(9):
            pool.ask(make_request(f"s{number}", 35.0, 30.0), 30.0)
        self.assertEqual(pool.count_in_use(ONE), 3)

    def test_order(self):
        pool = make_pool()
        first, second = fill_pool(pool)
        for request in (
            make_request("late", objective_at=0.05),
            make_request("late-back", objective_at=0.05, is_returning=True),
            make_request("later"),
            make_request("sooner", objective_at=0.3),
            make_request("urgent", priority=0, objective_at=0.05),
        ):
            pool.ask(request, 0.0)
        served, held = [], [first.id, second.id]
        while held:
            granted = list_granted(pool.end(held.pop(), PermitEnd.FAILED, 0.0, 0.01))
            served += granted
            held += granted
        self.assertEqual(served, ["urgent", "sooner", "later", "late-back", "late"])

    def test_request_that_has_become_late(self):
        pool = make_pool()
        first, second = fill_pool(pool)
        pool.ask(make_request("old", objective_at=0.3), 0.0)
        pool.ask(make_request("new", objective_at=0.7), 0.3)
        answers = pool.end(first.id, PermitEnd.FAILED, 0.0, 0.3)
        self.assertEqual(list_granted(answers), ["new"])
        answers = pool.end(second.id, PermitEnd.FAILED, 0.0, 0.3)
        self.assertEqual(list_granted(answers), ["old"])

    def test_group_that_waited_for_half_a_second(self):
        pool = make_pool()
        first, second = fill_pool(pool)
        pool.ask(make_request("low", priority=9), 0.0)
        for name in ("a", "b"):
            pool.ask(make_request(name, priority=0, objective_at=2.0), 0.45)
        answers = pool.end(first.id, PermitEnd.FAILED, 0.0, 0.45)
        self.assertEqual(list_granted(answers), ["a"])
        answers = pool.end(second.id, PermitEnd.FAILED, 0.0, 0.51)
        self.assertEqual(list_granted(answers), ["low"])

    def test_upstreams_that_are_not_to_be_used(self):
        pool = make_pool(slots=6, upstreams=UPSTREAMS[:2])
        request = make_request(avoid=frozenset({ONE}))
        self.assertEqual(pool.ask(request, 0.0)[0].upstream, UPSTREAMS[1])
        request = make_request("r2", avoid=frozenset(UPSTREAMS))
        self.assertEqual(pool.ask(request, 0.0)[0].decision, OPEN)
        self.assertEqual(PermitPool().ask(make_request("r3"), 0.0)[0].decision, OPEN)

    def test_full_upstream_gets_less_for_a_mean_duration(self):
        pool = make_pool(slots=2)
        granted = [pool.ask(make_request(f"r{n}"), 0.0)[0] for n in range(2)]
        pool.end(granted[0].id, PermitEnd.FULL, 0.01, 0.0)
        self.assertEqual(pool.ask(make_request("s"), 0.0)[0].decision, GRANTED)
        self.assertEqual(pool.ask(make_request("t"), 0.0)[0].decision, QUEUED)
        self.assertEqual(list_granted(pool.advance(0.101)), ["t"])

    def test_upstream_without_room_for_a_waiting_request(self):
        # Otherwise it refuses once in each mean duration.
        pool, now = make_pool(slots=2), 0.0
        for withdrawn_s in (5.0, 10.0, 20.0, 40.0, 40.0):
            names = [f"{now}-{n}" for n in range(3)]
            answers = [
                pool.ask(make_request(name, now + 90.0), now)[0] for name in names
            ]
            self.assertEqual([a.decision for a in answers], [GRANTED] * 3)
            pool.end(answers[2].id, PermitEnd.FULL, 0.0, now)
            pool.ask(make_request("s", now + 90.0), now)
            for name in names[:2]:
                pool.end(name, PermitEnd.UNUSED, 0.0, now + 0.2)
            for at in (now + 0.3, now + withdrawn_s - 0.1):
                self.assertEqual(self.count_places(pool, at), 2, (withdrawn_s, at))
            now += withdrawn_s + 0.1
            self.assertEqual(self.count_places(pool, now), 3)

    def count_places(self, pool, now):
        """Return how many requests are granted at once."""
        pool.end(PermitId("s"), PermitEnd.UNUSED, 0.0, now)
        names = [f"{now}/{n}" for n in range(4)]
        answers = [pool.ask(make_request(n, now + 90.0), now)[-1] for n in names]
        for name in reversed(names):
            pool.end(name, PermitEnd.UNUSED, 0.0, now)
        return sum(a.decision is GRANTED for a in answers)


class FailingUpstreamTest(unittest.TestCase):
    """Guards against a failing upstream that gets all, as it has no permits in use."""

    def run_requests(self, end, step_s=0.0):
        """Return how many of 30 requests are granted the failing upstream."""
        pool, count = make_pool(slots=6, upstreams=UPSTREAMS), 0
        for number in range(30):
            now = number * step_s
            answer = pool.ask(make_request(f"r{number}", now + 3.0), now)[0]
            is_failing = answer.upstream == ONE
            count += is_failing
            end_now = end if is_failing else PermitEnd.ANSWERED
            pool.end(answer.id, end_now, 0.1, now)
        return count

    def test_refused_connections(self):
        self.assertEqual(self.run_requests(PermitEnd.UNREACHABLE), 1)

    def test_failed_attempts(self):
        self.assertEqual(self.run_requests(PermitEnd.FAILED), 3)

    def test_callers_that_leave(self):
        # In steps of the time for which such a request may run on.
        self.assertEqual(self.run_requests(PermitEnd.CANCELLED, step_s=0.11), 30)

    def test_silence_is_no_crash(self):
        self.assertEqual(self.run_requests(PermitEnd.SILENT, step_s=0.11), 30)

    def test_requests_that_may_run_on(self):
        for end in (PermitEnd.CANCELLED, PermitEnd.SILENT):
            pool = make_pool()
            for answer in fill_pool(pool):
                pool.end(answer.id, end, 0.01, 0.01)
            self.assertEqual(pool.ask(make_request(), 0.02)[0].decision, QUEUED)
            self.assertEqual(list_granted(pool.advance(0.10)), [])
            self.assertEqual(list_granted(pool.advance(0.12)), ["r1"])

    def test_bounds_of_an_upstream_that_fails_fast_or_hangs(self):
        durations = PermitDurations()
        for _ in range(50):
            for upstream, duration_s in zip(UPSTREAMS, (0.001, 0.1, 1.2), strict=True):
                durations.record(upstream, duration_s, 0.0)
        mean_s = durations.get_mean(0.0)
        fast_s, _, slow_s = (durations.estimate(u, 0.0) for u in UPSTREAMS)
        self.assertGreaterEqual(fast_s, 0.5 * mean_s)
        self.assertLessEqual(slow_s, 4.0 * mean_s)

    def test_all_upstreams_fail(self):
        pool = make_pool()
        for number in range(5):
            answer = pool.ask(make_request(f"r{number}"), 0.0)[0]
            self.assertEqual(answer.decision, GRANTED)
            pool.end(answer.id, PermitEnd.UNREACHABLE, 0.0, 0.0)


class RefusalTest(unittest.TestCase):
    """Guards against requests that wait in vain."""

    def test_no_time_left(self):
        pool = make_pool()
        fill_pool(pool)
        answer = pool.ask(make_request(deadline_at=0.05), 0.0)[0]
        self.assertEqual(answer.decision, REFUSED)
        self.assertGreater(answer.retry_after_s, 0.0)

    def test_queue_that_is_too_long(self):
        pool = make_pool()
        fill_pool(pool)
        answers = [pool.ask(make_request(f"r{n}"), 0.0)[-1] for n in range(60)]
        self.assertEqual(answers[20].decision, QUEUED)
        # At 0.1 s each, the slot works off less than 30 before the deadline of 3 s.
        self.assertEqual(answers[30].decision, REFUSED)
        delays = [a.retry_after_s for a in answers if a.decision is REFUSED]
        self.assertEqual(delays, sorted(delays))

    def test_deadline_in_the_queue(self):
        pool = make_pool()
        fill_pool(pool)
        pool.ask(make_request("r", deadline_at=0.5), 0.0)
        self.assertEqual(pool.advance(0.39), [])
        answer = pool.advance(0.41)[0]
        self.assertEqual((answer.id, answer.decision), ("r", REFUSED))

    def test_return_slot_of_a_queued_request(self):
        # One turn is too short: those that wait longer come first.
        pool = make_pool()
        fill_pool(pool)
        pool.ask(make_request("r", deadline_at=0.9), 0.0)
        for number in range(9):
            pool.ask(make_request(f"n{number}", objective_at=0.2), 0.6)
        for number in range(2):
            pool.learn(PermitId(f"l{number}"), InstanceId("i2"), ONE, 0.0, 0.6)
        answer = pool.advance(0.81)[0]
        self.assertEqual((answer.id, answer.decision), ("r", REFUSED))
        self.assertGreater(answer.retry_after_s, 0.8)

    def learn_long_durations(self, pool, count=60):
        for number in range(count):
            answer = pool.ask(make_request(f"long{number}"), 0.0)[-1]
            pool.end(answer.id, PermitEnd.ANSWERED, 4.0, 0.0)

    def test_free_slot_despite_a_long_mean(self):
        # Refusals must not keep up the mean that caused them.
        pool = make_pool(slots=6)
        self.learn_long_durations(pool)
        self.assertEqual(pool.ask(make_request(), 0.0)[0].decision, GRANTED)

    def test_queued_request_is_granted_before_it_is_refused(self):
        pool = make_pool()
        fill_pool(pool)
        pool.ask(make_request("r", deadline_at=0.5), 0.0)
        answers = pool.end(PermitId("fill0"), PermitEnd.FAILED, 0.0, 0.45)
        self.assertEqual(list_granted(answers), ["r"])

    def test_long_mean_is_forgotten(self):
        pool = make_pool()
        self.learn_long_durations(pool)
        for number in range(2):
            pool.learn(PermitId(f"l{number}"), InstanceId("i2"), ONE, 0.0, 60.0)
        answer = pool.ask(make_request(deadline_at=63.0), 60.0)[-1]
        self.assertEqual(answer.decision, QUEUED)


class FailureTest(unittest.TestCase):
    """Guards against slots that are lost or used twice when messages are."""

    def test_lost_return(self):
        pool = make_pool()
        fill_pool(pool)
        pool.ask(make_request("r"), 0.5)
        self.assertEqual(pool.advance(0.99), [])
        self.assertEqual(list_granted(pool.advance(1.01)), ["r"])

    def test_duration_of_an_expired_permit(self):
        # Otherwise the mean stays short when all requests outlast their permits.
        pool = make_pool()
        first, _ = fill_pool(pool)
        pool.ask(make_request("r", 9.0), 1.5)
        for _ in range(2):
            pool.end(first.id, PermitEnd.ANSWERED, 2.1, 2.1)
        # The default and one sample of a weight of 0.05.
        self.assertAlmostEqual(pool.get_mean_duration(2.1), 0.2)

    def test_doubled_request(self):
        pool = make_pool(slots=6)
        answers = [pool.ask(make_request(), 0.0)[0] for _ in range(2)]
        self.assertEqual(answers[0], answers[1])
        self.assertEqual(pool.count_in_use(ONE), 1)

    def test_return_that_overtakes_its_request(self):
        pool = make_pool()
        pool.end(PermitId("r1"), PermitEnd.UNUSED, 0.0, 0.0)
        self.assertEqual(pool.ask(make_request(), 0.01), [])
        pool.learn(PermitId("r1"), InstanceId("i1"), ONE, 0.0, 0.02)
        self.assertEqual(pool.count_in_use(ONE), 0)

    def test_doubled_return(self):
        pool = make_pool(slots=6)
        first, _ = fill_pool(pool)
        for _ in range(2):
            pool.end(first.id, PermitEnd.ANSWERED, 0.1, 0.0)
        self.assertEqual(pool.count_in_use(ONE), 1)

    def test_new_coordinator_learns_what_runs(self):
        pool = make_pool()
        for _ in range(2):
            pool.learn(PermitId("old1"), InstanceId("i2"), ONE, 0.05, 0.0)
        pool.learn(PermitId("old2"), InstanceId("i2"), ONE, 0.05, 0.0)
        pool.learn(PermitId("expired"), InstanceId("i2"), ONE, 1.5, 0.0)
        self.assertEqual(pool.count_in_use(ONE), 2)
        self.assertEqual(pool.ask(make_request("r"), 0.0)[0].decision, QUEUED)
        answers = pool.end(PermitId("old1"), PermitEnd.ANSWERED, 0.1, 0.1)
        self.assertEqual(list_granted(answers), ["r"])

    def test_new_coordinator_hands_out_half(self):
        # Permits of the coordinator before may be in use that nobody has named yet.
        pool = PermitPool(started_at=10.0)
        pool.set_upstreams({ONE: 5})
        answers = [
            pool.ask(make_request(f"r{n}", 13.0, 11.0), 10.0)[0] for n in range(7)
        ]
        self.assertEqual(len(list_granted(answers)), 3)
        self.assertEqual(list_granted(pool.advance(10.19)), [])
        self.assertEqual(len(list_granted(pool.advance(10.21))), 3)

    def test_upstream_that_leaves_while_requests_wait(self):
        pool = make_pool(upstreams=UPSTREAMS[:2])
        fill_pool(pool, count=4)
        pool.set_upstreams({UPSTREAMS[1]: 1})
        pool.ask(make_request("r"), 0.0)
        answers = pool.end(PermitId("fill0"), PermitEnd.FAILED, 0.0, 0.1)
        answers += pool.end(PermitId("fill1"), PermitEnd.FAILED, 0.0, 0.1)
        self.assertEqual([a.upstream for a in answers], [UPSTREAMS[1]])

    def test_all_upstreams_of_a_queued_request_leave(self):
        pool = make_pool(upstreams=UPSTREAMS[:2])
        fill_pool(pool, count=4)
        pool.ask(make_request("one", avoid=frozenset(UPSTREAMS[1:])), 0.0)
        pool.ask(make_request("any"), 0.0)
        pool.set_upstreams({UPSTREAMS[1]: 1})
        answers = pool.advance(0.01)
        self.assertEqual([(a.id, a.decision) for a in answers], [("one", OPEN)])
        pool.set_upstreams({})
        answers = pool.advance(0.02)
        self.assertEqual([(a.id, a.decision) for a in answers], [("any", OPEN)])
        self.assertFalse(pool.has_waiting)

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("ask", "end", "learn", "advance")),
                st.integers(0, 12),
                st.sampled_from(PermitEnd),
                st.floats(0.0, 0.5),
            ),
            max_size=60,
        )
    )
    def test_any_order_of_messages(self, messages):
        pool, now, answered = make_pool(slots=2), 0.0, []
        for kind, number, end, step_s in messages:
            now += step_s
            permit = PermitId(f"r{number}")
            if kind == "ask":
                request = make_request(
                    permit, now + 1.0, now + 0.2, priority=number % 3
                )
                answered += pool.ask(request, now)
            elif kind == "end":
                answered += pool.end(permit, end, step_s, now)
            elif kind == "learn":
                pool.learn(PermitId(f"l{number}"), InstanceId("i2"), ONE, step_s, now)
            else:
                answered += pool.advance(now)
            self.assertGreaterEqual(pool.count_in_use(ONE), 0)
        # All permits expire, and nothing waits for ever.
        pool.advance(now + 10.0)
        pool.advance(now + 10.1)
        self.assertFalse(pool.has_waiting)
        pool.advance(now + 30.0)
        self.assertEqual(pool.count_in_use(ONE), 0)


class CoordinatorTest(unittest.TestCase):
    """Guards against small coordinators and permits where they aren't needed."""

    def choose(self, *candidates, service=SMALL_SERVICE):
        return choose_coordinator(
            service, [CoordinatorCandidate(InstanceId(n), c) for n, c in candidates]
        )

    def test_largest_instance(self):
        others = [(f"i{n}", 9.0) for n in range(20)]
        self.assertEqual(self.choose(*others, ("large", 12.0)), "large")

    def test_same_for_any_order_and_spread_over_services(self):
        candidates = [(f"i{n}", 12.0) for n in range(20)]
        chosen = self.choose(*candidates)
        self.assertEqual(chosen, self.choose(*reversed(candidates)))
        services = [Service(f"s{n}", 1, 0.0, 0.0) for n in range(9)]
        names = {self.choose(*candidates, service=service) for service in services}
        self.assertGreater(len(names), 3)

    def test_nobody(self):
        self.assertIsNone(self.choose())

    def test_where_permits_are_used(self):
        self.assertTrue(is_coordinated(SMALL_SERVICE, 18, 19))
        self.assertFalse(is_coordinated(SMALL_SERVICE, 18, 18))
        self.assertTrue(is_coordinated(SMALL_SERVICE, 6, 13))
        self.assertFalse(is_coordinated(SMALL_SERVICE, 6, 12))
        self.assertFalse(is_coordinated(SMALL_SERVICE, 0, 60))
        self.assertFalse(is_coordinated(ENGINE_SERVICE, 18, 60))
        self.assertFalse(is_coordinated(None, 18, 60))


class CallerAgeTest(unittest.TestCase):
    """Guards against callers whose time before a refusal is not counted."""

    def test_time_that_is_gone(self):
        ages = CallerAges()
        self.assertEqual(ages.estimate("r", 3.1, 0.0), 0.0)
        self.assertAlmostEqual(ages.estimate("r", 2.1, 1.0), 1.0)
        self.assertEqual(ages.estimate("other", 2.1, 1.0), 0.0)
        self.assertEqual(ages.estimate("r", None, 1.0), 0.0)

    def test_long_deadline_is_forgotten(self):
        ages = CallerAges()
        ages.estimate("r", 30.0, 0.0)
        ages.estimate("r", 3.0, 31.0)
        self.assertEqual(ages.estimate("r", 3.0, 62.0), 0.0)


if __name__ == "__main__":
    unittest.main()
