"""Tests of the quarantine of one instance: reports, trials and bounds."""

import itertools
import unittest
from unittest import mock

from fescueflow.core import InstanceId
from fescueflow.gateway.attempts import AttemptClient
from fescueflow.gateway.peers import DATAGRAM_BYTES_MAX, PeerTable
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.quarantine import PromptQuarantine
from fescueflow.gateway.quarantine_codec import ProgressUpdate, QuarantineReport
from fescueflow.gateway.report_codec import PeerReport, decode_report, encode_report
from fescueflow.metrics import Metrics
from fescueflow.routing import Prompt, Verdict
from fescueflow.routing.quarantine import QUARANTINE_S, TRIAL_DELAYS_S
from tests.fakes import FakeClock
from tests.gateway.builders import make_peer
from tests.routing.builders import ENGINES, make_parts, make_upstream
from tests.routing.test_quarantine import make_update

FATAL = Prompt(shared_parts=("first", "fatal"))
SOUND = Prompt(shared_parts=("first", "other"))
SENDER = InstanceId("edge-9")


class QuarantineTestCase(unittest.TestCase):
    """Several instances with one clock and the same listed upstreams."""

    def setUp(self):
        self.clock = FakeClock()
        self.upstreams = [make_upstream(f"u{n}", started_at_ms=1) for n in range(6)]
        names = [f"edge-{n}" for n in range(4)]
        self.instances = [self.make_instance(name, names) for name in names]

    def make_instance(self, name, names):
        state = PlatformState()
        state.replace_upstreams(self.upstreams, self.clock.monotonic())
        peers = PeerTable(make_peer(name, last_seen_at=self.clock.monotonic()))
        for other in names:
            peers.merge(make_peer(other, last_seen_at=self.clock.monotonic() + 1e6))
        return PromptQuarantine(
            peers=peers,
            platform_state=state,
            clock=self.clock,
            metrics=Metrics(),
            on_change=lambda: None,
        )

    def crash(self, instances, count=3, parts="fatal"):
        for number in range(count):
            self.clock.advance(0.5)
            update = make_update(number, 0.0, parts)
            for instance in instances:
                instance.merge(QuarantineReport((update,)), SENDER)

    def check_all(self, prompt):
        return [instance.check(ENGINES, prompt) for instance in self.instances]


class TrialTest(QuarantineTestCase):
    """Guards against a trial by each instance, and a quarantine that never ends."""

    def test_trials_of_the_whole_fleet_and_the_rest_of_the_day(self):
        self.crash(self.instances)
        late = self.make_instance("edge-1", ["edge-0", "edge-2", "edge-3"])
        self.crash([late], count=0)
        late.merge(self.instances[0].make_report(True), SENDER)
        self.instances.append(late)
        trials = 0
        for _ in range(40):
            self.assertIn(Verdict.REJECT, self.check_all(FATAL))
            self.clock.advance(60.0)
            trials += self.check_all(FATAL).count(Verdict.TRY)
        self.assertEqual(trials, len(TRIAL_DELAYS_S))

    def test_answered_trial_ends_the_quarantine_everywhere(self):
        self.crash(self.instances)
        self.clock.advance(TRIAL_DELAYS_S[0])
        self.assertEqual(self.check_all(FATAL).count(Verdict.TRY), 1)
        self.instances[2].record_progress(ENGINES, FATAL.shared_parts)
        report = self.instances[2].make_report(False)
        for instance in self.instances:
            instance.merge(report, SENDER)
        self.assertEqual(self.check_all(FATAL), [Verdict.ADMIT] * 4)

    def test_callers_return_when_something_can_have_changed(self):
        self.crash(self.instances)
        self.clock.advance(10.0)
        for instance in self.instances:
            delay_s = instance.get_retry_after_s(ENGINES, FATAL)
            self.assertAlmostEqual(delay_s, TRIAL_DELAYS_S[0] - 10.0)
        self.clock.advance(60.0)
        for instance in self.instances:
            delay_s = instance.get_retry_after_s(ENGINES, FATAL)
            self.assertAlmostEqual(delay_s, TRIAL_DELAYS_S[1] - 70.0)

    def test_quarantine_ends_after_a_day(self):
        self.crash(self.instances)
        self.clock.advance(QUARANTINE_S)
        self.assertEqual(self.check_all(FATAL), [Verdict.ISOLATE] * 4)
        self.instances[0].check_waiting(ENGINES, FATAL)


