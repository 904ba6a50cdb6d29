"""Request service: ids, repeats, limits, forwarding and handover."""

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from hypothesis import given, strategies

from fescueflow.core import (
    InvalidRequestId,
    Moved,
    Outcome,
    OutcomeUnknown,
    Overloaded,
    OwnerUnavailable,
    RequestError,
    RequestIdReused,
    SystemClock,
    UpstreamFailed,
)
from fescueflow.requests import AnswerNotKept, decode_error, encode_error
from fescueflow.schema import HandoverTable, MemberState, SubmitRequest
from tests.builders import build_member
from tests.fakes import ManualClock
from tests.requests.fakes import FakeExecutor, FakeFleet, FakeInstance


def make_request(request_id, body=b"pay", **changes):
    values = {"customer": "c", "method": "POST", "path": "/pay", "deadline_ms": 60000}
    return SubmitRequest(request_id=request_id, body=body, **{**values, **changes})


class ServiceTestCase(unittest.TestCase):
    def setUp(self):
        self.fleet = FakeFleet()
        self.clock = ManualClock()
        self.executor = FakeExecutor()
        self.a = self.make_instance("a", 1)
        self.b = self.make_instance("b", 2)

    def make_instance(self, name, incarnation, clock=None, **options):
        return FakeInstance(
            self.fleet, name, incarnation, self.executor, clock or self.clock, **options
        )

    def mint(self, instance):
        return instance.requests.mint(1)[0]

    def submit(self, instance, request_id, **changes):
        return instance.requests.submit(make_request(request_id, **changes))

    def assert_fails(self, kind, outcome, instance, request_id, **changes):
        with self.assertRaises(kind) as caught:
            self.submit(instance, request_id, **changes)
        self.assertIs(caught.exception.outcome, outcome)
        return caught.exception


class RequestIdTest(ServiceTestCase):
    @given(strategies.one_of(strategies.text(), strategies.binary().map(repr)))
    def test_random_text_is_refused(self, text):
        """Guards against ids that were not issued by the fleet."""
        with self.assertRaises(InvalidRequestId):
            self.a.requests.parse(text)

    @given(strategies.data())
    def test_changed_id_is_refused(self, data):
        """Guards against forged ids."""
        request_id = self.a.requests._own.format_id(123)
        index = data.draw(strategies.integers(0, len(request_id) - 1))
        other = data.draw(strategies.characters())
        changed = request_id[:index] + other + request_id[index + 1 :]
        if changed != request_id:
            with self.assertRaises(InvalidRequestId):
                self.a.requests.parse(changed)

    def test_id_signed_with_unknown_key_has_unknown_outcome(self):
        """Guards against a false ``not_run``.

        The key may have been rotated out after the request ran.
        """
        wrong = self.mint(self.a)[:-32] + "0" * 32
        self.assert_fails(InvalidRequestId, Outcome.UNKNOWN, self.a, wrong)

    def test_never_issued_sequence_never_runs(self):
        """Guards against a request that runs before its id is issued."""
        table = self.a.requests._own
        request_id = table.format_id(5)
        self.assert_fails(OutcomeUnknown, Outcome.UNKNOWN, self.a, request_id)
        self.a.requests.mint(10)
        self.assertEqual(self.submit(self.a, request_id).status, 200)


