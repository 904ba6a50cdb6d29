"""Count and log of requests that were read whole and got no complete answer."""

import time
from enum import Enum

import logbook

from fescueflow.core import DeadlineExceeded
from fescueflow.gateway.streams import StreamBroken
from fescueflow.metrics import Metrics
from fescueflow.routing import CallerDisconnected

LOGGED_PATH_CHARS_MAX = 200

log = logbook.Logger("server")


class Cause(Enum):
    """Why a request ends without a complete answer."""

    # A stream ended early: its upstream failed and no other one continued it.
    BROKEN = "broken"
    # A stream reached its deadline.
    DEADLINE = "deadline"
    # An unexpected error after the head of the answer was written.
    ERROR = "error"
    # The grace period of a planned stop ended first.
    STOP = "stop"
    # The answer was complete here, and its connection failed or stalled.
    NOT_WRITTEN = "not_written"
    # It came on a connection that closes after the answer to an earlier request.
    DROPPED = "dropped"
    # The caller closed or reset its connection, or closed its sending side.
    CALLER_LEFT = "caller_left"


def find_cause(error: BaseException, is_ending: bool) -> Cause:
    """Return why a request ends without an answer after an error.

    Parameters
    ----------
    error : BaseException
    is_ending : bool
        Whether the grace period of a planned stop is about to end.
    """
    if not isinstance(error, StreamBroken):
        return Cause.ERROR
    if isinstance(error.__cause__, CallerDisconnected):
        return Cause.CALLER_LEFT
    if is_ending:
        return Cause.STOP
    if isinstance(error.__cause__, DeadlineExceeded):
        return Cause.DEADLINE
    return Cause.BROKEN


class UnansweredRequests:
    """Counts and logs requests without a complete answer.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record(
        self, *, attempt_id: str, path: str, cause: Cause, why: str, read_at: float
    ) -> None:
        """Count and log a request.

        Parameters
        ----------
        attempt_id : str
        path : str
        cause : Cause
        why : str
        read_at : float
            When the request had been read, on the monotonic clock in seconds.
        """
        self._metrics.count("unanswered", cause=cause.value)
        line = log.info if cause is Cause.CALLER_LEFT else log.warning
        line(
            "unanswered",
            extra={
                "id": attempt_id,
                "cause": cause.value,
                "why": why,
                "path": path[:LOGGED_PATH_CHARS_MAX],
                "after_ms": round((time.monotonic() - read_at) * 1000),
            },
        )

    def record_internal_error(self, *, attempt_id: str, path: str) -> None:
        """Count and log a request that is answered with 500, with the traceback."""
        self._metrics.count("requests", outcome="internal_error")
        log.exception(
            "unexpected error in a request",
            extra={"id": attempt_id, "path": path[:LOGGED_PATH_CHARS_MAX]},
        )


__all__ = ["Cause", "UnansweredRequests", "find_cause"]
