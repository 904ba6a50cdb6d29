"""Offsets between this instance's clock and the clocks of list readers."""

from dataclasses import dataclass

from fescueflow.core import Incarnation

MICROSECONDS_PER_S = 1_000_000
# Seconds per second. NTP slews a clock by at most 500 ppm, so the clocks of two
# machines differ in rate by at most 0.001.
DRIFT_RATE_MAX = 0.001


def to_microseconds(seconds: float) -> int:
    """Return a monotonic time in whole microseconds, rounded down, for a message."""
    return int(seconds * MICROSECONDS_PER_S)


@dataclass(frozen=True)
class ClockOffset:
    """Lower bound of the offset from a sender's clock to this instance's clock.

    Notes
    -----
    The sender reads its clock after the exchange began and before it ended here.
    The start of the exchange minus the sender's clock is therefore a lower bound
    of the offset, regardless of delays of the messages or of either process. A
    time that is converted with it is never later than the true time.

    Attributes
    ----------
    lower_bound_s : float
        Lower bound of the offset at ``measured_at``.
    measured_at : float
        End of the exchange on this instance's clock.
    uncertainty_s : float
        Duration of the exchange; the bound may be too low by this much.
    """

    lower_bound_s: float
    measured_at: float
    uncertainty_s: float

    def convert(self, wire_time: int, now: float) -> float:
        """Return the earliest local time that a sender's time can correspond to."""
        return wire_time / MICROSECONDS_PER_S + self.get_lower_bound(now)

    def get_lower_bound(self, now: float) -> float:
        """Return the lower bound of the offset now, reduced by the maximum drift."""
        return self.lower_bound_s - DRIFT_RATE_MAX * max(0.0, now - self.measured_at)


def measure_clock_offset(
    started_at: float, clock: int, now: float, previous: ClockOffset | None
) -> ClockOffset:
    """Return the clock offset after an exchange.

    Parameters
    ----------
    started_at, now : float
        Start and end of the exchange.
    clock : int
        Sender's clock in microseconds, read during the exchange.
    previous : ClockOffset or None
        Earlier offset of the same incarnation; kept if it is tighter and the
        exchange does not contradict it.
    """
    # The sender rounds its clock down, so the true value is up to 1 us higher.
    lower_bound_s = started_at - (clock + 1) / MICROSECONDS_PER_S
    upper_bound_s = now - clock / MICROSECONDS_PER_S
    if (
        previous is not None
        and lower_bound_s < previous.get_lower_bound(now) <= upper_bound_s
    ):
        return ClockOffset(previous.get_lower_bound(now), now, previous.uncertainty_s)
    return ClockOffset(lower_bound_s, now, now - started_at)


@dataclass
class ReaderState:
    """State of one incarnation of a list reader.

    Attributes
    ----------
    incarnation : Incarnation
    read_at : int
        Time of its newest processed reading in microseconds on its own clock.
        Readings up to this time are ignored, so a repeated or reordered message
        never counts as another reading.
    clock_offset : ClockOffset or None
    retry_at : float
        Earliest time of the next exchange after a failed one.
    """

    incarnation: Incarnation
    read_at: int = 0
    clock_offset: ClockOffset | None = None
    retry_at: float = float("-inf")


__all__ = ["ClockOffset", "ReaderState", "measure_clock_offset", "to_microseconds"]