class RepeatTest(ServiceTestCase):
    def test_repeat_gets_the_same_answer(self):
        """Guards against a repeat that runs the request again."""
        request_id = self.mint(self.a)
        first = self.submit(self.a, request_id)
        self.assertEqual(self.submit(self.b, request_id), first)
        self.assertEqual(self.executor.runs[request_id], 1)

    def test_other_request_with_the_same_id_is_refused(self):
        """Guards against an answer to a different request."""
        request_id = self.mint(self.a)
        self.submit(self.a, request_id)
        for change in ({"body": b"x"}, {"customer": "d"}, {"path": "/y"}):
            for instance in (self.a, self.b):
                with self.assertRaises(RequestIdReused):
                    self.submit(instance, request_id, **change)

    def test_concurrent_repeats_wait_and_run_once(self):
        """Guards against a large answer that is dropped while repeats wait."""
        self.a = self.make_instance("a", 3, clock=SystemClock())
        release = threading.Event()
        self.executor.before_send = lambda: release.wait(30)
        self.executor.plan = [b"z" * 100000]
        request_id = self.mint(self.a)
        with ThreadPoolExecutor(5) as pool:
            first = pool.submit(self.submit, self.a, request_id)
            self.assertTrue(self.executor.entered.wait(30))
            record = self.a.requests._own._records[1]
            repeats = [pool.submit(self.submit, self.a, request_id) for _ in range(4)]
            while record._waiters < 4:
                threading.Event().wait(0.001)
            release.set()
            answers = {r.result(30).body for r in [first, *repeats]}
        self.assertEqual(answers, {b"z" * 100000 + b"pay"})
        self.assertEqual(self.executor.runs[request_id], 1)
        error = self.assert_fails(AnswerNotKept, Outcome.RAN, self.a, request_id)
        self.assertEqual(error.type, "answer_not_kept")

    def test_repeat_after_unknown_outcome_does_not_run(self):
        """Guards against a second run after a failure that may follow a run."""
        self.executor.plan = [("after", UpstreamFailed("cut"))]
        request_id = self.mint(self.a)
        self.assert_fails(UpstreamFailed, Outcome.UNKNOWN, self.a, request_id)
        for instance in (self.a, self.b):
            self.assert_fails(OutcomeUnknown, Outcome.UNKNOWN, instance, request_id)
        self.assertEqual(self.executor.runs[request_id], 1)

    def test_refusal_is_final_and_forwarded_unchanged(self):
        """Guards against a run after ``not_run``, and a changed error."""
        self.executor.plan = [("before", Overloaded("full", retry_after_ms=70))]
        request_id = self.mint(self.a)
        for instance in (self.b, self.b, self.a):
            error = self.assert_fails(Overloaded, Outcome.NOT_RUN, instance, request_id)
            self.assertEqual(error.retry_after_ms, 70)
        self.assertEqual(self.executor.runs[request_id], 0)

    def test_error_header_of_an_upstream_is_not_an_error(self):
        """Guards against an upstream that forges an error of the owner."""
        forged = encode_error(Overloaded("forged"))
        self.executor.execute = lambda request, record, deadline: (
            record.mark_sent() or forged
        )
        answer = self.submit(self.b, self.mint(self.a))
        self.assertIsNone(decode_error(answer))

    def test_every_request_has_one_audit_record(self):
        """Guards against missing audit records, and records of repeats."""
        self.executor.plan = [
            b"x",
            ("before", Overloaded("")),
            ("after", Overloaded("")),
        ]
        for _ in range(3):
            request_id = self.mint(self.a)
            for _ in range(2):
                try:
                    self.submit(self.a, request_id)
                except (Overloaded, OutcomeUnknown):
                    pass
        kinds = [r.kind.value for r in self.a.audit.read_after(0)]
        self.assertEqual(kinds, ["request_ran", "request_refused", "request_unknown"])


class LimitTest(ServiceTestCase):
    def test_expired_id_never_runs(self):
        """Guards against a second run after the record was removed."""
        request_id, used = self.a.requests.mint(2)
        self.submit(self.a, used)
        self.clock.now += 613
        self.assert_fails(OutcomeUnknown, Outcome.UNKNOWN, self.a, request_id)
        self.assert_fails(OutcomeUnknown, Outcome.UNKNOWN, self.a, used)
        self.assertEqual(len(self.a.requests._own), 0)

    def test_id_is_valid_for_its_lifetime(self):
        """Guards against ids and records that expire too early."""
        request_id = self.mint(self.a)
        self.clock.now += 599
        first = self.submit(self.a, request_id)
        self.clock.now += 599
        self.assertEqual(self.submit(self.a, request_id), first)

    def test_memory_for_issue_times_is_bounded(self):
        """Guards against memory that grows with the number of issued ids."""
        for _ in range(5000):
            self.mint(self.a)
            self.clock.now += 1
        self.assertLess(len(self.a.requests._own._blocks), 60)

    def test_full_table_drops_the_oldest(self):
        """Guards against a second run after the record was evicted."""
        self.a = self.make_instance("a", 9, request_records_max=100)
        ids = self.a.requests.mint(101)
        for request_id in ids:
            self.submit(self.a, request_id)
        self.assertEqual(len(self.a.requests._own), 100)
        self.assert_fails(OutcomeUnknown, Outcome.UNKNOWN, self.a, ids[0])
        self.assertEqual(self.executor.runs[ids[0]], 1)


