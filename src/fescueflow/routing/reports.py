"""Load estimates from reports of instances and counts of upstreams, by their age.

In a large fleet, reports are old: a prompt that waited at a holder seconds ago has been
processed since, so there is no reason to avoid the holder any more. The loads of a
report therefore decay, at the rate at which requests end, towards an even distribution
over the upstreams.

This even distribution hides a holder to which all instances send. The upstream's own
count shows it, and overrides the reports while it is new.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from fescueflow.core import UpstreamId

# Smallest time constant of the decay of reported loads, in seconds. Differences between
# upstreams outlast short requests if the zones send different loads.
LOAD_DECAY_MIN_S = 1.0
# Time constant of the decay of reported waiting tokens, in seconds: most of these
# prompts have been processed by then. Also the report interval of a small fleet.
PROMPT_DECAY_S = 0.35


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Running requests and waiting prompt tokens of each upstream, and their age."""

    age_s: float
    loads: Mapping[UpstreamId, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class LoadCount:
    """An upstream's own count of its requests, and the age of the count.

    ``sent_since`` is the number of requests that this instance has sent to it since.
    """

    count: int
    age_s: float
    sent_since: int = 0


def correct_running(
    estimate: float,
    count: LoadCount,
    mean_duration_s: float,
    report_age_s: float | None = None,
) -> float:
    """Return the estimated running requests of an upstream that reported its count.

    Parameters
    ----------
    estimate : float
        Running requests according to the reports of instances.
    count : LoadCount
    mean_duration_s : float
        Mean time that a request holds a slot of the service.
    report_age_s : float, optional
        Mean age of the reports in use, ``None`` if there are none.

    Notes
    -----
    Requests begin and end at random after a count or a report, so that the variance of
    its error grows with its age; the two are weighted by the inverse of it. Requests of
    the count that have ended since are forgotten as far as it is older.
    """
    older_s = max(0.0, count.age_s - (report_age_s or 0.0))
    weight = math.exp(-older_s / max(LOAD_DECAY_MIN_S, mean_duration_s))
    if report_age_s is not None and count.age_s > 0:
        weight *= report_age_s / (count.age_s + report_age_s)
    return weight * (count.count + count.sent_since) + (1 - weight) * estimate


def blend_reports(
    reports: Iterable[LoadReport], names: Sequence[UpstreamId], mean_duration_s: float
) -> dict[UpstreamId, tuple[float, float]]:
    """Return the expected running requests and waiting tokens at each upstream.

    Parameters
    ----------
    reports : iterable of LoadReport
    names : sequence of UpstreamId
        Upstreams of one service.
    mean_duration_s : float
        Mean time that a request holds a slot of the service.

    Notes
    -----
    On stale information and the herd effect that it causes: Mitzenmacher, "How useful
    is old information?", IEEE Transactions on Parallel and Distributed Systems, 2000.
    """
    totals = {name: (0.0, 0.0) for name in names}
    even_running = even_tokens = 0.0
    for report in reports:
        kept = math.exp(-report.age_s / max(LOAD_DECAY_MIN_S, mean_duration_s))
        kept_tokens = math.exp(-report.age_s / PROMPT_DECAY_S)
        for name in totals.keys() & report.loads.keys():
            running, tokens = report.loads[name]
            before = totals[name]
            totals[name] = (
                before[0] + kept * running,
                before[1] + kept_tokens * tokens,
            )
            even_running += (1 - kept) * running
            even_tokens += (1 - kept_tokens) * tokens
    count = max(1, len(names))
    return {
        name: (running + even_running / count, tokens + even_tokens / count)
        for name, (running, tokens) in totals.items()
    }


__all__ = ["LoadCount", "LoadReport", "blend_reports", "correct_running"]
