"""Loads that other instances report and upstreams tell, weighted by their age.

Answers a large fleet with old reports: a prompt that waited at a holder seconds ago has
been read since, and its holder is no longer to be avoided. What a report says is
forgotten at the rate at which requests end; what is left is the evenly spread load.

The even spread hides a holder to which all instances send. An upstream's own count
shows it, so it goes before the reports while it is new.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from fescueflow.core import UpstreamId

# Least time constant of forgetting differences between upstreams, in seconds.
# They last longer than short requests where zones send unlike loads.
FORGET_MIN_S = 1.0
# Time in which most prompts that wait in a report have been read, in seconds; also the
# interval of the reports in a small fleet.
PROMPT_WAIT_S = 0.35


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Running requests and waiting prompt tokens by upstream, and their age."""

    age_s: float
    loads: Mapping[UpstreamId, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class LoadCount:
    """Requests at an upstream by its own count, and the age of the count.

    ``own_since`` is how many this instance has sent there since.
    """

    count: int
    age_s: float
    own_since: int = 0


def correct_running(estimate: float, count: LoadCount, hold_s: float) -> float:
    """Return the requests running at an upstream that has told its count.

    Parameters
    ----------
    estimate : float
        Running requests by the reports of instances.
    count : LoadCount
    hold_s : float
        Mean time that a request holds a place of the service.
    """
    kept = math.exp(-count.age_s / max(FORGET_MIN_S, hold_s))
    return kept * (count.count + count.own_since) + (1 - kept) * estimate


def blend_reports(
    reports: Iterable[LoadReport], names: Sequence[UpstreamId], hold_s: float
) -> dict[UpstreamId, tuple[float, float]]:
    """Return the expected running requests and waiting tokens at each upstream.

    Parameters
    ----------
    reports : iterable of LoadReport
    names : sequence of UpstreamId
        Upstreams of one service.
    hold_s : float
        Mean time that a request holds a place of the service.

    Notes
    -----
    On old information and the herds that it causes: Mitzenmacher, "How useful is old
    information?", IEEE Transactions on Parallel and Distributed Systems, 2000.
    """
    totals = {name: (0.0, 0.0) for name in names}
    even_running = even_tokens = 0.0
    for report in reports:
        kept = math.exp(-report.age_s / max(FORGET_MIN_S, hold_s))
        kept_tokens = math.exp(-report.age_s / PROMPT_WAIT_S)
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
