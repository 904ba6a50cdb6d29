"""Tests of what instances learn of upstreams' speed from responses; no network."""

import json
import unittest
from types import SimpleNamespace

from fescueflow.gateway.attempts import Attempt
from fescueflow.gateway.exchange import ExchangeFailed
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.report_codec import (
    compress_report,
    decode_report,
    decompress_report,
)
from fescueflow.gateway.speeds import UpstreamSpeeds
from fescueflow.metrics import Metrics
from fescueflow.platform import parse_upstream_load, parse_upstream_percent
from fescueflow.routing import AttemptFailure, EngineTraits, Prompt, Service
from tests.fakes import FakeClock
from tests.gateway.fleet import FleetSimulation, Instance, Load
from tests.routing.builders import ENGINES, make_table, make_upstream

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
        # All three are as slow, so that nothing of it is the upstream's own.
        self.assertEqual(selection.placement.candidate.load.slowdown_share, 1.0)

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

    def run_stream(self, seconds, load="1,0,16", tried=(), count=1, prompt=PROMPT):
        for _ in range(count):
            attempt = self.open_attempt(200, load, tried=tried, prompt=prompt)
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

    def test_cached_prompt_of_a_service_that_copies(self):
        """Each request names a source there, also where the prefix is cached."""
        engine = EngineTraits(16, 690_000, copy_tokens_per_ms=2_000.0)
        service = Service(ENGINES, 600, 3.0, 20.0, engine)
        platform_state = self.instance.platform_state
        platform_state.accept_table(make_table(version=2, services=(service,)))
        metrics = self.instance.selector.speeds._metrics
        prompt = Prompt("k", 10_000, 11_000)
        # The usual time is 110 ms, and the cost of a copy 58 ms.
        upstream = self.run_stream(0.150, prompt=prompt)
        slowdown = self.get_slowdown(upstream)
        self.assertGreater(slowdown, 1.05)
        self.assertEqual(self.run_stream(0.175, prompt=prompt), upstream)
        name = "upstream_speed_samples_left_out"
        self.assertEqual(metrics.get_count(name, why="evicted"), 1)
        self.assertLess(self.get_slowdown(upstream), slowdown)

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


class SwitchedOffTest(unittest.TestCase):
    """Guards against speeds that change placements where they are switched off."""

    def test_nothing_is_learned(self):
        speeds = UpstreamSpeeds(PlatformState(), Metrics(), is_enabled=False)
        upstream = make_upstream("u0", slots=16)
        self.assertEqual(speeds.record_load_header(upstream, "3,1,8,300", 0.0), 4)
        speeds.record_sample(upstream.id, ENGINES, 300, 500.0, 50.0, 0.0)
        self.assertEqual(speeds.get_slowdown(upstream.id, ENGINES, 0.0), 1.0)
        self.assertEqual(speeds.take_updates(0.0), [])