class ReportTest(QuarantineTestCase):
    """Guards against requests that are rejected for what a false report says."""

    def test_crash_of_an_upstream_that_answers(self):
        self.crash(self.instances[:1])
        self.assertEqual(self.check_all(FATAL)[0], Verdict.REJECT)
        self.clock.advance(0.1)
        for upstream in self.upstreams:
            self.instances[0].record_answer(upstream, self.clock.monotonic())
        self.assertEqual(self.check_all(FATAL)[0], Verdict.ADMIT)
        self.crash(self.instances[:1])
        self.assertEqual(self.check_all(FATAL)[0], Verdict.ADMIT)

    def test_unknown_upstreams_need_two_senders(self):
        """An instance that starts after the crashes still learns of them."""
        self.upstreams = []
        joined = self.make_instance("edge-5", ["edge-0"])
        self.crash([joined])
        self.assertIs(joined.check(ENGINES, FATAL), Verdict.ADMIT)
        report = self.instances[0]
        self.crash([report], count=3)
        joined.merge(report.make_report(True), InstanceId("edge-0"))
        self.assertIs(joined.check(ENGINES, FATAL), Verdict.REJECT)

    def test_popular_part_in_a_forged_report(self):
        self.crash(self.instances, parts="first")
        self.assertEqual(self.check_all(SOUND), [Verdict.REJECT] * 4)
        # A stream that began before goes on.
        self.instances[1].record_progress(ENGINES, SOUND.shared_parts)
        self.assertIs(self.instances[1].check(ENGINES, SOUND), Verdict.ADMIT)

    def test_report_is_read_as_it_was_sent(self):
        sent = QuarantineReport(
            (make_update(1, 0.25, "a b"),), (ProgressUpdate(ENGINES, "c", 0.5),)
        )
        report = PeerReport([make_peer()], quarantine=sent)
        self.assertEqual(decode_report(encode_report(report, 0.0), 0.0), report)

    def test_nothing_is_kept_or_sent_without_a_crash(self):
        quarantine = self.instances[0]
        for number in range(1000):
            quarantine.record_progress(ENGINES, (f"p{number}",))
            quarantine.record_answer(self.upstreams[0], 0.0)
        self.assertEqual(quarantine.make_report(True), QuarantineReport())
        self.assertFalse(quarantine._progress or quarantine._suspects)


class UnnoticedCrashTest(QuarantineTestCase):
    """Guards against crashes that no request of an instance waits for."""

    def abandon(self, number, delay_s):
        """Give up a request; its upstream crashes later, which a connection shows."""
        self.clock.advance(0.5)
        quarantine, upstream = self.instances[0], self.upstreams[number]
        sent_at = self.clock.monotonic() - 0.1
        quarantine.record_abandoned(upstream, FATAL.shared_parts, sent_at)
        self.clock.advance(delay_s)
        quarantine.record_refusal(upstream)

    def test_requests_that_were_given_up_before_the_crash(self):
        """The caller left, or the answer was late or malformed."""
        for number in range(3):
            self.abandon(number, 0.1)
        self.assertIs(self.instances[0].check(ENGINES, FATAL), Verdict.REJECT)

    def test_upstream_that_lives_proves_nothing_of_requests_that_were_given_up(self):
        quarantine = self.instances[0]
        for number in range(2):
            self.abandon(number, 0.1)
        sent_at = self.clock.monotonic()
        quarantine.record_abandoned(self.upstreams[4], FATAL.shared_parts, sent_at)
        self.clock.advance(1.0)
        quarantine.record_alive(self.upstreams[4])
        self.abandon(2, 0.1)
        self.assertIs(quarantine.check(ENGINES, FATAL), Verdict.REJECT)

    def test_crash_that_another_instance_reports(self):
        """The answers that this instance has just got from the upstream count."""
        for number in range(3):
            self.clock.advance(0.5)
            sent_at = self.clock.monotonic() - 0.1
            for instance in self.instances[:2]:
                instance.record_begun(self.upstreams[number], ("first",), sent_at)
            beginner = self.instances[2]
            beginner.record_begun(self.upstreams[number], FATAL.shared_parts, sent_at)
            self.instances[3].record_crash(self.upstreams[number], (), sent_at)
            report = self.instances[3].make_report(False)
            for instance in self.instances[:3]:
                instance.merge(report, SENDER)
            report = beginner.make_report(False)
            for instance in (*self.instances[:2], self.instances[3]):
                instance.merge(report, SENDER)
        self.assertEqual(self.check_all(FATAL), [Verdict.REJECT] * 4)


class SilentUpstreamTest(QuarantineTestCase):
    """Guards against requests that wait while dark upstreams are asked."""

    def test_one_attempt_to_connect_for_each_upstream(self):
        quarantine, opened = self.instances[0], []

        def open_none(address, timeout_s):
            opened.append(address)
            raise TimeoutError

        pool = mock.Mock(has_open=lambda address: False, open=open_none)
        client = AttemptClient(
            pool=pool,
            selector=mock.Mock(),
            loads=None,
            clock=self.clock,
            metrics=Metrics(),
            quarantine=quarantine,
        )
        for upstream in self.upstreams:
            quarantine.record_begun(upstream, ("first",), self.clock.monotonic())
        for number in range(1, 20):
            self.clock.advance(0.1)
            client.check_survivors()
            self.assertEqual(len(opened), min(number, len(self.upstreams)))


