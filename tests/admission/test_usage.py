"""Heavy customers and the headroom that they must leave."""

import unittest

from fescueflow.admission.usage import ACTIVE_WINDOW_S, UsageTracker


class TestUsage(unittest.TestCase):
    def setUp(self):
        self.tracker = UsageTracker()

    def hold(self, customer, slots, share=1):
        for _ in range(slots):
            self.tracker.add(customer, share, 0.0)

    def test_heavy_customer_leaves_a_slot_to_an_active_one(self):
        """Guards against a surge that holds every slot of an engine."""
        self.hold("surging", 4)
        self.hold("quiet", 1)
        self.assertEqual(self.tracker.find_throttled(7, 1.0), set())
        self.tracker.add("surging", 1, 1.0)
        self.assertEqual(self.tracker.find_throttled(7, 1.1), {"surging"})
        self.tracker.remove("surging", 1.2)
        self.assertEqual(self.tracker.find_throttled(7, 1.2), set())

    def test_recallable_slots_count_as_headroom(self):
        """Guards against idle slots where recallable ones provide the headroom."""
        self.hold("surging", 6)
        self.hold("quiet", 1)
        for recallable, expected in ((5, set()), (0, {"surging"})):
            found = self.tracker.find_throttled(8, 1.0, ["surging"] * recallable)
            self.assertEqual(found, expected)

    def test_headroom_is_at_most_half_of_the_slots(self):
        """Guards against headroom that excludes a heavy customer."""
        self.hold("surging", 8)
        for index in range(20):
            self.hold(f"quiet-{index}", 1)
        self.assertEqual(self.tracker.find_heavy(1.0), {"surging"})
        self.assertEqual(self.tracker.find_throttled(18, 1.0), set())
        self.assertEqual(self.tracker.find_throttled(16, 1.0), {"surging"})

    def test_inactive_customers_get_no_headroom(self):
        """Guards against headroom for customers that are no longer active."""
        self.hold("surging", 2)
        self.hold("quiet", 1)
        self.tracker.remove("quiet", 0.5)
        self.assertEqual(self.tracker.find_throttled(2, 2.0), {"surging"})
        self.assertEqual(self.tracker.find_throttled(2, 0.1 + ACTIVE_WINDOW_S), set())

    def test_expected_end_grows_with_the_entries_ahead(self):
        """Guards against a surge that waits for slots that it can't get in time."""
        self.hold("surging", 4)
        self.hold("quiet", 1)
        self.tracker.remove("surging", 1.0, 0.8)
        self.tracker.add("surging", 1, 1.0)
        self.assertEqual(self.tracker.compute_heavy_limit(2, 1.0), 1)
        ends = [self.tracker.estimate_end("surging", n, 1, 1.0) for n in (0, 1)]
        self.assertAlmostEqual(ends[0], 0.8 * 1.5)
        self.assertAlmostEqual(ends[1], 0.8 * 2.5)
        self.assertEqual(self.tracker.estimate_end("quiet", 9, 2, 1.0), 0.0)

    def test_single_requests_are_not_heavy(self):
        """Guards against light customers that recall each other's slots."""
        self.hold("one", 1)
        self.tracker.record_demand("two", 1, 0.0)
        self.assertEqual(self.tracker.find_heavy(9.0), set())
        self.tracker.add("one", 1, 9.0)
        self.assertEqual(self.tracker.find_heavy(9.5), {"one"})

    def test_use_within_the_share_is_not_heavy(self):
        """Guards against throttling a large customer that stays within its share."""
        self.hold("large", 4, share=4)
        self.hold("small", 1)
        self.assertEqual(self.tracker.find_heavy(5.0), set())


if __name__ == "__main__":
    unittest.main()
