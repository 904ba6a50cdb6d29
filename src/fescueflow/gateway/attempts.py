"""Single attempts of a request at an upstream."""

import math
from collections.abc import Callable, Iterator

import logbook

from fescueflow.core import Clock, UpstreamId
from fescueflow.gateway.buffers import AnswerBuffer
from fescueflow.gateway.connections import ConnectionPool, UpstreamConnection
from fescueflow.gateway.exchange import (
    ConnectionLost,
    Exchange,
    ExchangeFailed,
    render_request,
)
from fescueflow.gateway.loads import LoadTracker
from fescueflow.gateway.peers import HURRIED_INTERVAL_S
from fescueflow.gateway.quarantine import PromptQuarantine
from fescueflow.gateway.selection import Selection, UpstreamSelector
from fescueflow.gateway.stream_ends import StreamEndedEarly
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    LEAVING_HEADER,
    LIMIT_HEADER,
    MISDIRECTED_STATUS,
    NOT_RUN_HEADER,
    REFUSED_STATUSES,
    RETRY_AFTER_HEADER,
    UPSTREAM_LOAD_HEADER,
    UPSTREAM_SEAL_HEADER,
    Headers,
    is_leaving,
    parse_limit,
    parse_pause,
)
from fescueflow.routing import (
    SURVIVAL_S,
    AttemptFailure,
    FirstEvent,
    PartId,
    PermitEnd,
    Prompt,
    Upstream,
)

# Largest error of an estimated load that counts as accurate: the imbalance bound allows
# three requests above the multiple of the mean.
ESTIMATE_TOLERANCE_REQUESTS = 3.0

UNAVAILABLE_STATUS = 503
# Lowest status that says nothing of how fast the upstream responds: an error is quick
# also where the upstream would be slow.
ERROR_STATUS_MIN = 400
# Lowest status that reports a failure of the upstream rather than of the request.
SERVER_ERROR_MIN = 500
# Limit for a connection that shows whether an upstream still runs; the longest round
# trip between availability zones takes a tenth.
CRASH_CHECK_TIMEOUT_S = 0.1
# Time for which a new connection to an upstream has to last where the end of another
# may be that of a killed process: the system closes its listening socket some
# milliseconds later, and resets what was not accepted.
CRASH_CONFIRM_S = 0.05
# Least time between two looks at the connections of upstreams that have just answered:
# that between reports on a crash.
SURVIVOR_CHECK_INTERVAL_S = HURRIED_INTERVAL_S
# How failures end a permit; others may be those of the upstream.
FAILURE_ENDS = {
    AttemptFailure.REFUSED: PermitEnd.FULL,
    AttemptFailure.TIMED_OUT: PermitEnd.SILENT,
}

log = logbook.Logger("attempts")


