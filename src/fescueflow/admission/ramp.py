"""Ramp of an upstream's limit from cold to warm, and detection of cold engines."""

from dataclasses import dataclass

from fescueflow.admission.slots import LoadReport
from fescueflow.configuration import Group

SLOW_FIRST_BYTE_FACTOR = 8.0
# Delays of a few milliseconds on a busy router do not indicate a cold engine.
SLOW_FIRST_BYTE_MIN_S = 0.25
FIRST_BYTE_SAMPLES_MIN = 10
FIRST_BYTE_SMOOTHING = 0.1
# Kind of the cache event that an engine reports when its cache was cleared.
CLEARED_EVENT = "cleared"


@dataclass
class FirstByteLatency:
    """Exponential moving average of the time to the first byte."""

    mean_s: float = 0.0
    count: int = 0

    def add(self, seconds: float) -> bool:
        """Add a sample; return whether it is slow enough to indicate a cold engine."""
        slow = (
            self.count >= FIRST_BYTE_SAMPLES_MIN
            and seconds > SLOW_FIRST_BYTE_FACTOR * self.mean_s
            and seconds > SLOW_FIRST_BYTE_MIN_S
        )
        weight = max(FIRST_BYTE_SMOOTHING, 1 / (self.count + 1))
        self.mean_s += weight * (seconds - self.mean_s)
        self.count += 1
        return slow


class LimitRamp:
    """Limit of one upstream, which rises from its cold to its warm limit.

    The limit doubles after as many completed responses as the limit itself. It
    stays while the engine reports that it is cold, because an engine may need more
    responses than its cold limit to warm up, or may complete responses that
    started before it turned cold.
    """

    def __init__(self, group: Group) -> None:
        self._warm_limit = group.warm_limit
        self._cold_limit = min(group.cold_limit, group.warm_limit)
        self.limit = self._cold_limit
        self._completed = 0
        self._first_byte_latency = FirstByteLatency()
        self._incarnation: str | None = None
        self._reported_cold = False
        self.last_event: int | None = None

    @property
    def cold(self) -> bool:
        """Whether the limit is below the warm limit."""
        return self.limit < self._warm_limit

    @property
    def limit_max(self) -> int:
        """Largest limit that the latest load report allows."""
        return self._cold_limit if self._reported_cold else self._warm_limit

    def configure(self, group: Group) -> None:
        """Apply the limits of a new configuration."""
        was_cold = self.cold or self._reported_cold
        self._warm_limit = group.warm_limit
        self._cold_limit = min(group.cold_limit, group.warm_limit)
        self.limit = min(self.limit, self._warm_limit) if was_cold else self._warm_limit

    def turn_cold(self) -> None:
        """Reset the limit to the cold limit."""
        self.limit = self._cold_limit
        self._completed = 0
        self._first_byte_latency = FirstByteLatency()

    def restart(self) -> None:
        """Reset all state when this instance becomes home of the upstream."""
        self.turn_cold()
        self._incarnation = None
        self._reported_cold = False
        self.last_event = None

    def complete(self, first_byte_s: float | None) -> bool:
        """Count a completed response; return whether it indicates a cold engine."""
        if first_byte_s is not None and self._first_byte_latency.add(first_byte_s):
            self.turn_cold()
            return True
        self._completed += 1
        may_rise = self.cold and not self._reported_cold
        if may_rise and self._completed >= self.limit:
            self.limit = min(self._warm_limit, max(1, self.limit * 2))
            self._completed = 0
        return False

    def apply_report(self, report: LoadReport) -> str | None:
        """Apply a load report; return why the engine has turned cold, if so."""
        first = self._incarnation is None
        replaced = not first and report.incarnation != self._incarnation
        self._incarnation = report.incarnation
        turned_cold = not report.warm and not self._reported_cold
        self._reported_cold = not report.warm
        # Responses of an earlier period as home may complete before the first
        # report of this period and raise the limit of a cold engine.
        is_raised = self.limit > self._cold_limit
        cold_reason = None
        if replaced:
            cold_reason = "new_incarnation"
        elif turned_cold and (is_raised or not first):
            cold_reason = "reported_cold"
        elif not first:
            cold_reason = self._detect_cache_loss(report)
        elif report.warm:
            self.limit = self._warm_limit
        self._update_last_event(report, first or replaced)
        if cold_reason is not None:
            self.turn_cold()
        return cold_reason

    def _detect_cache_loss(self, report: LoadReport) -> str | None:
        expected = self.last_event
        cold_reason = None
        for event in sorted(report.events, key=lambda e: e.sequence):
            if expected is not None and event.sequence <= expected:
                continue
            if event.kind == CLEARED_EVENT:
                return "cleared"
            if expected is not None and event.sequence != expected + 1:
                cold_reason = "event_gap"
            expected = event.sequence
        return cold_reason

    def _update_last_event(self, report: LoadReport, restarted: bool) -> None:
        latest = max((event.sequence for event in report.events), default=0)
        known = 0 if restarted or self.last_event is None else self.last_event
        self.last_event = max(known, latest)


__all__ = ["FirstByteLatency", "LimitRamp"]
