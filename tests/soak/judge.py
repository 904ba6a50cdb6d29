"""Judges all guarantees of section 1.1 of the design at once."""

from collections import defaultdict

from tests.soak.bounds import Bounds
from tests.soak.evidence import Violation
from tests.soak.judge_load import LoadJudge
from tests.standins.results import ResultKind

NAMES = {
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
INVARIANT_GUARANTEES = {
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
# A connection that the kernel accepted while the server was closing holds no
# request that the instance took.
CLOSING_S = 1.0
LOST_CONNECTION = (
    "RemoteDisconnected",
    "IncompleteRead",
    "ConnectionReset",
    "BrokenPipe",
    "stream ended without",
)


class Judge:
    """Collects the violations of one run."""

    def __init__(self, evidence, timings):
        self.evidence = evidence
        self.bounds = Bounds(evidence)
        self.load = LoadJudge(evidence, self.bounds, timings)
        self.checked = defaultdict(int)
        self.slowest_s = 0.0

    def judge(self):
        """Return all violations."""
        violations = [
            *self._judge_invariants(),
            *self.load.judge(),
            *self._judge_withdrawn_instances(),
            *self._judge_content(),
            *self._judge_refusals(),
            *self._judge_executions(),
            *self._judge_shutdowns(),
            *self._judge_order(),
            *self._judge_in_force(),
        ]
        self.checked.update(self.load.checked)
        return violations

    def _judge_invariants(self):
        for name, records in self.evidence.audit.items():
            for at, record in records:
                if record["kind"] == "invariant_breach":
                    fields = record["fields"]
                    number = INVARIANT_GUARANTEES[fields["invariant"]]
                    seen = fields["seen"]
                    key = seen.get("request_id") or seen.get("key")
                    text = f"{name} counted {fields['invariant']}: {seen}"
                    yield Violation(number, text, at, key)

    def _judge_withdrawn_instances(self):
        """Yield answers that instances of a withdrawn zone gave to new callers."""
        zones = self.evidence.zones
        for attempt in self.evidence.attempts:
            zone = zones.get(attempt.address)
            possible = self.bounds.get_possible(attempt.started_at)
            if attempt.status != 200 or not possible:
                continue
            if all(zone in p.withdrawn for p in possible):
                text = f"{attempt.instance} in withdrawn {zone} served a new call"
                at, key = attempt.started_at, attempt.request_id
                yield Violation(3, text, at, key, attempt.tag)

    def _judge_content(self):
        for attempt in self.evidence.attempts:
            self.checked[4] += attempt.status == 200
            if attempt.kind is ResultKind.WRONG_CONTENT:
                text = f"wrong content: {attempt.detail}"
                at, key = attempt.ended_at, attempt.request_id
                yield Violation(4, text, at, key, attempt.tag)

    def _judge_refusals(self):
        for attempt in self.evidence.attempts:
            refused = attempt.kind is ResultKind.NOT_RUN and attempt.error_type
            if not refused or not attempt.request_id:
                continue
            self.checked[5] += 1
            ran = self.evidence.by_key.get(attempt.request_id)
            if ran:
                text = f"{attempt.error_type} said not_run, it ran at {ran[0][0]}"
                at, key = attempt.ended_at, attempt.request_id
                yield Violation(5, text, at, key, attempt.tag)

    def _judge_executions(self):
        paid = {a.request_id for a in self.evidence.attempts if a.non_idempotent}
        for key in paid - {None}:
            self.checked[6] += 1
            runs = self.evidence.by_key.get(key, ())
            if len(runs) > 1:
                text = f"request {key} ran {len(runs)} times"
                yield Violation(6, text, runs[1][1].started_at, key)
        for message, runs in self.evidence.by_message.items():
            paths = ("/payouts", "/bookings")
            paid_runs = [e for _, e in runs if e.path.endswith(paths)]
            if len(paid_runs) > 1:
                first, second = paid_runs[:2]
                text = f"{message} ran as {first.key} and as {second.key}"
                yield Violation(6, text, second.started_at, second.key)

    def _judge_shutdowns(self):
        attempts = defaultdict(list)
        for attempt in self.evidence.attempts:
            attempts[attempt.address].append(attempt)
        for name, asked_at, ended_at, code in self.evidence.runner.exits:
            self.checked[8] += 1
            if code != 0:
                yield Violation(8, f"{name} exited with {code}", ended_at)
            for attempt in attempts[self.evidence.addresses[name]]:
                if attempt.started_at < ended_at and attempt.ended_at > asked_at:
                    yield from self._judge_interrupted(name, ended_at, attempt)

    def _judge_interrupted(self, name, ended_at, attempt):
        lost = attempt.error_type is None and attempt.kind in (
            ResultKind.CUT,
            ResultKind.OUTCOME_UNKNOWN,
        )
        if not lost or not any(text in attempt.detail for text in LOST_CONNECTION):
            return
        taken = self.evidence.by_key.get(attempt.request_id)
        if taken or attempt.started_at < ended_at - CLOSING_S:
            text = f"{name} cut a request while it was leaving: {attempt.detail}"
            key, at = attempt.request_id, attempt.ended_at
            yield Violation(8, text, at, key, attempt.tag)

    def _get_accepted(self):
        """Return {(instance, incarnation): [(time, revision)]} and start times."""
        accepted, lives = defaultdict(list), {}
        for name, records in self.evidence.audit.items():
            for at, record in records:
                life = (name, record["incarnation"])
                began, _ = lives.get(life, (at, at))
                lives[life] = (began, at)
                if record["kind"] == "configuration_accepted":
                    accepted[life].append((at, record["fields"]["revision"]))
        return accepted, lives

    def _judge_order(self):
        invalid = {
            p.revision for p in self.evidence.operators.publications if not p.valid
        }
        for life, rows in self._get_accepted()[0].items():
            revisions = [revision for _, revision in rows]
            self.checked[9] += len(revisions)
            for (_, before), (at, after) in zip(rows, rows[1:], strict=False):
                if after <= before:
                    text = f"{life} went from revision {before} to {after}"
                    yield Violation(9, text, at)
            for at, revision in rows:
                if revision in invalid:
                    yield Violation(9, f"{life} accepted invalid {revision}", at)

    def _judge_in_force(self):
        accepted, lives = self._get_accepted()
        for publication in self.bounds.publications:
            due = self.bounds.get_configuration_deadline(publication.at)
            due += self.evidence.stall_s
            for life, (began, ended) in lives.items():
                if began > publication.at or ended < due or self._is_frozen(life, due):
                    continue
                self.checked[9] += 1
                reached = (at for at, r in accepted[life] if r >= publication.revision)
                reached_at = min(reached, default=float("inf"))
                self.slowest_s = max(self.slowest_s, reached_at - publication.at)
                if reached_at > due:
                    text = (
                        f"{life} did not have revision {publication.revision} "
                        f"{due - publication.at:.1f} s after its publication"
                    )
                    yield Violation(9, text, due)

    def _is_frozen(self, life, due):
        name = life[0]
        return any(
            s.fault.targets == (name,) and s.overlaps(due - 5.0, due)
            for s in self.evidence.runner.spans
            if s.fault.kind.value == "freeze"
        )
