"""Tests that each caller gets its own complete answer or an explicit failure."""

import json
import threading
from dataclasses import replace

from tests.guarantees.fleet_case import PRESET, TIMEOUT_S, FleetCase, run_concurrently
from tests.selection import long_run
from tests.standins.content import make_answer, make_service_answer, make_tokens
from tests.standins.deployment import LEDGER
from tests.standins.faults import Fault
from tests.standins.results import ResultKind, count_kinds

CALLERS = 12
LONG_TOKENS = 80
# Beyond the silence limit of 2 s for upstreams in the short timings.
ANSWER_DELAY_S = 2.5


class SwappedAnswers:
    """Makes an upstream answer each request with the answer to the previous one.

    The answer carries the id of that previous request, as from an upstream or proxy
    that mixes up its connections.
    """

    def __init__(self, upstream):
        self._handle, self._lock = upstream.handle, threading.Lock()
        self._last = "other.1.1.0/1", self.make_body("GET", "/", b""), ""
        self.count = 0
        upstream.handle = self.handle

    def make_body(self, method, path, body):
        return make_service_answer(method, path, body)

    def handle(self, exchange):
        if exchange.path.startswith("/load"):
            self._handle(exchange)
            return
        chat = exchange.path == "/v1/chat/completions"
        message = json.loads(exchange.body)["messages"][-1]["content"] if chat else ""
        body = self.make_body(exchange.command, exchange.path, exchange.body)
        with self._lock:
            request_id = exchange.headers["X-Request-Id"]
            current, self._last = self._last, (request_id, body, message)
            self.count += 1
        request_id, body, message = current
        headers = {"X-Request-Id": request_id, "Content-Type": "application/json"}
        if chat and json.loads(exchange.body)["stream"]:
            self.stream(exchange, request_id, message)
            return
        if chat:
            choice = {"index": 0, "message": {"content": make_answer(message)}}
            body = json.dumps({"choices": [choice]}).encode()
        exchange.send(200, body, headers)

    def stream(self, exchange, request_id, message):
        exchange.start_stream({"X-Request-Id": request_id})
        for index, token in enumerate(make_tokens(message)):
            event = {"index": index, "choices": [{"delta": {"content": token}}]}
            exchange.send_chunk(b"data: " + json.dumps(event).encode() + b"\n\n")
        exchange.send_chunk(b"data: [DONE]\n\n")
        exchange.end_stream()


class WholeAnswerCase(FleetCase):
    def call(self, caller, number, tag):
        """Make one of four kinds of calls, each with unique content."""
        body = f'{{"tag": "{tag}-{number}"}}'.encode()
        match number % 4:
            case 0 | 1:
                return self.chat(caller, f"{tag}-{number}", stream=number % 4 == 0)
            case 2:
                return caller.call_service(LEDGER, "POST", "/quotes", body, True)
        name = self.ids[number % len(self.ids)]
        return self.send_non_idempotent(
            caller, caller.take_request_id(LEDGER), name, body
        )

    def call_all(self, tag, count=CALLERS * 2, **limits):
        """Make ``count`` calls concurrently and return their results."""
        limits = {"deadline_s": 8.0, "timeout_s": TIMEOUT_S, **limits}
        callers = [self.make_caller(n, **limits) for n in range(count)]
        return run_concurrently(count, lambda n: self.call(callers[n], n, tag))

    def assert_complete_or_failed(self, results):
        """Assert that each result is complete or a failure with an error type."""
        for result in results:
            self.assertIsNot(result.kind, ResultKind.WRONG_CONTENT, result)
            self.assertTrue(result.whole or result.error_type, result)

    def restore_handler(self, upstream):
        upstream.__dict__.pop("handle", None)


@long_run
class FaultyUpstreamTest(WholeAnswerCase):
    """Guards against answers with missing, duplicated or another request's bytes."""

    def test_faulty_answers(self):
        faults = [Fault.TRUNCATED, Fault.UNDELIMITED, Fault.CROSSED, Fault.CUT]
        faults += [Fault.DUPLICATED_TOKEN, Fault.CLOSE_BEFORE_ANSWER]
        faults += [Fault.SILENT, Fault.SILENT_AFTER_EXECUTION]
        for fault in faults:
            with self.subTest(fault.value):
                for upstream in self.deployment.get_upstreams().values():
                    upstream.faults.set(fault, 5, count=3)
                results = self.call_all(fault.value)
                self.clear_faults()
                self.assert_complete_or_failed(results)
                # A request whose answer fails before its first byte is retried only
                # within the retry budget; a stream that has begun is always resumed.
                if fault not in (Fault.CROSSED, Fault.SILENT):
                    streams = results[::4]
                    self.assertEqual({r.kind for r in streams}, {ResultKind.WHOLE})
        self.assert_at_most_once()

    def test_answers_of_other_requests(self):
        """Guards against a complete answer that belongs to another caller."""
        upstreams = self.deployment.get_upstreams()
        for names in (["engine-0", "ledger-0"], list(upstreams)):
            swapped = [SwappedAnswers(upstreams[name]) for name in names]
            for name in names:
                self.addCleanup(self.restore_handler, upstreams[name])
            results = [
                result
                for turn in range(3)
                for result in self.call_all(f"{len(names)}-{turn}", deadline_s=2.0)
            ]
            self.assertGreater(sum(upstream.count for upstream in swapped), 0)
            self.assert_complete_or_failed(results)
        self.assertEqual(count_kinds(results)[ResultKind.WHOLE], 0)

    def test_late_answers(self):
        """Guards against an answer that arrives after its request timed out."""
        upstreams = self.deployment.get_upstreams()
        late = [upstreams[name] for name in ("engine-0", "engine-1", "ledger-0")]
        for upstream in late:
            self.addCleanup(setattr, upstream, "options", upstream.options)
        for upstream in late[:2]:
            upstream.options = replace(
                upstream.options, token_s=ANSWER_DELAY_S, keepalive_s=TIMEOUT_S
            )
        late[2].options = replace(late[2].options, delay_s=ANSWER_DELAY_S)
        results = self.call_all("late") + self.call_all("later")
        self.assert_complete_or_failed(results)
        self.assertEqual({r.kind for r in results[::4]}, {ResultKind.WHOLE})


