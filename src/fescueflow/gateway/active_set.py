"""Choice of the instances to which callers are sent.

In a fleet of hundreds of instances, each would get a few requests a second: too few to
know the loads and caches of the upstreams, or to keep connections to them. Callers of a
zone are therefore sent to as many instances as its requests need, the active ones. All
instances choose them from the same order, so that views differ for at most a second
after a change. The others serve whatever reaches them, and replace active ones that
fail.
"""

import math
from collections import deque
from collections.abc import Iterable, Sequence

from fescueflow.core import score_candidate
from fescueflow.gateway.records import PeerRecord

# Most requests a second that an active instance is meant for. An instance with half a
# core bears several times as many, so that a burst finds room until the set has grown.
REQUESTS_PER_INSTANCE = 12.0
# The same for each standard core and each Mbit/s of the link. Bodies of 12 KB and the
# streams of several callers at once must not wait for each other on a link of 5 Mbit/s.
REQUESTS_PER_CORE = 24.0
REQUESTS_PER_MBPS = 0.8
# Smallest number of active instances of a zone, so that one failure leaves most.
ACTIVE_MIN = 4
# Window over which requests are counted, in seconds: shorter than most bursts.
RATE_WINDOW_S = 2.0
# Time constant with which the highest rate is forgotten, in seconds, so that the set
# does not follow each wave of requests.
PEAK_DECAY_S = 10.0
# Rate from which an instance outside of the set counts as carrying requests.
CARRYING_RATE_MIN = 0.2


class RateMeter:
    """Recent highest rate of requests; not thread-safe."""

    def __init__(self) -> None:
        self._requests: deque[float] = deque()
        self._peak = 0.0
        self._measured_at = 0.0

    def record(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        if now - self._requests[0] > RATE_WINDOW_S:
            self._trim(now)

    def measure(self, now: float) -> float:
        """Return requests per second, at least the slowly forgotten highest rate."""
        self._trim(now)
        kept = math.exp(-max(0.0, now - self._measured_at) / PEAK_DECAY_S)
        self._peak = max(len(self._requests) / RATE_WINDOW_S, self._peak * kept)
        self._measured_at = now
        return self._peak

    def _trim(self, now: float) -> None:
        while self._requests and now - self._requests[0] > RATE_WINDOW_S:
            self._requests.popleft()


def compute_capacity(cpu_cores: float, link_mbps: float) -> float:
    """Return the requests per second that an active instance is meant for.

    Parameters
    ----------
    cpu_cores : float
        Processor's share in standard cores.
    link_mbps : float
        Bandwidth of its link in Mbit/s.
    """
    return min(
        REQUESTS_PER_INSTANCE,
        REQUESTS_PER_CORE * cpu_cores,
        REQUESTS_PER_MBPS * link_mbps,
    )


def order_instances(records: Iterable[PeerRecord]) -> list[PeerRecord]:
    """Return the instances of a zone in the order in which they become active.

    Notes
    -----
    Larger instances come first. Among equal ones a hash decides, so that the order does
    not follow the names.
    """
    return sorted(
        records,
        key=lambda record: (
            -record.capacity,
            score_candidate("active", str(record.instance)),
        ),
    )


def choose_active(
    serving: Sequence[PeerRecord], zone_records: Iterable[PeerRecord]
) -> list[PeerRecord]:
    """Return the active instances of a zone: as many as its requests need.

    Parameters
    ----------
    serving : sequence of PeerRecord
        Instances of the zone that serve callers.
    zone_records : iterable of PeerRecord
        All instances of the zone that were heard of recently: requests of those that
        have just failed need instances, too.
    """
    needed = sum(record.rate for record in zone_records)
    chosen: list[PeerRecord] = []
    for record in order_instances(serving):
        if needed <= 0 and len(chosen) >= ACTIVE_MIN:
            break
        chosen.append(record)
        # Earlier versions tell no capacity.
        needed -= record.capacity or REQUESTS_PER_INSTANCE
    return chosen


__all__ = [
    "ACTIVE_MIN",
    "CARRYING_RATE_MIN",
    "RateMeter",
    "choose_active",
    "compute_capacity",
    "order_instances",
]
