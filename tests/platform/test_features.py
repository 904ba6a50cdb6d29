"""Tests of the mechanisms that a deployment switches on or off."""

import tempfile
import unittest
from pathlib import Path

from fescueflow.core import InvalidSettings
from fescueflow.platform import PATH_VARIABLE, Feature, load_boot
from tests.gateway.builders import render_boot


class FeaturesTest(unittest.TestCase):
    """Guards against a misspelt name that switches a mechanism off unnoticed."""

    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.toml"
            path.write_text(render_boot())
            environment = {PATH_VARIABLE: str(path)}
            if text is not None:
                environment["FESCUEFLOW_FEATURES"] = text
            return load_boot(environment).features

    def test_all_without_the_variable(self):
        self.assertEqual(self.load(None), frozenset(Feature))

    def test_named_ones(self):
        self.assertEqual(self.load("permits, ramps"), {Feature.PERMITS, Feature.RAMPS})
        self.assertEqual(self.load(""), frozenset())

    def test_unknown_name(self):
        with self.assertRaises(InvalidSettings):
            self.load("permit")


if __name__ == "__main__":
    unittest.main()