class LostConnectionTest(WholeAnswerCase):
    """Guards against streams that end early or repeat tokens when resumed."""

    def stream_during_failure(self, break_engine):
        """Break the busiest engine while it streams; assert that streams resume."""
        engines = self.deployment.engines

        def count_open(engine):
            entries = engine.ledger.get_entries()
            return sum(e.ended_at is None and e.tokens_sent > 2 for e in entries)

        def work(number):
            if number < CALLERS:
                caller = self.make_caller(number, timeout_s=TIMEOUT_S)
                return self.chat(
                    caller, f"{id(break_engine)}-{number}", tokens=LONG_TOKENS
                )
            self.fleet.wait_until(
                lambda: max(map(count_open, engines.values())) > 1,
                TIMEOUT_S,
                "two streams of one engine have begun",
            )
            name = max(engines, key=lambda name: count_open(engines[name]))
            before = [len(e.ledger.get_entries()) for e in engines.values()]
            break_engine(engines[name])
            return name, before

        *results, (name, before) = run_concurrently(CALLERS + 1, work)
        self.assertEqual(
            {(r.kind, r.detail) for r in results}, {(ResultKind.WHOLE, "")}
        )
        resumed = [
            entry
            for (other, engine), begun in zip(engines.items(), before, strict=True)
            for entry in engine.ledger.get_entries()[begun:]
            if entry.resume_from and other != name
        ]
        self.assertGreater(len(resumed), 0)

    def send_command_to_all(self, op, engine):
        for instance in self.fleet.get_running():
            self.fleet.order(instance.id, op, engine.host)

    def test_engine_killed(self):
        for engine in self.deployment.engines.values():
            self.addCleanup(engine.start)
        self.stream_during_failure(lambda engine: engine.stop_listening())

    def test_engine_restarted(self):
        self.stream_during_failure(lambda engine: engine.restart())

    def test_link_to_engine_cut(self):
        self.stream_during_failure(
            lambda engine: self.send_command_to_all("cut", engine)
        )

    def test_open_connections_to_engine_go_silent(self):
        self.stream_during_failure(
            lambda engine: self.send_command_to_all("silence", engine)
        )

    def test_connections_between_instances_go_silent(self):
        """Guards against a truncated answer to a request that was forwarded."""
        owner, ids = self.obtain_request_ids(16)
        names = [name for name in self.ids if name != owner]
        for service in self.deployment.services.values():
            service.options = replace(service.options, delay_s=1.0)
            self.addCleanup(setattr, service, "options", PRESET.service_options)

        def work(number):
            if number < len(ids):
                name = names[number % len(names)]
                body = f'{{"number": {number}}}'.encode()
                caller = self.make_caller(timeout_s=TIMEOUT_S)
                return self.send_non_idempotent(caller, ids[number], name, body)
            self.fleet.wait_until(
                lambda: any(
                    s.state.in_flight for s in self.deployment.services.values()
                ),
                TIMEOUT_S,
                "a request runs",
            )
            for name in names:
                self.fleet.order(name, "silence", self.fleet.instances[owner].host)
            return None

        results = run_concurrently(len(ids) + 1, work)[:-1]
        self.assert_complete_or_failed(results)
        self.assert_at_most_once()

    def test_instance_killed(self):
        """Guards against a truncated answer that looks complete to the caller."""
        victim = self.fleet.instances[self.ids[0]]
        begun = threading.Semaphore(0)

        def work(number):
            if number == CALLERS:
                for _ in range(CALLERS):
                    self.assertTrue(begun.acquire(timeout=TIMEOUT_S))
                self.fleet.wait_until(
                    lambda: any(
                        entry.ended_at is None and entry.tokens_sent > 2
                        for engine in self.deployment.engines.values()
                        for entry in engine.ledger.get_entries()
                    ),
                    TIMEOUT_S,
                    "a stream has begun",
                )
                self.fleet.kill(victim.id)
                return None
            caller = self.make_caller(number)
            caller.get_addresses = lambda: [victim.http_address]
            caller._find_address = lambda call: (None, victim.http_address)
            begun.release()
            return self.chat(
                caller, f"killed-{number}", tokens=LONG_TOKENS, stream=number % 2 == 0
            )

        results = run_concurrently(CALLERS + 1, work)[:-1]
        kinds = count_kinds(results)
        self.assertEqual(kinds[ResultKind.WRONG_CONTENT], 0, results)
        self.assertGreater(kinds[ResultKind.CUT], 0)
