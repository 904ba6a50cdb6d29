"""Execution of non-idempotent requests at their owner."""

import threading

from fescueflow.configuration import ConfigurationStore
from fescueflow.core import (
    Clock,
    DeadlineExceeded,
    NotReady,
    Outcome,
    UpstreamFailed,
    UpstreamId,
)
from fescueflow.delivery.attempts import Attempt, UpstreamClient
from fescueflow.delivery.calls import CallerRequest, ResolvedRequest, resolve_call
from fescueflow.delivery.events import DONE, iterate_events
from fescueflow.delivery.exchange import AttemptFailed, FailureReason
from fescueflow.delivery.retries import EXPIRED_SLOT_PAUSE_S
from fescueflow.delivery.slots import HeldSlot, SlotFinder
from fescueflow.placement import PlacementService
from fescueflow.requests import RequestExecutor, RequestRecord
from fescueflow.schema import Header, SubmitAnswer, SubmitRequest


class UpstreamExecutor(RequestExecutor):
    """Sends each request at most once.

    Parameters
    ----------
    store : ConfigurationStore
    placement : PlacementService
    finder : SlotFinder
    client : UpstreamClient
    clock : Clock

    Notes
    -----
    Until the first byte has been sent, other candidates are tried, up to the
    deadline. After the first byte there is no further attempt.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        placement: PlacementService,
        finder: SlotFinder,
        client: UpstreamClient,
        clock: Clock,
    ) -> None:
        self._store = store
        self._placement = placement
        self._finder = finder
        self._client = client
        self._clock = clock

    def execute(
        self, request: SubmitRequest, record: RequestRecord, deadline: float
    ) -> SubmitAnswer:
        """Send the request and return the upstream's response.

        Raises
        ------
        RequestError
        """
        configuration = self._store.get()
        if configuration is None:
            raise NotReady("no configuration is in force")
        call = resolve_call(configuration, self._placement, build_call(request))
        excluded: set[UpstreamId] = set()
        attempts = 0
        while True:
            attempts += 1
            key = f"{record.request_id}/{attempts}"
            search = self._finder.search(call, key, deadline, excluded)
            held_slot = next(slot for slot in search if slot is not None)
            try:
                return self._send(call, held_slot, key, record, deadline)
            except AttemptFailed as failure:
                if failure.sent:
                    raise UpstreamFailed(str(failure), Outcome.UNKNOWN) from failure
                if failure.reason is FailureReason.LATE:
                    self._clock.wait(threading.Event(), EXPIRED_SLOT_PAUSE_S)
                else:
                    excluded.add(held_slot.slot.upstream.id)
                if self._clock.monotonic() >= deadline:
                    raise DeadlineExceeded("the deadline passed") from failure

    def _send(
        self,
        call: ResolvedRequest,
        held_slot: HeldSlot,
        key: str,
        record: RequestRecord,
        deadline: float,
    ) -> SubmitAnswer:
        record.upstream = held_slot.slot.upstream.id
        attempt = self._client.start(
            call, held_slot, key, deadline, before_send=record.mark_sent
        )
        try:
            body = attempt.read_body()
        except AttemptFailed as failure:
            self._client.count_failure(failure)
            raise
        self._check_stream_end(call, attempt, body)
        headers = self._client.select_headers(call, attempt)
        return SubmitAnswer(
            status=attempt.get_exchange().status,
            headers=[Header(name, value) for name, value in headers],
            body=body,
        )

    def _check_stream_end(
        self, call: ResolvedRequest, attempt: Attempt, body: bytes
    ) -> None:
        if call.streamed and attempt.get_exchange().status == 200:
            if all(event.data != DONE for event in iterate_events([body])):
                failure = AttemptFailed(FailureReason.TRUNCATED, True)
                self._client.count_failure(failure)
                raise failure


def build_call(request: SubmitRequest) -> CallerRequest:
    """Return the call that a submitted request contains."""
    return CallerRequest(
        customer=request.customer,
        method=request.method,
        path=request.path,
        headers=tuple((header.name, header.value) for header in request.headers),
        body=request.body,
        request_id=request.request_id,
        deadline_ms=request.deadline_ms,
    )


__all__ = ["UpstreamExecutor"]
