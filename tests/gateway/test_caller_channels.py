"""Tests of connections of callers without a server's loop."""

import socket
import time
import unittest
from types import SimpleNamespace

from waitress.adjustments import Adjustments

from fescueflow.gateway.caller_memory import CallerMemory
from fescueflow.gateway.caller_requests import CallerRules
from fescueflow.gateway.channels import make_channel_class
from fescueflow.gateway.unanswered import UnansweredRequests
from fescueflow.metrics import Metrics
from fescueflow.routing import CallerLimits

ANSWER_BYTES = 1 << 23


def make_rules(memory_bytes=1e8):
    return CallerRules(
        memory=CallerMemory(memory_bytes),
        get_limits=lambda: CallerLimits(16384, 4 << 20, 15.0, 3.0),
        metrics=Metrics(),
    )


class CallerChannelTest(unittest.TestCase):
    """Guards against answers that are taken for unread ones."""

    def setUp(self):
        self.rules = make_rules()
        self.sweeps = []
        server = SimpleNamespace(
            active_channels={}, pull_trigger=self.note_sweep, add_task=lambda _: None
        )
        metrics = self.rules.metrics
        channel_class = make_channel_class(
            lambda: False,
            lambda: False,
            UnansweredRequests(metrics),
            self.rules,
            lambda: None,
        )
        ours, self.caller = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(ours.close)
        self.channel = channel_class(
            server, ours, ("127.0.0.1", 1), Adjustments(), map={}
        )

    def note_sweep(self):
        self.sweeps.append(time.monotonic() - self.channel.taken_at)

    def test_answer_on_a_connection_that_was_idle(self):
        self.channel.taken_at -= 100.0
        self.channel.write_soon(b"x" * ANSWER_BYTES)
        self.assertTrue(self.sweeps)
        self.assertLess(max(self.sweeps), 50.0)


if __name__ == "__main__":
    unittest.main()
