"""Whether the time to a first event tells the speed of an upstream.

Much else delays a first event: a queue, a copy of the prefix, the first requests after
a start. Such samples are left out, as a wrong figure is worse than none.
"""

from dataclasses import dataclass, replace
from enum import Enum

from fescueflow.routing.placement import (
    Placement,
    estimate_copy_ms,
    estimate_cost_ms,
)
from fescueflow.routing.prompts import Prompt
from fescueflow.routing.speed_signals import SLOWDOWN_MAX, SLOWDOWN_MIN

# Part of the time to the first event that does not depend on the speed, in
# milliseconds: the longest round trip between zones (7.8 ms) and a short wait for a
# step.
ROUND_TRIP_MS = 10.0
# Shortest expected time that tells a speed, in milliseconds. Engines send several
# tokens in an event, which takes 31 to 33 ms at their shortest steps; a shorter
# expected time would measure that instead of the prefill.
EXPECTED_MIN_MS = 50.0


class LeftOut(Enum):
    """Why the time to a first event tells nothing of the speed."""

    RETRY = "retry"
    SILENT = "silent"
    COPIED = "copied"
    COLD = "cold"
    QUEUED = "queued"
    SHORT = "short"
    EVICTED = "evicted"
    IMPLAUSIBLE = "implausible"


@dataclass(frozen=True, slots=True)
class FirstEvent:
    """The first event of a stream, and what may have delayed it.

    ``observed_ms`` is the time since the request was sent, and ``reported_running`` the
    upstream's count of its requests including this one, ``None`` without one.
    ``is_copied`` is whether the upstream was told to copy the shared prefix that it
    lacks, and ``copy_tokens_per_ms`` the rate at which it copies one that it was
    expected to cache, zero if no source was named.
    """

    placement: Placement
    prompt: Prompt
    observed_ms: float
    reported_running: int | None = None
    is_retry: bool = False
    is_silent: bool = False
    is_copied: bool = False
    copy_tokens_per_ms: float = 0.0


def estimate_first_event_ms(placement: Placement, prefill_tokens: int) -> float:
    """Return the time to the first event at an upstream of the usual speed."""
    load = replace(placement.candidate.load, slowdown=1.0, failure_rate=0.0)
    return ROUND_TRIP_MS + estimate_cost_ms(load, prefill_tokens)


def estimate_evicted_ms(event: FirstEvent) -> float:
    """Return the time to the first event if the shared prefix was evicted.

    Notes
    -----
    The prefix is read again, or copied where a source was named and that is shorter.
    """
    placement, prompt = event.placement, event.prompt
    whole_tokens = prompt.shared_tokens + prompt.own_tokens
    evicted_ms = estimate_first_event_ms(placement, whole_tokens)
    if event.copy_tokens_per_ms <= 0:
        return evicted_ms
    copied_ms = estimate_first_event_ms(placement, placement.prefill_tokens)
    copied_ms += estimate_copy_ms(prompt, event.copy_tokens_per_ms)
    return min(evicted_ms, copied_ms)


def find_reason_to_leave_out(event: FirstEvent, now: float) -> LeftOut | None:
    """Return why a first event tells nothing of the speed, ``None`` if it does.

    Notes
    -----
    A prefix that was evicted is read or copied again, which looks like a slow upstream.
    A time in which that was possible is therefore left out where only the rest of the
    prompt was to be read. The time of a copy is the cost that placement counts for it:
    the time of the transfer alone is a few milliseconds, and with that as the bound,
    only samples of fast upstreams would be left.
    """
    placement, prompt = event.placement, event.prompt
    upstream, load = placement.candidate.upstream, placement.candidate.load
    running = event.reported_running
    if running is None:
        running = round(load.running) + 1
    expected_ms = estimate_first_event_ms(placement, placement.prefill_tokens)
    whole_tokens = prompt.shared_tokens + prompt.own_tokens
    checks = {
        LeftOut.RETRY: event.is_retry,
        LeftOut.SILENT: event.is_silent,
        LeftOut.COPIED: event.is_copied or placement.is_copied,
        LeftOut.COLD: upstream.cold_until > now,
        LeftOut.QUEUED: running > upstream.slots,
        LeftOut.SHORT: expected_ms < EXPECTED_MIN_MS,
        LeftOut.EVICTED: placement.prefill_tokens < whole_tokens
        and event.observed_ms >= estimate_evicted_ms(event),
        LeftOut.IMPLAUSIBLE: not SLOWDOWN_MIN
        <= event.observed_ms / expected_ms
        <= SLOWDOWN_MAX,
    }
    return next((reason for reason, applies in checks.items() if applies), None)


__all__ = [
    "FirstEvent",
    "LeftOut",
    "estimate_first_event_ms",
    "find_reason_to_leave_out",
]
