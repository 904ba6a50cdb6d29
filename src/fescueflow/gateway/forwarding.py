"""Attempts of one request at upstreams, until one brings an answer."""

from collections.abc import Iterator

import logbook

from fescueflow.core import (
    BodyTooLarge,
    Clock,
    DeadlineExceeded,
    NotReady,
    Outcome,
    Overloaded,
    RequestError,
    UpstreamFailed,
)
from fescueflow.gateway.attempts import Attempt, AttemptClient
from fescueflow.gateway.beliefs import Beliefs
from fescueflow.gateway.calls import Answer, Call, Journey
from fescueflow.gateway.choice import RETURN_MS, Choice, Chooser
from fescueflow.gateway.exchange import ExchangeFailed
from fescueflow.gateway.streams import (
    EventSplitter,
    RelayTimes,
    StreamBody,
    StreamBroken,
    chain,
    watch_times,
)
from fescueflow.platform import (
    make_upstream_headers,
    select_answer_headers,
)
from fescueflow.routing import (
    PRIORITY_DEFAULT,
    AttemptEnd,
    RouteKind,
    choose_service,
    find_customer,
    find_route,
    may_repeat,
)

# Longest wait for the first byte of an answer that may be repeated elsewhere: this
# many latency objectives, within the two limits in seconds. The upper one is less
# than half of the shortest gap after which callers abandon a stream.
SILENCE_OBJECTIVES = 2.5
SILENCE_MIN_S = 0.3
SILENCE_MAX_S = 1.5
# Statuses from here on are failures of the upstream, not of the request.
SERVER_ERROR_MIN = 500

log = logbook.Logger("forwarding")


