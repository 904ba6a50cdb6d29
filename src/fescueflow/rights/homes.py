"""Choice of the home of each upstream from the membership."""

import threading
from collections.abc import Iterable

from fescueflow.core import (
    Clock,
    InstanceId,
    UpstreamId,
    UpstreamRef,
    choose_candidate,
    hash_upstream,
)
from fescueflow.membership import Member, MembershipService
from fescueflow.platform import ListedUpstream

# A member that becomes suspect after a timeout causes no notification, so the
# membership is read at least this often.
REFRESH_S = 0.1


class HomeMap:
    """Home of each upstream, cached while the membership does not change.

    Parameters
    ----------
    membership : MembershipService
    clock : Clock
    """

    def __init__(self, *, membership: MembershipService, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._lock = threading.Lock()
        self._refreshed_at = float("-inf")
        self._view: dict[str, Member] = {}
        self._homes: dict[UpstreamId, str | None] = {}
        self._generation = 0
        self._version = 0
        self._cache_key: tuple[int, InstanceId, tuple[ListedUpstream, ...]] | None = (
            None
        )
        self._cached_upstreams: list[ListedUpstream] = []

    def invalidate(self) -> None:
        """Read the membership again at the next choice."""
        with self._lock:
            self._refreshed_at = float("-inf")
            self._generation += 1

    def choose(self, upstream: ListedUpstream) -> Member | None:
        """Return the home of an upstream, ``None`` if no instance is live."""
        self._refresh()
        with self._lock:
            view = self._view
            if upstream.id in self._homes:
                home = self._homes[upstream.id]
                return view[home] if home is not None else None
        home = choose_candidate(f"home\0{upstream.id}", find_eligible(view, upstream))
        with self._lock:
            if self._view is view:
                self._homes[upstream.id] = home
        return view[home] if home is not None else None

    def list_upstreams_of(
        self, instance: InstanceId, upstreams: tuple[ListedUpstream, ...]
    ) -> list[ListedUpstream]:
        """Return the upstreams whose home is the given instance.

        The result is cached while neither the membership nor the list changes,
        because it is needed several times per second for thousands of upstreams.
        """
        self._refresh()
        with self._lock:
            version, known = self._version, self._cache_key
            if known and known[:2] == (version, instance) and known[2] is upstreams:
                return list(self._cached_upstreams)
        chosen = ((upstream, self.choose(upstream)) for upstream in upstreams)
        homes = [u for u, home in chosen if home and home.instance == instance]
        with self._lock:
            self._cache_key = (version, instance, upstreams)
            self._cached_upstreams = homes
        return list(homes)

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        with self._lock:
            if now - self._refreshed_at < REFRESH_S:
                return
            generation = self._generation
        view = select_list_readers(self._membership.get_live())
        with self._lock:
            if describe_view(view) != describe_view(self._view):
                self._homes = {}
                self._version += 1
            self._view = view
            if generation == self._generation:
                self._refreshed_at = now


class UpstreamIndex:
    """Listed upstreams by reference, cached while the list does not change.

    A lease request names a few of thousands of upstreams, and many requests
    arrive between two changes of the list.
    """

    def __init__(self) -> None:
        self._index: tuple[
            tuple[ListedUpstream, ...], dict[UpstreamRef, ListedUpstream]
        ] = ((), {})

    def find(
        self, upstreams: tuple[ListedUpstream, ...], refs: Iterable[UpstreamRef]
    ) -> dict[UpstreamRef, ListedUpstream]:
        """Return the listed upstreams with the given references."""
        listed, index = self._index
        if listed is not upstreams:
            index = {hash_upstream(upstream.id): upstream for upstream in upstreams}
            self._index = (upstreams, index)
        return {ref: index[ref] for ref in refs if ref in index}


def select_list_readers(live: list[Member]) -> dict[str, Member]:
    """Return live instances by id: those that can read the list, else all.

    A home that can't read the list while others can would continue to admit
    requests for an upstream that leaves.
    """
    readers = {str(m.instance): m for m in live if m.list_readable}
    return readers or {str(m.instance): m for m in live}


def describe_view(view: dict[str, Member]) -> set[tuple[str, str, str]]:
    """Return the fields of the members on which the choice depends."""
    return {(m.instance, m.zone, m.region) for m in view.values()}


def find_eligible(view: dict[str, Member], upstream: ListedUpstream) -> list[str]:
    """Return the instances in the upstream's zone, else its region, else all."""
    zone = [name for name, m in view.items() if m.zone == upstream.zone]
    if zone:
        return zone
    region = [name for name, m in view.items() if m.region == upstream.region]
    return region or list(view)


__all__ = ["HomeMap", "UpstreamIndex"]
