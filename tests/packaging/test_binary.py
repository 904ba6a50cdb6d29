"""Tests that the one-file program starts and serves without the source tree."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.standins.caller import Caller
from tests.standins.deployment import LEDGER, Deployment, DeploymentPreset
from tests.standins.fleet import Fleet

ROOT = Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "build" / "fescueflow"
COMMAND_TIMEOUT_S = 120
SERVE_TIMEOUT_S = 60
PRESET = DeploymentPreset(zones=("north-a",), engines=0, services=1, customers=2)


def make_environment(unpacked):
    """Return an environment without the source tree and with an unpack directory."""
    kept = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
    kept = {k: v for k, v in kept.items() if not k.startswith("FESCUEFLOW_")}
    return kept | {"SHIV_ROOT": unpacked}


class ProgramFleet(Fleet):
    """Fleet whose instances run ``serve`` of the one-file program."""

    unpacked = None

    def make_command(self):
        return [sys.executable, str(PROGRAM), "serve"]

    def make_environment(self, instance):
        return make_environment(self.unpacked)


@unittest.skipUnless(PROGRAM.exists(), "built by `make binary`")
class TestProgram(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.unpacked = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.unpacked.cleanup)

    def run_program(self, *arguments):
        return subprocess.run(
            [sys.executable, str(PROGRAM), *arguments],
            capture_output=True,
            text=True,
            env=make_environment(self.unpacked.name),
            timeout=COMMAND_TIMEOUT_S,
        )

    def test_version(self):
        done = self.run_program("--version")
        self.assertEqual((done.returncode, done.stdout.strip()), (0, "0.1.0"))

    def test_check_accepts_the_example(self):
        done = self.run_program("check", str(ROOT / "examples" / "configuration"))
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)

    def test_serve_lists_missing_settings(self):
        done = self.run_program("serve")
        self.assertEqual(done.returncode, 2, done.stdout + done.stderr)
        self.assertIn("--fleet-keys", done.stdout + done.stderr)

    def test_serve_answers_a_call_and_ends_on_sigterm(self):
        """Guards against a program without a module or file that serving needs."""
        # The first start takes longer, because the program unpacks itself.
        self.assertEqual(self.run_program("--version").returncode, 0)
        with Deployment(PRESET) as deployment:
            fleet = ProgramFleet(deployment, count=1)
            fleet.unpacked = self.unpacked.name
            with fleet:
                self.serve_one_call(deployment, fleet)
                code = fleet.terminate("instance-0", SERVE_TIMEOUT_S)
                self.assertEqual(code, 0, fleet.read_log("instance-0"))
            self.assertEqual(deployment.get_errors(), [])

    def serve_one_call(self, deployment, fleet):
        """Repeat a call until it is answered: shares are held only after a delay."""
        caller = Caller(fleet.get_addresses, "customer-1", timeout_s=SERVE_TIMEOUT_S)
        results = []

        def is_answered():
            results.append(caller.call_service(LEDGER, "GET", "/archive/1", b"", True))
            return results[-1].whole

        fleet.wait_until(is_answered, SERVE_TIMEOUT_S, "a whole answer")
        self.assertEqual(results[-1].instance, "instance-0")
        entries = deployment.services["ledger-0"].ledger.get_entries()
        self.assertEqual({entry.path for entry in entries}, {"/archive/1"})
        self.assertEqual(fleet.count_breaches(), {})


if __name__ == "__main__":
    unittest.main()
