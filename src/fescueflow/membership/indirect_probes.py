"""Pending indirect probes, both relayed and requested by this instance."""

from collections import OrderedDict
from dataclasses import dataclass

from fescueflow.core import InstanceId
from fescueflow.schema import MemberRecord, MemberState, PingAck

UNANSWERED_PROBES_MAX = 256
FAILED_STATES = (MemberState.SUSPECT, MemberState.DEAD)


@dataclass(frozen=True)
class RelayedProbe:
    """A probe that this instance makes on behalf of another member.

    Attributes
    ----------
    target : InstanceId
        Member that is probed.
    requester : str
        Address of the member that requested the probe.
    sequence : int
        Sequence of the requester's own ping.
    """

    target: InstanceId
    requester: str
    sequence: int


class IndirectProbes:
    """Unanswered indirect probes by ping sequence.

    Beyond 256 of a kind the oldest are dropped.
    """

    def __init__(self) -> None:
        self._relayed: OrderedDict[int, RelayedProbe] = OrderedDict()
        self._requested: OrderedDict[int, InstanceId] = OrderedDict()

    def add_relayed(self, sequence: int, probe: RelayedProbe) -> None:
        """Record a ping that is sent on behalf of another member."""
        self._relayed[sequence] = probe
        if len(self._relayed) > UNANSWERED_PROBES_MAX:
            self._relayed.popitem(last=False)

    def add_requested(self, sequence: int, target: InstanceId) -> None:
        """Record a probe that other members are asked to make."""
        self._requested[sequence] = target
        if len(self._requested) > UNANSWERED_PROBES_MAX:
            self._requested.popitem(last=False)

    def take_relayed(self, sender: InstanceId, sequence: int) -> RelayedProbe | None:
        """Remove and return the relayed probe that an answer belongs to, if any."""
        probe = self._relayed.get(sequence)
        if probe is None or probe.target != sender:
            return None
        return self._relayed.pop(sequence)

    def take_requested(self, ack: PingAck) -> MemberRecord | None:
        """Return the target's record from the answer to a requested probe.

        The probe is removed. ``None`` if the answer belongs to no requested probe
        or reports the target as suspect or dead.
        """
        target = self._requested.get(ack.sequence)
        for record in ack.records:
            if record.instance == target and record.state not in FAILED_STATES:
                del self._requested[ack.sequence]
                return record
        return None


__all__ = ["IndirectProbes", "RelayedProbe"]
