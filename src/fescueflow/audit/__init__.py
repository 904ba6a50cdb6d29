"""Hash-chained audit trail."""

from fescueflow.audit.trail import (
    AuditKind,
    AuditRecord,
    AuditTrail,
    compute_chain_digest,
    make_record_body,
)

__all__ = [
    "AuditKind",
    "AuditRecord",
    "AuditTrail",
    "compute_chain_digest",
    "make_record_body",
]
