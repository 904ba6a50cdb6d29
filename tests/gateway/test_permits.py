"""Tests of permits between instances, with failures of instances and links."""

import json
import time
import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from fescueflow.core import (
    Outcome,
    Overloaded,
    SeededRandomSource,
    SystemClock,
)
from fescueflow.gateway import Gateway
from fescueflow.gateway.coordinators import UNANSWERED_PAUSE_MAX_S
from fescueflow.gateway.exchange import ExchangeFailed
from fescueflow.gateway.permit_codec import PERMIT_MARK, decode_permit
from fescueflow.gateway.permits import ANSWER_TIMEOUT_S, QUEUE_CHECK_S, Permit
from fescueflow.gateway.relay import decode_update
from fescueflow.routing import AttemptFailure, CallerDisconnected, PermitEnd, Prompt
from tests.gateway.builders import make_boot
from tests.gateway.gateway_case import GatewayTestCase
from tests.gateway.permit_fleet import ONE_WAY_S, SLOTS, PermitFleet
from tests.gateway.test_replacements import ReplacementCase
from tests.gateway.test_speeds import REFUSAL, SpeedCase
from tests.routing.builders import BOOKINGS, ENGINES
from tests.standins.fleet import find_free_port

# An unanswered request waits for the time-out and the usual delay, at most this long.
UNANSWERED_MAX_S = ANSWER_TIMEOUT_S + 0.05

# A prompt that takes some milliseconds to read.
LONG_PROMPT = Prompt("key", 20_000, 1_000, 400)


def read_kind(data):
    return json.loads(data[1:])["kind"]


class PermitCase(unittest.TestCase):
    def start(self, **changes):
        fleet = PermitFleet(**changes)
        self.addCleanup(fleet.time.end)
        return fleet

    def check_granted(self, result):
        self.assertTrue(result, "no answer yet")
        self.assertIsInstance(result[0], Permit)
        return result[0]

    def check_without(self, result):
        self.assertTrue(result, "no answer yet")
        self.assertIsNone(result[0])


