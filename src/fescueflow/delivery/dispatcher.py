"""Dispatch of calls to upstreams or to the owner of the request id."""

import threading
from collections.abc import Callable

from fescueflow.admission import AdmissionService
from fescueflow.audit import AuditKind, AuditTrail
from fescueflow.configuration import ConfigurationStore
from fescueflow.core import Clock, NotReady, Outcome, RequestError
from fescueflow.delivery.attempts import Attempt, UpstreamClient
from fescueflow.delivery.budget import RetryBudget
from fescueflow.delivery.calls import (
    CallerRequest,
    ResolvedRequest,
    Response,
    resolve_call,
)
from fescueflow.delivery.executor import UpstreamExecutor
from fescueflow.delivery.loop import StreamLoop
from fescueflow.delivery.retries import Delivery, DeliveryContext
from fescueflow.delivery.slots import SlotFinder
from fescueflow.delivery.streams import StreamBody
from fescueflow.delivery.transfers import PrefixTransfers
from fescueflow.event_streams import is_event_stream
from fescueflow.invariants import Invariants
from fescueflow.membership import ListService
from fescueflow.metrics import Metrics
from fescueflow.placement import PlacementService
from fescueflow.requests import RequestId, RequestService
from fescueflow.schema import Header, Settings, SlotOutcome, SubmitRequest
from fescueflow.transport import Network

AUDIT_KINDS = {
    Outcome.RAN: AuditKind.REQUEST_RAN,
    Outcome.NOT_RUN: AuditKind.REQUEST_REFUSED,
    Outcome.UNKNOWN: AuditKind.REQUEST_UNKNOWN,
}


def make_executor(
    *,
    settings: Settings,
    store: ConfigurationStore,
    placement: PlacementService,
    admission: AdmissionService,
    network: Network,
    clock: Clock,
    metrics: Metrics,
    invariants: Invariants,
    transfers: PrefixTransfers | None = None,
) -> UpstreamExecutor:
    """Return the executor of the request service.

    The executor is created before the request service, and the dispatcher after
    it.
    """
    client = UpstreamClient(
        settings=settings,
        network=network,
        placement=placement,
        clock=clock,
        metrics=metrics,
        invariants=invariants,
        transfers=transfers,
    )
    finder = SlotFinder(placement=placement, admission=admission, clock=clock)
    return UpstreamExecutor(
        store=store, placement=placement, finder=finder, client=client, clock=clock
    )


