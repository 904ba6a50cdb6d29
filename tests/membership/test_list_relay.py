"""Relayed list readings.

Guards against platform calls that grow with the zone, lists that become unreadable
when readers fail, and readings that look newer than they are.
"""

import random
import unittest
from unittest import mock

from fescueflow.platform import parse_list, render_list
from fescueflow.schema import ListFetch, ListNotice
from tests.builders import build_member
from tests.membership.relay_zone import INTERVAL_S, STEP_S, Zone, ZoneNode

NOTICE_BYTES_MAX = 100
READABLE_S = 3 * INTERVAL_S


class ZoneCase(unittest.TestCase):
    def make_zone(self, **options):
        zone = Zone(**options)
        zone.run(5)
        self.assertEqual(len(zone.find_readers()), 2)
        return zone

    def check_readable(self, nodes):
        for node in nodes:
            self.assertTrue(node.lists.is_readable(), f"{node.name} {node.get_age()}")


class TestPlatformCalls(ZoneCase):
    def test_only_the_readers_of_a_large_zone_call_the_platform(self):
        zone = self.make_zone()
        readers = {node.name for node in zone.find_readers()}
        calls = zone.count_calls(20)
        self.assertEqual({name for name, count in calls.items() if count}, readers)
        self.assertLessEqual(sum(calls.values()), 50)
        frames = len(zone.hub.frames)
        zone.run(20, lambda: self.check_readable(zone.nodes.values()))
        self.assertEqual(len(zone.hub.frames), frames, "fetched an unchanged list")
        sizes = [zone.hub.sizes[node.address] for node in zone.find_readers()]
        for count, total in sizes:
            self.assertLess(total / count, NOTICE_BYTES_MAX)

    def test_instances_of_a_small_zone_read_by_themselves(self):
        zone = Zone(count=8)
        calls = zone.count_calls(20)
        self.assertGreater(min(calls.values()), 15)
        self.assertEqual(zone.hub.sent, [])

    def test_changed_list_is_fetched_and_known_everywhere_within_two_intervals(self):
        zone = self.make_zone()
        zone.version = 1
        zone.run(2 * INTERVAL_S)
        for node in zone.nodes.values():
            self.assertIsNotNone(node.lists.get_upstream("u1"), node.name)
            self.assertIsNone(node.lists.get_upstream("u0"), node.name)

    def test_reader_change_causes_no_readings_by_others(self):
        """The clock offsets of new readers are unknown, and exchanges may fail."""
        zone = self.make_zone()
        before = {node.name for node in zone.find_readers()}
        # The minute changes 40 s later.
        zone.set_wall(1.7e9 + 45)
        zone.hub.faults += ["refused"] * 8
        readers = {node.name for node in zone.find_readers()}
        self.assertGreater(len(readers), len(before))
        calls = zone.count_calls(8)
        self.assertEqual({name for name, count in calls.items() if count}, readers)
        zone.set_wall(1.7e9 + 60)
        after = {node.name for node in zone.find_readers()}
        self.assertEqual((len(after), after & before), (2, set()))
        calls = zone.count_calls(20)
        self.assertEqual({name for name, count in calls.items() if count}, after)

    def test_lost_notices_leave_the_list_readable(self):
        zone = self.make_zone(loss=0.3)
        zone.run(60, lambda: self.check_readable(zone.nodes.values()))

    def test_rendered_list_is_the_same_for_every_order(self):
        """Otherwise each reading of a list in another order would cause fetches."""
        zone = Zone()
        snapshot = zone.nodes["i0"].client.read()
        body = render_list(snapshot)
        read = parse_list(body[:], 0.0)
        self.assertEqual(set(read.instances), set(snapshot.instances))
        self.assertEqual(read.upstreams, snapshot.upstreams)
        reordered = type(snapshot)(snapshot.instances[::-1], snapshot.upstreams, 1.0)
        self.assertEqual(render_list(reordered), body)


