"""Parsing of the platform's settings file."""

import tempfile
import unittest
from pathlib import Path

from fescueflow.core import InvalidSettings
from fescueflow.platform import PATH_VARIABLE, load_boot, parse_boot
from tests.gateway.builders import render_boot


class ParseBootTest(unittest.TestCase):
    """Guards against a process that runs with misread or incomplete settings."""

    def test_units(self):
        """Guards against milliseconds that are taken for seconds."""
        boot = parse_boot(render_boot())
        self.assertEqual((boot.server_heartbeat_s, boot.grace_s), (1.2, 8.0))
        self.assertEqual(boot.peer_port, 7001)

    def test_evacuation_time(self):
        """Guards against a zone that stays withdrawn for ever by an odd setting."""
        self.assertEqual(parse_boot(render_boot()).evacuation_s, 5.0)
        self.assertEqual(parse_boot(render_boot()).drain_s, 2.0)
        for value in ('"2000"', "inf", "-1"):
            text = render_boot().replace(
                "drain_timeout_ms = 2000", f"drain_timeout_ms = {value}"
            )
            self.assertEqual(parse_boot(text).drain_s, 0.0)
        for value, expected in ("4000", 4.0), ("nan", 5.0), ("inf", 5.0), ('"x"', 5.0):
            text = f"ttl_max_s = 5\nevacuation_ms = {value}"
            boot = parse_boot(render_boot().replace("ttl_max_s = 5", text))
            self.assertEqual(boot.evacuation_s, expected)

    def test_machine(self):
        """Guards against limits of callers that another machine's figures decide."""
        text = render_boot() + "[limits]\nmemory_limit_mb = 152\nmax_fds = 1535\n"
        boot = parse_boot(text)
        self.assertEqual((boot.memory_mb, boot.max_fds), (152.0, 1535.0))
        self.assertEqual(parse_boot(render_boot()).max_fds, 0.0)

    def test_all_problems_at_once(self):
        text = render_boot(callers=0).replace('zone = "a"', "zone = 3")
        text = text.replace("ttl_max_s = 5", "")
        with self.assertRaises(InvalidSettings) as caught:
            parse_boot(text)
        paths = [problem.partition(":")[0] for problem in caught.exception.problems]
        self.assertEqual(paths, ["zone", "listen_addrs.frontend", "bounds.ttl_max_s"])

    def test_file_that_is_not_utf_8(self):
        # The file is read again while an instance runs; an error of another type
        # would end its upkeep task.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "boot.toml")
            path.write_bytes(b"\xff\xfe")
            with self.assertRaises(InvalidSettings):
                load_boot({PATH_VARIABLE: str(path)})

    def test_missing_file(self):
        for environment in ({}, {PATH_VARIABLE: "/nowhere/boot.toml"}):
            with self.assertRaises(InvalidSettings):
                load_boot(environment)


if __name__ == "__main__":
    unittest.main()
