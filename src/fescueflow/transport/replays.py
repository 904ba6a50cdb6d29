"""Refusal of datagrams that were recorded and sent again."""

from collections import OrderedDict
from typing import Any

from fescueflow.core import Incarnation, InstanceId
from fescueflow.schema import CarriedLoad, LeaseRequest, LoadDigest
from fescueflow.transport.messages import Sender

# Contents that would do harm when they come again. Their senders count them, so a
# late one is refused as well: it is out of date.
ORDERED_CONTENTS = (LeaseRequest, LoadDigest, CarriedLoad)
# Bounds the memory; three entries for each of 450 instances and their restarts
# within a day.
ENTRIES_MAX = 4096

Key = tuple[InstanceId, Incarnation, type]


class SequenceGuard:
    """Highest sequence by sender, incarnation and content type.

    The task that receives datagrams uses it.
    """

    def __init__(self) -> None:
        self._highest: OrderedDict[Key, int] = OrderedDict()

    def is_replayed(self, sender: Sender, content: Any) -> bool:
        """Return whether a content must be refused, otherwise note its sequence."""
        if not isinstance(content, ORDERED_CONTENTS):
            return False
        key = (sender.instance, sender.incarnation, type(content))
        if content.sequence <= self._highest.get(key, -1):
            return True
        self._highest[key] = content.sequence
        self._highest.move_to_end(key)
        if len(self._highest) > ENTRIES_MAX:
            self._highest.popitem(last=False)
        return False


__all__ = ["SequenceGuard"]
