"""Which instance this one asks for permits."""

import math
import threading
import zlib
from collections.abc import Callable

from fescueflow.core import InstanceId
from fescueflow.gateway.active_set import ACTIVE_MIN, order_instances
from fescueflow.gateway.peers import REPORT_INTERVAL_S, PeerTable
from fescueflow.gateway.records import PeerRecord
from fescueflow.routing import (
    CoordinatorCandidate,
    Service,
    ServiceId,
    Upstream,
    choose_coordinator,
    is_coordinated,
)

# Time after an unanswered request in which no permit is asked for, in seconds
# (docs/design/two-deployments.md, part 3).
UNANSWERED_PAUSE_S = 1.0
# The longest pause of any instance, in seconds. Pauses are spread by instance, so that
# the instances do not all ask again at the same moment.
UNANSWERED_PAUSE_MAX_S = 1.3
# Time for which an instance has served before it coordinates, in seconds, so that a
# rolling restart moves the coordinator less often.
SERVED_MIN_S = 3.0
# Time for which the coordinator of a service is used again, in seconds; instances hear
# of a change much later.
COORDINATOR_CACHE_S = 0.2


class Coordinators:
    """Finds the coordinators of services; thread-safe.

    Parameters
    ----------
    peers : PeerTable
    list_upstreams : callable
        Returns the upstreams of a service that may be handed out now.
    find_service : callable
        Returns a service of the configuration in force.
    """

    def __init__(
        self,
        *,
        peers: PeerTable,
        list_upstreams: Callable[[ServiceId], list[Upstream]],
        find_service: Callable[[ServiceId], Service | None],
    ) -> None:
        self._peers = peers
        self._list_upstreams = list_upstreams
        self._find_service = find_service
        self._lock = threading.Lock()
        self._paused_until: dict[InstanceId, float] = {}
        self._chosen: dict[ServiceId, tuple[float, PeerRecord | None]] = {}

    def find(self, service: ServiceId, now: float) -> PeerRecord | None:
        """Return the coordinator to ask, ``None`` if there is none or it is paused."""
        coordinator = self.find_chosen(service, now)
        if coordinator is None:
            return None
        paused_until = self._paused_until.get(coordinator.instance, -math.inf)
        return coordinator if paused_until <= now else None

    def find_chosen(self, service: ServiceId, now: float) -> PeerRecord | None:
        """Return the coordinator, paused or not, ``None`` if no permit is needed."""
        known = self._chosen.get(service)
        if known is None or not 0 <= now - known[0] < COORDINATOR_CACHE_S:
            known = now, self._choose(service, now)
            self._chosen[service] = known
        return known[1]

    def _choose(self, service: ServiceId, now: float) -> PeerRecord | None:
        known = self._find_service(service)
        if known is None or known.engine is not None:
            return None
        carrying = self._peers.list_carrying(now)
        slots = sum(upstream.slots for upstream in self._list_upstreams(service))
        if not is_coordinated(known, slots, len(carrying)):
            return None
        candidates = list_candidates(carrying, self._peers.list_serving(now))
        chosen = choose_coordinator(
            known,
            [CoordinatorCandidate(r.instance, r.capacity) for r in candidates],
        )
        return next((r for r in candidates if r.instance == chosen), None)

    def pause(self, coordinator: InstanceId, now: float) -> None:
        """Ask a coordinator that did not answer for no permit for some time."""
        own = self._peers.get_own_record().instance
        with self._lock:
            self._paused_until = {
                name: until for name, until in self._paused_until.items() if until > now
            }
            self._paused_until[coordinator] = now + compute_pause(own)


def compute_pause(instance: InstanceId) -> float:
    """Return the time for which an instance asks for no permit, in seconds."""
    share = zlib.crc32(instance.encode(errors="replace")) / 2**32
    return UNANSWERED_PAUSE_S + share * (UNANSWERED_PAUSE_MAX_S - UNANSWERED_PAUSE_S)


def list_candidates(
    carrying: list[PeerRecord], serving: list[PeerRecord]
) -> list[PeerRecord]:
    """Return the instances that may coordinate: the first active ones of each zone.

    Those that have just started are left out unless all have.

    Notes
    -----
    These are active whatever the demand is, so that the coordinator does not change
    with each wave of requests.
    """
    names = {record.instance for record in serving}
    zones: dict[str, list[PeerRecord]] = {}
    for record in carrying:
        if record.instance in names:
            zones.setdefault(record.zone, []).append(record)
    candidates = [
        record
        for records in zones.values()
        for record in order_instances(records)[:ACTIVE_MIN]
    ]
    # Each start of an instance numbers its reports from 1.
    settled = [r for r in candidates if r.sequence * REPORT_INTERVAL_S >= SERVED_MIN_S]
    return settled or candidates


__all__ = ["Coordinators"]
