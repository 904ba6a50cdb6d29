"""Requests that make an engine import a cached prefix from another engine."""

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
# Concurrent imports that one instance requests from one engine.
CONCURRENT_IMPORTS_MAX = 2
# How long no import is requested from an engine that doesn't support them.
UNSUPPORTED_RETRY_S = 300.0
# Least time between two imports of a prefix to the same engine. It is longer than
# the time in which an engine exports. A later import is useful, because the engine
# may have restarted and lost the prefix.
REPEAT_INTERVAL_S = 30.0
RECENT_IMPORTS_MAX = 8192
# After this many failures in a row a leaving engine is considered dead.
SOURCE_FAILURES_MAX = 3
UNSUPPORTED_STATUSES = {404, 501}


class ImportTrigger(Enum):
    """Event that caused an import request."""

    LEAVE = "leave"
    RETURN = "return"


class ImportResult(Enum):
    """Result of an import; all but ``NOT_SENT`` are counted in the metrics."""

    DONE = "done"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    FAILED = "failed"
    NOT_SENT = "not_sent"


TIMEOUT_REASONS = {FailureReason.SILENT, FailureReason.DEADLINE}


@dataclass(frozen=True, slots=True)
class PrefixImport:
    """Import of a prefix from a leaving engine.

    Attributes
    ----------
    affinity_key : str
        Identifies the prefix.
    target : ListedUpstream
        Engine that imports.
    source : ListedUpstream
        Leaving engine.
    trigger : ImportTrigger
    """

    affinity_key: str
    target: ListedUpstream
    source: ListedUpstream
    trigger: ImportTrigger