class TestFailures(ZoneCase):
    def test_killed_reader_causes_no_readings_by_followers(self):
        zone = self.make_zone()
        zone.kill(zone.find_readers()[0], is_detected=False)
        followers = zone.find_followers()
        calls = sum(node.client.calls for node in followers)
        zone.run(10, lambda: self.check_readable(zone.nodes.values()))
        self.assertEqual(sum(node.client.calls for node in followers), calls)

    def test_without_readers_all_read_until_new_readers_send_notices(self):
        zone = self.make_zone(count=12)
        readers = zone.find_readers()
        for node in readers:
            zone.kill(node, is_detected=False)
        followers = list(zone.nodes.values())
        zone.run(10, lambda: self.check_readable(followers))
        calls = zone.count_calls(10)
        self.assertGreater(min(calls.values()), 7, "followers stopped reading")
        for node in readers:
            del zone.members[node.name]
        zone.run(4, lambda: self.check_readable(followers))
        calls = zone.count_calls(10)
        self.assertEqual(sum(1 for count in calls.values() if count), 2)

    def test_cut_off_reader_sends_no_notices_and_uses_the_other(self):
        zone = self.make_zone()
        cut, other = zone.find_readers()
        cut.client.is_cut_off = True
        zone.hub.sent.clear()
        zone.run(20, lambda: self.check_readable(zone.nodes.values()))
        self.assertEqual({sent[0] for sent in zone.get_sent_notices()}, {other.address})
        other.client.is_cut_off = True
        zone.hub.sent.clear()
        zone.run(20, lambda: self.check_readable(zone.find_followers()))
        self.assertEqual(zone.get_sent_notices(), [])
        self.assertFalse(cut.lists.is_readable() or other.lists.is_readable())

    def test_list_that_is_down_for_all_becomes_unreadable(self):
        zone = self.make_zone()
        for node in zone.nodes.values():
            node.client.is_cut_off = True
        zone.run(READABLE_S + 2 * STEP_S)
        for node in zone.nodes.values():
            self.assertFalse(node.lists.is_readable(), node.name)

    def test_refused_fetches_lead_to_own_readings(self):
        """A link that passes only datagrams must not keep an old list in use."""
        zone = self.make_zone()
        follower = zone.find_followers()[0]
        zone.version = 1
        error = mock.Mock(side_effect=AssertionError)
        with mock.patch.object(follower.relay, "_fetch", return_value=False):
            with mock.patch.object(follower.relay, "_handle_fetch", error):
                zone.run(READABLE_S)
        self.assertIsNotNone(follower.lists.get_upstream("u1"))


