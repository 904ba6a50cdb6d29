"""Registry of the owner tables of this instance, its own and adopted ones."""

import threading

from fescueflow.audit import AuditKind, AuditTrail
from fescueflow.core import Clock, Incarnation, InstanceId, PeerError
from fescueflow.invariants import Invariants
from fescueflow.membership import Member, MembershipService
from fescueflow.metrics import Metrics
from fescueflow.requests.handover import (
    HandoverAssembler,
    choose_successor,
    split_table,
)
from fescueflow.requests.identifiers import ParsedRequestId, RequestIdCodec
from fescueflow.requests.table import OwnerTable
from fescueflow.schema import Acknowledgement, HandoverTable, Settings
from fescueflow.transport import FrameClient, FrameServer, Sender

HANDOVER_TIMEOUT_S = 5.0


class TableRegistry:
    """Owner tables by the incarnation that issued their ids.

    Attributes
    ----------
    own : OwnerTable
        Table of the ids that this incarnation issues.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        codec: RequestIdCodec,
        membership: MembershipService,
        frame_client: FrameClient,
        frame_server: FrameServer,
        clock: Clock,
        metrics: Metrics,
        audit: AuditTrail,
        invariants: Invariants,
        incarnation: Incarnation,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._membership = membership
        self._frame_client = frame_client
        self._clock = clock
        self._metrics = metrics
        self._audit = audit
        self._invariants = invariants
        self._lock = threading.Lock()
        self._closed = False
        self._handed_over = False
        self._assembler = HandoverAssembler(settings.request_records_max)
        instance = InstanceId(settings.instance_id)
        self.own = self._make_table(instance, incarnation)
        self._tables = {(instance, incarnation): self.own}
        frame_server.register(HandoverTable, self._handle_handover)

    def find(self, parsed: ParsedRequestId) -> OwnerTable | None:
        """Return the owner table of an id, ``None`` if another instance owns it."""
        with self._lock:
            return self._tables.get((parsed.instance, parsed.incarnation))

    def close(self) -> None:
        """Issue no more ids and adopt no more tables."""
        with self._lock:
            self._closed = True
            for table in self._tables.values():
                table.close()

    def suspend(self) -> None:
        """Reject ids without a record in all tables."""
        self.close()
        with self._lock:
            for table in self._tables.values():
                table.suspend()

    def hand_over(self) -> bool:
        """Send all tables to one successor; a second call does nothing.

        Returns
        -------
        bool
            Whether the successor adopted every table.
        """
        self.close()
        with self._lock:
            if self._handed_over:
                return False
            self._handed_over = True
            tables = [
                table for table in self._tables.values() if not table.is_exhausted()
            ]
        sealed = [table.seal() for table in tables]
        own = self._membership.get_own_member()
        successor = choose_successor(
            own.instance, own.zone, self._membership.get_live()
        )
        complete = successor is not None
        for content in sealed:
            complete = complete and self._send_table(successor, content)
        return complete

    def limit_records(self) -> None:
        """Evict finished records until the number of records is within the limit."""
        with self._lock:
            tables = list(self._tables.values())
        while sum(map(len, tables)) > self._settings.request_records_max:
            if not max(tables, key=len).evict():
                break
            self._metrics.count("request_records_evicted")

    def _make_table(self, instance: InstanceId, incarnation: Incarnation) -> OwnerTable:
        return OwnerTable(
            instance=instance,
            incarnation=incarnation,
            lifetime_s=float(self._settings.request_id_lifetime_s),
            codec=self._codec,
            clock=self._clock,
            invariants=self._invariants,
        )

    def _handle_handover(self, sender: Sender, part: HandoverTable) -> Acknowledgement:
        key = (InstanceId(part.owner.instance), Incarnation(part.owner.incarnation))
        with self._lock:
            accepted = not self._closed and key not in self._tables
            accepted = accepted and self._assembler.add(
                sender, part, self._clock.monotonic()
            )
            if not accepted or not part.last:
                return Acknowledgement(accepted)
            received = self._assembler.take(key)
            table = self._make_table(*key)
            owned = [
                (table.format_id(record.sequence), record)
                for record in received.records
            ]
            table.restore(received.floor, received.next, owned)
            self._tables[key] = table
        self.limit_records()
        self._membership.announce_adopted(*key)
        self._audit.record(
            AuditKind.HANDOVER,
            owner=part.owner.instance,
            incarnation=f"{part.owner.incarnation:016x}",
            sender=sender.instance,
            records=len(owned),
            adopted=True,
        )
        return Acknowledgement(True)

    def _send_table(self, successor: Member | None, content: HandoverTable) -> bool:
        accepted = successor is not None
        if successor is not None:
            try:
                for part in split_table(content):
                    answer = self._frame_client.exchange(
                        successor.peer_address, part, HANDOVER_TIMEOUT_S, reuse=False
                    )
                    accepted = isinstance(answer, Acknowledgement) and answer.accepted
                    if not accepted:
                        break
            except PeerError:
                accepted = False
        self._metrics.count("handovers", result="accepted" if accepted else "failed")
        self._audit.record(
            AuditKind.HANDOVER,
            owner=content.owner.instance,
            incarnation=f"{content.owner.incarnation:016x}",
            successor=successor.instance if successor else None,
            records=len(content.records),
            accepted=accepted,
        )
        return accepted


__all__ = ["TableRegistry"]
