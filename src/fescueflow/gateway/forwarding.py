"""Forwarding of requests to upstreams, with retries and resumed streams."""

from collections.abc import Iterator
from functools import partial

from fescueflow.core import (
    BodyTooLarge,
    Clock,
    DeadlineExceeded,
    PromptQuarantined,
    RequestError,
)
from fescueflow.gateway.attempts import Attempt, AttemptClient
from fescueflow.gateway.buffers import AnswerBuffer, AnswerBuffers
from fescueflow.gateway.errors import adjust_error, make_error
from fescueflow.gateway.exchange import ConnectionLost, ExchangeFailed
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.quarantine import Admission, PromptQuarantine
from fescueflow.gateway.request_logs import (
    log_broken_stream,
    log_failure,
    log_selection,
    log_stream_end,
)
from fescueflow.gateway.requests import (
    CallerRequest,
    RequestContext,
    Response,
    describe_prompt,
)
from fescueflow.gateway.route_lookup import RouteLookup
from fescueflow.gateway.selection import UpstreamSelector
from fescueflow.gateway.streams import (
    EventSplitter,
    RelayTimes,
    StreamBody,
    StreamBroken,
    prepend,
    record_times,
)
from fescueflow.platform import (
    make_upstream_headers,
    select_response_headers,
)
from fescueflow.routing import (
    PRIORITY_DEFAULT,
    PRIORITY_HIGHEST,
    AttemptFailure,
    RouteKind,
    choose_service,
    may_retry,
)

# Longest wait for the first byte if the request may be retried elsewhere: this many
# latency objectives, within the two limits. The upper one is less than half of the
# shortest gap after which callers abandon a stream.
READ_TIMEOUT_OBJECTIVES = 2.5
READ_TIMEOUT_MIN_S = 0.3
READ_TIMEOUT_MAX_S = 1.5
CONTENT_TYPE = "Content-Type"
# Lowest status that reports a failure of the upstream rather than of the request.
SERVER_ERROR_MIN = 500


