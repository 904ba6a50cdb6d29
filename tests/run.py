"""Run all tests with unittest; known failures are listed in KNOWN-RED.txt."""

import os
import sys
import unittest
from pathlib import Path

from hypothesis import settings

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red():
    """Return the ids of the tests that are listed as failing."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}


def iterate_tests(suite):
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def main():
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    os.environ.setdefault("FESCUEFLOW_TEST_STRICT", "1")
    known = read_known_red()
    found = unittest.defaultTestLoader.discover("tests", top_level_dir=str(ROOT))
    everything = list(iterate_tests(found))
    expected = [test for test in everything if test.id() in known]
    suite = unittest.TestSuite(t for t in everything if t.id() not in known)
    for test in expected:
        print(f"known failure, not part of the verdict: {test.id()}", flush=True)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    return 0 if result.wasSuccessful() and result.testsRun else 1


if __name__ == "__main__":
    sys.exit(main())
