"""Client side of admission: slots of remote homes and their release."""

import threading
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from math import ceil

from returns.result import Failure, Result, Success

from fescueflow.admission.slots import Slot, SlotDemand, SlotRefused
from fescueflow.core import Clock, Incarnation, InstanceId, PeerError, SlotId
from fescueflow.membership import Member, MembershipService
from fescueflow.metrics import Metrics
from fescueflow.schema import (
    Acknowledgement,
    SlotGrant,
    SlotOutcome,
    SlotRefusal,
    SlotRefusalReason,
    SlotRelease,
    SlotRequest,
)
from fescueflow.transport import FrameClient

BACK_OFF_MIN_S = 0.1
BACK_OFF_MAX_S = 2.0
RELEASE_THREADS = 16

HomeKey = tuple[InstanceId, Incarnation]


@dataclass(frozen=True)
class PendingMessage:
    """A message that the home has not acknowledged."""

    content: SlotRelease | SlotRequest
    created_at: float


def make_request(demand: SlotDemand) -> SlotRequest:
    """Return the message for a demand."""
    return SlotRequest(
        request_key=demand.request_key,
        upstream=demand.upstream.id,
        customer=demand.customer,
        priority=int(demand.priority),
        share=demand.share,
        wait_ms=max(0, int(demand.wait_s * 1000)),
        deadline_ms=max(0, int(demand.deadline_s * 1000)),
        recallable=demand.recallable,
        resumed=demand.resumed,
    )


class RemoteDesk:
    """Slots from other instances.

    Parameters
    ----------
    membership : MembershipService
    frame_client : FrameClient
    clock : Clock
    metrics : Metrics
    silence_timeout_s : float
        A home that stays silent longer is taken for unavailable.
    """

    def __init__(
        self,
        *,
        membership: MembershipService,
        frame_client: FrameClient,
        clock: Clock,
        metrics: Metrics,
        silence_timeout_s: float,
    ) -> None:
        self._membership = membership
        self._frame_client = frame_client
        self._clock = clock
        self._metrics = metrics
        self._silence_timeout_s = silence_timeout_s
        self._lock = threading.Lock()
        self._lanes: dict[HomeKey, deque[PendingMessage]] = {}
        self._stopping = threading.Event()
        self._executor = ThreadPoolExecutor(RELEASE_THREADS, "slot-release")

    def acquire(self, home: Member, demand: SlotDemand) -> Result[Slot, SlotRefused]:
        """Ask a home for a slot.

        ``start_by`` counts from before the request was sent, the home counts
        the same duration from its later grant.
        """
        request = make_request(demand)
        started_at = self._clock.monotonic()
        timeout_s = demand.wait_s + self._silence_timeout_s
        sent = False
        for reuse in (True, False):
            asked_at = self._clock.monotonic()
            left = timeout_s - (asked_at - started_at)
            try:
                answer = self._frame_client.exchange(
                    home.peer_address, request, left, reuse
                )
                return self._read_answer(home, demand, asked_at, answer)
            except PeerError as error:
                self._metrics.count("slot_requests_failed")
                sent = sent or error.sent
            spent_s = self._clock.monotonic() - started_at
            if spent_s >= self._silence_timeout_s / 2:
                break
        if sent:
            # The home may have granted a slot: the same key obtains it again,
            # so that it is released before the home's reclaim. With its deadline
            # over, the home neither grants nor recalls another slot for it.
            home_key = (home.instance, home.incarnation)
            again = replace(request, wait_ms=0, deadline_ms=0)
            self._enqueue(home_key, again)
        return Failure(SlotRefused(SlotRefusalReason.UNAVAILABLE, 0))

    def _read_answer(
        self, home: Member, demand: SlotDemand, asked_at: float, answer: object
    ) -> Result[Slot, SlotRefused]:
        if isinstance(answer, SlotGrant):
            start_by = asked_at + answer.start_within_ms / 1000
            return Success(Slot(SlotId(answer.slot), demand.upstream, home, start_by))
        if isinstance(answer, SlotRefusal):
            return Failure(SlotRefused(answer.reason, answer.retry_after_ms))
        raise PeerError(f"unexpected answer {type(answer).__name__}", sent=True)

    def release(
        self, slot: Slot, outcome: SlotOutcome, first_byte_s: float | None
    ) -> None:
        """Send the release in the background until it is acknowledged."""
        first_byte_ms = 0 if first_byte_s is None else max(1, int(first_byte_s * 1000))
        home = (slot.home.instance, slot.home.incarnation)
        self._enqueue(home, SlotRelease(slot.id, outcome, first_byte_ms))

    def _enqueue(self, home: HomeKey, content: SlotRelease | SlotRequest) -> None:
        message = PendingMessage(content, self._clock.monotonic())
        with self._lock:
            if self._stopping.is_set():
                return
            lane = self._lanes.get(home)
            if lane is not None:
                lane.append(message)
                return
            self._lanes[home] = deque([message])
            self._executor.submit(self._drain, home)

    def count_pending(self) -> int:
        """Return releases that are not acknowledged."""
        with self._lock:
            return sum(len(lane) for lane in self._lanes.values())

    def _drain(self, home: HomeKey) -> None:
        delay_s = BACK_OFF_MIN_S
        while not self._stopping.is_set():
            delivered = self.send_next(home)
            if delivered is None:
                return
            if delivered:
                delay_s = BACK_OFF_MIN_S
                continue
            self._clock.wait(self._stopping, delay_s)
            delay_s = min(BACK_OFF_MAX_S, delay_s * 2)

    def send_next(self, home: HomeKey) -> bool | None:
        """Try the oldest release of a home; ``None`` if there is none left."""
        with self._lock:
            lane = self._lanes.get(home)
            if not lane:
                self._lanes.pop(home, None)
                return None
            message = lane[0]
        delivered = self._deliver(home, message)
        if delivered:
            with self._lock:
                lane.popleft()
        return delivered

    def _deliver(self, home: HomeKey, message: PendingMessage) -> bool:
        """Return whether the message needs no further attempt."""
        member = self._membership.get_member(home[0])
        if self._membership.is_gone(*home):
            return True
        if member is None or member.incarnation != home[1]:
            return False
        content = message.content
        if isinstance(content, SlotRelease):
            age_s = self._clock.monotonic() - message.created_at
            content = replace(content, ended_ms_ago=ceil(age_s * 1000))
        try:
            answer = self._frame_client.exchange(
                member.peer_address, content, self._silence_timeout_s
            )
        except PeerError:
            self._metrics.count("slot_releases_failed")
            return False
        if isinstance(answer, SlotGrant):
            release = SlotRelease(answer.slot, SlotOutcome.UNUSED, 0)
            self._enqueue(home, release)
            return True
        return isinstance(answer, Acknowledgement | SlotRefusal)

    def stop(self) -> None:
        """Stop sending; homes reclaim what was not released."""
        self._stopping.set()
        self._executor.shutdown(wait=False, cancel_futures=True)


__all__ = ["RemoteDesk", "make_request"]
