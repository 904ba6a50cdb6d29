"""Indirect probes: those that this instance relays and those it asked for."""

from collections import OrderedDict
from dataclasses import dataclass

from fescueflow.core import InstanceId
from fescueflow.schema import MemberRecord, MemberState, PingAck

PENDING_MAX = 256
FAILED = (MemberState.SUSPECT, MemberState.DEAD)


@dataclass(frozen=True)
class RelayedProbe:
    """A probe made for another member."""

    target: InstanceId
    requester: str
    sequence: int


class RelayTable:
    """Unanswered indirect probes by ping sequence; the oldest are dropped."""

    def __init__(self) -> None:
        self._relayed: OrderedDict[int, RelayedProbe] = OrderedDict()
        self._asked: OrderedDict[int, InstanceId] = OrderedDict()

    def add_relayed(self, sequence: int, probe: RelayedProbe) -> None:
        """Note a ping that was sent for another member."""
        self._relayed[sequence] = probe
        if len(self._relayed) > PENDING_MAX:
            self._relayed.popitem(last=False)

    def add_asked(self, sequence: int, target: InstanceId) -> None:
        """Note a probe that other members were asked to make."""
        self._asked[sequence] = target
        if len(self._asked) > PENDING_MAX:
            self._asked.popitem(last=False)

    def take_relayed(self, sender: InstanceId, sequence: int) -> RelayedProbe | None:
        """Return the probe that this answer of its target belongs to."""
        probe = self._relayed.get(sequence)
        if probe is None or probe.target != sender:
            return None
        return self._relayed.pop(sequence)

    def find_answer(self, ack: PingAck) -> MemberRecord | None:
        """Return the target's record in the answer to a probe that was asked for."""
        target = self._asked.get(ack.sequence)
        for record in ack.records:
            if record.instance == target and record.state not in FAILED:
                del self._asked[ack.sequence]
                return record
        return None


__all__ = ["RelayTable", "RelayedProbe"]
