"""Base class of the gateway's end-to-end tests, and their configuration."""

import http.client
import socket
import time
import unittest

from fescueflow.core import SeededRandomSource, SystemClock
from fescueflow.gateway import Gateway
from tests.gateway.builders import make_boot
from tests.gateway.fake_servers import FakeStore, FakeUpstream
from tests.standins.fleet import find_free_port

# Generous limit for operations that take milliseconds.
WAIT_S = 20.0
ROUTE = {
    "name": "stream",
    "host": "fleet.example",
    "prefix": "/stream/",
    "kind": "streaming",
    "timeout_ms": 10000,
    "target_latency_ms": 600,
    "priority": 0,
    "service": "engines",
    "max_attempts": 2,
    "resumable": True,
}
ROUTES = [
    ROUTE,
    {**ROUTE, "name": "once", "prefix": "/once/", "kind": "unsafe"},
    {**ROUTE, "name": "safe", "prefix": "/safe/", "kind": "safe"},
    {**ROUTE, "name": "single", "prefix": "/single/", "resumable": False},
]


def make_table(version, **changes):
    """Return a configuration document."""
    service = {"name": "engines", "max_connections": 100}
    table = {
        "version": version,
        "routes": ROUTES,
        "services": [service],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "c1", "api_keys": ["k1"]}],
    }
    return {**table, **changes}


class GatewayTestCase(unittest.TestCase):
    """Starts one instance with two upstreams that respond."""

    # Grace period; only tests of a leaving instance need a longer one.
    grace_s = 0.4
    # Time for which an upstream that leaves is sure to serve.
    drain_ms = 2000
    # Instance that is called.
    host = "127.0.0.1"

    def setUp(self):
        self.store = FakeStore()
        self.addCleanup(self.store.close)
        self.upstreams = [self.start_upstream(f"u{n}") for n in (1, 2)]
        self.store.put("op/config", make_table(1))
        names = ("peer_port", "callers", "ready", "directory")
        ports = {name: find_free_port("127.0.0.1") for name in names}
        self.ports = ports
        boot = make_boot(
            store=self.store.port, grace_s=self.grace_s, drain_ms=self.drain_ms, **ports
        )
        self.gateway = Gateway(boot, SystemClock(), SeededRandomSource(1))
        self.gateway.start()
        self.addCleanup(self.gateway.leave)
        self.wait_for(lambda: self.get_page("ready", "/readyz")[0] == 200)
        self.wait_for(lambda: self.call("/safe/1")[0] == 200)
        for upstream in self.upstreams:
            upstream.arrivals.clear()

    def start_upstream(self, name, **changes):
        upstream = FakeUpstream(name, lambda handler: handler.send_sealed())
        self.addCleanup(upstream.close)
        self.store.put(f"servers/{name}", upstream.make_entry(**changes))
        return upstream

    def set_script(self, *scripts):
        for upstream, script in zip(self.upstreams, scripts, strict=True):
            upstream.script = script

    def wait_for(self, condition):
        deadline = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition stays false")
            time.sleep(0.02)

    def call(self, target, method="POST", body=b"question", headers=None):
        """Return status, headers and body of one request."""
        connection = http.client.HTTPConnection(
            self.host, self.ports["callers"], timeout=WAIT_S
        )
        sent = {
            "Host": "fleet.example",
            "X-Attempt-Id": "a1",
            "X-Deadline-Ms": "8000",
            "Authorization": "Token k1",
            **(headers or {}),
        }
        try:
            connection.request(method, target, body=body, headers=sent)
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        finally:
            connection.close()

    def read_without_chunks(self, target):
        """Return all that a caller of HTTP/1.0 gets until its connection ends."""
        with socket.create_connection((self.host, self.ports["callers"])) as caller:
            caller.settimeout(WAIT_S)
            caller.sendall(
                f"POST {target} HTTP/1.0\r\nHost: fleet.example\r\nX-Attempt-Id: a\r\n"
                "Authorization: Token k1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return b"".join(iter(lambda: caller.recv(10_000), b""))

    def get_page(self, name, path):
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[name])
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def count_arrivals(self):
        return [len(upstream.arrivals) for upstream in self.upstreams]
