"""Attempts of a request: the first one, retries, and replacements of silent ones.

Load pattern: an upstream is silent for some time while the others are full, so that
another attempt may be refused. The silent attempt is kept until its replacement has
begun; whichever responds first goes on, and the other one is ended.
"""

import weakref
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import logbook

from fescueflow.core import Clock, DeadlineExceeded, PromptQuarantined, RequestError
from fescueflow.gateway.attempts import SERVER_ERROR_MIN, Attempt, AttemptClient
from fescueflow.gateway.errors import make_error
from fescueflow.gateway.exchange import ConnectionLost, ExchangeFailed, OtherResponded
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.quarantine import Admission, PromptQuarantine
from fescueflow.gateway.reachability import ReachabilityProbe
from fescueflow.gateway.request_logs import (
    SilenceEnd,
    log_failure,
    log_no_retry,
    log_selection,
    log_silence,
)
from fescueflow.gateway.request_permits import RequestPermits
from fescueflow.gateway.requests import RequestContext
from fescueflow.gateway.selected import Selection
from fescueflow.gateway.selection import UpstreamSelector
from fescueflow.gateway.stream_ends import CONTENT_TYPE
from fescueflow.metrics import Metrics
from fescueflow.platform import make_upstream_headers
from fescueflow.routing import (
    PRIORITY_HIGHEST,
    SUSPICION_S,
    AttemptFailure,
    PermitEnd,
    RetryDenial,
    RouteKind,
    SilenceWatch,
    compute_first_byte_wait,
    compute_patience,
    may_retry,
)

SILENCE = ExchangeFailed(AttemptFailure.TIMED_OUT, "no byte in time")

log = logbook.Logger("dispatch")


