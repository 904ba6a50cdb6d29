"""Which upstreams cache the shared prefix of a prompt.

Upstreams are added, removed and replaced while chats go on. With rendezvous hashing
alone, each new upstream would take chats from running upstreams that cache their
prefixes. Here a chat stays with the upstream that has computed its prefix, and
instances exchange only the prefixes that are not where hashing would place them.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from fescueflow.core import UpstreamId
from fescueflow.routing.model import ServiceId, Upstream
from fescueflow.routing.placement import find_holder

# Prefixes in the table; about 400 bytes each.
PREFIXES_MAX = 8192
# Time without use after which a prefix counts as evicted, in seconds. Most chats return
# sooner, and engines evict the least recently used prefixes first.
PREFIX_AGE_MAX_S = 120.0
# Times that an update is sent to each instance, because datagrams may be lost.
UPDATE_SENDS = 2
# Updates in one report; about 40 bytes each.
UPDATES_PER_REPORT_MAX = 100


@dataclass(slots=True)
class PrefixUses:
    """When each upstream last used a shared prefix."""

    service: ServiceId
    used_at: dict[UpstreamId, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HolderUpdate:
    """A prefix at an upstream where hashing would not place it."""

    service: ServiceId
    key: str
    upstream: UpstreamId
    age_s: float


class HolderTable:
    """Least recently used table of the upstreams that cache each prefix.

    Notes
    -----
    Not thread-safe.
    """

    def __init__(self, prefixes_max: int = PREFIXES_MAX) -> None:
        self._prefixes_max = prefixes_max
        self._prefixes: OrderedDict[str, PrefixUses] = OrderedDict()
        self._upstreams: dict[ServiceId, tuple[Upstream, ...]] = {}
        # Key of the prefix, upstream and how often the update was sent.
        self._updates: deque[tuple[str, UpstreamId, int]] = deque()

    def find(
        self, service: ServiceId, key: str, upstreams: Sequence[Upstream], now: float
    ) -> frozenset[UpstreamId]:
        """Return the upstreams expected to cache a prefix; none for an empty key.

        Parameters
        ----------
        service : ServiceId
        key : str
            Identifies the prefix.
        upstreams : sequence of Upstream
            Upstreams of the service that take work.
        now : float
        """
        if not key:
            return frozenset()
        names = frozenset(upstream.id for upstream in upstreams)
        if {upstream.id for upstream in self._upstreams.get(service, ())} != names:
            self._upstreams[service] = tuple(upstreams)
            self._announce_misplaced(service)
        prefix = self._prefixes.get(key)
        held = frozenset(
            name
            for name, used_at in (prefix.used_at.items() if prefix else ())
            if name in names and now - used_at < PREFIX_AGE_MAX_S
        )
        if held:
            return held
        hashed = find_holder(key, upstreams)
        return frozenset({hashed} if hashed is not None else ())

    def rank_sources(
        self,
        key: str,
        usable: frozenset[UpstreamId],
        expected: frozenset[UpstreamId],
    ) -> list[UpstreamId]:
        """Return the upstreams to copy a prefix from, the latest user first.

        Parameters
        ----------
        key : str
        usable : frozenset of UpstreamId
            Upstreams that respond, including those that take no new work.
        expected : frozenset of UpstreamId
            Result of ``find``, the fallback if no use of the prefix is known.
        """
        prefix = self._prefixes.get(key)
        used_at = prefix.used_at if prefix else dict.fromkeys(expected, 0.0)
        sources = usable & used_at.keys()
        return sorted(sources, key=lambda name: (-used_at[name], name))

    def record_use(
        self,
        service: ServiceId,
        key: str,
        upstream: UpstreamId,
        upstreams: Sequence[Upstream],
        now: float,
    ) -> None:
        """Record that an upstream computes or uses a prefix."""
        if not key:
            return
        is_new = upstream not in self._get_or_add(service, key).used_at
        self._get_or_add(service, key).used_at[upstream] = now
        if is_new and find_holder(key, upstreams) != upstream:
            self._updates.append((key, upstream, 0))

    def merge(self, updates: Iterable[HolderUpdate], now: float) -> None:
        """Merge the updates of another instance."""
        for update in updates:
            used_at = now - update.age_s
            known = self._get_or_add(update.service, update.key).used_at
            known[update.upstream] = max(known.get(update.upstream, used_at), used_at)

    def take_updates(
        self, now: float, reports_per_round: int = 1
    ) -> list[HolderUpdate]:
        """Return the updates to send to other instances now.

        Parameters
        ----------
        now : float
        reports_per_round : int, optional
            Number of reports it takes to reach each instance once.
        """
        taken = [
            self._updates.popleft()
            for _ in range(min(UPDATES_PER_REPORT_MAX, len(self._updates)))
        ]
        sends = UPDATE_SENDS * reports_per_round
        self._updates.extend((k, u, n + 1) for k, u, n in taken if n + 1 < sends)
        return [
            HolderUpdate(prefix.service, key, name, now - prefix.used_at[name])
            for key, name, _ in taken
            for prefix in [self._prefixes.get(key)]
            if prefix is not None and name in prefix.used_at
        ]

    def retain(self, kept: set[UpstreamId]) -> None:
        """Drop the uses by all upstreams except the kept ones."""
        for prefix in self._prefixes.values():
            if prefix.used_at.keys() - kept:
                prefix.used_at = {
                    n: at for n, at in prefix.used_at.items() if n in kept
                }

    def _get_or_add(self, service: ServiceId, key: str) -> PrefixUses:
        prefix = self._prefixes.get(key)
        if prefix is None or prefix.service != service:
            prefix = self._prefixes[key] = PrefixUses(service)
        self._prefixes.move_to_end(key)
        if len(self._prefixes) > self._prefixes_max:
            self._prefixes.popitem(last=False)
        return prefix

    def announce_all(self) -> None:
        """Queue updates for all prefixes that are not where hashing places them.

        Notes
        -----
        Called for an instance that has just started and knows none of them.
        """
        for service in self._upstreams:
            self._announce_misplaced(service)

    def _announce_misplaced(self, service: ServiceId) -> None:
        """Queue updates for the prefixes of a service that hashing places elsewhere.

        Notes
        -----
        Upstreams that take no new work count as holders, because others copy from them.
        """
        upstreams = self._upstreams[service]
        waiting = {key for key, _, _ in self._updates}
        for key, prefix in self._prefixes.items():
            if prefix.service != service:
                continue
            if not prefix.used_at or key in waiting:
                continue
            if find_holder(key, upstreams) not in prefix.used_at:
                latest = max(prefix.used_at, key=lambda name: prefix.used_at[name])
                self._updates.append((key, latest, 0))


__all__ = ["HolderTable", "HolderUpdate"]
