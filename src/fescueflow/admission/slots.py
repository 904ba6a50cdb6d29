"""Types of slot demands, slots, refusals and load reports."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from fescueflow.core import CustomerId, Incarnation, InstanceId, Priority, SlotId
from fescueflow.membership import Member
from fescueflow.platform import ListedUpstream
from fescueflow.schema import SlotRefusalReason

# Instance that a slot is granted to.
Grantee = tuple[InstanceId, Incarnation]


@dataclass(frozen=True)
class SlotDemand:
    """Request for one slot.

    ``wait_s`` and ``deadline_s`` count from the time of the call. ``recallable``
    means that the requester can release the slot early and resume later,
    ``resumed`` that a part of the request has already run.
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
    """Right to start one request to an upstream before ``start_by``.

    ``start_by`` is on the local monotonic clock.
    """

    id: SlotId
    upstream: ListedUpstream
    home: Member
    start_by: float


@dataclass(frozen=True)
class SlotRefused:
    """Reason why no slot was granted, and when to retry."""

    reason: SlotRefusalReason
    retry_after_ms: int


@dataclass(frozen=True)
class LoadEvent:
    """One cache event of an engine."""

    sequence: int
    kind: str


@dataclass(frozen=True)
class LoadReport:
    """Load that an engine reported.

    ``taken_at`` is on the local monotonic clock and never later than the time at
    which the engine counted its requests.
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
        """Return the current report, with the events after ``after_event``.

        Raises
        ------
        PlatformUnavailable
            If the engine did not return a valid report.
        """

    def close(self) -> None:  # noqa: B027
        """Close open connections; does nothing by default."""


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
