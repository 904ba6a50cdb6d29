"""What datagrams and frames have in common: senders, refusals and counters."""

from dataclasses import dataclass

from fescueflow.core import Incarnation, InstanceId
from fescueflow.metrics import Metrics
from fescueflow.schema import Datagram, Frame


class MessageRejected(Exception):
    """A message that changes nothing; ``reason`` is a metrics label."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True)
class Sender:
    """Origin of a message.

    ``address`` is the source address of the datagram or connection; of a
    connection it is not the address that the sender listens on.
    """

    instance: InstanceId
    incarnation: Incarnation
    address: str


def read_sender(
    message: Datagram | Frame, own: InstanceId, incarnation: Incarnation, address: str
) -> Sender:
    """Return the sender of an authentic message.

    Parameters
    ----------
    message : Datagram or Frame
    own : InstanceId
        This instance.
    incarnation : Incarnation
        Of this instance.
    address : str
        Where the message came from.

    Raises
    ------
    MessageRejected
        If it names no sender, or another process with this instance's id.
    """
    if not message.sender:
        raise MessageRejected("malformed")
    if message.sender == own and message.incarnation != incarnation:
        raise MessageRejected("own_id")
    return Sender(InstanceId(message.sender), Incarnation(message.incarnation), address)


class MessageCounter:
    """Counters of one kind of messages.

    Parameters
    ----------
    metrics : Metrics
    kind : str
        ``datagram`` or ``frame``.
    """

    def __init__(self, metrics: Metrics, kind: str) -> None:
        self._metrics = metrics
        self._messages, self._bytes = f"{kind}s", f"{kind}_bytes"
        self._rejected = f"{kind}s_rejected"

    def count(self, direction: str, name: str, size: int) -> None:
        """Count a message that was sent or received."""
        self._metrics.count(self._messages, direction=direction, type=name)
        self._metrics.count(self._bytes, size, direction=direction, type=name)

    def count_rejected(self, reason: str) -> None:
        """Count a message that changes nothing."""
        self._metrics.count(self._rejected, reason=reason)


__all__ = ["MessageCounter", "MessageRejected", "Sender", "read_sender"]
