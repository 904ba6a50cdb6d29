"""Tests of settings that change while an instance runs."""

import unittest
from dataclasses import replace

from fescueflow.core import InvalidSettings, SeededRandomSource, SystemClock
from fescueflow.gateway import Gateway
from tests.gateway.builders import make_boot
from tests.standins.fleet import find_free_port


class ReloadTest(unittest.TestCase):
    """Guards against settings that need a restart or that break an instance."""

    def setUp(self):
        names = ("peer_port", "callers", "ready", "directory", "store")
        ports = {name: find_free_port("127.0.0.1") for name in names}
        self.boot = make_boot(**ports)
        self.loaded = self.boot
        self.gateway = Gateway(
            self.boot, SystemClock(), SeededRandomSource(1), self.load
        )
        self.addCleanup(self.gateway._transport._socket.close)

    def load(self):
        if isinstance(self.loaded, Exception):
            raise self.loaded
        return self.loaded

    def test_limits_change_and_addresses_stay(self):
        self.loaded = replace(
            self.boot, imbalance_factor=3.0, grace_s=4.0, store_address="127.0.0.1:1"
        )
        self.gateway._reload()
        boot = self.gateway._boot
        self.assertEqual((boot.imbalance_factor, boot.grace_s), (3.0, 4.0))
        self.assertEqual(boot.store_address, self.boot.store_address)
        self.assertEqual(self.gateway._selector._boot, boot)

    def test_retry_budget_changes(self):
        self.loaded = replace(self.boot, repeat_base=0.0, repeat_ratio=0.0)
        self.assertTrue(self.gateway._selector.take_retry("engines"))
        self.gateway._reload()
        self.assertFalse(self.gateway._selector.take_retry("engines"))

    def test_invalid_settings_change_nothing(self):
        self.loaded = InvalidSettings(["bounds.retry_ratio: missing"])
        self.gateway._reload()
        self.assertEqual(self.gateway._boot, self.boot)


if __name__ == "__main__":
    unittest.main()
