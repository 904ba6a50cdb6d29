"""Dissemination of configurations from the service to all instances."""

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait

import logbook

from fescueflow.audit import AuditTrail
from fescueflow.configuration.dissemination import (
    BroadcastDissemination,
    DisseminationStrategy,
    Origin,
)
from fescueflow.configuration.fetching import (
    PeerSource,
    RevisionFetcher,
    ServiceSource,
    Source,
    make_fetch_response,
)
from fescueflow.configuration.model import Configuration
from fescueflow.configuration.notice_sender import NoticeSender
from fescueflow.configuration.peer_fetcher import PeerFetcher, classify_origin
from fescueflow.configuration.recovery import Recovery
from fescueflow.configuration.service_watcher import ServiceWatcher
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import Clock, RandomSource, Revision
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

FAILURE_DELAY_S = 1.0
PEER_TIMEOUT_S = 2.0
STOP_TIMEOUT_S = 2.0
logger = logbook.Logger("configuration")


class ConfigurationService:
    """Keeps the store of one instance at the fleet's highest revision.

    Two readers per zone watch the service. An instance that learns a revision
    notifies others; lost notices are repaired by heartbeats, which carry the revision
    of their sender.

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
    random_source : RandomSource
    metrics : Metrics
    audit : AuditTrail
        Unused; the store audits accepted and refused revisions.
    strategy : DisseminationStrategy, optional
        Chooses the receivers of notices; broadcast by default.

    Notes
    -----
    A notice that is not relayed means that its sender has just read the service, and
    confirms the revision to its receivers. Readers send one to their zone after each
    read.
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
        random_source: RandomSource,
        metrics: Metrics,
        audit: AuditTrail,
        strategy: DisseminationStrategy | None = None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._membership = membership
        self._frame_client = frame_client
        self._clock = clock
        self._random_source = random_source
        self._metrics = metrics
        self._service_source = ServiceSource(client, metrics)
        self._stopped = threading.Event()
        self._wake_events = [threading.Event() for _ in range(3)]
        self._lock = threading.Lock()
        self._executor: ThreadPoolExecutor | None = None
        self._task_futures: list[Future[None]] = []
        self._notice_sender = self._make_notice_sender(
            endpoint, strategy or BroadcastDissemination()
        )
        self._service_watcher = self._make_service_watcher()
        self._peer_fetcher = self._make_peer_fetcher()
        store.subscribe(self._publish_revision)
        endpoint.register(ConfigurationNotice, self._handle_notice)
        frame_server.register(ConfigurationFetch, self._handle_fetch)
        metrics.register_gauge(
            "configuration_confirmation_age", self._service_watcher.get_confirmation_age
        )

    def _make_notice_sender(
        self, endpoint: DatagramEndpoint, strategy: DisseminationStrategy
    ) -> NoticeSender:
        return NoticeSender(
            store=self._store,
            membership=self._membership,
            endpoint=endpoint,
            strategy=strategy,
            reader_count=self._settings.configuration_readers,
            clock=self._clock,
            random_source=self._random_source,
            metrics=self._metrics,
            wake_event=self._wake_events[0],
        )

    def _make_service_watcher(self) -> ServiceWatcher:
        return ServiceWatcher(
            settings=self._settings,
            store=self._store,
            service_source=self._service_source,
            membership=self._membership,
            notice_sender=self._notice_sender,
            clock=self._clock,
            random_source=self._random_source,
            metrics=self._metrics,
            is_stopped=self._stopped.is_set,
        )

    def _make_peer_fetcher(self) -> PeerFetcher:
        return PeerFetcher(
            store=self._store,
            membership=self._membership,
            notice_sender=self._notice_sender,
            make_source=self._make_peer_source,
            request_service_read=self._service_watcher.request_read,
            random_source=self._random_source,
            metrics=self._metrics,
            wake_event=self._wake_events[2],
            is_stopped=self._stopped.is_set,
        )

    def recover(self, timeout_s: float) -> bool:
        """Take the highest revision among the service and 3 peers.

        Parameters
        ----------
        timeout_s : float
            Time limit in seconds.

        Returns
        -------
        bool
            Whether the store has a configuration.
        """
        recovery = Recovery(
            store=self._store,
            fetcher=RevisionFetcher(self._store, self._metrics),
            service_source=self._service_source,
            make_peer_source=self._make_peer_source,
            membership=self._membership,
            clock=self._clock,
            random_source=self._random_source,
            stopped=self._stopped,
        )
        source = recovery.run(timeout_s)
        if source is self._service_source:
            self._service_watcher.mark_confirmed()
            self._notice_sender.announce_revision(Origin.SERVICE)
        return self._store.get() is not None

    def start(self) -> None:
        """Start the tasks that send notices, read the service and ask peers."""
        steps = (
            self._notice_sender.step,
            self._service_watcher.step,
            self._peer_fetcher.step,
        )
        with self._lock:
            if self._executor is not None or self._stopped.is_set():
                return
            self._executor = ThreadPoolExecutor(len(steps), "configuration")
            self._task_futures = [
                self._executor.submit(self._run_task, wake_event, step)
                for wake_event, step in zip(self._wake_events, steps, strict=True)
            ]

    def stop(self) -> None:
        """Stop the tasks; return within 2 s."""
        self._stopped.set()
        for wake_event in self._wake_events:
            wake_event.set()
        with self._lock:
            executor, self._executor = self._executor, None
        if executor is not None:
            _, late_tasks = wait(self._task_futures, STOP_TIMEOUT_S)
            self._metrics.count("configuration_tasks_late", len(late_tasks))
            executor.shutdown(wait=False)

    def get_confirmation_age(self) -> float:
        """Return the seconds since the current revision was last confirmed."""
        return self._service_watcher.get_confirmation_age()

    def _run_task(self, wake_event: threading.Event, step: Callable[[], float]) -> None:
        while not self._stopped.is_set():
            try:
                delay_s = step()
            except Exception:
                # If the task ended here, the instance would keep an old configuration
                # unnoticed.
                self._metrics.count("configuration_task_failures")
                logger.exception("configuration task failed; retrying")
                delay_s = FAILURE_DELAY_S
            if delay_s > 0 and self._clock.wait(wake_event, delay_s):
                wake_event.clear()

    def _publish_revision(self, configuration: Configuration) -> None:
        self._membership.set_revision(configuration.revision)

    def _make_peer_source(self, address: str) -> Source:
        return PeerSource(self._frame_client, address, PEER_TIMEOUT_S)

    def _handle_notice(self, sender: Sender, notice: ConfigurationNotice) -> None:
        own = self._membership.get_own_member()
        if sender.instance == own.instance:
            return
        self._metrics.count("configuration_notices_received")
        revision, digest = Revision(notice.revision), notice.digest
        current = self._store.get()
        if current and revision == current.revision and digest != current.digest:
            self._store.record_conflict(revision, digest)
            return
        if current and revision < current.revision:
            return
        member = self._membership.get_member(sender.instance)
        if not notice.relayed and is_live_sender(member, sender):
            self._service_watcher.mark_confirmed()
        if current and revision == current.revision:
            return
        if not self._store.is_refused(revision, digest):
            origin = classify_origin(own, member)
            self._peer_fetcher.enqueue(revision, digest, sender.address, origin)

    def _handle_fetch(
        self, sender: Sender, request: ConfigurationFetch
    ) -> ConfigurationSections:
        return make_fetch_response(self._store.get_sections_message(), request)


def is_live_sender(member: Member | None, sender: Sender) -> bool:
    """Return whether a notice was sent by the current incarnation of a live member.

    A third party may replay a recorded notice. A notice must not confirm a revision
    after its sender has died; while the sender is live, its heartbeats show any
    higher revision.
    """
    if member is None or member.incarnation != sender.incarnation:
        return False
    return member.state is MemberState.LIVE


__all__ = ["ConfigurationService"]
