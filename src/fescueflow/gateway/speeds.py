"""Speeds of upstreams, as their responses tell them."""

import threading
from collections.abc import Iterable, Sequence

import logbook

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.report_turns import ReportTurns
from fescueflow.metrics import Metrics
from fescueflow.platform import parse_upstream_load, parse_upstream_percent
from fescueflow.routing import (
    FirstEvent,
    ServiceId,
    Slowdown,
    SpeedTable,
    SpeedUpdate,
    Upstream,
    estimate_first_event_ms,
    find_reason_to_leave_out,
)

# Upstreams in one report, about 20 bytes each, and those with the latest samples of
# which they are taken by turns: about as many as an instance sends requests to in the
# seconds for which others use a slowdown.
REPORTED_SPEEDS_MAX = 8
REPORTED_LATEST = 16

log = logbook.Logger("speeds")


class UpstreamSpeeds:
    """Keeps how much longer work takes at upstreams than expected; thread-safe.

    Parameters
    ----------
    platform_state : PlatformState
    metrics : Metrics
    is_enabled : bool, optional
        Whether the speeds are in use; without them, all upstreams count as equal.
    """

    def __init__(
        self,
        platform_state: PlatformState,
        metrics: Metrics,
        is_enabled: bool = True,
    ) -> None:
        self._is_enabled = is_enabled
        self._platform_state = platform_state
        self._metrics = metrics
        self._lock = threading.Lock()
        self._table = SpeedTable()
        self._turns: ReportTurns[SpeedUpdate] = ReportTurns(REPORTED_SPEEDS_MAX)

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
        if not self._is_enabled:
            return
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
        if not self._is_enabled:
            return
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

    def take_updates(self, now: float) -> list[SpeedUpdate]:
        """Return the slowdowns to report to other instances, by turns."""
        with self._lock:
            latest = self._table.list_updates(now)[:REPORTED_LATEST]
            return self._turns.take(sorted(latest, key=lambda u: u.upstream))

    def merge(
        self, source: InstanceId, updates: Iterable[SpeedUpdate], now: float
    ) -> None:
        """Store the slowdowns of listed upstreams that another instance reports."""
        known = list(updates)
        if not known or not self._is_enabled:
            return
        services = {u.id: u.service for u in self._platform_state.list_all()}
        for update in known:
            service = services.get(update.upstream)
            if service is not None:
                with self._lock:
                    self._table.merge(source, service, update, now)
                self._metrics.count("upstream_speed_samples", signal="told")

    def get_slowdown(
        self, upstream: UpstreamId, service: ServiceId, now: float
    ) -> float:
        """Return the factor by which work takes longer, 1.0 without any knowledge."""
        return self.estimate((upstream,), service, now)[upstream].factor

    def estimate(
        self, upstreams: Sequence[UpstreamId], service: ServiceId, now: float
    ) -> dict[UpstreamId, Slowdown]:
        """Return the slowdown of upstreams of a service."""
        if not self._is_enabled:
            return dict.fromkeys(upstreams, Slowdown())
        with self._lock:
            return self._table.estimate(upstreams, service, now)

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget all upstreams that are not in ``kept``."""
        with self._lock:
            self._table.retain(kept)


__all__ = ["UpstreamSpeeds"]
