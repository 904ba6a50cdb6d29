"""Counters, gauges and latency histograms in the Prometheus text format."""

import threading
from collections import Counter
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram

HISTOGRAM_MAX_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0, 100.0)
# Durations are added to their histogram in batches: one by one they take four
# times as long, which each relayed token pays for.
PENDING_MAX = 512
# Bits of a duration that a histogram of two significant digits can tell apart.
RESOLUTION_BITS = 8

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


class Durations:
    """Histogram of durations in microseconds; the registry's lock is held."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS)
        self._pending: list[int] = []

    def add(self, duration_us: int) -> None:
        """Add a duration."""
        self._pending.append(duration_us)
        if len(self._pending) >= PENDING_MAX:
            self.get_histogram()

    def get_histogram(self) -> HdrHistogram:
        """Return the histogram of all durations."""
        pending, self._pending = self._pending, []
        for duration_us, count in Counter(map(round_duration, pending)).items():
            self._histogram.record_value(duration_us, count)
        return self._histogram


def round_duration(duration_us: int) -> int:
    """Return the least duration that a histogram counts as the same."""
    shift = duration_us.bit_length() - RESOLUTION_BITS
    return duration_us >> shift << shift if shift > 0 else duration_us


class Metrics:
    """Registry of one instance; safe for use from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[tuple[str, Labels], int] = {}
        self._gauges: dict[tuple[str, Labels], Callable[[], float]] = {}
        self._histograms: dict[tuple[str, Labels], Durations] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter; it is created at first use.

        Parameters
        ----------
        name : str
            Without the ``fescueflow_`` prefix and the ``_total`` suffix.
        amount : int, optional
        **labels : str
            Values from small fixed sets only.
        """
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + amount

    def get_count(self, name: str, **labels: str) -> int:
        """Return the value of a counter, 0 if it was never used."""
        with self._lock:
            return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds, with microsecond resolution."""
        key = (name, tuple(sorted(labels.items())) if labels else ())
        with self._lock:
            durations = self._histograms.get(key)
            if durations is None:
                durations = self._histograms[key] = Durations()
            durations.add(max(1, int(seconds * 1e6)))

    def register_gauge(
        self, name: str, read: Callable[[], float], **labels: str
    ) -> None:
        """Register a function that gives the current value of a gauge."""
        with self._lock:
            self._gauges[name, tuple(sorted(labels.items()))] = read

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return "".join(f"{line}\n" for line in self._render_lines())

    def _render_lines(self) -> Iterator[str]:
        with self._lock:
            counters = sorted(self._counters.items())
            gauges = sorted(self._gauges.items(), key=lambda item: item[0])
            durations = sorted(self._histograms.items(), key=lambda i: i[0])
            histograms = [(key, entry.get_histogram()) for key, entry in durations]
            summaries = [
                (key, [(q, h.get_value_at_percentile(q)) for q in QUANTILES], h)
                for key, h in histograms
            ]
            totals = [(h.total_count, h.get_mean_value()) for _, _, h in summaries]
        for (name, labels), value in counters:
            yield f"fescueflow_{name}_total{format_labels(labels)} {value}"
        for (name, labels), read in gauges:
            yield f"fescueflow_{name}{format_labels(labels)} {read():g}"
        for ((name, labels), values, _), (count, mean) in zip(
            summaries, totals, strict=True
        ):
            for quantile, value_us in values:
                quantiled = (*labels, ("quantile", f"{quantile / 100:g}"))
                text = format_labels(quantiled)
                yield f"fescueflow_{name}_seconds{text} {value_us / 1e6:g}"
            text = format_labels(labels)
            yield f"fescueflow_{name}_seconds_sum{text} {mean * count / 1e6:g}"
            yield f"fescueflow_{name}_seconds_count{text} {count}"


__all__ = ["Metrics"]
