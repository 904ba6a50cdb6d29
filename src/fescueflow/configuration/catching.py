"""Fetches of revisions that other members are known to have."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from fescueflow.configuration.fetching import Fetcher, FetchFailed, Source
from fescueflow.configuration.notices import NoticeSender
from fescueflow.configuration.spreading import Origin
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import Randomness, Revision
from fescueflow.membership import Member, MembershipService
from fescueflow.metrics import Metrics

TICK_S = 0.25
RETRY_S = 0.5
PEERS_TRIED = 3


@dataclass(frozen=True)
class Wanted:
    """A revision that a member has; heartbeats don't show its digest."""

    revision: Revision
    digest: bytes | None
    address: str
    origin: Origin


class PeerFetching:
    """Fetches what notices and heartbeats show; one task calls ``step``.

    Parameters
    ----------
    request_reading : callable
        Lets this instance read the service when no member gave the revision.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        membership: MembershipService,
        notices: NoticeSender,
        make_source: Callable[[str], Source],
        request_reading: Callable[[], None],
        randomness: Randomness,
        metrics: Metrics,
        wake: threading.Event,
        is_stopped: Callable[[], bool],
    ) -> None:
        self._store = store
        self._membership = membership
        self._notices = notices
        self._make_source = make_source
        self._request_reading = request_reading
        self._randomness = randomness
        self._metrics = metrics
        self._wake = wake
        self._is_stopped = is_stopped
        self._fetcher = Fetcher(store, metrics)
        self._lock = threading.Lock()
        self._noticed: Wanted | None = None

    def want(
        self, revision: Revision, digest: bytes, address: str, origin: Origin
    ) -> None:
        """Queue a revision that a notice showed; only the highest is kept."""
        with self._lock:
            if self._noticed and self._noticed.revision >= revision:
                return
            self._noticed = Wanted(revision, digest, address, origin)
        self._wake.set()

    def step(self) -> float:
        """Fetch the highest revision that is known; return the next delay."""
        with self._lock:
            noticed, self._noticed = self._noticed, None
        failed = False
        for wanted in self._list_sources(noticed):
            if self._is_stopped():
                break
            # An earlier source may have given this or a higher revision.
            if wanted.revision <= self._store.get_revision():
                continue
            if not self._store.is_refused(wanted.revision, wanted.digest):
                failed = not self._fetch(wanted)
        if failed:
            self._request_reading()
        return RETRY_S if failed else TICK_S

    def _list_sources(self, noticed: Wanted | None) -> list[Wanted]:
        """Return where to fetch from, the sender of the notice first."""
        own = self._membership.get_own()
        revision = self._store.get_revision()
        ahead = {
            str(member.instance): member
            for member in self._membership.get_members()
            if member.revision > revision and member.instance != own.instance
        }
        names = self._randomness.sample(sorted(ahead), len(ahead))

        def order(name: str) -> tuple[int, bool]:
            return (-ahead[name].revision, ahead[name].zone != own.zone)

        found = [
            Wanted(member.revision, None, member.peer_address, find_origin(own, member))
            for member in map(ahead.__getitem__, sorted(names, key=order)[:PEERS_TRIED])
        ]
        if noticed is None or noticed.revision <= revision:
            return found
        return [noticed, *(w for w in found if w.address != noticed.address)]

    def _fetch(self, wanted: Wanted) -> bool:
        """Fetch from one member; return whether the revision is settled."""
        source = self._make_source(wanted.address)
        try:
            manifest = source.read_manifest()
            if manifest.revision < wanted.revision:
                raise FetchFailed(f"{wanted.address} has {manifest.revision}")
            accepted = self._fetcher.complete(manifest, source, self._is_stopped)
        except FetchFailed:
            self._metrics.count("configuration_fetch_failures", source="peer")
            return False
        if accepted:
            self._notices.spread(wanted.origin)
        return True


def find_origin(own: Member, member: Member | None) -> Origin:
    """Return how far away a member is; an unknown one counts as another zone."""
    here = member is not None and member.zone == own.zone
    return Origin.OWN_ZONE if here else Origin.OTHER_ZONE


__all__ = ["PeerFetching", "find_origin"]
