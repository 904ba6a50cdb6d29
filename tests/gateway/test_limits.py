"""Tests of what an instance notes of the limits in upstreams' answers."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

import logbook

from fescueflow.gateway.limits import UpstreamLimits
from fescueflow.gateway.peers import PeerTable
from fescueflow.metrics import Metrics
from tests.fakes import FakeClock
from tests.gateway.builders import make_peer
from tests.gateway.fleet import Instance
from tests.routing.builders import make_upstream

SEAL = ("X-Server-Seal", "u1.a1")
REFUSED = ("X-Not-Executed", "1")


class AnswerHeadTest(unittest.TestCase):
    """Guards against a limit that is not noticed in some kind of answer."""

    def setUp(self):
        self.clock = FakeClock()
        self.upstream = make_upstream("u1", started_at_ms=1)
        self.instance = Instance(0, ["edge-0"], [self.upstream], self.clock, 1)
        self.limits = self.instance.selector.limits

    def answer(self, status, *headers):
        """Pass on the head of an answer to a request that is sent now."""
        self.clock.advance(0.1)
        sent_at = self.clock.monotonic()
        self.clock.advance(0.1)
        exchange = SimpleNamespace(status=status, get_header=dict(headers).get)
        attempt = SimpleNamespace(
            exchange=exchange,
            started_at=sent_at,
            selection=SimpleNamespace(upstream=self.upstream),
        )
        self.instance.client.record_upstream_wishes(attempt, "a1")

    def find_limit(self):
        return self.limits.find_rate(self.upstream)

    def test_each_kind_of_answer(self):
        for number, (status, *headers) in enumerate(
            (
                (200, SEAL),
                (404, SEAL),
                (429, SEAL),
                (500, SEAL),
                (503, SEAL, REFUSED),
                (503, REFUSED),
                (502,),
            )
        ):
            with self.subTest(status=status, headers=headers):
                self.answer(status, *headers, ("Server-Limit", f"{number}.5"))
                self.assertEqual(self.find_limit(), number + 0.5)

    def test_answer_without_the_header(self):
        self.answer(200, SEAL, ("Server-Limit", "2"))
        self.answer(200, SEAL)
        self.assertIsNone(self.find_limit())

    def test_answer_without_the_header_and_the_seal(self):
        self.answer(200, SEAL, ("Server-Limit", "2"))
        self.answer(502)
        self.assertEqual(self.find_limit(), 2.0)

    def test_malformed_value_says_nothing(self):
        self.answer(200, SEAL, ("Server-Limit", "none"))
        self.assertIsNone(self.find_limit())
        self.answer(200, SEAL, ("Server-Limit", "2"))
        self.answer(200, SEAL, ("Server-Limit", "nan"))
        self.assertEqual(self.find_limit(), 2.0)

    def test_restart_at_the_same_address(self):
        self.answer(200, SEAL, ("Server-Limit", "2"))
        self.upstream = make_upstream("u1", started_at_ms=2)
        self.assertIsNone(self.find_limit())


class ChangingHolderTest(unittest.TestCase):
    """Guards against a new token each time that an instance becomes a holder again."""

    def count_sent(self, name, limit, seconds):
        """Return the requests of an instance that serves 0.75 s, then not for 0.5 s."""
        clock = FakeClock()
        peers = PeerTable(make_peer(name, last_seen_at=clock.monotonic()))
        limits = UpstreamLimits(own=name, peers=peers, clock=clock, metrics=Metrics())
        upstream = make_upstream("u1", started_at_ms=1)
        limits.record_answer(upstream, limit, clock.monotonic(), "a1")
        sent = 0
        for step in range(round(seconds / 0.25)):
            clock.advance(0.25)
            now = clock.monotonic()
            own = replace(
                peers.get_own_record(), is_serving=step % 5 < 3, last_seen_at=now
            )
            peers.set_own_record(own)
            share = limits.find_share(upstream, now)
            if limits.has_token(upstream, share, now):
                limits.take_token(upstream)
                sent += 1
        return sent

    def test_tokens_of_an_instance_that_serves_now_and_then(self):
        counts = [self.count_sent(f"edge-{n}", 0.3, 40.0) for n in range(20)]
        # What the limit allows in the time, and the first token.
        self.assertLessEqual(max(counts), 0.3 * 40.0 + 1)
        self.assertGreater(sum(counts), 0)


class ChangeLogTest(unittest.TestCase):
    """Guards against a change of a limit that the operator can't see."""

    def test_one_line_for_each_change(self):
        clock, metrics = FakeClock(), Metrics()
        limits = UpstreamLimits(
            own="edge-0",
            peers=PeerTable(make_peer("edge-0")),
            clock=clock,
            metrics=metrics,
        )
        upstream = make_upstream("u1", started_at_ms=1)
        with logbook.TestHandler() as handler:
            for rate in (None, 2.0, 2.0, 3.0, None, None):
                clock.advance(0.1)
                sent_at = clock.monotonic()
                clock.advance(0.1)
                limits.record_answer(upstream, rate, sent_at, "a1")
        logged = [r.extra["limit"] for r in handler.records]
        self.assertEqual(logged, [2.0, 3.0, None])
        counted = metrics.get_count("upstream_limit_changes", source="own")
        self.assertEqual(counted, 3)


if __name__ == "__main__":
    unittest.main()
