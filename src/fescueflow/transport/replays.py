"""Rejection of replayed datagrams."""

from collections import OrderedDict
from typing import Any

from fescueflow.core import Incarnation, InstanceId
from fescueflow.schema import CarriedLoad, LeaseRequest, LoadDigest
from fescueflow.transport.messages import Sender

# Contents whose replay would change state. Each carries its sender's sequence number;
# one that arrives late is rejected as well because it is out of date.
SEQUENCED_CONTENT_TYPES = (LeaseRequest, LoadDigest, CarriedLoad)
# Limits memory use. Holds three entries for each of 450 instances and for their
# restarts within a day.
ENTRIES_MAX = 4096

SequenceKey = tuple[InstanceId, Incarnation, type]


class ReplayFilter:
    """Highest sequence number by sender, incarnation and content type.

    Not thread-safe; only the receive task uses it.
    """

    def __init__(self) -> None:
        self._highest_sequences: OrderedDict[SequenceKey, int] = OrderedDict()

    def is_replayed(self, sender: Sender, content: Any) -> bool:
        """Return whether a content is a replay; if not, record its sequence number."""
        if not isinstance(content, SEQUENCED_CONTENT_TYPES):
            return False
        key = (sender.instance, sender.incarnation, type(content))
        if content.sequence <= self._highest_sequences.get(key, -1):
            return True
        self._highest_sequences[key] = content.sequence
        self._highest_sequences.move_to_end(key)
        if len(self._highest_sequences) > ENTRIES_MAX:
            self._highest_sequences.popitem(last=False)
        return False


__all__ = ["ReplayFilter"]
