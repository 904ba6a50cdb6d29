"""Tests of an instance that can't accept connections."""

import errno
import time
from unittest import mock

from tests.gateway.gateway_case import GatewayTestCase
from tests.gateway.raw_callers import connect, list_statuses, render_request

OBSERVED_S = 0.5
# Ten times as many as the pause allows.
TRIES_PER_S_MAX = 100


class AcceptTest(GatewayTestCase):
    """Guards against callers that wait because of one failed accept."""

    def setUp(self):
        super().setUp()
        (self.listener,) = self.gateway._caller_server._listeners

    def fail_accept(self, failures):
        """Let the listener's accept fail as often; return the failed calls."""
        real, calls = type(self.listener).accept, []

        def accept(listener):
            if listener is self.listener and len(calls) < failures:
                calls.append(time.monotonic())
                raise OSError(errno.EMFILE, "Too many open files")
            return real(listener)

        patch = mock.patch.object(type(self.listener), "accept", accept)
        patch.start()
        self.addCleanup(patch.stop)
        return calls

    def test_descriptors_run_out(self):
        calls = self.fail_accept(3)
        caller = connect(self.ports["callers"])
        self.addCleanup(caller.close)
        caller.sendall(render_request("/safe/1"))
        self.assertEqual(list_statuses(caller.recv(10_000)), [200])
        self.assertEqual(len(calls), 3)

    def test_descriptors_that_stay_away(self):
        """Without a pause, the loop tries thousands of times a second."""
        calls = self.fail_accept(100_000)
        caller = connect(self.ports["callers"])
        self.addCleanup(caller.close)
        self.wait_for(lambda: calls)
        self.wait_for(lambda: time.monotonic() > calls[0] + OBSERVED_S)
        self.assertLessEqual(len(calls), TRIES_PER_S_MAX * OBSERVED_S)

    def test_connection_that_can_not_be_set_up(self):
        real, failed = self.listener.channel_class, []

        def fail(*args, **options):
            self.listener.channel_class = real
            failed.append(args)
            raise ValueError("unforeseen")

        self.listener.channel_class = fail
        caller = connect(self.ports["callers"])
        self.addCleanup(caller.close)
        self.wait_for(lambda: failed)
        self.assertEqual(self.call("/safe/1")[0], 200)


class LoopTest(GatewayTestCase):
    """Guards against threads that end by one error, while the instance runs on."""

    def fail_once(self, owner, name):
        """Let a function raise an error at its next call; return a list of failures."""
        real, failures = getattr(owner, name), []

        def fail(*args):
            if failures:
                return real(*args)
            failures.append(args)
            raise ValueError("unforeseen")

        setattr(owner, name, fail)
        return failures

    def test_error_in_the_loop_of_the_server(self):
        (listener,) = self.gateway._caller_server._listeners
        failures = self.fail_once(listener, "readable")
        listener.pull_trigger()
        self.wait_for(lambda: failures)
        self.assertEqual(self.call("/safe/1")[0], 200)

    def test_error_in_the_upkeep(self):
        failures = self.fail_once(self.gateway._peers, "drop_old")
        self.wait_for(lambda: failures)
        reloads = []
        self.gateway._load = lambda: reloads.append(1) or self.gateway._boot
        self.gateway.request_reload()
        self.wait_for(lambda: reloads)

    def test_error_in_the_reports(self):
        transport = self.gateway._transport
        failures = self.fail_once(transport, "_make_report")
        self.wait_for(lambda: failures)
        reports = []
        transport._make_report = lambda: reports.append(1) or b""
        self.wait_for(lambda: reports)
