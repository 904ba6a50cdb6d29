"""Rules of the users' page, judged from what callers and upstreams saw."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum

from tests.gateway.process_fleet import GRACE_S
from tests.gateway.soak_callers import ROUTES, Outcome

# Times of the users' page: a cut that comes sooner after the last byte was sent may
# have crossed the close; requests sent later into a planned stop are not excused; how
# long a reload and a configuration count as planned work.
LOSS_SLACK_S = 0.2
LATE_SENT_S = 3.0
LATE_FRACTION = 5 / 6
CONFIG_APPLY_S = 2.0
CONFIG_TAIL_S = 1.0
CONFIG_USED_FRACTION = 0.7
CONFIG_FACTOR = 3
KEPT_MAX = 3
WORKS_ON_S = 0.4
# Tolerance of the clock readings of callers and instances.
TIME_SLACK_S = 0.1
REFUSALS = frozenset({408, 421, 429, 503})


class Loss(Enum):
    """The rule, or the excuse, under which a lost request falls."""

    STOP = "stop"
    RELOAD = "reload"
    CONFIG = "config"
    KEPT = "kept"
    OTHER = "other"
    # Excuses.
    BROKE_OFF = "upstream broke off"
    TIMEOUT = "timeout"
    LATE = "last sixth"
    CROSSED = "crossed the close"


EXCUSES = frozenset({Loss.BROKE_OFF, Loss.TIMEOUT, Loss.LATE, Loss.CROSSED})


@dataclass
class Findings:
    """What one run showed."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    abandoned: int = 0
    # Answers that stopped midway for so long that their callers left, though none of
    # their upstreams was silent then.
    held: list = field(default_factory=list)
    # Lost attempts by their rule or excuse.
    lost: dict = field(default_factory=lambda: defaultdict(list))
    # Attempts that must run once and ran more often.
    twice: list = field(default_factory=list)
    # Refused attempts that must run once and ran.
    false_refusals: list = field(default_factory=list)
    # Resumed streams at which the upstream before worked on, by its hearing.
    worked_on: dict = field(default_factory=lambda: defaultdict(list))
    # Answers that are mixed, too short or not asked for.
    mixed: list = field(default_factory=list)
    unasked_ends: list = field(default_factory=list)
    # Instances that were killed after the grace period of a planned stop.
    overstays: list = field(default_factory=list)

    def count_lost(self):
        """Return the number of losses without an excuse."""
        return sum(len(v) for k, v in self.lost.items() if k not in EXCUSES)

    def list_breaches(self):
        """Return a line for each broken promise.

        Notes
        -----
        A loss outside planned work breaks no letter of the rules, but callers can't
        tell it from others, so that it counts like them.
        """
        lines = [
            f"lost ({loss.value}): {len(found)}"
            for loss, found in self.lost.items()
            if loss not in EXCUSES
        ]
        lines += [
            f"worked on for longer than {WORKS_ON_S} s ({hearing.value}): {len(found)}"
            for hearing, found in self.worked_on.items()
        ]
        for name in (
            "held",
            "twice",
            "false_refusals",
            "mixed",
            "unasked_ends",
            "overstays",
        ):
            if found := getattr(self, name):
                lines.append(f"{name}: {len(found)} {found[:3]}")
        return lines


