"""Tests of exchanges that end differently in their two directions."""

import http.client
import queue
import select
import socket
import threading
from unittest import mock

from fescueflow.gateway.exchange import Exchange
from tests.gateway.fake_servers import make_event
from tests.gateway.gateway_case import WAIT_S, GatewayTestCase, make_table
from tests.gateway.test_cut_heads import make_answer

# More than the buffers of both ends of a connection on loopback take.
UPLOAD = b"x" * (12 << 20)
READ_BYTES = 256 << 10


class HeldUpload:
    """Stops an upload between two writes until the connection is reset.

    Notes
    -----
    The reset then meets the next write of the request and not a read.
    """

    def __init__(self):
        self.is_stopped = threading.Event()
        self._check_time = Exchange._check_time

    def apply(self):
        """Return the context manager that is in force during a test."""

        def check_time(exchange, deadline):
            self._check_time(exchange, deadline)
            if exchange.method == "POST" and not self.is_stopped.is_set():
                self.is_stopped.set()
                poll = select.poll()
                poll.register(exchange._socket, 0)
                poll.poll(WAIT_S * 1000)

        return mock.patch.object(Exchange, "_check_time", check_time)

    def take_some(self, handler):
        """Read the upload at the upstream, slowly, until the writer is stopped."""
        while not self.is_stopped.wait(0.02):
            handler.connection.recv(READ_BYTES)


