"""Cold limit, its ramp to the warm limit, and the signs of coldness."""

from dataclasses import dataclass

from fescueflow.admission.slots import LoadReport
from fescueflow.configuration import Group

SLOW_FACTOR = 8.0
# A delay of a few milliseconds on a busy router is no sign of a cold engine.
SLOW_MIN_S = 0.25
SAMPLES_MIN = 10
SMOOTHING = 0.1
CLEARED_EVENT = "cleared"


@dataclass
class FirstByteTimes:
    """Moving average of the time to the first byte."""

    mean_s: float = 0.0
    count: int = 0

    def add(self, seconds: float) -> bool:
        """Add a sample; return whether it is a sign of coldness."""
        slow = (
            self.count >= SAMPLES_MIN
            and seconds > SLOW_FACTOR * self.mean_s
            and seconds > SLOW_MIN_S
        )
        weight = max(SMOOTHING, 1 / (self.count + 1))
        self.mean_s += weight * (seconds - self.mean_s)
        self.count += 1
        return slow


class Ramp:
    """Limit of one upstream between its cold and warm limits.

    The limit doubles each time as many answers have completed as the limit, but
    not while the engine reports that it is cold: it may need more answers than
    its cold limit, or complete ones that started before it turned cold.
    """

    def __init__(self, group: Group) -> None:
        self._warm_limit = group.warm_limit
        self._cold_limit = min(group.cold_limit, group.warm_limit)
        self.limit = self._cold_limit
        self._completed = 0
        self._first_bytes = FirstByteTimes()
        self._incarnation: str | None = None
        self._reported_cold = False
        self.last_event: int | None = None

    @property
    def cold(self) -> bool:
        """Whether the limit is below the warm limit."""
        return self.limit < self._warm_limit

    @property
    def limit_max(self) -> int:
        """Largest limit that the latest load report admits."""
        return self._cold_limit if self._reported_cold else self._warm_limit

    def configure(self, group: Group) -> None:
        """Take over the limits of a new configuration."""
        was_cold = self.cold or self._reported_cold
        self._warm_limit = group.warm_limit
        self._cold_limit = min(group.cold_limit, group.warm_limit)
        self.limit = min(self.limit, self._warm_limit) if was_cold else self._warm_limit

    def turn_cold(self) -> None:
        """Set the limit to the cold limit at once."""
        self.limit = self._cold_limit
        self._completed = 0
        self._first_bytes = FirstByteTimes()

    def restart(self) -> None:
        """Forget everything; used when this instance becomes home."""
        self.turn_cold()
        self._incarnation = None
        self._reported_cold = False
        self.last_event = None

    def complete(self, first_byte_s: float | None) -> bool:
        """Count a completed answer; return whether it showed coldness."""
        if first_byte_s is not None and self._first_bytes.add(first_byte_s):
            self.turn_cold()
            return True
        self._completed += 1
        may_rise = self.cold and not self._reported_cold
        if may_rise and self._completed >= self.limit:
            self.limit = min(self._warm_limit, max(1, self.limit * 2))
            self._completed = 0
        return False

    def apply_report(self, report: LoadReport) -> str | None:
        """Take over a report; return the sign of coldness it shows, if any."""
        first = self._incarnation is None
        replaced = not first and report.incarnation != self._incarnation
        self._incarnation = report.incarnation
        turned_cold = not report.warm and not self._reported_cold
        self._reported_cold = not report.warm
        # Answers of an earlier period as home may complete before the first
        # report of this one and raise the limit of an engine that is cold.
        is_raised = self.limit > self._cold_limit
        sign = None
        if replaced:
            sign = "new_incarnation"
        elif turned_cold and (is_raised or not first):
            sign = "reported_cold"
        elif not first:
            sign = self._judge_events(report)
        elif report.warm:
            self.limit = self._warm_limit
        self._advance(report, first or replaced)
        if sign is not None:
            self.turn_cold()
        return sign

    def _judge_events(self, report: LoadReport) -> str | None:
        expected = self.last_event
        sign = None
        for event in sorted(report.events, key=lambda e: e.sequence):
            if expected is not None and event.sequence <= expected:
                continue
            if event.kind == CLEARED_EVENT:
                return "cleared"
            if expected is not None and event.sequence != expected + 1:
                sign = "event_gap"
            expected = event.sequence
        return sign

    def _advance(self, report: LoadReport, restarted: bool) -> None:
        latest = max((event.sequence for event in report.events), default=0)
        known = 0 if restarted or self.last_event is None else self.last_event
        self.last_event = max(known, latest)


__all__ = ["FirstByteTimes", "Ramp"]
