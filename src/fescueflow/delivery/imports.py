"""Asks an engine to import the cache of a prefix from another engine."""

import contextlib
import json
import threading
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from fescueflow.audit import AuditKind, AuditTrail
from fescueflow.core import Clock, InvalidRequest, UpstreamId
from fescueflow.delivery.exchange import (
    AttemptFailed,
    FailureReason,
    UpstreamExchange,
)
from fescueflow.metrics import Metrics
from fescueflow.platform import ListedUpstream
from fescueflow.transport import Network

IMPORT_PATH = "/v1/cache/import"
# Imports at a time that one instance asks of one engine.
RUNNING_MAX = 2
# How long an engine without imports isn't asked again.
NOT_OFFERED_S = 300.0
# How long a prefix isn't imported again at the same engine. It outlasts the time
# for exports; the engine may itself restart and lose the prefix soon after that.
REPEAT_S = 30.0
ASKED_MAX = 8192
# A leaving engine that failed this often in a row is taken for dead.
SOURCE_FAILURES_MAX = 3
NO_SUCH_PATH = {404, 501}


class ImportTrigger(Enum):
    """Why an import is asked for."""

    LEAVE = "leave"
    RETURN = "return"


class ImportResult(Enum):
    """How an import ended; the first four are counted."""

    DONE = "done"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    FAILED = "failed"
    NOT_SENT = "not_sent"


TIMEOUTS = {FailureReason.SILENT, FailureReason.DEADLINE}


@dataclass(frozen=True, slots=True)
class PrefixMove:
    """A prefix that an engine is to import from a leaving one."""

    affinity_key: str
    target: ListedUpstream
    source: ListedUpstream
    trigger: ImportTrigger


