"""Short randomised runs of live instances with drawn troubles."""

import unittest

from tests.gateway.soak import GatewaySoak
from tests.selection import long_run


class ShortRunTest(unittest.TestCase):
    """Guards against broken rules where troubles of several kinds come together."""

    def check_seed(self, seed, seconds):
        self.assertEqual(GatewaySoak(seed, seconds).run(), [])

    def test_seed_1(self):
        self.check_seed(1, 8.0)

    @long_run
    def test_other_seeds(self):
        for seed in range(2, 8):
            self.check_seed(seed, 12.0)


if __name__ == "__main__":
    unittest.main()
