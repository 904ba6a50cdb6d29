"""Platform clients: only complete, valid responses within the limits are used."""

import gzip
import json
import threading
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.core import PlatformUnavailable, SystemClock
from fescueflow.platform import (
    HttpConfigurationClient,
    HttpInstanceListClient,
    Limits,
    MalformedResponse,
    parse_list,
)
from tests.delivery.fakes import FakeUpstream
from tests.fakes import find_free_address, make_faulty_network

INSTANCE = {
    "id": "i1",
    "zone": "a",
    "region": "r",
    "http_address": "127.0.0.1:80",
    "peer_address": "127.0.0.1:81",
    "state": "live",
}
UPSTREAM = {
    "id": "u1",
    "group": "g",
    "zone": "a",
    "region": "r",
    "address": "127.0.0.1:82",
    "state": "leaving",
}
LIST = {"instances": [INSTANCE], "upstreams": [UPSTREAM]}
LIMITS = Limits(connect_s=0.5, read_timeout_s=0.5, total_s=1.5, body_bytes=10_000)


def format_response(body, status="200 OK", **headers):
    headers = {"Content-Length": len(body)} | headers
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"HTTP/1.1 {status}", *lines])
    return f"{head}\r\n\r\n".encode() + body


class RawServer(FakeUpstream):
    """Sends given bytes on each connection, in parts with pauses between them."""

    def __init__(self, answer, pause_s=0.0, part=1 << 20):
        self.answer, self.pause_s, self.part = answer, pause_s, part
        self._stopping = threading.Event()
        super().__init__("raw")
        self.url = f"http://{self.address}"

    def respond_by_default(self, connection, request):
        for start in range(0, len(self.answer), self.part):
            connection.sendall(self.answer[start : start + self.part])
            if self._stopping.wait(self.pause_s):
                return

    def stop(self):
        self._stopping.set()
        super().stop()


class ClientCase(unittest.TestCase):
    def serve(self, answer, **options):
        server = RawServer(answer, **options)
        self.addCleanup(server.stop)
        return server


class TestListClient(ClientCase):
    def read(self, answer, connect=None, **options):
        server = self.serve(answer, **options)
        client = HttpInstanceListClient(
            url=server.url, clock=SystemClock(), limits=LIMITS
        )
        return client.read()

    def test_valid_list(self):
        """Guards against fields of the list that are read wrongly."""
        snapshot = self.read(format_response(json.dumps(LIST).encode()))
        self.assertEqual(snapshot.instances[0].peer_address, "127.0.0.1:81")
        self.assertEqual(snapshot.upstreams[0].state.value, "leaving")

    def test_each_read_has_its_own_time_and_a_changed_list_is_parsed(self):
        """Guards against an unchanged list that seems old and fences the instance."""
        server = self.serve(format_response(json.dumps(LIST).encode()))
        client = HttpInstanceListClient(url=server.url, clock=SystemClock())
        first, second = client.read(), client.read()
        self.assertGreater(second.read_at, first.read_at)
        self.assertIs(second.upstreams, first.upstreams)
        server.answer = format_response(json.dumps({**LIST, "upstreams": []}).encode())
        self.assertEqual(client.read().upstreams, ())
        self.assertEqual(client.read().instances, first.instances)

    def test_unchanged_list_gets_a_new_time_without_its_body(self):
        """Guards against a transfer of the whole list on every read.

        Reading a large list once a second took 526 KB/s for each instance.
        """
        body = json.dumps(LIST).encode()
        compressed = {"ETag": '"t1"', "Content-Encoding": "gzip"}
        server = self.serve(format_response(gzip.compress(body), **compressed))
        client = HttpInstanceListClient(url=server.url, clock=SystemClock())
        first = client.read()
        server.answer = format_response(b"", status="304 Not Modified")
        second = client.read()
        self.assertGreater(second.read_at, first.read_at)
        self.assertEqual(second.instances, first.instances)

    def test_unexpected_status_or_invalid_gzip_is_refused(self):
        """Guards against responses that are not a list or exhaust memory."""
        gzip_header = {"Content-Encoding": "gzip"}
        bomb = gzip.compress(bytes(1_000_000))
        cases = {
            "not modified without a list": format_response(b"", "304 Not Modified"),
            "not gzip": format_response(b"{}", **gzip_header),
            "truncated gzip": format_response(gzip.compress(b"{}")[:-4], **gzip_header),
            "inflates beyond the limit": format_response(bomb, **gzip_header),
        }
        for name, answer in cases.items():
            with self.subTest(name), self.assertRaises(PlatformUnavailable):
                self.read(answer)

    def test_incomplete_or_oversized_responses_are_refused(self):
        """Guards against a truncated list that looks as if instances had left."""
        body = json.dumps(LIST).encode()
        complete_response = format_response(body)
        chunked = format_response(b"5\r\nhello\r\n", **{"Transfer-Encoding": "chunked"})
        cases = {
            "truncated": complete_response[:-5],
            "no length": complete_response.replace(b"Content-Length", b"X-Length"),
            "status": format_response(body, status="503 Unavailable"),
            "oversized": format_response(b" " * 20_000),
            "unfinished chunks": chunked.replace(b"Content-Length", b"X-Length"),
            "not HTTP": b"hello\r\n\r\n",
            "empty": b"",
        }
        for name, answer in cases.items():
            with self.subTest(name), self.assertRaises(PlatformUnavailable):
                self.read(answer)

    def test_slow_response_ends_at_the_total_limit(self):
        """Guards against bytes within the read timeout that block the reader."""
        answer = format_response(json.dumps(LIST).encode())
        with self.assertRaises(PlatformUnavailable):
            self.read(answer, pause_s=0.1, part=1)

    def test_read_timeout_and_refused_connection(self):
        """Guards against a silent or unreachable platform that blocks the reader."""
        with self.assertRaises(PlatformUnavailable):
            self.read(b"HTTP/1.1 200 OK\r\n", pause_s=30)
        client = HttpInstanceListClient(
            url=f"http://{find_free_address()}", clock=SystemClock(), limits=LIMITS
        )
        with self.assertRaises(PlatformUnavailable):
            client.read()

    def test_connections_use_the_given_network(self):
        """Guards against connections to the platform that fleet tests cannot cut."""
        server = self.serve(format_response(json.dumps(LIST).encode()))
        network, faults = make_faulty_network()
        client = HttpInstanceListClient(
            url=server.url, clock=SystemClock(), limits=LIMITS, connect=network.connect
        )
        self.assertEqual(len(client.read().instances), 1)
        faults.cut(server.address)
        with self.assertRaises(PlatformUnavailable):
            client.read()


