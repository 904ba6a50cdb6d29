"""Short randomised runs of the deploy file's program as real processes."""

import unittest

from tests.gateway.process_soak import ProcessSoak
from tests.gateway.soak_troubles import TROUBLES
from tests.selection import long_run

PLANNED = frozenset({"stops", "reloads", "configurations"})

AT_CLOSES = PLANNED | {"halts", "bursts", "pairs", "stops_at_start"}


class ProcessSoakTest(unittest.TestCase):
    """Guards against answers that are lost, given twice or refused after they ran."""

    def check_run(self, seed, seconds, **options):
        soak = ProcessSoak(seed, seconds, **options)
        findings = soak.run()
        self.assertGreater(findings.served, 0)
        self.assertEqual(findings.list_breaches(), [], soak.lines)

    def test_silent_upstreams_before_a_full_fleet(self):
        troubles = PLANNED | {"silences"}
        self.check_run(106, 11.0, room="full", troubles=troubles, certain=True)

    def test_requests_at_the_close_of_listeners(self):
        self.check_run(301, 5.0, room="roomy", troubles=AT_CLOSES, certain=True)

    def test_streams_that_end_inside_an_event(self):
        """Guards against cut streams that look complete, beside planned work."""
        troubles = PLANNED | {"early_ends"}
        self.check_run(401, 8.0, room="roomy", troubles=troubles, certain=True)

    @long_run
    def test_planned_work_with_requests_at_each_close(self):
        for seed in range(301, 304):
            self.check_run(seed, 22.0, troubles=AT_CLOSES, certain=True)

    @long_run
    def test_drawn_troubles(self):
        for seed in range(1, 11):
            self.check_run(seed, 30.0, troubles=TROUBLES)


if __name__ == "__main__":
    unittest.main()
