"""Order in which requests that wait for a permit are served."""

import heapq
import itertools
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import NewType

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing.model import ServiceId

PermitId = NewType("PermitId", str)
# Mean durations left before the objective below which a request counts as late. With
# just the mean, half of those that are granted last would miss it: 41 instead of 60 %
# were in time at 1.25 times the capacity (tests/routing/permit_load.py).
OBJECTIVE_DURATIONS = 1.5
# Time without a grant after which a group of waiting requests is served like the most
# urgent one, in seconds (docs/design/two-deployments.md, part 3).
GROUP_WAIT_MAX_S = 0.5


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request that needs a permit; times are those of the coordinator's clock.

    ``objective_at`` is the end of the latency objective, ``is_returning`` whether the
    caller was refused before, and ``avoid`` holds upstreams that it can't be sent to.
    """

    id: PermitId
    instance: InstanceId
    service: ServiceId
    priority: int
    deadline_at: float
    objective_at: float
    is_returning: bool = False
    avoid: frozenset[UpstreamId] = frozenset()


@dataclass
class WaitingGroup:
    """Waiting requests of one priority that all can or all can't meet the objective.

    ``waits_since`` is the time of the last grant, or of the first request after it.
    """

    waits_since: float
    size: int = 0
    heap: list[tuple[tuple[float, int], PermitRequest]] = field(default_factory=list)


# Priority, and whether the objective can't be met any more.
GroupKey = tuple[int, bool]


class PermitQueue:
    """Waiting requests of a service; not thread-safe.

    Notes
    -----
    Groups are served by priority, and of one priority those that still meet the
    objective first. Within a group, the nearest objective comes first; among requests
    that miss it, callers that return as told, then the first to arrive.
    """

    def __init__(self) -> None:
        self._groups: dict[GroupKey, WaitingGroup] = {}
        self._keys: dict[PermitId, GroupKey] = {}
        self._deadlines: list[tuple[float, int, PermitRequest]] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, permit: PermitId) -> bool:
        return permit in self._keys

    def add(self, request: PermitRequest, mean_s: float, now: float) -> None:
        """Append a request.

        Parameters
        ----------
        request : PermitRequest
        mean_s : float
            Mean duration of the service's requests, in seconds.
        now : float
        """
        order = next(self._order)
        self._insert(request, is_late(request, mean_s, now), order, now)
        heapq.heappush(self._deadlines, (request.deadline_at, order, request))

    def remove(self, permit: PermitId) -> bool:
        """Remove a request; return whether it was waiting."""
        key = self._keys.pop(permit, None)
        if key is None:
            return False
        self._groups[key].size -= 1
        return True

    def count_ahead(self, request: PermitRequest, mean_s: float, now: float) -> int:
        """Return the number of requests that are served before a new one."""
        self._move_late(mean_s, now)
        own = (request.priority, is_late(request, mean_s, now))
        return sum(group.size for key, group in self._groups.items() if key <= own)

    def pop(
        self, mean_s: float, now: float, free: AbstractSet[UpstreamId]
    ) -> PermitRequest | None:
        """Remove and return the next request that can use a free upstream."""
        self._move_late(mean_s, now)
        for key in sorted(self._groups, key=lambda key: self._rank(key, now)):
            request = self._pop_group(self._groups[key], free)
            if request is not None:
                del self._keys[request.id]
                self._groups[key].size -= 1
                self._groups[key].waits_since = now
                return request
        return None

    def pop_hopeless(self, mean_s: float, now: float) -> list[PermitRequest]:
        """Remove and return the requests that would end after their deadline."""
        hopeless = []
        while self._deadlines and self._deadlines[0][0] < now + mean_s:
            _, _, request = heapq.heappop(self._deadlines)
            if self.remove(request.id):
                hopeless.append(request)
        return hopeless

    def pop_stranded(self, usable: AbstractSet[UpstreamId]) -> list[PermitRequest]:
        """Remove and return the requests that none of the upstreams may serve."""
        return [
            request
            for group in self._groups.values()
            for _, request in group.heap
            if not usable - request.avoid and self.remove(request.id)
        ]

    def _insert(
        self, request: PermitRequest, late: bool, order: int, waits_since: float
    ) -> None:
        key = (request.priority, late)
        group = self._groups.setdefault(key, WaitingGroup(waits_since))
        if not group.size:
            group.waits_since = waits_since
            group.heap.clear()
        rank = float(not request.is_returning) if late else request.objective_at
        heapq.heappush(group.heap, ((rank, order), request))
        group.size += 1
        self._keys[request.id] = key

    def _move_late(self, mean_s: float, now: float) -> None:
        """Move the requests that can't meet their objective any more."""
        for (priority, late), group in list(self._groups.items()):
            while not late and group.heap:
                (_, order), request = group.heap[0]
                if not is_late(request, mean_s, now):
                    break
                heapq.heappop(group.heap)
                if self._keys.get(request.id) == (priority, False):
                    group.size -= 1
                    # It goes on waiting since its group was served last.
                    self._insert(request, True, order, group.waits_since)

    def _rank(self, key: GroupKey, now: float) -> tuple[int, float, bool]:
        waits_since = self._groups[key].waits_since
        if self._groups[key].size and now - waits_since > GROUP_WAIT_MAX_S:
            return 0, waits_since, False
        return 1, *key

    def _pop_group(
        self, group: WaitingGroup, free: AbstractSet[UpstreamId]
    ) -> PermitRequest | None:
        """Return the first request of a group that can use a free upstream."""
        passed, found = [], None
        while group.heap and found is None:
            entry = heapq.heappop(group.heap)
            if entry[1].id not in self._keys:
                continue
            if free - entry[1].avoid:
                found = entry[1]
            else:
                passed.append(entry)
        for entry in passed:
            heapq.heappush(group.heap, entry)
        return found


def is_late(request: PermitRequest, mean_s: float, now: float) -> bool:
    """Return whether a request is expected to miss its latency objective."""
    return request.objective_at < now + OBJECTIVE_DURATIONS * mean_s


__all__ = ["GROUP_WAIT_MAX_S", "PermitId", "PermitQueue", "PermitRequest"]