class Forwarder:
    """Serves calls.

    Parameters
    ----------
    beliefs : Beliefs
    chooser : Chooser
    client : AttemptClient
    clock : Clock
    """

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        chooser: Chooser,
        client: AttemptClient,
        clock: Clock,
    ) -> None:
        self._beliefs = beliefs
        self._chooser = chooser
        self._client = client
        self._clock = clock

    def forward(self, call: Call) -> Answer:
        """Return an upstream's answer.

        Raises
        ------
        RequestError
        """
        journey = self._begin(call)
        self._chooser.note_first(journey.service)
        try:
            while True:
                answer = self._attempt(journey)
                if answer is not None:
                    return answer
        except RequestError as error:
            if journey.fallback is not None:
                return journey.fallback
            raise self._describe(journey, error) from error

    def _attempt(self, journey: Journey) -> Answer | None:
        """Return the answer of one attempt, ``None`` if another one is to follow.

        Raises
        ------
        RequestError
        """
        attempt = None
        try:
            attempt = self._open(journey)
            return self._take_answer(journey, attempt)
        except ExchangeFailed as failure:
            if attempt is not None:
                attempt.fail(failure)
            self._note_failure(journey, failure)
            self._check_repeat(journey, failure)
            return None
        except RequestError:
            if attempt is not None:
                attempt.cancel()
            raise

    def _begin(self, call: Call) -> Journey:
        table = self._beliefs.get_table()
        if table is None:
            raise NotReady("no configuration is known yet", retry_after_ms=RETURN_MS)
        route = find_route(table, call.host, call.target.partition("?")[0])
        customer = find_customer(table, route, call.headers.key)
        if len(call.body) > table.limits.body_bytes:
            raise BodyTooLarge(f"the body exceeds {table.limits.body_bytes} bytes")
        limit_s = route.timeout_s
        if call.headers.deadline_s is not None:
            limit_s = min(limit_s, call.headers.deadline_s)
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return Journey(
            call=call,
            route=route,
            service=choose_service(route, call.headers.attempt_id),
            customer=customer.id if customer else None,
            priority=PRIORITY_DEFAULT if priority is None else priority,
            until=call.received_at + limit_s,
        )

    def _open(self, journey: Journey, last_event: str | None = None) -> Attempt:
        """Choose an upstream, send the request and read the head of the answer."""
        call, now = journey.call, self._clock.monotonic()
        if now >= journey.until:
            raise DeadlineExceeded("the deadline passed")
        prompt = call.headers.prompt
        choice = self._chooser.choose(
            journey.service, prompt, journey.tried, journey.until - now
        )
        journey.tried.add(choice.upstream.id)
        journey.upstream = choice.upstream.id
        self._note_choice(journey, choice, now)
        headers = make_upstream_headers(
            call.headers,
            upstream=choice.upstream.id,
            customer=journey.customer,
            remaining_s=journey.until - now,
            priority=journey.priority,
            last_event=last_event,
            copy_from=choice.source.address if choice.source else None,
        )
        attempt = self._client.connect(choice, journey.until, call.is_caller_gone)
        try:
            journey.arrived += 1
            attempt.send(call.method, call.target, headers, call.body)
            attempt.read_head(self._limit_silence(journey), call.headers.attempt_id)
        except ExchangeFailed as failure:
            attempt.fail(failure)
            raise
        except RequestError:
            attempt.cancel()
            raise
        return attempt

    def _take_answer(self, journey: Journey, attempt: Attempt) -> Answer:
        status = attempt.exchange.status
        headers = select_answer_headers(attempt.exchange.headers)
        is_stream = journey.route.kind is RouteKind.STREAM and status == 200
        if not is_stream:
            body = attempt.read_body(journey.until)
            attempt.finish()
            answer = Answer(status, headers, body)
            if status < SERVER_ERROR_MIN or not self._can_restart(journey):
                return answer
            # Passed on if no other upstream does better.
            journey.fallback = answer
            raise ExchangeFailed(AttemptEnd.SERVER_ERROR, f"status {status}")
        splitter = EventSplitter()
        journey.attempt = attempt
        # The first event decides whether the answer is this upstream's: before it,
        # another one may still be asked.
        first = self._take_first(journey, attempt, splitter)
        headers = [(n, v) for n, v in headers if n.lower() != "content-length"]
        times = RelayTimes()
        relayed = watch_times(self._relay(journey, splitter, times), times, self._clock)
        parts = chain(first, relayed)
        return Answer(status, headers, StreamBody(parts, journey.cancel))

    def _take_first(
        self, journey: Journey, attempt: Attempt, splitter: EventSplitter
    ) -> bytes:
        limit = self._limit_silence(journey)
        for part in attempt.iterate_parts(limit):
            whole = splitter.add(part)
            if whole:
                attempt.note_first()
                return whole
        return splitter.take_rest()

    def _relay(
        self, journey: Journey, splitter: EventSplitter, times: RelayTimes
    ) -> Iterator[bytes]:
        """Yield events; go on at another upstream where the route allows it."""
        while (attempt := journey.attempt) is not None:
            try:
                silence_s = SILENCE_MAX_S if self._can_move(journey) else None
                for part in attempt.iterate_parts(journey.until, silence_s):
                    if whole := splitter.add(part):
                        yield whole
                attempt.finish()
                if rest := splitter.take_rest():
                    yield rest
                self._note_end(journey, times)
                return
            except ExchangeFailed as failure:
                attempt.fail(failure)
                self._note_failure(journey, failure)
                journey.attempt = self._move(journey, splitter, failure)
            except RequestError as error:
                attempt.cancel()
                raise self._break_stream(journey, error.message) from error

    def _can_restart(self, journey: Journey) -> bool:
        """Return whether an upstream's own failure is worth another attempt.

        Notes
        -----
        Engines fail by chance, applications mostly by what they are asked: of the
        look-ups that fail there, as many fail again elsewhere.
        """
        return journey.route.kind is RouteKind.STREAM and self._can_move(journey)

    def _can_move(self, journey: Journey) -> bool:
        return may_repeat(journey.route, AttemptEnd.BROKEN, journey.arrived)

    def _move(
        self, journey: Journey, splitter: EventSplitter, failure: ExchangeFailed
    ) -> Attempt:
        """Resume a stream after its last whole event."""
        splitter.drop_rest()
        if splitter.last_id is None:
            raise self._break_stream(journey, str(failure)) from failure
        while True:
            try:
                self._check_repeat(journey, failure)
                attempt = self._open(journey, splitter.last_id)
            except ExchangeFailed as next_failure:
                failure = next_failure
                self._note_failure(journey, failure)
                continue
            except RequestError as error:
                raise self._break_stream(journey, error.message) from error
            if attempt.exchange.status == 200:
                return attempt
            attempt.cancel()
            status = attempt.exchange.status
            raise self._break_stream(journey, f"status {status} on resumption")

    def _check_repeat(self, journey: Journey, failure: ExchangeFailed) -> None:
        """Raise the caller's error unless another attempt follows.

        Raises
        ------
        RequestError
        """
        end = failure.end
        journey.may_have_run = journey.may_have_run or end.has_run
        now = self._clock.monotonic()
        if now >= journey.until:
            raise DeadlineExceeded("the deadline passed")
        if not may_repeat(journey.route, end, journey.arrived):
            raise make_error(failure)
        if end is not AttemptEnd.NOT_SENT and not self._chooser.take_repeat(
            journey.service
        ):
            raise make_error(failure)

    def _describe(self, journey: Journey, error: RequestError) -> RequestError:
        """Return the error that is true of the whole request."""
        if error.outcome is Outcome.NOT_RUN and journey.may_have_run:
            return UpstreamFailed(error.message)
        if isinstance(error, DeadlineExceeded) and not journey.arrived:
            return Overloaded(error.message)
        return error

    def _note_choice(self, journey: Journey, choice: Choice, now: float) -> None:
        table = self._beliefs.get_table()
        log.info(
            "placed",
            extra={
                "id": journey.call.headers.attempt_id,
                "route": str(journey.route.id),
                "service": str(journey.service),
                "attempt": journey.arrived + 1,
                "left_ms": round((journey.until - now) * 1000),
                "table": table.version if table else None,
                "belief_age_ms": round(self._beliefs.get_age(now) * 1000),
                **choice.describe(),
            },
        )

    def _note_failure(self, journey: Journey, failure: ExchangeFailed) -> None:
        log.warning(
            "attempt failed",
            extra={
                "id": journey.call.headers.attempt_id,
                "upstream": str(journey.upstream),
                "end": failure.end.value,
                "why": failure.reason,
            },
        )

    def _note_end(self, journey: Journey, times: RelayTimes) -> None:
        now = self._clock.monotonic()
        log.info(
            "stream ended",
            extra={
                "id": journey.call.headers.attempt_id,
                "upstream": str(journey.upstream),
                "parts": times.parts,
                "longest_gap_ms": round(times.gap_s * 1000),
                "longest_hold_ms": round(times.hold_s * 1000),
                "after_ms": round((now - journey.call.received_at) * 1000),
            },
        )

    def _break_stream(self, journey: Journey, why: str) -> StreamBroken:
        """Return the error that ends the caller's connection."""
        log.warning(
            "stream broken",
            extra={
                "id": journey.call.headers.attempt_id,
                "upstream": str(journey.upstream),
                "why": why,
            },
        )
        return StreamBroken(why)

    def _limit_silence(self, journey: Journey) -> float:
        """Return until when the first byte of an answer is waited for."""
        if not self._can_move(journey):
            return journey.until
        target_s = journey.route.target_s * SILENCE_OBJECTIVES
        silence_s = min(SILENCE_MAX_S, max(SILENCE_MIN_S, target_s))
        return min(journey.until, self._clock.monotonic() + silence_s)


def make_error(failure: ExchangeFailed) -> RequestError:
    """Return the caller's error for a failed attempt."""
    if failure.end.has_run:
        return UpstreamFailed(failure.reason)
    return Overloaded(failure.reason, retry_after_ms=RETURN_MS)


__all__ = ["Forwarder"]
