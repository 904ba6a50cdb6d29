"""Guards dispatch against wrong responses, repeated execution and leaked slots."""

import unittest

from fescueflow.core import (
    DeadlineExceeded,
    InvalidRequest,
    InvalidRequestId,
    NotReady,
    Outcome,
    Overloaded,
    OwnerUnavailable,
    RequestError,
    UnknownCustomer,
    UnknownModel,
    UpstreamFailed,
)
from fescueflow.delivery import RetryBudget
from fescueflow.requests.identifiers import ParsedRequestId, RequestIdCodec
from fescueflow.schema import SlotOutcome
from fescueflow.transport import Keyring
from tests.builders import KEYS
from tests.delivery import fakes
from tests.delivery.fakes import (
    NO_SHARES,
    OVER_SHARE,
    FakeDispatchInstance,
    FakeUpstream,
    make_chat,
    make_configuration,
    make_service_call,
)
from tests.fakes import ManualClock

FAULTS = {
    "crossed": fakes.send_mismatched_response,
    "truncated": fakes.send_truncated_response,
    "undelimited": fakes.send_undelimited,
    "cut": fakes.send_incomplete_chunks,
    "reset": fakes.close_connection,
    "refused": fakes.send_refusal,
}


class DeliveryTestCase(unittest.TestCase):
    def setUp(self):
        self.one, self.two = FakeUpstream("u1"), FakeUpstream("u2")
        self.addCleanup(self.one.stop)
        self.addCleanup(self.two.stop)
        self.node = FakeDispatchInstance([self.one, self.two])

    def tearDown(self):
        """Check that every slot was released once and that no request is running."""
        released = [number for number, _, _ in self.node.admission.released]
        granted = sum(self.node.admission.granted.values())
        self.assertEqual(sorted(released), list(range(1, granted + 1)))
        self.assertEqual(self.node.dispatcher.count_running_requests(), 0)

    def dispatch(self, call):
        return self.node.dispatcher.dispatch(call)

    def assert_fails(self, kind, outcome, call):
        with self.assertRaises(kind) as caught:
            self.dispatch(call)
        self.assertIs(caught.exception.outcome, outcome)
        return caught.exception

    def get_outcomes(self):
        return [outcome for _, _, outcome in self.node.admission.released]


