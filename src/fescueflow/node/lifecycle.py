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

PEERS_POLL_S = 0.05
TICK_S = 0.05
# The pause detector ticks this often, and four times within its limit. A pause is
# never seen as shorter than it was.
PAUSE_TICK_S = 0.2
RECOVERY_ATTEMPT_S = 2.0
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
        tick_s = min(PAUSE_TICK_S, self.settings.pause_limit_ms / 4000)
        while not self._stop.is_set():
            self.components.foundation.pauses.tick()
            self._clock.wait(self._stop, tick_s)
        return 0 if self.shut_down() else 1

    def start(self) -> None:
        """Start all tasks and become ready once a configuration is in force."""
        base, links = self.components.foundation, self.components.communication
        control = self.components.control
        zone = self.settings.availability_zone
        base.audit.record(AuditKind.STARTED, availability_zone=zone)
        self.components.service.http_server.start()
        links.frame_server.start()
        links.endpoint.start()
        links.list_service.start()
        links.membership.start()
        links.list_relay.start()
        self._wait_for_peers()
        while not control.configuration.recover(RECOVERY_ATTEMPT_S):
            if self._stop.is_set():
                return
        control.configuration.start()
        control.rights.start()
        control.admission.start()
        self.components.service.transfers.start()
        links.membership.set_state(MemberState.LIVE)
        base.ready.set()
        log.info("instance is ready")

    def _wait_for_peers(self) -> None:
        """Wait until the peers that recovery asks are known, if there are any.

        Without them, a stale service would be the only source, and the instance
        would become ready below the revision in force. Listed instances that
        are dead delay the start by the time after which a member counts as dead.
        """
        links, own = self.components.communication, self.settings.instance_id
        end = self._clock.monotonic() + self.settings.dead_after_ms / 1000
        while not self._stop.is_set() and self._clock.monotonic() < end:
            snapshot = links.list_service.get_snapshot()
            if snapshot is not None:
                listed = sum(item.id != own for item in snapshot.instances)
                known = len(links.membership.get_members()) - 1
                if known >= min(PEERS_ASKED, listed):
                    return
            self._clock.wait(self._stop, PEERS_POLL_S)

    def shut_down(self) -> bool:
        """Stop without cutting a request.

        Returns
        -------
        bool
            Whether every request that was taken has finished.
        """
        base, links = self.components.foundation, self.components.communication
        dispatcher = self.components.service.dispatcher
        requests = self.components.service.requests
        settings = self.settings
        end = self._clock.monotonic() + settings.drain_timeout_ms / 1000
        log.info("instance is leaving")
        links.membership.set_state(MemberState.LEAVING)
        self._wait(LEAVE_NOTICE_HEARTBEATS * settings.heartbeat_interval_ms / 1000)
        self.components.control.rights.return_leases()
        self._wait(settings.address_keep_ms / 1000)
        requests.close()
        # Ids that callers hold still run here during a long drain: until the
        # handover nobody else can run them.
        self._drain(dispatcher.count_calls, end)
        requests.suspend()
        self._drain(dispatcher.count_running, end)
        running = dispatcher.count_running()
        base.invariants.check(
            Invariant.NOTHING_RUNNING_AT_EXIT, running == 0, running=running
        )
        requests.hand_over()
        self._wait(ADOPTION_NOTICE_HEARTBEATS * settings.heartbeat_interval_ms / 1000)
        links.membership.set_state(MemberState.DEAD)
        self._stop_tasks()
        base.audit.record(AuditKind.STOPPED, running=running)
        log.info("instance has stopped")
        return running == 0

    def _drain(self, count: Callable[[], int], end: float) -> None:
        while count() and self._clock.monotonic() < end:
            self._wait(TICK_S)

    def _wait(self, seconds: float) -> None:
        """Wait while the pause detector goes on ticking."""
        end = self._clock.monotonic() + seconds
        never = threading.Event()
        while (left := end - self._clock.monotonic()) > 0:
            self.components.foundation.pauses.tick()
            self._clock.wait(never, min(TICK_S, left))

    def _stop_tasks(self) -> None:
        links, control = self.components.communication, self.components.control
        for service in (
            self.components.service.http_server,
            self.components.service.dispatcher,
            self.components.service.transfers,
            control.admission,
            control.rights,
            control.configuration,
            links.membership,
            links.list_relay,
            links.list_service,
            links.endpoint,
            links.frame_server,
        ):
            try:
                service.stop()
            except Exception:
                # The other services must still be stopped, or the process stays.
                log.exception("a service did not stop cleanly")
                self.components.foundation.metrics.count("stop_failures")
        links.frame_client.close()


__all__ = ["Node"]
