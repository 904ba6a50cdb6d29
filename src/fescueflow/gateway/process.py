"""One instance on the platform, from its settings to its end."""

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
    Randomness,
    SystemClock,
    SystemRandomness,
)
from fescueflow.gateway.application import CallerApplication, PageApplication
from fescueflow.gateway.attempts import AttemptClient
from fescueflow.gateway.beliefs import Beliefs
from fescueflow.gateway.choice import Chooser
from fescueflow.gateway.connections import ConnectionPool
from fescueflow.gateway.forwarding import Forwarder
from fescueflow.gateway.loads import LoadBook
from fescueflow.gateway.logs import log_to_stdout
from fescueflow.gateway.peers import PeerLink, PeerRecord, PeerTable
from fescueflow.gateway.reporting import Reporter
from fescueflow.gateway.server import CALLER_THREADS, PAGE_THREADS, GatewayServer
from fescueflow.gateway.watching import (
    SILENCE_S,
    OperatorFollower,
    UpstreamFollower,
    Watcher,
)
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    ANSWER_BYTES_MAX,
    BootSettings,
    Limits,
    StoreClient,
    load_boot,
)

# How long callers keep an address, in seconds; a third of the longest, since some
# keep it three times as long.
ADDRESS_KEEP_S = 2.0
# Of the grace period, when connections are no longer taken and when unfinished answers
# end. Callers come with an old address for some seconds; what is taken later than 3 of
# the 8 s that the sheets give would have to be finished within the rest.
LISTEN_PART = 0.35
ANSWER_PART = 0.92
UPKEEP_S = 0.5
# Longest time for a whole answer of the store, in seconds.
READ_MAX_S = 3.0
EXIT_INVALID = 2
# Settings that a running process takes over; addresses and names need a restart.
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
    """All parts of one instance.

    Parameters
    ----------
    boot : BootSettings
    clock : Clock
    randomness : Randomness
    load : callable, optional
        Reads the settings again; raises ``InvalidSettings``.
    """

    def __init__(
        self,
        boot: BootSettings,
        clock: Clock,
        randomness: Randomness,
        load: Callable[[], BootSettings] | None = None,
    ) -> None:
        self._boot = boot
        self._load = load
        self._settings_changed = threading.Event()
        self._clock = clock
        self._metrics = Metrics()
        self._leaving = threading.Event()
        self._stopped = threading.Event()
        self._beliefs = Beliefs()
        self._loads = LoadBook()
        self._pool = ConnectionPool(clock)
        self._peers = PeerTable(make_own_record(boot, clock, randomness))
        self._chooser = Chooser(
            boot=boot,
            beliefs=self._beliefs,
            loads=self._loads,
            peers=self._peers,
            clock=clock,
        )
        self._reporter = Reporter(
            peers=self._peers,
            loads=self._loads,
            chooser=self._chooser,
            clock=clock,
            is_serving=self.is_ready,
        )
        self._link = PeerLink(
            table=self._peers,
            seeds=boot.seed_hosts,
            address=(boot.host, boot.peer_port),
            make_report=self._reporter.make_report,
            on_report=self._reporter.take_report,
            clock=clock,
            randomness=randomness,
        )
        self._watcher = self._make_watcher(randomness)
        self._callers = self._make_caller_server()
        self._pages = self._make_page_server()

    def start(self) -> None:
        """Start all tasks."""
        self._watcher.start()
        self._link.start()
        self._pages.start()
        self._callers.start()
        threading.Thread(target=self._keep_up, name="upkeep", daemon=True).start()
        log.info("started {} in {}", self._boot.instance, self._boot.zone)

    def note_settings_changed(self) -> None:
        """Have the settings read again soon; may be called by a signal handler."""
        self._settings_changed.set()

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self._beliefs.get_table() is not None and not self._leaving.is_set()

    def leave(self) -> None:
        """Serve until callers have gone elsewhere, then stop; once."""
        if self._leaving.is_set():
            return
        began = self._clock.monotonic()
        log.info("leaving")
        self._leaving.set()
        self._reporter.update_own()
        self._link.send_now()
        grace_s = self._boot.grace_s
        self._clock.wait(self._stopped, grace_s * LISTEN_PART)
        self._callers.close_listeners()
        idle = self._callers.wait_idle(began + grace_s * ANSWER_PART)
        log.info("stopped, all answers finished: {}", idle)
        self._stopped.set()
        self._watcher.stop()
        self._link.stop()
        self._callers.stop()
        self._pages.stop()

    def _make_watcher(self, randomness: Randomness) -> Watcher:
        limits = Limits(
            connect_s=SILENCE_S,
            silence_s=SILENCE_S,
            total_s=READ_MAX_S,
            body_bytes=ANSWER_BYTES_MAX,
        )
        return Watcher(
            client=StoreClient(self._boot.store_address, limits),
            followers=(
                OperatorFollower(self._beliefs, self._clock),
                UpstreamFollower(self._beliefs, self._clock),
            ),
            beliefs=self._beliefs,
            heartbeat_s=self._boot.server_heartbeat_s,
            clock=self._clock,
            randomness=randomness,
            metrics=self._metrics,
        )

    def _make_caller_server(self) -> GatewayServer:
        client = AttemptClient(
            pool=self._pool,
            chooser=self._chooser,
            loads=self._loads,
            clock=self._clock,
            metrics=self._metrics,
        )
        forwarder = Forwarder(
            beliefs=self._beliefs,
            chooser=self._chooser,
            client=client,
            clock=self._clock,
        )
        application = CallerApplication(
            forwarder=forwarder, clock=self._clock, metrics=self._metrics
        )
        return GatewayServer(
            application=application,
            addresses=[self._boot.callers_address],
            threads=CALLER_THREADS,
            is_leaving=self._leaving.is_set,
        )

    def _make_page_server(self) -> GatewayServer:
        application = PageApplication(
            peers=self._peers,
            clock=self._clock,
            metrics=self._metrics,
            is_ready=self.is_ready,
            get_keep_s=lambda: min(ADDRESS_KEEP_S, self._boot.address_keep_max_s),
        )
        return GatewayServer(
            application=application,
            addresses=[self._boot.ready_address, self._boot.directory_address],
            threads=PAGE_THREADS,
            is_leaving=lambda: False,
        )

    def _reload(self) -> None:
        """Read the settings again; those that are invalid change nothing."""
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
        self._chooser.set_boot(self._boot)
        log.info("settings read again", extra={"changed": now, "at_restart": later})

    def _keep_up(self) -> None:
        while not self._clock.wait(self._stopped, UPKEEP_S):
            if self._settings_changed.is_set():
                self._settings_changed.clear()
                self._reload()
            now = self._clock.monotonic()
            for gone in self._beliefs.drop_doubted(now):
                log.info("upstream {} did not return after the outage", gone)
            kept = self._beliefs.list_all()
            names = {upstream.id for upstream in kept}
            if restarted := self._beliefs.take_restarted():
                log.info("upstreams restarted: {}", sorted(restarted))
                self._chooser.forget(names - restarted)
            self._chooser.forget(names)
            self._pool.close_idle({upstream.address for upstream in kept})


def make_own_record(
    boot: BootSettings, clock: Clock, randomness: Randomness
) -> PeerRecord:
    """Return the record of an instance that does not serve yet.

    Notes
    -----
    Incarnations grow with the time of day, so that a restarted instance replaces
    what others know of it; the random part tells two starts at one time apart.
    """
    spread = int(randomness.uniform(0, 1000))
    return PeerRecord(
        instance=boot.instance,
        host=boot.host,
        callers_address=boot.callers_address,
        zone=boot.zone,
        incarnation=int(clock.wall() * 1000) * 1000 + spread,
        sequence=0,
        is_serving=False,
        heard_at=clock.monotonic(),
    )


def run(environment: Mapping[str, str] | None = None) -> int:
    """Run one instance until SIGTERM; return the exit code."""
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
        gateway = Gateway(boot, SystemClock(), SystemRandomness(), load)
        ended = threading.Event()
        signal.signal(signal.SIGTERM, lambda *_: ended.set())
        signal.signal(signal.SIGHUP, lambda *_: gateway.note_settings_changed())
        gateway.start()
        ended.wait()
        gateway.leave()
        handler.flush_within(0.2)
    return 0


__all__ = ["Gateway", "run"]
