"""Checks all guarantees of section 1.1 of the design against one run."""

from collections import defaultdict

from tests.soak.history import Violation
from tests.soak.load_checker import LoadChecker
from tests.soak.propagation import PropagationDeadlines
from tests.standins.results import ResultKind

GUARANTEE_NAMES = {
    1: "load bound and limits",
    2: "cold start",
    3: "withdrawn zone",
    4: "complete responses",
    5: "truthful refusal",
    6: "at most once",
    7: "leaving upstream",
    8: "graceful shutdown",
    9: "configuration in force",
    10: "service after healing",
}
GUARANTEE_OF_INVARIANT = {
    "slots_within_rights": 1,
    "load_bound": 1,
    "share_lent_once": 1,
    "cold_limit": 2,
    "no_work_to_withdrawn_zone": 3,
    "answer_matches_request": 4,
    "not_run_after_tombstone": 5,
    "record_transition": 6,
    "no_work_to_leaving_upstream": 7,
    "nothing_running_at_exit": 8,
    "revision_never_decreases": 9,
}
# How long before the end of a process the kernel may accept connections for the
# closing server; the instance took no request from them.
CLOSING_TIME_S = 1.0
# Parts of the details of attempts whose connection was lost.
LOST_CONNECTION_DETAILS = (
    "RemoteDisconnected",
    "IncompleteRead",
    "ConnectionReset",
    "BrokenPipe",
    "stream ended without",
)


