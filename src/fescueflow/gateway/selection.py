"""Selection of the upstream for an attempt, by platform state and load."""

import threading
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from dataclasses import replace

from fescueflow.core import Clock, Overloaded, UpstreamId
from fescueflow.gateway.limits import UpstreamLimits
from fescueflow.gateway.loads import LoadTracker
from fescueflow.gateway.peers import REPORT_INTERVAL_S, PeerTable
from fescueflow.gateway.platform_state import EXPIRY_HEARTBEATS, PlatformState
from fescueflow.gateway.ramps import RampTracker
from fescueflow.gateway.rate_gate import RETRY_AFTER_MS, RateGate
from fescueflow.gateway.rotation import count_reports_per_round
from fescueflow.gateway.selected import Selection
from fescueflow.gateway.speeds import UpstreamSpeeds
from fescueflow.metrics import Metrics
from fescueflow.platform import BootSettings, Feature
from fescueflow.routing import (
    PRIORITY_DEFAULT,
    Candidate,
    HolderTable,
    HolderUpdate,
    LimitUpdate,
    Placement,
    Prompt,
    RampCause,
    RetryBudget,
    ServiceId,
    Upstream,
    UpstreamHealth,
    decide_admission,
    find_holder,
    is_copy_worthwhile,
    measure_balance,
    rank_isolated,
    rank_placements,
    select_in_time,
)

# Time for which an upstream is excluded that another instance saw crash. Its entry
# expires after three heartbeats; if the report is wrong, it is used again sooner.
REPORTED_CRASH_EXCLUSION_S = 1.0


