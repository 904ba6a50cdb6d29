"""Recovery of the first configuration by a starting instance."""

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait

from fescueflow.configuration.fetching import (
    FetchError,
    Manifest,
    RevisionFetcher,
    ServiceSource,
    Source,
)
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import Clock, RandomSource
from fescueflow.membership import Member, MembershipService

RECOVERY_PEERS_MAX = 3
# Limits how long an unresponsive source delays the start when another one responds.
ROUND_TIMEOUT_S = 2.0
# Random pause between rounds. It keeps the calls of a fleet that starts as a whole
# below the platform's rate limit.
ROUND_PAUSE_RANGE_S = (0.3, 1.5)


def choose_peers(
    own: Member, members: list[Member], random_source: RandomSource
) -> list[Member]:
    """Return up to 3 random peers, in at least 2 zones if possible."""
    peers = {str(m.instance): m for m in members if m.instance != own.instance}
    names = random_source.sample(sorted(peers), len(peers))
    shuffled = [peers[name] for name in names]
    chosen = shuffled[:RECOVERY_PEERS_MAX]
    zones = {member.zone for member in chosen}
    in_other_zones = [m for m in shuffled[RECOVERY_PEERS_MAX:] if m.zone not in zones]
    if len(zones) == 1 and in_other_zones:
        chosen[-1] = in_other_zones[0]
    return chosen


class Recovery:
    """Takes the highest valid revision among the service and random peers."""

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        fetcher: RevisionFetcher,
        service_source: ServiceSource,
        make_peer_source: Callable[[str], Source],
        membership: MembershipService,
        clock: Clock,
        random_source: RandomSource,
        stopped: threading.Event,
    ) -> None:
        self._store = store
        self._fetcher = fetcher
        self._service_source = service_source
        self._make_peer_source = make_peer_source
        self._membership = membership
        self._clock = clock
        self._random_source = random_source
        self._stopped = stopped

    def run(self, timeout_s: float) -> Source | None:
        """Repeat rounds until a configuration is accepted or the timeout expires.

        Returns
        -------
        Source or None
            Where the configuration came from, ``None`` if none was found.
        """
        deadline = self._clock.monotonic() + timeout_s
        while not self._stopped.is_set():
            remaining_s = deadline - self._clock.monotonic()
            source = self._run_round(min(ROUND_TIMEOUT_S, max(remaining_s, 0.0)))
            if source is not None or self._clock.monotonic() >= deadline:
                return source
            self._clock.wait(
                self._stopped, self._random_source.uniform(*ROUND_PAUSE_RANGE_S)
            )
        return None

    def _run_round(self, timeout_s: float) -> Source | None:
        own = self._membership.get_own_member()
        peers = choose_peers(own, self._membership.get_members(), self._random_source)
        sources = [self._make_peer_source(peer.peer_address) for peer in peers]
        # The sort is stable, so peers come before the service at equal revisions: the
        # platform limits the service's calls for the whole fleet.
        manifests = self._read_manifests([*sources, self._service_source], timeout_s)
        manifests.sort(key=lambda pair: pair[0].revision, reverse=True)
        for manifest, source in manifests:
            try:
                if self._fetcher.fetch_and_offer(
                    manifest, source, self._stopped.is_set
                ):
                    return source
            except FetchError:
                continue
            if manifest.revision == self._store.get_revision():
                return source
        return None

    def _read_manifests(
        self, sources: list[Source], timeout_s: float
    ) -> list[tuple[Manifest, Source]]:
        executor = ThreadPoolExecutor(len(sources), "configuration-recovery")
        futures: list[tuple[Future[Manifest], Source]] = [
            (executor.submit(source.read_manifest), source) for source in sources
        ]
        done, _ = wait([future for future, _ in futures], timeout_s)
        executor.shutdown(wait=False, cancel_futures=True)
        return [
            (future.result(), source)
            for future, source in futures
            if future in done and future.exception() is None
        ]


__all__ = ["Recovery", "choose_peers"]
