"""Tests of the parser of the bench's output."""

import unittest

from tests.bench import parse_days

OUTPUT = """\
built in 0.2 s; 23632 lines in 188 files
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 9/15   1.00  0.692  0.924   0.000  0.005  nines 0.78; prices 0.1
trouble-2 --seed 834902322248      9/15   0.00  0.482  0.879   0.000  0.035  worst \
windows 0.47  BROKEN: LIMIT 1 (else 0.85)
scale-1                 8/15   0.00 -0.012  1.000   0.000  0.000  none  BROKEN: fault
seen: 2112263 prompt tokens read
"""


class ParseDaysTest(unittest.TestCase):
    """Guards against a day with a broken rule that is reported as kept."""

    def test_rows(self):
        days = parse_days(OUTPUT, "7")
        self.assertEqual([day.seed for day in days], ["7", "834902322248", "7"])
        self.assertEqual([day.broken for day in days], ["", "LIMIT 1", "fault"])
        self.assertEqual([day.worth for day in days], [0.692, 0.482, -0.012])
        self.assertIn("rules=broken broken=LIMIT:1", days[1].describe("hunt", "s"))


if __name__ == "__main__":
    unittest.main()
