"""Demands, slots, refusals and load reports."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from fescueflow.core import CustomerId, Incarnation, InstanceId, Priority, SlotId
from fescueflow.membership import Member
from fescueflow.platform import ListedUpstream
from fescueflow.schema import SlotRefusalReason

Grantee = tuple[InstanceId, Incarnation]


@dataclass(frozen=True)
class SlotDemand:
    """Request for one slot; ``wait_s`` and ``deadline_s`` count from now.

    ``recallable`` says that the requester can give the slot back early and go on
    later, ``resumed`` that the request has run in part.
    """

    request_key: str
    upstream: ListedUpstream
    customer: CustomerId
    priority: Priority
    share: int
    wait_s: float
    deadline_s: float
    recallable: bool = False
    resumed: bool = False


@dataclass(frozen=True)
class Slot:
    """Right to send one request to an upstream before ``start_by``."""

    id: SlotId
    upstream: ListedUpstream
    home: Member
    start_by: float


@dataclass(frozen=True)
class SlotRefused:
    """Why no slot was granted."""

    reason: SlotRefusalReason
    retry_after_ms: int


@dataclass(frozen=True)
class LoadEvent:
    """One cache event of an engine."""

    sequence: int
    kind: str


@dataclass(frozen=True)
class LoadReport:
    """Load of an engine as it reported it.

    ``taken_at`` is on the local monotonic clock and not later than the moment
    at which the engine counted.
    """

    incarnation: str
    in_flight: int
    warm: bool
    taken_at: float
    events: tuple[LoadEvent, ...] = ()


class LoadReader(ABC):
    """Reads load reports of engines."""

    @abstractmethod
    def read(self, upstream: ListedUpstream, after_event: int) -> LoadReport:
        """Return the present report.

        Raises
        ------
        PlatformUnavailable
            If the engine gave no usable report.
        """

    def close(self) -> None:  # noqa: B027
        """Release what the reader keeps open; nothing by default."""


@dataclass(frozen=True)
class UpstreamStatus:
    """State of an upstream at its home."""

    upstream: ListedUpstream
    in_flight: int
    limit: int
    cold: bool
    queued: int


__all__ = [
    "Grantee",
    "LoadEvent",
    "LoadReader",
    "LoadReport",
    "Slot",
    "SlotDemand",
    "SlotRefused",
    "UpstreamStatus",
]