class CacheImporter:
    """Sends import requests and limits their number.

    Parameters
    ----------
    network : Network
    clock : Clock
    metrics : Metrics
    audit : AuditTrail
    connect_timeout_s : float

    Notes
    -----
    An import only saves time, so its failure raises no error.
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
        self._requested_at: OrderedDict[tuple[str, UpstreamId], float] = OrderedDict()
        self._unsupported_until: dict[UpstreamId, float] = {}
        self._source_failures: Counter[UpstreamId] = Counter()
        self._sequence = 0

    def reset_source_failures(self, source: UpstreamId) -> None:
        """Reset the failure count of an engine that begins to leave."""
        with self._lock:
            self._source_failures.pop(source, None)

    def should_import(self, prefix_import: PrefixImport) -> bool:
        """Return whether the import was not requested recently and may succeed."""
        with self._lock:
            return self._should_import(prefix_import, self._clock.monotonic())

    def _should_import(self, prefix_import: PrefixImport, now: float) -> bool:
        requested_at = self._requested_at.get(
            (prefix_import.affinity_key, prefix_import.target.id)
        )
        return (
            (requested_at is None or now - requested_at >= REPEAT_INTERVAL_S)
            and self._unsupported_until.get(prefix_import.target.id, now) <= now
            and self._source_failures[prefix_import.source.id] < SOURCE_FAILURES_MAX
        )

    @contextlib.contextmanager
    def reserve(self, prefix_import: PrefixImport) -> Iterator[bool]:
        """Count an import as running at its target while the context is open.

        Yields
        ------
        bool
            Whether the import is within the limit of the target.
        """
        with self._lock:
            reserved = self._running[prefix_import.target.id] < CONCURRENT_IMPORTS_MAX
            self._running[prefix_import.target.id] += reserved
        try:
            yield reserved
        finally:
            with self._lock:
                self._running[prefix_import.target.id] -= reserved
                # The counter keeps only engines with running imports.
                if not self._running[prefix_import.target.id]:
                    del self._running[prefix_import.target.id]

    def send(
        self, prefix_import: PrefixImport, deadline: float, may_send: Callable[[], bool]
    ) -> ImportResult:
        """Request the import from its target, and wait for the result.

        Parameters
        ----------
        prefix_import : PrefixImport
        deadline : float
            When the connection is closed, in the monotonic time of the clock.
        may_send : callable
            Called after all other checks; no byte is sent if it returns false.

        Returns
        -------
        ImportResult
        """
        with self._lock:
            now = self._clock.monotonic()
            if not self._should_import(prefix_import, now):
                return ImportResult.NOT_SENT
            self._requested_at[prefix_import.affinity_key, prefix_import.target.id] = (
                now
            )
            self._requested_at.move_to_end(
                (prefix_import.affinity_key, prefix_import.target.id)
            )
            if len(self._requested_at) > RECENT_IMPORTS_MAX:
                self._requested_at.popitem(last=False)
            self._sequence += 1
            key = f"cache-import/{self._sequence}"
        result = self._exchange(prefix_import, key, deadline, may_send)
        if result is not ImportResult.NOT_SENT:
            trigger = prefix_import.trigger.value
            self._metrics.count("cache_imports_asked", trigger=trigger)
            self._metrics.count(f"cache_imports_{result.value}", trigger=trigger)
        return result

    def _exchange(
        self,
        prefix_import: PrefixImport,
        key: str,
        deadline: float,
        may_send: Callable[[], bool],
    ) -> ImportResult:
        exchange: UpstreamExchange | None = None
        try:
            exchange = self._prepare_exchange(prefix_import, key, deadline)
            if self._clock.monotonic() >= deadline or not may_send():
                return ImportResult.NOT_SENT
            exchange.transmit()
            exchange.read_head()
            return self._classify_response(
                prefix_import, exchange.status, exchange.read_body()
            )
        except (AttemptFailed, InvalidRequest, OSError) as error:
            if exchange is None or not exchange.sent:
                return ImportResult.NOT_SENT
            return self._classify_failure(prefix_import, exchange, error)
        finally:
            if exchange is not None:
                exchange.close()

    def _prepare_exchange(
        self, prefix_import: PrefixImport, key: str, deadline: float
    ) -> UpstreamExchange:
        remaining_s = max(0.001, deadline - self._clock.monotonic())
        address = prefix_import.target.address
        connection = self._network.connect(
            address, min(self._connect_timeout_s, remaining_s)
        )
        exchange = UpstreamExchange(
            connection=connection,
            address=address,
            clock=self._clock,
            deadline=deadline,
            read_timeout_s=remaining_s,
        )
        body = {
            "cache_key": prefix_import.affinity_key,
            "source": prefix_import.source.address,
        }
        exchange.prepare(
            method="POST",
            target=IMPORT_PATH,
            headers=[("Content-Type", "application/json")],
            body=json.dumps(body).encode(),
            key=key,
        )
        return exchange

    def _classify_response(
        self, prefix_import: PrefixImport, status: int, body: bytes
    ) -> ImportResult:
        document = parse_json_object(body)
        if status == 200:
            tokens = document.get("tokens")
            if not isinstance(tokens, int) or tokens < 0:
                return ImportResult.FAILED
            self._metrics.count("cache_import_tokens", tokens)
            self._record_source_result(prefix_import, failed=False)
            return ImportResult.DONE
        # A 404 that names the prefix means that the prefix is missing, not the path.
        is_about_prefix = document.get("cache_key") == prefix_import.affinity_key
        if status == 501 or (status == 404 and not is_about_prefix):
            self._mark_unsupported(prefix_import.target.id)
        else:
            self._record_source_result(prefix_import, failed=status >= 500)
        return ImportResult.REFUSED

    def _classify_failure(
        self, prefix_import: PrefixImport, exchange: UpstreamExchange, error: Exception
    ) -> ImportResult:
        # A server that doesn't know the path may not return the request id either.
        if exchange.status in UNSUPPORTED_STATUSES:
            self._mark_unsupported(prefix_import.target.id)
            return ImportResult.REFUSED
        if isinstance(error, AttemptFailed) and error.reason is FailureReason.REFUSED:
            return ImportResult.REFUSED
        self._record_source_result(prefix_import, failed=True)
        if isinstance(error, AttemptFailed) and error.reason in TIMEOUT_REASONS:
            return ImportResult.TIMED_OUT
        return ImportResult.FAILED

    def _record_source_result(self, prefix_import: PrefixImport, failed: bool) -> None:
        with self._lock:
            if failed:
                self._source_failures[prefix_import.source.id] += 1
            else:
                self._source_failures.pop(prefix_import.source.id, None)

    def _mark_unsupported(self, upstream: UpstreamId) -> None:
        now = self._clock.monotonic()
        with self._lock:
            is_marked = self._unsupported_until.get(upstream, now) > now
            self._unsupported_until[upstream] = now + UNSUPPORTED_RETRY_S
        if not is_marked:
            self._audit.record(
                AuditKind.UPSTREAM_CHANGED, upstream=upstream, cache_import="absent"
            )


def parse_json_object(body: bytes) -> dict[str, object]:
    """Return the JSON object in a body, or an empty one if there is none."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return document if isinstance(document, dict) else {}


__all__ = ["CacheImporter", "ImportResult", "ImportTrigger", "PrefixImport"]
