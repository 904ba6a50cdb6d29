"""Ramps of upstreams as one instance begins, uses and ends them."""

import unittest

import logbook

from fescueflow.core import UpstreamId, ZoneId
from fescueflow.gateway.loads import LoadTracker
from fescueflow.gateway.peers import PeerTable
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.selection import UpstreamSelector
from fescueflow.metrics import Metrics
from fescueflow.routing import Prompt
from tests.fakes import ManualClock
from tests.gateway.builders import make_boot, make_peer
from tests.routing.builders import ENGINES, make_route, make_table, make_upstream

NAMES = [UpstreamId(f"u{n}") for n in range(3)]
OLD_MS = 1
PROMPT = Prompt()


class RampTrackerTest(unittest.TestCase):
    """Guards against ramps without a reason, and reasons without a ramp."""

    def setUp(self):
        self.clock = ManualClock()
        self.state = PlatformState()
        self.state.accept_table(make_table(make_route()))
        self.metrics = Metrics()
        self.selector = UpstreamSelector(
            boot=make_boot(),
            platform_state=self.state,
            loads=LoadTracker(),
            peers=PeerTable(make_peer("edge-a-1", "a")),
            clock=self.clock,
            metrics=self.metrics,
        )
        for name in NAMES:
            self.put(name, OLD_MS)
        self.events = []
        handler = logbook.TestHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.handler = handler

    def put(self, name, started_at_ms, **changes):
        values = {"slots": 8, "started_at_ms": started_at_ms, **changes}
        self.state.put_upstream(make_upstream(name, **values))

    def start(self, name, **changes):
        """List a new start of an upstream."""
        self.put(name, round(self.clock.wall_time() * 1000) - 500, **changes)

    def select(self, count=1, prompt=PROMPT):
        """Select upstreams for requests that stay open."""
        found = []
        for _ in range(count):
            selection = self.selector.select(ENGINES, prompt, set(), 5.0)
            found.append(selection.upstream)
        return found

    def list_events(self):
        """Return events, causes and reasons of the lines about ramps."""
        extras = [r.extra for r in self.handler.records if r.message == "ramp"]
        return [(e["event"], e["cause"], e["reason"] or None) for e in extras]

    def test_upstreams_that_neither_start_nor_recover(self):
        """An instance that starts knows no upstream, which is no start of theirs."""
        self.select(12)
        self.assertEqual(self.list_events(), [])

    def test_used_up_window_comes_after_the_others(self):
        self.start(NAMES[0])
        found = [upstream.id for upstream in self.select(8)]
        self.assertEqual(found.count(NAMES[0]), 2)
        self.assertEqual(self.list_events(), [("begin", "start", None)])

    def test_all_in_their_ramp(self):
        """Nothing is refused, and the load stays even."""
        for name in NAMES:
            self.start(name)
        found = [upstream.id for upstream in self.select(18)]
        self.assertEqual([found.count(name) for name in NAMES], [6, 6, 6])

    def test_upstream_above_the_bound_is_no_alternative(self):
        """Guards against loads above the bound on imbalance for the sake of a ramp."""
        for name in NAMES[1:]:
            self.start(name)
        found = [upstream.id for upstream in self.select(24)]
        self.assertLessEqual(found.count(NAMES[0]), 2 * 8 + 3)
        self.assertGreater(found.count(NAMES[1]), 2)

    def test_long_prefix_stays_with_its_holder(self):
        """After a pause of half a second it was read again elsewhere."""
        prompt = Prompt("p1", shared_tokens=10_000)
        selection = self.selector.select(ENGINES, prompt, set(), 5.0)
        selection.active_request.mark_prompt_read()
        holder = selection.upstream
        self.selector.pause_upstream(holder.id, 0.5)
        self.clock.now += 1.0
        found = [upstream.id for upstream in self.select(2, prompt)]
        self.assertEqual(found, [holder.id] * 2)
        self.assertNotEqual(self.select(1)[0].id, holder.id)

    def test_full_upstream_is_no_alternative(self):
        """A queue elsewhere takes longer than a request above the window."""
        for name in NAMES[1:]:
            self.put(name, OLD_MS, slots=1)
        self.start(NAMES[0])
        found = [upstream.id for upstream in self.select(7)]
        self.assertEqual([found.count(name) for name in NAMES], [5, 1, 1])

    def test_good_responses_end_a_ramp(self):
        self.start(NAMES[0])
        upstream = next(u for u in self.select(3) if u.id == NAMES[0])
        sent_at = self.clock.monotonic()
        self.selector.ramps.record_begun(upstream, 100, 0.1, sent_at)
        expected = [("begin", "start", None), ("end", "start", "reached")]
        self.assertEqual(self.list_events(), expected)

    def test_slow_response_and_refusal_cut(self):
        self.start(NAMES[0])
        upstreams = {u.id: u for u in self.select(6)}
        ramps, sent_at = self.selector.ramps, self.clock.monotonic()
        ramps.record_begun(upstreams[NAMES[1]], 100, 0.1, sent_at)
        ramps.record_begun(upstreams[NAMES[0]], 100, 0.5, sent_at)
        self.clock.now += 1.0
        ramps.record_trouble(NAMES[0], "refused", self.clock.monotonic())
        ramps.record_trouble(NAMES[1], "refused", self.clock.monotonic())
        cuts = [reason for event, _, reason in self.list_events() if event == "cut"]
        self.assertEqual(cuts, ["slow", "refused"])

    def test_begin_after_an_exclusion_a_pause_and_a_cold_time(self):
        self.selector.record_failure(NAMES[0], is_down=True)
        self.selector.pause_upstream(NAMES[1], 2.0)
        self.put(NAMES[2], OLD_MS, cold_until=self.clock.monotonic() + 4.0)
        causes = []
        for _ in range(6):
            self.select()
            causes.append([cause for _, cause, _ in self.list_events()])
            self.clock.now += 1.0
        self.assertEqual(causes[0], [])
        self.assertEqual(causes[1], ["exclusion"])
        self.assertEqual(causes[2], ["exclusion", "pause"])
        self.assertEqual(causes[5], ["exclusion", "pause", "cold"])

    def list_begins(self):
        """Return cause, window and share of the ramps that have begun."""
        extras = [r.extra for r in self.handler.records if r.message == "ramp"]
        keys = ("cause", "window", "share")
        return [tuple(e[k] for k in keys) for e in extras if e["event"] == "begin"]

    def test_end_of_the_cold_time_during_a_ramp(self):
        """It undid what the ramp had learned, though nothing had gone wrong."""
        self.start(NAMES[0], cold_until=self.clock.monotonic() + 4.0)
        self.select()
        self.clock.now += 5.0
        self.select()
        self.assertEqual(self.list_events(), [("begin", "start", None)])

    def test_end_of_the_cold_time_after_a_ramp(self):
        """The requests that are open there show what the upstream takes."""
        self.start(NAMES[0], cold_until=self.clock.monotonic() + 4.0)
        upstreams = self.select(6)
        used = next(u for u in upstreams if u.id == NAMES[0])
        for _ in range(3):
            sent_at = self.clock.monotonic()
            self.selector.ramps.record_begun(used, 100, 0.1, sent_at)
        self.clock.now += 1.0
        upstreams += self.select(15)
        own = [u.id for u in upstreams].count(NAMES[0])
        self.assertGreater(own, 3)
        self.clock.now += 4.0
        self.select()
        self.assertEqual(
            [begin[:2] for begin in self.list_begins()],
            [("start", 2.0), ("cold", float(own))],
        )

    def test_exclusion_of_an_upstream_with_a_large_share(self):
        """The others go on, so that a ramp from nothing would only move the load."""
        self.select(36)
        self.selector.record_failure(NAMES[0], is_down=True)
        self.clock.now += 10.0
        self.select()
        [(cause, window, share)] = self.list_begins()
        self.assertEqual(cause, "exclusion")
        self.assertGreater(window, 2.5)
        self.assertAlmostEqual(window, share / 4, 2)

    def test_only_trouble_lets_a_later_cause_replace_a_ramp(self):
        self.selector.record_failure(NAMES[0], is_down=True)
        self.put(NAMES[0], OLD_MS, cold_until=self.clock.monotonic() + 4.0)
        self.clock.now += 3.0
        self.select()
        self.clock.now += 2.0
        self.select()
        expected = [("begin", "exclusion", None)]
        self.assertEqual(self.list_events(), expected)
        self.selector.record_failure(NAMES[0], is_down=True)
        self.clock.now += 10.0
        self.select()
        expected += [("end", "exclusion", "replaced"), ("begin", "exclusion", None)]
        self.assertEqual(self.list_events(), expected)

    def test_zone_that_is_taken_back(self):
        """Its upstreams count as cold, and are ramped up after that."""
        self.state.set_withdrawn_zones([ZoneId("a")], self.clock.monotonic())
        self.state.set_withdrawn_zones([], self.clock.monotonic())
        self.select()
        self.clock.now += 4.0
        self.select()
        self.assertEqual(self.list_events(), [("begin", "cold", None)] * 3)

    def test_instance_without_requests(self):
        """It keeps no starts for ever, and begins a ramp of one that it will use."""
        self.start(NAMES[0])
        self.selector.ramps.retain(set(NAMES))
        self.clock.now += 31.0
        self.selector.ramps.retain(set(NAMES))
        self.assertEqual(self.state.pop_started(), [])
        expected = [("begin", "start", None), ("end", "start", "elapsed")]
        self.assertEqual(self.list_events(), expected)

    def test_end_without_responses(self):
        self.start(NAMES[0])
        self.select()
        self.start(NAMES[1])
        self.select()
        self.selector.ramps.retain(set(NAMES[:1]))
        self.clock.now += 31.0
        self.select()
        reasons = [reason for _, _, reason in self.list_events()]
        self.assertEqual(reasons, [None, None, "gone", "elapsed"])


if __name__ == "__main__":
    unittest.main()
