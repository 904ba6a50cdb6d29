"""Signals that come while others are handled."""

import signal
import subprocess
import unittest

from tests.gateway.fake_servers import FakeStore
from tests.gateway.process_fleet import ProcessFleet
from tests.gateway.process_soak import make_table

END_TIMEOUT_S = 30.0


class SignalSeriesTest(unittest.TestCase):
    """Guards against a main thread that waits for itself and never leaves."""

    def setUp(self):
        self.store = FakeStore()
        self.addCleanup(self.store.close)
        self.store.put("op/config", make_table(1))
        self.fleet = ProcessFleet(self.store, 1)
        self.addCleanup(self.fleet.close)
        self.instance = self.fleet.instances[0]
        self.instance.module = "tests.gateway.interrupted_process"
        self.fleet.start()

    def check_end(self):
        self.instance.signal(signal.SIGTERM)
        try:
            code = self.instance.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.instance.process.send_signal(signal.SIGABRT)
            self.instance.process.wait()
            stacks = self.fleet.read_errors()[self.instance.name]
            main = stacks.partition("Current thread")[2]
            self.fail(f"the instance does not leave, its main thread: {main}")
        self.assertEqual(code, 0)

    def test_stop_after_a_series_of_reloads(self):
        self.instance.signal(signal.SIGHUP)
        self.check_end()

    def test_series_of_stops(self):
        self.check_end()


if __name__ == "__main__":
    unittest.main()
