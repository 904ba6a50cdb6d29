"""Tests of the ``explain`` command."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from fescueflow.cli import main
from fescueflow.cli.explain import find_request_lines, parse_log_lines


def make_line(second, message, instance="i1", **fields):
    """Return a log line as text."""
    line = {
        "time": f"2026-01-01T00:00:{second:06.3f}Z",
        "instance": instance,
        "message": message,
        **fields,
    }
    return json.dumps(line)


LOG = [
    make_line(1, "upstream listed", upstream="u1", state="ready"),
    make_line(8.5, "upstream left out", upstream="u1"),
    make_line(9, "upstream left out", upstream="u2"),
    make_line(10, "placed", id="a1", upstream="u1", cost_ms=3.5),
    "  10.5 i1 not JSON {",
    "  11.0000 i1 " + make_line(11, "not answered", id="a1", status=502),
    make_line(10.5, "placed", id="other", upstream="u1"),
    make_line(12, "upstream removed", upstream="u1"),
]


class ExplainTest(unittest.TestCase):
    """Guards against omitting log lines that explain the outcome of a request."""

    def test_lines_about_the_request_and_its_upstreams(self):
        request_lines = find_request_lines(parse_log_lines(LOG), "a1")
        self.assertEqual(
            [line["message"] for line in request_lines],
            ["upstream left out", "placed", "not answered"],
        )

    def run_command(self, *arguments):
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = main(["explain", *arguments], {})
        return code, output.getvalue(), errors.getvalue()

    def test_command(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("\n".join(LOG))
            code, output, _ = self.run_command("a1", str(path))
            self.assertEqual(code, 0)
            self.assertIn("not answered status=502", output.replace("id=a1 ", ""))
            self.assertEqual(self.run_command("none", str(path))[0], 1)
            self.assertEqual(self.run_command("a1", str(path) + "x")[0], 2)


if __name__ == "__main__":
    unittest.main()