class Dispatcher:
    """Sends calls to upstreams, or to the owner of their request id.

    Parameters
    ----------
    settings : Settings
    store : ConfigurationStore
    list_service : ListService
    placement : PlacementService
    admission : AdmissionService
    requests : RequestService
    network : Network
    clock : Clock
    metrics : Metrics
    audit : AuditTrail
    invariants : Invariants
    loop : StreamLoop, optional
        Reads the streams of all calls; created if omitted.
    transfers : PrefixTransfers, optional
        Without it no prefix is imported.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        store: ConfigurationStore,
        list_service: ListService,
        placement: PlacementService,
        admission: AdmissionService,
        requests: RequestService,
        network: Network,
        clock: Clock,
        metrics: Metrics,
        audit: AuditTrail,
        invariants: Invariants,
        loop: StreamLoop | None = None,
        transfers: PrefixTransfers | None = None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._placement = placement
        self._requests = requests
        self._clock = clock
        self._metrics = metrics
        self._audit = audit
        self._lock = threading.Lock()
        self._running = 0
        self._client = UpstreamClient(
            settings=settings,
            network=network,
            placement=placement,
            clock=clock,
            metrics=metrics,
            invariants=invariants,
            transfers=transfers,
        )
        self._context = DeliveryContext(
            finder=SlotFinder(placement=placement, admission=admission, clock=clock),
            client=self._client,
            budget=RetryBudget(settings.retry_budget_percent, clock),
            clock=clock,
            metrics=metrics,
            loop=loop or StreamLoop(clock, metrics),
        )

    def stop(self) -> None:
        """Stop the stream loop; open streams continue in their own threads."""
        self._context.loop.stop()

    def has_failed_stream_loop(self) -> bool:
        """Return whether the stream loop has ended by an error."""
        return self._context.loop.has_failed()

    def count_running_requests(self) -> int:
        """Return the number of requests in progress, including other instances'."""
        with self._lock:
            return self._running + self._requests.count_running_requests()

    def count_running_calls(self) -> int:
        """Return the number of this instance's calls in progress."""
        with self._lock:
            return self._running

    def dispatch(self, call: CallerRequest) -> Response:
        """Return the response to a call.

        Parameters
        ----------
        call : CallerRequest
            Its ``assigned_id`` is set, also when an error is raised.

        Returns
        -------
        Response
            A streamed body must be closed.

        Raises
        ------
        RequestError
        """
        with self._lock:
            self._running += 1
        try:
            response = self._route(call)
        except BaseException:
            self._end_call()
            raise
        if isinstance(response.body, bytes):
            self._end_call()
        return response

    def _end_call(self) -> None:
        with self._lock:
            self._running -= 1

    def _route(self, call: CallerRequest) -> Response:
        started_at = self._clock.monotonic()
        try:
            resolved = self._resolve(call)
            # A caller may repeat a request id at any instance, and instances may
            # disagree whether an operation is idempotent while a configuration
            # change spreads. A request with an id therefore runs only at the
            # owner of the id.
            is_owned = call.request_id is not None or not resolved.idempotent
            key = RequestId(call.request_id or "") if is_owned else None
            key = key or self._requests.mint(1)[0]
            call.assigned_id = call.request_id or key
        except RequestError as error:
            if call.request_id is not None:
                # An earlier request with this id may have run; only the owner knows.
                error.outcome = Outcome.UNKNOWN
            self._record(call, "unresolved", None, error.outcome, error, started_at)
            raise
        deadline_ms = call.deadline_ms or self._settings.request_deadline_ms
        if is_owned:
            return self._submit(call, key, deadline_ms)
        deadline = started_at + deadline_ms / 1000
        return self._deliver(call, Delivery(self._context, resolved, key, deadline))

    def _resolve(self, call: CallerRequest) -> ResolvedRequest:
        configuration = self._store.get()
        if configuration is None:
            raise NotReady("no configuration is in force")
        if call.request_id is not None:
            self._requests.parse(call.request_id)
        return resolve_call(configuration, self._placement, call)

    def _submit(
        self, call: CallerRequest, request_id: str, deadline_ms: int
    ) -> Response:
        answer = self._requests.submit(
            SubmitRequest(
                request_id=request_id,
                customer=call.customer,
                method=call.method,
                path=call.path,
                headers=[Header(name, value) for name, value in call.headers],
                body=call.body,
                deadline_ms=deadline_ms,
            )
        )
        headers = [(header.name, header.value) for header in answer.headers]
        return Response(answer.status, headers, answer.body)

    def _deliver(self, call: CallerRequest, delivery: Delivery) -> Response:
        started_at = self._clock.monotonic()
        self._context.budget.add_request()
        try:
            attempt = delivery.start_with_retries()
            if self._is_event_stream(delivery, attempt):
                return self._relay(call, delivery, attempt, started_at)
            attempt, content = delivery.fetch_body(attempt)
        except RequestError as error:
            delivery.set_outcome(error)
            self._record_delivery(call, delivery, error, started_at)
            raise
        self._record_delivery(call, delivery, None, started_at)
        headers = self._client.select_headers(delivery.call, attempt)
        return Response(attempt.get_exchange().status, headers, content)

    def _is_event_stream(self, delivery: Delivery, attempt: Attempt) -> bool:
        exchange = attempt.get_exchange()
        declares_events = is_event_stream(exchange.get_header("Content-Type"))
        return delivery.call.streamed and exchange.status == 200 and declares_events

    def _relay(
        self,
        call: CallerRequest,
        delivery: Delivery,
        attempt: Attempt,
        started_at: float,
    ) -> Response:
        try:
            headers = self._client.select_headers(delivery.call, attempt)
        except BaseException:
            attempt.finish(SlotOutcome.UNUSED)
            raise
        on_finish = self._make_finish_callback(call, delivery, started_at)
        body = StreamBody(delivery, attempt, started_at, on_finish)
        return Response(attempt.get_exchange().status, headers, body)

    def _make_finish_callback(
        self, call: CallerRequest, delivery: Delivery, started_at: float
    ) -> Callable[[RequestError | None], None]:
        def on_finish(error: RequestError | None) -> None:
            try:
                self._record_delivery(call, delivery, error, started_at)
            finally:
                self._end_call()

        return on_finish

    def _record_delivery(
        self,
        call: CallerRequest,
        delivery: Delivery,
        error: RequestError | None,
        started_at: float,
    ) -> None:
        outcome = error.outcome if error else Outcome.RAN
        upstream = delivery.upstream
        self._record(call, "idempotent", upstream, outcome, error, started_at)

    def _record(
        self,
        call: CallerRequest,
        request_class: str,
        upstream: str | None,
        outcome: Outcome,
        error: RequestError | None,
        started_at: float,
    ) -> None:
        duration_s = self._clock.monotonic() - started_at
        self._metrics.count("requests", outcome=outcome.value, kind=request_class)
        self._metrics.observe("request_duration", duration_s, kind=request_class)
        self._audit.record(
            AUDIT_KINDS[outcome],
            customer=call.customer,
            request_id=call.assigned_id or call.request_id,
            request_class=request_class,
            upstream=upstream,
            outcome=outcome.value,
            error=error.type if error else None,
            duration_ms=round(duration_s * 1000, 3),
        )


__all__ = ["Dispatcher", "make_executor"]
