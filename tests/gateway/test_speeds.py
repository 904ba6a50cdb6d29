"""Tests of what instances learn of upstreams' speed from responses; no network."""

import unittest
from types import SimpleNamespace

from fescueflow.gateway.attempts import Attempt
from fescueflow.gateway.exchange import ExchangeFailed
from fescueflow.platform import parse_upstream_load, parse_upstream_percent
from fescueflow.routing import AttemptFailure, Prompt
from tests.fakes import FakeClock
from tests.gateway.fleet import Instance
from tests.routing.builders import ENGINES, make_upstream

SEAL = {"X-Server-Seal": "s"}
REFUSAL = {"X-Not-Executed": "1"}


class FakeExchange:
    """Exchange whose head has arrived."""

    def __init__(self, status, headers):
        self.status = status
        self._headers = headers

    def read_head(self, deadline, attempt_id, head_deadline):
        pass

    def send_request(self, data, deadline):
        pass

    def get_header(self, name):
        return self._headers.get(name)


PROMPT = Prompt("", 0, 11_000)


class LoadHeaderTest(unittest.TestCase):
    """Guards against headers whose figures are lost or misread."""

    def test_percent(self):
        self.assertEqual(parse_upstream_percent("3, 1, 8, 140"), 140)
        self.assertIsNone(parse_upstream_percent("3,1,8"))

    def test_malformed(self):
        odd = ("", "1,2", "3,1,8,0", "3,1,8,-5", "3,1,8,1.5", "3,1,8," + "9" * 5000)
        for value in (*odd, "3,1,8,140,", "9" * 10 + ",1,8"):
            with self.subTest(value=value[:20]):
                self.assertIsNone(parse_upstream_percent(value))
                self.assertIsNone(parse_upstream_load(value))


class SpeedCase(unittest.TestCase):
    """One instance with three engines of 16 slots."""

    def setUp(self):
        self.clock = FakeClock()
        self.upstreams = [make_upstream(f"u{n}", slots=16) for n in range(3)]
        self.instance = self.make_instance(0)

    def make_instance(self, number):
        names = ["edge-0", "edge-1", "edge-2", "edge-3"]
        return Instance(number, names, self.upstreams, self.clock, 1)

    def open_attempt(self, status, load, headers=SEAL, tried=(), prompt=None):
        """Return an attempt whose response head can be read."""
        prompt = prompt or Prompt()
        selection = self.instance.selector.select(ENGINES, prompt, set(tried), 12.0)
        if load is not None:
            headers = {**headers, "X-Server-Load": load}
        return Attempt(
            selection=selection,
            prompt=prompt,
            connection=SimpleNamespace(close=lambda: None),
            exchange=FakeExchange(status, headers),
            client=self.instance.client,
            deadline=self.clock.monotonic() + 12.0,
            started_at=self.clock.monotonic(),
        )

    def get_slowdown(self, upstream, instance=None):
        speeds = (instance or self.instance).selector.speeds
        return speeds.get_slowdown(upstream, ENGINES, self.clock.monotonic())

    def get_running(self, upstream):
        now = self.clock.monotonic()
        loads = self.instance.loads.estimate_loads([upstream], ENGINES, now)
        return loads[upstream].running


class ResponseHeadTest(SpeedCase):
    """Guards against a full upstream whose refusals tell its load in vain."""

    def test_load_and_speed_of_a_refusal(self):
        attempt = self.open_attempt(503, "16,4,16,200", REFUSAL)
        upstream = attempt.selection.upstream.id
        with self.assertRaises(ExchangeFailed) as caught:
            attempt.read_head(0.0, "a1")
        self.assertIs(caught.exception.kind, AttemptFailure.REFUSED)
        self.assertAlmostEqual(self.get_slowdown(upstream), 2.0)
        self.assertEqual(self.get_running(upstream), 20)

    def test_head_of_another_server(self):
        for status, headers in ((421, SEAL), (200, {})):
            attempt = self.open_attempt(status, "16,4,16,200", headers)
            with self.assertRaises(ExchangeFailed):
                attempt.read_head(0.0, "a1")
            upstream = attempt.selection.upstream.id
            self.assertEqual(self.get_slowdown(upstream), 1.0)
            attempt.selection.active_request.end()

    def test_speed_in_the_log_of_the_next_selection(self):
        tried = []
        for _ in self.upstreams:
            attempt = self.open_attempt(200, "1,0,16,150", tried=tried)
            attempt.read_head(0.0, "a1")
            tried.append(attempt.selection.upstream.id)
        self.clock.advance(0.1)
        selection = self.instance.selector.select(ENGINES, Prompt(), set(), 12.0)
        described = selection.describe()
        self.assertEqual(
            (described["slowdown"], described["slowdown_age_ms"]), (1.5, 100)
        )

    def test_three_figures_change_nothing(self):
        attempt = self.open_attempt(200, "1,0,16")
        attempt.read_head(0.0, "a1")
        self.assertEqual(self.get_slowdown(attempt.selection.upstream.id), 1.0)

    def test_malformed_header_is_counted(self):
        self.open_attempt(200, "1,0,16,fast").read_head(0.0, "a1")
        self.open_attempt(200, None).read_head(0.0, "a1")
        metrics = self.instance.selector.speeds._metrics
        self.assertEqual(metrics.get_count("upstream_loads_malformed"), 1)


class FirstEventTest(SpeedCase):
    """Guards against observed times that count wrongly or not at all."""

    def run_stream(self, seconds, load="1,0,16", tried=(), count=1):
        for _ in range(count):
            attempt = self.open_attempt(200, load, tried=tried, prompt=PROMPT)
            self.clock.advance(1.0)
            attempt.send("POST", "/", [], b"")
            attempt.read_head(0.0, "a1")
            self.clock.advance(seconds)
            attempt.record_events(1, self.clock.monotonic())
            attempt.record_events(1, self.clock.monotonic() + 9.0)
            attempt.selection.active_request.end()
        return attempt.selection.upstream.id

    def test_time_since_the_request_was_sent(self):
        upstream = self.run_stream(0.22, tried=[], count=1)
        self.assertGreater(self.get_slowdown(upstream), 1.1)

    def test_left_out_and_counted(self):
        metrics = self.instance.selector.speeds._metrics
        for changes, why in (
            ({"load": "17,1,16"}, "queued"),
            ({"tried": ["x"]}, "retry"),
        ):
            upstream = self.run_stream(0.22, **changes)
            self.assertEqual(self.get_slowdown(upstream), 1.0)
            name = "upstream_speed_samples_left_out"
            self.assertEqual(metrics.get_count(name, why=why), 1)


if __name__ == "__main__":
    unittest.main()
