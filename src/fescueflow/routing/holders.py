"""Which upstreams hold the shared part of a prompt.

Answers churn: upstreams that come, leave and are replaced while chats go on. By
rendezvous hashing alone, each new upstream takes its part of the chats from upstreams
that hold their prefixes and go on running; here a chat stays where it was read, and
instances tell each other only of parts that are not where hashing would put them.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from fescueflow.core import UpstreamId
from fescueflow.routing.model import ServiceId, Upstream
from fescueflow.routing.placement import find_holder

# Parts that are remembered; about 400 bytes each.
PARTS_MAX = 8192
# A part that nobody has used for this long is taken to be evicted, in seconds; most
# chats return sooner, and engines evict the least recently used parts first.
PART_AGE_MAX_S = 120.0
# Times that each instance is sent a piece of news; a datagram may be lost.
NEWS_REPEATS = 2
# Pieces of news in one report, of about 40 bytes each.
NEWS_MAX = 100


@dataclass(slots=True)
class Part:
    """A shared part and when each upstream last used it."""

    service: ServiceId
    used_at: dict[UpstreamId, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HolderNews:
    """A part at an upstream where hashing would not put it."""

    service: ServiceId
    key: str
    upstream: UpstreamId
    age_s: float


class HolderTable:
    """Remembers where parts were read; not safe for use from several threads."""

    def __init__(self, parts_max: int = PARTS_MAX) -> None:
        self._parts_max = parts_max
        self._parts: OrderedDict[str, Part] = OrderedDict()
        self._known: dict[ServiceId, tuple[Upstream, ...]] = {}
        # Part, upstream and how often it was sent.
        self._news: deque[tuple[str, UpstreamId, int]] = deque()

    def find(
        self, service: ServiceId, key: str, upstreams: Sequence[Upstream], now: float
    ) -> frozenset[UpstreamId]:
        """Return the upstreams where a part is expected; none for an empty key.

        Parameters
        ----------
        service : ServiceId
        key : str
        upstreams : sequence of Upstream
            Upstreams of the service that take work.
        now : float
        """
        if not key:
            return frozenset()
        names = frozenset(upstream.id for upstream in upstreams)
        if {upstream.id for upstream in self._known.get(service, ())} != names:
            self._known[service] = tuple(upstreams)
            self._review(service)
        part = self._parts.get(key)
        held = frozenset(
            name
            for name, used_at in (part.used_at.items() if part else ())
            if name in names and now - used_at < PART_AGE_MAX_S
        )
        if held:
            return held
        winner = find_holder(key, upstreams)
        return frozenset({winner} if winner is not None else ())

    def rank_sources(
        self,
        key: str,
        usable: frozenset[UpstreamId],
        expected: frozenset[UpstreamId],
    ) -> list[UpstreamId]:
        """Return the upstreams that a part can be copied from, the last user first.

        Parameters
        ----------
        key : str
        usable : frozenset of UpstreamId
            Upstreams that answer, those included that take no new work.
        expected : frozenset of UpstreamId
            Where ``find`` expects the part; used if no use of it is known.
        """
        part = self._parts.get(key)
        used_at = part.used_at if part else dict.fromkeys(expected, 0.0)
        sources = usable & used_at.keys()
        return sorted(sources, key=lambda name: (-used_at[name], name))

    def note(
        self,
        service: ServiceId,
        key: str,
        upstream: UpstreamId,
        upstreams: Sequence[Upstream],
        now: float,
    ) -> None:
        """Note that an upstream reads a part."""
        if not key:
            return
        is_new = upstream not in self._touch(service, key).used_at
        self._touch(service, key).used_at[upstream] = now
        if is_new and find_holder(key, upstreams) != upstream:
            self._news.append((key, upstream, 0))

    def merge(self, news: Iterable[HolderNews], now: float) -> None:
        """Take over what another instance has noted."""
        for item in news:
            used_at = now - item.age_s
            known = self._touch(item.service, item.key).used_at
            known[item.upstream] = max(known.get(item.upstream, used_at), used_at)

    def take_news(self, now: float, turns: int = 1) -> list[HolderNews]:
        """Return what other instances are to be told now.

        Parameters
        ----------
        now : float
        turns : int, optional
            Reports until each instance has got one.
        """
        taken = [self._news.popleft() for _ in range(min(NEWS_MAX, len(self._news)))]
        sends = NEWS_REPEATS * turns
        self._news.extend((k, u, n + 1) for k, u, n in taken if n + 1 < sends)
        return [
            HolderNews(part.service, key, name, now - part.used_at[name])
            for key, name, _ in taken
            for part in [self._parts.get(key)]
            if part is not None and name in part.used_at
        ]

    def forget(self, kept: set[UpstreamId]) -> None:
        """Forget what other upstreams held."""
        for part in self._parts.values():
            if part.used_at.keys() - kept:
                part.used_at = {n: at for n, at in part.used_at.items() if n in kept}

    def _touch(self, service: ServiceId, key: str) -> Part:
        part = self._parts.get(key)
        if part is None or part.service != service:
            part = self._parts[key] = Part(service)
        self._parts.move_to_end(key)
        if len(self._parts) > self._parts_max:
            self._parts.popitem(last=False)
        return part

    def announce_all(self) -> None:
        """Make news of all parts that are not where hashing puts them.

        Notes
        -----
        For an instance that has just started and knows none of them.
        """
        for service in self._known:
            self._review(service)

    def _review(self, service: ServiceId) -> None:
        """Make news of parts that hashing puts elsewhere.

        Notes
        -----
        Upstreams that take no new work count as holders, since others copy from them.
        """
        upstreams = self._known[service]
        waiting = {key for key, _, _ in self._news}
        for key, part in self._parts.items():
            if part.service != service:
                continue
            if not part.used_at or key in waiting:
                continue
            if find_holder(key, upstreams) not in part.used_at:
                latest = max(part.used_at, key=lambda name: part.used_at[name])
                self._news.append((key, latest, 0))


__all__ = ["HolderNews", "HolderTable"]
