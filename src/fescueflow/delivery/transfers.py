"""Import of cached prefixes from engines that leave the fleet."""

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
from fescueflow.delivery.calls import ResolvedRequest
from fescueflow.delivery.imports import (
    CacheImporter,
    ImportResult,
    ImportTrigger,
    PrefixImport,
)
from fescueflow.delivery.slots import HeldSlot
from fescueflow.metrics import Metrics
from fescueflow.placement import (
    Departure,
    DepartureTracker,
    PlacementService,
    RecentPrefix,
    RecentPrefixes,
)
from fescueflow.schema import SlotOutcome
from fescueflow.transport import Task

# Limits of the imports that one instance requests when an engine leaves: number at
# a time, minimum time between two of them, and time limit of each.
LEAVE_IMPORT_THREADS = 4
LEAVE_IMPORT_INTERVAL_S = 0.01
LEAVE_IMPORT_TIMEOUT_S = 1.0
# Time limit of the slot of such an import; the home instance reclaims it then.
LEAVE_IMPORT_SLOT_TIMEOUT_S = 2.0
# Pause after a refused slot, which limits the request rate to busy home instances.
REFUSED_PAUSE_S = 0.1
# A call waits for the import of its prefix for at most this fraction of the time
# until its deadline, and at most the time below.
CALL_IMPORT_DEADLINE_FRACTION = 0.1
CALL_IMPORT_TIMEOUT_MAX_S = 0.25
# Time that an import leaves for starting the request before its slot expires.
START_MARGIN_S = 0.2

log = logbook.Logger("delivery")


@dataclass(frozen=True, slots=True)
class Candidate:
    """A prefix of a leaving engine that may be imported elsewhere."""

    departure: Departure
    prefix: RecentPrefix