class IdempotentTest(DeliveryTestCase):
    def test_response_names_upstream_and_token(self):
        call = make_chat()
        answer = self.dispatch(call)
        self.assertTrue(answer.body.startswith(b"echo:"))
        self.assertIn(("Fescueflow-Upstream", "u1"), answer.headers)
        self.assertIn(("Fescueflow-Placement", "token-u1"), answer.headers)
        self.assertEqual(self.node.requests.parse(call.assigned_id).sequence, 1)
        sent = self.one.received[0].document
        self.assertEqual((sent["model"], sent["cache_key"]), ("real", "k"))
        self.assertEqual(self.node.get_audit(), [("idempotent", "ran", "u1")])

    def test_faulty_answer_is_discarded_and_retried_elsewhere(self):
        """Guards against incomplete or foreign responses that reach the caller."""
        for name, step in FAULTS.items():
            with self.subTest(name):
                self.one.steps = [step]
                answer = self.dispatch(make_chat())
                self.assertTrue(answer.body.startswith(b"echo:"))
                self.assertIn(("Fescueflow-Upstream", "u2"), answer.headers)
        self.assertEqual(self.node.metrics.get_count("retries"), len(FAULTS))
        crossed = self.node.metrics.get_count("failed_attempts", reason="crossed")
        self.assertEqual(crossed, 1)
        self.assertIn(SlotOutcome.REFUSED_BY_UPSTREAM, self.get_outcomes())

    def test_silent_upstream_is_abandoned(self):
        self.node = FakeDispatchInstance(
            [self.one, self.two], upstream_silence_timeout_ms=100
        )
        self.one.steps = [self.one.wait_for_close]
        answer = self.dispatch(make_chat())
        self.assertIn(("Fescueflow-Upstream", "u2"), answer.headers)
        self.assertTrue(self.one.closed_by_peer.wait(30))

    def test_unreachable_upstream_takes_no_retry_budget(self):
        """Guards against errors while an upstream is down and the budget is 0."""
        self.node = FakeDispatchInstance([self.one, self.two], retry_budget_percent=0)
        self.one.stop()
        answer = self.dispatch(make_chat())
        self.assertIn(("Fescueflow-Upstream", "u2"), answer.headers)

    def test_unsent_request_is_not_run(self):
        """Guards against ``UNKNOWN`` for a request that reached no upstream."""
        for upstream in (self.one, self.two):
            upstream.stop()
        call = make_chat(deadline_ms=300)
        self.assert_fails(RequestError, Outcome.NOT_RUN, call)
        self.assertEqual(self.node.get_audit(), [("idempotent", "not_run", "u2")])

    def test_failed_attempt_without_retry_is_unknown(self):
        self.node = FakeDispatchInstance([self.one, self.two], retry_budget_percent=0)
        self.one.steps = [fakes.send_truncated_response]
        self.assert_fails(UpstreamFailed, Outcome.UNKNOWN, make_chat())
        self.one.steps = [fakes.send_refusal]
        self.assert_fails(Overloaded, Outcome.UNKNOWN, make_chat())

    def test_deadline_during_the_answer_is_unknown(self):
        self.one.steps = [self.one.wait_for_close]
        call = make_chat(deadline_ms=200)
        self.assert_fails(DeadlineExceeded, Outcome.UNKNOWN, call)

    def test_no_capacity_until_the_deadline(self):
        self.node = FakeDispatchInstance([self.one, self.two], clock=ManualClock())
        self.node.admission.plan = [NO_SHARES] * 1000
        error = self.assert_fails(Overloaded, Outcome.NOT_RUN, make_chat())
        self.assertEqual(error.retry_after_ms, 123)
        wait_times_s = [d.wait_s for d in self.node.admission.demands]
        self.assertEqual(wait_times_s[:3], [0.1, 0.0, 0.2])
        self.assertEqual(self.one.received + self.two.received, [])

    def test_customer_above_its_share_is_refused_early(self):
        """Guards against requests of a surge that wait too long or run late."""
        for deadline_ms, demand_count, wait_max_s in ((100, 2, 0.0), (2000, None, 0.9)):
            clock = ManualClock()
            self.node = FakeDispatchInstance([self.one, self.two], clock=clock)
            self.node.admission.plan = [OVER_SHARE] * 1000
            started_at = clock.monotonic()
            call = make_chat(deadline_ms=deadline_ms)
            error = self.assert_fails(Overloaded, Outcome.NOT_RUN, call)
            self.assertEqual(error.retry_after_ms, 123)
            self.assertLessEqual(clock.monotonic() - started_at, wait_max_s)
            upstream_ids = [d.upstream.id for d in self.node.admission.demands]
            self.assertEqual(upstream_ids[:2], ["u1", "u2"])
            self.assertIn(demand_count, (None, len(upstream_ids)))
        self.assertEqual(self.one.received + self.two.received, [])

    def test_request_that_failed_before_waits_for_its_whole_deadline(self):
        """Guards against a stream that is cut off during a surge of its customer."""
        self.node = FakeDispatchInstance([self.one, self.two], clock=ManualClock())
        self.one.steps = [fakes.send_refusal]
        self.node.admission.plan = [None] + [OVER_SHARE] * 60
        self.assertEqual(self.dispatch(make_chat()).status, 200)

    def test_refused_request_id_never_runs(self):
        """Guards against a repeat that runs after the owner answered ``NOT_RUN``."""
        self.node = FakeDispatchInstance([self.one, self.two], clock=ManualClock())
        self.node.admission.plan = [NO_SHARES] * 1000
        request_id = self.node.requests.mint(1)[0]
        call = make_chat(request_id=request_id)
        self.assert_fails(Overloaded, Outcome.NOT_RUN, call)
        self.node.admission.plan = []
        self.assert_fails(Overloaded, Outcome.NOT_RUN, call)
        self.assertEqual(self.one.received + self.two.received, [])

    def test_request_id_runs_at_its_owner_only(self):
        """Guards against a second run at an instance with a newer configuration.

        The operation may be idempotent in that configuration.
        """
        codec = RequestIdCodec(Keyring(KEYS))
        call = make_chat(request_id=codec.format(ParsedRequestId("b", 1, 1)))
        self.assert_fails(OwnerUnavailable, Outcome.UNKNOWN, call)
        self.assertEqual(self.one.received + self.two.received, [])

    def test_expired_slot_is_not_used(self):
        self.node.admission.start_within_s = 0.0
        call = make_chat(deadline_ms=200)
        self.assert_fails(RequestError, Outcome.NOT_RUN, call)
        self.assertEqual(self.one.received, [])
        self.assertEqual(set(self.get_outcomes()), {SlotOutcome.UNUSED})


