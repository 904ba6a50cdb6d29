"""Choice of the upstream for an attempt, from beliefs and loads."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, replace

from fescueflow.core import Clock, Overloaded, UpstreamId
from fescueflow.gateway.beliefs import Beliefs
from fescueflow.gateway.loads import LoadBook, Ticket
from fescueflow.gateway.peers import REPORT_S, PeerTable
from fescueflow.gateway.turns import count_turns
from fescueflow.platform import BootSettings
from fescueflow.routing import (
    BalanceBound,
    Candidate,
    ColdPace,
    HolderNews,
    HolderTable,
    Placement,
    Prompt,
    RepeatBudget,
    Service,
    ServiceId,
    Upstream,
    UpstreamHealth,
    is_copy_worthwhile,
    judge,
    measure_balance,
    rank_placements,
    select_in_time,
)

# When a caller that no upstream can take may return, in milliseconds: an upstream
# that was left out is tried again after this time.
RETURN_MS = 500
# Heartbeats of silence after which an upstream's entry lapses.
LAPSE_HEARTBEATS = 3.0


@dataclass(frozen=True)
class Choice:
    """A placement and the ticket that counts the request there.

    ``source`` is where the chosen upstream copies the shared part of the prompt from,
    ``bound`` what the loads of the service were held against and ``report_age_s`` the
    mean age of what other instances had reported.
    """

    placement: Placement
    ticket: Ticket
    bound: BalanceBound
    source: Upstream | None = None
    report_age_s: float | None = None

    @property
    def upstream(self) -> Upstream:
        """The chosen upstream."""
        return self.placement.candidate.upstream

    def describe(self) -> dict[str, str | int | float | bool | None]:
        """Return what decided the choice, for the log."""
        load = self.placement.candidate.load
        return {
            "upstream": str(self.upstream.id),
            "cost_ms": round(self.placement.cost_ms, 1),
            "running": round(load.running, 1),
            "own_running": load.own_running,
            "count_age_ms": (
                None if load.count_age_s is None else round(load.count_age_s * 1000)
            ),
            "mean_running": round(self.bound.mean, 1),
            "running_limit": round(self.bound.limit, 1),
            "report_age_ms": (
                None if self.report_age_s is None else round(self.report_age_s * 1000)
            ),
            "waiting_tokens": round(load.waiting_tokens),
            "failure_rate": round(load.failure_rate, 2),
            "cached": self.placement.is_cached,
            "copied_from": str(self.source.id) if self.source else None,
        }


class Chooser:
    """Chooses upstreams; safe for use from several threads.

    Parameters
    ----------
    boot : BootSettings
    beliefs : Beliefs
    loads : LoadBook
    peers : PeerTable
    clock : Clock
    """

    def __init__(
        self,
        *,
        boot: BootSettings,
        beliefs: Beliefs,
        loads: LoadBook,
        peers: PeerTable,
        clock: Clock,
    ) -> None:
        self._boot = boot
        self._beliefs = beliefs
        self._loads = loads
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()
        self._health = UpstreamHealth()
        self._pace = ColdPace(str(boot.instance))
        self._holders = HolderTable()
        self._budget = RepeatBudget(
            boot.repeat_ratio, boot.repeat_base, boot.repeat_window_s
        )

    def set_boot(self, boot: BootSettings) -> None:
        """Take over changed settings."""
        with self._lock:
            self._boot = boot
            self._budget.set_limits(
                boot.repeat_ratio, boot.repeat_base, boot.repeat_window_s
            )

    def note_first(self, service: ServiceId) -> None:
        """Count a request for the budget of repeats."""
        with self._lock:
            self._budget.add_first(service, self._clock.monotonic())

    def take_repeat(self, service: ServiceId) -> bool:
        """Use one repeat of the budget; return False if there is none left."""
        with self._lock:
            now = self._clock.monotonic()
            return self._budget.take(service, now, self._peers.count(now))

    def note_success(self, upstream: UpstreamId) -> None:
        """Note an answer of an upstream."""
        with self._lock:
            self._health.note_success(upstream)

    def note_failure(self, upstream: UpstreamId) -> bool:
        """Note a failed attempt; return whether the upstream is left out for now."""
        with self._lock:
            return self._health.note_failure(upstream, self._clock.monotonic())

    def note_replaced(self, upstream: UpstreamId) -> None:
        """Note that another server has the address of an upstream.

        Notes
        -----
        Its entry lapses three heartbeats after its end; until then it is left out.
        """
        with self._lock:
            now = self._clock.monotonic()
            until = now + LAPSE_HEARTBEATS * self._boot.server_heartbeat_s
            self._health.leave_out(upstream, until)

    def merge_news(self, news: Iterable[HolderNews]) -> None:
        """Take over where other instances have found parts of prompts."""
        with self._lock:
            self._holders.merge(news, self._clock.monotonic())

    def announce_all(self) -> None:
        """Tell an instance that has just started where parts of prompts are."""
        with self._lock:
            self._holders.announce_all()

    def take_news(self) -> list[HolderNews]:
        """Return what other instances are to be told of parts of prompts."""
        with self._lock:
            now = self._clock.monotonic()
            return self._holders.take_news(now, self._count_turns(now))

    def forget(self, kept: set[UpstreamId]) -> None:
        """Drop what is known of upstreams that are gone."""
        with self._lock:
            self._health.forget(kept)
            self._holders.forget(kept)
            self._loads.forget(kept)

    def choose(
        self,
        service: ServiceId,
        prompt: Prompt,
        tried: set[UpstreamId],
        remaining_s: float,
    ) -> Choice:
        """Return an upstream for the request and count the request there.

        Raises
        ------
        Overloaded
        """
        now = self._clock.monotonic()
        listed = self._beliefs.list_upstreams(service, now)
        with self._lock:
            usable = self._find_usable(listed, tried, now)
            if not usable:
                raise Overloaded("no upstream takes work", retry_after_ms=RETURN_MS)
            cached = self._holders.find(service, prompt.key, listed, now)
            sources = self._rank_sources(service, prompt, tried, cached)
            candidates = self._list_candidates(service, usable, now)
            size = self._count_working(service, listed, now)
            placements = rank_placements(
                candidates,
                prompt,
                cached,
                self._boot.imbalance_factor,
                self._boot.zone,
                size,
                self._get_copy_rate(service) if sources else 0.0,
                self._loads.get_hold_s(service) * 1000,
            )
            in_time = self._admit(placements, remaining_s)
            chosen = self._take_pace(in_time, now)
            upstream = chosen.candidate.upstream
            is_held = any(source.id == upstream.id for source in sources)
            source = sources[0] if sources and not is_held else None
            self._holders.note(service, prompt.key, upstream.id, listed, now)
            ticket = self._loads.start(upstream.id, service, chosen.unread_tokens, now)
            bound = measure_balance(candidates, self._boot.imbalance_factor, size)
            age_s = self._loads.get_report_age(now)
            return Choice(chosen, ticket, bound, source, age_s)

    def _count_working(
        self, service: ServiceId, listed: list[Upstream], now: float
    ) -> int:
        """Return the number of upstreams over which the mean load is taken.

        Notes
        -----
        Those that are left out for their failures share no load. Counting them would
        lower the bound below what the others must bear, and move prompts from their
        holders for nothing.
        """
        failing = sum(self._health.is_paused(u.id, now) for u in listed)
        return self._beliefs.count_upstreams(service) - failing

    def _list_candidates(
        self, service: ServiceId, usable: list[Upstream], now: float
    ) -> list[Candidate]:
        """Return upstreams with the load of the whole fleet there."""
        interval_s = REPORT_S * self._count_turns(now)
        names = [upstream.id for upstream in usable]
        loads = self._loads.estimate_loads(names, service, now, interval_s)
        return [
            Candidate(
                upstream,
                replace(
                    loads[upstream.id],
                    failure_rate=self._health.get_rate(upstream.id),
                ),
            )
            for upstream in usable
        ]

    def _admit(
        self, placements: list[Placement], remaining_s: float
    ) -> list[Placement]:
        """Return the placements whose answer begins in time.

        Raises
        ------
        Overloaded
            If there is none.
        """
        remaining_ms = remaining_s * 1000
        if in_time := select_in_time(placements, remaining_ms, 0.0):
            return in_time
        verdict = judge(placements, remaining_ms, 0.0)
        raise Overloaded(
            f"the answer is expected after {verdict.prediction.answer_ms:.0f}"
            f" ms, {remaining_ms:.0f} ms are left",
            retry_after_ms=round(verdict.retry_after_s * 1000),
        )

    def _count_turns(self, now: float) -> int:
        """Return the number of reports until each other instance has got one."""
        return count_turns(self._peers.count(now) - 1)

    def _rank_sources(
        self,
        service: ServiceId,
        prompt: Prompt,
        tried: set[UpstreamId],
        expected: frozenset[UpstreamId],
    ) -> list[Upstream]:
        """Return the upstreams to copy the shared part from, the last user first.

        Notes
        -----
        Those that leave or lie in a withdrawn zone go on answering other upstreams.
        """
        if not is_copy_worthwhile(prompt, self._get_copy_rate(service)):
            return []
        answering = {
            upstream.id: upstream
            for upstream in self._beliefs.list_all()
            if upstream.service == service
            and upstream.id not in tried
            and not self._health.has_failed(upstream.id)
        }
        names = self._holders.rank_sources(prompt.key, frozenset(answering), expected)
        return [answering[name] for name in names]

    def _get_copy_rate(self, service: ServiceId) -> float:
        table = self._beliefs.get_table()
        known = table.services.get(service) if table else None
        return known.engine.copy_tokens_per_ms if known and known.engine else 0.0

    def _find_usable(
        self, listed: list[Upstream], tried: set[UpstreamId], now: float
    ) -> list[Upstream]:
        """Return upstreams that are not left out; all of them if most would be."""
        fresh = [u for u in listed if u.id not in tried]
        healthy = [u for u in fresh if not self._health.is_paused(u.id, now)]
        return healthy or fresh

    def _take_pace(self, placements: list[Placement], now: float) -> Placement:
        """Return the first placement that is warm or within the pace of cold ones.

        Raises
        ------
        Overloaded
        """
        table = self._beliefs.get_table()
        instances = self._peers.count(now)
        for placement in placements:
            upstream = placement.candidate.upstream
            service: Service | None = (
                table.services.get(upstream.service) if table else None
            )
            if upstream.cold_until <= now or service is None or not service.cold_per_s:
                return placement
            if self._pace.take(upstream.id, service.cold_per_s, instances, now):
                return placement
        raise Overloaded("all upstreams are cold", retry_after_ms=RETURN_MS)


__all__ = ["RETURN_MS", "Choice", "Chooser"]
