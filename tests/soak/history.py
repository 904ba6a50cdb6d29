"""Records of a run: ledgers, attempts, audit records and faults."""

import json
import time
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field

TRACE_BEFORE_S = 8.0
TRACE_LINES_MAX = 30


@dataclass(frozen=True)
class Violation:
    """One breach of a guarantee.

    Attributes
    ----------
    guarantee : int
        Number in ``checker.GUARANTEE_NAMES``.
    text : str
        What was observed.
    at : float, optional
        Monotonic seconds.
    key : str, optional
        Request key.
    tag : str, optional
        Tag of the caller's call.
    """

    guarantee: int
    text: str
    at: float | None = None
    key: str | None = None
    tag: str | None = None


@dataclass
class RunHistory:
    """Everything recorded in one run; times are monotonic seconds.

    Attributes
    ----------
    attempts : list of AttemptRecord
    logs : dict
        Log text by instance.
    stall_s : float
        Longest delay of a periodic thread, which extends deadlines.
    audit : dict
        ``(time, record)`` of the audit lines by instance.
    entries : dict
        Ledger entries by upstream.
    entries_by_key, entries_by_message : dict
        ``(upstream, entry)`` by request key and by message.
    """

    deployment: object
    injector: object
    publisher: object
    attempts: list
    logs: dict
    started_at: float
    stall_s: float = 0.0
    audit: dict = field(default_factory=dict)
    entries: dict = field(default_factory=dict)
    addresses_by_instance: dict = field(default_factory=dict)
    zones_by_address: dict = field(default_factory=dict)

    def __post_init__(self):
        self.audit = {n: list(parse_audit_log(text)) for n, text in self.logs.items()}
        upstreams = self.deployment.get_upstreams()
        self.entries = {n: u.ledger.get_entries() for n, u in upstreams.items()}
        self.entries_by_key = defaultdict(list)
        self.entries_by_message = defaultdict(list)
        for name, entries in self.entries.items():
            for entry in entries:
                self.entries_by_key[entry.key].append((name, entry))
                self.entries_by_message[entry.message].append((name, entry))
        self.attempts_by_id = defaultdict(list)
        for attempt in self.attempts:
            self.attempts_by_id[attempt.request_id].append(attempt)

    def get_fault_spans(self, *kinds):
        """Return the faults of some kinds as they happened."""
        return [s for s in self.injector.spans if s.fault.kind in kinds]

    def print_trace(self, violation, write):
        """Print the faults around a breach and all records of its request."""
        at = violation.at
        attempts = self.attempts_by_id.get(violation.key, []) if violation.key else []
        if violation.tag:
            attempts = [a for a in self.attempts if a.tag == violation.tag]
        if at is None and attempts:
            at = attempts[0].started_at
        write(f"  at {self._format_time(at)}; faults around it:")
        for span in sorted(self.injector.spans, key=lambda s: s.began_at):
            if at is None or span.overlaps(at - TRACE_BEFORE_S, at + 2.0):
                began, ended = (
                    self._format_time(span.began_at),
                    self._format_time(span.ended_at),
                )
                write(f"    {began} to {ended}: {span.fault}")
        for attempt in attempts[:TRACE_LINES_MAX]:
            interval = (
                f"{self._format_time(attempt.started_at)} to "
                f"{self._format_time(attempt.ended_at)}"
            )
            write(f"    caller {interval}: {attempt}")
        keys = {violation.key, *(a.request_id for a in attempts)} - {None, ""}
        for key in keys:
            for name, entry in self.entries_by_key.get(key, [])[:TRACE_LINES_MAX]:
                write(
                    f"    ledger {name} {self._format_time(entry.started_at)}: {entry}"
                )
            for name, records in self.audit.items():
                for at, record in records:
                    if key in json.dumps(record):
                        write(f"    audit {name} {self._format_time(at)}: {record}")

    def _format_time(self, at):
        return "?" if at is None else f"{at - self.started_at:.2f} s"


def parse_audit_log(text):
    """Yield (monotonic time, record) of the audit lines of a log."""
    offset = time.monotonic() - time.time()
    for line in text.splitlines():
        if not line.startswith("{"):
            continue
        try:
            record = json.loads(line)
        except ValueError:
            continue
        if "wall_s" in record:
            yield record["wall_s"] + offset, record


class LoadCurve:
    """Requests in flight at one upstream over time."""

    def __init__(self, entries):
        points = []
        for entry in entries:
            points.append((entry.started_at, 1))
            if entry.ended_at is not None:
                points.append((entry.ended_at, -1))
        points.sort()
        self.times, self.counts, level = [], [], 0
        for at, change in points:
            level += change
            self.times.append(at)
            self.counts.append(level)

    def get_at(self, at):
        """Return the load just after a time, in requests."""
        index = bisect_left(self.times, at + 1e-9) - 1
        return self.counts[index] if index >= 0 else 0

    def get_peak(self, start, end):
        """Return the largest load between two times, in requests."""
        low, high = bisect_left(self.times, start), bisect_left(self.times, end + 1e-9)
        return max([self.get_at(start), *self.counts[low:high]])
