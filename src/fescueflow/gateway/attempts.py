"""One attempt of a request at one upstream."""

from collections.abc import Callable, Iterator

import logbook

from fescueflow.core import Clock, UpstreamId
from fescueflow.gateway.choice import Choice, Chooser
from fescueflow.gateway.connections import ConnectionPool, UpstreamConnection
from fescueflow.gateway.exchange import Exchange, ExchangeFailed, render_request
from fescueflow.gateway.loads import LoadBook
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    MISDIRECTED_STATUS,
    NOT_RUN,
    REFUSED_STATUSES,
    SEAL,
    UPSTREAM_LOAD,
    Headers,
    parse_upstream_load,
)
from fescueflow.routing import AttemptEnd

# Difference of an estimated load that can't matter for imbalance, in requests: the
# rules allow three above the multiple of the mean.
ESTIMATE_NEAR = 3.0

log = logbook.Logger("attempts")


class Attempt:
    """Exchange with an upstream that is counted there until it ends."""

    def __init__(
        self,
        *,
        choice: Choice,
        connection: UpstreamConnection,
        exchange: Exchange,
        client: "AttemptClient",
        until: float,
        started_at: float,
    ) -> None:
        self.choice = choice
        self.started_at = started_at
        self.exchange = exchange
        self._connection = connection
        self._client = client
        self._until = until
        self._ended = False

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send the request."""
        data = render_request(
            address=self.choice.upstream.address,
            method=method,
            target=target,
            headers=headers,
            body=body,
        )
        self.exchange.transmit(data, self._until)

    def read_head(self, until: float, attempt_id: str) -> None:
        """Read the head and tell refusals and foreign answers from the rest.

        Raises
        ------
        ExchangeFailed
        """
        exchange = self.exchange
        exchange.read_head(until, attempt_id, self._until)
        status = exchange.status
        if status == MISDIRECTED_STATUS:
            raise ExchangeFailed(AttemptEnd.MISDIRECTED, "another server answers")
        if exchange.get_header(NOT_RUN):
            raise ExchangeFailed(AttemptEnd.REFUSED, f"refused with status {status}")
        if exchange.get_header(SEAL) is None:
            raise ExchangeFailed(AttemptEnd.BROKEN, f"status {status} without a seal")
        if status in REFUSED_STATUSES:
            # Callers would take the status for a promise that it did not run.
            raise ExchangeFailed(AttemptEnd.SERVER_ERROR, f"status {status}")
        told = parse_upstream_load(exchange.get_header(UPSTREAM_LOAD))
        if told is not None:
            self._client.note_load(self, attempt_id, told)

    def iterate_parts(
        self, until: float, silence_s: float | None = None
    ) -> Iterator[bytes]:
        """Yield the body as it comes."""
        return self.exchange.iterate_parts(until, silence_s)

    def read_body(self, until: float) -> bytes:
        """Return the whole body."""
        return self.exchange.read_body(until)

    def note_first(self) -> None:
        """Note the first event."""
        self.choice.ticket.note_first()

    def finish(self) -> None:
        """End after a complete answer; the connection is kept if it can be."""
        if self._end():
            self._client.note_finish(self, self._connection)

    def fail(self, failure: ExchangeFailed) -> None:
        """End after a failure."""
        if self._end():
            self._connection.close()
            self._client.note_failure(self, failure)

    def cancel(self) -> None:
        """End because the caller left or its time is over; closes the connection."""
        if self._end():
            self._connection.close()

    def _end(self) -> bool:
        ended, self._ended = self._ended, True
        if not ended:
            self.choice.ticket.end()
        return not ended


class AttemptClient:
    """Opens attempts and notes how they end.

    Parameters
    ----------
    pool : ConnectionPool
    chooser : Chooser
    loads : LoadBook
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        chooser: Chooser,
        loads: LoadBook,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._pool = pool
        self._chooser = chooser
        self._loads = loads
        self._clock = clock
        self._metrics = metrics

    def connect(
        self, choice: Choice, until: float, is_caller_gone: Callable[[], bool]
    ) -> Attempt:
        """Return an attempt on a connection with no byte sent.

        Raises
        ------
        ExchangeFailed
            If no connection can be opened.
        """
        upstream = choice.upstream
        connection = self._pool.take(upstream.address)
        try:
            if connection is None:
                left_s = until - self._clock.monotonic()
                connection = self._pool.open(upstream.address, left_s)
                self._metrics.count("upstream_connections")
        except OSError as error:
            choice.ticket.end()
            self._note_unhealthy(upstream.id)
            self._metrics.count("attempts", end=AttemptEnd.NOT_SENT.value)
            raise ExchangeFailed(AttemptEnd.NOT_SENT, repr(error)) from error
        return Attempt(
            choice=choice,
            connection=connection,
            exchange=Exchange(connection, self._clock, is_caller_gone),
            client=self,
            until=until,
            started_at=self._clock.monotonic(),
        )

    def note_load(self, attempt: Attempt, attempt_id: str, told: int) -> None:
        """Take over an upstream's count of its requests.

        Parameters
        ----------
        attempt : Attempt
        attempt_id : str
        told : int
            Requests that run or wait there, this one included.
        """
        choice = attempt.choice
        expected = choice.placement.candidate.load.running + 1
        upstream = choice.upstream.id
        # Others are told of an upstream that can't take one more.
        is_high = told + 1 > choice.bound.limit
        self._loads.note_count(upstream, told, self._clock.monotonic(), is_high)
        self._metrics.count("load_estimates", error=classify_error(told, expected))
        if told > choice.bound.limit:
            log.info(
                "upstream over the limit",
                extra={
                    "id": attempt_id,
                    "upstream": str(upstream),
                    "told": told,
                    "expected": round(expected, 1),
                    "mean_running": round(choice.bound.mean, 1),
                    "running_limit": round(choice.bound.limit, 1),
                },
            )

    def note_finish(self, attempt: Attempt, connection: UpstreamConnection) -> None:
        """Note a complete answer."""
        kept, keep_alive_s = attempt.exchange.find_keep_alive()
        if kept:
            self._pool.give_back(connection, keep_alive_s)
        else:
            connection.close()
        held_s = self._clock.monotonic() - attempt.started_at
        self._loads.note_hold(attempt.choice.ticket.service, held_s)
        self._chooser.note_success(attempt.choice.upstream.id)
        self._metrics.count("attempts", end="answered")

    def note_failure(self, attempt: Attempt, failure: ExchangeFailed) -> None:
        """Note a failed attempt."""
        upstream = attempt.choice.upstream.id
        if failure.end is AttemptEnd.MISDIRECTED:
            self._chooser.note_replaced(upstream)
            log.warning("upstream replaced", extra={"upstream": str(upstream)})
        elif failure.end is not AttemptEnd.REFUSED:
            self._note_unhealthy(upstream)
        self._metrics.count("attempts", end=failure.end.value)

    def _note_unhealthy(self, upstream: UpstreamId) -> None:
        if self._chooser.note_failure(upstream):
            log.warning("upstream left out", extra={"upstream": str(upstream)})


def classify_error(told: int, expected: float) -> str:
    """Return whether an estimated load was low, high or near the true one."""
    if abs(told - expected) <= ESTIMATE_NEAR:
        return "near"
    return "low" if told > expected else "high"


__all__ = ["Attempt", "AttemptClient"]
