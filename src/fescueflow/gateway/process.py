"""Lifecycle of one instance, from loading its settings to shutdown."""

import os
import signal
import threading
from collections.abc import Callable, Mapping
from dataclasses import fields, replace
from functools import partial

import logbook

from fescueflow.core import (
    Clock,
    InvalidSettings,
    RandomSource,
    SystemClock,
    SystemRandomSource,
)
from fescueflow.gateway.active_set import compute_capacity
from fescueflow.gateway.application import CallerApplication, StatusApplication
from fescueflow.gateway.attempts import AttemptClient
from fescueflow.gateway.buffers import AnswerBuffers
from fescueflow.gateway.caller_memory import CallerMemory, return_large_allocations
from fescueflow.gateway.caller_requests import CallerRules
from fescueflow.gateway.changes import (
    OperatorChangeHandler,
    UpstreamChangeHandler,
)
from fescueflow.gateway.confirmation import StateConfirmation
from fescueflow.gateway.connections import ConnectionPool
from fescueflow.gateway.coordinators import Coordinators
from fescueflow.gateway.departure import (
    CUTTING_FRACTION,
    REFUSING_FRACTION,
    Departure,
    Stage,
)
from fescueflow.gateway.dispatch import AttemptDispatcher
from fescueflow.gateway.forwarding import Forwarder
from fescueflow.gateway.loads import LoadTracker
from fescueflow.gateway.logs import log_to_stdout
from fescueflow.gateway.peers import PeerTable, PeerTransport
from fescueflow.gateway.permit_codec import PERMIT_MARK
from fescueflow.gateway.permits import PermitClient
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.quarantine import PromptQuarantine
from fescueflow.gateway.reachability import ReachabilityProbe
from fescueflow.gateway.receivers import ReceiverChooser
from fescueflow.gateway.records import PeerRecord
from fescueflow.gateway.relay import StoreRelay, decode_update
from fescueflow.gateway.reporting import Reporter
from fescueflow.gateway.request_permits import RequestPermits
from fescueflow.gateway.route_lookup import RouteLookup
from fescueflow.gateway.selection import UpstreamSelector
from fescueflow.gateway.server import (
    CALLER_THREADS,
    CALLERS_FDS_FRACTION,
    STATUS_FDS_FRACTION,
    STATUS_THREADS,
    GatewayServer,
    limit_connections,
)
from fescueflow.gateway.shared_values import (
    ANSWERS_MAX,
    SharedValues,
    ValueApplication,
)
from fescueflow.gateway.unanswered import UnansweredRequests
from fescueflow.gateway.value_reader import ReaderValues, connect_from
from fescueflow.gateway.watching import READ_TIMEOUT_S, StoreWatcher
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    STORE_RESPONSE_BYTES_MAX,
    BootSettings,
    Feature,
    Limits,
    StoreClient,
    load_boot,
)
from fescueflow.routing import CallerLimits

# Time for which callers cache an address; a third of the longest, since some cache it
# three times as long.
ADDRESS_TTL_S = 2.0
MAINTENANCE_INTERVAL_S = 0.5
# Part of the machine's memory from which the bounds of operators' and the platform's
# requests are derived: these have no large bodies.
STATUS_FRACTION = 1 / 16
# Limit for a complete response of the store.
STORE_CALL_TIMEOUT_S = 3.0
EXIT_INVALID = 2
# Those of the answers at a time, and as many that refuse further requests at once.
VALUE_THREADS = 2 * ANSWERS_MAX
# The second one reloads the settings.
SIGNALS = frozenset({signal.SIGTERM, signal.SIGHUP})
# Settings that a running process reloads; addresses and names need a restart.
RELOADED_SETTINGS = frozenset(
    {
        "address_keep_max_s",
        "grace_s",
        "imbalance_factor",
        "repeat_base",
        "repeat_ratio",
        "repeat_window_s",
    }
)

log = logbook.Logger("process")


