"""Guards against invalid settings that are accepted or reported one at a time."""

import unittest

from fescueflow.core import InvalidSettings
from fescueflow.settings import load_settings
from tests.builders import SETTINGS


class TestLoadSettings(unittest.TestCase):
    def test_flags_take_precedence_over_environment(self):
        """Guards against a flag that an environment variable overrides."""
        environment = {"FESCUEFLOW_LEASE_MS": "1500", "FESCUEFLOW_REGION": "other"}
        settings = load_settings(SETTINGS, environment)
        self.assertEqual((settings.region, settings.lease_ms), ("r", 1500))

    def test_all_problems_are_reported_at_once(self):
        flags = SETTINGS | {"http_address": "nowhere", "lease_ms": "x", "region": None}
        with self.assertRaises(InvalidSettings) as caught:
            load_settings(flags, {"FESCUEFLOW_TYPO": "1"})
        text = "\n".join(caught.exception.problems)
        self.assertEqual(len(caught.exception.problems), 4, text)
        for source in ("--http-address", "--lease-ms", "--region", "FESCUEFLOW_TYPO"):
            self.assertIn(source, text)

    def test_hold_down_shorter_than_lag_and_lease_is_refused(self):
        """Guards against settings that contradict each other."""
        with self.assertRaises(InvalidSettings):
            load_settings(SETTINGS | {"share_hold_down_ms": "4000"}, {})


if __name__ == "__main__":
    unittest.main()
