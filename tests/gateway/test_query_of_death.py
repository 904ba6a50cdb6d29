"""Tests of requests under which upstreams end, with real instances and sockets."""

import threading
import time
import unittest
from unittest import mock

from fescueflow.gateway.quarantine_codec import QuarantineReport
from tests.gateway.fake_servers import FakeStore
from tests.gateway.gateway_case import WAIT_S, make_table
from tests.gateway.mortal_upstreams import EVENTS, LiveFleet, MortalUpstream
from tests.routing.test_quarantine import make_update

# Upstreams that may end under one part, and requests with it that may reach upstreams
# later than the stable window after the last of these ends.
ENDS_MAX = 5
LATE_ARRIVALS_MAX = 3
STABLE_WINDOW_S = 3.0


def send_part_of_a_head(handler):
    handler.wfile.write(b"HTTP/1.1 200")
    handler.close_connection = True


class MortalCase(unittest.TestCase):
    """Three instances before upstreams that end under a prompt part."""

    instances = 3

    def setUp(self):
        self.fatal_parts = set()
        self.store = FakeStore()
        self.addCleanup(self.store.close)
        self.store.put("op/config", make_table(1))
        self.upstreams = [
            MortalUpstream(f"u{n}", self.store, self.fatal_parts) for n in range(6)
        ]
        for upstream in self.upstreams:
            self.addCleanup(upstream.close)
        self.fleet = LiveFleet(self.store, self.instances)
        self.addCleanup(self.fleet.close)
        self.calls = 0
        deadline = time.monotonic() + WAIT_S
        for number in range(self.instances):
            while self.call(["first"], number)[0] != 200:
                self.assertLess(time.monotonic(), deadline, "no instance serves")

    def call(self, parts, number=None, route="/stream/1"):
        """Return status and body of a request at the next instance."""
        self.calls += 1
        number = self.calls if number is None else number
        return self.fleet.call(number, route, parts, f"a{self.calls}")

    def list_ends(self):
        return sorted(at for u in self.upstreams for at in u.ended_at)

    def count_arrivals(self, part, since):
        arrivals = [a for u in self.upstreams for a in u.arrivals]
        return sum(at >= since and part in parts for at, parts, _ in arrivals)


class QueryOfDeathTest(MortalCase):
    """Guards against one prompt part that ends an upstream after the other."""

    def test_upstreams_ended_one_after_the_other(self):
        """A request with the part comes at any instance, and its caller repeats."""
        self.fatal_parts.add("fatal")
        began = time.monotonic()
        while time.monotonic() - began < STABLE_WINDOW_S + 3.0:
            self.call(["first", "fatal"])
            self.call(["first", "sound"])
        ends = self.list_ends()
        self.assertLessEqual(len(ends), ENDS_MAX)
        bound_from = ends[-1] + STABLE_WINDOW_S
        late = self.count_arrivals("fatal", bound_from)
        self.assertLessEqual(late, LATE_ARRIVALS_MAX)

    def test_request_without_prompt_parts(self):
        self.fatal_parts.add("/safe/fatal")
        for _ in range(12):
            self.assertIn(self.call([], route="/safe/fatal")[0], (502, 503))
            self.assertEqual(self.call([], route="/safe/sound")[0], 200)
        self.assertLessEqual(len(self.list_ends()), ENDS_MAX)
        self.assertEqual(self.call([], route="/safe/fatal")[0], 503)

    def test_lost_and_spoiled_answers_are_no_crashes(self):
        """The upstreams reset connections and garble answers, but they run on."""
        broken = (
            lambda h: h.reset_connection(),
            lambda h: h.send_with_length(200, [], b"without a seal"),
            send_part_of_a_head,
        )
        with mock.patch.object(MortalUpstream, "answer") as scripted:
            for number in range(12):
                scripted.side_effect = lambda h, _, n=number: broken[n % 3](h)
                self.call(["first", "popular"])
        for gateway in self.fleet.gateways:
            self.assertEqual(len(gateway._quarantine._crashes), 0)
        self.assertEqual(self.call(["first", "popular"])[0], 200)

    def test_request_that_waits_while_its_part_is_quarantined(self):
        """It is taken back before the upstream begins to answer it."""
        self.fatal_parts.add("fatal")
        for upstream in self.upstreams:
            upstream.first_event_s = 3.0
        crashes = tuple(make_update(n, 9.0 - n, "fatal") for n in range(3))

        def quarantine():
            time.sleep(0.5)
            for sender in ("edge-8", "edge-9"):
                for gateway in self.fleet.gateways:
                    gateway._quarantine.merge(QuarantineReport(crashes), sender)

        thread = threading.Thread(target=quarantine)
        thread.start()
        status, body = self.call(["first", "fatal"])
        thread.join()
        self.assertEqual((status, self.list_ends()), (502, []), body)


class FirstWriteTest(MortalCase):
    """Guards against parts that are cleared by what an upstream wrote before it ended.

    The first write of an answer may hold any number of its events, and the upstream
    may live on for a moment.
    """

    def check(self, first_write, survives_s, route="/stream/1"):
        for upstream in self.upstreams:
            upstream.first_write, upstream.survives_s = first_write, survives_s
        self.fatal_parts.add("fatal")
        began = time.monotonic()
        while time.monotonic() - began < 4.0:
            self.call(["first", "fatal"], route=route)
            self.call(["first", "sound"], route=route)
        self.assertLessEqual(len(self.list_ends()), ENDS_MAX)
        self.assertEqual(self.call(["first", "fatal"], route=route)[0], 503)
        self.assertEqual(self.call(["first", "sound"], route=route)[0], 200)

    def test_two_events_in_the_first_write(self):
        self.check(2, 0.0)

    def test_end_some_time_after_the_first_write(self):
        self.check(2, 0.1)

    def test_whole_answer_in_the_first_write(self):
        self.check(EVENTS, 0.005)

    def test_whole_answer_that_is_no_stream(self):
        self.check(EVENTS, 0.005, route="/safe/1")


if __name__ == "__main__":
    unittest.main()