class Gateway:
    """One instance with all its components.

    Parameters
    ----------
    boot : BootSettings
    clock : Clock
    random_source : RandomSource
    load : callable, optional
        Reloads the settings; raises ``InvalidSettings``.
    """

    def __init__(
        self,
        boot: BootSettings,
        clock: Clock,
        random_source: RandomSource,
        load: Callable[[], BootSettings] | None = None,
    ) -> None:
        self._boot = boot
        self._load = load
        self._reload_requested = threading.Event()
        self._clock = clock
        self._metrics = Metrics()
        self._departure = Departure(clock)
        self._stopped = threading.Event()
        self._platform_state = PlatformState(boot.evacuation_s, boot.drain_s)
        self._loads = LoadTracker()
        self._pool = ConnectionPool(clock)
        self._peers = PeerTable(make_own_record(boot, clock, random_source))
        self._selector = UpstreamSelector(
            boot=boot,
            platform_state=self._platform_state,
            loads=self._loads,
            peers=self._peers,
            clock=clock,
            metrics=self._metrics,
        )
        self._quarantine = PromptQuarantine(
            peers=self._peers,
            platform_state=self._platform_state,
            clock=clock,
            metrics=self._metrics,
            on_change=lambda: self._transport.hurry(),
        )
        self._client = AttemptClient(
            pool=self._pool,
            selector=self._selector,
            loads=self._loads,
            clock=clock,
            metrics=self._metrics,
            quarantine=self._quarantine,
        )
        self._permits = self._make_permits()
        self._relay = StoreRelay(
            peers=self._peers,
            send=lambda host, data: self._transport.send(host, data),
            clock=clock,
            random_source=random_source,
        )
        self._reporter = Reporter(
            peers=self._peers,
            loads=self._loads,
            selector=self._selector,
            clock=clock,
            is_serving=self.is_ready,
            relay=self._relay,
            quarantine=self._quarantine,
        )
        receivers = ReceiverChooser(
            peers=self._peers,
            relay=self._relay,
            seeds=boot.seed_hosts,
            clock=clock,
            random_source=random_source,
        )
        self._transport = PeerTransport(
            address=(boot.host, boot.peer_port),
            choose_receivers=receivers.choose,
            make_report=self._make_report,
            on_report=self._reporter.handle_report,
            on_update=self._handle_update,
            clock=clock,
        )
        self._shared_values = SharedValues()
        self._watcher = self._make_watcher(random_source)
        self._rules = CallerRules(
            memory=CallerMemory(boot.memory_mb * 1e6),
            get_limits=self._get_limits,
            metrics=self._metrics,
        )
        self._metrics.register_gauge(
            "caller_memory_bytes", lambda: self._rules.memory.held_bytes
        )
        self._value_server = self._make_value_server()
        self._caller_server = self._make_caller_server()
        self._status_server = self._make_status_server()

    def start(self) -> None:
        """Start the servers and background threads."""
        self._watcher.start()
        self._transport.start()
        self._permits.desk.start()
        if self._value_server is not None:
            self._value_server.start()
        self._status_server.start()
        self._caller_server.start()
        threading.Thread(
            target=self._run_maintenance, name="upkeep", daemon=True
        ).start()
        log.info("started {} in {}", self._boot.instance, self._boot.zone)

    def request_reload(self) -> None:
        """Reload the settings soon."""
        self._reload_requested.set()

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return (
            self._platform_state.get_table() is not None
            and not self._departure.has_started
        )

    def leave(self) -> None:
        """Announce the departure, serve on for the grace period, then stop.

        Later calls do nothing.
        """
        if self._departure.has_started:
            return
        started_at = self._clock.monotonic()
        log.info("leaving")
        grace_s = self._boot.grace_s
        self._departure.start(grace_s)
        self._announce_departure()
        self._clock.wait(self._stopped, grace_s * REFUSING_FRACTION)
        self._caller_server.close_listeners()
        idle = self._caller_server.wait_idle(started_at + grace_s * CUTTING_FRACTION)
        log.info("stopped, all answers finished: {}", idle)
        self._stopped.set()
        self._watcher.stop()
        self._permits.desk.stop()
        self._transport.stop()
        self._caller_server.stop()
        self._status_server.stop()
        if self._value_server is not None:
            self._value_server.stop()

    def _announce_departure(self) -> None:
        try:
            self._reporter.update_own_record()
            self._transport.send_now()
        except Exception as error:  # noqa: BLE001
            # An error here would end the process, and cut the requests in progress.
            log.error("unexpected error in the announcement: {!r}", error)

    def _handle_update(self, data: bytes) -> None:
        if data.startswith(PERMIT_MARK):
            self._permits.handle_datagram(data)
        else:
            self._watcher.handle_update(decode_update(data))

    def _make_watcher(self, random_source: RandomSource) -> StoreWatcher:
        limits = Limits(
            connect_s=READ_TIMEOUT_S,
            read_timeout_s=READ_TIMEOUT_S,
            total_s=STORE_CALL_TIMEOUT_S,
            body_bytes=STORE_RESPONSE_BYTES_MAX,
        )
        return StoreWatcher(
            client=StoreClient(self._boot.store_address, limits),
            handlers=(
                OperatorChangeHandler(self._platform_state, self._clock),
                UpstreamChangeHandler(self._platform_state, self._clock),
            ),
            platform_state=self._platform_state,
            heartbeat_s=self._boot.server_heartbeat_s,
            clock=self._clock,
            random_source=random_source,
            metrics=self._metrics,
            relay=self._relay,
            values=ReaderValues(
                find_reader=self._relay.find_reader,
                get_own=self._peers.get_own_record,
                port=self._boot.peer_port,
                metrics=self._metrics,
                connect=partial(connect_from, self._boot.host),
            ),
            shared=self._shared_values,
        )

    def _make_value_server(self) -> GatewayServer | None:
        """Return the server of large values, ``None`` if its port is occupied.

        Notes
        -----
        The port is known to be free for datagrams only. Instances that get no value
        here ask the store.
        """
        address = f"{self._boot.host}:{self._boot.peer_port}"
        try:
            return GatewayServer(
                application=ValueApplication(
                    self._shared_values, self._metrics, self._list_hosts
                ),
                addresses=[address],
                threads=VALUE_THREADS,
                is_leaving=lambda: False,
                unanswered=UnansweredRequests(Metrics()),
                rules=CallerRules(
                    memory=CallerMemory(self._boot.memory_mb * 1e6),
                    get_limits=self._get_limits,
                    metrics=self._metrics,
                ),
                connections_max=limit_connections(
                    self._boot.max_fds, STATUS_FDS_FRACTION
                ),
            )
        except OSError as error:
            self._metrics.count("value_server_failures")
            log.error("values are not served at {}: {}", address, error)
            return None

    def _list_hosts(self) -> set[str]:
        """Return the hosts of the known instances, including this one."""
        others = {peer.host for peer in self._peers.list_all()}
        return others | {self._boot.host}

    def _make_permits(self) -> PermitClient:
        list_available = self._selector.list_available
        return PermitClient(
            peers=self._peers,
            coordinators=Coordinators(
                peers=self._peers,
                list_upstreams=list_available,
                find_service=self._platform_state.find_service,
            ),
            find_slots=lambda service: {u.id: u.slots for u in list_available(service)},
            send=lambda host, data: self._transport.send(host, data),
            clock=self._clock,
            metrics=self._metrics,
        )

    def _make_caller_server(self) -> GatewayServer:
        dispatcher = AttemptDispatcher(
            platform_state=self._platform_state,
            selector=self._selector,
            client=self._client,
            clock=self._clock,
            quarantine=self._quarantine,
            probe=ReachabilityProbe(self._pool, self._clock, self._metrics),
            metrics=self._metrics,
            permits=RequestPermits(
                self._permits,
                self._selector,
                self._clock,
                Feature.PERMITS in self._boot.features,
            ),
        )
        forwarder = Forwarder(
            selector=self._selector,
            dispatcher=dispatcher,
            clock=self._clock,
            buffers=AnswerBuffers(self._boot.memory_mb * 1e6, self._rules.memory),
            lookup=RouteLookup(
                self._platform_state,
                StateConfirmation(self._watcher, self._clock),
                self._clock,
            ),
        )
        application = CallerApplication(
            forwarder=forwarder,
            clock=self._clock,
            metrics=self._metrics,
            on_request=self._reporter.record_request,
            departure=self._departure,
        )
        return GatewayServer(
            application=application,
            addresses=[self._boot.callers_address],
            threads=CALLER_THREADS,
            is_leaving=lambda: self._departure.has_started,
            unanswered=UnansweredRequests(self._metrics),
            is_ending=lambda: self._departure.get_stage() is Stage.ENDING,
            rules=self._rules,
            connections_max=limit_connections(self._boot.max_fds, CALLERS_FDS_FRACTION),
        )

    def _make_status_server(self) -> GatewayServer:
        application = StatusApplication(
            peers=self._peers,
            clock=self._clock,
            metrics=self._metrics,
            is_ready=self.is_ready,
            get_address_ttl_s=lambda: min(ADDRESS_TTL_S, self._boot.address_keep_max_s),
        )
        return GatewayServer(
            application=application,
            addresses=[self._boot.ready_address, self._boot.directory_address],
            threads=STATUS_THREADS,
            is_leaving=lambda: False,
            # Operators' questions are not counted among the requests of callers.
            unanswered=UnansweredRequests(Metrics()),
            # Callers that use up their memory don't keep the platform from asking.
            rules=replace(
                self._rules,
                memory=CallerMemory(self._boot.memory_mb * 1e6 * STATUS_FRACTION),
            ),
            connections_max=limit_connections(self._boot.max_fds, STATUS_FDS_FRACTION),
        )

    def _get_limits(self) -> CallerLimits | None:
        table = self._platform_state.get_table()
        return None if table is None else table.limits

    def _make_report(self) -> bytes:
        self._client.check_survivors()
        return self._reporter.make_report()

    def _reload(self) -> None:
        """Reload the settings; invalid settings change nothing."""
        if self._load is None:
            return
        try:
            boot = self._load()
        except InvalidSettings as error:
            log.error("settings refused, the last ones stay: {}", error.problems)
            return
        changed = sorted(
            field.name
            for field in fields(boot)
            if getattr(boot, field.name) != getattr(self._boot, field.name)
        )
        later = [name for name in changed if name not in RELOADED_SETTINGS]
        now = {n: getattr(boot, n) for n in changed if n in RELOADED_SETTINGS}
        self._boot = replace(self._boot, **now)
        self._selector.set_boot(self._boot)
        log.info("settings read again", extra={"changed": now, "at_restart": later})

    def _run_maintenance(self) -> None:
        while not self._clock.wait(self._stopped, MAINTENANCE_INTERVAL_S):
            try:
                self._maintain()
            except Exception as error:  # noqa: BLE001
                # Without this thread, settings would not be reloaded any more.
                log.error("unexpected error in the upkeep: {!r}", error)

    def _maintain(self) -> None:
        if self._reload_requested.is_set():
            self._reload_requested.clear()
            self._reload()
        now = self._clock.monotonic()
        self._peers.drop_old(now)
        for removed in self._platform_state.remove_overdue(now):
            log.info("upstream {} did not return after the outage", removed)
        kept = self._platform_state.list_all()
        names = {upstream.id for upstream in kept}
        if restarted := self._platform_state.pop_restarted():
            log.info("upstreams restarted: {}", sorted(restarted))
            self._selector.retain(names - restarted)
        self._selector.retain(names)
        self._selector.ramps.retain(names)
        self._client.retain(names)
        self._pool.close_stale({upstream.address for upstream in kept})


