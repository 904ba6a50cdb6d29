"""Tests of reports that are malformed in one of their fields."""

import copy
import json
import unittest

from fescueflow.gateway.quarantine_codec import ProgressUpdate, QuarantineReport
from fescueflow.gateway.report_codec import (
    PeerReport,
    compress_report,
    decompress_report,
    encode_report,
)
from fescueflow.routing import (
    HolderUpdate,
    LimitId,
    LimitUpdate,
    Prompt,
    SpeedUpdate,
    Verdict,
    parse_prompt,
)
from tests.fakes import FakeClock
from tests.gateway.builders import make_peer
from tests.gateway.fleet import Instance
from tests.routing.builders import ENGINES, make_upstream
from tests.routing.test_quarantine import make_update

ODD_VALUES = (
    None,
    True,
    -1,
    1e999,
    10**400,
    "1e400",
    "\ud800",
    "x" * 999,
    [],
    {"a": 1},
)


def find_fields(document, path=()):
    """Yield the paths of all values in a document."""
    entries = document.items() if isinstance(document, dict) else enumerate(document)
    for key, value in entries:
        yield (*path, key)
        if isinstance(value, dict | list):
            yield from find_fields(value, (*path, key))


class OddReportTest(unittest.TestCase):
    """Guards against a report after which an instance fails all requests."""

    def test_each_odd_value_in_each_field(self):
        quarantine = QuarantineReport(
            (make_update(0, 0.2, "a"),), (ProgressUpdate(ENGINES, "b", 0.5),)
        )
        report = PeerReport(
            [make_peer(), make_peer("edge-c-1")],
            {"u1": (1, 2)},
            [HolderUpdate(ENGINES, "k", "u1", 0.1)],
            quarantine=quarantine,
            limits=[
                LimitUpdate(LimitId("u1", 1), 2.5, 0.5),
                LimitUpdate(LimitId("u0", 1), None, 0.5),
            ],
            speeds=[SpeedUpdate("u1", 1.5, 0.2), SpeedUpdate("u2", 0.5, 0.2)],
        )
        document = json.loads(decompress_report(encode_report(report, 0.0)))
        for path in find_fields(document):
            for value in ODD_VALUES:
                changed = copy.deepcopy(document)
                place = changed
                for key in path[:-1]:
                    place = place[key]
                place[path[-1]] = value
                with self.subTest(path=path, value=str(value)[:20]):
                    self.check(compress_report(json.dumps(changed).encode()))

    def check(self, data):
        # u0 has crashed and u1 is limited, by the report; u2 takes requests.
        upstreams = [make_upstream(f"u{n}", started_at_ms=1) for n in range(3)]
        instance = Instance(0, ["edge-0"], upstreams, FakeClock(), 1)
        try:
            instance.reporter.handle_report(data)
        except ValueError:
            pass
        instance.report(is_named=False)
        instance.selector.select(ENGINES, Prompt(), set(), 5.0).active_request.end()


class OddPromptTest(unittest.TestCase):
    """Guards against reports that others refuse for what a caller's prompt names."""

    def test_names_of_parts(self):
        clock = FakeClock()
        upstreams = [make_upstream(f"u{n}", started_at_ms=1) for n in range(2)]
        for name in ("x" * 300, "x" * 16_000, "\x85part", "part\xa0", "part\xad"):
            with self.subTest(name=name[:20]):
                names = ["edge-0", "edge-1"]
                sender, receiver = (
                    Instance(n, names, upstreams, clock, 1) for n in range(2)
                )
                prompt = parse_prompt(f"first:9,{name}:700,own:9", "900,40")
                sender.selector.select(ENGINES, prompt, set(), 5.0)
                parts = prompt.shared_parts
                sender.quarantine.record_crash(upstreams[0], parts, clock.monotonic())
                _, data = sender.report(is_named=False)
                receiver.reporter.handle_report(data)
                verdict = receiver.quarantine.check(ENGINES, prompt)
                self.assertIs(verdict, Verdict.ISOLATE)


if __name__ == "__main__":
    unittest.main()
