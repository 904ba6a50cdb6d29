"""Which instance hands out permits for a service, and where permits are used.

All instances compute the same coordinator from the records that they report to each
other, without messages of their own.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fescueflow.core import InstanceId, score_candidate
from fescueflow.routing.model import Service

# Instances from which permits are used: fewer hear of each other in every report, and
# know what the others run without a coordinator.
COORDINATED_INSTANCES_MIN = 13


@dataclass(frozen=True, slots=True)
class CoordinatorCandidate:
    """A serving instance that may coordinate; ``capacity`` is in requests a second."""

    instance: InstanceId
    capacity: float


def is_coordinated(service: Service | None, slots: int, instances: int) -> bool:
    """Return whether requests to a service need permits.

    Parameters
    ----------
    service : Service or None
        ``None`` if the configuration does not name it.
    slots : int
        Sum over the service's upstreams.
    instances : int
        Number of instances that carry requests.
    """
    if service is None or service.engine is not None:
        return False
    return instances >= COORDINATED_INSTANCES_MIN and 0 < slots < instances


def choose_coordinator(
    service: Service, candidates: Iterable[CoordinatorCandidate]
) -> InstanceId | None:
    """Return the coordinator of a service, ``None`` without a candidate.

    Notes
    -----
    The largest instances come first, as the work of a small one would delay its
    callers; among equal ones, the rendezvous score decides.
    """
    chosen = max(
        candidates,
        key=lambda c: (
            c.capacity,
            score_candidate(f"permits {service.id}", str(c.instance)),
            c.instance,
        ),
        default=None,
    )
    return chosen.instance if chosen is not None else None


__all__ = [
    "COORDINATED_INSTANCES_MIN",
    "CoordinatorCandidate",
    "choose_coordinator",
    "is_coordinated",
]
