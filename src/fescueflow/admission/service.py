"""Admission service: acquires slots and grants them as home of upstreams."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import logbook
from returns.result import Failure, Result, Success

from fescueflow.admission.client import RemoteSlotClient
from fescueflow.admission.digests import DigestSender
from fescueflow.admission.held import HeldSlots
from fescueflow.admission.home import HomeAdmission
from fescueflow.admission.loads import split_batches
from fescueflow.admission.pool import SlotPool
from fescueflow.admission.slots import (
    Grantee,
    LoadReader,
    Slot,
    SlotDemand,
    SlotRefused,
    UpstreamStatus,
)
from fescueflow.audit import AuditTrail
from fescueflow.configuration import ConfigurationStore
from fescueflow.core import (
    Clock,
    CustomerId,
    PlatformUnavailable,
    Priority,
    SlotId,
    UpstreamId,
    UpstreamRef,
    hash_upstream,
)
from fescueflow.invariants import Invariants
from fescueflow.membership import ListService, Member, MembershipService
from fescueflow.metrics import Metrics
from fescueflow.platform import ListedUpstream
from fescueflow.rights import RightsService
from fescueflow.schema import (
    Acknowledgement,
    CarriedLoad,
    LoadDigest,
    SlotGrant,
    SlotOutcome,
    SlotRecall,
    SlotRefusal,
    SlotRefusalReason,
    SlotRelease,
    SlotRequest,
    UpstreamLoad,
)
from fescueflow.settings import Settings
from fescueflow.transport import (
    DatagramEndpoint,
    FrameClient,
    FrameServer,
    Sender,
)

LOG = logbook.Logger("admission")

TICK_INTERVAL_S = 0.1
READER_THREADS = 8
JOIN_TIMEOUT_S = 2.0


class AdmissionService:
    """Acquires and releases slots, and grants them for upstreams whose home this is.

    Parameters
    ----------
    settings : Settings
    rights : RightsService
    membership : MembershipService
    list_service : ListService
    store : ConfigurationStore
    endpoint : DatagramEndpoint
    frame_server : FrameServer
    frame_client : FrameClient
    load_reader : LoadReader
    clock : Clock
    metrics : Metrics
    invariants : Invariants
    audit : AuditTrail
    """

    def __init__(
        self,
        *,
        settings: Settings,
        rights: RightsService,
        membership: MembershipService,
        list_service: ListService,
        store: ConfigurationStore,
        endpoint: DatagramEndpoint,
        frame_server: FrameServer,
        frame_client: FrameClient,
        load_reader: LoadReader,
        clock: Clock,
        metrics: Metrics,
        invariants: Invariants,
        audit: AuditTrail,
    ) -> None:
        self._rights = rights
        self._membership = membership
        self._list_service = list_service
        self._endpoint = endpoint
        self._load_reader = load_reader
        self._clock = clock
        self._metrics = metrics
        self._renew_interval_s = settings.lease_renew_ms / 1000
        self._report_interval_s = settings.load_report_interval_ms / 1000
        self._home = HomeAdmission(
            settings=settings,
            rights=rights,
            membership=membership,
            list_service=list_service,
            store=store,
            clock=clock,
            metrics=metrics,
            invariants=invariants,
            audit=audit,
            send_recall=self._send_recall,
        )
        self._remote = RemoteSlotClient(
            membership=membership,
            frame_client=frame_client,
            clock=clock,
            metrics=metrics,
            silence_timeout_s=settings.peer_silence_timeout_ms / 1000,
        )
        self._held_slots = HeldSlots()
        self._carried_due_at = float("-inf")
        self._carried_sequence = 0
        self._digests = DigestSender(
            membership=membership,
            endpoint=endpoint,
            list_loads=self._home.list_loads,
        )
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self._readers = ThreadPoolExecutor(READER_THREADS, "load-reader")
        frame_server.register(SlotRequest, self._handle_request)
        frame_server.register(SlotRelease, self._handle_release)
        endpoint.register(LoadDigest, self._handle_digest)
        endpoint.register(CarriedLoad, self._handle_carried)
        endpoint.register(SlotRecall, self._handle_recall)
        metrics.register_gauge("slots_held", lambda: len(self._held_slots))
        metrics.register_gauge("releases_pending", self._remote.count_pending)

    def start(self) -> None:
        """Start the thread that reads reports, sends loads and serves queues."""
        if self._thread is None:
            self._thread = threading.Thread(
                target=self._run, name="admission", daemon=True
            )
            self._thread.start()

    def stop(self) -> None:
        """Stop the thread and all pending work."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(JOIN_TIMEOUT_S)
            self._thread = None
        self._remote.stop()
        self._readers.shutdown(wait=False, cancel_futures=True)
        self._load_reader.close()

    def acquire(self, demand: SlotDemand) -> Result[Slot, SlotRefused]:
        """Obtain a slot from the upstream's home.

        Parameters
        ----------
        demand : SlotDemand

        Returns
        -------
        Result of Slot or SlotRefused
            A request that doesn't start before the slot's ``start_by`` must
            not start at all, and its slot is released as unused.
        """
        home = self._rights.choose_home(demand.upstream)
        if home is None:
            return Failure(SlotRefused(SlotRefusalReason.UNAVAILABLE, 0))
        if home.instance == self._membership.get_own_member().instance:
            result = self._acquire_here(demand)
        else:
            result = self._remote.acquire(home, demand)
        if isinstance(result, Success):
            self._held_slots.add(result.unwrap())
        return result

    def set_recall_callback(self, slot: Slot, callback: Callable[[], None]) -> None:
        """Set the callback for recalls of a slot; repeated recalls call it again.

        Parameters
        ----------
        slot : Slot
            Slot of a ``recallable`` demand.
        callback : callable
            Must not block.
        """
        self._held_slots.set_callback(slot, callback)

    def _acquire_here(self, demand: SlotDemand) -> Result[Slot, SlotRefused]:
        own = self._membership.get_own_member()
        result = self._home.acquire((own.instance, own.incarnation), demand)
        return result.map(lambda grant: Slot(grant[0], demand.upstream, own, grant[1]))

    def release(
        self, slot: Slot, outcome: SlotOutcome, first_byte_s: float | None = None
    ) -> None:
        """Release a slot; later calls for the same slot do nothing.

        Parameters
        ----------
        slot : Slot
        outcome : SlotOutcome
        first_byte_s : float, optional
            Time to the first byte of the response.
        """
        if not self._held_slots.remove(slot):
            return
        own = self._membership.get_own_member()
        if (slot.home.instance, slot.home.incarnation) == (
            own.instance,
            own.incarnation,
        ):
            grantee = (own.instance, own.incarnation)
            self._home.release(grantee, slot.id, outcome, first_byte_s)
        else:
            self._remote.release(slot, outcome, first_byte_s)

    def get_status(self) -> list[UpstreamStatus]:
        """Return the state of the upstreams whose home this instance is."""
        return self._home.get_status()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.tick()
            except Exception:
                # The thread must survive an error in one pass: it reads the load
                # reports, without which no request is admitted.
                LOG.exception("admission tick failed")
                self._metrics.count("task_failures", task="admission")
            self._clock.wait(self._stopping, TICK_INTERVAL_S)

    def tick(self) -> None:
        """Reclaim slots, read due reports and send due loads."""
        self._home.tick()
        for pool in self._take_due_pools():
            self._readers.submit(self.read_report, pool)
        now = self._clock.monotonic()
        if now >= self._carried_due_at:
            self._carried_due_at = now + self._renew_interval_s
            self.send_carried()
        self._digests.send_when_due(now)

    def _take_due_pools(self) -> list[SlotPool]:
        """Return the pools whose load report is due, and set their next due time."""
        now = self._clock.monotonic()
        due = []
        for pool in self._home.list_pools():
            if not self._rights.is_home(pool.upstream):
                continue
            with pool.lock:
                if pool.is_engine and pool.home_since is not None:
                    if now >= pool.read_due_at:
                        pool.read_due_at = now + self._report_interval_s
                        due.append(pool)
        return due

    def read_report(self, pool: SlotPool) -> None:
        """Read and apply the load report of one engine."""
        with pool.lock:
            after = pool.ramp.last_event or 0
            upstream = pool.upstream
        try:
            report = self._load_reader.read(upstream, after)
        except PlatformUnavailable:
            self._metrics.count("load_reports_failed")
            return
        self._home.apply_report(pool, report)

    def send_carried(self) -> None:
        """Report to current homes the running requests that earlier homes granted."""
        own = self._membership.get_own_member()
        counts: dict[UpstreamId, int] = {}
        targets: dict[UpstreamId, tuple[ListedUpstream, Member]] = {}
        for slot in self._held_slots.list_slots():
            home = self._rights.choose_home(slot.upstream)
            if home is None or is_same_home(home, slot.home):
                continue
            counts[slot.upstream.id] = counts.get(slot.upstream.id, 0) + 1
            targets[slot.upstream.id] = (slot.upstream, home)
        batches: dict[str, list[UpstreamLoad]] = {}
        for name, (upstream, home) in targets.items():
            if home.instance == own.instance:
                self._home.apply_carried(own.instance, upstream, counts[name])
                continue
            load = UpstreamLoad(hash_upstream(name), counts[name])
            batches.setdefault(home.peer_address, []).append(load)
        for address, loads in batches.items():
            for part in split_batches(loads):
                self._carried_sequence += 1
                content = CarriedLoad(part, self._carried_sequence)
                self._endpoint.send(address, content)

    def _find_upstreams(self, refs: set[UpstreamRef]) -> dict[int, ListedUpstream]:
        snapshot = self._list_service.get_snapshot()
        listed = snapshot.upstreams if snapshot else ()
        named = ((hash_upstream(u.id), u) for u in listed)
        return {ref: upstream for ref, upstream in named if ref in refs}

    def _handle_request(self, sender: Sender, content: SlotRequest) -> Any:
        upstream = self._list_service.get_upstream(UpstreamId(content.upstream))
        if upstream is None or content.priority not in list(Priority):
            return SlotRefusal(SlotRefusalReason.UNAVAILABLE, 0)
        demand = SlotDemand(
            request_key=content.request_key,
            upstream=upstream,
            customer=CustomerId(content.customer),
            priority=Priority(content.priority),
            share=content.share,
            wait_s=content.wait_ms / 1000,
            deadline_s=content.deadline_ms / 1000,
            recallable=content.recallable,
            resumed=content.resumed,
        )
        grantee: Grantee = (sender.instance, sender.incarnation)
        result = self._home.acquire(grantee, demand)
        if isinstance(result, Success):
            slot_id, start_by = result.unwrap()
            left_s = max(0.0, start_by - self._clock.monotonic())
            return SlotGrant(slot_id, int(left_s * 1000))
        refused = result.failure()
        return SlotRefusal(refused.reason, refused.retry_after_ms)

    def _handle_release(self, sender: Sender, content: SlotRelease) -> Any:
        first_byte_s = content.first_byte_ms / 1000 if content.first_byte_ms else None
        grantee: Grantee = (sender.instance, sender.incarnation)
        freed = self._home.release(
            grantee,
            SlotId(content.slot),
            content.outcome,
            first_byte_s,
            content.ended_ms_ago / 1000,
        )
        return Acknowledgement(freed)

    def _send_recall(self, grantee: Grantee, slot_id: SlotId) -> None:
        own = self._membership.get_own_member()
        if grantee == (own.instance, own.incarnation):
            self._held_slots.recall(grantee, slot_id)
            return
        member = self._membership.get_member(grantee[0])
        if member is not None and member.incarnation == grantee[1]:
            self._endpoint.send(member.peer_address, SlotRecall(slot_id))

    def _handle_recall(self, sender: Sender, content: SlotRecall) -> None:
        home = (sender.instance, sender.incarnation)
        self._held_slots.recall(home, SlotId(content.slot))

    def _handle_digest(self, sender: Sender, content: LoadDigest) -> None:
        now = self._clock.monotonic()
        lifetime_s = self._digests.times.lifetime_s
        self._home.digests.apply(sender.instance, content.loads, now, lifetime_s)

    def _handle_carried(self, sender: Sender, content: CarriedLoad) -> None:
        refs = {UpstreamRef(load.upstream) for load in content.loads}
        upstreams = self._find_upstreams(refs)
        for load in content.loads:
            upstream = upstreams.get(load.upstream)
            if upstream is not None:
                self._home.apply_carried(sender.instance, upstream, load.in_flight)


def is_same_home(one: Member, other: Member) -> bool:
    """Return whether two records belong to the same incarnation."""
    return (one.instance, one.incarnation) == (other.instance, other.incarnation)


__all__ = ["AdmissionService"]