class Forwarder:
    """Forwards callers' requests to upstreams.

    Parameters
    ----------
    platform_state : PlatformState
    selector : UpstreamSelector
    client : AttemptClient
    clock : Clock
    quarantine : PromptQuarantine
    buffers : AnswerBuffers
    lookup : RouteLookup
    """

    def __init__(
        self,
        *,
        platform_state: PlatformState,
        selector: UpstreamSelector,
        client: AttemptClient,
        clock: Clock,
        quarantine: PromptQuarantine,
        buffers: AnswerBuffers,
        lookup: RouteLookup,
    ) -> None:
        self._lookup = lookup
        self._quarantine = quarantine
        self._buffers = buffers
        self._platform_state = platform_state
        self._selector = selector
        self._client = client
        self._clock = clock

    def forward(self, request: CallerRequest) -> Response:
        """Return an upstream's response.

        Raises
        ------
        RequestError
            If no upstream responds.
        """
        context = self._create_context(request)
        self._selector.record_request(context.service)
        try:
            while True:
                response = self._run_attempt(context)
                if response is not None:
                    return response
        except RequestError as error:
            if context.fallback is not None:
                return context.fallback
            raise adjust_error(context, error) from error

    def _run_attempt(self, context: RequestContext) -> Response | None:
        """Return the response of one attempt, ``None`` if another one follows.

        Raises
        ------
        RequestError
            If the request must not be retried.
        """
        attempt = None
        try:
            attempt = self._start_attempt(context)
            return self._read_response(context, attempt)
        except ExchangeFailed as failure:
            if attempt is not None:
                attempt.fail(failure)
            log_failure(context, failure, self._clock)
            self._check_retry(context, failure)
            return None
        except RequestError:
            if attempt is not None:
                attempt.cancel()
            raise

    def _create_context(self, request: CallerRequest) -> RequestContext:
        table, route, customer = self._lookup.find(request)
        if len(request.body) > table.limits.body_bytes:
            raise BodyTooLarge(f"the body exceeds {table.limits.body_bytes} bytes")
        limit_s = route.timeout_s
        if request.headers.deadline_s is not None:
            limit_s = min(limit_s, request.headers.deadline_s)
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return RequestContext(
            request=request,
            prompt=describe_prompt(request),
            route=route,
            service=choose_service(route, request.headers.attempt_id),
            customer=customer.id if customer else None,
            priority=PRIORITY_DEFAULT if priority is None else priority,
            deadline=request.received_at + limit_s,
        )

    def _start_attempt(
        self, context: RequestContext, last_event: str | None = None
    ) -> Attempt:
        """Select an upstream, send the request and read the response head."""
        request, now = context.request, self._clock.monotonic()
        if now >= context.deadline:
            raise DeadlineExceeded("the deadline passed")
        prompt = context.prompt
        self._client.check_survivors()
        admission = self._quarantine.admit(context.service, prompt)
        selection = self._selector.select(
            context.service,
            prompt,
            context.tried,
            context.deadline - now,
            admission.isolation_key,
            priority=context.priority if last_event is None else PRIORITY_HIGHEST,
        )
        context.tried.add(selection.upstream.id)
        context.upstream = selection.upstream
        context.is_waiting = True
        log_selection(
            context,
            selection,
            self._platform_state.get_table(),
            self._platform_state.get_age(now),
            now,
        )
        headers = make_upstream_headers(
            request.headers,
            upstream=selection.upstream.id,
            customer=context.customer,
            remaining_s=context.deadline - now,
            priority=context.priority,
            last_event=last_event,
            copy_from=selection.source.address if selection.source else None,
        )
        attempt = self._client.connect(
            selection,
            prompt,
            context.deadline,
            partial(self._check_waiting, context, admission),
        )
        try:
            context.attempts_sent += 1
            attempt.send(request.method, request.target, headers, request.body)
            attempt.read_head(
                self._get_first_byte_deadline(context), request.headers.attempt_id
            )
        except ExchangeFailed as failure:
            attempt.fail(failure)
            raise
        except RequestError:
            attempt.cancel()
            raise
        return attempt

    def _check_waiting(self, context: RequestContext, admission: Admission) -> bool:
        """Return whether the caller has disconnected.

        Raises
        ------
        PromptQuarantined
            If upstreams crash under a part of the prompt, as is known since the request
            was sent.
        """
        if not admission.is_trial and context.is_waiting:
            try:
                self._quarantine.check_waiting(context.service, context.prompt)
            except PromptQuarantined:
                context.may_have_run = True
                raise
        return context.request.is_caller_disconnected()

    def _read_response(self, context: RequestContext, attempt: Attempt) -> Response:
        status = attempt.exchange.status
        headers = select_response_headers(attempt.exchange.headers)
        is_stream = context.route.kind is RouteKind.STREAM and status == 200
        if not is_stream:
            buffer = AnswerBuffer(self._buffers)
            body = attempt.read_body(context.deadline, buffer)
            attempt.finish()
            response = Response(status, headers, body, buffer)
            if status < SERVER_ERROR_MIN or not self._can_retry_server_error(context):
                return response
            # Returned to the caller if no other upstream succeeds.
            context.fallback = response
            raise ExchangeFailed(AttemptFailure.SERVER_ERROR, f"status {status}")
        splitter = EventSplitter()
        context.attempt = attempt
        context.content_type = attempt.exchange.get_header(CONTENT_TYPE)
        # Until the first event arrives, the request may still be sent to another
        # upstream.
        first = self._read_first_events(context, attempt, splitter)
        headers = [(n, v) for n, v in headers if n.lower() != "content-length"]
        times = RelayTimes()
        relayed = record_times(
            self._relay(context, splitter, times), times, self._clock
        )
        parts = prepend(first, relayed)
        return Response(status, headers, StreamBody(parts, context.cancel))

    def _read_first_events(
        self, context: RequestContext, attempt: Attempt, splitter: EventSplitter
    ) -> bytes:
        limit = self._get_first_byte_deadline(context)
        for part in attempt.iterate_parts(limit):
            events = splitter.feed(part)
            if events:
                record_events(context, attempt, splitter, self._clock.monotonic())
                return events
        if not attempt.exchange.has_marked_end:
            raise ConnectionLost("the stream ended before its first event")
        return splitter.take_remainder()

    def _relay(
        self, context: RequestContext, splitter: EventSplitter, times: RelayTimes
    ) -> Iterator[bytes]:
        """Yield events; resume at another upstream where the route allows it."""
        while (attempt := context.attempt) is not None:
            try:
                read_timeout_s = (
                    READ_TIMEOUT_MAX_S if self._can_retry_elsewhere(context) else None
                )
                for part in attempt.iterate_parts(context.deadline, read_timeout_s):
                    if events := splitter.feed(part):
                        record_events(
                            context, attempt, splitter, self._clock.monotonic()
                        )
                        yield events
                        # The caller's time to take the events does not count.
                        attempt.mark_progress()
                rest = splitter.take_remainder()
                if rest.strip() and not attempt.exchange.has_marked_end:
                    raise ConnectionLost("the stream ended inside an event")
                attempt.check_end()
                attempt.finish()
                if rest:
                    yield rest
                log_stream_end(context, times, self._clock.monotonic())
                return
            except ExchangeFailed as failure:
                attempt.fail(failure)
                log_failure(context, failure, self._clock)
                context.attempt = self._resume_elsewhere(context, splitter, failure)
            except RequestError as error:
                attempt.cancel()
                raise self._break_stream(context, error.message) from error

    def _can_retry_server_error(self, context: RequestContext) -> bool:
        """Return whether a server error is worth a retry at another upstream.

        Notes
        -----
        Failures of engines are mostly random, those of applications depend on the
        request: lookups that fail at one application fail as often at another.
        """
        return context.route.kind is RouteKind.STREAM and self._can_retry_elsewhere(
            context
        )

    def _can_retry_elsewhere(self, context: RequestContext) -> bool:
        return may_retry(context.route, AttemptFailure.BROKEN, context.attempts_sent)

    def _resume_elsewhere(
        self, context: RequestContext, splitter: EventSplitter, failure: ExchangeFailed
    ) -> Attempt:
        """Resume a stream at another upstream after its last complete event."""
        splitter.resume()
        if splitter.last_id is None:
            raise self._break_stream(context, str(failure)) from failure
        while True:
            try:
                self._check_retry(context, failure)
                attempt = self._start_attempt(context, splitter.last_id)
            except ExchangeFailed as next_failure:
                failure = next_failure
                log_failure(context, failure, self._clock)
                continue
            except RequestError as error:
                raise self._break_stream(context, error.message) from error
            exchange = attempt.exchange
            content_type = exchange.get_header(CONTENT_TYPE)
            if exchange.status == 200 and content_type == context.content_type:
                return attempt
            attempt.cancel()
            reason = f"status {exchange.status}, {content_type} on resumption"
            raise self._break_stream(context, reason)

    def _check_retry(self, context: RequestContext, failure: ExchangeFailed) -> None:
        """Raise the caller's error unless the request may be retried.

        Raises
        ------
        RequestError
            If the deadline passed, the route forbids a retry or the retry budget is
            used up.
        """
        kind = failure.kind
        context.may_have_run = context.may_have_run or kind.may_have_run
        now = self._clock.monotonic()
        if now >= context.deadline:
            raise DeadlineExceeded("the deadline passed")
        if not may_retry(context.route, kind, context.attempts_sent):
            raise make_error(failure)
        if kind is not AttemptFailure.NOT_SENT and not self._selector.take_retry(
            context.service
        ):
            raise make_error(failure)

    def _break_stream(self, context: RequestContext, reason: str) -> StreamBroken:
        """Log a broken stream and return the error that closes the connection."""
        log_broken_stream(context, reason)
        return StreamBroken(reason)

    def _get_first_byte_deadline(self, context: RequestContext) -> float:
        """Return the deadline for the first byte of a response."""
        if not self._can_retry_elsewhere(context):
            return context.deadline
        target_s = context.route.target_s * READ_TIMEOUT_OBJECTIVES
        read_timeout_s = min(READ_TIMEOUT_MAX_S, max(READ_TIMEOUT_MIN_S, target_s))
        return min(context.deadline, self._clock.monotonic() + read_timeout_s)


def record_events(
    context: RequestContext, attempt: Attempt, splitter: EventSplitter, now: float
) -> None:
    """Count the events that have arrived since the last call."""
    attempt.record_events(splitter.event_count - context.event_count, now)
    context.event_count = splitter.event_count
    context.is_waiting = False


__all__ = ["Forwarder"]