class TestReadingTimes(ZoneCase):
    def test_reading_from_before_a_pause_is_not_relayed(self):
        zone = self.make_zone()
        reader = zone.find_readers()[0]
        reader.client.delay_s = 10.0
        zone.hub.sent.clear()
        reader.lists.refresh()
        self.assertEqual(zone.get_sent_notices(), [])
        count = reader.metrics.get_count("list_notices_withheld")
        self.assertEqual(count, 1)

    def test_short_freeze_before_sending_counts_towards_the_age(self):
        """Too short a freeze for a pause: the notice is sent, with its true time."""
        zone = self.make_zone()
        reader, other = zone.find_readers()
        zone.kill(other, is_detected=False)
        reader.client.delay_s = 1.9
        asked_at = zone.clock.now
        reader.lists.refresh()
        zone.hub.deliver()
        for node in zone.find_followers():
            node.relay.step()
            self.assertLessEqual(node.lists.get_snapshot().read_at, asked_at)

    def test_delayed_notices_do_not_make_the_list_look_fresh(self):
        zone = self.make_zone()
        follower = zone.find_followers()[0]
        follower.client.is_cut_off = True
        zone.pause(follower)
        zone.run(2)
        for reader in zone.find_readers():
            zone.kill(reader, is_detected=False)
        stopped_at = zone.clock.now
        zone.run(8)
        zone.pause(follower, False)
        zone.hub.deliver()
        self.assertGreater(len(follower.relay._pending), 0)
        follower.relay.step()
        self.assertFalse(follower.lists.is_readable())
        self.assertLessEqual(follower.lists.get_snapshot().read_at, stopped_at)

    def test_delayed_notice_of_an_unknown_reader_is_dated_as_old(self):
        """A first exchange after a delay must not make the earlier notice look new."""
        zone = self.make_zone()
        reader = zone.find_readers()[0]
        follower = zone.find_followers()[0]
        follower.relay._reader_states.clear()
        read_at = reader.relay._own_reading[0]
        notice = ListNotice(int(read_at * 1e6), reader.relay._own_reading[1].digest)
        zone.clock.now += 30
        follower.endpoint.receive(reader.endpoint.sender, notice)
        follower.relay.step()
        self.assertLessEqual(follower.lists.get_snapshot().read_at, read_at + 1e-5)
        self.assertFalse(follower.lists.is_readable())

    def test_slow_exchange_makes_readings_older_never_newer(self):
        zone = self.make_zone()
        reader, follower = zone.find_readers()[0], zone.find_followers()[0]
        follower.relay._reader_states.clear()
        true_at = reader.relay._own_reading[0]
        exchange = follower.endpoint.exchange

        for before_s, after_s in ((0.0, 5.0), (5.0, 0.0)):

            def delayed_exchange(*arguments, before_s=before_s, after_s=after_s):
                zone.clock.now += before_s
                answer = exchange(*arguments)
                zone.clock.now += after_s
                return answer

            notice = ListNotice(int(true_at * 1e6), reader.relay._own_reading[1].digest)
            with mock.patch.object(follower.endpoint, "exchange", delayed_exchange):
                follower.endpoint.receive(reader.endpoint.sender, notice)
                follower.relay.step()
            state = follower.relay._reader_states.pop(reader.name)
            converted = state.clock_offset.convert(state.read_at, zone.clock.now)
            self.assertLessEqual(converted, true_at + 1e-6)

    def test_repeated_notice_counts_as_one_reading(self):
        """A fence needs two readings after a pause, not the same one twice.

        The first exchange is slow, so the second one dates the reading later.
        """
        zone = self.make_zone()
        reader, other = zone.find_readers()
        zone.kill(other, is_detected=False)
        follower = zone.find_followers()[0]
        follower.lists._snapshot = None
        follower.relay._reader_states.clear()
        reader.lists.refresh()
        read_at, content = reader.relay._own_reading
        notice = ListNotice(int(read_at * 1e6), content.digest)
        count, exchange = len(follower.readings), follower.endpoint.exchange

        def delayed_exchange(*arguments):
            zone.clock.now += 1.0
            return exchange(*arguments)

        with mock.patch.object(follower.endpoint, "exchange", delayed_exchange):
            follower.endpoint.receive(reader.endpoint.sender, notice)
            follower.relay.step()
        self.assertEqual(len(follower.readings), count + 1)
        for _ in range(2):
            follower.endpoint.receive(reader.endpoint.sender, notice)
            follower.relay.step()
        self.assertEqual(len(follower.readings), count + 1)

    def test_clocks_of_different_rates(self):
        """Rates that differ by 0.1% would date readings 60 ms late after a minute."""
        rates = (5e-4, -5e-4)
        for swap in (0, 1):
            zone = self.make_zone(skew=lambda n, swap=swap: (n, rates[n % 2 ^ swap]))
            request_times = [node.client.request_times for node in zone.find_readers()]

            def check(zone=zone, request_times=request_times):
                latest = max(times[-1] for times in request_times)
                for node in zone.find_followers():
                    read_at = node.clock.convert(node.lists.get_snapshot().read_at)
                    self.assertLessEqual(read_at, latest + 1e-5)

            zone.run(55, check)

    def test_answer_of_another_incarnation_is_not_used(self):
        """A restarted process may have another clock, so the offset does not apply."""
        zone = self.make_zone()
        reader, follower = zone.find_readers()[0], zone.find_followers()[0]
        late_notice = ListNotice(int((zone.clock.now + 900) * 1e6), bytes(16))
        sender = reader.endpoint.sender
        zone.kill(reader)
        zone.members[reader.name] = build_member(
            reader.name, 2, peer_address=sender.address
        )
        new_node = ZoneNode(zone, reader.name, 2, offset_s=500.0)
        new_node.endpoint.stop()
        zone.hub.endpoints[sender.address] = new_node.endpoint
        new_node.lists.refresh()
        answer = zone.hub.exchange(
            follower.endpoint, sender.address, ListFetch([]), True
        )
        self.assertEqual(answer.incarnation, 2)
        before = follower.lists.get_snapshot()
        follower.endpoint.receive(sender, late_notice)
        follower.relay.step()
        self.assertIs(follower.lists.get_snapshot(), before)

    def test_reading_in_the_future_drops_the_clock_offset(self):
        """The clock of a suspended machine stands still, so its offset changes."""
        zone = self.make_zone()
        follower = zone.find_followers()[0]
        follower.clock.offset_s -= 100.0
        before = follower.lists.get_snapshot().read_at - 100.0
        zone.run(10)
        follower.lists._snapshot = None
        zone.run(10)
        self.assertGreater(follower.lists.get_snapshot().read_at, before)
        zone.run(10, lambda: self.assertGreaterEqual(follower.get_age(), 0.0))
        self.assertLess(follower.get_age(), READABLE_S)

    def test_reading_times_are_never_too_late_and_never_decrease(self):
        """Random schedules of own and relayed readings with clock offset and drift,
        datagram loss, freezes, cuts from the platform and refused fetches.
        """
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                self.check_random_faults(seed)

    def check_random_faults(self, seed):
        rng = random.Random(seed)
        skews = [(rng.uniform(-900, 900), rng.uniform(-5e-4, 5e-4)) for _ in range(10)]
        zone = Zone(seed=seed, loss=0.2, skew=skews.__getitem__)
        zone.is_changing = True
        last = dict.fromkeys(zone.nodes, float("-inf"))

        def check():
            for node in zone.nodes.values():
                snapshot = node.lists.get_snapshot()
                if snapshot is None:
                    continue
                true_at = float(snapshot.upstreams[0].id[1:])
                read_at = node.clock.convert(snapshot.read_at)
                # The name of the upstream has the time rounded to milliseconds.
                self.assertLessEqual(read_at, true_at + 0.001, node.name)
                self.assertGreaterEqual(read_at, last[node.name] - 1e-6, node.name)
                last[node.name] = read_at
            self.inject_faults(zone, rng)

        zone.run(90, check)
        relayed = sum(
            node.metrics.get_count("list_readings", result="relayed")
            for node in zone.nodes.values()
        )
        self.assertGreater(relayed, 100)

    @staticmethod
    def inject_faults(zone, rng):
        node = rng.choice(list(zone.nodes.values()))
        if rng.random() < 0.02:
            zone.pause(node, not node.paused)
        if rng.random() < 0.02:
            node.client.is_cut_off = not node.client.is_cut_off
        if rng.random() < 0.02:
            node.client.delay_s = rng.choice((0.0, 0.0, 0.3, 1.5))
        if rng.random() < 0.05:
            zone.hub.faults.append("refused")


if __name__ == "__main__":
    unittest.main()
