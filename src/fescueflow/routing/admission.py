"""Admission control by predicted latency.

When a surge exceeds the capacity of a service, a request that is predicted to miss its
deadline on every upstream is rejected at once, with a retry delay, instead of waiting
in a queue in vain.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from fescueflow.routing.placement import Placement

# Longest retry delay, in seconds; callers accept delays up to a third of the time that
# they have left.
RETRY_AFTER_MAX_S = 3.0
# Fraction of the remaining time that a predicted answer must leave unused. Predictions
# use mean times: without a margin, half of the requests that are predicted to just meet
# their deadline would miss it.
DEADLINE_MARGIN_FRACTION = 0.15
# Shortest retry delay, in seconds: one heartbeat interval of the fleet, after which the
# known loads have been updated.
RETRY_AFTER_MIN_S = 0.25


@dataclass(frozen=True, slots=True)
class Prediction:
    """Expected wait for a slot and expected time to the answer, in milliseconds."""

    wait_ms: float
    answer_ms: float


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Admission decision; ``retry_after_s`` is set if the request is rejected."""

    is_admitted: bool
    prediction: Prediction
    retry_after_s: float = 0.0


def predict(placement: Placement) -> Prediction:
    """Return the expected times until a slot is free and the answer begins."""
    return Prediction(placement.wait_ms, placement.cost_ms)


def select_in_time(
    placements: Sequence[Placement], remaining_ms: float, answer_ms: float
) -> list[Placement]:
    """Return the placements that meet the deadline, in the given order.

    Parameters
    ----------
    placements : sequence of Placement
    remaining_ms, answer_ms : float
        As for ``decide_admission``.

    Notes
    -----
    The first placement may be a cache holder with a long queue while another upstream
    has a free slot.
    """
    return [
        p
        for p in placements
        if decide_admission([p], remaining_ms, answer_ms).is_admitted
    ]


def decide_admission(
    placements: Sequence[Placement],
    remaining_ms: float,
    answer_ms: float,
) -> AdmissionDecision:
    """Admit or reject a request by its fastest placement.

    Parameters
    ----------
    placements : sequence of Placement
        At least one.
    remaining_ms : float
        Time until the deadline.
    answer_ms : float
        Mean time from the start of a request to the part of its answer that has to
        arrive before the deadline.

    Returns
    -------
    AdmissionDecision
    """
    best = min((predict(p) for p in placements), key=lambda p: p.answer_ms)
    excess_ms = (
        best.answer_ms + answer_ms - remaining_ms * (1 - DEADLINE_MARGIN_FRACTION)
    )
    if excess_ms <= 0:
        return AdmissionDecision(True, best)
    retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, excess_ms / 1000))
    return AdmissionDecision(False, best, retry_after_s)


__all__ = [
    "AdmissionDecision",
    "Prediction",
    "decide_admission",
    "predict",
    "select_in_time",
]
