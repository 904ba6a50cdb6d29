"""Senders, rejection and counters of datagrams and frames."""

from dataclasses import dataclass

from fescueflow.core import Incarnation, InstanceId
from fescueflow.metrics import Metrics
from fescueflow.schema import Datagram, Frame


class MessageRejected(Exception):
    """A message was rejected without effect; ``reason`` is a metrics label."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True)
class Sender:
    """Instance and process that sent a message.

    ``address`` is the source address of the datagram or connection. For a
    connection it differs from the address that the sender listens on.
    """

    instance: InstanceId
    incarnation: Incarnation
    address: str


def read_sender(
    message: Datagram | Frame,
    own_instance: InstanceId,
    own_incarnation: Incarnation,
    address: str,
) -> Sender:
    """Return the sender of an authentic message.

    Parameters
    ----------
    message : Datagram or Frame
    own_instance : InstanceId
    own_incarnation : Incarnation
    address : str
        Source address of the message.

    Raises
    ------
    MessageRejected
        If the message names no sender, or was sent by another process with the
        id of this instance.
    """
    if not message.sender:
        raise MessageRejected("malformed")
    if message.sender == own_instance and message.incarnation != own_incarnation:
        raise MessageRejected("own_id")
    return Sender(InstanceId(message.sender), Incarnation(message.incarnation), address)


class MessageCounter:
    """Counters of datagrams or of frames.

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

    def count(self, direction: str, type_name: str, size: int) -> None:
        """Count a message that was sent or received."""
        self._metrics.count(self._messages, direction=direction, type=type_name)
        self._metrics.count(self._bytes, size, direction=direction, type=type_name)

    def count_rejected(self, reason: str) -> None:
        """Count a rejected message."""
        self._metrics.count(self._rejected, reason=reason)


__all__ = ["MessageCounter", "MessageRejected", "Sender", "read_sender"]
