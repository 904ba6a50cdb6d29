"""Hash-chained audit trail."""

from fescueflow.audit.trail import (
    AuditKind,
    AuditRecord,
    AuditTrail,
    chain_digest,
    describe_record,
)

__all__ = ["AuditKind", "AuditRecord", "AuditTrail", "chain_digest", "describe_record"]
