"""Log lines that explain where a request was sent and how its attempts ended."""

from enum import Enum

import logbook

from fescueflow.core import Clock, RequestError
from fescueflow.gateway.attempts import Attempt
from fescueflow.gateway.exchange import ExchangeFailed
from fescueflow.gateway.requests import CallerRequest, RequestContext
from fescueflow.gateway.selection import Selection
from fescueflow.gateway.stream_ends import StreamEndedEarly
from fescueflow.gateway.streams import RelayTimes
from fescueflow.routing import RetryDenial, RoutingTable, Upstream

# Prompt parts in one line; callers may name any number.
LOGGED_PARTS_MAX = 8
LOGGED_PATH_CHARS_MAX = 200

log = logbook.Logger("forwarding")


def log_selection(
    context: RequestContext,
    selection: Selection,
    table: RoutingTable | None,
    state_age_s: float,
    now: float,
) -> None:
    """Log the upstream of the next attempt and why it was selected.

    Parameters
    ----------
    context : RequestContext
    selection : Selection
    table : RoutingTable or None
        The configuration in force.
    state_age_s : float
        Age of the local copy of the platform's state.
    now : float
    """
    log.info(
        "placed",
        extra={
            "id": context.request.headers.attempt_id,
            "route": str(context.route.id),
            "service": str(context.service),
            "attempt": context.attempts_sent + 1,
            "prompt_parts": list_parts(context),
            "left_ms": round((context.deadline - now) * 1000),
            "table": table.version if table else None,
            "belief_age_ms": round(state_age_s * 1000),
            **selection.describe(),
        },
    )


def log_refusal(
    request: CallerRequest, error: RequestError, table: RoutingTable, state_age_s: float
) -> None:
    """Log a request that the configuration does not allow, and its version and age."""
    log.warning(
        "refused",
        extra={
            "id": request.headers.attempt_id,
            "type": error.type,
            "host": request.host,
            "path": request.target.partition("?")[0][:LOGGED_PATH_CHARS_MAX],
            "table": table.version,
            "belief_age_ms": round(state_age_s * 1000),
        },
    )


def log_failure(context: RequestContext, failure: ExchangeFailed, clock: Clock) -> None:
    """Log a failed attempt with the prompt parts of its request.

    Notes
    -----
    The events so far tell whether an answer with these parts had begun, and the age of
    the upstream whether it was still starting.
    """
    log.warning(
        "attempt failed",
        extra={
            "id": context.request.headers.attempt_id,
            "end": failure.kind.value,
            "why": failure.reason,
            **describe_early_end(failure),
            "prompt_parts": list_parts(context),
            "events": context.event_count,
            **describe_upstream(context.upstream, clock),
        },
    )


def describe_early_end(failure: ExchangeFailed) -> dict[str, str]:
    """Return the log fields of a body that has ended before its stream."""
    if not isinstance(failure, StreamEndedEarly):
        return {}
    return {"cut": failure.cut.value, "end_mark": failure.end_mark.value}


def log_no_retry(context: RequestContext, denial: RetryDenial) -> None:
    """Log why a request gets no further attempt."""
    log.warning(
        "no further attempt",
        extra={
            "id": context.request.headers.attempt_id,
            "service": str(context.service),
            "denied_by": denial.value,
            "attempt": context.attempts_sent,
            "events": context.event_count,
        },
    )


class SilenceEnd(Enum):
    """What was decided on a silent attempt."""

    # The upstream takes connections, so that the silence may end.
    AWAITED = "awaited"
    REPLACED = "replaced"
    # Its replacement failed, or it went on first.
    KEPT = "kept"
    NO_REPLACEMENT = "no_replacement"


def log_silence(context: RequestContext, silent: Attempt, end: SilenceEnd) -> None:
    """Log what was decided on a silent attempt."""
    log.info(
        "upstream silent",
        extra={
            "id": context.request.headers.attempt_id,
            "upstream": str(silent.selection.upstream.id),
            "end": end.value,
            "attempt": context.attempts_sent,
            "events": context.event_count,
        },
    )


def log_stream_end(
    context: RequestContext, times: RelayTimes, now: float, rest_bytes: int
) -> None:
    """Log the complete end of a stream and its longest pauses.

    Parameters
    ----------
    context : RequestContext
    times : RelayTimes
    now : float
    rest_bytes : int
        Bytes after the last complete event.
    """
    attempt = context.attempt
    log.info(
        "stream ended",
        extra={
            "id": context.request.headers.attempt_id,
            "upstream": str(context.upstream.id) if context.upstream else None,
            "end_mark": attempt.exchange.end_mark.value if attempt else None,
            "events": context.event_count,
            "rest_bytes": rest_bytes,
            "parts": times.parts,
            "longest_gap_ms": round(times.upstream_wait_s * 1000),
            "longest_hold_ms": round(times.caller_wait_s * 1000),
            "after_ms": round((now - context.request.received_at) * 1000),
        },
    )


def log_broken_stream(context: RequestContext, reason: str) -> None:
    """Log a stream that ends before its last event."""
    log.warning(
        "stream broken",
        extra={
            "id": context.request.headers.attempt_id,
            "upstream": str(context.upstream.id) if context.upstream else None,
            "why": reason,
            "attempt": context.attempts_sent,
            "events": context.event_count,
        },
    )


def list_parts(context: RequestContext) -> list[str]:
    """Return the first shared parts of the request's prompt."""
    return list(context.prompt.shared_parts[:LOGGED_PARTS_MAX])


def describe_upstream(
    upstream: Upstream | None, clock: Clock
) -> dict[str, str | int | None]:
    """Return the log fields of an upstream: its name, age and remaining cold time."""
    if upstream is None:
        return {"upstream": None}
    cold_s = max(0.0, upstream.cold_until - clock.monotonic())
    age_ms = round(clock.wall_time() * 1000) - upstream.started_at_ms
    return {
        "upstream": str(upstream.id),
        "upstream_age_ms": age_ms if upstream.started_at_ms else None,
        "cold_ms": round(cold_s * 1000),
    }


__all__ = [
    "SilenceEnd",
    "describe_upstream",
    "list_parts",
    "log_broken_stream",
    "log_failure",
    "log_no_retry",
    "log_refusal",
    "log_selection",
    "log_silence",
    "log_stream_end",
]
