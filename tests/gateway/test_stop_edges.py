"""Tests of requests at the edges of a planned stop."""

import socket
import threading
import time
from unittest import mock

from fescueflow.gateway.departure import Stage
from tests.gateway.gateway_case import WAIT_S, GatewayTestCase
from tests.gateway.raw_callers import (
    connect,
    list_statuses,
    read_all,
    render_request,
)

# Pause in the middle of a request, well below the time for its rest.
PAUSE_S = 0.3
# More than both sides' sockets hold at first.
LARGE_BYTES = 1_000_000
UNTAKEN_BYTES = 12_000_000
STEP_S = 3600.0


class StopEdgeTest(GatewayTestCase):
    """Guards against requests that a stop cuts between two steps of the instance."""

    grace_s = 4.0

    def setUp(self):
        super().setUp()
        self.released = threading.Event()
        self.addCleanup(self.released.set)
        self.left = threading.Event()
        (self.listener,) = self.gateway._caller_server._listeners

    def connect(self, **options):
        caller = connect(self.ports["callers"], **options)
        self.addCleanup(caller.close)
        return caller

    def start_leaving(self):
        def leave():
            self.gateway.leave()
            self.left.set()

        thread = threading.Thread(target=leave)
        self.addCleanup(thread.join)
        thread.start()

    def wait_for_refusing(self):
        stage = self.gateway._departure.get_stage
        self.wait_for(lambda: stage() in (Stage.REFUSING, Stage.ENDING))

    def hold_loop(self):
        """Hold up the server's loop; return the event that lets it go on."""
        held, gate = threading.Event(), threading.Event()
        self.addCleanup(gate.set)
        readable = self.listener.readable

        def wait():
            held.set()
            gate.wait(WAIT_S)
            return readable()

        self.listener.readable = wait
        self.listener.pull_trigger()
        self.assertTrue(held.wait(WAIT_S))
        return gate

    def answer_late(self, handler):
        self.released.wait(WAIT_S)
        handler.send_sealed()

    def wait_for_requests(self, count):
        """Wait until this many requests are read whole and not answered."""
        channels = self.listener.active_channels
        self.wait_for(
            lambda: sum(len(c.requests) for c in list(channels.values())) == count
        )

    def test_connection_that_waits_to_be_accepted(self):
        gate = self.hold_loop()
        caller = self.connect()
        caller.sendall(render_request("/once/1"))
        self.start_leaving()
        self.wait_for_refusing()
        # Time in which a stop that waits for nothing has ended.
        self.left.wait(PAUSE_S)
        gate.set()
        data, _ = read_all(caller)
        self.assertEqual(list_statuses(data), [503])
        self.assertEqual(sum(self.count_arrivals()), 0)

    @mock.patch("fescueflow.gateway.server.REST_WAIT_S", WAIT_S)
    def test_new_connection_whose_request_is_on_its_way(self):
        self.set_script(*[self.answer_late] * 2)
        first = self.connect()
        first.sendall(render_request("/safe/1"))
        self.wait_for(lambda: sum(self.count_arrivals()))
        gate = self.hold_loop()
        caller = self.connect()
        self.start_leaving()
        self.wait_for_refusing()
        gate.set()
        self.wait_for(lambda: not self.listener.accepting)
        caller.sendall(render_request("/once/1"))
        self.assertEqual(list_statuses(read_all(caller)[0]), [503])

    @mock.patch("fescueflow.gateway.server.REST_WAIT_S", WAIT_S)
    def test_request_that_is_read_in_part(self):
        caller = self.connect()
        request = render_request("/once/1", body=b"question")
        caller.sendall(request[:-1])
        self.start_leaving()
        self.wait_for(lambda: not self.listener.accepting)
        self.left.wait(PAUSE_S)
        caller.sendall(request[-1:])
        data, _ = read_all(caller)
        self.assertEqual(list_statuses(data), [503])

    def test_caller_that_sends_no_more_does_not_hold_up_the_stop(self):
        caller = self.connect()
        caller.sendall(render_request("/once/1", body=b"question")[:-1])
        channels = self.listener.active_channels
        self.wait_for(lambda: any(c.request for c in list(channels.values())))
        self.wait_for(lambda: not self.gateway._caller_server.count_pending())

    def test_connection_without_a_request_does_not_hold_up_the_stop(self):
        self.connect()
        self.wait_for(lambda: self.listener.active_channels)
        self.wait_for(lambda: not self.gateway._caller_server.count_pending())

    def test_request_that_waits_for_a_thread(self):
        self.set_script(*[self.answer_late] * 2)
        self.gateway._caller_server._dispatcher._threads_max = 2
        callers = [self.connect() for _ in range(3)]
        for caller in callers:
            caller.sendall(render_request("/once/1"))
        self.wait_for_requests(3)
        self.start_leaving()
        answers = [list_statuses(read_all(caller)[0]) for caller in callers]
        self.assertEqual(sorted(answers), [[503], [504], [504]])

    def test_pipelined_request_that_is_read_before_the_stop(self):
        self.set_script(*[self.answer_late] * 2)
        caller = self.connect()
        caller.sendall(render_request("/safe/1") + render_request("/safe/2", "a2"))
        self.wait_for_requests(2)
        self.start_leaving()
        self.wait_for(lambda: self.gateway._departure.has_started)
        self.released.set()
        data, _ = read_all(caller)
        self.assertEqual(list_statuses(data), [200, 200])
        self.assertEqual(data.lower().count(b"connection: close"), 1)

    def test_unread_input_destroys_no_answer(self):
        answer = b"x" * LARGE_BYTES
        self.set_script(
            *[lambda h: (self.released.wait(WAIT_S), h.send_sealed(body=answer))] * 2
        )
        caller = self.connect(receive_bytes=4096)
        # Only two requests are read at once, the others stay in the socket.
        caller.sendall(render_request("/safe/1"))
        self.wait_for_requests(1)
        caller.sendall(render_request("/safe/2"))
        self.wait_for_requests(2)
        caller.sendall(render_request("/safe/3"))
        self.start_leaving()
        self.wait_for(lambda: self.gateway._departure.has_started)
        self.released.set()
        data, _ = read_all(caller)
        self.assertEqual(list_statuses(data)[:1], [200])
        self.assertGreaterEqual(len(data), LARGE_BYTES)

    def test_half_closed_connection_counts_as_left(self):
        """A caller that closed looks the same until something is sent to it."""
        self.set_script(*[self.answer_late] * 2)
        caller = self.connect()
        caller.sendall(render_request("/safe/1"))
        self.wait_for(lambda: sum(self.count_arrivals()))
        caller.shutdown(socket.SHUT_WR)
        self.assertEqual(read_all(caller)[0], b"")
        metrics = self.gateway._metrics
        self.wait_for(lambda: metrics.get_count("unanswered", cause="caller_left"))

    def test_stream_that_began_before_the_stop_told_the_close(self):
        def answer(handler):
            handler.start_stream()
            handler.send_event(1)
            self.released.wait(WAIT_S)
            handler.end_stream()

        self.set_script(answer, answer)
        caller = self.connect()
        caller.sendall(render_request("/stream/1"))
        self.wait_for_requests(1)
        self.wait_for(lambda: sum(self.count_arrivals()))
        self.start_leaving()
        self.wait_for(lambda: self.gateway._departure.has_started)
        self.released.set()
        data, _ = read_all(caller)
        self.assertIn(b"connection: close", data.lower())
        self.assertTrue(data.endswith(b"0\r\n\r\n"))

    def test_request_that_crosses_the_close_is_not_passed_on(self):
        """It arrives between the look for unread input and the close."""
        caller = self.connect()
        caller.sendall(render_request("/safe/1"))
        answer = b""
        while not answer.endswith(b"answer"):
            answer += caller.recv(10_000)
        for upstream in self.upstreams:
            upstream.arrivals.clear()
        crossed = threading.Event()

        def look(channel):
            if not crossed.is_set():
                caller.sendall(render_request("/once/2", "a2"))
                crossed.set()
            return False

        with mock.patch("fescueflow.gateway.server.is_pending", look):
            self.start_leaving()
            self.assertTrue(crossed.wait(WAIT_S))
            data, _ = read_all(caller)
        self.assertTrue(self.left.wait(WAIT_S))
        self.assertEqual(data, b"")
        self.assertEqual(sum(self.count_arrivals()), 0)

    def test_report_that_fails_at_the_departure(self):
        def fail():
            raise ValueError("unforeseen")

        self.set_script(*[self.answer_late] * 2)
        caller = self.connect()
        caller.sendall(render_request("/safe/1"))
        self.wait_for(lambda: sum(self.count_arrivals()))
        self.gateway._transport._make_report = fail
        self.start_leaving()
        self.wait_for_refusing()
        self.released.set()
        self.assertEqual(list_statuses(read_all(caller)[0]), [200])
        self.assertTrue(self.left.wait(WAIT_S))

    def test_second_departure_changes_nothing(self):
        self.set_script(*[self.answer_late] * 2)
        caller = self.connect()
        caller.sendall(render_request("/safe/1"))
        self.wait_for(lambda: sum(self.count_arrivals()))
        self.start_leaving()
        self.wait_for_refusing()
        self.gateway.leave()
        self.released.set()
        self.assertEqual(list_statuses(read_all(caller)[0]), [200])


