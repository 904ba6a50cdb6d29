"""Dissemination of configurations between the service and all instances."""

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait

import logbook

from fescueflow.audit import AuditTrail
from fescueflow.configuration.catching import PeerFetching, find_origin
from fescueflow.configuration.fetching import (
    Fetcher,
    PeerSource,
    ServiceSource,
    Source,
    answer_fetch,
)
from fescueflow.configuration.model import Configuration
from fescueflow.configuration.notices import NoticeSender
from fescueflow.configuration.reading import ServiceReading
from fescueflow.configuration.recovery import Recovery
from fescueflow.configuration.spreading import BroadcastSpread, Origin, SpreadStrategy
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import Clock, Randomness, Revision
from fescueflow.membership import Member, MembershipService
from fescueflow.metrics import Metrics
from fescueflow.platform import ConfigurationClient
from fescueflow.schema import (
    ConfigurationFetch,
    ConfigurationNotice,
    ConfigurationSections,
    MemberState,
    Settings,
)
from fescueflow.transport import DatagramEndpoint, FrameClient, FrameServer, Sender

FAILURE_PAUSE_S = 1.0
PEER_TIMEOUT_S = 2.0
STOP_S = 2.0
logger = logbook.Logger("configuration")


class ConfigurationService:
    """Keeps the store of one instance at the fleet's highest revision.

    Two readers per zone watch the service. Whoever learns a revision notifies
    others, and heartbeats repair lost notices.

    Parameters
    ----------
    settings : Settings
    store : ConfigurationStore
    client : ConfigurationClient
    membership : MembershipService
    endpoint : DatagramEndpoint
    frame_client : FrameClient
    frame_server : FrameServer
    clock : Clock
    randomness : Randomness
    metrics : Metrics
    audit : AuditTrail
        Not used here: the store records accepted and refused revisions.
    strategy : SpreadStrategy, optional
        Who receives notices; broadcast by default.

    Notes
    -----
    A notice that is not relayed says that its sender has just read the service,
    and confirms the revision to its receivers. Readers repeat it within their zone
    after each reading.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        store: ConfigurationStore,
        client: ConfigurationClient,
        membership: MembershipService,
        endpoint: DatagramEndpoint,
        frame_client: FrameClient,
        frame_server: FrameServer,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
        audit: AuditTrail,
        strategy: SpreadStrategy | None = None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._membership = membership
        self._frame_client = frame_client
        self._clock = clock
        self._randomness = randomness
        self._metrics = metrics
        self._service = ServiceSource(client, metrics)
        self._stopped = threading.Event()
        self._wakes = [threading.Event() for _ in range(3)]
        self._lock = threading.Lock()
        self._executor: ThreadPoolExecutor | None = None
        self._tasks: list[Future[None]] = []
        self._notices = self._make_notices(endpoint, strategy or BroadcastSpread())
        self._reading = self._make_reading()
        self._fetching = self._make_fetching()
        store.subscribe(self._publish_revision)
        endpoint.register(ConfigurationNotice, self._receive_notice)
        frame_server.register(ConfigurationFetch, self._answer_fetch)
        metrics.register_gauge("configuration_confirmation_age", self._reading.get_age)

    def _make_notices(
        self, endpoint: DatagramEndpoint, strategy: SpreadStrategy
    ) -> NoticeSender:
        return NoticeSender(
            store=self._store,
            membership=self._membership,
            endpoint=endpoint,
            strategy=strategy,
            readers=self._settings.configuration_readers,
            clock=self._clock,
            randomness=self._randomness,
            metrics=self._metrics,
            wake=self._wakes[0],
        )

    def _make_reading(self) -> ServiceReading:
        return ServiceReading(
            settings=self._settings,
            store=self._store,
            service=self._service,
            membership=self._membership,
            notices=self._notices,
            clock=self._clock,
            randomness=self._randomness,
            metrics=self._metrics,
            is_stopped=self._stopped.is_set,
        )

    def _make_fetching(self) -> PeerFetching:
        return PeerFetching(
            store=self._store,
            membership=self._membership,
            notices=self._notices,
            make_source=self._make_peer_source,
            request_reading=self._reading.request,
            randomness=self._randomness,
            metrics=self._metrics,
            wake=self._wakes[2],
            is_stopped=self._stopped.is_set,
        )

    def recover(self, timeout_s: float) -> bool:
        """Take the highest revision of the service and 3 peers.

        Parameters
        ----------
        timeout_s : float

        Returns
        -------
        bool
            Whether a configuration is in force.
        """
        recovery = Recovery(
            store=self._store,
            fetcher=Fetcher(self._store, self._metrics),
            service=self._service,
            make_peer_source=self._make_peer_source,
            membership=self._membership,
            clock=self._clock,
            randomness=self._randomness,
            stopped=self._stopped,
        )
        source = recovery.run(timeout_s)
        if source is self._service:
            self._reading.confirm()
            self._notices.spread(Origin.SERVICE)
        return self._store.get() is not None

    def start(self) -> None:
        """Start the tasks that send notices, read the service and ask peers."""
        steps = (self._notices.step, self._reading.step, self._fetching.step)
        with self._lock:
            if self._executor is not None or self._stopped.is_set():
                return
            self._executor = ThreadPoolExecutor(len(steps), "configuration")
            self._tasks = [
                self._executor.submit(self._repeat, wake, step)
                for wake, step in zip(self._wakes, steps, strict=True)
            ]

    def stop(self) -> None:
        """Stop the tasks; returns within 2 s."""
        self._stopped.set()
        for wake in self._wakes:
            wake.set()
        with self._lock:
            executor, self._executor = self._executor, None
        if executor is not None:
            _, late = wait(self._tasks, STOP_S)
            self._metrics.count("configuration_tasks_late", len(late))
            executor.shutdown(wait=False)

    def get_confirmation_age(self) -> float:
        """Return seconds since a reading confirmed the revision in force."""
        return self._reading.get_age()

    def _repeat(self, wake: threading.Event, step: Callable[[], float]) -> None:
        while not self._stopped.is_set():
            try:
                delay_s = step()
            except Exception:
                # Without this task the instance would silently keep an old
                # configuration.
                self._metrics.count("configuration_task_failures")
                logger.exception("a configuration task failed and is repeated")
                delay_s = FAILURE_PAUSE_S
            if delay_s > 0 and self._clock.wait(wake, delay_s):
                wake.clear()

    def _publish_revision(self, configuration: Configuration) -> None:
        self._membership.set_revision(configuration.revision)

    def _make_peer_source(self, address: str) -> Source:
        return PeerSource(self._frame_client, address, PEER_TIMEOUT_S)

    def _receive_notice(self, sender: Sender, notice: ConfigurationNotice) -> None:
        own = self._membership.get_own()
        if sender.instance == own.instance:
            return
        self._metrics.count("configuration_notices_received")
        revision, digest = Revision(notice.revision), notice.digest
        current = self._store.get()
        if current and revision == current.revision and digest != current.digest:
            self._store.note_conflict(revision, digest)
            return
        if current and revision < current.revision:
            return
        member = self._membership.get_member(sender.instance)
        if not notice.relayed and is_live(member, sender):
            self._reading.confirm()
        if current and revision == current.revision:
            return
        if not self._store.is_refused(revision, digest):
            origin = find_origin(own, member)
            self._fetching.want(revision, digest, sender.address, origin)

    def _answer_fetch(
        self, sender: Sender, request: ConfigurationFetch
    ) -> ConfigurationSections:
        return answer_fetch(self._store.get_source(), request)


def is_live(member: Member | None, sender: Sender) -> bool:
    """Return whether the sender of a notice is live.

    Someone else may send a notice again that was recorded. It confirms nothing
    once its sender has died; while that lives, its heartbeats show a higher revision.
    """
    if member is None or member.incarnation != sender.incarnation:
        return False
    return member.state is MemberState.LIVE


__all__ = ["ConfigurationService"]
