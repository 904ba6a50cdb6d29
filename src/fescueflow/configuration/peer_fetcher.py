"""Fetching of newer revisions from other members."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from fescueflow.configuration.dissemination import Origin
from fescueflow.configuration.fetching import FetchError, RevisionFetcher, Source
from fescueflow.configuration.notice_sender import NoticeSender
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import RandomSource, Revision
from fescueflow.membership import Member, MembershipService
from fescueflow.metrics import Metrics

POLL_INTERVAL_S = 0.25
RETRY_DELAY_S = 0.5
PEERS_PER_STEP = 3


@dataclass(frozen=True)
class FetchCandidate:
    """A revision that a member has and the address to fetch it from.

    ``digest`` is the SHA-256 of the manifest, or ``None`` if the revision is known
    from a heartbeat, which does not carry the digest.
    """

    revision: Revision
    digest: bytes | None
    address: str
    origin: Origin


class PeerFetcher:
    """Fetches revisions that notices and heartbeats announce.

    One task calls ``step`` repeatedly; ``enqueue`` may be called from any thread.

    Parameters
    ----------
    request_service_read : callable
        Called after a failed fetch, so that this instance reads the service itself.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        membership: MembershipService,
        notice_sender: NoticeSender,
        make_source: Callable[[str], Source],
        request_service_read: Callable[[], None],
        random_source: RandomSource,
        metrics: Metrics,
        wake_event: threading.Event,
        is_stopped: Callable[[], bool],
    ) -> None:
        self._store = store
        self._membership = membership
        self._notice_sender = notice_sender
        self._make_source = make_source
        self._request_service_read = request_service_read
        self._random_source = random_source
        self._metrics = metrics
        self._wake_event = wake_event
        self._is_stopped = is_stopped
        self._fetcher = RevisionFetcher(store, metrics)
        self._lock = threading.Lock()
        self._queued: FetchCandidate | None = None

    def enqueue(
        self, revision: Revision, digest: bytes, address: str, origin: Origin
    ) -> None:
        """Queue a revision announced by a notice; only the highest one is kept."""
        with self._lock:
            if self._queued and self._queued.revision >= revision:
                return
            self._queued = FetchCandidate(revision, digest, address, origin)
        self._wake_event.set()

    def step(self) -> float:
        """Fetch the highest known revision.

        Returns
        -------
        float
            Seconds until the next step.
        """
        with self._lock:
            queued, self._queued = self._queued, None
        failed = False
        for candidate in self._list_candidates(queued):
            if self._is_stopped():
                break
            # A previous candidate may already have provided this revision or a
            # higher one.
            if candidate.revision <= self._store.get_revision():
                continue
            if not self._store.is_refused(candidate.revision, candidate.digest):
                failed = not self._fetch(candidate)
        if failed:
            self._request_service_read()
        return RETRY_DELAY_S if failed else POLL_INTERVAL_S

    def _list_candidates(self, queued: FetchCandidate | None) -> list[FetchCandidate]:
        """Return members to fetch from, the sender of the notice first.

        Higher revisions come before lower ones and members of the own zone before
        others.
        """
        own = self._membership.get_own_member()
        revision = self._store.get_revision()
        members_ahead = {
            str(member.instance): member
            for member in self._membership.get_members()
            if member.revision > revision and member.instance != own.instance
        }
        names = self._random_source.sample(sorted(members_ahead), len(members_ahead))

        def sort_key(name: str) -> tuple[int, bool]:
            return (-members_ahead[name].revision, members_ahead[name].zone != own.zone)

        candidates = [
            FetchCandidate(
                member.revision, None, member.peer_address, classify_origin(own, member)
            )
            for member in map(
                members_ahead.__getitem__, sorted(names, key=sort_key)[:PEERS_PER_STEP]
            )
        ]
        if queued is None or queued.revision <= revision:
            return candidates
        return [queued, *(c for c in candidates if c.address != queued.address)]

    def _fetch(self, candidate: FetchCandidate) -> bool:
        """Fetch from one member; return ``False`` if it gave no usable response."""
        source = self._make_source(candidate.address)
        try:
            manifest = source.read_manifest()
            if manifest.revision < candidate.revision:
                raise FetchError(
                    f"{candidate.address} has only revision {manifest.revision}"
                )
            accepted = self._fetcher.fetch_and_offer(manifest, source, self._is_stopped)
        except FetchError:
            self._metrics.count("configuration_fetch_failures", source="peer")
            return False
        if accepted:
            self._notice_sender.announce_revision(candidate.origin)
        return True


def classify_origin(own: Member, member: Member | None) -> Origin:
    """Return whether a member is in the own zone; an unknown one is not."""
    is_same_zone = member is not None and member.zone == own.zone
    return Origin.OWN_ZONE if is_same_zone else Origin.OTHER_ZONE


__all__ = ["PeerFetcher", "classify_origin"]