class PrefixTransfers:
    """Requests imports of prefixes from leaving engines.

    Prefixes are imported when an engine begins to leave, and when a chat sends
    another request while its engine leaves.

    Parameters
    ----------
    store : ConfigurationStore
    placement : PlacementService
    admission : AdmissionService
    departures : DepartureTracker
        Knows the engines that leave and may still export.
    recent_prefixes : RecentPrefixes
        Prefixes that engines have computed recently.
    importer : CacheImporter
    clock : Clock
    metrics : Metrics

    Notes
    -----
    Each import takes a slot of the importing engine. An import for a call uses
    the call's slot before the call does. An import that a departure triggers
    acquires its own slot, with the lowest priority and without waiting. A prefix
    is imported even if the engine may have cached a part of it from chats with
    the same beginning.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        placement: PlacementService,
        admission: AdmissionService,
        departures: DepartureTracker,
        recent_prefixes: RecentPrefixes,
        importer: CacheImporter,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._placement = placement
        self._admission = admission
        self._departures = departures
        self._recent_prefixes = recent_prefixes
        self._importer = importer
        self._clock = clock
        self._metrics = metrics
        self._new_departures: queue.SimpleQueue[Departure | None] = queue.SimpleQueue()
        self._requeued: queue.SimpleQueue[Candidate] = queue.SimpleQueue()
        self._task = Task("transfers", self._run)
        departures.subscribe(self._on_departure)

    def start(self) -> None:
        """Start the task that requests imports when an engine leaves."""
        self._task.start()

    def stop(self) -> None:
        """Stop the task; running imports end at their time limit at the latest."""
        self._new_departures.put(None)
        self._task.stop()

    def record_use(self, call: ResolvedRequest, upstream: UpstreamId) -> None:
        """Record that an engine has computed the prefix of a call."""
        if call.document is not None:
            self._recent_prefixes.record(
                call.customer.id, call.group, call.affinity_key, upstream
            )

    def import_for_call(
        self, call: ResolvedRequest, held_slot: HeldSlot, deadline: float
    ) -> None:
        """Import the prefix of a call from a leaving engine, in the call's slot."""
        if call.document is None:
            return
        departures = {
            departure.upstream.id: departure
            for departure in self._departures.list_exportable(call.group)
        }
        target = held_slot.slot.upstream
        if not departures:
            return
        source = self._placement.find_departing_upstream(
            call.customer,
            call.group,
            call.affinity_key,
            call.placement_token,
            [departure.upstream for departure in departures.values()],
        )
        if source is None:
            return
        now = self._clock.monotonic()
        limit_s = min(
            CALL_IMPORT_TIMEOUT_MAX_S, CALL_IMPORT_DEADLINE_FRACTION * (deadline - now)
        )
        ends_at = min(now + limit_s, held_slot.slot.start_by - START_MARGIN_S)
        prefix_import = PrefixImport(
            call.affinity_key, target, source, ImportTrigger.RETURN
        )
        self._send_import(prefix_import, departures[source.id], held_slot, ends_at)

    def _send_import(
        self,
        prefix_import: PrefixImport,
        departure: Departure,
        held_slot: HeldSlot,
        ends_at: float,
    ) -> ImportResult:
        def may_send() -> bool:
            is_in_time = self._clock.monotonic() < held_slot.slot.start_by
            return is_in_time and self._departures.is_exportable(departure)

        with self._importer.reserve(prefix_import) as reserved:
            if not reserved:
                return ImportResult.NOT_SENT
            return self._importer.send(prefix_import, ends_at, may_send)

    def _on_departure(self, departure: Departure) -> None:
        self._importer.reset_source_failures(departure.upstream.id)
        self._new_departures.put(departure)

    def _run(self, stopping: threading.Event) -> None:
        pending: deque[Candidate] = deque()
        running: set[Future[None]] = set()
        with ThreadPoolExecutor(LEAVE_IMPORT_THREADS, "imports") as pool:
            while not stopping.is_set():
                collected = self._collect_candidates(pending, wait=not running)
                if collected is None:
                    return
                pending = collected
                running = {future for future in running if not future.done()}
                if len(running) < LEAVE_IMPORT_THREADS:
                    candidate = self._pop_exportable(pending)
                    if candidate is not None:
                        running.add(
                            pool.submit(self._import_candidate, candidate, stopping)
                        )
                self._clock.wait(stopping, LEAVE_IMPORT_INTERVAL_S)

    def _collect_candidates(
        self, pending: deque[Candidate], wait: bool
    ) -> deque[Candidate] | None:
        """Return the candidates with those of new departures and the requeued ones.

        Parameters
        ----------
        pending : deque of Candidate
        wait : bool
            Whether to wait for a departure if there is no candidate.

        Returns
        -------
        deque of Candidate or None
            ``None`` when the service stops.
        """
        while not self._requeued.empty():
            pending.append(self._requeued.get())
        added: list[Candidate] = []
        wait = wait and not pending
        while wait or not self._new_departures.empty():
            departure = self._new_departures.get()
            wait = False
            if departure is None:
                return None
            if self._may_export(departure):
                prefixes = self._recent_prefixes.iterate_upstream(departure.upstream.id)
                added += [Candidate(departure, prefix) for prefix in prefixes]
        if not added:
            return pending
        # The most recently used prefixes first, of all engines that leave together.
        return deque(sorted([*pending, *added], key=lambda c: -c.prefix.used_at))

    def _may_export(self, departure: Departure) -> bool:
        configuration = self._store.get()
        if configuration is None:
            return False
        group = configuration.groups.get(departure.upstream.group)
        return group is not None and group.export_after_leave_ms > 0

    def _pop_exportable(self, pending: deque[Candidate]) -> Candidate | None:
        """Return the next candidate whose engine may still export."""
        while pending:
            candidate = pending.popleft()
            if self._departures.is_exportable(candidate.departure):
                return candidate
            self._metrics.count("cache_imports_left_out")
        return None

    def _import_candidate(
        self, candidate: Candidate, stopping: threading.Event
    ) -> None:
        """Import one prefix; requeue it if there is no slot for it."""
        try:
            if not self._import_prefix(candidate.prefix, candidate.departure):
                self._clock.wait(stopping, REFUSED_PAUSE_S)
                self._requeued.put(candidate)
        except Exception as error:
            self._metrics.count("callback_errors", source="transfers")
            log.error("import of a prefix failed: {!r}", error)

    def _import_prefix(self, prefix: RecentPrefix, departure: Departure) -> bool:
        """Return whether the candidate is done; false if it is to be requeued."""
        configuration = self._store.get()
        customer = configuration and configuration.customers.get(prefix.customer)
        if not customer:
            return True
        ranked = self._placement.rank(customer, prefix.group, prefix.affinity_key, None)
        if not ranked:
            return True
        prefix_import = PrefixImport(
            prefix.affinity_key, ranked[0], departure.upstream, ImportTrigger.LEAVE
        )
        if not self._importer.should_import(prefix_import):
            return True
        slot_ends_at = self._clock.monotonic() + LEAVE_IMPORT_SLOT_TIMEOUT_S
        held_slot = self._acquire(customer, prefix_import)
        if held_slot is None:
            return False
        ends_at = min(self._clock.monotonic() + LEAVE_IMPORT_TIMEOUT_S, slot_ends_at)
        result = ImportResult.NOT_SENT
        try:
            result = self._send_import(prefix_import, departure, held_slot, ends_at)
        finally:
            # Not COMPLETED, because an import does not warm the engine up.
            is_unused = result is ImportResult.NOT_SENT
            held_slot.release(SlotOutcome.UNUSED if is_unused else SlotOutcome.FAILED)
        if result is ImportResult.DONE:
            # The importing engine may leave, too, before the chat's next request.
            self._recent_prefixes.record(
                prefix.customer,
                prefix.group,
                prefix.affinity_key,
                prefix_import.target.id,
                prefix.used_at,
            )
        return result is not ImportResult.NOT_SENT

    def _acquire(
        self, customer: Customer, prefix_import: PrefixImport
    ) -> HeldSlot | None:
        result = self._admission.acquire(
            SlotDemand(
                request_key=f"cache-import/{prefix_import.target.id}",
                upstream=prefix_import.target,
                customer=customer.id,
                priority=Priority.BATCH,
                share=customer.share,
                wait_s=0.0,
                deadline_s=LEAVE_IMPORT_SLOT_TIMEOUT_S,
            )
        )
        if is_successful(result):
            return HeldSlot(self._admission, result.unwrap())
        return None


__all__ = ["PrefixTransfers"]
