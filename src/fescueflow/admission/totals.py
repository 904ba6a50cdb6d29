"""Load of the groups of this instance's upstreams."""

from collections.abc import Callable

from fescueflow.admission.gate import Gate
from fescueflow.admission.loads import (
    DigestBook,
    GroupLoad,
    list_in_service,
    sum_digests,
)
from fescueflow.configuration import ConfigurationStore
from fescueflow.core import Clock, UpstreamId, hash_upstream
from fescueflow.membership import ListService
from fescueflow.platform import ListedUpstream
from fescueflow.rights import RightsService


class GroupTotals:
    """Sums known loads: own gates directly, other homes by their digests."""

    def __init__(
        self,
        *,
        rights: RightsService,
        list_service: ListService,
        store: ConfigurationStore,
        digests: DigestBook,
        find_gate: Callable[[UpstreamId], Gate | None],
        clock: Clock,
    ) -> None:
        self._rights = rights
        self._list_service = list_service
        self._store = store
        self._digests = digests
        self._find_gate = find_gate
        self._clock = clock

    def sum_group(self, gate: Gate) -> GroupLoad:
        """Return the load bound of a gate's upstream within its region."""
        group = gate.group
        snapshot = self._list_service.get_snapshot()
        configuration = self._store.get()
        if not gate.is_engine or snapshot is None or configuration is None:
            return GroupLoad(group.load_factor, 0, 1, False)
        # Digests stay within a region: engines of others would count as idle.
        members = [
            u
            for u in list_in_service(snapshot.upstreams, configuration, group.id)
            if u.region == gate.upstream.region
        ]
        now = self._clock.monotonic()
        mine: list[ListedUpstream] = []
        theirs: list[ListedUpstream] = []
        for upstream in members:
            if upstream.id != gate.upstream.id:
                own = self._rights.is_home(upstream)
                (mine if own else theirs).append(upstream)
        others = sum_digests(self._digests, theirs, now)
        for upstream in mine:
            others += self._count_known(upstream, now)
        return GroupLoad(group.load_factor, others, len(members), True)

    def _count_known(self, upstream: ListedUpstream, now: float) -> int:
        gate = self._find_gate(upstream.id)
        if gate is None:
            return self._digests.get(hash_upstream(upstream.id), now)
        with gate.lock:
            return gate.count_known(now)


__all__ = ["GroupTotals"]