class PermitPathTest(PermitCase):
    """Guards against requests beyond the slots, and slots that stay idle."""

    def test_granted_at_once(self):
        fleet = self.start()
        result = fleet.ask(fleet.list_others()[0])
        fleet.time.run(0.1)
        self.check_granted(result).end(PermitEnd.ANSWERED)
        self.assertLess(result[1], 3 * ONE_WAY_S)
        fleet.time.run(0.1)
        self.assertEqual(fleet.count_in_use(fleet.coordinator), 0)

    def test_queued_until_a_return(self):
        fleet = self.start()
        first, second = fleet.list_others()[:2]
        permits = fleet.fill(first)
        result = fleet.ask(second)
        fleet.time.run(0.3)
        self.assertFalse(result)
        permits[0].end(PermitEnd.ANSWERED)
        fleet.time.run(0.1)
        self.check_granted(result)
        self.assertLess(result[1], 0.32)
        self.assertEqual(fleet.count_in_use(fleet.coordinator), SLOTS + 1)

    def test_coordinator_sends_itself_nothing(self):
        fleet = self.start()
        result = fleet.ask(fleet.coordinator)
        fleet.time.run(0.01)
        self.check_granted(result).end(PermitEnd.ANSWERED)
        self.assertEqual(fleet.sent, [])
        self.assertEqual(fleet.count_in_use(fleet.coordinator), 0)

    def test_deadline_in_the_queue(self):
        fleet = self.start()
        first, second = fleet.list_others()[:2]
        fleet.fill(first)
        result = fleet.ask(second, deadline_s=0.6)
        fleet.time.run(0.7)
        self.assertIsInstance(result[0], Overloaded)
        self.assertEqual(result[0].outcome, Outcome.NOT_RUN)
        self.assertGreater(result[0].retry_after_ms, 0)
        self.assertLess(result[1], 0.55)

    def test_coordinator_refuses_what_is_hopeless(self):
        # The instance must not refuse by the duration that it measures itself.
        fleet = self.start()
        first, second = fleet.list_others()[:2]
        fleet.fill(first)
        fleet.ask(second, deadline_s=0.6)
        fleet.time.run(0.7)
        self.assertEqual(second.count("refused"), 1)
        self.assertEqual(second.count("given_up"), 0)

    def test_lost_refusal(self):
        fleet = self.start()
        first, second = fleet.list_others()[:2]
        fleet.fill(first)
        # No permit expires before this deadline.
        queued = [fleet.ask(first, deadline_s=0.7) for _ in range(4)]
        result = fleet.ask(second, deadline_s=0.7)
        fleet.deliver = lambda sender, receiver, data: (
            [] if b'"refused"' in data else [ONE_WAY_S]
        )
        fleet.time.run(0.7)
        self.assertIsInstance(result[0], Overloaded)
        self.assertGreater(result[1], 0.65)
        # Five turns of 0.05 s each, as the coordinator estimated.
        self.assertEqual(result[0].retry_after_ms, 250)
        self.assertEqual(len(queued), 4)

    def test_refused_at_once(self):
        fleet = self.start()
        first, second = fleet.list_others()[:2]
        fleet.fill(first)
        result = fleet.ask(second, deadline_s=0.05)
        fleet.time.run(0.02)
        self.assertIsInstance(result[0], Overloaded)
        self.assertLess(result[1], 3 * ONE_WAY_S)

    def test_caller_that_leaves_the_queue(self):
        fleet = self.start()
        first, second = fleet.list_others()[:2]
        fleet.fill(first)
        result = fleet.ask(second, is_caller_disconnected=lambda: True)
        fleet.time.run(QUEUE_CHECK_S + 0.1)
        self.assertIsInstance(result[0], CallerDisconnected)
        self.assertFalse(fleet.coordinator.client.desk.get_pool(BOOKINGS).has_waiting)

    def test_small_fleet(self):
        fleet = self.start(instances=12)
        result = fleet.ask(next(iter(fleet.instances.values())))
        fleet.time.run(0.01)
        self.check_without(result)
        self.assertEqual(fleet.sent, [])

    def test_more_slots_than_instances(self):
        fleet = self.start(upstreams=7)
        result = fleet.ask(next(iter(fleet.instances.values())))
        fleet.time.run(0.01)
        self.check_without(result)


