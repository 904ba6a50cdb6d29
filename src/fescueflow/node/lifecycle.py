"""Start, service and graceful shutdown of one instance."""

import signal
import threading
from collections.abc import Callable

import logbook

from fescueflow.audit import AuditKind
from fescueflow.configuration import PEERS_ASKED
from fescueflow.core import (
    Clock,
    Randomness,
    SystemClock,
    SystemRandomness,
)
from fescueflow.invariants import Invariant
from fescueflow.node.assembly import Components, assemble_components
from fescueflow.schema import MemberState
from fescueflow.settings import Settings
from fescueflow.transport import Network, SystemNetwork

log = logbook.Logger("node")

PEERS_POLL_INTERVAL_S = 0.05
SHUTDOWN_POLL_INTERVAL_S = 0.05
# The pause detector ticks this often, and four times within its limit. A pause is
# never seen as shorter than it was.
PAUSE_TICK_INTERVAL_S = 0.2
RECOVERY_ATTEMPT_TIMEOUT_S = 2.0
# Peers need a few heartbeats to learn that this instance leaves; leases go back
# only then, so that the next home can take them at once.
LEAVE_NOTICE_HEARTBEATS = 2
# Until the members know the successor, this instance still answers repeats with
# its address.
ADOPTION_NOTICE_HEARTBEATS = 4


class Node:
    """One instance of the fleet.

    Parameters
    ----------
    settings : Settings
    network : Network, optional
    clock : Clock, optional
    randomness : Randomness, optional
    strict : bool, optional
        Raise on a breach of an invariant instead of only reporting it.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        network: Network | None = None,
        clock: Clock | None = None,
        randomness: Randomness | None = None,
        strict: bool = False,
    ) -> None:
        self.settings = settings
        self._clock = clock or SystemClock()
        self._stop = threading.Event()
        self.components: Components = assemble_components(
            settings,
            network=network or SystemNetwork(),
            clock=self._clock,
            randomness=randomness or SystemRandomness(),
            strict=strict,
        )

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        Returns
        -------
        int
            0 after a graceful shutdown in which nothing was cut, else 1.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.request_stop())
        self.start()
        tick_s = min(PAUSE_TICK_INTERVAL_S, self.settings.pause_limit_ms / 4000)
        while not self._stop.is_set():
            self.components.shared.pauses.tick()
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
        """Wait until the peers that recovery asks are known, if there are any.

        Without them, a stale service would be the only source, and the instance
        would become ready below the revision in force. Listed instances that
        are dead delay the start by the time after which a member counts as dead.
        """
        communication, own = self.components.communication, self.settings.instance_id
        deadline = self._clock.monotonic() + self.settings.dead_after_ms / 1000
        while not self._stop.is_set() and self._clock.monotonic() < deadline:
            snapshot = communication.list_service.get_snapshot()
            if snapshot is not None:
                listed = sum(item.id != own for item in snapshot.instances)
                known = len(communication.membership.get_members()) - 1
                if known >= min(PEERS_ASKED, listed):
                    return
            self._clock.wait(self._stop, PEERS_POLL_INTERVAL_S)

    def shut_down(self) -> bool:
        """Stop without cutting a request.

        Returns
        -------
        bool
            Whether every request that was taken has finished.
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
        # Ids that callers hold still run here during a long drain: until the
        # handover nobody else can run them.
        self._drain(dispatcher.count_calls, deadline)
        requests.suspend()
        self._drain(dispatcher.count_running, deadline)
        running = dispatcher.count_running()
        shared.invariants.check(
            Invariant.NOTHING_RUNNING_AT_EXIT, running == 0, running=running
        )
        requests.hand_over()
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
        """Wait while the pause detector goes on ticking."""
        deadline = self._clock.monotonic() + seconds
        never_set = threading.Event()
        while (remaining_s := deadline - self._clock.monotonic()) > 0:
            self.components.shared.pauses.tick()
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
                # The other services must still be stopped, or the process stays.
                log.exception("a service did not stop cleanly")
                self.components.shared.metrics.count("stop_failures")
        communication.frame_client.close()


__all__ = ["Node"]
