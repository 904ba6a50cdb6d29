"""Heavy customers and the headroom kept from them."""

import unittest

from fescueflow.admission.usage import ACTIVE_S, UsageBook


class TestUsage(unittest.TestCase):
    def setUp(self):
        self.book = UsageBook()

    def hold(self, customer, slots, share=1):
        for _ in range(slots):
            self.book.add(customer, share, 0.0)

    def test_heavy_customer_leaves_a_slot_to_an_active_one(self):
        """Guards against a surge that holds every slot of an engine."""
        self.hold("surging", 4)
        self.hold("quiet", 1)
        self.assertEqual(self.book.find_restrained(7, 1.0), set())
        self.book.add("surging", 1, 1.0)
        self.assertEqual(self.book.find_restrained(7, 1.1), {"surging"})
        self.book.remove("surging", 1.2)
        self.assertEqual(self.book.find_restrained(7, 1.2), set())

    def test_headroom_is_kept_from_slots_that_can_not_be_recalled(self):
        """Guards against slots that stay idle although they could be recalled."""
        self.hold("surging", 6)
        self.hold("quiet", 1)
        for recallable, expected in ((5, set()), (0, {"surging"})):
            found = self.book.find_restrained(8, 1.0, ["surging"] * recallable)
            self.assertEqual(found, expected)

    def test_half_of_the_slots_stays_with_heavy_customers(self):
        """Guards against headroom that keeps a heavy customer out."""
        self.hold("surging", 8)
        for index in range(20):
            self.hold(f"quiet-{index}", 1)
        self.assertEqual(self.book.find_heavy(1.0), {"surging"})
        self.assertEqual(self.book.find_restrained(18, 1.0), set())
        self.assertEqual(self.book.find_restrained(16, 1.0), {"surging"})

    def test_nothing_is_kept_free_for_customers_that_left(self):
        """Guards against slots that stay empty for nobody."""
        self.hold("surging", 2)
        self.hold("quiet", 1)
        self.book.remove("quiet", 0.5)
        self.assertEqual(self.book.find_restrained(2, 2.0), {"surging"})
        self.assertEqual(self.book.find_restrained(2, 0.1 + ACTIVE_S), set())

    def test_expected_end_grows_with_the_entries_ahead(self):
        """Guards against a surge that waits for slots it can't get in time."""
        self.hold("surging", 4)
        self.hold("quiet", 1)
        self.book.remove("surging", 1.0, 0.8)
        self.book.add("surging", 1, 1.0)
        self.assertEqual(self.book.count_open(2, 1.0), 1)
        ends = [self.book.estimate_end("surging", n, 1, 1.0) for n in (0, 1)]
        self.assertAlmostEqual(ends[0], 0.8 * 1.5)
        self.assertAlmostEqual(ends[1], 0.8 * 2.5)
        self.assertEqual(self.book.estimate_end("quiet", 9, 2, 1.0), 0.0)

    def test_single_answers_are_not_heavy(self):
        """Guards against quiet customers that recall each other's slots."""
        self.hold("one", 1)
        self.book.note_demand("two", 1, 0.0)
        self.assertEqual(self.book.find_heavy(9.0), set())
        self.book.add("one", 1, 9.0)
        self.assertEqual(self.book.find_heavy(9.5), {"one"})

    def test_use_within_the_share_is_not_heavy(self):
        """Guards against restraint of a large customer that uses its share."""
        self.hold("large", 4, share=4)
        self.hold("small", 1)
        self.assertEqual(self.book.find_heavy(5.0), set())


if __name__ == "__main__":
    unittest.main()