class ForwardingTest(ServiceTestCase):
    def test_any_failure_of_the_owner_is_unknown(self):
        """Guards against a false ``not_run`` when the owner can't be reached."""
        for fault in ("refused", "lost", "unanswered"):
            request_id = self.mint(self.a)
            self.fleet.faults = [fault]
            self.assert_fails(OwnerUnavailable, Outcome.UNKNOWN, self.b, request_id)
            self.assertEqual(
                self.executor.runs[request_id], 1 if fault == "unanswered" else 0
            )
        self.assertTrue(all(not reuse for _, _, reuse in self.fleet.frames))

    def test_owner_left_the_fleet(self):
        """Guards against a run at an instance that does not own the id."""
        request_id = self.mint(self.a)
        self.fleet.remove("a")
        self.assert_fails(OwnerUnavailable, Outcome.UNKNOWN, self.b, request_id)
        self.make_instance("a", 7)
        self.assert_fails(OwnerUnavailable, Outcome.UNKNOWN, self.b, request_id)
        kinds = [r.kind.value for r in self.b.audit.read_after(0)]
        self.assertEqual(kinds, ["request_unknown", "request_unknown"])

    def test_answer_too_large_for_a_frame(self):
        """Guards against an unknown outcome of a request that ran."""
        self.executor.plan = [b"x" * (3 << 20)]
        request_id = self.mint(self.a)
        self.assert_fails(AnswerNotKept, Outcome.RAN, self.b, request_id)

    def test_mint_at_unreachable_instance_issues_own_ids(self):
        """Guards against missing ids when the other instance is unreachable."""
        there = self.b.requests.mint_at(self.a.member, 3)
        self.assertEqual({self.b.requests.parse(i).instance for i in there}, {"a"})
        self.fleet.remove("a")
        here = self.b.requests.mint_at(self.a.member, 3)
        self.assertEqual({self.b.requests.parse(i).instance for i in here}, {"b"})


