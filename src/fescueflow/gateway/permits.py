"""Permits that this instance asks a coordinator for before it sends a request."""

import itertools
import threading
from collections.abc import Callable, Mapping

import logbook

from fescueflow.core import Clock, InstanceId, Overloaded, RequestError, UpstreamId
from fescueflow.gateway.coordinators import Coordinators
from fescueflow.gateway.peers import PeerTable
from fescueflow.gateway.permit_codec import (
    PermitAsk,
    PermitReturn,
    SentAnswer,
    UsedPermit,
    decode_permit,
    encode_answer,
    encode_ask,
    encode_return,
)
from fescueflow.gateway.permit_desk import PermitDesk
from fescueflow.gateway.permit_waits import PermitNeed, Waiter
from fescueflow.gateway.records import PeerRecord
from fescueflow.metrics import Metrics
from fescueflow.routing import (
    CallerDisconnected,
    PermitAnswer,
    PermitDecision,
    PermitEnd,
    PermitId,
    PermitRequest,
    ServiceId,
)

# Time for an answer of a coordinator beside the usual delay, in seconds
# (docs/design/two-deployments.md, part 3).
ANSWER_TIMEOUT_S = 0.03
# Usual delay before the first answer, in seconds: a round trip between zones.
DELAY_DEFAULT_S = 0.01
# Weight of the latest answer in the usual delay, and the longest delay that counts, in
# seconds: a frozen coordinator must not raise the time-out for long.
DELAY_WEIGHT = 0.1
DELAY_MAX_S = 0.05
# Time after which a queued request is named to the coordinator again, in seconds. The
# answer shows that the coordinator still runs; a fifth of the shortest objective's
# deadline, and few messages beside those of the request.
QUEUE_CHECK_S = 0.25
# Namings in a row without an answer after which a queued request gives up its place. A
# single lost datagram would otherwise send it beyond the slots.
MISSED_MAX = 2
# Time before its deadline at which a queued request gives up, in seconds: the answer
# still has to reach the caller. The coordinator refuses hopeless requests before.
GIVE_UP_MARGIN_S = 0.03
# Retry delay without an estimate of the coordinator, in milliseconds.
RETRY_AFTER_MS = 500

log = logbook.Logger("permits")


class Permit:
    """Right to send one request to an upstream, until it is returned."""

    def __init__(
        self,
        client: "PermitClient",
        answer: PermitAnswer,
        upstream: UpstreamId,
        coordinator: InstanceId,
        granted_at: float,
    ) -> None:
        self.id = answer.id
        self.service = answer.service
        self.upstream = upstream
        self.coordinator = coordinator
        self.granted_at = granted_at
        self.has_ended = False
        self._client = client

    def end(self, end: PermitEnd) -> None:
        """Return the permit; later calls do nothing."""
        ended, self.has_ended = self.has_ended, True
        if not ended:
            self._client.give_back(self, end)


