"""Checks guarantees 1, 2, 3 and 7 and the configured limits from the ledgers."""

from bisect import bisect_right
from math import floor
from operator import itemgetter

from tests.soak.history import LoadCurve, Violation
from tests.soak.schedule import FaultKind

LOAD_FACTOR = 1.25
# How long a home uses another home's load digest (``admission.loads``).
DIGEST_LIFETIME_S = 3.0
# How late tasks of an instance may run on a busy machine.
SCHEDULING_DELAY_S = 1.0
# How long after the grant of a slot its request may reach the engine.
GRANT_TO_START_S = 1.0


def have_common_element(sets):
    """Return whether there are sets and all share an element."""
    sets = list(sets)
    return bool(sets and frozenset.intersection(*sets))


def list_load_changes(entries):
    """Return (time, change of the load, entry) by time."""
    events = [(entry.started_at, 1, entry) for entry in entries]
    events += [(e.ended_at, -1, e) for e in entries if e.ended_at is not None]
    return sorted(events, key=itemgetter(0))


class LoadChecker:
    """Checks every start of a request at an upstream.

    Parameters
    ----------
    history : RunHistory
    deadlines : PropagationDeadlines
    timings : mapping of str to int
        Settings of the instances.

    Attributes
    ----------
    cold_detection_s : float
        Time within which a home must know that an engine turned cold.
    allowed_late_sends : list of Violation
        Findings that the design allows; see ``_is_allowed_late_send``.

    Notes
    -----
    The load bound is computed from the largest load that the group had while a
    digest still in use can have been sent, and from the smallest number of
    engines in service that a home may have known. A slot counts from its grant,
    so the group's load includes requests that callers sent before a start and
    that reached their engines up to 1 s after it.
    """

    def __init__(self, history, deadlines, timings):
        self.history, self.deadlines = history, deadlines
        self.lease_s = timings["lease_ms"] / 1000
        interval_s = timings["load_report_interval_ms"] / 1000
        lag_s = timings["load_report_lag_ms"] / 1000
        self.cold_detection_s = interval_s + lag_s + self.lease_s + SCHEDULING_DELAY_S
        self.curves = {n: LoadCurve(e) for n, e in history.entries.items()}
        self.events = {n: list_load_changes(e) for n, e in history.entries.items()}
        self.engines = list(history.deployment.engines)
        self.checked = {number: 0 for number in (1, 2, 3, 7)}
        self.departures = list(self._compute_departures())
        self.allowed_late_sends = []

    def check(self):
        """Yield violations."""
        for name, entries in self.history.entries.items():
            for entry in entries:
                yield from self._check_entry(name, entry)
        yield from self._check_cold_starts()

    def _check_entry(self, name, entry):
        at, load = entry.started_at, self.curves[name].get_at(entry.started_at)
        possible = self.deadlines.get_possible_publications(at)
        limit = max((p.warm_limit for p in possible), default=0)
        problems = []
        if name in self.engines:
            self.checked[1] += 1
            bound = self._compute_load_bound(at, possible)
            if load > bound:
                problems.append((1, f"{name} has load {load}, bound {bound}"))
        if load > limit:
            problems.append((1, f"{name} has load {load}, configured limit {limit}"))
        zone = self._get_zone(name)
        if possible and all(zone in p.withdrawn for p in possible):
            problems.append((3, f"{name} in withdrawn {zone} received work"))
        self.checked[3] += have_common_element(p.withdrawn for p in possible)
        if possible and all(name in p.leaving for p in possible):
            problems.append((7, f"{name} received work after its leave was published"))
        departed = self._find_departed(at)
        if name in departed:
            problems.append(
                (7, f"{name} received work after the list showed its leave")
            )
        self.checked[7] += bool(departed) or have_common_element(
            p.leaving for p in possible
        )
        for number, text in problems:
            violation = Violation(number, text, at, entry.key)
            if self._is_allowed_late_send(entry):
                self.allowed_late_sends.append(violation)
            else:
                yield violation

    def _get_zone(self, name):
        return self.history.injector.listed_upstreams[name]["zone"]

    def _compute_load_bound(self, at, possible):
        since = at - DIGEST_LIFETIME_S - self.lease_s - SCHEDULING_DELAY_S
        total = sum(self._compute_peak_slots(n, since, at) for n in self.engines)
        size = min(self._count_engines_in_service(p, since, at) for p in possible)
        return floor(LOAD_FACTOR * total / max(1, size) + 1)

    def _compute_peak_slots(self, name, since, at):
        """Return the largest number of an engine's slots that a home may count."""
        curve, events = self.curves[name], self.events[name]
        level, peak = curve.get_at(at), curve.get_peak(since, at)
        first = bisect_right(events, at, key=itemgetter(0))
        for index in range(first, len(events)):
            time, change, entry = events[index]
            if time > at + GRANT_TO_START_S:
                break
            if entry.started_at <= at or self._may_hold_slot(entry, at):
                level += change
                peak = max(peak, level)
        return peak

    def _may_hold_slot(self, entry, at):
        """Return whether a request may have held a slot before it reached its engine.

        Requests without recorded attempts come from abandoned streams and count.
        """
        attempts = self.history.attempts_by_id.get(entry.key)
        return not attempts or any(a.started_at <= at for a in attempts)

    def _compute_departures(self):
        """Yield (upstream, start, respected from, end, forgotten by) of each departure.

        From ``respected`` on, new work must avoid the upstream; by ``forgotten``,
        every home counts it as in service again. A flap removes the upstream from
        the list without showing it as leaving, so it need never be respected.
        """
        get_deadline = self.deadlines.get_list_deadline
        for span in self.history.get_fault_spans(
            FaultKind.UPSTREAM_LEAVE, FaultKind.UPSTREAM_FLAP
        ):
            respected = get_deadline(span.began_at)
            if span.fault.kind is FaultKind.UPSTREAM_FLAP:
                respected = float("inf")
            (name,) = span.fault.targets
            forgotten = get_deadline(span.ended_at)
            yield name, span.began_at, respected, span.ended_at, forgotten

    def _count_engines_in_service(self, publication, since, at):
        """Return the fewest engines in service that a home may count in an interval."""
        departed = {
            name
            for name, began, _, _, forgotten in self.departures
            if began <= at and since <= forgotten
        }
        return sum(
            name not in publication.leaving
            and name not in departed
            and self._get_zone(name) not in publication.withdrawn
            for name in self.engines
        )

    def _find_departed(self, at):
        """Return the upstreams that homes must know as leaving at a time."""
        return {
            name
            for name, _, respected, until, _ in self.departures
            if respected < at <= until
        }

    def _is_allowed_late_send(self, entry):
        """Return whether an instance was frozen between its last check and the send.

        Section 6 of the design describes this case: the caller's request reached
        the instance before the freeze, and the upstream received it right after
        the instance resumed.
        """
        key_owner = entry.key.split(".")[0]
        attempts = self.history.attempts_by_id.get(entry.key, [])
        for span in self.history.get_fault_spans(FaultKind.INSTANCE_FREEZE):
            resumed_s = entry.started_at - span.ended_at
            if span.fault.targets != (key_owner,) or not 0 <= resumed_s <= 0.5:
                continue
            if any(a.started_at <= span.began_at for a in attempts):
                return True
        return False

    def _check_cold_starts(self):
        """Check starts at cold engines.

        The ramp up to the warm limit doesn't start while an engine is cold.
        """
        limit = self.history.deployment.preset.cold_limit
        for name, engine in self.history.deployment.engines.items():
            entries = self.history.entries[name]
            self.checked[2] += len(entries)
            for breach in engine.state.cold_breaches:
                if breach.cold_for_s <= self.cold_detection_s:
                    continue
                near = min(entries, key=lambda e: abs(e.started_at - breach.at))
                text = (
                    f"{name}, cold for {breach.cold_for_s:.2f} s, has load "
                    f"{breach.in_flight}, limit {limit}"
                )
                violation = Violation(2, text, breach.at, near.key)
                if self._is_allowed_late_send(near):
                    self.allowed_late_sends.append(violation)
                else:
                    yield violation
