"""Invariants that are checked at run time.

A breach is counted and recorded in the audit trail. An exception is raised only in
strict mode, which tests use; in production the instance continues.
"""

from enum import Enum
from typing import Any

from fescueflow.audit import AuditKind, AuditTrail
from fescueflow.core import FescueflowError
from fescueflow.metrics import Metrics


class Invariant(Enum):
    """Names of the checked invariants."""

    SLOTS_WITHIN_RIGHTS = "slots_within_rights"
    COLD_LIMIT = "cold_limit"
    LOAD_BOUND = "load_bound"
    NO_WORK_TO_WITHDRAWN_ZONE = "no_work_to_withdrawn_zone"
    NO_WORK_TO_LEAVING_UPSTREAM = "no_work_to_leaving_upstream"
    RECORD_TRANSITION = "record_transition"
    NOT_RUN_AFTER_TOMBSTONE = "not_run_after_tombstone"
    ANSWER_MATCHES_REQUEST = "answer_matches_request"
    REVISION_NEVER_DECREASES = "revision_never_decreases"
    SHARE_LENT_ONCE = "share_lent_once"
    NOTHING_RUNNING_AT_EXIT = "nothing_running_at_exit"


class InvariantBreach(FescueflowError):
    """An invariant was breached."""


class Invariants:
    """Checks and reports the invariants of an instance.

    Parameters
    ----------
    metrics : Metrics
    audit : AuditTrail
    strict : bool
        Whether a breach raises ``InvariantBreach``.
    """

    def __init__(self, metrics: Metrics, audit: AuditTrail, strict: bool) -> None:
        self._metrics = metrics
        self._audit = audit
        self._strict = strict

    def check(self, invariant: Invariant, holds: bool, **fields: Any) -> None:
        """Report a breach unless the condition holds.

        Parameters
        ----------
        invariant : Invariant
        holds : bool
        **fields
            Observed values for the audit record, JSON-serializable.

        Raises
        ------
        InvariantBreach
            In strict mode only.
        """
        if holds:
            return
        self._metrics.count("invariant_breaches", invariant=invariant.value)
        self._audit.record(
            AuditKind.INVARIANT_BREACH, invariant=invariant.value, seen=fields
        )
        if self._strict:
            raise InvariantBreach(f"{invariant.value}: {fields}")


__all__ = ["Invariant", "InvariantBreach", "Invariants"]