class Judge:
    """Sorts the attempts of one run.

    Parameters
    ----------
    attempts : list of Attempt
    upstreams : list of PausingUpstream
        All lives.
    instances : list of InstanceProcess
    configured_at : list of float
        Times at which configurations were written.
    """

    def __init__(self, attempts, upstreams, instances, configured_at):
        self._attempts = attempts
        self._instances = {i.callers_address: i for i in instances}
        self._configured_at = configured_at
        self._runs = defaultdict(list)
        self._silences = {u.name: u.silences for u in upstreams}
        for upstream in upstreams:
            for run in upstream.runs:
                self._runs[run.attempt].append(run)
        self._broken = set().union(*(u.broken for u in upstreams))
        self._arrived = set().union(*(u.arrived for u in upstreams))
        refused = set().union(*(u.refused for u in upstreams))
        # Passed on: taken by an upstream that did not refuse it, at least once.
        self._passed_on = (self._arrived - refused) | set(self._runs)

    def judge(self):
        """Return the findings."""
        findings = Findings(requests=len(self._attempts))
        for attempt in self._attempts:
            findings.served += attempt.status == 200 and is_complete(attempt)
            findings.refused += attempt.status in REFUSALS
            findings.abandoned += attempt.outcome is Outcome.ABANDONED
            if self._is_held(attempt):
                findings.held.append(attempt.id)
            if attempt.problem:
                findings.mixed.append((attempt.id, attempt.path, attempt.problem))
            if attempt.outcome in (Outcome.CUT, Outcome.UNANSWERED):
                findings.lost[self._sort(attempt)].append(attempt)
            self._check_runs(attempt, findings)
        self._drop_excused(findings)
        for instance in self._instances.values():
            ends = [(instance.name, code) for code in instance.unasked_ends]
            findings.unasked_ends += ends
            findings.overstays += [instance.name] * len(instance.overstays)
        return findings

    def _sort(self, attempt):
        if attempt.id in self._broken:
            return Loss.BROKE_OFF
        if attempt.ended_at >= attempt.sent_at + attempt.limit_s - TIME_SLACK_S:
            return Loss.TIMEOUT
        passed_on = attempt.id in self._passed_on
        if not passed_on and attempt.ended_at - attempt.whole_at <= LOSS_SLACK_S:
            return Loss.CROSSED
        instance = self._instances[attempt.instance]
        for stopped_at in instance.stopped_at:
            if stopped_at <= attempt.ended_at <= stopped_at + GRACE_S + 1.0:
                is_late = attempt.ended_at >= stopped_at + GRACE_S * LATE_FRACTION
                is_early = attempt.sent_at <= stopped_at + LATE_SENT_S
                works = self._is_at_work(attempt)
                return Loss.LATE if is_late and is_early and works else Loss.STOP
        for at in instance.reloaded_at:
            if attempt.sent_at - CONFIG_APPLY_S <= at <= attempt.ended_at:
                return Loss.RELOAD
        if self._is_beside_configuration(attempt):
            return Loss.CONFIG
        if attempt.is_kept and attempt.outcome is Outcome.UNANSWERED and passed_on:
            return Loss.KEPT
        return Loss.OTHER

    def _is_held(self, attempt):
        """Return whether an answer stopped midway without a silence of its upstream."""
        if attempt.outcome is not Outcome.ABANDONED or not attempt.events:
            return False
        since = attempt.ended_at - attempt.gap_s
        return not any(
            begin < attempt.ended_at and end > since
            for run in self._runs[attempt.id]
            for begin, end in self._silences[run.upstream]
        )

    def _is_at_work(self, attempt):
        runs = self._runs[attempt.id]
        # An upstream may notice the close before the caller does.
        since = attempt.ended_at - TIME_SLACK_S
        return any((r.ended_at or time.monotonic()) >= since for r in runs)

    def _is_beside_configuration(self, attempt):
        used_s = attempt.ended_at - attempt.sent_at
        if used_s > CONFIG_USED_FRACTION * attempt.limit_s:
            return False
        return self._overlaps_configuration(attempt)

    def _overlaps_configuration(self, attempt):
        tail_s = CONFIG_APPLY_S + CONFIG_TAIL_S
        return any(at <= attempt.ended_at <= at + tail_s for at in self._configured_at)

    def _drop_excused(self, findings):
        """Move losses to the others where their rule allows some of them."""
        kept = findings.lost.get(Loss.KEPT, [])
        if len(kept) <= KEPT_MAX:
            findings.lost[Loss.OTHER] += findings.lost.pop(Loss.KEPT, [])
        beside = Counter()
        for attempt in self._attempts:
            beside[attempt.instance, self._overlaps_configuration(attempt)] += 1
        cut = Counter(a.instance for a in findings.lost.get(Loss.CONFIG, []))
        other = Counter(
            a.instance
            for loss in (Loss.OTHER, Loss.KEPT, Loss.STOP, Loss.RELOAD)
            for a in findings.lost.get(loss, [])
        )
        for attempt in list(findings.lost.get(Loss.CONFIG, [])):
            place = attempt.instance
            often = cut[place] / beside[place, True]
            seldom = other[place] / max(1, beside[place, False])
            if often <= CONFIG_FACTOR * seldom:
                findings.lost[Loss.CONFIG].remove(attempt)
                findings.lost[Loss.OTHER].append(attempt)
        for loss in [loss for loss, found in findings.lost.items() if not found]:
            del findings.lost[loss]

    def _check_runs(self, attempt, findings):
        kind, *_, may_resume, _, _ = ROUTES[attempt.path]
        runs = sorted(self._runs.get(attempt.id, ()), key=lambda run: run.began_at)
        runs_once = kind == "unsafe" or (kind == "streaming" and not may_resume)
        if runs_once and len(runs) > 1:
            findings.twice.append(attempt.id)
        if runs_once and runs and attempt.status in REFUSALS:
            findings.false_refusals.append((attempt.id, attempt.status))
        for run in runs:
            for before in runs:
                if not run.is_resumed or before.began_at >= run.began_at:
                    continue
                end = before.ended_at or float("inf")
                # A second run that has ended itself is no work beside it.
                if min(end, run.ended_at or end) > run.began_at + WORKS_ON_S:
                    findings.worked_on[before.hearing].append(attempt.id)


def is_complete(attempt):
    """Return whether the caller got a whole answer."""
    return attempt.outcome is Outcome.COMPLETE


__all__ = ["EXCUSES", "Findings", "Judge", "Loss"]
