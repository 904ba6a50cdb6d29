"""Enumerations shared by several packages."""

from enum import Enum, IntEnum


class Outcome(Enum):
    """Whether a refused or failed request ran at an upstream."""

    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"
    RAN = "ran"


class Priority(IntEnum):
    """Priority of a waiting request; the lowest value is served first."""

    INTERACTIVE = 0
    STANDARD = 1
    LOOKUP = 2
    BATCH = 3


class UpstreamKind(Enum):
    """Kind of an upstream group."""

    ENGINE = "engine"
    SERVICE = "service"


class ListState(Enum):
    """State of an instance or upstream in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


__all__ = ["ListState", "Outcome", "Priority", "UpstreamKind"]