class AttemptDispatcher:
    """Opens the attempts of requests.

    Parameters
    ----------
    platform_state : PlatformState
    selector : UpstreamSelector
    client : AttemptClient
    clock : Clock
    quarantine : PromptQuarantine
    probe : ReachabilityProbe
    metrics : Metrics
    permits : RequestPermits
    """

    def __init__(
        self,
        *,
        platform_state: PlatformState,
        selector: UpstreamSelector,
        client: AttemptClient,
        clock: Clock,
        quarantine: PromptQuarantine,
        probe: ReachabilityProbe,
        metrics: Metrics,
        permits: RequestPermits,
    ) -> None:
        self._permits = permits
        self._metrics = metrics
        self._platform_state = platform_state
        self._selector = selector
        self._client = client
        self._clock = clock
        self._quarantine = quarantine
        self._probe = probe

    def start(self, context: RequestContext, last_event: str | None = None) -> Attempt:
        """Return an attempt whose response head has arrived.

        Parameters
        ----------
        context : RequestContext
        last_event : str, optional
            ID of the event after which a stream resumes.

        Raises
        ------
        ExchangeFailed
            If the attempt failed; it is ended.
        RequestError
            If the request can't be sent, or must not wait any longer.
        """
        attempt = self._connect(context, last_event)
        context.set_attempt(attempt)
        context.watch = self._watch_beginning(context)
        try:
            self._send(context, attempt, last_event)
        except ExchangeFailed as failure:
            attempt.fail(failure)
            raise
        except RequestError:
            attempt.cancel()
            raise
        return self._await_head(context, attempt, last_event)

    def _await_head(
        self, context: RequestContext, attempt: Attempt, last_event: str | None
    ) -> Attempt:
        """Return this attempt or a replacement, whichever responds first."""
        while True:
            try:
                self._read_head(context, attempt)
                return attempt
            except ExchangeFailed as failure:
                if not self.is_silence(context, failure):
                    attempt.fail(failure)
                    raise
            except RequestError:
                attempt.cancel()
                raise
            successor = self.handle_silence(context, attempt, last_event)
            if successor is not attempt or attempt.exchange.status:
                return successor

    def is_silence(self, context: RequestContext, failure: ExchangeFailed) -> bool:
        """Return whether a failure is a pause that may end before the deadline."""
        return (
            failure.kind is AttemptFailure.TIMED_OUT
            and self._clock.monotonic() < context.deadline
        )

    def handle_silence(
        self,
        context: RequestContext,
        attempt: Attempt,
        last_event: str | None,
        is_stalled: bool = False,
    ) -> Attempt:
        """Return the attempt with which a silent one goes on, maybe the same.

        Parameters
        ----------
        context : RequestContext
        attempt : Attempt
        last_event : str or None
            ID of the last complete event.
        is_stalled : bool, optional
            Whether bytes have arrived since, which need not mean that the stream goes
            on.

        Raises
        ------
        ExchangeFailed
            If the upstream has failed meanwhile, and its replacement, too.
        RequestError
            If the request must not wait any longer; all attempts are ended.
        """
        watch = context.watch
        attempt.mark_silent()
        if watch.is_suspected_only and self._may_go_on(context, attempt):
            self._record_silence(context, attempt, SilenceEnd.AWAITED)
            watch.mark_awaited()
            return attempt
        try:
            successor = self._replace(context, attempt, last_event, is_stalled)
        finally:
            context.watch = watch
        now = self._clock.monotonic()
        if successor is attempt:
            watch.mark_searched(now)
        else:
            watch.mark_progress(now)
        return successor

    def watch_stream(
        self, context: RequestContext, get_last_event: Callable[[], str | None]
    ) -> SilenceWatch:
        """Return the watch over the pauses of a stream that has begun."""
        watched = weakref.proxy(context)
        return SilenceWatch(
            suspicion_s=SUSPICION_S,
            patience_s=compute_patience(context.route),
            deadline=context.deadline,
            now=self._clock.monotonic(),
            may_replace=lambda: (
                get_last_event() is not None and self.can_retry_elsewhere(watched)
            ),
        )

    def _watch_beginning(self, context: RequestContext) -> SilenceWatch:
        """Return the watch over the time until a response begins."""
        # The context holds the watch: a cycle would keep the request's body until the
        # garbage collector runs.
        watched = weakref.proxy(context)
        return SilenceWatch(
            suspicion_s=compute_first_byte_wait(context.route),
            patience_s=compute_patience(context.route),
            deadline=context.deadline,
            now=self._clock.monotonic(),
            may_replace=lambda: self.can_retry_elsewhere(watched),
        )

    def _may_go_on(self, context: RequestContext, attempt: Attempt) -> bool:
        """Return whether the silence of an upstream may end, so that it is awaited.

        Notes
        -----
        A lookup may run at two upstreams. An upstream that has gone on with others in
        the meantime has lost the connection or the request, or has put it back.
        """
        if context.route.kind is not RouteKind.STREAM:
            return False
        upstream = attempt.selection.upstream
        if self._client.get_active_at(upstream) > context.watch.quiet_since:
            return False
        return self._probe.is_reachable(upstream)

    def check_retry(self, context: RequestContext, failure: ExchangeFailed) -> None:
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
            log_no_retry(context, RetryDenial.ROUTE)
            raise make_error(failure)
        if kind is not AttemptFailure.NOT_SENT and not self._selector.take_retry(
            context.service
        ):
            log_no_retry(context, RetryDenial.BUDGET)
            raise make_error(failure)

    def can_retry_elsewhere(self, context: RequestContext) -> bool:
        """Return whether the route allows another attempt of a request that ran."""
        return may_retry(context.route, AttemptFailure.BROKEN, context.attempts_sent)

    def _connect(
        self,
        context: RequestContext,
        last_event: str | None,
        is_replacement: bool = False,
    ) -> Attempt:
        """Return an attempt at a selected upstream, with nothing sent yet."""
        now = self._clock.monotonic()
        if now >= context.deadline:
            raise DeadlineExceeded("the deadline passed")
        self._client.check_survivors()
        admission = self._quarantine.admit(context.service, context.prompt)
        priority = context.priority if last_event is None else PRIORITY_HIGHEST
        selection = self._select(
            context, admission.isolation_key, priority, is_replacement
        )
        now = self._clock.monotonic()
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
        return self._client.connect(
            selection,
            context.prompt,
            context.deadline,
            # The context holds the attempt, see `_watch_beginning`.
            partial(self._check_waiting, weakref.proxy(context), admission),
        )

    def _select(
        self,
        context: RequestContext,
        isolation_key: str | None,
        priority: int,
        is_replacement: bool,
    ) -> Selection:
        """Return the selected upstream, with a permit where the service needs them.

        The replacement of a silent attempt goes without a permit, as the silent attempt
        is not read while it would wait for one.

        Raises
        ------
        RequestError
            If the request can't be sent.
        """
        permit = permitted = None
        # A request that is sent apart has to go to an upstream of its own.
        if isolation_key is None and self._permits.is_needed(context):
            permitted = self._permits.find_limited(context)
            if permitted is None and not is_replacement:
                permit = self._permits.acquire(context, priority)
        if permit is not None:
            permitted = permit.upstream
        try:
            selection = self._selector.select(
                context.service,
                context.prompt,
                context.tried,
                context.deadline - self._clock.monotonic(),
                isolation_key,
                priority=priority,
                permitted=permitted,
            )
        except BaseException:
            if permit is not None:
                permit.end(PermitEnd.UNUSED)
            raise
        if permit is None:
            return selection
        if selection.upstream.id != permit.upstream:
            permit.end(PermitEnd.UNUSED)
            return selection
        return replace(selection, permit=permit)

    def _send(
        self, context: RequestContext, attempt: Attempt, last_event: str | None
    ) -> None:
        request, source = context.request, attempt.selection.source
        headers = make_upstream_headers(
            request.headers,
            upstream=attempt.selection.upstream.id,
            customer=context.customer,
            remaining_s=context.deadline - self._clock.monotonic(),
            priority=context.priority,
            last_event=last_event,
            copy_from=source.address if source else None,
        )
        context.attempts_sent += 1
        attempt.send(request.method, request.target, headers, request.body)

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

    def _read_head(self, context: RequestContext, attempt: Attempt) -> None:
        attempt.read_head(context.watch.get_limit(), context.request.headers.attempt_id)

    def _replace(
        self,
        context: RequestContext,
        silent: Attempt,
        last_event: str | None,
        is_stalled: bool,
    ) -> Attempt:
        """Return a replacement that has begun, or the silent attempt to go on with.

        Raises
        ------
        ExchangeFailed
            If the silent attempt has failed meanwhile, and its replacement, too.
        RequestError
            If the request must not wait any longer; all attempts are ended.
        """
        context.may_have_run = True
        replacement = self._open_replacement(context, last_event)
        end, chosen = SilenceEnd.NO_REPLACEMENT, silent
        if replacement is not None:
            if not is_stalled:
                replacement.exchange.watch(silent.exchange)
            chosen = self._await_either(context, silent, replacement, last_event)
            is_replaced = chosen is not silent
            end = SilenceEnd.REPLACED if is_replaced else SilenceEnd.KEPT
        context.set_attempt(chosen)
        self._record_silence(context, silent, end)
        return chosen

    def _open_replacement(
        self, context: RequestContext, last_event: str | None
    ) -> Attempt | None:
        """Return an attempt at another upstream, ``None`` if there can be none."""
        failure, is_counted = SILENCE, False
        while True:
            try:
                self.check_retry(context, failure)
                is_counted = True
                return self._connect(context, last_event, is_replacement=True)
            except ExchangeFailed as next_failure:
                failure = next_failure
                log_failure(context, failure, self._clock)
            except RequestError as error:
                log.debug("no replacement: {!r}", error)
                if is_counted:
                    self._selector.give_back_retry(context.service)
                return None

    def _await_either(
        self,
        context: RequestContext,
        silent: Attempt,
        replacement: Attempt,
        last_event: str | None,
    ) -> Attempt:
        """Return the attempt that responds first, and end the other one."""
        try:
            try:
                self._send(context, replacement, last_event)
                # The limit of the silent attempt has passed.
                context.watch = self._watch_beginning(context)
                self._read_head(context, replacement)
            finally:
                replacement.exchange.unwatch()
            if context.route.kind is RouteKind.STREAM:
                check_replacement(silent, replacement)
        except OtherResponded:
            return self._follow(context, silent, replacement, last_event)
        except ExchangeFailed as failure:
            replacement.fail(failure)
            log_failure(context, failure, self._clock)
            return silent
        except RequestError as error:
            replacement.cancel()
            if isinstance(error, PromptQuarantined) and silent.has_begun:
                return silent
            silent.cancel()
            raise
        silent.fail(SILENCE)
        return replacement

    def _follow(
        self,
        context: RequestContext,
        silent: Attempt,
        replacement: Attempt,
        last_event: str | None,
    ) -> Attempt:
        """Return the silent attempt if it goes on, else what its replacement gives."""
        has_head = bool(silent.exchange.status)
        try:
            goes_on = self._goes_on(context, silent)
        except RequestError:
            silent.cancel()
            replacement.cancel()
            raise
        if goes_on:
            replacement.cancel()
            return silent
        context.set_attempt(replacement)
        chosen = self._await_head(context, replacement, last_event)
        try:
            if has_head:
                check_replacement(silent, chosen)
        except ExchangeFailed as failure:
            chosen.fail(failure)
            raise
        return chosen

    def _goes_on(self, context: RequestContext, silent: Attempt) -> bool:
        """Return whether a silent attempt goes on, now that it has data; else end it.

        Notes
        -----
        Its first data may be a refusal, or the end of its connection. Failures of
        engines are mostly random, so that the replacement may succeed.
        """
        try:
            if silent.exchange.is_cut():
                raise ConnectionLost("the connection ended while it was silent")
            if not silent.exchange.status:
                attempt_id = context.request.headers.attempt_id
                silent.read_head(self._clock.monotonic(), attempt_id)
                status = silent.exchange.status
                is_stream = context.route.kind is RouteKind.STREAM
                if is_stream and status >= SERVER_ERROR_MIN:
                    raise ExchangeFailed(
                        AttemptFailure.SERVER_ERROR, f"status {status}"
                    )
        except ExchangeFailed as failure:
            silent.fail(failure)
            return False
        return True

    def _record_silence(
        self, context: RequestContext, silent: Attempt, end: SilenceEnd
    ) -> None:
        self._metrics.count("silences", end=end.value)
        log_silence(context, silent, end)


def check_replacement(silent: Attempt, replacement: Attempt) -> None:
    """Check that a response can take the place of a silent one.

    Raises
    ------
    ExchangeFailed
        If it is a server error, or doesn't continue the stream that has begun.
    """
    status = replacement.exchange.status
    if not silent.exchange.status:
        is_continuation = status < SERVER_ERROR_MIN
    else:
        content_types = [
            attempt.exchange.get_header(CONTENT_TYPE)
            for attempt in (silent, replacement)
        ]
        is_continuation = status == 200 and content_types[0] == content_types[1]
    if not is_continuation:
        raise ExchangeFailed(
            AttemptFailure.SERVER_ERROR, f"status {status} from a replacement"
        )


__all__ = ["SERVER_ERROR_MIN", "AttemptDispatcher"]
