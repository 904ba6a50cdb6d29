"""Tests of the command line: invalid input is listed in full with exit code 2."""

import contextlib
import io
import json
import shutil
import sys
import tempfile
import types
import unittest
from pathlib import Path
from unittest import mock

import logbook

from fescueflow import __version__
from fescueflow.cli import main
from fescueflow.cli.logs import log_to_stderr
from fescueflow.configuration import describe_configuration, parse_configuration
from tests.builders import EXAMPLE, SETTINGS, build_configuration
from tests.standins.server import StandinServer


class FixedResponseServer(StandinServer):
    """HTTP server with a fixed response for each path."""

    def __init__(self):
        super().__init__()
        self.answers = {}

    def handle(self, exchange):
        body = self.answers.get(exchange.path)
        found = (404, b"absent") if body is None else (200, body)
        exchange.send(*found, {"Revision": 7})


def run(*arguments, environment=None):
    """Return (exit code, standard output, standard error)."""
    out, error = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(error):
        try:
            code = main(list(arguments), environment or {})
        except SystemExit as stop:
            code = stop.code
    return code, out.getvalue(), error.getvalue()


class TestDirectories(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "configuration"
        shutil.copytree(EXAMPLE, self.path)

    def write(self, section, value):
        (self.path / "sections" / f"{section}.json").write_text(json.dumps(value))

    def test_example_is_valid(self):
        code, out, error = run("check", str(EXAMPLE))
        self.assertEqual((code, error), (0, ""), out)

    def test_every_problem_is_listed_with_exit_code_2(self):
        self.write("zones", {"withdrawn": "a"})
        self.write("upstreams", {})
        code, packed, error = run("config", "pack", str(self.path))
        self.assertEqual((code, packed), (2, ""))
        self.assertIn("zones: withdrawn: must be a list", error)
        self.assertIn("upstreams: leaving: missing", error)
        code, _, error = run("check", str(self.path))
        self.assertEqual(code, 2)
        self.assertEqual(error.count("SHA-256 is not"), 2)

    def test_packed_manifest_passes_the_check(self):
        self.write("zones", {"withdrawn": ["a"]})
        code, packed, error = run("config", "pack", str(self.path))
        self.assertEqual((code, error.count("sections/")), (0, 6))
        (self.path / "manifest.json").write_text(packed)
        self.assertEqual(run("check", str(self.path))[0], 0)
        code, packed, _ = run("config", "pack", str(self.path), "--json")
        self.assertEqual(len(json.loads(packed)["sections"]), 6)

    def test_absent_directory_is_invalid_input(self):
        for command in (("check",), ("config", "pack")):
            self.assertEqual(run(*command, str(self.path / "absent"))[0], 2)

    def test_http_address_alone_does_not_check_the_settings(self):
        """Guards against reports of missing settings when only the address is set."""
        environment = {"FESCUEFLOW_HTTP_ADDRESS": "10.0.0.1:8080"}
        code, out, error = run("check", str(EXAMPLE), environment=environment)
        self.assertEqual((code, error), (0, ""), out)

    def test_settings_are_checked_together_with_the_directory(self):
        self.write("upstreams", {})
        flags = ("--instance-id", "i", "--lease-ms", "x")
        code, out, _ = run("check", str(self.path), "--json", *flags)
        problems = json.loads(out)["problems"]
        self.assertEqual(code, 2)
        self.assertTrue(any(p.startswith("--lease-ms") for p in problems))
        self.assertTrue(any(p.startswith("--region: missing") for p in problems))
        self.assertTrue(any(p.startswith("upstreams: SHA-256") for p in problems))


class TestRunningInstance(unittest.TestCase):
    def setUp(self):
        self.server = FixedResponseServer().start()
        self.addCleanup(self.server.stop)
        self.flags = ("--address", self.server.address)

    def answer(self, path, value):
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.server.answers[path] = body

    def test_status_as_text_and_json(self):
        self.answer("/v1/status", {"ready": True, "members": [{"id": "i1"}]})
        self.assertEqual(run("status", *self.flags)[1], "ready: true\nmembers: id=i1\n")
        environment = {"FESCUEFLOW_HTTP_ADDRESS": self.server.address}
        code, out, _ = run("status", "--json", environment=environment)
        self.assertEqual((code, json.loads(out)["ready"]), (0, True))

    def test_unreachable_instance_is_a_failure(self):
        self.assertEqual(run("status", *self.flags)[0], 1)
        self.answer("/v1/status", b"no JSON")
        self.assertEqual(run("status", *self.flags)[0], 1)
        self.assertEqual(run("status")[0], 2)

    def test_audit_records_are_read_in_every_form(self):
        records = [{"sequence": n, "kind": "started", "fields": {}} for n in (4, 5)]
        lines = b"\n".join(json.dumps(record).encode() for record in records)
        indented = json.dumps({"records": records}, indent=1).encode()
        for body in (lines, records, {"records": records}, indented, b""):
            self.answer("/v1/audit?after=3", body)
            code, out, error = run("audit", "--after", "3", "--json", *self.flags)
            found = [json.loads(line) for line in out.splitlines()]
            self.assertEqual((code, found), (0, records if body else []), error)
        self.answer("/v1/audit?after=3", b"[1]")
        self.assertEqual(run("audit", "--after", "3", *self.flags)[0], 1)

    def test_show_and_diff(self):
        built = build_configuration(7, zones={"withdrawn": ["a"]})
        running = parse_configuration(*built).unwrap()
        self.answer("/v1/configuration", describe_configuration(running))
        path = "/v1/configuration?customer=seed-bank"
        self.answer(path, describe_configuration(running, "seed-bank"))
        code, out, _ = run("config", "show", "--customer", "seed-bank", *self.flags)
        self.assertIn("customer.share: 1\n", out)
        customer = ("--customer", "seed-bank", "--json")
        code, out, _ = run("config", "diff", str(EXAMPLE), *self.flags, *customer)
        paths = [entry["path"] for entry in json.loads(out)]
        self.assertEqual((code, paths), (1, ["digest", "zones.withdrawn"]))

    def test_check_of_a_running_service(self):
        revision, manifest, sections = build_configuration(7)
        self.answer("/v1/keys/manifest", manifest)
        url = ("--configuration-url", f"http://{self.server.address}")
        self.assertEqual(run("check", *url)[0], 1)
        for name, digest in json.loads(manifest)["sections"].items():
            self.answer(f"/v1/keys/sections/{digest}", sections[name])
        self.assertEqual(run("check", *url)[:2], (0, "no problems found\n"))
        digest = json.loads(manifest)["sections"]["zones"]
        self.answer(f"/v1/keys/sections/{digest}", b"{}")
        code, _, error = run("check", *url)
        self.assertEqual(code, 2)
        self.assertIn("zones: SHA-256", error)


class TestProgram(unittest.TestCase):
    def test_version_and_help(self):
        self.assertEqual(run("--version")[:2], (0, __version__ + "\n"))
        code, out, _ = run("--help")
        self.assertEqual(code, 0)
        for word in ("serve", "check", "status", "audit", "config", "exit codes"):
            self.assertIn(word, out)
        self.assertEqual(run()[0], 2)

    def test_serve_lists_all_problems_of_the_settings(self):
        flags = ("--region", "r", "--lease-ms", "1")
        code, _, error = run("serve", *flags, environment={"FESCUEFLOW_TYPO": "1"})
        self.assertEqual(code, 2)
        for place in ("FESCUEFLOW_TYPO", "--lease-ms", "--instance-id: missing"):
            self.assertIn(place, error)

    def test_serve_flags_override_variables(self):
        node = mock.Mock()
        node.return_value.run.return_value = 3
        module = types.SimpleNamespace(Node=node)
        environment = {f"FESCUEFLOW_{k.upper()}": v for k, v in SETTINGS.items()}
        with mock.patch.dict(sys.modules, {"fescueflow.node": module}):
            code, _, error = run("serve", "--region", "other", environment=environment)
        self.assertEqual((code, error), (3, ""))
        self.assertEqual(node.call_args.args[0].region, "other")

    def test_log_lines_are_json_on_request(self):
        error = io.StringIO()
        with contextlib.redirect_stderr(error), log_to_stderr(True):
            logbook.Logger("channel").warning("one\ntwo {}", 2)
        line = json.loads(error.getvalue())
        self.assertEqual(line["message"], "one\ntwo 2")
        self.assertEqual((line["level"], line["channel"]), ("warning", "channel"))


if __name__ == "__main__":
    unittest.main()