class PermitClient:
    """Asks coordinators for permits, and coordinates services itself; thread-safe.

    Parameters
    ----------
    peers : PeerTable
    coordinators : Coordinators
    find_slots : callable
        Returns the upstreams of a service that may be handed out now, with their slots.
    send : callable
        Sends a datagram to a host.
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        *,
        peers: PeerTable,
        coordinators: Coordinators,
        find_slots: Callable[[ServiceId], Mapping[UpstreamId, int]],
        send: Callable[[str, bytes], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self.coordinators = coordinators
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._waiters: dict[PermitId, Waiter] = {}
        self._active: dict[PermitId, Permit] = {}
        self._numbers = itertools.count(1)
        self._delay_s = DELAY_DEFAULT_S
        self.desk = PermitDesk(
            find_slots=find_slots,
            deliver=self._deliver,
            clock=clock,
        )

    def acquire(self, need: PermitNeed) -> Permit | None:
        """Return a permit, ``None`` if the request is sent without one.

        Raises
        ------
        Overloaded
            If the request can't start in time; nothing was sent.
        CallerDisconnected
            If the caller disconnects while the request waits.
        """
        asked_at = self._clock.monotonic()
        while True:
            coordinator = self.coordinators.find(need.service, self._clock.monotonic())
            if coordinator is None:
                return None
            waiter = self._open_waiter(coordinator)
            try:
                self._await_final(need, waiter, coordinator)
            except RequestError:
                self._close_waiter(need, waiter, is_given_up=True)
                self._record(need, waiter, "given_up", asked_at)
                raise
            answer = self._close_waiter(need, waiter)
            if answer is None and self._is_coordinator(waiter, need.service):
                self.coordinators.pause(waiter.coordinator, self._clock.monotonic())
                self._record(need, waiter, "unanswered", asked_at)
                return None
            if answer is not None:
                return self._conclude(need, waiter, answer, asked_at)

    def handle_datagram(self, data: bytes) -> None:
        """Handle a message of another instance.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        message = decode_permit(data, self._clock.monotonic())
        if isinstance(message, PermitAsk):
            self.desk.ask(message)
        elif isinstance(message, PermitReturn):
            self.desk.take_back(message)
        else:
            self._handle_answer(message)

    def give_back(self, permit: Permit, end: PermitEnd) -> None:
        """Tell the coordinator that a permit has ended, and its successor, too."""
        now = self._clock.monotonic()
        with self._lock:
            self._active.pop(permit.id, None)
        duration_s = max(0.0, now - permit.granted_at)
        receivers = {permit.coordinator}
        current = self.coordinators.find(permit.service, now)
        if current is not None:
            receivers.add(current.instance)
        for receiver in receivers:
            self._return(receiver, permit.id, permit.service, end, duration_s)

    def _await_final(
        self, need: PermitNeed, waiter: Waiter, coordinator: PeerRecord
    ) -> None:
        """Ask and wait until a final answer, a lost one or another coordinator.

        Raises
        ------
        Overloaded
            If the time to start is over.
        CallerDisconnected
            If the caller disconnects.
        """
        is_confirmed, missed = False, 0
        while True:
            asked_at = self._clock.monotonic()
            waiter.queued = None
            waiter.event.clear()
            if waiter.final is not None:
                return
            self._ask(need, waiter, coordinator, asked_at)
            self._clock.wait(waiter.event, ANSWER_TIMEOUT_S + self._delay_s)
            if waiter.queued is None and waiter.final is None:
                missed += 1
                if not is_confirmed or missed >= MISSED_MAX:
                    return
            else:
                is_confirmed, missed = True, 0
                self._record_delay(self._clock.monotonic() - asked_at)
            if not self._await_turn(need, waiter):
                return
            if not self._is_coordinator(waiter, need.service):
                return

    def _await_turn(self, need: PermitNeed, waiter: Waiter) -> bool:
        """Wait for a grant; return whether to ask again.

        Raises
        ------
        Overloaded
            If the time to start is over.
        CallerDisconnected
            If the caller disconnects.
        """
        give_up_at = need.deadline - GIVE_UP_MARGIN_S
        now = self._clock.monotonic()
        check_at = now + QUEUE_CHECK_S
        while waiter.final is None and now < min(check_at, give_up_at):
            waiter.event.clear()
            if waiter.final is None:
                self._clock.wait(waiter.event, min(check_at, give_up_at) - now)
            now = self._clock.monotonic()
        if waiter.final is not None:
            return False
        if need.is_caller_disconnected():
            raise CallerDisconnected("the caller closed its connection")
        if now >= give_up_at:
            raise Overloaded(
                "no permit came before the deadline",
                retry_after_ms=round(waiter.retry_after_s * 1000) or RETRY_AFTER_MS,
            )
        return True

    def _open_waiter(self, coordinator: PeerRecord) -> Waiter:
        own = self._peers.get_own_record()
        with self._lock:
            # Each start of this instance has another incarnation.
            name = f"{own.instance}/{own.incarnation}/{next(self._numbers)}"
            report_age_s = self._clock.monotonic() - coordinator.last_seen_at
            waiter = Waiter(PermitId(name), coordinator.instance, report_age_s)
            self._waiters[waiter.id] = waiter
        return waiter

    def _close_waiter(
        self, need: PermitNeed, waiter: Waiter, is_given_up: bool = False
    ) -> PermitAnswer | None:
        """Stop waiting; return the final answer, or leave the queue without one.

        Notes
        -----
        A grant that arrives later finds no waiter and is returned at once.
        """
        with self._lock:
            del self._waiters[waiter.id]
            answer = waiter.final
        if answer is None or is_given_up:
            self._return(
                waiter.coordinator, waiter.id, need.service, PermitEnd.UNUSED, 0.0
            )
        return answer

    def _conclude(
        self, need: PermitNeed, waiter: Waiter, answer: PermitAnswer, asked_at: float
    ) -> Permit | None:
        """Return the permit that an answer grants, ``None`` if there are none.

        Raises
        ------
        Overloaded
            If the coordinator refused.
        """
        self._record(need, waiter, answer.decision.value, asked_at)
        if answer.decision is PermitDecision.REFUSED:
            raise Overloaded(
                f"no slot before the deadline, {answer.queue_length} requests wait",
                retry_after_ms=round(answer.retry_after_s * 1000),
            )
        if answer.decision is not PermitDecision.GRANTED or answer.upstream is None:
            return None
        now = self._clock.monotonic()
        permit = Permit(self, answer, answer.upstream, waiter.coordinator, now)
        with self._lock:
            self._active[permit.id] = permit
        return permit

    def _ask(
        self, need: PermitNeed, waiter: Waiter, coordinator: PeerRecord, now: float
    ) -> None:
        own = self._peers.get_own_record().instance
        request = PermitRequest(
            waiter.id,
            own,
            need.service,
            need.priority,
            need.deadline,
            need.objective_at,
            need.is_returning,
            need.avoid,
        )
        with self._lock:
            uses = tuple(
                UsedPermit(permit.id, permit.upstream, now - permit.granted_at)
                for permit in self._active.values()
                if permit.service == need.service
            )
        ask = PermitAsk(request, uses)
        if coordinator.instance == own:
            self.desk.ask(ask)
        else:
            self._send(coordinator.host, encode_ask(ask, now))

    def _return(
        self,
        receiver: InstanceId,
        permit: PermitId,
        service: ServiceId,
        end: PermitEnd,
        duration_s: float,
    ) -> None:
        own = self._peers.get_own_record().instance
        returned = PermitReturn(permit, own, service, end, duration_s)
        if receiver == own:
            self.desk.take_back(returned)
        elif (peer := self._peers.find(receiver)) is not None:
            self._send(peer.host, encode_return(returned))

    def _deliver(self, answer: PermitAnswer) -> None:
        """Pass an answer of this coordinator on to its instance."""
        own = self._peers.get_own_record().instance
        if answer.instance == own:
            self._handle_answer(SentAnswer(own, answer))
        elif (peer := self._peers.find(answer.instance)) is not None:
            self._send(peer.host, encode_answer(answer, own))

    def _handle_answer(self, sent: SentAnswer) -> None:
        answer = sent.answer
        with self._lock:
            waiter = self._waiters.get(answer.id)
            if waiter is not None:
                waiter.put(answer)
                return
            is_used = answer.id in self._active
        if answer.decision is PermitDecision.GRANTED and not is_used:
            self._metrics.count("permits", end="late")
            self._return(sent.sender, answer.id, answer.service, PermitEnd.UNUSED, 0.0)

    def _is_coordinator(self, waiter: Waiter, service: ServiceId) -> bool:
        current = self.coordinators.find_chosen(service, self._clock.monotonic())
        return current is not None and current.instance == waiter.coordinator

    def _record_delay(self, seconds: float) -> None:
        seconds = min(DELAY_MAX_S, seconds)
        self._delay_s += DELAY_WEIGHT * (seconds - self._delay_s)

    def _record(
        self, need: PermitNeed, waiter: Waiter, end: str, asked_at: float
    ) -> None:
        wait_s = self._clock.monotonic() - asked_at
        self._metrics.count("permits", end=end)
        self._metrics.observe("permit_wait", wait_s)
        answer = waiter.final
        log.info(
            "permit",
            extra={
                "id": need.attempt_id,
                "service": str(need.service),
                "end": end,
                "wait_ms": round(wait_s * 1000),
                "queue": waiter.queue_length,
                "upstream": str(answer.upstream)
                if answer and answer.upstream
                else None,
                "coordinator": str(waiter.coordinator),
                "report_age_ms": round(waiter.report_age_s * 1000),
            },
        )


__all__ = ["Permit", "PermitClient"]
