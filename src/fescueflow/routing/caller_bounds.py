"""Which callers are outside the limits, and who gives way when memory is short."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

# Step in which the progress of a body is measured.
PROGRESS_BYTES = 16 << 10
# Time for a step: 0.8 KB/s. A hundred callers that share a link of 5 Mbit/s have 6 KB/s
# each, and pauses of packet loss last a few seconds.
PROGRESS_TIMEOUT_S = 20.0
# Time within which a caller takes a byte of an answer that waits for it. TCP resends
# lost packets within 12 s after five losses in a row.
ANSWER_TIMEOUT_S = 30.0
# Time without progress after which an answer may be cut if memory is short, requests
# wait for threads or callers for connections: TCP resends a packet that was lost twice
# sooner.
UNREAD_S = 5.0
# Time without progress after which a small request gives way even if that does not
# release enough: it usually arrives in one piece.
SMALL_STALLED_S = 1.0
# Time for a head where the configuration names none.
HEAD_TIMEOUT_S = 10.0
# Added to the configuration's time: one resent packet.
HEAD_SLACK_S = 1.0
# Age as which younger progress counts, so that the size decides among them.
AGE_MIN_S = 0.1


class CallerBound(Enum):
    """A limit that a caller is outside of."""

    HEAD_BYTES = "head_bytes"
    HEAD_TIME = "head_time"
    BODY_BYTES = "body_bytes"
    BODY_PROGRESS = "body_progress"
    ANSWER_PROGRESS = "answer_progress"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    THREADS = "threads"


@dataclass(frozen=True, slots=True)
class CallerProgress:
    """What is read from or written to one caller; times are monotonic, in seconds.

    ``head_since`` and ``body_since`` are ``None`` if no head or body is being read,
    ``answer_since`` if no output waits for the caller.
    """

    head_since: float | None = None
    body_since: float | None = None
    answer_since: float | None = None


@dataclass(frozen=True, slots=True)
class Hold:
    """Bytes that a connection holds and would release, and its last progress."""

    holder: Any
    held_bytes: int
    progress_at: float
    # Whether it is an answer that waits for the caller.
    is_answer: bool = False


def find_breach(
    progress: CallerProgress, head_timeout_s: float | None, now: float
) -> CallerBound | None:
    """Return the bound on time that a caller is outside of."""
    head_s = HEAD_TIMEOUT_S if head_timeout_s is None else head_timeout_s
    bounds = (
        (progress.head_since, head_s + HEAD_SLACK_S, CallerBound.HEAD_TIME),
        (progress.body_since, PROGRESS_TIMEOUT_S, CallerBound.BODY_PROGRESS),
        (progress.answer_since, ANSWER_TIMEOUT_S, CallerBound.ANSWER_PROGRESS),
    )
    for since, timeout_s, limit in bounds:
        if since is not None and now - since > timeout_s:
            return limit
    return None


def list_releasable(holds: Iterable[Hold], now: float) -> list[Hold]:
    """Return all but the answers that their callers may still be taking."""
    return [
        hold
        for hold in holds
        if not hold.is_answer or now - hold.progress_at > UNREAD_S
    ]


def list_large(holds: Iterable[Hold], small_bytes: int, now: float) -> list[Hold]:
    """Return all but the small holds that have made progress lately."""
    return [
        hold
        for hold in holds
        if hold.held_bytes > small_bytes or now - hold.progress_at > SMALL_STALLED_S
    ]


def choose_yielding(holds: Iterable[Hold], excess_bytes: int, now: float) -> list[Any]:
    """Return who gives way until the excess is released, the first one first.

    Notes
    -----
    Held bytes count by the time without progress, so that a small body that has stopped
    goes after a large one, and a large one that arrives steadily after those that wait.
    """
    ranked = sorted(
        (hold for hold in holds if hold.held_bytes > 0),
        key=lambda hold: hold.held_bytes * max(AGE_MIN_S, now - hold.progress_at),
        reverse=True,
    )
    chosen = []
    for hold in ranked:
        if excess_bytes <= 0:
            break
        chosen.append(hold.holder)
        excess_bytes -= hold.held_bytes
    return chosen


__all__ = [
    "PROGRESS_BYTES",
    "UNREAD_S",
    "CallerProgress",
    "Hold",
    "CallerBound",
    "choose_yielding",
    "find_breach",
    "list_large",
    "list_releasable",
]