class RelayedProgressTest(QuarantineTestCase):
    """Guards against progress that seems later with each relay."""

    def test_progress_before_the_crashes(self):
        """It goes to and fro between busy instances while upstreams crash."""
        first, second = self.instances[:2]
        for instance in (first, second):
            instance.record_crash(self.upstreams[5], FATAL.shared_parts, 0.0)
        self.clock.advance(0.1)
        first.record_progress(ENGINES, FATAL.shared_parts)
        for number in range(5):
            for _ in range(4):
                for sender, receiver in ((first, second), (second, first)):
                    report = sender.make_report(False)
                    self.clock.advance(0.05)
                    receiver.merge(report, SENDER)
            self.clock.advance(0.1)
            sent_at = self.clock.monotonic() - 0.05
            for instance in (first, second):
                parts = FATAL.shared_parts
                instance.record_crash(self.upstreams[number], parts, sent_at)
        self.clock.advance(0.2)
        for instance in (first, second):
            instance.make_report(False)
            self.assertIs(instance.check(ENGINES, FATAL), Verdict.REJECT)


class ManyPartsTest(QuarantineTestCase):
    """Guards against lists that are cut in the same place crash after crash.

    A prompt has as many parts as its header can hold.
    """

    def report(self, sender, is_full=False):
        """Send a report of one instance to all others, as a datagram."""
        report = PeerReport([make_peer()], quarantine=sender.make_report(is_full))
        data = encode_report(report, 0.0)
        self.assertLess(len(data), DATAGRAM_BYTES_MAX)
        for instance in self.instances:
            if instance is not sender:
                received = decode_report(data, 0.0)
                instance.merge(received.quarantine, InstanceId("edge-8"))

    def crash_under(self, prompts):
        """Let one upstream after the other crash, seen by different instances."""
        for number, parts in enumerate(prompts):
            self.clock.advance(0.5)
            seen_by = self.instances[number % len(self.instances)]
            sent_at = self.clock.monotonic() - 0.1
            upstream = make_upstream(f"u{number}", started_at_ms=1)
            for instance in self.instances:
                instance._platform_state.put_upstream(upstream)
            seen_by.record_crash(upstream, parts, sent_at)
            # For as long as a change is relayed.
            for _ in range(3):
                self.report(seen_by)

    def test_faulty_part_among_many(self):
        for count, place in itertools.product((20, 64, 65, 120, 500, 1400), (0, 0.9)):
            for faulty in ("00000001", "fffffff0"):
                with self.subTest(count=count, place=place, faulty=faulty):
                    self.setUp()
                    chats = [list(make_parts(f"chat{n}", count)) for n in range(5)]
                    for chat in chats:
                        chat.insert(round(place * count), faulty)
                    self.crash_under(chats)
                    checked = Prompt(shared_parts=tuple(chats[4]))
                    self.assertEqual(self.check_all(checked), [Verdict.REJECT] * 4)
                    sound = Prompt(shared_parts=make_parts("chat4", count))
                    self.assertNotIn(Verdict.REJECT, self.check_all(sound))

    def test_two_faulty_parts_among_many(self):
        chats = [make_parts(f"chat{n}", 300) for n in range(10)]
        faulty = [("aaaaaaaa",), ("ffffffff",)]
        self.crash_under([*chat, *faulty[n % 2]] for n, chat in enumerate(chats))
        for parts in faulty:
            checked = Prompt(shared_parts=(*chats[0], *parts))
            self.assertEqual(self.check_all(checked), [Verdict.REJECT] * 4)

    def test_other_answers_do_not_bring_back_old_crashes(self):
        """The first part of all prompts, cleared, is quarantined with many others."""
        quarantine = self.instances[0]
        chats = [("first", *make_parts(f"chat{n}", 300)) for n in range(5)]
        for number, chat in enumerate(chats):
            self.clock.advance(0.5)
            sent_at = self.clock.monotonic() - 0.1
            upstream = make_upstream(f"u{number}", started_at_ms=1)
            quarantine.record_crash(upstream, chat, sent_at)
            self.clock.advance(0.1)
            quarantine.record_progress(ENGINES, chat)
        for number in range(len(chats), len(chats) + 20):
            self.clock.advance(0.5)
            others = make_parts(f"other{number}", 300)
            upstream = make_upstream(f"u{number}", started_at_ms=1)
            quarantine.record_crash(upstream, others, self.clock.monotonic())
            quarantine.record_progress(ENGINES, others)
        for chat in chats:
            self.assertIs(
                quarantine.check(ENGINES, Prompt(shared_parts=chat)), Verdict.ADMIT
            )

    def test_parts_that_exceed_one_report(self):
        """All are heard of in turn, and so is the progress that clears them."""
        sender = self.instances[0]
        prompts = [make_parts(f"long{n}", 1400) for n in range(6)]
        for number, parts in enumerate(prompts):
            sent_at = self.clock.monotonic()
            sender.record_crash(self.upstreams[number], parts, sent_at)
        for _ in range(6):
            self.report(sender, is_full=True)
        for parts in prompts:
            verdicts = self.check_all(Prompt(shared_parts=parts[:1]))
            self.assertEqual(verdicts, [Verdict.ISOLATE] * 4)
        for parts in prompts:
            sender.record_progress(ENGINES, parts)
        for _ in range(6):
            self.report(sender, is_full=True)
        for parts in prompts:
            verdicts = self.check_all(Prompt(shared_parts=parts))
            self.assertEqual(verdicts, [Verdict.ADMIT] * 4)


if __name__ == "__main__":
    unittest.main()