class GuaranteeChecker:
    """Checks the records of one run.

    Parameters
    ----------
    history : RunHistory
    timings : mapping of str to int
        Settings of the instances.

    Attributes
    ----------
    checked : dict of int to int
        Number of checks by guarantee.
    slowest_in_force_s : float
        Longest time from a publication to its acceptance by an instance.
    """

    def __init__(self, history, timings):
        self.history = history
        self.deadlines = PropagationDeadlines(history)
        self.load_checker = LoadChecker(history, self.deadlines, timings)
        self.checked = defaultdict(int)
        self.slowest_in_force_s = 0.0

    def check(self):
        """Return all violations."""
        violations = [
            *self._check_invariants(),
            *self.load_checker.check(),
            *self._check_withdrawn_instances(),
            *self._check_content(),
            *self._check_refusals(),
            *self._check_executions(),
            *self._check_shutdowns(),
            *self._check_revision_order(),
            *self._check_in_force(),
        ]
        self.checked.update(self.load_checker.checked)
        return violations

    def _check_invariants(self):
        for name, records in self.history.audit.items():
            for at, record in records:
                if record["kind"] == "invariant_breach":
                    fields = record["fields"]
                    number = GUARANTEE_OF_INVARIANT[fields["invariant"]]
                    seen = fields["seen"]
                    key = seen.get("request_id") or seen.get("key")
                    text = f"{name} counted a breach of {fields['invariant']}: {seen}"
                    yield Violation(number, text, at, key)

    def _check_withdrawn_instances(self):
        """Yield new calls that instances of a withdrawn zone served."""
        zones = self.history.zones_by_address
        for attempt in self.history.attempts:
            zone = zones.get(attempt.address)
            possible = self.deadlines.get_possible_publications(attempt.started_at)
            if attempt.status != 200 or not possible:
                continue
            if all(zone in p.withdrawn for p in possible):
                text = f"{attempt.instance} in withdrawn {zone} served a new call"
                at, key = attempt.started_at, attempt.request_id
                yield Violation(3, text, at, key, attempt.tag)

    def _check_content(self):
        for attempt in self.history.attempts:
            self.checked[4] += attempt.status == 200
            if attempt.kind is ResultKind.WRONG_CONTENT:
                text = f"wrong content: {attempt.detail}"
                at, key = attempt.ended_at, attempt.request_id
                yield Violation(4, text, at, key, attempt.tag)

    def _check_refusals(self):
        for attempt in self.history.attempts:
            refused = attempt.kind is ResultKind.NOT_RUN and attempt.error_type
            if not refused or not attempt.request_id:
                continue
            self.checked[5] += 1
            ran = self.history.entries_by_key.get(attempt.request_id)
            if ran:
                text = (
                    f"{attempt.error_type} reported not_run, but the request ran at "
                    f"{ran[0][0]}"
                )
                at, key = attempt.ended_at, attempt.request_id
                yield Violation(5, text, at, key, attempt.tag)

    def _check_executions(self):
        non_idempotent_keys = {
            a.request_id for a in self.history.attempts if a.non_idempotent
        }
        for key in non_idempotent_keys - {None}:
            self.checked[6] += 1
            runs = self.history.entries_by_key.get(key, ())
            if len(runs) > 1:
                text = f"request {key} ran {len(runs)} times"
                yield Violation(6, text, runs[1][1].started_at, key)
        for message, runs in self.history.entries_by_message.items():
            paths = ("/payouts", "/bookings")
            non_idempotent_runs = [e for _, e in runs if e.path.endswith(paths)]
            if len(non_idempotent_runs) > 1:
                first, second = non_idempotent_runs[:2]
                text = f"{message} ran as {first.key} and as {second.key}"
                yield Violation(6, text, second.started_at, second.key)

    def _check_shutdowns(self):
        attempts = defaultdict(list)
        for attempt in self.history.attempts:
            attempts[attempt.address].append(attempt)
        for name, requested_at, ended_at, code in self.history.injector.shutdowns:
            self.checked[8] += 1
            if code != 0:
                yield Violation(8, f"{name} exited with code {code}", ended_at)
            for attempt in attempts[self.history.addresses_by_instance[name]]:
                if attempt.started_at < ended_at and attempt.ended_at > requested_at:
                    yield from self._check_interrupted(name, ended_at, attempt)

    def _check_interrupted(self, name, ended_at, attempt):
        lost = attempt.error_type is None and attempt.kind in (
            ResultKind.CUT,
            ResultKind.OUTCOME_UNKNOWN,
        )
        if not lost or not any(
            text in attempt.detail for text in LOST_CONNECTION_DETAILS
        ):
            return
        executions = self.history.entries_by_key.get(attempt.request_id)
        if executions or attempt.started_at < ended_at - CLOSING_TIME_S:
            text = f"{name} cut a request while it was leaving: {attempt.detail}"
            key, at = attempt.request_id, attempt.ended_at
            yield Violation(8, text, at, key, attempt.tag)

    def _get_accepted_revisions(self):
        """Return accepted revisions and lifetimes by (instance, incarnation).

        The former are lists of (time, revision), the latter (first, last) times of
        audit records.
        """
        accepted, lifetimes = defaultdict(list), {}
        for name, records in self.history.audit.items():
            for at, record in records:
                process = (name, record["incarnation"])
                began, _ = lifetimes.get(process, (at, at))
                lifetimes[process] = (began, at)
                if record["kind"] == "configuration_accepted":
                    accepted[process].append((at, record["fields"]["revision"]))
        return accepted, lifetimes

    def _check_revision_order(self):
        invalid = {
            p.revision for p in self.history.publisher.publications if not p.valid
        }
        for process, rows in self._get_accepted_revisions()[0].items():
            revisions = [revision for _, revision in rows]
            self.checked[9] += len(revisions)
            for (_, before), (at, after) in zip(rows, rows[1:], strict=False):
                if after <= before:
                    text = f"{process} changed from revision {before} to {after}"
                    yield Violation(9, text, at)
            for at, revision in rows:
                if revision in invalid:
                    yield Violation(
                        9, f"{process} accepted the invalid revision {revision}", at
                    )

    def _check_in_force(self):
        accepted, lifetimes = self._get_accepted_revisions()
        for publication in self.deadlines.publications:
            deadline = self.deadlines.get_configuration_deadline(publication.at)
            deadline += self.history.stall_s
            for process, (began, ended) in lifetimes.items():
                if (
                    began > publication.at
                    or ended < deadline
                    or self._is_frozen(process, deadline)
                ):
                    continue
                self.checked[9] += 1
                reached = (
                    at for at, r in accepted[process] if r >= publication.revision
                )
                reached_at = min(reached, default=float("inf"))
                self.slowest_in_force_s = max(
                    self.slowest_in_force_s, reached_at - publication.at
                )
                if reached_at > deadline:
                    text = (
                        f"{process} had not accepted revision {publication.revision} "
                        f"{deadline - publication.at:.1f} s after its publication"
                    )
                    yield Violation(9, text, deadline)

    def _is_frozen(self, process, deadline):
        name = process[0]
        return any(
            s.fault.targets == (name,) and s.overlaps(deadline - 5.0, deadline)
            for s in self.history.injector.spans
            if s.fault.kind.value == "freeze"
        )