class PermitFailureTest(PermitCase):
    """Guards against callers that pay for a coordinator or a datagram that is lost."""

    def check_fallback(self, fleet, instance):
        """Check that requests go on without permits, and ask again after a second."""
        result = fleet.ask(instance)
        fleet.time.run(0.2)
        self.check_without(result)
        self.assertLess(result[1], UNANSWERED_MAX_S)
        self.assertEqual(instance.count("unanswered"), 1)
        result = fleet.ask(instance)
        fleet.time.run(0.01)
        self.check_without(result)
        self.assertEqual(result[1], 0.0)

    def test_killed_coordinator(self):
        fleet = self.start()
        killed, instance = fleet.coordinator, fleet.list_others()[0]
        fleet.dead.add(killed.name)
        self.check_fallback(fleet, instance)
        # Instances notice the end after 1.5 s, and choose another coordinator.
        fleet.time.run(2.0)
        self.assertIsNot(fleet.coordinator, killed)
        result = fleet.ask(fleet.list_others()[0])
        fleet.time.run(0.1)
        self.check_granted(result)

    def test_coordinator_killed_while_requests_wait(self):
        fleet = self.start()
        first, second = fleet.list_others()[:2]
        fleet.fill(first)
        result = fleet.ask(second)
        fleet.time.run(0.05)
        fleet.dead.add(fleet.coordinator.name)
        fleet.time.run(2 * QUEUE_CHECK_S + 0.2)
        self.check_without(result)

    def test_naming_that_is_lost(self):
        # One lost datagram must not send all waiting requests at once.
        fleet = self.start()
        first, second = fleet.list_others()[:2]
        permits = fleet.fill(first)
        results = [fleet.ask(second) for _ in range(3)]
        fleet.time.run(0.05)
        lost = []

        def lose_one(sender, receiver, data):
            if lost or read_kind(data) != "ask":
                return [ONE_WAY_S]
            lost.append(data)
            return []

        fleet.deliver = lose_one
        fleet.time.run(2 * QUEUE_CHECK_S + 0.1)
        self.assertTrue(lost)
        self.assertEqual(results, [[], [], []])
        permits[0].end(PermitEnd.ANSWERED)
        fleet.time.run(0.01)
        self.check_granted(next(filter(None, results)))

    def test_waiting_requests_ignore_a_pause(self):
        fleet = self.start()
        first, second = fleet.list_others()[:2]
        permits = fleet.fill(first)
        result = fleet.ask(second)
        fleet.time.run(0.05)
        second.client.coordinators.pause(fleet.coordinator.name, fleet.time.now)
        fleet.time.run(2 * QUEUE_CHECK_S)
        self.assertFalse(result)
        permits[0].end(PermitEnd.ANSWERED)
        fleet.time.run(0.01)
        self.check_granted(result)

    def test_pauses_end_at_different_times(self):
        fleet = self.start()
        name, now, ends = fleet.coordinator.name, fleet.time.now, set()
        for instance in fleet.list_others():
            coordinators = instance.client.coordinators
            coordinators.pause(name, now)
            ends.add(coordinators._paused_until[name] - now)
        self.assertGreater(len(ends), 6)
        self.assertGreaterEqual(min(ends), 1.0)
        self.assertLessEqual(max(ends), UNANSWERED_PAUSE_MAX_S)

    def test_frozen_coordinator(self):
        fleet = self.start()
        frozen, instance = fleet.coordinator, fleet.list_others()[0]
        fleet.time.frozen.add(frozen.name)
        self.check_fallback(fleet, instance)
        fleet.time.frozen.clear()
        fleet.time.run(UNANSWERED_PAUSE_MAX_S)
        # What it granted late is given back, and it serves as before.
        self.assertEqual(fleet.count_in_use(frozen), 0)
        result = fleet.ask(instance)
        fleet.time.run(0.1)
        self.check_granted(result)

    def test_instance_that_is_cut_off(self):
        fleet = self.start()
        instance, other = fleet.list_others()[:2]
        fleet.cut.add(instance.name)
        self.check_fallback(fleet, instance)
        result = fleet.ask(other)
        fleet.time.run(0.1)
        self.check_granted(result)

    def test_asked_again_after_a_second(self):
        fleet = self.start()
        instance = fleet.list_others()[0]
        fleet.deliver = lambda *message: []
        self.check_fallback(fleet, instance)
        fleet.deliver = lambda *message: [ONE_WAY_S]
        fleet.time.run(UNANSWERED_PAUSE_MAX_S)
        result = fleet.ask(instance)
        fleet.time.run(0.1)
        self.check_granted(result)

    def test_lost_grant(self):
        fleet = self.start()
        instance = fleet.list_others()[0]
        fleet.deliver = lambda sender, receiver, data: (
            [] if read_kind(data) == "answer" else [ONE_WAY_S]
        )
        self.check_fallback(fleet, instance)
        self.assertEqual(fleet.count_in_use(fleet.instances[fleet.sent[0][1]]), 0)

    def test_lost_return(self):
        fleet = self.start()
        permits = fleet.fill(fleet.list_others()[0])
        fleet.deliver = lambda *message: []
        fleet.end_all(permits)
        fleet.deliver = lambda *message: [ONE_WAY_S]
        # Permits expire after a second.
        result = fleet.ask(fleet.list_others()[1])
        fleet.time.run(1.1)
        self.check_granted(result)

    def test_doubled_datagrams(self):
        fleet = self.start()
        instance = fleet.list_others()[0]
        fleet.deliver = lambda *message: [ONE_WAY_S, 5 * ONE_WAY_S]
        permits = fleet.fill(instance)
        fleet.time.run(0.1)
        self.assertEqual(fleet.count_in_use(fleet.coordinator), SLOTS + 1)
        fleet.end_all(permits)
        fleet.time.run(0.1)
        self.assertEqual(fleet.count_in_use(fleet.coordinator), 0)
        self.assertEqual(instance.count("unanswered"), 0)

    def test_late_grant_is_returned(self):
        fleet = self.start()
        instance = fleet.list_others()[0]
        fleet.deliver = lambda *message: [0.06]
        result = fleet.ask(instance)
        fleet.time.run(0.3)
        self.check_without(result)
        self.assertEqual(fleet.count_in_use(fleet.instances[fleet.sent[0][1]]), 0)

    def test_two_coordinators(self):
        fleet = self.start()
        first = fleet.coordinator
        permits = fleet.fill(fleet.list_others()[0])
        # One instance does not know the coordinator, until the report after next.
        fleet.time.run(0.1)
        other = fleet.list_others()[1]
        other.peers.drop_old(fleet.time.now + 100.0)
        for instance in fleet.instances.values():
            if instance not in (first, other):
                other.peers.merge(instance.peers.get_own_record())
        fleet.time.run(0.21)
        found = other.client.coordinators.find(BOOKINGS, fleet.time.now)
        self.assertNotEqual(found.instance, first.name)
        permits += fleet.fill(other)
        fleet.time.run(0.01)
        second = fleet.instances[found.instance]
        for coordinator in (first, second):
            self.assertLessEqual(fleet.count_in_use(coordinator), SLOTS + 1)
        fleet.end_all(permits)
        fleet.time.run(0.1)
        self.assertEqual([fleet.count_in_use(c) for c in (first, second)], [0, 0])

    def test_instance_that_has_just_started_does_not_coordinate(self):
        fleet = self.start()
        observer = fleet.list_others()[0]

        def find(incarnation, get_sequence):
            for instance in fleet.instances.values():
                record = replace(
                    instance.peers.get_own_record(),
                    incarnation=incarnation,
                    sequence=get_sequence(instance.name),
                )
                observer.peers.merge(record)
                if instance is observer:
                    observer.peers.set_own_record(record)
            # Until the choice before is not used any more.
            fleet.time.run(0.3)
            return observer.client.coordinators.find(BOOKINGS, fleet.time.now).instance

        first = fleet.coordinator.name
        found = find(2, lambda name: 8 if name == first else 100)
        self.assertNotEqual(found, first)
        # If all have just started, there is no better one.
        self.assertEqual(find(3, lambda name: 1), first)

    def test_new_coordinator_learns_what_runs(self):
        fleet = self.start()
        old, instance = fleet.coordinator, fleet.list_others()[-1]
        fleet.dead.add(old.name)
        fleet.time.run(1.6)
        if instance is fleet.coordinator:
            instance = fleet.list_others()[0]
        # As after a change: its permits are those of the coordinator before.
        permits = fleet.fill(instance)
        coordinator = fleet.coordinator
        coordinator.client.desk.forget(BOOKINGS)
        result = fleet.ask(instance)
        fleet.time.run(0.1)
        self.assertFalse(result, "it was granted a slot in use")
        fleet.end_all(permits)
        fleet.time.run(0.1)
        self.check_granted(result)