class NonIdempotentTest(DeliveryTestCase):
    def test_repeat_gets_the_answer_without_a_second_run(self):
        call = make_service_call()
        first = self.dispatch(call)
        again = self.dispatch(make_service_call(request_id=call.assigned_id))
        self.assertEqual((again.status, again.body), (first.status, b"echo:10"))
        self.assertEqual(len(self.one.received), 1)
        self.assertEqual(self.one.received[0].key, f"{call.assigned_id}/1")
        self.assertEqual(self.node.get_audit(), [("non_idempotent", "ran", "u1")])

    def test_no_retry_after_the_first_byte(self):
        """Guards against a second run of a request that may have run."""
        for name, step in FAULTS.items():
            with self.subTest(name):
                self.one.steps = [step]
                self.one.received.clear()
                call = make_service_call()
                self.assert_fails(UpstreamFailed, Outcome.UNKNOWN, call)
                again = make_service_call(request_id=call.assigned_id)
                self.assert_fails(RequestError, Outcome.UNKNOWN, again)
                self.assertEqual(len(self.one.received + self.two.received), 1)

    def test_refused_connection_allows_another_upstream(self):
        self.one.stop()
        self.assertEqual(self.dispatch(make_service_call()).status, 200)
        self.assertEqual(len(self.two.received), 1)
        # On this outcome the home instance applies the upstream's cold limit.
        self.assertEqual(self.get_outcomes()[0], SlotOutcome.REFUSED_BY_UPSTREAM)

    def test_request_with_expired_slot_never_runs(self):
        self.node.admission.start_within_s = 0.0
        call = make_service_call(deadline_ms=200)
        self.assert_fails(RequestError, Outcome.NOT_RUN, call)
        self.node.admission.start_within_s = 60.0
        again = make_service_call(request_id=call.assigned_id)
        self.assert_fails(RequestError, Outcome.NOT_RUN, again)
        self.assertEqual(self.one.received, [])

    def test_stream_without_done_event_is_unknown(self):
        def send_without_done(connection, request):
            fakes.send_response(connection, request.key, fakes.format_token(0))

        self.one.steps = [send_without_done, fakes.make_stream_step([0, 1])]
        call = make_chat("once", stream=True)
        self.assert_fails(UpstreamFailed, Outcome.UNKNOWN, call)
        answer = self.dispatch(make_chat("once", stream=True))
        self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"))

    def answer_with_stream(self, *parts):
        """Let the upstream answer the next request with a whole body of a stream."""
        body = b"".join(parts)
        self.one.steps = [
            lambda connection, request: fakes.send_response(
                connection,
                request.key,
                body,
                "200 OK",
                "Content-Type: text/event-stream",
            )
        ]
        return body

    def test_stream_cut_inside_its_last_event(self):
        """Guards against a cut stream that looks complete, wherever it was cut."""
        for last in (
            b"data: [DONE]",
            b"data: [DONE]\n",
            b"data: [DONE]\r\n\r",
            b'data: {"text": "data: [DONE]',
        ):
            with self.subTest(last=last):
                self.answer_with_stream(fakes.format_token(0), last)
                call = make_chat("once", stream=True)
                self.assert_fails(UpstreamFailed, Outcome.UNKNOWN, call)

    def test_event_stream_cut_in_the_answer_of_a_service(self):
        """Guards against a cut stream that is delivered as a whole body."""
        for calls_once in (False, True):
            with self.subTest(calls_once=calls_once):
                self.answer_with_stream(b"id: 1\ndata: a\n\nid: 2\nda")
                if calls_once:
                    call = make_service_call()
                    self.assert_fails(UpstreamFailed, Outcome.UNKNOWN, call)
                else:
                    answer = self.dispatch(make_service_call("GET", "look/a", b""))
                    self.assertIn(("Fescueflow-Upstream", "u2"), answer.headers)
        for body in (b"id: 1\ndata: a\n\n", b"whole"):
            self.answer_with_stream(body)
            self.assertEqual(self.dispatch(make_service_call()).body, body)

    def test_whole_stream_with_other_line_ends(self):
        """Guards against whole streams that are refused for their form."""
        for last in (
            b"data:[DONE]\n\n",
            b"data: [DONE]\r\n\r\n",
            b"data: [DONE]\n\n: end\n\n",
        ):
            with self.subTest(last=last):
                body = self.answer_with_stream(fakes.format_token(0), last)
                answer = self.dispatch(make_chat("once", stream=True))
                self.assertEqual(answer.body, body)

    def test_class_is_fixed_when_the_record_is_made(self):
        """Guards against a second run after an operation became idempotent."""
        call = make_service_call(method="GET", path="pay/1")
        self.dispatch(call)
        configuration = make_configuration()
        service = configuration.customers["c"].services["s"]
        object.__setattr__(service.operations[0], "path", "/*")
        self.node.store.value = configuration
        again = make_service_call("GET", "pay/1", request_id=call.assigned_id)
        self.dispatch(again)
        self.assertEqual(len(self.one.received), 1)

    def test_unknown_customer_with_an_id_is_unknown(self):
        """Guards against ``NOT_RUN`` for a request that ran before the change."""
        call = make_service_call()
        self.dispatch(call)
        self.node.store.value = make_configuration(customers={})
        again = make_service_call(request_id=call.assigned_id)
        self.assert_fails(UnknownCustomer, Outcome.UNKNOWN, again)
        self.assert_fails(UnknownCustomer, Outcome.NOT_RUN, make_service_call())


