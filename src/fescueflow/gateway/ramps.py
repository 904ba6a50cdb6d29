"""Ramps of upstreams that have started or recovered, as this instance sees them."""

import threading
from collections.abc import Mapping, Sequence

import logbook

from fescueflow.core import Clock, InstanceId, UpstreamId
from fescueflow.gateway.loads import LoadTracker
from fescueflow.gateway.peers import PeerTable
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.metrics import Metrics
from fescueflow.routing import (
    BalanceBound,
    FirstEventTimes,
    Placement,
    Ramp,
    RampCause,
    RampEnd,
    ServiceId,
    Upstream,
    UpstreamRamps,
    is_slow,
)

# Age up to which an upstream that is listed for the first time has just started, in
# seconds: a few times what its entry and the change of it take. An older one was only
# unknown to this instance.
START_AGE_MAX_S = 10.0
# By how much more an alternative to an upstream in its ramp may cost, in milliseconds:
# half of the time in which a prefix of 10,000 tokens is read, so that prompts with a
# long prefix stay with its holder.
DEFERRAL_COST_MAX_MS = 50.0

log = logbook.Logger("ramps")


class RampTracker:
    """Begins, cuts and ends ramps; thread-safe.

    Parameters
    ----------
    own : InstanceId
    platform_state : PlatformState
    loads : LoadTracker
    peers : PeerTable
    clock : Clock
    metrics : Metrics
    is_enabled : bool, optional
        Whether ramps are in use.
    """

    def __init__(
        self,
        *,
        own: InstanceId,
        platform_state: PlatformState,
        loads: LoadTracker,
        peers: PeerTable,
        clock: Clock,
        metrics: Metrics,
        is_enabled: bool = True,
    ) -> None:
        self._is_enabled = is_enabled
        self._platform_state = platform_state
        self._loads = loads
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._ramps = UpstreamRamps(f"ramp {own}")
        self._times = FirstEventTimes()
        # When a reason not to use an upstream fully will end.
        self._awaited: dict[tuple[UpstreamId, RampCause], float] = {}
        # Open requests of each service's upstreams, on average.
        self._means: dict[ServiceId, float] = {}

    def await_end(self, upstream: UpstreamId, cause: RampCause, until: float) -> None:
        """Begin a ramp at the end of an exclusion, a pause or a cold period."""
        with self._lock:
            self._awaited[upstream, cause] = until
            if cause is not RampCause.COLD:
                self._ramps.mark_troubled(upstream)

    def end_exclusion(self, upstream: UpstreamId) -> None:
        """Note that an excluded upstream has responded."""
        if self._awaited:
            with self._lock:
                key = (upstream, RampCause.EXCLUSION)
                if key in self._awaited:
                    self._awaited[key] = self._clock.monotonic()

    def defer(
        self,
        placements: list[Placement],
        bound: BalanceBound,
        service_size: int,
        duration_s: float,
        now: float,
    ) -> list[Placement]:
        """Return the placements, those whose window is used up after alternatives.

        Parameters
        ----------
        placements : list of Placement
            In the order of preference.
        bound : BalanceBound
        service_size : int
            Upstreams over which the mean of the bound is taken.
        duration_s : float
            Mean duration of the service's requests.
        now : float

        Notes
        -----
        As for ``defer_used_up``. If all are in their ramp, or there is no alternative,
        the ramp is ignored.
        """
        with self._lock:
            if placements:
                service = placements[0].candidate.upstream.service
                self._means[service] = bound.mean
            self._begin_due(now)
            if not len(self._ramps):
                return placements
            self._end_elapsed(now)
            used_up = self._find_used_up(
                placements, bound, service_size, duration_s, now
            )
        if not used_up:
            return placements
        deferred = defer_used_up(placements, used_up)
        if deferred != placements:
            self._metrics.count("ramp_deferrals")
        return deferred

    def _find_used_up(
        self,
        placements: list[Placement],
        bound: BalanceBound,
        service_size: int,
        duration_s: float,
        now: float,
    ) -> set[UpstreamId]:
        """Return the upstreams that get no further request of this instance now."""
        instances = self._peers.count_carrying(now)
        demand = bound.mean * service_size / instances
        used_up = set()
        for placement in placements:
            upstream = placement.candidate.upstream.id
            ramp = self._ramps.find(upstream)
            if ramp is None:
                continue
            ramp.share = bound.mean / instances
            own_running = placement.candidate.load.own_running
            if not self._ramps.has_room(upstream, own_running, demand, duration_s, now):
                used_up.add(upstream)
        return used_up

    def record_begun(
        self, upstream: Upstream, tokens: int, seconds: float, sent_at: float
    ) -> None:
        """Record the first event of a response.

        Parameters
        ----------
        upstream : Upstream
        tokens : int
            Prompt tokens that the upstream had to read.
        seconds : float
            Time from sending the request to the first event.
        sent_at : float
        """
        now = self._clock.monotonic()
        with self._lock:
            ramp = self._ramps.find(upstream.id)
            if ramp is None:
                self._times.record(upstream.service, tokens, seconds, now)
                return
            usual_s, age_s = self._times.find(upstream.service, tokens, now) or (
                None,
                None,
            )
            inputs = {
                "first_event_ms": round(seconds * 1000),
                "usual_ms": None if usual_s is None else round(usual_s * 1000),
                "usual_age_ms": None if age_s is None else round(age_s * 1000),
            }
            if is_slow(seconds, usual_s):
                if self._ramps.record_slow(upstream.id, sent_at, now):
                    self._log(
                        "cut", upstream.id, ramp, now, {"reason": "slow", **inputs}
                    )
            elif self._ramps.record_good(upstream.id, sent_at):
                self._end(upstream.id, RampEnd.REACHED, now, inputs)

    def record_trouble(self, upstream: UpstreamId, reason: str, sent_at: float) -> None:
        """Record a refusal, a silence or another failure of an attempt."""
        if len(self._ramps):
            with self._lock:
                self._cut(upstream, reason, sent_at, self._clock.monotonic())

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget upstreams that are not in ``kept``; begin and end what is due.

        Notes
        -----
        An instance that gets no requests would keep all starts that it has seen.
        """
        with self._lock:
            now = self._clock.monotonic()
            self._begin_due(now)
            self._end_elapsed(now)
            for upstream in set(self._ramps.list_names()) - kept:
                self._end(upstream, RampEnd.GONE, now, {})
            self._awaited = {k: t for k, t in self._awaited.items() if k[0] in kept}

    def _begin_due(self, now: float) -> None:
        """Begin the ramps of upstreams that have started, or recovered by now."""
        for upstream in self._platform_state.pop_started():
            age_s = self._clock.wall_time() - upstream.started_at_ms / 1000
            if abs(age_s) <= START_AGE_MAX_S:
                self._begin(upstream, RampCause.START, now)
        for upstream in self._platform_state.pop_cooled():
            if upstream.cold_until > now:
                self._awaited[upstream.id, RampCause.COLD] = upstream.cold_until
        if not self._awaited:
            return
        due = [key for key, until in self._awaited.items() if until <= now]
        if due:
            listed = {u.id: u for u in self._platform_state.list_all()}
            for key in due:
                del self._awaited[key]
                if key[0] in listed:
                    self._begin(listed[key[0]], key[1], now)

    def _begin(self, upstream: Upstream, cause: RampCause, now: float) -> None:
        if not self._is_enabled or not self._ramps.may_begin(upstream.id, cause):
            return
        replaced = self._ramps.find(upstream.id)
        instances = self._peers.count_carrying(now)
        own_running, _ = self._loads.list_own_loads().get(upstream.id, (0, 0))
        ramp = self._ramps.begin(
            upstream.id,
            upstream.service,
            cause,
            upstream.slots,
            instances,
            now,
            own_running=own_running,
            share=self._means.get(upstream.service, 0.0) / instances,
        )
        if replaced is not None:
            self._record_end(upstream.id, replaced, RampEnd.REPLACED, now, {})
        self._log("begin", upstream.id, ramp, now, {"instances": instances})

    def _cut(
        self, upstream: UpstreamId, reason: str, sent_at: float, now: float
    ) -> None:
        ramp = self._ramps.find(upstream)
        if ramp is not None and self._ramps.record_bad(upstream, sent_at, now):
            self._ramps.mark_troubled(upstream)
            self._log("cut", upstream, ramp, now, {"reason": reason})

    def _end_elapsed(self, now: float) -> None:
        for upstream in self._ramps.list_elapsed(now):
            self._end(upstream, RampEnd.ELAPSED, now, {})

    def _end(
        self,
        upstream: UpstreamId,
        end: RampEnd,
        now: float,
        inputs: Mapping[str, int | None],
    ) -> None:
        ramp = self._ramps.find(upstream)
        if ramp is not None:
            self._ramps.end(upstream)
            self._record_end(upstream, ramp, end, now, inputs)

    def _record_end(
        self,
        upstream: UpstreamId,
        ramp: Ramp,
        end: RampEnd,
        now: float,
        inputs: Mapping[str, int | None],
    ) -> None:
        self._metrics.count("upstream_ramps", end=end.value)
        self._log("end", upstream, ramp, now, {"reason": end.value, **inputs})

    def _log(
        self,
        event: str,
        upstream: UpstreamId,
        ramp: Ramp,
        now: float,
        inputs: Mapping[str, int | str | None],
    ) -> None:
        log.info(
            "ramp",
            extra={
                "event": event,
                "upstream": str(upstream),
                "service": str(ramp.service),
                "cause": ramp.cause.value,
                "window": round(ramp.window, 3),
                "share": round(ramp.share, 3),
                "ramp_ms": round((now - ramp.began_at) * 1000),
                **inputs,
            },
        )


def defer_used_up(
    placements: Sequence[Placement], used_up: set[UpstreamId]
) -> list[Placement]:
    """Return the placements with the alternatives to each used-up one before it.

    Notes
    -----
    An alternative has a free slot, costs little more, and exceeds the bound on
    imbalance only if the used-up one does, too. The order is kept otherwise: a used-up
    upstream is better than one with a queue or many failures, or one that would have to
    read a long prefix again.
    """
    rest = [p for p in placements if p.candidate.upstream.id not in used_up]
    rest = [
        p for p in rest if p.candidate.load.running < max(1, p.candidate.upstream.slots)
    ]
    ordered: dict[UpstreamId, Placement] = {}
    for placement in placements:
        upstream = placement.candidate.upstream.id
        if upstream in used_up:
            cost_max_ms = placement.cost_ms + DEFERRAL_COST_MAX_MS
            left = []
            for other in rest:
                is_allowed = other.is_balanced or not placement.is_balanced
                if is_allowed and other.cost_ms <= cost_max_ms:
                    ordered.setdefault(other.candidate.upstream.id, other)
                else:
                    left.append(other)
            rest = left
        ordered.setdefault(upstream, placement)
    return list(ordered.values())


__all__ = ["RampTracker", "defer_used_up"]
