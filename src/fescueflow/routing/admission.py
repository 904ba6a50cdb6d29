"""Whether a request can still be served in time.

Answers a surge above the capacity of a service: a request whose answer is predicted
to come after its deadline everywhere is turned away at once, with the time at which
a place is expected to be free, instead of waiting for nothing.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from fescueflow.routing.placement import Placement

# Longest wait that a caller is asked for, in seconds; callers heed a third of the
# time that they have left.
RETRY_AFTER_MAX_S = 3.0
# Part of the time left that a predicted answer must leave unused: predictions come
# from mean times, and where all that is admitted just meets its deadline, half of it
# misses it.
MARGIN_PART = 0.15
# Shortest wait, in seconds: one heartbeat of the fleet, after which loads are new.
RETRY_AFTER_MIN_S = 0.25


@dataclass(frozen=True, slots=True)
class Prediction:
    """Expected wait for a place and time to the answer, in milliseconds."""

    wait_ms: float
    answer_ms: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """Decision on one request; ``retry_after_s`` if it is turned away."""

    is_admitted: bool
    prediction: Prediction
    retry_after_s: float = 0.0


def predict(placement: Placement) -> Prediction:
    """Return when a place is free and when the answer begins."""
    return Prediction(placement.wait_ms, placement.cost_ms)


def select_in_time(
    placements: Sequence[Placement], remaining_ms: float, answer_ms: float
) -> list[Placement]:
    """Return the placements whose answer comes in time, in the same order.

    Notes
    -----
    The first placement of a request may be its holder with a long queue while another
    upstream has a place.
    """
    return [p for p in placements if judge([p], remaining_ms, answer_ms).is_admitted]


def judge(
    placements: Sequence[Placement],
    remaining_ms: float,
    answer_ms: float,
) -> Verdict:
    """Decide on a request by its best placement.

    Parameters
    ----------
    placements : sequence of Placement
        At least one.
    remaining_ms : float
        Time until the deadline.
    answer_ms : float
        Mean time from the start of a request to the part of its answer that must
        arrive before the deadline.

    Returns
    -------
    Verdict
    """
    best = min((predict(p) for p in placements), key=lambda p: p.answer_ms)
    late_ms = best.answer_ms + answer_ms - remaining_ms * (1 - MARGIN_PART)
    if late_ms <= 0:
        return Verdict(True, best)
    retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, late_ms / 1000))
    return Verdict(False, best, retry_after_s)


__all__ = ["Prediction", "Verdict", "judge", "predict", "select_in_time"]
