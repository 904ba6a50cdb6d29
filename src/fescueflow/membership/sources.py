"""Clocks of the readers that this instance learns list readings from."""

from dataclasses import dataclass

from fescueflow.core import Incarnation

MICROSECONDS = 1_000_000
# Clocks of two machines differ in rate by at most 500 ppm while NTP slews them,
# each of them, so by 0.001 together.
DRIFT = 0.001


def to_wire(seconds: float) -> int:
    """Return a monotonic time in whole microseconds, rounded down."""
    return int(seconds * MICROSECONDS)


@dataclass(frozen=True)
class Anchor:
    """Least offset from a sender's clock to the own one, from one exchange.

    Notes
    -----
    The sender reads its clock after the exchange began and before it ended here.
    The difference to the beginning is therefore a lower bound of the offset,
    however long the messages or either process were held up. A time that is
    converted with it is never later than the true one.

    Attributes
    ----------
    offset_s : float
    made_at : float
        End of the exchange on the own clock.
    slack_s : float
        Duration of the exchange: the offset may be too low by this much.
    """

    offset_s: float
    made_at: float
    slack_s: float

    def convert(self, wire_time: int, now: float) -> float:
        """Return the earliest own time that a time of the sender may stand for."""
        return wire_time / MICROSECONDS + self.get_offset(now)

    def get_offset(self, now: float) -> float:
        """Return the least offset now, less the largest drift."""
        return self.offset_s - DRIFT * max(0.0, now - self.made_at)


def make_anchor(asked_at: float, clock: int, now: float, last: Anchor | None) -> Anchor:
    """Return the anchor after an exchange.

    Parameters
    ----------
    asked_at, now : float
        Beginning and end of the exchange.
    clock : int
        Sender's clock, read during the exchange.
    last : Anchor or None
        Earlier anchor of the same incarnation; kept if it is the tighter one
        and the exchange does not contradict it.
    """
    # The wire time is rounded down, so the sender's clock is up to 1 us later.
    lowest = asked_at - (clock + 1) / MICROSECONDS
    highest = now - clock / MICROSECONDS
    if last is not None and lowest < last.get_offset(now) <= highest:
        return Anchor(last.get_offset(now), now, last.slack_s)
    return Anchor(lowest, now, now - asked_at)


@dataclass
class Source:
    """What is known of one incarnation of a sender.

    ``read_at`` is the newest of its readings that was looked at, on its clock:
    a repeated or reordered message never counts as another reading.
    """

    incarnation: Incarnation
    read_at: int = 0
    anchor: Anchor | None = None
    retry_at: float = float("-inf")


__all__ = ["Anchor", "Source", "make_anchor", "to_wire"]
