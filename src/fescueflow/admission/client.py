"""Client side of admission: acquires slots from remote homes and releases them."""

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

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0
RELEASE_THREADS = 16

HomeKey = tuple[InstanceId, Incarnation]


@dataclass(frozen=True)
class PendingMessage:
    """A message that the home has not acknowledged yet."""

    content: SlotRelease | SlotRequest
    created_at: float


def make_request(demand: SlotDemand) -> SlotRequest:
    """Return the request message for a demand."""
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


class RemoteSlotClient:
    """Acquires and releases slots of upstreams whose home is another instance.

    Parameters
    ----------
    membership : MembershipService
    frame_client : FrameClient
    clock : Clock
    metrics : Metrics
    silence_timeout_s : float
        A home that does not answer within this time is considered unavailable.
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
        self._pending_by_home: dict[HomeKey, deque[PendingMessage]] = {}
        self._stopping = threading.Event()
        self._executor = ThreadPoolExecutor(RELEASE_THREADS, "slot-release")

    def acquire(self, home: Member, demand: SlotDemand) -> Result[Slot, SlotRefused]:
        """Request a slot from a home.

        Notes
        -----
        ``start_by`` is counted from before the request was sent. The home counts
        the same duration from its later grant, so the local value never ends
        after the home's.
        """
        request = make_request(demand)
        started_at = self._clock.monotonic()
        timeout_s = demand.wait_s + self._silence_timeout_s
        sent = False
        for reuse in (True, False):
            asked_at = self._clock.monotonic()
            remaining_s = timeout_s - (asked_at - started_at)
            try:
                response = self._frame_client.exchange(
                    home.peer_address, request, remaining_s, reuse
                )
                return self._parse_response(home, demand, asked_at, response)
            except PeerError as error:
                self._metrics.count("slot_requests_failed")
                sent = sent or error.sent
            spent_s = self._clock.monotonic() - started_at
            if spent_s >= self._silence_timeout_s / 2:
                break
        if sent:
            # The home may have granted a slot. A request with the same key obtains
            # that slot again, so it can be released before the home reclaims it.
            # With an expired deadline the home neither grants a new slot for the
            # request nor recalls one.
            home_key = (home.instance, home.incarnation)
            repeated_request = replace(request, wait_ms=0, deadline_ms=0)
            self._enqueue(home_key, repeated_request)
        return Failure(SlotRefused(SlotRefusalReason.UNAVAILABLE, 0))

    def _parse_response(
        self, home: Member, demand: SlotDemand, asked_at: float, response: object
    ) -> Result[Slot, SlotRefused]:
        if isinstance(response, SlotGrant):
            start_by = asked_at + response.start_within_ms / 1000
            return Success(Slot(SlotId(response.slot), demand.upstream, home, start_by))
        if isinstance(response, SlotRefusal):
            return Failure(SlotRefused(response.reason, response.retry_after_ms))
        raise PeerError(f"unexpected response {type(response).__name__}", sent=True)

    def release(
        self, slot: Slot, outcome: SlotOutcome, first_byte_s: float | None
    ) -> None:
        """Send a release in the background and repeat it until it is acknowledged."""
        first_byte_ms = 0 if first_byte_s is None else max(1, int(first_byte_s * 1000))
        home = (slot.home.instance, slot.home.incarnation)
        self._enqueue(home, SlotRelease(slot.id, outcome, first_byte_ms))

    def _enqueue(self, home: HomeKey, content: SlotRelease | SlotRequest) -> None:
        message = PendingMessage(content, self._clock.monotonic())
        with self._lock:
            if self._stopping.is_set():
                return
            messages = self._pending_by_home.get(home)
            if messages is not None:
                messages.append(message)
                return
            self._pending_by_home[home] = deque([message])
            self._executor.submit(self._drain, home)

    def count_pending(self) -> int:
        """Return the number of messages that are not acknowledged yet."""
        with self._lock:
            return sum(len(messages) for messages in self._pending_by_home.values())

    def _drain(self, home: HomeKey) -> None:
        backoff_s = BACKOFF_MIN_S
        while not self._stopping.is_set():
            delivered = self.send_next_pending(home)
            if delivered is None:
                return
            if delivered:
                backoff_s = BACKOFF_MIN_S
                continue
            self._clock.wait(self._stopping, backoff_s)
            backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)

    def send_next_pending(self, home: HomeKey) -> bool | None:
        """Send the oldest pending message of a home.

        Returns
        -------
        bool or None
            Whether the message needs no further attempt; ``None`` if no message
            is pending.
        """
        with self._lock:
            messages = self._pending_by_home.get(home)
            if not messages:
                self._pending_by_home.pop(home, None)
                return None
            message = messages[0]
        delivered = self._deliver(home, message)
        if delivered:
            with self._lock:
                messages.popleft()
        return delivered

    def _deliver(self, home: HomeKey, message: PendingMessage) -> bool:
        """Return whether the message needs no further attempt."""
        member = self._membership.get_member(home[0])
        if self._membership.has_ended(*home):
            return True
        if member is None or member.incarnation != home[1]:
            return False
        content = message.content
        if isinstance(content, SlotRelease):
            age_s = self._clock.monotonic() - message.created_at
            content = replace(content, ended_ms_ago=ceil(age_s * 1000))
        try:
            response = self._frame_client.exchange(
                member.peer_address, content, self._silence_timeout_s
            )
        except PeerError:
            self._metrics.count("slot_releases_failed")
            return False
        if isinstance(response, SlotGrant):
            release = SlotRelease(response.slot, SlotOutcome.UNUSED, 0)
            self._enqueue(home, release)
            return True
        return isinstance(response, Acknowledgement | SlotRefusal)

    def stop(self) -> None:
        """Stop sending; homes reclaim slots whose release was not delivered."""
        self._stopping.set()
        self._executor.shutdown(wait=False, cancel_futures=True)


__all__ = ["RemoteSlotClient", "make_request"]
