"""Judges guarantees 1, 2, 3 and 7 and the configured limits from the ledgers."""

from bisect import bisect_right
from math import floor
from operator import itemgetter

from tests.soak.evidence import LoadCurve, Violation
from tests.soak.schedule import FaultKind

LOAD_FACTOR = 1.25
# A home keeps another home's load digest for this long (admission.loads).
DIGEST_KEPT_S = 3.0
# Tasks of the instances may run late on a busy machine.
SCHEDULING_S = 1.0
# A slot's request may reach the engine this long after the grant.
START_WITHIN_S = 1.0


def is_common(sets):
    """Return whether all sets share an element."""
    sets = list(sets)
    return bool(sets and frozenset.intersection(*sets))


def list_events(entries):
    """Return (time, change of the load, entry) in order."""
    events = [(entry.started_at, 1, entry) for entry in entries]
    events += [(e.ended_at, -1, e) for e in entries if e.ended_at is not None]
    return sorted(events, key=itemgetter(0))


class LoadJudge:
    """Judges every start of work at an upstream.

    Notes
    -----
    The load bound is compared with the group's largest load while a digest that
    a home may rely on can have been sent, and with the smallest number of
    engines in service that a home may have known. A slot counts from its grant,
    so a request that was asked before a start and reached its engine up to 1 s
    later belongs to the group's load.
    """

    def __init__(self, evidence, bounds, timings):
        self.evidence, self.bounds = evidence, bounds
        self.lease_s = timings["lease_ms"] / 1000
        interval_s = timings["load_report_interval_ms"] / 1000
        lag_s = timings["load_report_lag_ms"] / 1000
        self.sign_s = interval_s + lag_s + self.lease_s + SCHEDULING_S
        self.curves = {n: LoadCurve(e) for n, e in evidence.entries.items()}
        self.events = {n: list_events(e) for n, e in evidence.entries.items()}
        self.engines = list(evidence.deployment.engines)
        self.checked = {number: 0 for number in (1, 2, 3, 7)}
        self.leaves = list(self._find_leaves())
        self.late_sends = []

    def judge(self):
        """Yield violations."""
        for name, entries in self.evidence.entries.items():
            for entry in entries:
                yield from self._judge_entry(name, entry)
        yield from self._judge_cold()

    def _judge_entry(self, name, entry):
        at, load = entry.started_at, self.curves[name].get_at(entry.started_at)
        possible = self.bounds.get_possible(at)
        limit = max((p.warm_limit for p in possible), default=0)
        problems = []
        if name in self.engines:
            self.checked[1] += 1
            bound = self._get_load_bound(at, possible)
            if load > bound:
                problems.append((1, f"{name} has load {load}, bound {bound}"))
        if load > limit:
            problems.append((1, f"{name} has load {load}, configured limit {limit}"))
        zone = self._get_zone(name)
        if possible and all(zone in p.withdrawn for p in possible):
            problems.append((3, f"{name} in withdrawn {zone} got work"))
        self.checked[3] += is_common(p.withdrawn for p in possible)
        if possible and all(name in p.leaving for p in possible):
            problems.append((7, f"{name} got work after leaving was published"))
        left = self._find_left(at)
        if name in left:
            problems.append((7, f"{name} got work after the list showed it leaving"))
        self.checked[7] += bool(left) or is_common(p.leaving for p in possible)
        for number, text in problems:
            violation = Violation(number, text, at, entry.key)
            if self._is_late_send(entry):
                self.late_sends.append(violation)
            else:
                yield violation

    def _get_zone(self, name):
        return self.evidence.runner.listed[name]["zone"]

    def _get_load_bound(self, at, possible):
        since = at - DIGEST_KEPT_S - self.lease_s - SCHEDULING_S
        total = sum(self._get_group_peak(n, since, at) for n in self.engines)
        size = min(self._count_in_service(p, since, at) for p in possible)
        return floor(LOAD_FACTOR * total / max(1, size) + 1)

    def _get_group_peak(self, name, since, at):
        """Return the most slots of an engine that a home may have counted."""
        curve, events = self.curves[name], self.events[name]
        level, peak = curve.get_at(at), curve.get_peak(since, at)
        first = bisect_right(events, at, key=itemgetter(0))
        for index in range(first, len(events)):
            moment, change, entry = events[index]
            if moment > at + START_WITHIN_S:
                break
            if entry.started_at <= at or self._is_asked(entry, at):
                level += change
                peak = max(peak, level)
        return peak

    def _is_asked(self, entry, at):
        """Return whether a slot for this may exist; disconnects aren't recorded."""
        attempts = self.evidence.attempts_by_id.get(entry.key)
        return not attempts or any(a.started_at <= at for a in attempts)

    def _find_leaves(self):
        """Yield (upstream, shown leaving from, respected from, until, forgotten)."""
        get_deadline = self.bounds.get_list_deadline
        for span in self.evidence.get_spans(FaultKind.LEAVE, FaultKind.FLAP):
            respected = get_deadline(span.began_at)
            if span.fault.kind is FaultKind.FLAP:
                respected = float("inf")
            (name,) = span.fault.targets
            forgotten = get_deadline(span.ended_at)
            yield name, span.began_at, respected, span.ended_at, forgotten

    def _count_in_service(self, publication, since, at):
        left = {
            name
            for name, began, _, _, forgotten in self.leaves
            if began <= at and since <= forgotten
        }
        return sum(
            name not in publication.leaving
            and name not in left
            and self._get_zone(name) not in publication.withdrawn
            for name in self.engines
        )

    def _find_left(self, at):
        """Return the upstreams that must be known as leaving at a moment."""
        return {
            name
            for name, _, respected, until, _ in self.leaves
            if respected < at <= until
        }

    def _is_late_send(self, entry):
        """Return whether a paused process sent this after its last check.

        Section 6 of the design names this case: the caller's request reached the
        instance before it was frozen and the upstream saw it right after the
        instance went on.
        """
        key_owner = entry.key.split(".")[0]
        attempts = self.evidence.attempts_by_id.get(entry.key, [])
        for span in self.evidence.get_spans(FaultKind.FREEZE):
            resumed_s = entry.started_at - span.ended_at
            if span.fault.targets != (key_owner,) or not 0 <= resumed_s <= 0.5:
                continue
            if any(a.started_at <= span.began_at for a in attempts):
                return True
        return False

    def _judge_cold(self):
        """Judge starts at engines that were cold; the ramp waits while they are."""
        limit = self.evidence.deployment.preset.cold_limit
        for name, engine in self.evidence.deployment.engines.items():
            entries = self.evidence.entries[name]
            self.checked[2] += len(entries)
            for breach in engine.state.cold_breaches:
                if breach.cold_for_s <= self.sign_s:
                    continue
                near = min(entries, key=lambda e: abs(e.started_at - breach.at))
                text = (
                    f"{name}, cold for {breach.cold_for_s:.2f} s, has load "
                    f"{breach.in_flight}, limit {limit}"
                )
                violation = Violation(2, text, breach.at, near.key)
                if self._is_late_send(near):
                    self.late_sends.append(violation)
                else:
                    yield violation
