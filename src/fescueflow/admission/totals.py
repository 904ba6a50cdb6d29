"""Total load of the groups of this instance's upstreams."""

from collections.abc import Callable

from fescueflow.admission.loads import (
    DigestTable,
    GroupLoad,
    list_in_service,
    sum_digests,
)
from fescueflow.admission.pool import SlotPool
from fescueflow.configuration import ConfigurationStore
from fescueflow.core import Clock, UpstreamId, hash_upstream
from fescueflow.membership import ListService
from fescueflow.platform import ListedUpstream
from fescueflow.rights import RightsService


class GroupTotals:
    """Sums known loads, from slot pools here and from digests for other homes."""

    def __init__(
        self,
        *,
        rights: RightsService,
        list_service: ListService,
        store: ConfigurationStore,
        digests: DigestTable,
        find_pool: Callable[[UpstreamId], SlotPool | None],
        clock: Clock,
    ) -> None:
        self._rights = rights
        self._list_service = list_service
        self._store = store
        self._digests = digests
        self._find_pool = find_pool
        self._clock = clock

    def sum_group(self, pool: SlotPool) -> GroupLoad:
        """Return the load of a pool's group within the region of its upstream."""
        group = pool.group
        snapshot = self._list_service.get_snapshot()
        configuration = self._store.get()
        if not pool.is_engine or snapshot is None or configuration is None:
            return GroupLoad(group.load_factor, 0, 1, False)
        # Digests stay within a region, so engines of other regions would count as
        # idle and lower the bound.
        members = [
            u
            for u in list_in_service(snapshot.upstreams, configuration, group.id)
            if u.region == pool.upstream.region
        ]
        now = self._clock.monotonic()
        local: list[ListedUpstream] = []
        remote: list[ListedUpstream] = []
        for upstream in members:
            if upstream.id != pool.upstream.id:
                own = self._rights.is_home(upstream)
                (local if own else remote).append(upstream)
        other_load = sum_digests(self._digests, remote, now)
        for upstream in local:
            other_load += self._count_known(upstream, now)
        return GroupLoad(group.load_factor, other_load, len(members), True)

    def _count_known(self, upstream: ListedUpstream, now: float) -> int:
        pool = self._find_pool(upstream.id)
        if pool is None:
            return self._digests.get(hash_upstream(upstream.id), now)
        with pool.lock:
            return pool.count_known(now)


__all__ = ["GroupTotals"]
