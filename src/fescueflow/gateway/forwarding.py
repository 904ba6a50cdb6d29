"""Forwarding of requests to upstreams, with retries and resumed streams."""

from collections.abc import Iterator

from fescueflow.core import (
    BodyTooLarge,
    Clock,
    RequestError,
)
from fescueflow.event_streams import EventSplitter, MalformedStream
from fescueflow.gateway.attempts import Attempt
from fescueflow.gateway.buffers import (
    GUARANTEED_BYTES,
    AnswerBuffer,
    AnswerBuffers,
)
from fescueflow.gateway.dispatch import SERVER_ERROR_MIN, AttemptDispatcher
from fescueflow.gateway.errors import adjust_error
from fescueflow.gateway.exchange import ExchangeFailed
from fescueflow.gateway.request_logs import (
    log_broken_stream,
    log_failure,
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
from fescueflow.gateway.stream_ends import (
    CONTENT_TYPE,
    check_body_end,
    check_end_before_events,
    check_stream_end,
)
from fescueflow.gateway.streams import (
    RelayTimes,
    StreamBody,
    StreamBroken,
    prepend,
    record_times,
)
from fescueflow.platform import EVENT_FIELDS, select_response_headers
from fescueflow.routing import (
    PRIORITY_DEFAULT,
    AttemptFailure,
    RouteKind,
    choose_service,
)


class Forwarder:
    """Forwards callers' requests to upstreams.

    Parameters
    ----------
    selector : UpstreamSelector
    dispatcher : AttemptDispatcher
    clock : Clock
    buffers : AnswerBuffers
    lookup : RouteLookup
    """

    def __init__(
        self,
        *,
        selector: UpstreamSelector,
        dispatcher: AttemptDispatcher,
        clock: Clock,
        buffers: AnswerBuffers,
        lookup: RouteLookup,
    ) -> None:
        self._lookup = lookup
        self._buffers = buffers
        self._selector = selector
        self._dispatcher = dispatcher
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
        context.attempt = None
        try:
            attempt = self._dispatcher.start(context)
            return self._read_response(context, attempt)
        except ExchangeFailed as failure:
            if context.attempt is not None:
                context.attempt.fail(failure)
            log_failure(context, failure, self._clock)
            self._dispatcher.check_retry(context, failure)
            return None
        except RequestError:
            context.cancel()
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

    def _read_response(self, context: RequestContext, attempt: Attempt) -> Response:
        status = attempt.exchange.status
        headers = select_response_headers(attempt.exchange.headers)
        is_stream = context.route.kind is RouteKind.STREAM and status == 200
        if not is_stream:
            buffer = AnswerBuffer(self._buffers)
            body = attempt.read_body(context.deadline, buffer)
            check_body_end(body, attempt.exchange)
            attempt.finish()
            response = Response(status, headers, body, buffer)
            if status < SERVER_ERROR_MIN or not self._can_retry_server_error(context):
                return response
            # Returned to the caller if no other upstream succeeds.
            context.fallback = response
            raise ExchangeFailed(AttemptFailure.SERVER_ERROR, f"status {status}")
        context.content_type = attempt.exchange.get_header(CONTENT_TYPE)
        splitter = EventSplitter(context.content_type, EVENT_FIELDS, GUARANTEED_BYTES)
        # Until the first event arrives, the request may still be sent to another
        # upstream.
        while True:
            try:
                first = self._read_first_events(context, attempt, splitter)
                break
            except ExchangeFailed as failure:
                if not self._dispatcher.is_silence(context, failure):
                    raise
            successor = self._dispatcher.handle_silence(
                context, attempt, None, splitter.has_partial_event
            )
            if successor is not attempt:
                return self._read_response(context, successor)
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
        for part in attempt.iterate_parts(context.deadline, context.watch.get_limit):
            events = feed_events(splitter, part)
            if events:
                record_events(context, attempt, splitter, self._clock.monotonic())
                return events
        check_stream_end(splitter, attempt.exchange)
        content = splitter.take_remainder()
        resumes = context.request.headers.resumes_stream
        check_end_before_events(attempt.exchange, content, resumes)
        return content

    def _relay(
        self, context: RequestContext, splitter: EventSplitter, times: RelayTimes
    ) -> Iterator[bytes]:
        """Yield events; go on at another upstream where the route allows it."""
        watch = self._dispatcher.watch_stream(context, lambda: splitter.last_id)
        context.watch = watch
        while (attempt := context.attempt) is not None:
            try:
                for part in attempt.iterate_parts(context.deadline, watch.get_limit):
                    if events := feed_events(splitter, part):
                        record_events(
                            context, attempt, splitter, self._clock.monotonic()
                        )
                        yield events
                        # The caller's time to take the events does not count.
                        watch.mark_progress(self._clock.monotonic())
                check_stream_end(splitter, attempt.exchange)
                attempt.check_end()
                attempt.finish()
                if rest := splitter.take_remainder():
                    yield rest
                log_stream_end(context, times, self._clock.monotonic(), len(rest))
                return
            except ExchangeFailed as failure:
                self._continue_stream(context, splitter, failure)
            except RequestError as error:
                attempt.cancel()
                raise self._break_stream(context, error.message) from error

    def _continue_stream(
        self,
        context: RequestContext,
        splitter: EventSplitter,
        failure: ExchangeFailed,
    ) -> None:
        """Decide how a stream goes on whose attempt is silent or has failed.

        Raises
        ------
        StreamBroken
            If it can't go on.
        """
        attempt = context.attempt
        assert attempt is not None
        try:
            if self._dispatcher.is_silence(context, failure):
                successor = self._dispatcher.handle_silence(
                    context, attempt, splitter.last_id, splitter.has_partial_event
                )
                if successor is not attempt:
                    splitter.resume()
                return
        except ExchangeFailed as later_failure:
            failure = later_failure
        except RequestError as error:
            attempt.cancel()
            raise self._break_stream(context, error.message) from error
        attempt.fail(failure)
        log_failure(context, failure, self._clock)
        watch = context.watch
        context.set_attempt(self._resume_elsewhere(context, splitter, failure))
        context.watch = watch
        watch.mark_progress(self._clock.monotonic())

    def _can_retry_server_error(self, context: RequestContext) -> bool:
        """Return whether a server error is worth a retry at another upstream.

        Notes
        -----
        Failures of engines are mostly random, those of applications depend on the
        request: lookups that fail at one application fail as often at another.
        """
        return (
            context.route.kind is RouteKind.STREAM
            and self._dispatcher.can_retry_elsewhere(context)
        )

    def _resume_elsewhere(
        self, context: RequestContext, splitter: EventSplitter, failure: ExchangeFailed
    ) -> Attempt:
        """Resume a stream at another upstream after its last complete event."""
        splitter.resume()
        if splitter.last_id is None:
            raise self._break_stream(context, str(failure)) from failure
        while True:
            try:
                self._dispatcher.check_retry(context, failure)
                attempt = self._dispatcher.start(context, splitter.last_id)
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

    def _break_stream(self, context: RequestContext, reason: str) -> StreamBroken:
        """Log a broken stream and return the error that closes the connection."""
        log_broken_stream(context, reason)
        return StreamBroken(reason)


def feed_events(splitter: EventSplitter, part: bytes) -> bytes:
    """Return the events that a part of a body completes.

    Raises
    ------
    ExchangeFailed
        If the part is malformed.
    """
    try:
        return splitter.feed(part)
    except MalformedStream as error:
        raise ExchangeFailed(AttemptFailure.BROKEN, str(error)) from error


def record_events(
    context: RequestContext, attempt: Attempt, splitter: EventSplitter, now: float
) -> None:
    """Count the events that have arrived since the last call."""
    attempt.record_events(splitter.event_count - context.event_count, now)
    context.event_count = splitter.event_count
    context.is_waiting = False


__all__ = ["Forwarder"]