class Attempt:
    """Exchange that counts toward the upstream's load until it ends."""

    def __init__(
        self,
        *,
        selection: Selection,
        prompt: Prompt,
        connection: UpstreamConnection,
        exchange: Exchange,
        client: "AttemptClient",
        deadline: float,
        started_at: float,
    ) -> None:
        self.selection = selection
        self.prompt = prompt
        self.event_count = 0
        # When the first event arrived, and the latest one.
        self.begun_at = self.progressed_at = started_at
        self.started_at = self.sent_at = started_at
        # Requests at the upstream, as the head of the response counts them.
        self.reported_running: int | None = None
        self.exchange = exchange
        self._connection = connection
        self._client = client
        self._deadline = deadline
        self._ended = False
        self.is_silent = False

    def mark_silent(self) -> None:
        """Note that the upstream is silent, so that others are preferred."""
        if not self.is_silent:
            self.is_silent = True
            self._client.record_silence(self)

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send the request."""
        data = render_request(
            address=self.selection.upstream.address,
            method=method,
            target=target,
            headers=headers,
            body=body,
        )
        self.exchange.method = method
        self.sent_at = self._client.get_time()
        self.exchange.send_request(data, self._deadline)

    def read_head(self, deadline: float, attempt_id: str) -> None:
        """Read the response head and check that the upstream served the request.

        Raises
        ------
        ExchangeFailed
            If the upstream refused or failed, or another server responded.
        """
        exchange = self.exchange
        exchange.read_head(deadline, attempt_id, self._deadline)
        status = exchange.status
        if status == MISDIRECTED_STATUS:
            raise ExchangeFailed(AttemptFailure.MISDIRECTED, "another server responded")
        self._client.record_upstream_wishes(self, attempt_id)
        if exchange.get_header(NOT_RUN_HEADER):
            self._client.record_load_header(self, attempt_id, is_refused=True)
            raise ExchangeFailed(
                AttemptFailure.REFUSED, f"refused with status {status}"
            )
        if exchange.get_header(UPSTREAM_SEAL_HEADER) is None:
            raise ExchangeFailed(
                AttemptFailure.BROKEN, f"status {status} without a seal"
            )
        if status in REFUSED_STATUSES:
            # Callers would read this status as a guarantee that nothing ran.
            raise ExchangeFailed(AttemptFailure.SERVER_ERROR, f"status {status}")
        self._client.record_load_header(self, attempt_id)

    def iterate_parts(
        self, deadline: float, get_limit: Callable[[], float] | None = None
    ) -> Iterator[bytes]:
        """Yield the body as it arrives, as ``Exchange.iterate_parts`` does."""
        return self.exchange.iterate_parts(deadline, get_limit)

    def check_end(self) -> None:
        """Check that a body whose end nothing marks was not cut by a crash.

        Raises
        ------
        ConnectionLost
            If the upstream takes no new connection, though it can't have left: its
            process may have been killed between two writes, which ends a connection
            like the end of the body. One that may have left takes none, either; there,
            a crash that other requests have shown tells.
        """
        if self.exchange.has_marked_end:
            return
        upstream, client = self.selection.upstream, self._client
        if client.is_serving(upstream):
            has_crashed = client.is_down(upstream, CRASH_CONFIRM_S)
        else:
            has_crashed = client.has_crashed(upstream)
        if has_crashed:
            raise ConnectionLost("the upstream crashed at an unmarked end")

    def read_body(self, deadline: float, buffer: AnswerBuffer) -> bytes:
        """Return the whole body; its bytes are counted by the buffer."""
        body = self.exchange.read_body(deadline, buffer)
        self.check_end()
        return body

    def record_events(self, count: int, now: float) -> None:
        """Record that complete events of a stream have arrived."""
        if not self.has_begun:
            self.selection.active_request.mark_prompt_read()
            self.begun_at = now
            self._client.record_begun(self)
            self._client.record_first_event(self)
        self.event_count += count
        self.progressed_at = now
        self._client.record_alive(self)
        if self.has_survived:
            self._client.record_progress(self)

    @property
    def has_begun(self) -> bool:
        """Whether events of the answer have arrived."""
        return self.event_count > 0

    @property
    def has_survived(self) -> bool:
        """Whether the upstream was alive long after it had begun the answer."""
        return self.progressed_at - self.begun_at >= SURVIVAL_S

    def finish(self) -> None:
        """End after a complete response; the connection is reused if possible."""
        is_error = self.exchange.status >= SERVER_ERROR_MIN
        if self._end(PermitEnd.UNUSED if is_error else PermitEnd.ANSWERED):
            self._client.record_response(self, self._connection)

    def fail(self, failure: ExchangeFailed) -> None:
        """End after a failure; closes the connection."""
        if self._end(FAILURE_ENDS.get(failure.kind, PermitEnd.FAILED)):
            self._connection.close()
            self._client.record_failure(self, failure)
            if failure.kind.may_have_run:
                self._client.record_abandoned(self)

    def cancel(self) -> None:
        """End after a disconnect or a passed deadline; closes the connection."""
        if self._end(PermitEnd.CANCELLED):
            self._connection.close()
            self._client.record_abandoned(self)

    def _end(self, end: PermitEnd) -> bool:
        ended, self._ended = self._ended, True
        if not ended:
            self.selection.end(end)
        return not ended


class AttemptClient:
    """Opens attempts and records their results.

    Parameters
    ----------
    pool : ConnectionPool
    selector : UpstreamSelector
    loads : LoadTracker
    clock : Clock
    metrics : Metrics
    quarantine : PromptQuarantine
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        selector: UpstreamSelector,
        loads: LoadTracker,
        clock: Clock,
        metrics: Metrics,
        quarantine: PromptQuarantine,
    ) -> None:
        self._quarantine = quarantine
        self._next_check_at = clock.monotonic()
        # When data of each upstream arrived last.
        self._active_at: dict[UpstreamId, float] = {}
        self._pool = pool
        self._selector = selector
        self._loads = loads
        self._clock = clock
        self._metrics = metrics

    def connect(
        self,
        selection: Selection,
        prompt: Prompt,
        deadline: float,
        is_caller_disconnected: Callable[[], bool],
    ) -> Attempt:
        """Return an attempt on an open connection, with nothing sent yet.

        Raises
        ------
        ExchangeFailed
            If no connection can be opened.
        """
        upstream = selection.upstream
        connection = self._pool.acquire(upstream.address)
        try:
            if connection is None:
                remaining_s = deadline - self._clock.monotonic()
                connection = self._pool.open(upstream.address, remaining_s)
                self._metrics.count("upstream_connections")
        except OSError as error:
            is_down = isinstance(error, ConnectionRefusedError)
            selection.end(PermitEnd.UNREACHABLE if is_down else PermitEnd.FAILED)
            self._selector.ramps.record_trouble(
                upstream.id, AttemptFailure.NOT_SENT.value, self._clock.monotonic()
            )
            self._record_unhealthy(upstream.id, is_down)
            if is_down:
                self._quarantine.record_refusal(upstream)
            self._metrics.count("attempts", end=AttemptFailure.NOT_SENT.value)
            raise ExchangeFailed(AttemptFailure.NOT_SENT, repr(error)) from error
        return Attempt(
            selection=selection,
            prompt=prompt,
            connection=connection,
            exchange=Exchange(connection, self._clock, is_caller_disconnected),
            client=self,
            deadline=deadline,
            started_at=self._clock.monotonic(),
        )

    def get_time(self) -> float:
        """Return the time of the monotonic clock, in seconds."""
        return self._clock.monotonic()

    def record_load_header(
        self, attempt: Attempt, attempt_id: str, is_refused: bool = False
    ) -> None:
        """Store the load and the speed that a response reports, also a refusal."""
        reported_running = self._selector.speeds.record_load_header(
            attempt.selection.upstream,
            attempt.exchange.get_header(UPSTREAM_LOAD_HEADER),
            self._clock.monotonic(),
        )
        attempt.reported_running = reported_running
        if reported_running is not None:
            self.record_reported_load(attempt, attempt_id, reported_running, is_refused)

    def record_reported_load(
        self,
        attempt: Attempt,
        attempt_id: str,
        reported_running: int,
        is_refused: bool = False,
    ) -> None:
        """Store the request count that an upstream reported.

        Parameters
        ----------
        attempt : Attempt
        attempt_id : str
        reported_running : int
            Requests that run or wait there, including this one unless it was refused.
        is_refused : bool, optional
        """
        selection = attempt.selection
        expected = selection.placement.candidate.load.running + (not is_refused)
        upstream = selection.upstream.id
        # Other instances are told of upstreams that can't take another request.
        is_high = reported_running + 1 > selection.bound.limit
        self._loads.record_count(
            upstream, reported_running, self._clock.monotonic(), is_high
        )
        self._metrics.count(
            "load_estimates", error=classify_estimate(reported_running, expected)
        )
        if reported_running > selection.bound.limit:
            log.info(
                "upstream over the limit",
                extra={
                    "id": attempt_id,
                    "upstream": str(upstream),
                    "told": reported_running,
                    "expected": round(expected, 1),
                    "mean_running": round(selection.bound.mean, 1),
                    "running_limit": round(selection.bound.limit, 1),
                },
            )

    def record_upstream_wishes(self, attempt: Attempt, attempt_id: str) -> None:
        """Note that an upstream leaves, wants a pause, or limits its requests."""
        upstream, exchange = attempt.selection.upstream, attempt.exchange
        fields = {"id": attempt_id, "upstream": str(upstream.id)}
        if is_leaving(exchange.get_header(LEAVING_HEADER)):
            if self._selector.mark_departing(upstream):
                log.info("upstream leaves", extra=fields)
        if exchange.status == UNAVAILABLE_STATUS:
            pause_s = parse_pause(exchange.get_header(RETRY_AFTER_HEADER))
            if pause_s:
                self._selector.pause_upstream(upstream.id, pause_s)
                log.info("upstream pauses", extra={**fields, "pause_s": pause_s})
        self._record_limit(attempt, attempt_id)

    def _record_limit(self, attempt: Attempt, attempt_id: str) -> None:
        """Note the limit in the head of an answer, or that it names none.

        Notes
        -----
        Only an answer with the upstream's seal tells that a limit has ended.
        """
        exchange = attempt.exchange
        try:
            rate = parse_limit(exchange.get_header(LIMIT_HEADER))
        except ValueError as error:
            self._metrics.count("upstream_limits_malformed")
            log.debug("limit ignored: {}", error)
            return
        if rate is not None or exchange.get_header(UPSTREAM_SEAL_HEADER) is not None:
            upstream = attempt.selection.upstream
            self._selector.limits.record_answer(
                upstream, rate, attempt.started_at, attempt_id
            )

    def record_response(self, attempt: Attempt, connection: UpstreamConnection) -> None:
        """Record a complete response and return or close its connection."""
        reusable, keep_alive_s = attempt.exchange.get_keep_alive()
        if reusable:
            self._pool.release(connection, keep_alive_s)
        else:
            connection.close()
        duration_s = self._clock.monotonic() - attempt.started_at
        self._loads.record_duration(
            attempt.selection.active_request.service, duration_s
        )
        upstream = attempt.selection.upstream
        self._selector.record_success(upstream.id)
        self._quarantine.record_answer(upstream, attempt.started_at)
        if not attempt.has_begun:
            self.record_begun(attempt)
        self.record_alive(attempt)
        self._metrics.count("attempts", end="answered")

    def record_begun(self, attempt: Attempt) -> None:
        """Record that an answer has begun."""
        if attempt.exchange.status < ERROR_STATUS_MIN:
            seconds = self._clock.monotonic() - attempt.started_at
            self._selector.ramps.record_begun(
                attempt.selection.upstream,
                attempt.selection.placement.prefill_tokens,
                seconds,
                attempt.started_at,
            )
        self._quarantine.record_begun(
            attempt.selection.upstream, attempt.prompt.shared_parts, attempt.started_at
        )

    def record_first_event(self, attempt: Attempt) -> None:
        """Record how long the first event of a stream took."""
        selection, placement = attempt.selection, attempt.selection.placement
        has_source = selection.source is not None
        copy_rate = self._selector.get_copy_rate(selection.upstream.service)
        event = FirstEvent(
            placement=placement,
            prompt=attempt.prompt,
            observed_ms=(attempt.begun_at - attempt.sent_at) * 1000,
            reported_running=attempt.reported_running,
            is_retry=selection.is_retry,
            is_silent=attempt.is_silent,
            is_copied=has_source and not placement.is_cached,
            copy_tokens_per_ms=copy_rate if has_source else 0.0,
        )
        self._selector.speeds.record_first_event(event, attempt.begun_at)

    def record_abandoned(self, attempt: Attempt) -> None:
        """Record an attempt whose upstream may still begin to answer it."""
        if not attempt.has_begun:
            self._quarantine.record_abandoned(
                attempt.selection.upstream,
                attempt.prompt.shared_parts,
                attempt.started_at,
            )

    def record_alive(self, attempt: Attempt) -> None:
        """Record that data of the upstream has arrived."""
        upstream = attempt.selection.upstream
        self._active_at[upstream.id] = self._clock.monotonic()
        self._quarantine.record_alive(upstream)

    def get_active_at(self, upstream: Upstream) -> float:
        """Return when data of the upstream arrived last, for any request."""
        return self._active_at.get(upstream.id, -math.inf)

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget all upstreams that are not in ``kept``."""
        for upstream in self._active_at.keys() - kept:
            del self._active_at[upstream]

    def check_survivors(self) -> None:
        """Find out which upstreams have survived their latest answers.

        Notes
        -----
        Where upstreams get few requests, no later data would tell. The end of an idle
        connection shows a crash that no request has noticed.
        """
        now = self._clock.monotonic()
        if now < self._next_check_at:
            return
        self._next_check_at = now + SURVIVOR_CHECK_INTERVAL_S
        for upstream in self._quarantine.list_unproven():
            is_open = self._pool.has_open(upstream.address)
            if is_open:
                self._quarantine.record_alive(upstream)
            elif is_open is False:
                # Connecting may take until its time limit, during which requests wait:
                # once for each upstream, one upstream at a time.
                if self.is_serving(upstream) and self.is_down(upstream):
                    self._quarantine.record_refusal(upstream)
                elif not self._pool.has_open(upstream.address):
                    self._quarantine.forget_answers(upstream)
                return

    def record_progress(self, attempt: Attempt) -> None:
        """Record that the upstream has survived the beginning of the answer."""
        self._quarantine.record_progress(
            attempt.selection.upstream.service, attempt.prompt.shared_parts
        )

    def record_silence(self, attempt: Attempt) -> None:
        """Record the first silence of an attempt."""
        self._record_trouble(attempt, AttemptFailure.TIMED_OUT)
        self._record_unhealthy(attempt.selection.upstream.id)

    def record_failure(self, attempt: Attempt, failure: ExchangeFailed) -> None:
        """Record a failed attempt."""
        upstream = attempt.selection.upstream.id
        if failure.kind is not AttemptFailure.MISDIRECTED:
            self._record_trouble(attempt, failure.kind)
        if failure.kind is AttemptFailure.MISDIRECTED:
            self._selector.mark_replaced(upstream)
            log.warning("upstream replaced", extra={"upstream": str(upstream)})
        elif failure.kind is AttemptFailure.TIMED_OUT and attempt.is_silent:
            log.debug("silence of {} recorded before", upstream)
        elif failure.kind is not AttemptFailure.REFUSED:
            self._record_unhealthy(upstream)
        if isinstance(failure, StreamEndedEarly):
            self._metrics.count(
                "early_stream_ends",
                cut=failure.cut.value,
                end_mark=failure.end_mark.value,
            )
        if failure.may_be_crash:
            self._record_lost(attempt)
        self._metrics.count("attempts", end=failure.kind.value)

    def _record_trouble(self, attempt: Attempt, kind: AttemptFailure) -> None:
        upstream = attempt.selection.upstream.id
        self._selector.ramps.record_trouble(upstream, kind.value, attempt.started_at)

    def _record_lost(self, attempt: Attempt) -> None:
        """Record a crash if the upstream of a lost connection takes no new one.

        Notes
        -----
        An upstream that only closed or reset the connection still accepts others, and
        one that is cut off does not refuse them.
        """
        upstream = attempt.selection.upstream
        if not self.is_down(upstream):
            return
        parts: tuple[PartId, ...] = ()
        if not attempt.has_begun:
            parts = attempt.prompt.shared_parts
        self._quarantine.record_crash(upstream, parts, attempt.started_at)
        if attempt.has_survived:
            self.record_progress(attempt)

    def has_crashed(self, upstream: Upstream) -> bool:
        """Return whether this start of an upstream is known to have crashed."""
        return self._quarantine.has_crashed(upstream)

    def is_serving(self, upstream: Upstream) -> bool:
        """Return whether an upstream stays, or leaves but is sure to serve still."""
        return self._selector.is_serving(upstream)

    def is_down(self, upstream: Upstream, wait_s: float = 0.0) -> bool:
        """Return whether an upstream has crashed or refuses connections.

        Parameters
        ----------
        upstream : Upstream
        wait_s : float, optional
            How long a new connection has to last.
        """
        if self._quarantine.has_crashed(upstream):
            return True
        try:
            connection = self._pool.open(upstream.address, CRASH_CHECK_TIMEOUT_S)
        except (ConnectionRefusedError, ConnectionResetError):
            self._record_unhealthy(upstream.id, is_down=True)
            return True
        except OSError as error:
            log.debug("connection to {} not opened: {!r}", upstream.id, error)
            return False
        self._metrics.count("upstream_connections")
        if wait_s and not connection.is_reusable(wait_s):
            connection.close()
            return self.is_down(upstream)
        self._pool.release(connection, None)
        return False

    def _record_unhealthy(self, upstream: UpstreamId, is_down: bool = False) -> None:
        if self._selector.record_failure(upstream, is_down):
            log.warning("upstream left out", extra={"upstream": str(upstream)})


def classify_estimate(reported_running: int, expected: float) -> str:
    """Return whether an estimated load is low, high or near the reported one."""
    if abs(reported_running - expected) <= ESTIMATE_TOLERANCE_REQUESTS:
        return "near"
    return "low" if reported_running > expected else "high"


__all__ = ["SERVER_ERROR_MIN", "Attempt", "AttemptClient"]
