"""Tests of the duration histograms."""

import unittest

from hdrh.histogram import HdrHistogram
from hypothesis import given
from hypothesis import strategies as st

from fescueflow.metrics import Metrics
from fescueflow.metrics.registry import (
    HISTOGRAM_MAX_US,
    PENDING_DURATIONS_MAX,
    PERCENTILES,
)

DURATIONS_US = st.integers(1, HISTOGRAM_MAX_US)


class DurationHistogramTest(unittest.TestCase):
    """Guards against batches that lose durations or change the quantiles."""

    @given(st.lists(DURATIONS_US, min_size=1, max_size=50), st.integers(1, 30))
    def test_batches_equal_single_records(self, durations_us, repeats):
        metrics, expected = Metrics(), HdrHistogram(1, HISTOGRAM_MAX_US, 2)
        for duration_us in durations_us * repeats:
            metrics.observe("gap", (duration_us + 0.5) / 1e6)
            expected.record_value(duration_us)
        lines = metrics.render().splitlines()
        for percentile in PERCENTILES:
            value_s = expected.get_value_at_percentile(percentile) / 1e6
            label = f'quantile="{percentile / 100:g}"'
            self.assertIn(f"fescueflow_gap_seconds{{{label}}} {value_s:g}", lines)
        count = len(durations_us) * repeats
        self.assertIn(f"fescueflow_gap_seconds_count {count}", lines)

    def test_durations_after_a_rendering_are_counted(self):
        metrics = Metrics()
        for _ in range(PENDING_DURATIONS_MAX + 1):
            metrics.observe("gap", 0.001)
        self.assertIn(f"_count {PENDING_DURATIONS_MAX + 1}\n", metrics.render())
        metrics.observe("gap", 0.001)
        self.assertIn(f"_count {PENDING_DURATIONS_MAX + 2}\n", metrics.render())


if __name__ == "__main__":
    unittest.main()