class UpstreamSelector:
    """Selects upstreams; thread-safe.

    Parameters
    ----------
    boot : BootSettings
    platform_state : PlatformState
    loads : LoadTracker
    peers : PeerTable
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        *,
        boot: BootSettings,
        platform_state: PlatformState,
        loads: LoadTracker,
        peers: PeerTable,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._boot = boot
        self._platform_state = platform_state
        self._loads = loads
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()
        self._health = UpstreamHealth()
        self._holders = HolderTable()
        self.limits = UpstreamLimits(
            own=boot.instance, peers=peers, clock=clock, metrics=metrics
        )
        self.speeds = UpstreamSpeeds(
            platform_state, metrics, Feature.SPEEDS in boot.features
        )
        self.ramps = RampTracker(
            own=boot.instance,
            platform_state=platform_state,
            loads=loads,
            peers=peers,
            clock=clock,
            metrics=metrics,
            is_enabled=Feature.RAMPS in boot.features,
        )
        self._gate = RateGate(
            own=boot.instance,
            platform_state=platform_state,
            peers=peers,
            limits=self.limits,
            metrics=metrics,
        )
        self._retry_budget = RetryBudget(
            boot.repeat_ratio, boot.repeat_base, boot.repeat_window_s
        )

    def set_boot(self, boot: BootSettings) -> None:
        """Apply changed settings."""
        with self._lock:
            self._boot = boot
            self._retry_budget.set_limits(
                boot.repeat_ratio, boot.repeat_base, boot.repeat_window_s
            )

    def record_request(self, service: ServiceId) -> None:
        """Count a request toward the retry budget."""
        with self._lock:
            self._retry_budget.record_request(service, self._clock.monotonic())

    def take_retry(self, service: ServiceId) -> bool:
        """Use one retry of the budget; return False if there is none left."""
        with self._lock:
            now = self._clock.monotonic()
            return self._retry_budget.try_take(
                service, now, self._peers.count_carrying(now)
            )

    def give_back_retry(self, service: ServiceId) -> None:
        """Return a retry to the budget, as nothing was sent."""
        with self._lock:
            self._retry_budget.give_back(service)

    def record_success(self, upstream: UpstreamId) -> None:
        """Record a response of an upstream."""
        with self._lock:
            self._health.record_success(upstream)
            self.ramps.end_exclusion(upstream)

    def record_failure(self, upstream: UpstreamId, is_down: bool = False) -> bool:
        """Record a failed attempt; return whether the upstream is now excluded."""
        with self._lock:
            now = self._clock.monotonic()
            is_excluded = self._health.record_failure(upstream, now, is_down)
            if is_excluded:
                self._await_exclusion_end(upstream)
            return is_excluded

    def mark_crashed(self, upstreams: Iterable[UpstreamId]) -> None:
        """Exclude upstreams that others saw crash until they are tried again."""
        with self._lock:
            excluded_until = self._clock.monotonic() + REPORTED_CRASH_EXCLUSION_S
            for upstream in upstreams:
                self._health.exclude(upstream, excluded_until)
                self._await_exclusion_end(upstream)

    def mark_replaced(self, upstream: UpstreamId) -> None:
        """Exclude an upstream whose address another server uses now.

        Notes
        -----
        Its entry expires three heartbeats after its end; it is excluded until then.
        """
        with self._lock:
            now = self._clock.monotonic()
            excluded_until = now + EXPIRY_HEARTBEATS * self._boot.server_heartbeat_s
            self._health.exclude(upstream, excluded_until)
            self._await_exclusion_end(upstream)

    def _await_exclusion_end(self, upstream: UpstreamId) -> None:
        until = self._health.get_exclusion_end(upstream)
        self.ramps.await_end(upstream, RampCause.EXCLUSION, until)

    def pause_upstream(self, upstream: UpstreamId, seconds: float) -> None:
        """Send nothing to an upstream that asked for this pause."""
        with self._lock:
            now = self._clock.monotonic()
            self._health.pause(upstream, now + seconds, now)
            until = self._health.get_pause_end(upstream)
            self.ramps.await_end(upstream, RampCause.PAUSE, until)

    def is_serving(self, upstream: Upstream) -> bool:
        """Return whether an upstream stays, or leaves but is sure to serve still."""
        return self._platform_state.is_serving(upstream, self._clock.monotonic())

    def list_available(self, service: ServiceId) -> list[Upstream]:
        """Return the upstreams that a coordinator may hand out.

        Notes
        -----
        Those that failed, pause, name a limit or start cold are left out: instances
        keep to their rates without permits.
        """
        now = self._clock.monotonic()
        listed = self._platform_state.list_upstreams(service, now)
        known = self._platform_state.find_service(service)
        limited = self.limits.list_limited(listed)
        with self._lock:
            return [
                u
                for u in listed
                if u.id not in limited
                and not self._health.is_excluded(u.id, now)
                and self._health.get_pause_end(u.id) <= now
                and (u.cold_until <= now or known is None or not known.cold_per_s)
            ]

    def find_failing(self, service: ServiceId) -> frozenset[UpstreamId]:
        """Return the upstreams of a service that this instance leaves out now."""
        now = self._clock.monotonic()
        listed = self._platform_state.list_upstreams(service, now)
        with self._lock:
            return frozenset(
                u.id
                for u in listed
                if self._health.is_excluded(u.id, now)
                or self._health.get_pause_end(u.id) > now
            )

    def find_limited(
        self, service: ServiceId, tried: AbstractSet[UpstreamId]
    ) -> UpstreamId | None:
        """Return an upstream with a limit of which this instance has a token.

        Notes
        -----
        Coordinators do not hand it out. Without requests, nobody would hear that its
        limit has ended.
        """
        now = self._clock.monotonic()
        listed = self._platform_state.list_upstreams(service, now)
        limited = self.limits.list_limited(listed)
        if not limited:
            return None
        with self._lock:
            usable = self._find_usable(listed, set(tried), now)
        for upstream in usable:
            if upstream.id in limited:
                share = self.limits.find_share(upstream, now)
                if share and self.limits.has_token(upstream, share, now):
                    return upstream.id
        return None

    def mark_departing(self, upstream: Upstream) -> bool:
        """Stop using an upstream that is leaving; return whether this is new."""
        return self._platform_state.mark_departing(upstream, self._clock.monotonic())

    def merge_holder_updates(self, updates: Iterable[HolderUpdate]) -> None:
        """Store which upstreams hold shared prefixes, as another instance reports."""
        with self._lock:
            self._holders.merge(updates, self._clock.monotonic())

    def merge_limits(self, updates: Iterable[LimitUpdate]) -> None:
        """Store the limits of listed upstreams, as another instance reports them."""
        self.limits.merge(
            update
            for update in updates
            if self._platform_state.has_listed(
                update.id.upstream, update.id.started_at_ms
            )
        )

    def announce_all_holders(self) -> None:
        """Report all holders of shared prefixes to an instance that has started."""
        with self._lock:
            self._holders.announce_all()

    def take_holder_updates(self) -> list[HolderUpdate]:
        """Return the holders of shared prefixes to report to other instances."""
        with self._lock:
            now = self._clock.monotonic()
            return self._holders.take_updates(now, self._count_reports_per_round(now))

    def retain(self, kept: set[UpstreamId]) -> None:
        """Drop the state of all upstreams except the kept ones."""
        with self._lock:
            self._health.retain(kept)
            self._holders.retain(kept)
            self._loads.retain(kept)
            self.limits.retain(kept)
            self.speeds.retain(kept)

    def select(
        self,
        service: ServiceId,
        prompt: Prompt,
        tried: set[UpstreamId],
        remaining_s: float,
        isolation_key: str | None = None,
        priority: int = PRIORITY_DEFAULT,
        permitted: UpstreamId | None = None,
    ) -> Selection:
        """Return an upstream for the request and count the request there.

        ``isolation_key`` holds the suspected parts of a request under which upstreams
        may crash, and ``priority`` is 0 for the most urgent ones. ``permitted`` is an
        upstream that is selected unless it is known to be unusable.

        Raises
        ------
        Overloaded
            If no upstream is available, warm, within its limit or expected to respond
            in time.
        """
        now = self._clock.monotonic()
        listed = self._platform_state.list_upstreams(service, now)
        with self._lock:
            usable = self._find_usable(listed, tried, now)
            if not usable:
                raise Overloaded(
                    "no upstream is available",
                    retry_after_ms=self._find_retry_after_ms(listed, tried, now),
                )
            self._gate.admit(usable, service, priority, now)
            cached = self._holders.find(service, prompt.key, listed, now)
            sources = self._rank_copy_sources(service, prompt, tried, cached)
            candidates = self._list_candidates(service, usable, now)
            limited = self.limits.list_limited(usable)
            if len(limited) == len(usable):
                limited = frozenset()
            upstream_count = self._count_healthy_upstreams(service, listed, now)
            upstream_count -= len(limited)
            placements = rank_placements(
                candidates,
                prompt,
                cached,
                self._boot.imbalance_factor,
                self._boot.zone,
                upstream_count,
                self.get_copy_rate(service) if sources else 0.0,
                self._loads.get_mean_duration_s(service) * 1000,
                limited,
            )
            bound = measure_balance(
                [c for c in candidates if c.upstream.id not in limited],
                self._boot.imbalance_factor,
                upstream_count,
            )
            in_time = self._filter_by_deadline(placements, remaining_s, permitted)
            in_time = self.ramps.defer(
                in_time,
                bound,
                max(len(candidates) - len(limited), upstream_count),
                self._loads.get_mean_duration_s(service),
                now,
            )
            if isolation_key is not None:
                in_time = rank_isolated(in_time, isolation_key)
            # Sorting keeps the order of the others.
            in_time.sort(key=lambda p: p.candidate.upstream.id != permitted)
            passage = self._gate.choose(in_time, service, priority, now)
            chosen = passage.placement
            upstream = chosen.candidate.upstream
            source = self._choose_source(prompt, upstream, sources, usable, now)
            self._holders.record_use(service, prompt.key, upstream.id, listed, now)
            active_request = self._loads.start(
                upstream.id, service, chosen.prefill_tokens, now
            )
            age_s = self._loads.get_report_age(now)
            is_isolated = isolation_key is not None
            return Selection(
                chosen,
                active_request,
                bound,
                source,
                age_s,
                is_isolated,
                passage.share,
                is_retry=bool(tried),
            )

    def _count_healthy_upstreams(
        self, service: ServiceId, listed: list[Upstream], now: float
    ) -> int:
        """Return the number of upstreams over which the mean load is taken.

        Notes
        -----
        Those excluded for failures take no load. Counting them would lower the bound
        below the load of the others, and needlessly move prompts from their holders.
        """
        failing = sum(self._health.is_excluded(u.id, now) for u in listed)
        return self._platform_state.count_upstreams(service) - failing

    def _list_candidates(
        self, service: ServiceId, usable: list[Upstream], now: float
    ) -> list[Candidate]:
        """Return upstreams with their speed and the load of the whole fleet on them."""
        interval_s = REPORT_INTERVAL_S * self._count_reports_per_round(now)
        names = [upstream.id for upstream in usable]
        loads = self._loads.estimate_loads(names, service, now, interval_s)
        slowdowns = self.speeds.estimate(names, service, now)
        return [
            Candidate(
                upstream,
                replace(
                    loads[upstream.id],
                    failure_rate=self._health.get_failure_rate(upstream.id),
                    slowdown=slowdowns[upstream.id].factor,
                    slowdown_share=slowdowns[upstream.id].share,
                    slowdown_age_s=slowdowns[upstream.id].age_s,
                ),
            )
            for upstream in usable
        ]

    def _filter_by_deadline(
        self,
        placements: list[Placement],
        remaining_s: float,
        permitted: UpstreamId | None,
    ) -> list[Placement]:
        """Return the placements whose response is expected to begin in time.

        The permitted upstream is among them in any case, as its coordinator knows what
        runs there, and reports are up to some seconds old.

        Raises
        ------
        Overloaded
            If there is none.
        """
        remaining_ms = remaining_s * 1000
        named = [p for p in placements if p.candidate.upstream.id == permitted]
        others = [p for p in placements if p.candidate.upstream.id != permitted]
        if in_time := named + select_in_time(others, remaining_ms, 0.0):
            return in_time
        decision = decide_admission(placements, remaining_ms, 0.0)
        raise Overloaded(
            f"the answer is expected after {decision.prediction.answer_ms:.0f}"
            f" ms, {remaining_ms:.0f} ms are left",
            retry_after_ms=round(decision.retry_after_s * 1000),
        )

    def _count_reports_per_round(self, now: float) -> int:
        """Return the number of reports until each other instance has been sent one."""
        return count_reports_per_round(self._peers.count_carrying(now) - 1)

    def _rank_copy_sources(
        self,
        service: ServiceId,
        prompt: Prompt,
        tried: set[UpstreamId],
        expected: frozenset[UpstreamId],
    ) -> list[Upstream]:
        """Return the upstreams to copy the shared prefix from, most recent use first.

        Notes
        -----
        Upstreams that drain or are in a withdrawn zone still serve copies to others.
        """
        if not is_copy_worthwhile(prompt, self.get_copy_rate(service)):
            return []
        reachable = {
            upstream.id: upstream
            for upstream in self._platform_state.list_all()
            if upstream.service == service
            and upstream.id not in tried
            and not self._health.has_failed(upstream.id)
        }
        names = self._holders.rank_sources(prompt.key, frozenset(reachable), expected)
        return [reachable[name] for name in names]

    def _choose_source(
        self,
        prompt: Prompt,
        upstream: Upstream,
        sources: list[Upstream],
        usable: list[Upstream],
        now: float,
    ) -> Upstream | None:
        """Return the upstream from which the selected one copies what it lacks.

        Notes
        -----
        A presumed holder may have evicted the prefix, or another instance may have
        moved it. Without another known user, the prefix is most likely at the next
        upstream of its rendezvous order; a cold one has none.
        """
        rate = self.get_copy_rate(upstream.service)
        if not prompt.key or not is_copy_worthwhile(prompt, rate):
            return None
        if sources and all(source.id != upstream.id for source in sources):
            return sources[0]
        if Feature.SECOND_SOURCES not in self._boot.features:
            return None
        others = [
            u
            for u in usable
            if u.id != upstream.id
            and u.cold_until <= now
            and not self._health.has_failed(u.id)
        ]
        names = {u.id for u in others}
        users = (source.id for source in sources if source.id in names)
        name = next(users, None) or find_holder(prompt.key, others)
        return next((u for u in others if u.id == name), None)

    def get_copy_rate(self, service: ServiceId) -> float:
        """Return the tokens per ms that upstreams of a service copy; zero for none."""
        table = self._platform_state.get_table()
        known = table.services.get(service) if table else None
        return known.engine.copy_tokens_per_ms if known and known.engine else 0.0

    def _find_usable(
        self, listed: list[Upstream], tried: set[UpstreamId], now: float
    ) -> list[Upstream]:
        """Return untried upstreams that are healthy, or all untried ones if none is.

        Notes
        -----
        Those that asked for a pause are never returned before its end.
        """
        untried = [
            u
            for u in listed
            if u.id not in tried and self._health.get_pause_end(u.id) <= now
        ]
        healthy = [u for u in untried if not self._health.is_excluded(u.id, now)]
        return healthy or untried

    def _find_retry_after_ms(
        self, listed: list[Upstream], tried: set[UpstreamId], now: float
    ) -> int:
        """Return the time until the first pause ends, at least the usual delay."""
        ends = [
            self._health.get_pause_end(u.id) - now for u in listed if u.id not in tried
        ]
        soonest_s = min((end for end in ends if end > 0), default=0.0)
        return max(RETRY_AFTER_MS, round(soonest_s * 1000))


__all__ = ["RETRY_AFTER_MS", "Selection", "UpstreamSelector"]
