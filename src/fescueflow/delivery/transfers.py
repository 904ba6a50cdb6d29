"""Moves cached prefixes from leaving engines to the engines that follow them."""

import queue
import threading
from collections import deque
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass

import logbook
from returns.pipeline import is_successful

from fescueflow.admission import AdmissionService, SlotDemand
from fescueflow.configuration import ConfigurationStore, Customer
from fescueflow.core import Clock, Priority, UpstreamId
from fescueflow.delivery.calls import ResolvedCall
from fescueflow.delivery.imports import (
    CacheImporter,
    ImportResult,
    ImportTrigger,
    PrefixMove,
)
from fescueflow.delivery.slots import HeldSlot
from fescueflow.metrics import Metrics
from fescueflow.placement import (
    Leave,
    LeaveTracker,
    PlacementService,
    RecentPrefix,
    RecentPrefixes,
)
from fescueflow.schema import SlotOutcome
from fescueflow.transport import Task

# Limits of one instance's burst when an engine leaves: imports at a time, least
# time between two of them, and the time limit of each.
BURST_THREADS = 4
BURST_PAUSE_S = 0.01
BURST_IMPORT_S = 1.0
# How long the slot of such an import is held at most; the home takes it back then.
BURST_SLOT_S = 2.0
# Pause after a refused slot, so that busy homes are not asked without a break.
REFUSED_PAUSE_S = 0.1
# A returning chat waits for an import no longer than this part of the time left
# until its deadline.
RETURN_PART = 0.1
RETURN_IMPORT_MAX_S = 0.25
# What an import leaves of the time in which the request's slot must be used.
START_MARGIN_S = 0.2

log = logbook.Logger("delivery")


@dataclass(frozen=True, slots=True)
class Candidate:
    """A prefix of a leaving engine that may be moved."""

    leave: Leave
    use: RecentPrefix


