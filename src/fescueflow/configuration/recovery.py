"""First configuration of a starting instance."""

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait

from fescueflow.configuration.fetching import (
    Fetcher,
    FetchFailed,
    Manifest,
    ServiceSource,
    Source,
)
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import Clock, Randomness
from fescueflow.membership import Member, MembershipService

PEERS_ASKED = 3
# A silent source delays the start by at most this long when another one answers.
ROUND_S = 2.0
# Keeps the calls of a whole starting fleet below the platform's limit.
ROUND_PAUSE_S = (0.3, 1.5)


def choose_peers(
    own: Member, members: list[Member], randomness: Randomness
) -> list[Member]:
    """Return up to 3 random peers, in at least 2 zones if there are as many."""
    peers = {str(m.instance): m for m in members if m.instance != own.instance}
    names = randomness.sample(sorted(peers), len(peers))
    shuffled = [peers[name] for name in names]
    chosen = shuffled[:PEERS_ASKED]
    zones = {member.zone for member in chosen}
    elsewhere = [m for m in shuffled[PEERS_ASKED:] if m.zone not in zones]
    if len(zones) == 1 and elsewhere:
        chosen[-1] = elsewhere[0]
    return chosen


class Recovery:
    """Asks the service and peers for their revision and takes the highest."""

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        fetcher: Fetcher,
        service: ServiceSource,
        make_peer_source: Callable[[str], Source],
        membership: MembershipService,
        clock: Clock,
        randomness: Randomness,
        stopped: threading.Event,
    ) -> None:
        self._store = store
        self._fetcher = fetcher
        self._service = service
        self._make_peer_source = make_peer_source
        self._membership = membership
        self._clock = clock
        self._randomness = randomness
        self._stopped = stopped

    def run(self, timeout_s: float) -> Source | None:
        """Repeat rounds until a configuration is in force or the time is over.

        Returns
        -------
        Source or None
            Where the configuration came from; ``None`` if there was none.
        """
        end = self._clock.monotonic() + timeout_s
        while not self._stopped.is_set():
            left = end - self._clock.monotonic()
            source = self._run_round(min(ROUND_S, max(left, 0.0)))
            if source is not None or self._clock.monotonic() >= end:
                return source
            self._clock.wait(self._stopped, self._randomness.uniform(*ROUND_PAUSE_S))
        return None

    def _run_round(self, timeout_s: float) -> Source | None:
        own = self._membership.get_own()
        peers = choose_peers(own, self._membership.get_members(), self._randomness)
        sources = [self._make_peer_source(peer.peer_address) for peer in peers]
        # Peers go before the service, whose calls are limited for the whole fleet.
        found = self._ask([*sources, self._service], timeout_s)
        found.sort(key=lambda pair: pair[0].revision, reverse=True)
        for manifest, source in found:
            try:
                if self._fetcher.complete(manifest, source, self._stopped.is_set):
                    return source
            except FetchFailed:
                continue
            if manifest.revision == self._store.get_revision():
                return source
        return None

    def _ask(
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
