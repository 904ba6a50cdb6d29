"""Tests of whether upstreams take connections."""

import threading
import unittest
from types import SimpleNamespace

from fescueflow.core import SystemClock
from fescueflow.gateway.reachability import ReachabilityProbe
from fescueflow.metrics import Metrics

# Generous limit for operations that take milliseconds.
WAIT_S = 20.0


class FakePool:
    """Opens connections; those to the address ``cut off`` take until a release."""

    def __init__(self):
        self.opened = []
        self.connecting = threading.Event()
        self.released = threading.Event()

    def open(self, address, timeout_s):
        self.opened.append(address)
        if address == "cut off":
            self.connecting.set()
            self.released.wait(WAIT_S)
            raise TimeoutError
        return object()

    def release(self, connection, keep_alive_s):
        """Keep nothing."""


class ReachabilityProbeTest(unittest.TestCase):
    """Guards against requests that wait for the connections of other upstreams."""

    def setUp(self):
        self.pool = FakePool()
        self.addCleanup(self.pool.released.set)
        self.probe = ReachabilityProbe(self.pool, SystemClock(), Metrics())
        self.results = []

    def start_probe(self, address):
        upstream = SimpleNamespace(id=address, address=address)
        thread = threading.Thread(
            target=lambda: self.results.append(self.probe.is_reachable(upstream)),
            daemon=True,
        )
        thread.start()
        return thread

    def test_upstream_beside_one_that_is_cut_off(self):
        self.start_probe("cut off")
        self.assertTrue(self.pool.connecting.wait(WAIT_S))
        self.start_probe("sound").join(WAIT_S / 4)
        self.assertEqual(self.results, [True])

    def test_streams_of_one_upstream_share_a_connection(self):
        threads = [self.start_probe("cut off") for _ in range(5)]
        self.assertTrue(self.pool.connecting.wait(WAIT_S))
        self.pool.released.set()
        for thread in threads:
            thread.join(WAIT_S)
        self.assertEqual(self.results, [False] * 5)
        self.assertEqual(self.pool.opened, ["cut off"])


if __name__ == "__main__":
    unittest.main()
