"""Tests of the request counts that upstreams report."""

import unittest

from fescueflow.core import UpstreamId
from fescueflow.gateway.counts import (
    COUNT_AGE_MAX_S,
    REPORTED_COUNTS_MAX,
    CountTracker,
    CountUpdate,
)
from fescueflow.gateway.loads import LoadTracker
from fescueflow.gateway.report_codec import (
    PeerReport,
    compress_report,
    decode_report,
    decompress_report,
    encode_report,
)
from fescueflow.routing import LoadCount, correct_running
from tests.gateway.builders import make_peer
from tests.routing.builders import ENGINES

ONE, TWO = UpstreamId("u1"), UpstreamId("u2")


class CountBookTest(unittest.TestCase):
    """Guards against treating counts as newer than they are."""

    def setUp(self):
        self.book = CountTracker()

    def test_latest_count_is_kept(self):
        self.book.record(ONE, 20, 10.0, True)
        self.book.merge([CountUpdate(ONE, 5, 0.5)], 10.2)
        self.assertEqual(self.book.find(ONE, 10.2).count, 20)
        self.book.merge([CountUpdate(ONE, 5, 0.1)], 10.2)
        self.assertEqual(self.book.find(ONE, 10.2).count, 5)

    def test_old_count_is_not_used(self):
        self.book.record(ONE, 20, 10.0, True)
        self.assertIsNone(self.book.find(ONE, 10.1 + COUNT_AGE_MAX_S))
        self.assertEqual(self.book.list_updates(10.1 + COUNT_AGE_MAX_S), [])

    def test_own_requests_since_a_count_are_added(self):
        self.book.record_start(ONE, 9.9)
        self.book.record(ONE, 20, 10.0, True)
        self.book.record_start(ONE, 10.1)
        self.book.record_start(TWO, 10.1)
        self.assertEqual(self.book.find(ONE, 10.2).sent_since, 1)

    def test_only_high_counts_are_reported_largest_first(self):
        for number in range(REPORTED_COUNTS_MAX + 3):
            self.book.record(UpstreamId(f"u{number}"), number, 10.0, number != 8)
        reported = [news.count for news in self.book.list_updates(10.1)]
        self.assertEqual(len(reported), REPORTED_COUNTS_MAX)
        self.assertEqual(reported, sorted(set(reported), reverse=True))
        self.assertNotIn(8, reported)

    def test_restarted_upstream_has_no_count(self):
        self.book.record(ONE, 20, 10.0, True)
        self.book.record_start(ONE, 10.0)
        self.book.retain({TWO})
        self.assertIsNone(self.book.find(ONE, 10.1))


class EstimateTest(unittest.TestCase):
    """Guards against busy holders that appear idle in reports that are seconds old."""

    def test_recent_count_replaces_the_estimate(self):
        self.assertEqual(correct_running(9.7, LoadCount(24, 0.0, 2), 1.0), 26)

    def test_count_loses_weight_with_age(self):
        self.assertAlmostEqual(correct_running(9.0, LoadCount(24, 50.0), 1.0), 9.0)

    def test_newer_reports_go_before_an_old_count(self):
        """Guards against a full upstream that an old count makes look half empty.

        As seen in a fleet of eight: reports of 0.2 s, and a count of 0.7 s before.
        """
        loads = LoadTracker()
        loads.record_count(ONE, 9, 10.0, False)
        for number in range(7):
            running = 3 if number < 5 else 2
            loads.set_peer_loads(f"edge-{number}", {ONE: (running, 0)}, 10.5)
        found = loads.estimate_loads([ONE, TWO], ENGINES, 10.7)
        # The rules allow three requests above the bound for inaccuracy.
        self.assertGreater(found[ONE].running, 19 - 3)

    def test_count_received_by_another_instance(self):
        loads = LoadTracker()
        loads.set_peer_loads("edge-2", {ONE: (3, 0), TWO: (3, 0)}, 10.0)
        loads.merge_counts([CountUpdate(ONE, 24, 0.0)], 10.0)
        found = loads.estimate_loads([ONE, TWO], ENGINES, 10.0)
        self.assertEqual((found[ONE].running, found[ONE].count_age_s), (24, 0.0))
        self.assertEqual((found[TWO].running, found[TWO].count_age_s), (3, None))

    def test_reports_carry_counts(self):
        counts = [CountUpdate(ONE, 24, 0.25)]
        data = encode_report(PeerReport([make_peer()], counts=counts), 0.0)
        self.assertEqual(decode_report(data, 0.0).counts, counts)

    def test_report_of_an_earlier_version_has_no_counts(self):
        text = decompress_report(encode_report(PeerReport([make_peer()]), 0.0))
        data = compress_report(text.replace(b',"counts":[]', b""))
        self.assertEqual(decode_report(data, 0.0).counts, [])

    def test_malformed_counts(self):
        text = decompress_report(encode_report(PeerReport([make_peer()]), 0.0))
        for wrong in (b"[[1]]", b"5", b'[["u",null,1]]'):
            changed = text.replace(b'"counts":[]', b'"counts":' + wrong)
            self.assertNotEqual(changed, text)
            with self.assertRaises(ValueError):
                decode_report(compress_report(changed), 0.0)


if __name__ == "__main__":
    unittest.main()