class RecallTest(DeliveryTestCase):
    def test_only_idempotent_streams_can_be_recalled(self):
        """Guards against interrupted payouts and responses that are computed twice."""
        calls = [
            make_chat(),
            make_chat("once", stream=True),
            make_service_call(),
            make_service_call("GET", "look/a", b""),
        ]
        self.one.steps = [fakes.send_echo, fakes.make_stream_step([0])]
        for call in calls:
            self.dispatch(call)
        self.assertEqual(len(self.node.admission.demands), len(calls))
        self.assertFalse(any(d.recallable for d in self.node.admission.demands))
        self.assertEqual(self.node.admission.recall_callbacks, {})


class ResolutionTest(DeliveryTestCase):
    def test_invalid_calls(self):
        cases = [
            (UnknownCustomer, make_chat(customer="nobody")),
            (UnknownModel, make_chat("nothing")),
            (UnknownModel, make_service_call(path="../x/pay")),
            (InvalidRequest, make_chat(body=b"{")),
            (InvalidRequest, make_chat(body=b"[" * 100000)),
            (InvalidRequest, make_chat(body=b"[1]")),
            (InvalidRequest, make_chat(method="GET")),
            (InvalidRequest, make_service_call("GET", "look/../pay")),
            (InvalidRequest, make_service_call("GET", "look/%2e%2e/pay")),
        ]
        cases[2][1].path = "/v1/services/t/pay"
        for kind, call in cases:
            with self.subTest(call.path):
                self.assert_fails(kind, Outcome.NOT_RUN, call)
        call = make_chat(request_id="nonsense")
        self.assert_fails(InvalidRequestId, Outcome.UNKNOWN, call)
        self.node.store.value = None
        self.assert_fails(NotReady, Outcome.NOT_RUN, make_chat())

    def test_hop_by_hop_headers_are_not_forwarded(self):
        headers = (
            ("Authorization", "x"),
            ("Transfer-Encoding", "chunked"),
            ("Fescueflow-Customer", "c"),
        )
        call = make_service_call("GET", "look/a%20b?q=1", b"", headers=headers)
        self.dispatch(call)
        received = self.one.received[0]
        self.assertEqual(received.target, "/look/a%20b?q=1")
        self.assertEqual(received.headers["authorization"], "x")
        self.assertNotIn("transfer-encoding", received.headers)
        self.assertNotIn("fescueflow-customer", received.headers)

    def test_header_that_can_not_be_written_is_refused(self):
        """Guards against header injection by line breaks in a value."""
        call = make_service_call(headers=(("X-Bad", "a\r\nX-Request-Id: b"),))
        self.assert_fails(InvalidRequest, Outcome.NOT_RUN, call)


class RetryBudgetTest(unittest.TestCase):
    def test_limits_retries_to_part_of_the_requests(self):
        clock = ManualClock()
        budget = RetryBudget(10, clock)
        while budget.try_take():
            pass
        for _ in range(50):
            budget.add_request()
        self.assertEqual([budget.try_take() for _ in range(6)], [True] * 5 + [False])
        clock.now += 3600
        self.assertEqual(sum(budget.try_take() for _ in range(100)), 10)


if __name__ == "__main__":
    unittest.main()
