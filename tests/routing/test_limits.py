"""Tests of what an instance believes of the limits that upstreams name."""

import unittest

from fescueflow.core import UpstreamId
from fescueflow.routing import LimitId, LimitTable, LimitUpdate

U1 = LimitId(UpstreamId("u1"), 1)
RESTARTED = LimitId(UpstreamId("u1"), 2)


class AnswerTest(unittest.TestCase):
    """Guards against a limit that is missed, or outlasts what the upstream says."""

    def setUp(self):
        self.table = LimitTable()

    def hear(self, rate, sent_at, now, limit_id=U1):
        return self.table.record_answer(limit_id, rate, sent_at, now)

    def test_first_limit(self):
        self.assertEqual(self.hear(2.5, 0.0, 1.0).rate, 2.5)
        self.assertEqual(self.table.find_rate(U1), 2.5)

    def test_answer_without_a_limit_before_any(self):
        self.assertIsNone(self.hear(None, 0.0, 1.0))
        self.assertEqual(self.table.list_updates(1.0), [])

    def test_same_limit_is_no_change(self):
        self.hear(2.5, 0.0, 1.0)
        self.assertIsNone(self.hear(2.5, 1.5, 2.0))

    def test_lower_limit_of_an_earlier_request(self):
        self.hear(2.5, 0.0, 1.0)
        self.hear(1.0, 0.0, 1.1)
        self.assertEqual(self.table.find_rate(U1), 1.0)

    def test_higher_limit_of_an_overtaken_answer(self):
        self.hear(2.5, 0.5, 1.0)
        self.assertIsNone(self.hear(9.0, 0.0, 1.1))
        self.assertEqual(self.table.find_rate(U1), 2.5)

    def test_higher_limit_of_a_later_request(self):
        self.hear(2.5, 0.5, 1.0)
        self.hear(9.0, 1.1, 1.2)
        self.assertEqual(self.table.find_rate(U1), 9.0)

    def test_end_in_an_overtaken_answer(self):
        self.hear(2.5, 0.5, 1.0)
        self.hear(None, 0.0, 1.1)
        self.assertEqual(self.table.find_rate(U1), 2.5)

    def test_end_in_a_later_answer(self):
        self.hear(2.5, 0.5, 1.0)
        self.assertIsNone(self.hear(None, 1.1, 1.2).rate)
        self.assertIsNone(self.table.find_rate(U1))

    def test_limit_again_after_its_end(self):
        self.hear(2.5, 0.5, 1.0)
        self.hear(None, 1.1, 1.2)
        self.hear(3.0, 1.1, 1.3)
        self.assertEqual(self.table.find_rate(U1), 3.0)

    def test_limit_of_an_earlier_start(self):
        self.hear(2.5, 0.0, 1.0)
        self.assertIsNone(self.table.find_rate(RESTARTED))
        self.hear(4.0, 1.0, 1.1, RESTARTED)
        self.hear(1.0, 0.9, 1.2)
        self.assertEqual(self.table.find_rate(RESTARTED), 4.0)

    def test_no_news_for_long_while_listed(self):
        self.hear(2.5, 0.0, 1.0)
        self.table.retain({U1.upstream}, 10_000.0)
        self.assertEqual(self.table.find_rate(U1), 2.5)

    def test_entry_that_lapses_and_returns(self):
        self.hear(2.5, 0.0, 1.0)
        self.table.retain(set(), 30.0)
        self.assertEqual(self.table.find_rate(U1), 2.5)
        self.table.retain(set(), 62.0)
        self.assertIsNone(self.table.find_rate(U1))


class MergeTest(unittest.TestCase):
    """Guards against reports that are older than what the instance knows."""

    def setUp(self):
        self.table = LimitTable()
        self.table.record_answer(U1, 2.5, 9.0, 10.0)

    def merge(self, rate, age_s, now=11.0, limit_id=U1):
        return self.table.merge([LimitUpdate(limit_id, rate, age_s)], now)

    def test_limit_of_an_unknown_upstream(self):
        other = LimitId(UpstreamId("u2"), 1)
        ((changed, limit),) = self.merge(1.0, 0.2, limit_id=other)
        self.assertEqual((changed, limit.rate, limit.is_reported), (other, 1.0, True))

    def test_earlier_report(self):
        self.assertEqual(self.merge(None, 1.5), [])
        self.assertEqual(self.merge(0.5, 1.5), [])
        self.assertEqual(self.table.find_rate(U1), 2.5)

    def test_later_report(self):
        self.merge(9.0, 0.5)
        self.assertEqual(self.table.find_rate(U1), 9.0)
        self.merge(None, 0.1)
        self.assertIsNone(self.table.find_rate(U1))

    def test_end_of_a_limit_that_is_not_known(self):
        self.merge(None, 0.1, limit_id=RESTARTED)
        self.assertEqual(len(self.table.list_updates(11.0)), 1)

    def test_report_that_returns_does_not_become_later(self):
        for _ in range(100):
            (update,) = self.table.list_updates(11.0)
            self.merge(update.rate, update.age_s - 0.05)
        (update,) = self.table.list_updates(11.0)
        self.assertAlmostEqual(update.age_s, 1.0)

    def test_reported_end_is_not_undone_by_an_older_limit(self):
        self.merge(None, 0.1)
        self.assertEqual(self.merge(2.5, 0.6), [])
        self.assertIsNone(self.table.find_rate(U1))

    def test_end_is_not_undone_by_a_report_that_is_long_on_its_way(self):
        self.merge(2.5, 1.0)
        self.merge(None, 0.1)
        self.table.list_updates(30.0)
        self.merge(2.5, 25.0, now=30.0)
        self.assertIsNone(self.table.find_rate(U1))

    def test_end_is_reported_for_some_seconds(self):
        self.merge(None, 0.0, now=11.0)
        self.assertEqual(len(self.table.list_updates(70.9)), 1)
        self.assertEqual(self.table.list_updates(71.1), [])


if __name__ == "__main__":
    unittest.main()
