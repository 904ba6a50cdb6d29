"""Guards streams against lost, repeated and foreign tokens."""

import itertools
import json
import select
import socket
import threading
import time
import unittest

from hypothesis import given, strategies

from fescueflow.delivery import StreamTruncated
from fescueflow.delivery.events import iterate_events, parse_json
from fescueflow.delivery.loop import StreamLoop, StreamSource
from fescueflow.schema import SlotOutcome
from tests.delivery import fakes
from tests.delivery.fakes import FakeDispatchInstance, make_chat, make_stream_step
from tests.delivery.test_dispatcher import DeliveryTestCase


def read_tokens(chunks):
    """Return the token indexes and how the stream ended."""
    indexes, end = [], "open"
    for event in iterate_events(chunks):
        if event.data is None:
            continue
        if event.data == b"[DONE]":
            end = "done"
        elif event.name == b"error":
            end = json.loads(event.data)["error"]["outcome"]
        else:
            indexes.append(json.loads(event.data)["index"])
    return indexes, end


class StreamTest(DeliveryTestCase):
    def open_stream(self, **changes):
        answer = self.dispatch(make_chat(stream=True, **changes))
        self.assertEqual(answer.status, 200)
        self.addCleanup(answer.body.close)
        return answer.body

    def read_chunks(self, body, chunks):
        chunks.extend(body)

    def read_stream(self, **changes):
        chunks = []
        self.read_chunks(self.open_stream(**changes), chunks)
        return read_tokens(chunks)

    def test_complete_stream(self):
        self.one.steps = [make_stream_step(range(5))]
        self.assertEqual(self.read_stream(), (list(range(5)), "done"))
        self.assertEqual(self.node.get_audit(), [("idempotent", "ran", "u1")])
        text = self.node.metrics.render()
        self.assertIn("fescueflow_first_token_seconds_count 1", text)
        self.assertIn("fescueflow_token_gap_seconds_count 4", text)

    def test_tokens_are_relayed_as_they_arrive(self):
        release = threading.Event()
        self.addCleanup(release.set)
        self.one.steps = [
            make_stream_step([0], False, lambda c, r: release.wait(30)),
        ]
        body = self.open_stream()
        self.assertEqual(read_tokens([next(body)]), ([0], "open"))
        body.close()

    def test_interrupted_stream_is_resumed_without_loss_or_repeat(self):
        broken = b"data: {not json}\n\n"
        error = b'event: error\ndata: {"error": {}}\n\n'
        half = b'data: {"index": 3, "cho'

        def send(data):
            return lambda c, r: c.sendall(fakes.format_chunk(data))

        cases = {
            "cut": make_stream_step([0, 1, 2], False),
            "gap": make_stream_step([0, 1, 2, 4]),
            "duplicate": make_stream_step([0, 1, 1, 2, 0], False),
            "broken": make_stream_step([0, 1, 2], False, send(broken)),
            "error": make_stream_step([0, 1, 2], False, send(error)),
            "half": make_stream_step([0, 1, 2], False, send(half)),
            "no end": make_stream_step(
                [0, 1, 2], False, lambda c, r: c.sendall(b"0\r\n\r\n")
            ),
        }
        for name, step in cases.items():
            with self.subTest(name):
                self.two.received.clear()
                self.one.steps, self.two.steps = [step], [make_stream_step([3, 4])]
                self.assertEqual(self.read_stream(), ([0, 1, 2, 3, 4], "done"))
                self.assertEqual(self.two.received[0].document["resume_from"], 3)

    def test_type_in_another_form(self):
        """Guards against a cut stream that is delivered as another kind of body."""

        def cut(connection, request):
            head = ("Content-Type: Text/Event-Stream", "Transfer-Encoding: chunked")
            fakes.send_head(connection, request.key, *head)
            token = fakes.format_chunk(fakes.format_token(0))
            connection.sendall(token + b"0\r\n\r\n")

        self.one.steps, self.two.steps = [cut], [make_stream_step([1])]
        self.assertEqual(self.read_stream(), ([0, 1], "done"))

    def test_silent_stream_is_resumed(self):
        self.node = FakeDispatchInstance(
            [self.one, self.two], upstream_silence_timeout_ms=200
        )
        self.one.steps = [make_stream_step([0], False, self.one.wait_for_close)]
        self.two.steps = [make_stream_step([1, 2])]
        self.assertEqual(self.read_stream(), ([0, 1, 2], "done"))
        self.assertTrue(self.one.closed_by_peer.wait(30))

    def stream_until_recall(self, indexes, slot):
        """Return a step that streams until its slot is recalled."""

        def recall(connection, request):
            self.node.admission.recall_callbacks[slot]()
            self.one.wait_for_close(connection, request)

        return make_stream_step(indexes, False, recall)

    def test_recalled_stream_is_complete(self):
        """Guards against lost or repeated tokens after a recall.

        A recall must not count as a failure of the engine either.
        """
        self.one.steps = [
            self.stream_until_recall([0, 1, 2], 1),
            make_stream_step([3, 4]),
        ]
        self.assertEqual(self.read_stream(), ([0, 1, 2, 3, 4], "done"))
        self.assertEqual(self.one.received[1].document["resume_from"], 3)
        outcomes = [SlotOutcome.RECALLED, SlotOutcome.COMPLETED]
        self.assertEqual(self.get_outcomes(), outcomes)
        self.assertEqual(
            [d.resumed for d in self.node.admission.demands], [False, True]
        )
        text = self.node.metrics.render()
        self.assertIn("fescueflow_recalled_attempts_total 1", text)
        self.assertNotIn("fescueflow_failed_attempts_total", text)

    def test_recall_before_the_first_token(self):
        """Guards against a recall that the caller sees as an error."""

        def recall(connection, request):
            self.node.admission.recall_callbacks[1]()
            self.one.wait_for_close(connection, request)

        self.one.steps = [
            recall,
            self.stream_until_recall([], 2),
            make_stream_step([0]),
        ]
        self.assertEqual(self.read_stream(), ([0], "done"))
        self.assertEqual(self.get_outcomes()[:2], [SlotOutcome.RECALLED] * 2)

    def test_repeated_recall_ends_what_the_first_did_not(self):
        """Guards against an engine that ignores a half-closed connection."""

        def keep_streaming(connection, request):
            self.node.admission.recall_callbacks[1]()
            self.node.admission.recall_callbacks[1]()
            self.one.closed_by_peer.wait(30)

        def send(connection, request):
            make_stream_step([1])(connection, request)
            self.one.closed_by_peer.set()

        self.one.steps = [make_stream_step([0], False, keep_streaming), send]
        self.assertEqual(self.read_stream(), ([0, 1], "done"))

    def test_stream_that_ends_after_its_recall_is_complete(self):
        """Guards against resuming a stream that has ended."""

        def end(connection, request):
            self.node.admission.recall_callbacks[1]()
            connection.sendall(fakes.format_chunk(b"data: [DONE]\n\n"))

        self.one.steps = [make_stream_step([0], False, end)]
        self.assertEqual(self.read_stream(), ([0], "done"))
        self.assertEqual(self.get_outcomes(), [SlotOutcome.COMPLETED])

    def test_stream_is_recalled_twice_at_most(self):
        """Guards against a stream that never ends because of its recalls."""
        self.one.steps = [
            self.stream_until_recall([0], 1),
            self.stream_until_recall([1], 2),
            make_stream_step([2]),
        ]
        self.assertEqual(self.read_stream(), ([0, 1, 2], "done"))
        recallable = [d.recallable for d in self.node.admission.demands]
        self.assertEqual(recallable, [True, True, False])
        self.assertNotIn(3, self.node.admission.recall_callbacks)

    def test_recalled_stream_waits_until_its_deadline(self):
        """Guards against cutting off a stream whose customer is above its share."""
        self.node.admission.plan = [None] + [fakes.OVER_SHARE] * 14
        self.one.steps = [self.stream_until_recall([0], 1), make_stream_step([1])]
        self.assertEqual(self.read_stream(deadline_ms=2000), ([0, 1], "done"))

    def test_second_resume_and_refused_resumes(self):
        """Guards against a stream that ends after one failed resume."""
        self.one.steps = [make_stream_step([0], False), make_stream_step([1, 2])]
        self.two.steps = [fakes.send_refusal, fakes.send_mismatched_response]
        self.assertEqual(self.read_stream(), ([0, 1, 2], "done"))
        self.assertIn(SlotOutcome.REFUSED_BY_UPSTREAM, self.get_outcomes())

    def test_stream_that_can_not_be_resumed_fails_explicitly(self):
        """Guards against an incomplete stream that looks complete."""
        self.one.steps = [make_stream_step([0, 1], False)]
        self.two.steps = [fakes.close_connection] * 100
        self.one.steps += [fakes.close_connection] * 100
        body = self.open_stream(deadline_ms=600)
        chunks = []
        with self.assertRaises(StreamTruncated):
            self.read_chunks(body, chunks)
        self.assertEqual(read_tokens(chunks), ([0, 1], "outcome_unknown"))
        self.assertEqual(
            [outcome for _, outcome, _ in self.node.get_audit()], ["outcome_unknown"]
        )

    def test_caller_that_disconnects_cancels_the_upstream(self):
        self.one.steps = [make_stream_step([0], False, self.one.wait_for_close)]
        body = self.open_stream()
        next(body)
        body.close()
        body.close()
        self.assertTrue(self.one.closed_by_peer.wait(30))
        self.assertEqual(self.get_outcomes(), [SlotOutcome.UNUSED])
        self.assertEqual(len(self.node.get_audit()), 1)

    def test_unread_stream_gives_its_slot_back(self):
        """Guards against a leaked slot.

        A generator that was never started does not run its ``finally`` blocks.
        """
        self.one.steps = [make_stream_step([0], False, self.one.wait_for_close)]
        self.open_stream().close()
        self.assertTrue(self.one.closed_by_peer.wait(30))

    def test_failure_before_the_stream_is_an_error_answer(self):
        def send_error(connection, request):
            fakes.send_response(connection, request.key, b"{}", "400 Bad")

        self.one.steps = [send_error]
        answer = self.dispatch(make_chat(stream=True))
        self.assertEqual((answer.status, answer.body), (400, b"{}"))