class PermitMessageTest(unittest.TestCase):
    """Guards against datagrams that other versions or strangers send."""

    def test_earlier_versions_refuse_the_datagrams(self):
        with self.assertRaises(ValueError):
            decode_update(PERMIT_MARK + b'{"kind":"ask"}')

    @settings(deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from(
                "kind permit from service priority left_s objective_s returning avoid"
                " uses to decision upstream retry_after_s queue end duration_s".split()
            ),
            st.one_of(
                st.sampled_from(["ask", "answer", "return", "granted", "full"]),
                st.integers(),
                st.floats(),
                st.sampled_from(["", "a", "\x00", "\ud800", "x" * 300]),
                st.none(),
                st.sampled_from([[], ["a"], [[]], [["a", "b", 1]], [["a", "b", "c"]]]),
            ),
        )
    )
    def test_malformed_datagrams(self, document):
        data = PERMIT_MARK + json.dumps(document).encode()
        try:
            decode_permit(data, 0.0)
        except ValueError:
            return
        self.assertIn(document["kind"], ("ask", "answer", "return"))

    def test_truncated_datagrams(self):
        for data in (b"P", b"P[", b"P[1]", b"P1", b"P" + b"[" * 9000, b"P\xff"):
            with self.assertRaises(ValueError):
                decode_permit(data, 0.0)


