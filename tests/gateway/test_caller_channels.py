"""Tests of connections of callers without a server's loop."""

import socket
import time
import tracemalloc
import unittest
from types import SimpleNamespace

from waitress.adjustments import Adjustments

from fescueflow.core import Overloaded
from fescueflow.gateway.caller_memory import CallerMemory
from fescueflow.gateway.caller_requests import CallerRules
from fescueflow.gateway.caller_watch import CallerWatch
from fescueflow.gateway.channels import make_channel_class
from fescueflow.gateway.threads import GrowingDispatcher
from fescueflow.gateway.unanswered import UnansweredRequests
from fescueflow.metrics import Metrics
from fescueflow.routing import CallerBound, CallerLimits, CallerProgress, Hold
from tests.gateway.outside_callers import HEAD, render_length

ANSWER_BYTES = 1 << 22
ANSWER = bytes(range(256)) * (ANSWER_BYTES // 256)
KEPT_BYTES = 1 << 19


def make_rules(memory_bytes=1e8):
    return CallerRules(
        memory=CallerMemory(memory_bytes),
        get_limits=lambda: CallerLimits(16384, 4 << 20, 15.0, 3.0),
        metrics=Metrics(),
    )


class CallerChannelTest(unittest.TestCase):
    """Guards against answers that are taken for unread ones."""

    def setUp(self):
        self.rules = make_rules()
        self.sweeps = []
        server = SimpleNamespace(
            active_channels={}, pull_trigger=self.note_sweep, add_task=lambda _: None
        )
        metrics = self.rules.metrics
        channel_class = make_channel_class(
            lambda: False,
            lambda: False,
            UnansweredRequests(metrics),
            self.rules,
            lambda: None,
        )
        ours, self.caller = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(ours.close)
        self.channel = channel_class(
            server, ours, ("127.0.0.1", 1), Adjustments(outbuf_overflow=1 << 30), map={}
        )

    def note_sweep(self):
        self.sweeps.append(time.monotonic() - self.channel.taken_at)

    def test_answer_on_a_connection_that_was_idle(self):
        self.channel.taken_at -= 100.0
        self.channel.write_soon(b"x" * ANSWER_BYTES)
        self.assertTrue(self.sweeps)
        self.assertLess(max(self.sweeps), 50.0)

    def test_body_behind_an_answer_that_is_taken(self):
        """Guards against a running answer that is reset for what is read behind it."""
        self.channel.received(b"GET /a HTTP/1.1\r\n\r\n")
        self.channel.write_soon(b"x" * ANSWER_BYTES)
        size = self.channel.total_outbufs_len
        head = HEAD + render_length(4 << 20)
        self.channel.received(head + b"x" * (ANSWER_BYTES - 1000))
        self.assertGreater(self.channel.get_hold().held_bytes, size)
        self.channel.give_way(CallerBound.MEMORY, Overloaded("full", None, 1))
        self.assertTrue(self.channel.connected)
        self.assertEqual(self.channel.total_outbufs_len, size)
        self.assertEqual(self.channel.get_hold().held_bytes, size)

    def test_answer_that_is_not_taken(self):
        self.channel.write_soon(b"x" * ANSWER_BYTES)
        self.channel.give_way(CallerBound.MEMORY, Overloaded("full", None, 1))
        self.assertFalse(self.channel.connected)
        self.assertEqual(self.rules.memory.held_bytes, 0)

    def test_memory_of_an_answer_that_is_taken(self):
        """Guards against bytes that stay in memory after they have been taken."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.channel.write_soon(ANSWER)
        before = tracemalloc.get_traced_memory()[0]
        self.assertGreater(before, ANSWER_BYTES // 2)
        taken = b""
        while len(taken) < ANSWER_BYTES - KEPT_BYTES:
            taken += self.caller.recv(1 << 16)
            self.channel.handle_write()
        self.assertEqual(taken, ANSWER[: len(taken)])
        del taken
        now = tracemalloc.get_traced_memory()[0]
        self.assertLess(now, 2 * KEPT_BYTES)


class WatchCase(unittest.TestCase):
    def setUp(self):
        self.rules = make_rules(memory_bytes=8e6)
        self.channels = {}
        self.ended = []
        listener = SimpleNamespace(active_channels=self.channels)
        self.watch = CallerWatch(self.rules, [listener], 100)


class CallerWatchTest(WatchCase):
    """Guards against relief that cuts ordinary callers and releases too little."""

    def add(self, name, size, age_s, is_answer=False):
        since = time.monotonic() - age_s
        channel = SimpleNamespace(
            get_hold=lambda: Hold(channel, size, since, is_answer),
            give_way=lambda *_: self.ended.append(name),
        )
        self.channels[name] = channel
        self.rules.memory.move(0, size)

    def test_requests_that_run_hold_the_memory(self):
        self.rules.memory.move(0, 3_050_000)
        self.add("answer", 60_000, 0.1, is_answer=True)
        self.add("request", 2_000, 0.1)
        self.watch.relieve()
        self.assertEqual(self.ended, [])
        self.assertTrue(self.rules.memory.is_exhausted)

    def test_large_request_goes_first(self):
        self.rules.memory.move(0, 2_900_000)
        self.add("answer", 60_000, 0.1, is_answer=True)
        self.add("small", 2_000, 0.1)
        self.add("large", 400_000, 0.1)
        self.watch.relieve()
        self.assertEqual(self.ended, ["large"])

    def test_answer_that_is_not_taken(self):
        self.rules.memory.move(0, 2_900_000)
        self.add("answer", 400_000, 6.0, is_answer=True)
        self.watch.relieve()
        self.assertEqual(self.ended, ["answer"])


class UnusedConnectionTest(WatchCase):
    """Guards against callers that are blamed for a loop that was late."""

    def setUp(self):
        super().setUp()
        self.ours, self.caller = socket.socketpair()
        self.addCleanup(self.ours.close)
        self.addCleanup(self.caller.close)
        self.watch._connections_max = 1

    def add_connection(self, age_s, request=None, progress=None):
        since = time.monotonic() - age_s
        channel = SimpleNamespace(
            socket=self.ours,
            addr=("127.0.0.1", 1),
            request=request,
            requests=[],
            total_outbufs_len=0,
            is_new=request is None,
            is_lingering=False,
            will_close=False,
            received_at=since,
            answered_at=since,
            get_progress=lambda now: progress or CallerProgress(),
            give_way=lambda bound, _: self.ended.append(bound),
        )
        self.channels["a"] = channel
        return channel

    def sweep(self, elapsed_s=1.0):
        self.watch._listeners[0].task_dispatcher = GrowingDispatcher(1)
        self.watch._swept_at = time.monotonic() - elapsed_s
        self.watch.sweep()

    def test_connection_without_a_byte(self):
        channel = self.add_connection(4.0)
        self.sweep()
        self.assertFalse(channel.will_close)
        channel = self.add_connection(6.0)
        self.sweep(elapsed_s=4.0)
        self.assertFalse(channel.will_close)
        self.sweep()
        self.assertTrue(channel.will_close)

    def test_connection_with_data_to_read(self):
        channel = self.add_connection(6.0)
        self.caller.sendall(b"G")
        self.sweep()
        self.assertFalse(channel.will_close)

    def test_body_whose_rest_waits_to_be_read(self):
        late = CallerProgress(body_since=time.monotonic() - 30.0)
        self.add_connection(0.0, request=object(), progress=late)
        self.caller.sendall(b"x")
        self.sweep()
        self.assertEqual(self.ended, [])
        self.ours.recv(1)
        self.sweep()
        self.assertEqual(self.ended, [CallerBound.BODY_PROGRESS])

    def test_threads_that_are_busy_for_two_sweeps(self):
        channel = self.add_connection(0.0)
        channel.total_outbufs_len, channel.requests = 1, [object()]
        channel.taken_at = time.monotonic() - 6.0
        self.watch._connections_max = 100
        dispatcher = GrowingDispatcher(1)
        self.watch._listeners[0].task_dispatcher = dispatcher
        for queue, expected in (([1], 0), ([], 0), ([1], 0), ([1], 1)):
            dispatcher.queue.clear()
            dispatcher.queue.extend(queue)
            self.watch._swept_at = time.monotonic() - 1.0
            self.watch.sweep()
            self.assertEqual(len(self.ended), expected)


if __name__ == "__main__":
    unittest.main()