class FailingSelector:
    """Selector that raises an error when data has arrived."""

    def __init__(self):
        self.epoll = select.epoll()
        self.register = self.epoll.register
        self.unregister = self.epoll.unregister

    def poll(self, timeout):
        if self.epoll.poll(timeout):
            raise ZeroDivisionError
        return []


class FailingSource(StreamSource):
    """Stream without data whose timeout check raises an error."""

    def __init__(self, connection):
        self.connection = connection

    def get_socket(self):
        return self.connection

    def receive(self):
        raise BlockingIOError

    def check_timeout(self):
        raise ZeroDivisionError


class LoopTest(StreamTest):
    """Runs the same tests for bodies that write from the stream loop."""

    refused_writes = 0

    def setUp(self):
        super().setUp()
        self.writers = set()

    def read_chunks(self, body, chunks):
        refusals = itertools.cycle([False] * self.refused_writes + [True])

        def try_write(data):
            if not next(refusals):
                return False
            self.writers.add(threading.current_thread().name)
            chunks.append(data)
            return True

        body.attach_writer(try_write)
        chunks.extend(body)

    def stream_slowly(self, count, after=None):
        """Return a step that sends tokens with pauses, so that the loop must wait."""

        def send(connection, request):
            for index in range(1, count):
                time.sleep(0.01)
                connection.sendall(fakes.format_chunk(fakes.format_token(index)))
                if after is not None and index == count // 2:
                    after()
            end = fakes.format_chunk(b"data: [DONE]\n\n")
            connection.sendall(end)

        return make_stream_step([0], False, send)

    def test_loop_writes_what_it_reads(self):
        """Guards against streams that are read in their own threads.

        They take twice the processor time.
        """
        self.one.steps = [self.stream_slowly(10)]
        self.assertEqual(self.read_stream(), (list(range(10)), "done"))
        self.assertEqual(self.writers, {"streams"})

    def test_stream_goes_on_when_the_loop_stops(self):
        """Guards against streams that are cut off or hang when the loop stops."""
        stop = self.node.dispatcher.stop
        self.one.steps = [self.stream_slowly(10, stop), self.stream_slowly(3)]
        self.assertEqual(self.read_stream(), (list(range(10)), "done"))
        self.assertEqual(self.read_stream(), (list(range(3)), "done"))

    def test_error_in_the_loop_reaches_the_task(self):
        """Guards against an error that makes this stream and all others hang."""

        def fail(data):
            raise ZeroDivisionError

        self.one.steps = [self.stream_slowly(10), self.stream_slowly(3)]
        body = self.open_stream()
        body.attach_writer(fail)
        with self.assertRaises(ZeroDivisionError):
            list(body)
        body.close()
        self.assertEqual(self.read_stream(), (list(range(3)), "done"))

    def fail_loop(self):
        """Use a loop that fails when the first data arrives."""
        loop = StreamLoop(self.node.clock, self.node.metrics, FailingSelector())
        self.node.make_dispatcher(loop)

    def test_stream_is_resumed_after_the_loop_has_failed(self):
        """Guards against a loop that fails without being reported."""

        def keep_streaming(connection, request):
            make_stream_step(range(request.document["resume_from"], 10))(
                connection, request
            )

        self.fail_loop()
        self.one.steps = [
            self.stream_slowly(10),
            keep_streaming,
            self.stream_slowly(3),
        ]
        self.assertEqual(self.read_stream(), (list(range(10)), "done"))
        self.assertEqual(self.read_stream(), (list(range(3)), "done"))
        self.assertEqual(self.writers, set())
        self.assertTrue(self.node.dispatcher.has_failed_stream_loop())
        count = self.node.metrics.get_count
        self.assertEqual(count("stream_loop_failures"), 1)
        self.assertEqual(count("failed_attempts", reason="loop_failed"), 1)

    def test_stream_fails_explicitly_after_the_loop_has_failed(self):
        """Guards against a stream that waits for a loop that has ended."""
        self.fail_loop()
        self.one.steps = [self.stream_slowly(10)] + [fakes.close_connection] * 100
        self.two.steps = [fakes.close_connection] * 100
        chunks = []
        with self.assertRaises(StreamTruncated):
            self.read_chunks(self.open_stream(deadline_ms=600), chunks)
        self.assertEqual(read_tokens(chunks)[1], "outcome_unknown")

    def test_error_in_a_time_limit_ends_its_own_stream_only(self):
        """Guards against an error in one stream that ends the loop for all streams."""
        loop = StreamLoop(self.node.clock, self.node.metrics)
        self.addCleanup(loop.stop)
        with socket.socket() as unused, self.assertRaises(ZeroDivisionError):
            loop.run(FailingSource(unused))
        self.assertFalse(loop.has_failed())