class PrefixTransfers:
    """Has prefixes imported, when an engine leaves and when a chat returns.

    Parameters
    ----------
    store : ConfigurationStore
    placement : PlacementService
    admission : AdmissionService
    leaves : LeaveTracker
    recent : RecentPrefixes
    importer : CacheImporter
    clock : Clock
    metrics : Metrics

    Notes
    -----
    Each import takes a slot of the importing engine: one that returns with a
    chat uses the chat's slot before the chat does, one at the leave takes its
    own, with the lowest priority and without waiting. The new engine may hold a
    part of a prefix already, from chats that share its beginning; that it does
    is no reason to leave the rest.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        placement: PlacementService,
        admission: AdmissionService,
        leaves: LeaveTracker,
        recent: RecentPrefixes,
        importer: CacheImporter,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._placement = placement
        self._admission = admission
        self._leaves = leaves
        self._recent = recent
        self._importer = importer
        self._clock = clock
        self._metrics = metrics
        self._begun: queue.SimpleQueue[Leave | None] = queue.SimpleQueue()
        self._put_back: queue.SimpleQueue[Candidate] = queue.SimpleQueue()
        self._task = Task("transfers", self._run)
        leaves.subscribe(self._note_leave)

    def start(self) -> None:
        """Start the task that asks for imports when an engine leaves."""
        self._task.start()

    def stop(self) -> None:
        """End the task; imports in progress end by their time limit."""
        self._begun.put(None)
        self._task.stop()

    def note_use(self, call: ResolvedCall, upstream: UpstreamId) -> None:
        """Note that an engine has computed the prefix of a call."""
        if call.document is not None:
            self._recent.note(call.customer.id, call.group, call.affinity_key, upstream)

    def import_for(self, call: ResolvedCall, held: HeldSlot, deadline: float) -> None:
        """Import the prefix of a call whose engine leaves, under the call's slot."""
        if call.document is None:
            return
        leaves = {
            leave.upstream.id: leave for leave in self._leaves.list_open(call.group)
        }
        target = held.slot.upstream
        if not leaves:
            return
        source = self._placement.find_former(
            call.customer,
            call.group,
            call.affinity_key,
            call.token,
            [leave.upstream for leave in leaves.values()],
        )
        if source is None:
            return
        now = self._clock.monotonic()
        limit_s = min(RETURN_IMPORT_MAX_S, RETURN_PART * (deadline - now))
        ends_at = min(now + limit_s, held.slot.start_by - START_MARGIN_S)
        move = PrefixMove(call.affinity_key, target, source, ImportTrigger.RETURN)
        self._send(move, leaves[source.id], held, ends_at)

    def _send(
        self, move: PrefixMove, leave: Leave, held: HeldSlot, ends_at: float
    ) -> ImportResult:
        def may_send() -> bool:
            is_in_time = self._clock.monotonic() < held.slot.start_by
            return is_in_time and self._leaves.is_open(leave)

        with self._importer.reserve(move) as taken:
            if not taken:
                return ImportResult.NOT_SENT
            return self._importer.send(move, ends_at, may_send)

    def _note_leave(self, leave: Leave) -> None:
        self._importer.reset_source(leave.upstream.id)
        self._begun.put(leave)

    def _run(self, stopping: threading.Event) -> None:
        pending: deque[Candidate] = deque()
        running: set[Future[None]] = set()
        with ThreadPoolExecutor(BURST_THREADS, "imports") as pool:
            while not stopping.is_set():
                collected = self._collect(pending, wait=not running)
                if collected is None:
                    return
                pending = collected
                running = {future for future in running if not future.done()}
                if len(running) < BURST_THREADS:
                    candidate = self._take_open(pending)
                    if candidate is not None:
                        running.add(pool.submit(self._move, candidate, stopping))
                self._clock.wait(stopping, BURST_PAUSE_S)

    def _collect(
        self, pending: deque[Candidate], wait: bool
    ) -> deque[Candidate] | None:
        """Return the candidates with those of new leaves and those put back.

        Parameters
        ----------
        pending : deque of Candidate
        wait : bool
            Whether to wait for a leave if there is no candidate.

        Returns
        -------
        deque of Candidate or None
            ``None`` when the service stops.
        """
        while not self._put_back.empty():
            pending.append(self._put_back.get())
        added: list[Candidate] = []
        wait = wait and not pending
        while wait or not self._begun.empty():
            leave = self._begun.get()
            wait = False
            if leave is None:
                return None
            if self._may_export(leave):
                uses = self._recent.iterate(leave.upstream.id)
                added += [Candidate(leave, use) for use in uses]
        if not added:
            return pending
        # Engines that leave together share the time, so their prefixes are mixed.
        return deque(sorted([*pending, *added], key=lambda c: -c.use.used_at))

    def _may_export(self, leave: Leave) -> bool:
        configuration = self._store.get()
        if configuration is None:
            return False
        group = configuration.groups.get(leave.upstream.group)
        return group is not None and group.export_after_leave_ms > 0

    def _take_open(self, pending: deque[Candidate]) -> Candidate | None:
        """Return the next candidate whose engine may still export."""
        while pending:
            candidate = pending.popleft()
            if self._leaves.is_open(candidate.leave):
                return candidate
            self._metrics.count("cache_imports_left_out")
        return None

    def _move(self, candidate: Candidate, stopping: threading.Event) -> None:
        """Import one prefix; put it back if there is no slot for it now."""
        try:
            if not self._import(candidate.use, candidate.leave):
                self._clock.wait(stopping, REFUSED_PAUSE_S)
                self._put_back.put(candidate)
        except Exception as error:
            self._metrics.count("callback_errors", source="transfers")
            log.error("importing a prefix failed: {!r}", error)

    def _import(self, use: RecentPrefix, leave: Leave) -> bool:
        """Return whether the import was asked for or is not needed."""
        configuration = self._store.get()
        customer = configuration and configuration.customers.get(use.customer)
        if not customer:
            return True
        ranked = self._placement.rank(customer, use.group, use.affinity_key, None)
        if not ranked:
            return True
        move = PrefixMove(
            use.affinity_key, ranked[0], leave.upstream, ImportTrigger.LEAVE
        )
        if not self._importer.is_useful(move):
            return True
        slot_ends_at = self._clock.monotonic() + BURST_SLOT_S
        held = self._acquire(customer, move)
        if held is None:
            return False
        ends_at = min(self._clock.monotonic() + BURST_IMPORT_S, slot_ends_at)
        result = ImportResult.NOT_SENT
        try:
            result = self._send(move, leave, held, ends_at)
        finally:
            # Not as completed: an import is no answer that warms an engine.
            is_unused = result is ImportResult.NOT_SENT
            held.release(SlotOutcome.UNUSED if is_unused else SlotOutcome.FAILED)
        if result is ImportResult.DONE:
            # The new engine may leave, too, before the chats return.
            self._recent.note(
                use.customer, use.group, use.affinity_key, move.target.id, use.used_at
            )
        return result is not ImportResult.NOT_SENT

    def _acquire(self, customer: Customer, move: PrefixMove) -> HeldSlot | None:
        result = self._admission.acquire(
            SlotDemand(
                request_key=f"cache-import/{move.target.id}",
                upstream=move.target,
                customer=customer.id,
                priority=Priority.BATCH,
                share=customer.share,
                wait_s=0.0,
                deadline_s=BURST_SLOT_S,
            )
        )
        if is_successful(result):
            return HeldSlot(self._admission, result.unwrap())
        return None


__all__ = ["PrefixTransfers"]