def make_own_record(
    boot: BootSettings, clock: Clock, random_source: RandomSource
) -> PeerRecord:
    """Return the record of an instance that does not serve yet.

    Notes
    -----
    Incarnations grow with the wall clock, so that a restarted instance replaces its
    older records; the random part distinguishes two starts at the same time.
    """
    jitter = int(random_source.uniform(0, 1000))
    return PeerRecord(
        instance=boot.instance,
        host=boot.host,
        callers_address=boot.callers_address,
        zone=boot.zone,
        incarnation=int(clock.wall_time() * 1000) * 1000 + jitter,
        sequence=0,
        is_serving=False,
        last_seen_at=clock.monotonic(),
        capacity=round(compute_capacity(boot.cpu_cores, boot.link_mbps), 1),
    )


def run(environment: Mapping[str, str] | None = None) -> int:
    """Run one instance until SIGTERM; return the exit code.

    Notes
    -----
    Signals are waited for, not handled: a handler that interrupts another one, or the
    wait itself, would wait for a lock that its own thread holds. Threads inherit the
    mask of the main thread, so that it is set before they start.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    return_large_allocations()
    load = partial(load_boot, os.environ if environment is None else environment)
    with log_to_stdout() as handler:
        try:
            boot = load()
        except InvalidSettings as error:
            for problem in error.problems:
                log.error("settings: {}", problem)
            handler.flush_within(1.0)
            return EXIT_INVALID
        handler.instance = boot.instance
        gateway = Gateway(boot, SystemClock(), SystemRandomSource(), load)
        gateway.start()
        while signal.sigwait(SIGNALS) == signal.SIGHUP:
            gateway.request_reload()
        gateway.leave()
        handler.flush_within(0.2)
    return 0


__all__ = ["Gateway", "run"]