class ThreadWaitTest(GatewayTestCase):
    """Guards against deadlines that begin anew when a thread is free."""

    def test_deadline_that_passes_before_a_thread_is_free(self):
        released = threading.Event()
        self.addCleanup(released.set)
        late = lambda h: (released.wait(WAIT_S), h.send_sealed())  # noqa: E731
        self.set_script(late, late)
        self.gateway._caller_server._dispatcher._threads_max = 2
        first = [connect(self.ports["callers"]) for _ in range(2)]
        for caller in first:
            self.addCleanup(caller.close)
            caller.sendall(render_request("/safe/1"))
        self.wait_for(lambda: sum(self.count_arrivals()) == 2)
        caller = connect(self.ports["callers"])
        self.addCleanup(caller.close)
        request = render_request("/safe/2", "a2").replace(b"9000", b"300")
        caller.sendall(request)
        started_at = time.monotonic()
        self.wait_for(lambda: time.monotonic() > started_at + 0.5)
        released.set()
        # Not passed on, and told so.
        self.assertEqual(list_statuses(caller.recv(10_000)), [503])
        self.assertEqual(sum(self.count_arrivals()), 2)


class ClockStepTest(GatewayTestCase):
    """Guards against connections that a step of the wall clock closes."""

    def test_step_of_an_hour(self):
        answer = b"x" * UNTAKEN_BYTES
        self.set_script(*[lambda h: h.send_sealed(body=answer)] * 2)
        (listener,) = self.gateway._caller_server._listeners
        listener.adj.outbuf_high_watermark = 2 * UNTAKEN_BYTES
        caller = connect(self.ports["callers"], receive_bytes=4096)
        self.addCleanup(caller.close)
        caller.sendall(render_request("/safe/1"))
        channels = listener.active_channels
        self.wait_for(
            lambda: any(
                c.total_outbufs_len and not c.requests for c in list(channels.values())
            )
        )
        now = time.time
        with mock.patch("time.time", lambda: now() + STEP_S):
            listener.next_channel_cleanup = 0
            listener.pull_trigger()
            self.wait_for(lambda: listener.next_channel_cleanup)
            data = b""
            while len(data) < UNTAKEN_BYTES:
                part = caller.recv(1 << 20)
                self.assertTrue(part, "the answer is cut")
                data += part
