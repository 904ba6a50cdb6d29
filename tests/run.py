"""Run the tests with unittest.

Known failures, which KNOWN-RED.txt lists, are printed and skipped. Long tests
(``tests.selection``) are printed too and run only with ``--long``.
"""

import argparse
import os
import sys
import time
import unittest
from pathlib import Path

from hypothesis import settings

from tests.selection import is_long_run

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SLOWEST_SHOWN = 15


class TimedResult(unittest.TextTestResult):
    """Test result that prints the slowest tests with their times in seconds."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.times = []

    def startTest(self, test):
        self._started_at = time.monotonic()
        super().startTest(test)

    def stopTest(self, test):
        super().stopTest(test)
        self.times.append((time.monotonic() - self._started_at, test.id()))

    def stopTestRun(self):
        super().stopTestRun()
        self.stream.writeln()
        for seconds, name in sorted(self.times, reverse=True)[:SLOWEST_SHOWN]:
            self.stream.writeln(f"{seconds:6.1f} s {name}")


def read_known_red():
    """Return the ids of the tests that KNOWN-RED.txt lists as failing."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}


def iterate_tests(suite):
    """Yield the test cases of a suite and of the suites within it."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def select_tests(tests, known, long):
    """Yield the tests to run and print the ids of the others."""
    for test in tests:
        if test.id() in known:
            print(f"known failure, not part of the verdict: {test.id()}")
        elif is_long_run(test) and not long:
            print(f"long run, not run here: {test.id()}")
        else:
            yield test


def find_unknown(known, tests):
    """Return the entries of KNOWN-RED.txt that match no test."""
    return sorted(known - {test.id() for test in tests})


def main():
    """Run the selected tests and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--long", action="store_true", help="run the long tests too")
    long = parser.parse_args().long
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    os.environ.setdefault("FESCUEFLOW_TEST_STRICT", "1")
    found = unittest.defaultTestLoader.discover("tests", top_level_dir=str(ROOT))
    tests, known = list(iterate_tests(found)), read_known_red()
    if unknown := find_unknown(known, tests):
        print(f"KNOWN-RED.txt names no test: {', '.join(unknown)}")
        return 1
    suite = unittest.TestSuite(select_tests(tests, known, long))
    sys.stdout.flush()
    result = unittest.TextTestRunner(resultclass=TimedResult).run(suite)
    return 0 if result.wasSuccessful() and result.testsRun else 1


if __name__ == "__main__":
    sys.exit(main())
