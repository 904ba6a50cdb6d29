"""Tests of answers whose end only the end of the connection shows."""

import http.client
import socket
import threading
import time

from tests.gateway.fake_servers import make_event
from tests.gateway.gateway_case import WAIT_S, GatewayTestCase

EVENTS = b"".join(make_event(n) for n in range(1, 4))


def send_unmarked(handler, data, resets=False, status=200):
    """Send an answer with neither a length nor chunks and end the connection."""
    handler.send_response(status)
    for name, value in handler.make_seal():
        handler.send_header(name, value)
    handler.send_header("Content-Type", "text/event-stream")
    handler.end_headers()
    handler.wfile.write(data)
    handler.close_connection = True
    if resets:
        handler.reset_connection()
    else:
        # The reading side would otherwise be reset for unread data.
        handler.connection.shutdown(socket.SHUT_WR)


def send_rest(handler):
    """Send the events after the last one that the instance has."""
    handler.start_stream()
    for number in range(int(handler.headers.get("Last-Event-Id", 0)) + 1, 4):
        handler.send_event(number)
    handler.end_stream()


class UnmarkedEndTest(GatewayTestCase):
    """Guards against broken answers that look complete, and complete ones refused."""

    # Longer than a test takes.
    drain_ms = 60_000

    def cut(self, data, resets=False):
        return lambda handler: send_unmarked(handler, data, resets)

    def check_resumed(self, script):
        """Check that a stream goes on elsewhere, whichever upstream breaks off."""
        for first in (0, 1):
            scripts = [script, send_rest]
            self.set_script(scripts[first], scripts[1 - first])
            self.assertEqual(self.call("/stream/1")[2], EVENTS)

    def test_end_after_the_last_event(self):
        self.set_script(*[self.cut(EVENTS)] * 2)
        for target in ("/stream/1", "/single/1"):
            self.assertEqual(self.call(target)[2], EVENTS)
        self.assertEqual(sum(self.count_arrivals()), 2)

    def test_end_inside_an_event(self):
        for size in (1, 9, len(make_event(2)) - 1):
            self.check_resumed(self.cut(make_event(1) + make_event(2)[:size]))
        self.set_script(*[self.cut(make_event(1) + b"id: 2\nda")] * 2)
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.call("/single/1")
        self.assertEqual(caught.exception.partial, make_event(1))

    def test_end_before_the_first_event(self):
        for data in (b"", b"id: 1\nda"):
            self.check_resumed(self.cut(data))
            self.set_script(*[self.cut(data)] * 2)
            self.assertEqual(self.call("/single/1")[0], 502)

    def test_reset_after_an_event(self):
        self.check_resumed(self.cut(make_event(1), resets=True))

    def test_killed_upstream_between_two_events(self):
        """Its connections end without a reset, like a whole answer."""
        for first in (0, 1):
            upstream = self.upstreams[first]
            killed = [upstream]

            def script(handler, upstream=upstream, killed=killed):
                if killed:
                    killed.pop()
                    # The listening socket refuses connections before this one ends.
                    upstream.stop_listening()
                    send_unmarked(handler, make_event(1))
                else:
                    send_rest(handler)

            self.set_script(
                *[script if u is upstream else send_rest for u in self.upstreams]
            )
            bodies = {self.call("/stream/1")[2] for _ in range(6)}
            self.assertEqual((bodies, killed), ({EVENTS}, []))
            self.upstreams[first] = self.start_upstream(f"u{first + 3}")
            time.sleep(0.2)

    def start_alone(self, script):
        """Start the only upstream; the script also gets it."""
        self.store.put("servers/u1", None)
        self.store.put("servers/u2", None)
        upstream = self.start_upstream("z1", zone="b")
        upstream.script = lambda handler: script(handler, upstream)
        state = self.gateway._platform_state
        self.wait_for(lambda: [u.id for u in state.list_all()] == ["z1"])

    def start_in_withdrawn_zone(self, finish):
        """Let the only upstream's zone be withdrawn while it answers."""

        def script(handler, upstream):
            self.store.put("op/evacuate/b", {})
            self.wait_for(self.gateway._platform_state.get_withdrawn_zones)
            finish(handler, upstream)

        self.start_alone(script)

    def start_leaving(self, entry, finish):
        """Let the only upstream leave while it answers, as its entry says."""

        def script(handler, upstream):
            state = self.gateway._platform_state
            self.store.put("servers/z1", entry and upstream.make_entry(**entry))
            self.wait_for(lambda: not state.list_upstreams("engines", 0.0))
            finish(handler, upstream)

        self.start_alone(script)

    def end_killed(self, handler, upstream):
        upstream.stop_listening()
        send_unmarked(handler, make_event(1))

    def test_killed_upstream_in_a_withdrawn_zone(self):
        """It gets no new requests, but is to finish those that it has."""
        self.start_in_withdrawn_zone(self.end_killed)
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.call("/single/1")
        self.assertEqual(caught.exception.partial, make_event(1))

    def test_killed_upstream_in_a_withdrawn_zone_with_a_whole_body(self):
        self.start_in_withdrawn_zone(self.end_killed)
        self.assertEqual(self.call("/once/1")[0], 502)

    def test_upstream_in_a_withdrawn_zone_that_goes_on(self):
        self.start_in_withdrawn_zone(lambda handler, _: send_unmarked(handler, EVENTS))
        self.assertEqual(self.call("/single/1")[2], EVENTS)

    def check_killed_while_it_leaves(self, entry):
        self.start_leaving(entry, self.end_killed)
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.call("/single/1")
        self.assertEqual(caught.exception.partial, make_event(1))

    def test_killed_upstream_that_leaves(self):
        """It serves for a while after it has said so."""
        self.check_killed_while_it_leaves({"state": "draining"})

    def test_killed_upstream_whose_entry_was_removed(self):
        """It serves for a while, too."""
        self.check_killed_while_it_leaves(None)

    def test_leaving_upstream_that_goes_on(self):
        self.start_leaving({"state": "draining"}, lambda h, _: send_unmarked(h, EVENTS))
        self.assertEqual(self.call("/single/1")[2], EVENTS)

    def test_killed_upstream_that_may_have_left(self):
        """Another request has shown that it crashed."""
        both = threading.Barrier(2)
        ends = [self.end_reset, self.end_after_a_crash]

        def script(handler, upstream):
            end = ends.pop()
            handler.make_seal = lambda seal=handler.make_seal: [
                *seal(),
                ("Server-Leaving", "1"),
            ]
            both.wait(WAIT_S)
            end(handler, upstream)

        self.start_alone(script)
        results = []
        callers = [
            threading.Thread(target=lambda: results.append(self.call("/once/1")[0]))
            for _ in range(2)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(WAIT_S)
        self.assertEqual(results, [502, 502])

    def end_reset(self, handler, upstream):
        upstream.stop_listening()
        handler.reset_connection()

    def end_after_a_crash(self, handler, upstream):
        known = self.gateway._platform_state.list_all()[0]
        self.wait_for(lambda: self.gateway._quarantine.has_crashed(known))
        send_unmarked(handler, b"part")

    def test_leaving_upstream_that_ends_after_its_last_answer(self):
        """It refuses connections at once, but its answer is whole."""

        def leave(handler):
            for upstream in self.upstreams:
                if upstream.name == handler.upstream_name:
                    upstream.stop_listening()
            handler.make_seal = lambda seal=handler.make_seal: [
                *seal(),
                ("Server-Leaving", "1"),
            ]
            send_unmarked(handler, b"whole")

        self.set_script(leave, leave)
        status, _, body = self.call("/once/1")
        self.assertEqual((status, body), (200, b"whole"))

    def test_answer_that_is_no_stream(self):
        self.set_script(*[self.cut(b"whole")] * 2)
        self.assertEqual(self.call("/once/1")[2], b"whole")
        self.set_script(*[self.cut(b"who", resets=True)] * 2)
        self.assertEqual(self.call("/once/2")[0], 502)

    def test_answers_without_a_body(self):
        """Guards against waiting for the body that a length announces."""
        length = [("Content-Length", "6")]
        for method, status in (("HEAD", 200), ("POST", 204), ("POST", 304)):
            with self.subTest(method=method, status=status):
                self.set_script(*[self.answer_without_a_body(status, length)] * 2)
                found = self.call("/safe/1", method=method, body=None)
                self.assertEqual((found[0], found[2]), (status, b""))
                self.assertIsNotNone(found[1]["X-Server-Seal"])

    def answer_without_a_body(self, status, headers):
        def script(handler):
            handler.send_response(status)
            for name, value in [*handler.make_seal(), *headers]:
                handler.send_header(name, value)
            handler.end_headers()

        return script