class TwoDirectionsTest(GatewayTestCase):
    """Guards against cut answers given as whole ones, and whole ones as cut."""

    def setUp(self):
        super().setUp()
        limits = {**make_table(2)["limits"], "max_body_bytes": 16 << 20}
        self.store.put("op/config", make_table(2, limits=limits))
        self.wait_for(
            lambda: self.call("/safe/1", body=UPLOAD[: 1 << 20])[0] == 200,
        )
        for upstream in self.upstreams:
            upstream.reads_body = False
            upstream.arrivals.clear()

    def respond_and_reset(self, framing, size=None, body=b"half of it", before=b""):
        """Return a script that responds to an upload and resets it, and the hold."""
        held = HeldUpload()

        def script(handler):
            held.take_some(handler)
            handler.wfile.write(
                before + b"".join(make_answer(handler, framing, body))[:size]
            )
            handler.reset_connection()

        return script, held

    def upload(self, target, script, held, **changes):
        """Return status and body of the answer to an upload."""
        self.set_script(script, script)
        with held.apply():
            status, _, body = self.call(target, body=UPLOAD, **changes)
        self.assertTrue(held.is_stopped.is_set())
        return status, body

    def test_part_of_an_unmarked_answer_and_a_reset_during_the_upload(self):
        """The reset is met by a write; the end of the connection looks orderly."""
        script, held = self.respond_and_reset("none")
        self.assertEqual(self.upload("/once/1", script, held)[0], 502)
        script, held = self.respond_and_reset("none", body=make_event(1))
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.upload("/single/1", script, held)
        self.assertEqual(caught.exception.partial, make_event(1))
        self.assertEqual(sum(self.count_arrivals()), 2)

    def test_resumable_stream_goes_on_after_such_an_end(self):
        events = b"".join(make_event(number) for number in (1, 2))
        script, held = self.respond_and_reset("none", body=make_event(1))

        def resume(handler):
            if not handler.headers["Last-Event-Id"]:
                script(handler)
                return
            read_upload(handler)
            handler.start_stream()
            handler.send_event(2)
            handler.end_stream()

        self.assertEqual(self.upload("/stream/1", resume, held), (200, events))

    def test_whole_answer_and_a_reset_during_the_upload(self):
        """Its length or chunks show that it is whole, whatever became of the upload."""
        for framing in ("length", "chunks"):
            for target in ("/once/1", "/single/1"):
                with self.subTest(framing=framing, target=target):
                    script, held = self.respond_and_reset(framing, body=make_event(1))
                    found = self.upload(target, script, held)
                    self.assertEqual(found, (200, make_event(1)))

    def test_cut_answer_and_a_reset_during_the_upload(self):
        for framing in ("length", "chunks", "none"):
            for size in (0, 30, 190):
                with self.subTest(framing=framing, size=size):
                    script, held = self.respond_and_reset(framing, size, b"x" * 999)
                    self.assertEqual(self.upload("/once/1", script, held)[0], 502)

    def test_refusal_and_a_reset_during_the_upload(self):
        """Nothing ran, so that a request that may run once goes elsewhere."""
        script, held = self.respond_and_reset(
            "length", before=b"HTTP/1.1 103 Early Hints\r\n\r\n"
        )
        refusals = []

        def refuse(handler):
            if refusals:
                read_upload(handler)
                handler.send_sealed()
                return
            refusals.append(handler)
            seal = [*handler.make_seal(), ("X-Not-Executed", "1")]
            handler.make_seal = lambda: seal
            script(handler)

        self.assertEqual(self.upload("/once/1", refuse, held), (200, b"answer"))
        self.assertEqual(len(refusals), 1)

    def test_orderly_end_of_an_unmarked_answer_during_the_upload(self):
        """A process that ends closes its direction, too, wherever its answer was."""
        held = HeldUpload()

        def script(handler):
            held.take_some(handler)
            handler.wfile.write(b"".join(make_answer(handler, "none", make_event(1))))
            handler.connection.shutdown(socket.SHUT_WR)
            handler.reset_connection()

        self.assertEqual(self.upload("/once/1", script, held)[0], 502)
        held = HeldUpload()
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.upload("/single/1", script, held)
        self.assertEqual(caught.exception.partial, make_event(1))

    def test_reset_after_the_last_byte(self):
        for framing, status in (("length", 200), ("chunks", 200), ("none", 502)):
            with self.subTest(framing=framing):

                def script(handler, framing=framing):
                    read_upload(handler)
                    handler.wfile.write(b"".join(make_answer(handler, framing, b"all")))
                    handler.reset_connection()

                self.set_script(script, script)
                for target in ("/once/1", "/single/1"):
                    self.assertEqual(self.call(target)[0], status)

    def test_interim_answers_before_the_upload_is_read(self):
        """The upstream waits for the rest of the request, which has to be sent."""

        def script(handler):
            handler.wfile.write(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" * 2)
            handler.send_sealed(body=b"%d" % read_upload(handler))

        self.check_early(script)

    def test_answer_that_begins_before_the_upload_is_read(self):
        def script(handler):
            head, _ = make_answer(handler, "none", b"")
            handler.wfile.write(head)
            handler.wfile.write(b"%d" % read_upload(handler))
            handler.close_connection = True

        self.check_early(script)

    def check_early(self, script):
        self.set_script(script, script)
        found = self.call("/once/1", body=UPLOAD)
        self.assertEqual((found[0], found[2]), (200, b"%d" % len(UPLOAD)))

    def test_error_before_the_upload_is_read(self):
        """The rest is not sent, and the connection not used for another request."""
        is_answered = threading.Event()
        uploads = queue.Queue()

        def script(handler):
            handler.send_sealed(404, b"no such thing")
            handler.close_connection = True
            is_answered.wait(WAIT_S)
            size = 0
            while part := handler.connection.recv(READ_BYTES):
                size += len(part)
            uploads.put(size)

        self.set_script(script, script)
        found = self.call("/once/1", body=UPLOAD)
        self.assertEqual((found[0], found[2]), (404, b"no such thing"))
        is_answered.set()
        self.assertLess(uploads.get(timeout=WAIT_S), len(UPLOAD))

    def test_two_heads(self):
        """The second one is given to nobody, least of all to the next caller."""
        for body in (b"first", b""):
            with self.subTest(body=body):
                for upstream in self.upstreams:
                    upstream.script = self.repeat_head(body)
                for _ in range(4):
                    found = self.call("/once/1")
                    self.assertEqual((found[0], found[2]), (200, body))

    def repeat_head(self, body):
        def script(handler):
            read_upload(handler)
            answer = b"".join(make_answer(handler, "length", body))
            handler.wfile.write(answer + b"".join(make_answer(handler, "length", b"x")))

        return script

    def test_heads_that_are_none(self):
        """Statuses that HTTP does not have, and lengths that cannot be read."""
        ok = b"HTTP/1.1 200 OK"
        statuses = [b"HTTP/1.1 %s OK" % s for s in b"000 99 1000 abc 101 999".split()]
        lengths = [ok + b"\r\nContent-Length: " + n for n in (b"abc", b"4, 5", b"-1")]
        for start in (b"HTTP/1.1 ", *statuses, *lengths, ok + b"\r\nno field"):
            with self.subTest(start=start):

                def script(handler, start=start):
                    read_upload(handler)
                    answer = b"".join(make_answer(handler, "none", b"partial"))
                    handler.wfile.write(answer.replace(ok, start, 1))
                    handler.connection.shutdown(socket.SHUT_WR)
                    handler.close_connection = True

                self.set_script(script, script)
                for target in ("/once/1", "/safe/1", "/single/1"):
                    self.assertEqual(self.call(target)[0], 502)

    def test_success_without_a_seal(self):
        def script(handler):
            read_upload(handler)
            handler.make_seal = lambda: []
            handler.wfile.write(b"".join(make_answer(handler, "length", b"other")))

        self.set_script(script, script)
        for target in ("/once/1", "/safe/1", "/single/1"):
            self.assertEqual(self.call(target)[0], 502)

    def test_answer_to_head_that_names_chunks(self):
        """It has no body to wait for."""

        def script(handler):
            handler.send_response(200)
            for name, value in handler.make_seal():
                handler.send_header(name, value)
            handler.send_header("Transfer-Encoding", "chunked")
            handler.end_headers()

        self.set_script(script, script)
        found = self.call("/safe/1", method="HEAD", body=None)
        self.assertEqual((found[0], found[2]), (200, b""))


def read_upload(handler):
    """Read the rest of the body of a request; return its size in bytes."""
    return len(handler.rfile.read(int(handler.headers.get("Content-Length", 0))))


if __name__ == "__main__":
    import unittest

    unittest.main()
