"""Limits that upstreams name in their answers, as this instance keeps them."""

import threading

import logbook

from fescueflow.core import Clock, UpstreamId
from fescueflow.metrics import Metrics
from fescueflow.routing import Limit, LimitId, LimitTable, Upstream

log = logbook.Logger("limits")


class UpstreamLimits:
    """Keeps the limits of upstreams; thread-safe.

    Parameters
    ----------
    clock : Clock
    metrics : Metrics
    """

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._table = LimitTable()

    def record_answer(
        self, upstream: Upstream, rate: float | None, sent_at: float, attempt_id: str
    ) -> None:
        """Store what an answer says of the upstream's limit.

        Parameters
        ----------
        upstream : Upstream
        rate : float or None
            Requests a second; ``None`` if the answer names no limit.
        sent_at : float
            When the request was sent.
        attempt_id : str
        """
        limit_id = make_limit_id(upstream)
        with self._lock:
            now = self._clock.monotonic()
            changed = self._table.record_answer(limit_id, rate, sent_at, now)
            if changed is not None:
                self._log_change(limit_id, changed, now, attempt_id)

    def find_rate(self, upstream: Upstream) -> float | None:
        """Return the limit in requests a second, ``None`` without one."""
        with self._lock:
            return self._table.find_rate(make_limit_id(upstream))

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget upstreams that are not in ``kept`` and were not heard of for long."""
        with self._lock:
            self._table.retain(kept, self._clock.monotonic())

    def _log_change(
        self, limit_id: LimitId, limit: Limit, now: float, attempt_id: str | None = None
    ) -> None:
        source = "reported" if limit.is_reported else "own"
        self._metrics.count("upstream_limit_changes", source=source)
        log.info(
            "upstream limit changed",
            extra={
                "id": attempt_id,
                "upstream": str(limit_id.upstream),
                "limit": limit.rate,
                "source": source,
                "heard_ms": round((now - limit.heard_at) * 1000),
            },
        )


def make_limit_id(upstream: Upstream) -> LimitId:
    """Return what the limit of an upstream is kept under."""
    return LimitId(upstream.id, upstream.started_at_ms)


__all__ = ["UpstreamLimits"]
