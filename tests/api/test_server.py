"""Tests of the HTTP server: aborted streams, disconnects, rejected requests."""

import http.client
import json
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from fescueflow.api import HttpServer
from tests.api.test_application import CHAT, ApplicationTestCase
from tests.delivery import fakes
from tests.delivery.test_streams import read_tokens

THREADS = 4
STREAM = json.dumps({**CHAT, "stream": True})


class ServerTest(ApplicationTestCase):
    def setUp(self):
        super().setUp()
        listener = socket.create_server(("127.0.0.1", 0))
        self.server = HttpServer(
            settings=replace(self.node.settings, http_threads=THREADS),
            application=self.application,
            listener=listener,
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def request(self, body, path="/v1/chat/completions", **headers):
        connection = http.client.HTTPConnection(self.server.get_address(), timeout=30)
        self.addCleanup(connection.close)
        headers = {"Fescueflow-Customer": "c", **headers}
        connection.request("POST", path, body, headers)
        return connection.getresponse()

    def test_stop_after_the_loop_has_ended(self):
        """Guards against an error that kept the process of a stopped instance alive."""
        server = self.server._server
        server.trigger.pull_trigger(server.close)
        self.server._thread.join(30)
        self.server.stop()

    def test_complete_stream(self):
        self.upstream.steps = [fakes.make_stream_step(range(3))]
        response = self.request(STREAM)
        self.assertEqual(response.getheader("Connection"), "close")
        self.assertTrue(response.read().endswith(b"data: [DONE]\n\n"))

    def test_first_token_does_not_wait_for_the_next(self):
        release = threading.Event()
        self.addCleanup(release.set)
        step = fakes.make_stream_step([0], False, lambda c, r: release.wait(30))
        self.upstream.steps = [step]
        response = self.request(STREAM)
        self.assertIn(b'"index": 0', response.readline())
        self.assertEqual(self.node.dispatcher.count_running_requests(), 1)

    def test_monitoring_endpoints_while_streams_hold_all_threads(self):
        """Guards against monitoring requests that wait for the end of a stream."""
        release = threading.Event()
        self.addCleanup(release.set)
        step = fakes.make_stream_step([0], False, lambda c, r: release.wait(30))
        self.upstream.steps = [step] * THREADS
        for _ in range(THREADS):
            self.assertIn(b'"index": 0', self.request(STREAM).readline())
        for path in ("/healthz", "/readyz", "/metrics", "/v1/status"):
            with self.subTest(path):
                self.assertEqual(self.get_endpoint(path).status, 200)

    def get_endpoint(self, path):
        connection = http.client.HTTPConnection(self.server.get_address(), timeout=5)
        self.addCleanup(connection.close)
        connection.request("GET", path)
        return connection.getresponse()

    def test_failed_stream_has_no_end_marker(self):
        """Guards against a failed stream that a caller takes for a complete one."""
        self.upstream.steps = [fakes.make_stream_step([0], False)]
        self.upstream.steps += [fakes.close_connection] * 1000
        response = self.request(STREAM, **{"Fescueflow-Deadline-Ms": "500"})
        with self.assertRaises(http.client.IncompleteRead) as caught:
            response.read()
        text = caught.exception.partial
        self.assertIn(b"event: error", text)
        self.assertNotIn(b"[DONE]", text)

    def test_caller_that_disconnects_is_noticed(self):
        def send_keepalives(connection, request):
            while True:
                connection.sendall(fakes.format_chunk(b": keepalive\n\n"))
                self.upstream.closed_by_peer.wait(0.02)

        def step(connection, request):
            try:
                fakes.make_stream_step([0], False, send_keepalives)(connection, request)
            finally:
                self.upstream.closed_by_peer.set()

        self.upstream.steps = [step]
        response = self.request(STREAM)
        response.readline()
        response.close()
        self.assertTrue(self.upstream.closed_by_peer.wait(30))

    def test_large_answer(self):
        """Guards against truncation of a response above every buffer limit."""
        body = bytes(range(256)) * (3 << 12)

        def step(connection, request):
            fakes.send_response(connection, request.key, body)

        self.upstream.steps = [step]
        self.assertEqual(self.request(b"x", "/v1/services/s/pay").read(), body)

    def test_stream_of_a_caller_that_reads_late(self):
        """Guards against lost or reordered tokens beyond the buffers of both sides."""
        count, text = 400, "x" * 16384

        def send_tokens(connection, request):
            for index in range(1, count):
                token = json.dumps({"index": index, "text": text}).encode()
                event = b"data: " + token + b"\n\n"
                connection.sendall(fakes.format_chunk(event))
            connection.sendall(fakes.format_chunk(b"data: [DONE]\n\n"))

        self.upstream.steps = [fakes.make_stream_step([0], False, send_tokens)]
        response = self.request(STREAM)
        time.sleep(0.5)
        indexes, end = read_tokens([response.read()])
        self.assertEqual((indexes, end), (list(range(count)), "done"))

    def test_requests_rejected_before_the_application(self):
        for size in (2 << 20, 8 << 20):
            response = self.request_head(size)
            self.assertEqual(response.status, 413)
            self.assertEqual(response.getheader("Content-Type"), "application/json")
            error = json.loads(response.read())["error"]
            self.assertEqual(error["type"], "body_too_large")

    def request_head(self, size):
        """Send only the headers of a request with a large body."""
        connection = http.client.HTTPConnection(self.server.get_address(), timeout=30)
        self.addCleanup(connection.close)
        connection.putrequest("POST", "/v1/chat/completions")
        connection.putheader("Content-Length", str(size))
        connection.endheaders()
        return connection.getresponse()

    def test_stop_is_idempotent(self):
        address = self.server.get_address().split(":")
        self.server.stop()
        self.server.stop()
        with self.assertRaises(OSError):
            socket.create_connection(address, 5).close()

    def test_stop_sends_pending_answers(self):
        """Guards against a shutdown that truncates a response being written."""
        release, received = threading.Event(), threading.Event()
        self.addCleanup(release.set)

        def step(connection, request):
            received.set()
            release.wait(30)
            fakes.send_response(connection, request.key, b"y" * (2 << 20))

        self.upstream.steps = [step]
        with ThreadPoolExecutor(2) as pool:
            answer = pool.submit(self.request, b"x", "/v1/services/s/pay")
            self.assertTrue(received.wait(30))
            stopped = pool.submit(self.server.stop, 30.0)
            release.set()
            self.assertEqual(len(answer.result(30).read()), 2 << 20)
            stopped.result(30)
