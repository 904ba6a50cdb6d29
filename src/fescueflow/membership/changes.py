"""Reports member changes to the audit trail, the log and subscribers."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

import logbook

from fescueflow.audit import AuditKind, AuditTrail
from fescueflow.core import InstanceId
from fescueflow.membership.members import Member
from fescueflow.membership.table import MemberTable
from fescueflow.metrics import Metrics

log = logbook.Logger("membership")


class ChangeReporter:
    """Reports members that differ from what was last reported.

    Parameters
    ----------
    table : MemberTable
        Current members; guarded by the lock of the membership service.
    metrics : Metrics
    audit : AuditTrail
    """

    def __init__(self, table: MemberTable, metrics: Metrics, audit: AuditTrail) -> None:
        self._table = table
        self._metrics = metrics
        self._audit = audit
        self._lock = threading.Lock()
        self._reported: dict[InstanceId, Member] = {}
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of any field but the sequence."""
        with self._lock:
            self._callbacks.append(callback)

    def collect(
        self, instances: Iterable[InstanceId] | None = None
    ) -> list[tuple[Member | None, Member]]:
        """Return (old, new) of each changed member; the caller holds the table's lock.

        Parameters
        ----------
        instances : iterable of InstanceId, optional
            Members to compare; all by default.
        """
        if instances is None:
            present = {e.member.instance for e in self._table.iterate()}
            instances = present | self._reported.keys()
        changed: list[tuple[Member | None, Member]] = []
        for instance in instances:
            entry = self._table.get(instance)
            if entry is None:
                self._reported.pop(instance, None)
                continue
            old, new = self._reported.get(instance), entry.get_observed()
            if old is new:
                continue
            self._reported[instance] = new
            if old is None or replace(new, sequence=old.sequence) != old:
                changed.append((old, new))
        return changed

    def report(self, changed: list[tuple[Member | None, Member]]) -> None:
        """Report collected changes; called without the table's lock."""
        for old, new in changed:
            if old is None or (old.incarnation, old.state) != (
                new.incarnation,
                new.state,
            ):
                self.report_state_change(new)
        if changed:
            self.notify_subscribers()

    def report_state_change(self, member: Member) -> None:
        """Count, audit and log a member's new state."""
        state = member.state.value
        incarnation_hex = f"{member.incarnation:016x}"
        self._metrics.count("member_changes", state=state)
        self._audit.record(
            AuditKind.INSTANCE_CHANGED,
            instance=member.instance,
            incarnation=incarnation_hex,
            state=state,
        )
        log.info("instance {} ({}) is {}", member.instance, incarnation_hex, state)

    def notify_subscribers(self) -> None:
        """Call all subscribers; one that fails does not stop the others."""
        with self._lock:
            callbacks = list(self._callbacks)
        for callback in callbacks:
            try:
                callback()
            except Exception as error:
                self._metrics.count("callback_errors", source="membership")
                log.error("callback for changed members failed: {!r}", error)


__all__ = ["ChangeReporter"]