class PermitReturnTest(GatewayTestCase):
    """Guards against permits that an attempt keeps, however it ends."""

    def setUp(self):
        super().setUp()
        patch = mock.patch(
            "fescueflow.gateway.coordinators.is_coordinated", lambda *_: True
        )
        patch.start()
        self.addCleanup(patch.stop)
        # The instance has found out that it needs no coordinator before.
        self.wait_for(lambda: self.call("/safe/1") and self.pool is not None)

    @property
    def pool(self):
        return self.gateway._permits.desk.get_pool("engines")

    def check_returned(self):
        names = [upstream.name for upstream in self.upstreams]
        self.wait_for(lambda: not any(map(self.pool.count_in_use, names)))

    def test_all_ends(self):
        def refuse(handler):
            handler.send_sealed(503, headers=[("X-Not-Executed", "1")])

        for scripts in (
            [lambda handler: handler.send_sealed()] * 2,
            [lambda handler: handler.send_sealed(500)] * 2,
            [lambda handler: handler.connection.close()] * 2,
            [refuse] * 2,
        ):
            self.set_script(*scripts)
            for target in ("/safe/1", "/once/1", "/stream/1"):
                self.call(target)
                self.check_returned()

    def list_ends(self, target):
        """Return how permits of a request end."""
        ends = []
        end = Permit.end
        with mock.patch.object(
            Permit, "end", lambda permit, how: (ends.append(how), end(permit, how))
        ):
            self.call(target)
            self.wait_for(lambda: ends)
        return ends

    def test_server_errors_are_no_successes(self):
        for status, end in ((200, PermitEnd.ANSWERED), (500, PermitEnd.UNUSED)):
            self.set_script(*[lambda h, s=status: h.send_sealed(s)] * 2)
            self.assertEqual(self.list_ends("/once/1"), [end])

    def test_upstreams_that_are_not_handed_out(self):
        list_available = self.gateway._selector.list_available
        for header, until in (("Server-Limit", "5"), ("Server-Leaving", "1")):
            named = []

            def name_one(handler, header=header, until=until, named=named):
                if not named:
                    named.append(handler.upstream_name)
                is_named = handler.upstream_name == named[0]
                handler.send_sealed(headers=[(header, until)] if is_named else [])

            self.set_script(name_one, name_one)
            self.wait_for(
                lambda: self.call("/safe/1") and len(list_available("engines")) == 1
            )
            if header == "Server-Limit":
                # Its end is heard only if requests go on to the upstream.
                self.set_script(*[lambda handler: handler.send_sealed()] * 2)
                self.wait_for(
                    lambda: self.call("/safe/1") and len(list_available("engines")) == 2
                )
        self.check_returned()

    def test_upstream_that_refuses_connections(self):
        # Kept connections end with the next requests.
        self.set_script(*[lambda handler: handler.connection.close()] * 2)
        for upstream in self.upstreams:
            upstream.close()
        self.wait_for(lambda: self.call("/once/1")[0] == 503)
        self.check_returned()


