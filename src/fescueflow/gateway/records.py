"""Records of the instances of the fleet."""

from dataclasses import dataclass

from fescueflow.core import InstanceId, ZoneId


@dataclass(frozen=True)
class PeerRecord:
    """An instance; ``last_seen_at`` is the time of its last known report.

    ``capacity`` is the number of requests per second that it is meant for, and
    ``rate`` the number that it gets.
    """

    instance: InstanceId
    host: str
    callers_address: str
    zone: ZoneId
    incarnation: int
    sequence: int
    is_serving: bool
    last_seen_at: float
    capacity: float = 0.0
    rate: float = 0.0

    @property
    def version(self) -> tuple[int, int]:
        """Sort key of the records of one instance, the latest last."""
        return self.incarnation, self.sequence


__all__ = ["PeerRecord"]