class CacheImporter:
    """Sends import requests within limits.

    Parameters
    ----------
    network : Network
    clock : Clock
    metrics : Metrics
    audit : AuditTrail
    connect_timeout_s : float

    Notes
    -----
    Imports only save time, so no failure is passed on.
    """

    def __init__(
        self,
        *,
        network: Network,
        clock: Clock,
        metrics: Metrics,
        audit: AuditTrail,
        connect_timeout_s: float,
    ) -> None:
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._audit = audit
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._running: Counter[UpstreamId] = Counter()
        self._asked: OrderedDict[tuple[str, UpstreamId], float] = OrderedDict()
        self._not_offered: dict[UpstreamId, float] = {}
        self._source_failures: Counter[UpstreamId] = Counter()
        self._number = 0

    def reset_source(self, source: UpstreamId) -> None:
        """Forget the failures of an engine that begins to leave."""
        with self._lock:
            self._source_failures.pop(source, None)

    def is_useful(self, move: PrefixMove) -> bool:
        """Return whether the import was not asked for lately and may succeed."""
        with self._lock:
            return self._is_useful(move, self._clock.monotonic())

    def _is_useful(self, move: PrefixMove, now: float) -> bool:
        asked_at = self._asked.get((move.affinity_key, move.target.id))
        return (
            (asked_at is None or now - asked_at >= REPEAT_S)
            and self._not_offered.get(move.target.id, now) <= now
            and self._source_failures[move.source.id] < SOURCE_FAILURES_MAX
        )

    @contextlib.contextmanager
    def reserve(self, move: PrefixMove) -> Iterator[bool]:
        """Hold one of the engine's places; the value is false if all are taken."""
        with self._lock:
            taken = self._running[move.target.id] < RUNNING_MAX
            self._running[move.target.id] += taken
        try:
            yield taken
        finally:
            with self._lock:
                self._running[move.target.id] -= taken
                # Engines come and go; only those with imports stay in the counter.
                if not self._running[move.target.id]:
                    del self._running[move.target.id]

    def send(
        self, move: PrefixMove, deadline: float, may_send: Callable[[], bool]
    ) -> ImportResult:
        """Ask the new engine to import, and wait for the end of the import.

        Parameters
        ----------
        move : PrefixMove
        deadline : float
            After it the connection is closed.
        may_send : callable
            Checked last before the first byte.

        Returns
        -------
        ImportResult
        """
        with self._lock:
            now = self._clock.monotonic()
            if not self._is_useful(move, now):
                return ImportResult.NOT_SENT
            self._asked[move.affinity_key, move.target.id] = now
            self._asked.move_to_end((move.affinity_key, move.target.id))
            if len(self._asked) > ASKED_MAX:
                self._asked.popitem(last=False)
            self._number += 1
            key = f"cache-import/{self._number}"
        result = self._exchange(move, key, deadline, may_send)
        if result is not ImportResult.NOT_SENT:
            trigger = move.trigger.value
            self._metrics.count("cache_imports_asked", trigger=trigger)
            self._metrics.count(f"cache_imports_{result.value}", trigger=trigger)
        return result

    def _exchange(
        self,
        move: PrefixMove,
        key: str,
        deadline: float,
        may_send: Callable[[], bool],
    ) -> ImportResult:
        exchange: UpstreamExchange | None = None
        try:
            exchange = self._open(move, key, deadline)
            if self._clock.monotonic() >= deadline or not may_send():
                return ImportResult.NOT_SENT
            exchange.transmit()
            exchange.read_head()
            return self._judge(move, exchange.status, exchange.read_body())
        except (AttemptFailed, InvalidRequest, OSError) as error:
            if exchange is None or not exchange.sent:
                return ImportResult.NOT_SENT
            return self._judge_failure(move, exchange, error)
        finally:
            if exchange is not None:
                exchange.close()

    def _open(self, move: PrefixMove, key: str, deadline: float) -> UpstreamExchange:
        left_s = max(0.001, deadline - self._clock.monotonic())
        address = move.target.address
        connection = self._network.connect(
            address, min(self._connect_timeout_s, left_s)
        )
        exchange = UpstreamExchange(
            connection=connection,
            address=address,
            clock=self._clock,
            deadline=deadline,
            silence_s=left_s,
        )
        body = {"cache_key": move.affinity_key, "source": move.source.address}
        exchange.prepare(
            method="POST",
            target=IMPORT_PATH,
            headers=[("Content-Type", "application/json")],
            body=json.dumps(body).encode(),
            key=key,
        )
        return exchange

    def _judge(self, move: PrefixMove, status: int, body: bytes) -> ImportResult:
        answer = read_answer(body)
        if status == 200:
            tokens = answer.get("tokens")
            if not isinstance(tokens, int) or tokens < 0:
                return ImportResult.FAILED
            self._metrics.count("cache_import_tokens", tokens)
            self._note_source(move, failed=False)
            return ImportResult.DONE
        # A 404 that names the prefix is about the prefix, not about the path.
        is_about_prefix = answer.get("cache_key") == move.affinity_key
        if status == 501 or (status == 404 and not is_about_prefix):
            self._note_not_offered(move.target.id)
        else:
            self._note_source(move, failed=status >= 500)
        return ImportResult.REFUSED

    def _judge_failure(
        self, move: PrefixMove, exchange: UpstreamExchange, error: Exception
    ) -> ImportResult:
        # A server without the path may not echo the request's key either.
        if exchange.status in NO_SUCH_PATH:
            self._note_not_offered(move.target.id)
            return ImportResult.REFUSED
        if isinstance(error, AttemptFailed) and error.reason is FailureReason.REFUSED:
            return ImportResult.REFUSED
        self._note_source(move, failed=True)
        if isinstance(error, AttemptFailed) and error.reason in TIMEOUTS:
            return ImportResult.TIMED_OUT
        return ImportResult.FAILED

    def _note_source(self, move: PrefixMove, failed: bool) -> None:
        with self._lock:
            if failed:
                self._source_failures[move.source.id] += 1
            else:
                self._source_failures.pop(move.source.id, None)

    def _note_not_offered(self, upstream: UpstreamId) -> None:
        now = self._clock.monotonic()
        with self._lock:
            is_known = self._not_offered.get(upstream, now) > now
            self._not_offered[upstream] = now + NOT_OFFERED_S
        if not is_known:
            self._audit.record(
                AuditKind.UPSTREAM_CHANGED, upstream=upstream, cache_import="absent"
            )


def read_answer(body: bytes) -> dict[str, object]:
    """Return the JSON object of an answer, empty if it is none."""
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return answer if isinstance(answer, dict) else {}


__all__ = ["CacheImporter", "ImportResult", "ImportTrigger", "PrefixMove"]