class ReportTest(SpeedCase):
    """Guards against instances that each learn alone, or from bad reports."""

    def setUp(self):
        super().setUp()
        self.upstreams = [make_upstream(f"i-{n:08x}", slots=16) for n in range(70)]
        self.instance = self.make_instance(0)

    def tell(self, instance, upstreams, percent=150):
        now = self.clock.monotonic()
        for n, upstream in enumerate(upstreams):
            instance.selector.speeds.record_sample(
                upstream.id, ENGINES, percent + n, None, None, now
            )

    def read_speeds(self, data):
        return json.loads(decompress_report(data)).get("speeds")

    def test_instance_with_few_requests_knows_from_others(self):
        slow = self.upstreams[:1]
        for number in (1, 2, 3):
            other = self.make_instance(number)
            self.tell(other, slow, percent=190)
            self.instance.reporter.handle_report(other.report(False)[1])
        self.assertAlmostEqual(self.get_slowdown(slow[0].id), 1.9, delta=0.05)
        # All later reports are lost.
        self.clock.advance(30.0)
        self.assertAlmostEqual(self.get_slowdown(slow[0].id), 1.0, delta=0.01)

    def test_by_turns_and_within_the_size(self):
        self.tell(self.instance, self.upstreams[:16])
        reports = [self.instance.report(False)[1] for _ in range(2)]
        told = [self.read_speeds(data) for data in reports]
        self.assertEqual([len(entries) for entries in told], [8, 8])
        self.assertEqual(len({entry[0] for entries in told for entry in entries}), 16)
        for data in reports:
            document = json.loads(decompress_report(data))
            del document["speeds"]
            bare = compress_report(json.dumps(document, separators=(",", ":")).encode())
            self.assertLessEqual(len(data) - len(bare), 200)

    def test_report_without_slowdowns(self):
        _, data = self.make_instance(1).report(False)
        self.assertIsNone(self.read_speeds(data))
        self.instance.reporter.handle_report(data)
        self.assertEqual(self.get_slowdown(self.upstreams[0].id), 1.0)

    def test_old_samples_are_not_reported(self):
        self.tell(self.instance, self.upstreams[:2])
        self.clock.advance(3.1)
        self.assertIsNone(self.read_speeds(self.instance.report(False)[1]))

    def test_outdated_report_is_left_out(self):
        """A reordered report would make an earlier slowdown look new."""
        other, upstream = self.make_instance(1), self.upstreams[0]
        self.tell(other, [upstream], percent=200)
        _, earlier = other.report(False)
        _, later = other.report(False)
        self.instance.reporter.handle_report(later)
        self.clock.advance(20.0)
        self.instance.reporter.handle_report(earlier)
        self.assertLess(self.get_slowdown(upstream.id), 1.1)

    def test_upstream_that_is_not_listed(self):
        other = self.make_instance(1)
        self.tell(other, [make_upstream("gone")])
        self.instance.reporter.handle_report(other.report(False)[1])
        self.assertEqual(self.get_slowdown(make_upstream("gone").id), 1.0)

    def test_malformed_slowdown(self):
        _, data = self.make_instance(1).report(False)
        document = json.loads(decompress_report(data))
        for odd in (0, -1, "x", None, 1e999):
            document["speeds"] = [[self.upstreams[0].id, odd, 0.1]]
            with self.assertRaises(ValueError):
                decode_report(compress_report(json.dumps(document).encode()), 0.0)


class SlowFleet(FleetSimulation):
    """Fleet in which upstreams tell a percent figure; ``slow`` are at 300."""

    slow = frozenset()

    def _finish_reading(self, instance, selection):
        super()._finish_reading(instance, selection)
        upstream, now = selection.upstream.id, self.clock.monotonic()
        percent = 300 if upstream in self.slow else 100
        instance.selector.speeds.record_sample(
            upstream, ENGINES, percent, None, None, now
        )

    def measure_share(self, upstream, since):
        """Return an upstream's requests as a multiple of the mean."""
        names = [a.upstream for a in self.arrivals if a.at >= since]
        return names.count(upstream) * len(self.running) / len(names)


class ReplayTest(unittest.TestCase):
    """Guards against slow engines that get as many requests as the others."""

    def test_engine_that_becomes_slow_and_recovers(self):
        load = Load(
            instances=16, upstreams=8, per_s=160.0, duration_s=0.4, shared_tokens=0
        )
        fleet, u0 = SlowFleet(load, seed=1), make_upstream("u0").id
        fleet.run(3.0)
        self.assertGreater(fleet.measure_share(u0, 1.0), 0.6)
        fleet.slow = {u0}
        fleet.run(6.0)
        self.assertLess(fleet.measure_share(u0, 4.0), 0.6)
        fleet.slow = frozenset()
        fleet.run(10.0)
        self.assertGreater(fleet.measure_share(u0, 8.0), 0.6)


if __name__ == "__main__":
    unittest.main()