class TestParseList(unittest.TestCase):
    def test_each_problem_is_refused(self):
        """Guards against a list that is used although an entry is invalid."""
        changes = [
            {"instances": [INSTANCE, INSTANCE]},
            {"instances": [INSTANCE | {"state": "up"}]},
            {"instances": [INSTANCE | {"peer_address": "host:81"}]},
            {"instances": [INSTANCE | {"id": ""}]},
            {"instances": [INSTANCE | {"zone": None}]},
            {"instances": {}},
            {"upstreams": None},
            {"upstreams": [[]]},
        ]
        for change in changes:
            with self.subTest(change), self.assertRaises(MalformedResponse):
                parse_list(json.dumps(LIST | change).encode(), 0.0)
        with self.assertRaises(MalformedResponse):
            parse_list(b'{"instances": [], "upstreams": [], "upstreams": []}', 0.0)
        with self.assertRaises(MalformedResponse):
            parse_list(b"[" * 100_000, 0.0)

    @given(st.binary(max_size=200))
    def test_random_bytes_raise_only_malformed_response(self, body):
        """Guards against exceptions that readers of the list do not handle."""
        with self.assertRaises(MalformedResponse):
            parse_list(body, 0.0)

    @given(st.integers(0, 10_000), st.integers(0, 255))
    def test_mutated_bytes_raise_only_malformed_response(self, position, value):
        body = bytearray(json.dumps(LIST).encode())
        body[position % len(body)] = value
        try:
            parse_list(bytes(body), 0.0)
        except MalformedResponse:
            pass


class TestConfigurationClient(ClientCase):
    def test_read_and_watch(self):
        """Guards against requests that the configuration service does not serve."""
        server = self.serve(format_response(b"value", Revision=7))
        client = HttpConfigurationClient(url=server.url + "/", limits=LIMITS)
        self.assertEqual(client.read("manifest"), (7, b"value"))
        self.assertEqual(client.watch("manifest", 6, 2.0), (7, b"value"))
        self.assertEqual(
            [request.target for request in server.received],
            ["/v1/keys/manifest", "/v1/watch/manifest?after=6&timeout_ms=2000"],
        )

    def test_stale_or_unchanged_watch_is_no_change(self):
        """Guards against an older revision that a stale replica returns."""
        server = self.serve(format_response(b"value", Revision=7))
        client = HttpConfigurationClient(url=server.url, limits=LIMITS)
        self.assertIsNone(client.watch("manifest", 7, 1.0))
        self.assertIsNone(client.watch("manifest", 8, 1.0))
        for status in ("204 No Content", "304 Not Modified"):
            server.answer = format_response(b"", status=status)
            self.assertIsNone(client.watch("manifest", 7, 1.0))

    def test_invalid_revisions_are_refused(self):
        """Guards against values that are accepted without a comparable revision."""
        for revision in ("", "-1", "1.5", "x", "9" * 30, "²"):
            server = self.serve(format_response(b"v", Revision=revision))
            client = HttpConfigurationClient(url=server.url, limits=LIMITS)
            with self.subTest(revision), self.assertRaises(PlatformUnavailable):
                client.read("manifest")


if __name__ == "__main__":
    unittest.main()
