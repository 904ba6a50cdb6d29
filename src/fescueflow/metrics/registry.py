"""Counters, gauges and latency histograms in the Prometheus text format."""

import threading
from collections import Counter
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram

HISTOGRAM_MAX_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0, 100.0)
# Durations are recorded in batches because recording them one by one takes four
# times as long, and each relayed token records a duration.
PENDING_DURATIONS_MAX = 512
# Leading bits of a duration that a histogram with two significant digits resolves.
SIGNIFICANT_BITS = 8

Labels = tuple[tuple[str, str], ...]


def format_labels(labels: Labels) -> str:
    """Return labels in the Prometheus text format."""
    escaped = [
        '{}="{}"'.format(
            name, value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
        )
        for name, value in labels
    ]
    return "{" + ",".join(escaped) + "}" if escaped else ""


class DurationHistogram:
    """Histogram of durations in microseconds; callers hold the registry's lock."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS)
        self._pending: list[int] = []

    def add(self, duration_us: int) -> None:
        """Add a duration."""
        self._pending.append(duration_us)
        if len(self._pending) >= PENDING_DURATIONS_MAX:
            self.record_pending()

    def record_pending(self) -> HdrHistogram:
        """Record the pending durations and return the histogram."""
        pending, self._pending = self._pending, []
        for duration_us, count in Counter(map(round_to_bucket, pending)).items():
            self._histogram.record_value(duration_us, count)
        return self._histogram


def round_to_bucket(duration_us: int) -> int:
    """Return the lowest duration that falls into the same histogram bucket."""
    shift = duration_us.bit_length() - SIGNIFICANT_BITS
    return duration_us >> shift << shift if shift > 0 else duration_us


class Metrics:
    """Thread-safe registry of the metrics of an instance."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[tuple[str, Labels], int] = {}
        self._gauges: dict[tuple[str, Labels], Callable[[], float]] = {}
        self._histograms: dict[tuple[str, Labels], DurationHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter, which is created at first use.

        Parameters
        ----------
        name : str
            Name without the ``fescueflow_`` prefix and the ``_total`` suffix.
        amount : int, optional
        **labels : str
            Label values, only from small fixed sets.
        """
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + amount

    def get_count(self, name: str, **labels: str) -> int:
        """Return the value of a counter, 0 if it does not exist."""
        with self._lock:
            return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds, with microsecond resolution."""
        key = (name, tuple(sorted(labels.items())) if labels else ())
        with self._lock:
            durations = self._histograms.get(key)
            if durations is None:
                durations = self._histograms[key] = DurationHistogram()
            durations.add(max(1, int(seconds * 1e6)))

    def register_gauge(
        self, name: str, read_value: Callable[[], float], **labels: str
    ) -> None:
        """Register a function that returns the current value of a gauge."""
        with self._lock:
            self._gauges[name, tuple(sorted(labels.items()))] = read_value

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return "".join(f"{line}\n" for line in self._render_lines())

    def _render_lines(self) -> Iterator[str]:
        with self._lock:
            counters = sorted(self._counters.items())
            gauges = sorted(self._gauges.items(), key=lambda item: item[0])
            durations = sorted(self._histograms.items(), key=lambda i: i[0])
            histograms = [(key, entry.record_pending()) for key, entry in durations]
            summaries = [
                (key, [(q, h.get_value_at_percentile(q)) for q in PERCENTILES], h)
                for key, h in histograms
            ]
            totals = [(h.total_count, h.get_mean_value()) for _, _, h in summaries]
        for (name, labels), value in counters:
            yield f"fescueflow_{name}_total{format_labels(labels)} {value}"
        for (name, labels), read_value in gauges:
            yield f"fescueflow_{name}{format_labels(labels)} {read_value():g}"
        for ((name, labels), values, _), (count, mean) in zip(
            summaries, totals, strict=True
        ):
            for percentile, value_us in values:
                quantile_labels = (*labels, ("quantile", f"{percentile / 100:g}"))
                text = format_labels(quantile_labels)
                yield f"fescueflow_{name}_seconds{text} {value_us / 1e6:g}"
            text = format_labels(labels)
            yield f"fescueflow_{name}_seconds_sum{text} {mean * count / 1e6:g}"
            yield f"fescueflow_{name}_seconds_count{text} {count}"


__all__ = ["Metrics"]
