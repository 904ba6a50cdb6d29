"""Speeds of upstreams, as their responses tell them."""

import threading
from collections.abc import Sequence

import logbook

from fescueflow.core import UpstreamId
from fescueflow.metrics import Metrics
from fescueflow.platform import parse_upstream_load, parse_upstream_percent
from fescueflow.routing import (
    FirstEvent,
    ServiceId,
    Slowdown,
    SpeedTable,
    Upstream,
    estimate_first_event_ms,
    find_reason_to_leave_out,
)

log = logbook.Logger("speeds")


class UpstreamSpeeds:
    """Keeps how much longer work takes at upstreams than expected; thread-safe.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._table = SpeedTable()

    def record_sample(
        self,
        upstream: UpstreamId,
        service: ServiceId,
        percent: int | None,
        observed_ms: float | None,
        expected_ms: float | None,
        now: float,
    ) -> None:
        """Store what one response shows of an upstream's speed.

        Parameters
        ----------
        upstream : UpstreamId
        service : ServiceId
        percent : int or None
            The upstream's own figure, at least 1; 100 is usual.
        observed_ms, expected_ms : float or None
            Time to a first event, and that at the usual speed; used if both are given.
        now : float
        """
        if percent is not None:
            with self._lock:
                self._table.record_percent(upstream, service, percent, now)
            self._metrics.count("upstream_speed_samples", signal="percent")
        if observed_ms is not None and expected_ms is not None:
            with self._lock:
                self._table.record_time(
                    upstream, service, observed_ms, expected_ms, now
                )
            self._metrics.count("upstream_speed_samples", signal="observed")

    def record_load_header(
        self, upstream: Upstream, value: str | None, now: float
    ) -> int | None:
        """Store the speed in a load header; return the request count in it.

        Notes
        -----
        A malformed header says nothing; it is counted.
        """
        if value is None:
            return None
        running = parse_upstream_load(value)
        if running is None:
            self._metrics.count("upstream_loads_malformed")
            log.debug("load of {} ignored: {!r}", upstream.id, value[:40])
            return None
        percent = parse_upstream_percent(value)
        self.record_sample(upstream.id, upstream.service, percent, None, None, now)
        return running

    def record_first_event(self, event: FirstEvent, now: float) -> None:
        """Store the time to the first event of a stream unless it tells nothing."""
        reason = find_reason_to_leave_out(event, now)
        if reason is not None:
            self._metrics.count("upstream_speed_samples_left_out", why=reason.value)
            return
        placement = event.placement
        upstream = placement.candidate.upstream
        expected_ms = estimate_first_event_ms(placement, placement.prefill_tokens)
        self.record_sample(
            upstream.id, upstream.service, None, event.observed_ms, expected_ms, now
        )

    def get_slowdown(
        self, upstream: UpstreamId, service: ServiceId, now: float
    ) -> float:
        """Return the factor by which work takes longer, 1.0 without any knowledge."""
        return self.estimate((upstream,), service, now)[upstream].factor

    def estimate(
        self, upstreams: Sequence[UpstreamId], service: ServiceId, now: float
    ) -> dict[UpstreamId, Slowdown]:
        """Return the slowdown of upstreams of a service."""
        with self._lock:
            return self._table.estimate(upstreams, service, now)

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget all upstreams that are not in ``kept``."""
        with self._lock:
            self._table.retain(kept)


__all__ = ["UpstreamSpeeds"]