class ReplacementPermitTest(ReplacementCase):
    """Guards against replacements of silent attempts that wait in the queue."""

    def test_replacement_without_a_permit(self):
        client = self.gateway._permits
        asked = []

        def acquire(need):
            asked.append(need)
            if len(asked) > 1:
                raise Overloaded("queued in vain", retry_after_ms=1)

        self.answer_in_turn(self.stay_silent, self.answer_slowly)
        coordinator = self.gateway._peers.get_own_record()
        with (
            mock.patch.object(client, "acquire", acquire),
            mock.patch.object(client.coordinators, "find", lambda *_: coordinator),
        ):
            self.assertEqual(self.call("/safe/1")[0], 200)
        self.assertEqual(len(asked), 1)


class AttemptEndTest(SpeedCase):
    """Guards against silences that count as crashes at the coordinator."""

    def test_silence(self):
        for kind, end in (
            (AttemptFailure.TIMED_OUT, PermitEnd.SILENT),
            (AttemptFailure.BROKEN, PermitEnd.FAILED),
            (AttemptFailure.REFUSED, PermitEnd.FULL),
        ):
            attempt = self.open_attempt(200, None)
            permit = mock.Mock()
            attempt.selection = replace(attempt.selection, permit=permit)
            attempt.fail(ExchangeFailed(kind, "test"))
            permit.end.assert_called_once_with(end)


class PermittedUpstreamTest(SpeedCase):
    """Guards against a permitted upstream that is left out by an old report."""

    def select(self, remaining_s, permitted):
        return self.instance.selector.select(
            ENGINES, LONG_PROMPT, set(), remaining_s, permitted=permitted
        ).upstream.id

    def test_report_of_a_long_queue(self):
        attempt = self.open_attempt(503, "16,400,16", REFUSAL)
        with self.assertRaises(ExchangeFailed):
            attempt.read_head(0.0, "a1")
        attempt.selection.active_request.end()
        upstream = attempt.selection.upstream.id
        self.assertNotEqual(self.select(1.0, None), upstream)
        self.assertEqual(self.select(1.0, upstream), upstream)

    def test_no_upstream_in_time(self):
        with self.assertRaises(Overloaded):
            self.select(0.01, None)
        self.assertEqual(self.select(0.01, "u1"), "u1")


class TwoGatewaysTest(GatewayTestCase):
    """Guards against messages that the processes do not pass on to each other."""

    def test_permits_over_datagrams(self):
        names = ("callers", "ready", "directory")
        ports = {name: find_free_port("127.0.0.2") for name in names}
        boot = make_boot(
            name="edge-b-1",
            ip="127.0.0.2",
            store=self.store.port,
            peer_port=self.ports["peer_port"],
            seeds=json.dumps([f"127.0.0.1:{self.ports['peer_port']}"]),
            grace_s=self.grace_s,
            **ports,
        )
        other = Gateway(boot, SystemClock(), SeededRandomSource(2))
        # The coordinator must not change while the test runs.
        patch = mock.patch("fescueflow.gateway.coordinators.SERVED_MIN_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        with mock.patch(
            "fescueflow.gateway.coordinators.is_coordinated", lambda *_: True
        ):
            other.start()
            self.addCleanup(other.leave)
            both = (self.gateway, other)

            def find_all():
                now = time.monotonic()
                return [g._permits.coordinators.find("engines", now) for g in both]

            self.wait_for(lambda: all(find_all()))
            self.wait_for(lambda: len({r.instance for r in find_all()}) == 1)
            coordinator = find_all()[0].instance
            asking = other if coordinator == "edge-a-1" else self.gateway
            granting = self.gateway if asking is other else other
            host, _, port = asking._boot.callers_address.rpartition(":")
            self.host, self.ports["callers"] = host, int(port)
            self.wait_for(
                lambda: (
                    self.call("/once/1")[0] == 200
                    and asking._metrics.get_count("permits", end="granted") > 5
                )
            )
            pool = granting._permits.desk.get_pool("engines")
            self.wait_for(lambda: not any(map(pool.count_in_use, ("u1", "u2"))))
            self.assertIsNone(asking._permits.desk.get_pool("engines"))


if __name__ == "__main__":
    unittest.main()