class SlowCallerTest(LoopTest):
    """Runs the same tests with most writes from the loop refused."""

    refused_writes = 2


class EventTest(unittest.TestCase):
    @given(
        strategies.lists(strategies.binary(max_size=20).filter(lambda b: b)),
        strategies.integers(1, 7) | strategies.integers(8, 60),
    )
    def test_chunk_boundaries_do_not_matter(self, values, size):
        """Guards against events that depend on how the network splits the bytes."""
        lines = [v.replace(b"\n", b"").replace(b"\r", b"") for v in values]
        data = b"".join(b"data: " + line + b"\n\n" for line in lines)
        chunks = [data[i : i + size] for i in range(0, len(data), size)]
        self.assertEqual([e.data for e in iterate_events(chunks)], lines)

    @given(
        strategies.lists(
            strategies.sampled_from(
                [
                    b"data: one\n\n",
                    b"data: two\r\n\r\n",
                    b"data: a\ndata: b\n\n",
                    b"event: error\n",
                    b"event: error\ndata: e\n\n",
                    b": comment\n\n",
                    b"data: half",
                    b"data:\n\n",
                    b"\n",
                ]
            )
        )
    )
    def test_single_event_chunks_are_parsed_like_split_ones(self, chunks):
        """Guards against a fast path for single events that changes a name or data."""
        split = [bytes([byte]) for chunk in chunks for byte in chunk]
        self.assertEqual(list(iterate_events(chunks)), list(iterate_events(split)))

    @given(
        strategies.recursive(
            strategies.none() | strategies.integers() | strategies.text(),
            lambda inner: strategies.dictionaries(strategies.text(), inner),
        ),
        strategies.sampled_from(["utf-8", "utf-8-sig", "utf-16", "utf-16-le"]),
        strategies.sampled_from(["V", " V", "V ", "V}", "VV", "[V", '{"index": V}']),
    )
    def test_json_is_parsed_like_the_standard_library(self, value, encoding, form):
        """Guards against a fast path that accepts bad JSON or rejects valid JSON."""
        data = form.replace("V", json.dumps(value)).encode(encoding)
        try:
            expected = json.loads(data)
        except ValueError:
            with self.assertRaises(ValueError):
                parse_json(data)
        else:
            self.assertEqual(parse_json(data), expected)

    @given(strategies.lists(strategies.binary()))
    def test_random_bytes_raise_no_error(self, chunks):
        list(iterate_events(chunks))


if __name__ == "__main__":
    unittest.main()
