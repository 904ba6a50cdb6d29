"""Audit trail: hash-chained records, buffered in memory for collection."""

import hashlib
import json
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from fescueflow.core import Clock


class AuditKind(Enum):
    """Kinds of audit records."""

    REQUEST_RAN = "request_ran"
    REQUEST_REFUSED = "request_refused"
    REQUEST_UNKNOWN = "request_unknown"
    CONFIGURATION_ACCEPTED = "configuration_accepted"
    CONFIGURATION_REFUSED = "configuration_refused"
    INSTANCE_CHANGED = "instance_changed"
    UPSTREAM_CHANGED = "upstream_changed"
    HANDOVER = "handover"
    INVARIANT_BREACH = "invariant_breach"
    STARTED = "started"
    STOPPED = "stopped"


@dataclass(frozen=True)
class AuditRecord:
    """A record of the audit trail.

    ``digest`` is the SHA-256 of the previous digest and this record's body, so
    that a missing or altered record can be detected.
    """

    sequence: int
    wall_s: float
    kind: AuditKind
    fields: dict[str, Any]
    digest: str

    def to_json(self, instance: str, incarnation: int) -> str:
        """Return the record as one JSON line."""
        body = make_record_body(self.sequence, self.wall_s, self.kind, self.fields)
        origin = {"instance": instance, "incarnation": f"{incarnation:016x}"}
        return json.dumps({**origin, **body, "digest": self.digest}, sort_keys=True)


def make_record_body(
    sequence: int, wall_s: float, kind: AuditKind, fields: dict[str, Any]
) -> dict[str, Any]:
    """Return the part of a record that its digest covers."""
    body = {"sequence": sequence, "wall_s": round(wall_s, 6), "kind": kind.value}
    return {**body, "fields": fields}


def compute_chain_digest(previous: str, body: dict[str, Any]) -> str:
    """Return the digest of a record, given the digest of its predecessor."""
    text = previous + json.dumps(body, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


class AuditTrail:
    """Audit trail of one incarnation of an instance.

    Parameters
    ----------
    instance : str
    incarnation : int
    clock : Clock
    records_max : int
        Maximum number of records kept. The oldest are dropped; a collector
        detects the gap by the sequence numbers.
    sink : callable, optional
        Called with each record as a JSON line, in chain order.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        clock: Clock,
        records_max: int,
        sink: Callable[[str], None] | None = None,
    ) -> None:
        self._sink = sink
        self.instance = instance
        self.incarnation = incarnation
        self._clock = clock
        self._lock = threading.Lock()
        self._records: deque[AuditRecord] = deque(maxlen=records_max)
        self._sequence = 0
        self._digest = ""

    def record(self, kind: AuditKind, **fields: Any) -> AuditRecord:
        """Append a record; field values must be JSON-serializable."""
        with self._lock:
            self._sequence += 1
            wall_s = self._clock.wall_time()
            body = make_record_body(self._sequence, wall_s, kind, fields)
            self._digest = compute_chain_digest(self._digest, body)
            entry = AuditRecord(self._sequence, wall_s, kind, fields, self._digest)
            self._records.append(entry)
            if self._sink is not None:
                self._sink(entry.to_json(self.instance, self.incarnation))
            return entry

    def read_after(self, sequence: int, count_max: int = 1000) -> list[AuditRecord]:
        """Return up to ``count_max`` records after a sequence number, oldest first."""
        with self._lock:
            if not self._records:
                return []
            first = self._records[0].sequence
            start = max(0, sequence + 1 - first)
            stop = min(len(self._records), start + count_max)
            return [self._records[index] for index in range(start, stop)]


__all__ = [
    "AuditKind",
    "AuditRecord",
    "AuditTrail",
    "compute_chain_digest",
    "make_record_body",
]
