"""Stages of a planned stop.

Load pattern: callers know the address of an instance for some seconds after it has
announced its departure, and go on sending requests, some of which may run only once. A
request is passed on only if its answer can be expected before the instance ends, and
one that takes longer than expected still gets an answer.
"""

from enum import Enum

from fescueflow.core import Clock

# Fractions of the grace period after which requests are refused, unfinished ones are
# answered with an error, and connections are cut. Callers use a cached address for some
# seconds; requests taken later than 3 s into a period of 8 s might not finish in the
# rest. The answers to unfinished ones take a quarter of a second.
REFUSING_FRACTION = 0.35
ENDING_FRACTION = 0.86
CUTTING_FRACTION = 0.92


class Stage(Enum):
    """What an instance does with requests."""

    SERVING = "serving"
    # The departure is announced; requests are still passed on.
    LEAVING = "leaving"
    # New requests are refused, running ones go on.
    REFUSING = "refusing"
    # Running requests are answered with an error.
    ENDING = "ending"


def find_stage(elapsed_s: float, grace_s: float) -> Stage:
    """Return the stage of a planned stop.

    Parameters
    ----------
    elapsed_s : float
        Time since the departure was announced.
    grace_s : float
        Time until the process is killed.
    """
    if elapsed_s >= grace_s * ENDING_FRACTION:
        return Stage.ENDING
    if elapsed_s >= grace_s * REFUSING_FRACTION:
        return Stage.REFUSING
    return Stage.LEAVING


class Departure:
    """The planned stop of this instance, if it has begun.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at: float | None = None
        self._grace_s = 0.0

    @property
    def has_started(self) -> bool:
        """Whether the departure is announced."""
        return self._started_at is not None

    def start(self, grace_s: float) -> None:
        """Announce the departure."""
        self._grace_s = grace_s
        self._started_at = self._clock.monotonic()

    def get_stage(self) -> Stage:
        """Return the present stage."""
        if self._started_at is None:
            return Stage.SERVING
        return find_stage(self._clock.monotonic() - self._started_at, self._grace_s)


__all__ = [
    "CUTTING_FRACTION",
    "ENDING_FRACTION",
    "REFUSING_FRACTION",
    "Departure",
    "Stage",
    "find_stage",
]
