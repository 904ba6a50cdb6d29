"""Startup, operation and graceful shutdown of one instance."""

import signal
import threading
from collections.abc import Callable

import logbook

from fescueflow.audit import AuditKind
from fescueflow.configuration import RECOVERY_PEERS_MAX
from fescueflow.core import (
    Clock,
    RandomSource,
    SystemClock,
    SystemRandomSource,
)
from fescueflow.invariants import Invariant
from fescueflow.node.assembly import Components, assemble_components
from fescueflow.schema import MemberState
from fescueflow.settings import Settings
from fescueflow.transport import Network, SystemNetwork

log = logbook.Logger("node")

PEERS_POLL_INTERVAL_S = 0.05
SHUTDOWN_POLL_INTERVAL_S = 0.05
# Longest interval between ticks of the pause detector, which also ticks at least four
# times within its limit. A pause is never measured as shorter than it was.
PAUSE_TICK_INTERVAL_S = 0.2
RECOVERY_ATTEMPT_TIMEOUT_S = 2.0
# Heartbeats until peers know that this instance is leaving. Leases are returned only
# then, so that the next home can take them at once.
LEAVE_NOTICE_HEARTBEATS = 2
# Heartbeats until the members know the successor. Until then this instance still
# answers repeated requests with the successor's address.
ADOPTION_NOTICE_HEARTBEATS = 4


class Node:
    """One instance of the fleet.

    Parameters
    ----------
    settings : Settings
    network : Network, optional
    clock : Clock, optional
    random_source : RandomSource, optional
    strict : bool, optional
        Raise when an invariant is violated instead of only reporting it.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        network: Network | None = None,
        clock: Clock | None = None,
        random_source: RandomSource | None = None,
        strict: bool = False,
    ) -> None:
        self.settings = settings
        self._clock = clock or SystemClock()
        self._stop = threading.Event()
        self.components: Components = assemble_components(
            settings,
            network=network or SystemNetwork(),
            clock=self._clock,
            random_source=random_source or SystemRandomSource(),
            strict=strict,
        )

    def request_stop(self) -> None:
        """Request a graceful shutdown."""
        self._stop.set()

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        Returns
        -------
        int
            0 if every accepted request finished before the exit, else 1.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.request_stop())
        self.start()
        tick_s = min(PAUSE_TICK_INTERVAL_S, self.settings.pause_limit_ms / 4000)
        while not self._stop.is_set():
            self.components.shared.pause_detector.tick()
            self._clock.wait(self._stop, tick_s)
        return 0 if self.shut_down() else 1

    def start(self) -> None:
        """Start all tasks and become ready once a configuration is in force."""
        shared, communication = self.components.shared, self.components.communication
        control = self.components.control
        zone = self.settings.availability_zone
        shared.audit.record(AuditKind.STARTED, availability_zone=zone)
        self.components.serving.http_server.start()
        communication.frame_server.start()
        communication.endpoint.start()
        communication.list_service.start()
        communication.membership.start()
        communication.list_relay.start()
        self._wait_for_peers()
        while not control.configuration.recover(RECOVERY_ATTEMPT_TIMEOUT_S):
            if self._stop.is_set():
                return
        control.configuration.start()
        control.rights.start()
        control.admission.start()
        self.components.serving.transfers.start()
        communication.membership.set_state(MemberState.LIVE)
        shared.ready.set()
        log.info("instance is ready")

    def _wait_for_peers(self) -> None:
        """Wait until the peers that recovery queries are known, if there are any.

        Without them, a stale configuration service would be the only source, and the
        instance would become ready with a revision older than the one in force.
        Listed instances that are dead delay the start by ``dead_after_ms``.
        """
        communication, own = self.components.communication, self.settings.instance_id
        deadline = self._clock.monotonic() + self.settings.dead_after_ms / 1000
        while not self._stop.is_set() and self._clock.monotonic() < deadline:
            snapshot = communication.list_service.get_snapshot()
            if snapshot is not None:
                listed = sum(item.id != own for item in snapshot.instances)
                known = len(communication.membership.get_members()) - 1
                if known >= min(RECOVERY_PEERS_MAX, listed):
                    return
            self._clock.wait(self._stop, PEERS_POLL_INTERVAL_S)

    def shut_down(self) -> bool:
        """Shut down without aborting requests that finish in time.

        Returns
        -------
        bool
            Whether every accepted request has finished.
        """
        shared, communication = self.components.shared, self.components.communication
        dispatcher = self.components.serving.dispatcher
        requests = self.components.serving.requests
        settings = self.settings
        deadline = self._clock.monotonic() + settings.drain_timeout_ms / 1000
        log.info("instance is leaving")
        communication.membership.set_state(MemberState.LEAVING)
        self._wait(LEAVE_NOTICE_HEARTBEATS * settings.heartbeat_interval_ms / 1000)
        self.components.control.rights.return_leases()
        self._wait(settings.address_keep_ms / 1000)
        requests.close()
        # Requests with ids that callers already hold still run here during a long
        # drain, because no other instance can run them before the handover.
        self._drain(dispatcher.count_running_calls, deadline)
        requests.suspend()
        self._drain(dispatcher.count_running_requests, deadline)
        running = dispatcher.count_running_requests()
        shared.invariants.check(
            Invariant.NOTHING_RUNNING_AT_EXIT, running == 0, running=running
        )
        if not requests.hand_over():
            # Repeats of these requests get `outcome_unknown` from now on.
            log.warning("records of requests were not handed over completely")
            shared.metrics.count("handovers_incomplete")
        self._wait(ADOPTION_NOTICE_HEARTBEATS * settings.heartbeat_interval_ms / 1000)
        communication.membership.set_state(MemberState.DEAD)
        self._stop_tasks()
        shared.audit.record(AuditKind.STOPPED, running=running)
        log.info("instance has stopped")
        return running == 0

    def _drain(self, count: Callable[[], int], deadline: float) -> None:
        while count() and self._clock.monotonic() < deadline:
            self._wait(SHUTDOWN_POLL_INTERVAL_S)

    def _wait(self, seconds: float) -> None:
        """Wait while the pause detector keeps ticking."""
        deadline = self._clock.monotonic() + seconds
        never_set = threading.Event()
        while (remaining_s := deadline - self._clock.monotonic()) > 0:
            self.components.shared.pause_detector.tick()
            self._clock.wait(never_set, min(SHUTDOWN_POLL_INTERVAL_S, remaining_s))

    def _stop_tasks(self) -> None:
        communication, control = self.components.communication, self.components.control
        for component in (
            self.components.serving.http_server,
            self.components.serving.dispatcher,
            self.components.serving.transfers,
            control.admission,
            control.rights,
            control.configuration,
            communication.membership,
            communication.list_relay,
            communication.list_service,
            communication.endpoint,
            communication.frame_server,
        ):
            try:
                component.stop()
            except Exception:
                # The other components must still stop, or the process does not exit.
                log.exception("a component did not stop cleanly")
                self.components.shared.metrics.count("stop_failures")
        communication.frame_client.close()


__all__ = ["Node"]