class HandoverTest(ServiceTestCase):
    def test_successor_answers_and_runs_unused_ids(self):
        """Guards against records that are lost in successive handovers."""
        ids = self.a.requests.mint(4)
        self.executor.plan = [
            b"x",
            ("after", Overloaded("")),
            ("before", Overloaded("")),
        ]
        first = self.submit(self.a, ids[0])
        self.assert_fails(Overloaded, Outcome.UNKNOWN, self.a, ids[1])
        self.assert_fails(Overloaded, Outcome.NOT_RUN, self.a, ids[2])
        self.assertTrue(self.a.requests.hand_over())
        self.fleet.remove("a")
        self.assertEqual(self.submit(self.b, ids[0]), first)
        self.assert_fails(OutcomeUnknown, Outcome.UNKNOWN, self.b, ids[1])
        self.assert_fails(Overloaded, Outcome.NOT_RUN, self.b, ids[2])
        self.assertEqual(self.submit(self.b, ids[3]).status, 200)
        c = self.make_instance("c", 4)
        self.assertTrue(self.b.requests.hand_over())
        self.fleet.remove("b")
        self.assertEqual(self.submit(c, ids[0]), first)
        self.assertEqual(max(self.executor.runs.values()), 1)

    def test_closed_owner_runs_what_it_issued_until_it_is_suspended(self):
        """Guards against requests refused early, or run during the handover."""
        early, late = self.a.requests.mint(2)
        self.a.requests.close()
        with self.assertRaises(Moved):
            self.mint(self.a)
        self.submit(self.b, early)
        self.a.requests.suspend()
        error = self.assert_fails(Moved, Outcome.UNKNOWN, self.b, late)
        self.assertEqual(error.address, "http-b")
        self.assertGreater(error.retry_after_ms, 0)
        self.submit(self.b, early)
        self.a.requests.hand_over()
        self.fleet.remove("a")
        self.submit(self.b, late)
        self.assertEqual(max(self.executor.runs.values()), 1)

    def test_old_owner_runs_nothing_after_handover(self):
        """Guards against a run at both the former owner and the successor."""
        request_id = self.mint(self.a)
        self.a.requests.hand_over()
        self.assert_fails(Moved, Outcome.UNKNOWN, self.a, request_id)
        self.fleet.remove("a")
        self.submit(self.b, request_id)
        self.assertEqual(self.executor.runs[request_id], 1)

    def test_request_that_was_not_sent_at_handover_never_is(self):
        """Guards against a run after the exported record said ``not_run``."""
        self.executor.before_send = self.a.requests.hand_over
        request_id = self.mint(self.a)
        self.assert_fails(Moved, Outcome.NOT_RUN, self.a, request_id)
        self.fleet.remove("a")
        self.assert_fails(Moved, Outcome.NOT_RUN, self.b, request_id)
        self.assertEqual(self.executor.runs[request_id], 0)

    def test_request_that_runs_at_handover_is_unknown_at_the_successor(self):
        """Guards against a second run of a request that was sent before."""
        self.executor.after_send = self.a.requests.hand_over
        request_id = self.mint(self.a)
        self.assertEqual(self.submit(self.a, request_id).status, 200)
        self.fleet.remove("a")
        self.assert_fails(OutcomeUnknown, Outcome.UNKNOWN, self.b, request_id)
        self.assertEqual(self.executor.runs[request_id], 1)

    def test_concurrent_submissions_during_handover(self):
        """Guards against former owner and successor that both run requests."""
        ids = self.a.requests.mint(400)
        refused = set()

        def submit(number):
            if number == 200:
                self.a.requests.hand_over()
            for instance in (self.a, self.b, self.a):
                try:
                    self.submit(instance, ids[number])
                except RequestError as error:
                    if error.outcome is Outcome.NOT_RUN:
                        refused.add(ids[number])

        with ThreadPoolExecutor(8) as pool:
            list(pool.map(submit, range(400)))
        self.fleet.remove("a")
        for request_id in ids:
            try:
                self.submit(self.b, request_id)
            except RequestError:
                pass
        self.assertEqual(max(self.executor.runs.values()), 1)
        self.assertEqual([i for i in refused if self.executor.runs[i]], [])

    def test_large_table_is_sent_in_small_frames(self):
        """Guards against parts of a table that exceed the frame size."""
        ids = self.a.requests.mint(60)
        self.executor.plan = [bytes([i]) * 60000 for i in range(60)]
        for request_id in ids:
            self.submit(self.a, request_id)
        self.assertTrue(self.a.requests.hand_over())
        parts = [c for _, c, _ in self.fleet.frames if isinstance(c, HandoverTable)]
        self.assertGreater(len(parts), 2)
        self.assertEqual([p.last for p in parts], [False] * (len(parts) - 1) + [True])
        self.assertEqual(self.submit(self.b, ids[59]).body[:1], bytes([59]))

    def test_partial_handover_is_discarded_and_not_retried(self):
        """Guards against a run without the records of a lost part."""
        c = self.make_instance("c", 3)
        ids = self.a.requests.mint(61)
        self.executor.plan = [bytes([i]) * 60000 for i in range(60)]
        for request_id in ids[:60]:
            self.submit(self.a, request_id)
        self.fleet.faults = [None, "lost"]
        self.assertFalse(self.a.requests.hand_over())
        self.assertFalse(self.a.requests.hand_over())
        self.assertEqual(len({address for address, _, _ in self.fleet.frames}), 1)
        self.fleet.remove("a")
        for instance in (self.b, c):
            for request_id in (ids[0], ids[60]):
                self.assert_fails(
                    OwnerUnavailable, Outcome.UNKNOWN, instance, request_id
                )
        self.assertEqual(self.executor.runs[ids[60]], 0)

    def test_successor_is_live_and_in_the_same_zone(self):
        """Guards against a successor that is leaving or in another zone."""
        self.fleet.remove("b")
        self.assertFalse(self.a.requests.hand_over())
        a = self.make_instance("a", 5)
        self.make_instance("d", 6, zone="z2")
        same_zone = self.make_instance("e", 7)
        self.fleet.add(build_member("b", 8, state=MemberState.LEAVING))
        a.requests.mint(1)
        self.assertTrue(a.requests.hand_over())
        self.assertEqual(self.fleet.frames[-1][0], same_zone.member.peer_address)


if __name__ == "__main__":
    unittest.main()
