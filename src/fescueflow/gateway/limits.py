"""Limits that upstreams name in their answers, and the tokens of this instance."""

import threading
from collections.abc import Iterable, Sequence

import logbook

from fescueflow.core import Clock, InstanceId, UpstreamId
from fescueflow.gateway.peers import REPORT_INTERVAL_S, PeerTable
from fescueflow.gateway.records import PeerRecord
from fescueflow.gateway.report_turns import ReportTurns
from fescueflow.gateway.rotation import count_reports_per_round
from fescueflow.metrics import Metrics
from fescueflow.routing import (
    Limit,
    LimitId,
    LimitShare,
    LimitShares,
    LimitTable,
    LimitUpdate,
    PublishedDemand,
    TokenBuckets,
    TokenSupply,
    Upstream,
)

# Limits in one report, about 30 bytes each: the latest changes, the others by turns.
REPORTED_CHANGES_MAX = 12
REPORTED_TURNS = 4
# Age up to which others use a report of this instance, beside a round of reports, in
# seconds: two lost reports and the delay of the third.
REPORT_DELAY_S = 1.5

log = logbook.Logger("limits")


class UpstreamLimits:
    """Keeps the limits of upstreams and what this instance may send; thread-safe.

    Parameters
    ----------
    own : InstanceId
    peers : PeerTable
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self, *, own: InstanceId, peers: PeerTable, clock: Clock, metrics: Metrics
    ) -> None:
        self._own = own
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._table = LimitTable()
        self._shares = LimitShares(own)
        self._buckets = TokenBuckets(f"limit {own}")
        self._published = PublishedDemand()
        self._turns: ReportTurns[LimitUpdate] = ReportTurns(REPORTED_TURNS)
        self._carrying: Sequence[PeerRecord] = ()

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

    def record_published(self, rate: float) -> None:
        """Note the rate of callers' requests that this instance reports."""
        with self._lock:
            self._published.record(round(rate, 1), self._clock.monotonic())

    def merge(self, updates: Iterable[LimitUpdate]) -> None:
        """Store what another instance has heard of limits."""
        with self._lock:
            now = self._clock.monotonic()
            for limit_id, limit in self._table.merge(updates, now):
                self._log_change(limit_id, limit, now)

    def take_updates(self) -> list[LimitUpdate]:
        """Return the limits to report to other instances, the latest changes first."""
        with self._lock:
            now = self._clock.monotonic()
            latest = self._table.list_changes(now)[:REPORTED_CHANGES_MAX]
            others = self._turns.take(self._table.list_updates(now))
            known = {update.id for update in latest}
            return [*latest, *(u for u in others if u.id not in known)]

    def find_rate(self, upstream: Upstream) -> float | None:
        """Return the limit in requests a second, ``None`` without one."""
        with self._lock:
            return self._table.find_rate(make_limit_id(upstream))

    def list_limited(self, upstreams: Iterable[Upstream]) -> frozenset[UpstreamId]:
        """Return the upstreams that name a limit."""
        with self._lock:
            if not self._table.has_limits:
                return frozenset()
            return frozenset(
                upstream.id
                for upstream in upstreams
                if self._table.find_rate(make_limit_id(upstream)) is not None
            )

    def find_share(self, upstream: Upstream, now: float) -> LimitShare | None:
        """Return the share in an upstream's limit, ``None`` without a limit."""
        with self._lock:
            return self._find_share(upstream, now)

    def has_token(self, upstream: Upstream, share: LimitShare, now: float) -> bool:
        """Return whether this instance may send a request to a limited upstream."""
        with self._lock:
            return self._fill(upstream, share, now) >= 1.0

    def take_token(self, upstream: Upstream) -> None:
        """Count a request that is sent to a limited upstream."""
        with self._lock:
            self._buckets.take(upstream.id)

    def measure_supply(
        self, upstreams: Iterable[Upstream], now: float
    ) -> TokenSupply | None:
        """Return the tokens for upstreams, ``None`` if one of them has no limit.

        Notes
        -----
        An instance that holds none of them tells callers to come back at the mean rate
        of the instances, by when it may hold some.
        """
        whole, depth, rate, limits, next_s = 0, 0.0, 0.0, 0.0, float("inf")
        with self._lock:
            for upstream in upstreams:
                share = self._find_share(upstream, now)
                if share is None:
                    return None
                tokens = self._fill(upstream, share, now)
                whole += int(tokens)
                depth += share.depth
                rate += share.rate
                limits += self._table.find_rate(make_limit_id(upstream)) or 0.0
                if share.rate > 0:
                    next_s = min(next_s, max(0.0, 1.0 - tokens) / share.rate)
            if rate <= 0:
                rate = limits / max(1, len(self._carrying))
                next_s = 0.0
            return TokenSupply(whole, int(depth), rate, next_s)

    def retain(self, kept: set[UpstreamId]) -> None:
        """Forget upstreams that are not in ``kept`` and were not heard of for long."""
        with self._lock:
            self._table.retain(kept, self._clock.monotonic())
            self._shares.retain(kept)
            self._buckets.retain(kept)

    def _find_share(self, upstream: Upstream, now: float) -> LimitShare | None:
        rate = self._table.find_rate(make_limit_id(upstream))
        if rate is None:
            return None
        self._update_demands(now)
        return self._shares.compute(upstream.id, rate)

    def _update_demands(self, now: float) -> None:
        """Read which instances may hold upstreams, and their demands, if they are new.

        Notes
        -----
        An instance that does not serve, as this one when it stops, holds nothing.
        """
        carrying = self._peers.list_carrying(now)
        if carrying is self._carrying:
            return
        self._carrying = carrying
        demands = {r.instance: r.rate for r in carrying if r.is_serving}
        if self._own in demands:
            reports = count_reports_per_round(len(carrying) - 1)
            age_s = REPORT_DELAY_S + REPORT_INTERVAL_S * reports
            demands[self._own] = self._published.get_lowest(age_s, now)
        self._shares.set_demands(demands)

    def _fill(self, upstream: Upstream, share: LimitShare, now: float) -> float:
        if share.rate <= 0:
            # Tokens don't add up while others hold the upstream.
            self._buckets.pause(upstream.id, now)
            return 0.0
        return self._buckets.fill(upstream.id, share.rate, share.depth, now)

    def _log_change(
        self, limit_id: LimitId, limit: Limit, now: float, attempt_id: str | None = None
    ) -> None:
        source = "reported" if limit.is_reported else "own"
        self._metrics.count("upstream_limit_changes", source=source)
        share = None
        if limit.rate is not None:
            self._update_demands(now)
            share = self._shares.compute(limit_id.upstream, limit.rate)
        log.info(
            "upstream limit changed",
            extra={
                "id": attempt_id,
                "upstream": str(limit_id.upstream),
                "limit": limit.rate,
                "source": source,
                "heard_ms": round((now - limit.heard_at) * 1000),
                **describe_share(share),
            },
        )


def describe_share(share: LimitShare | None) -> dict[str, float | int | None]:
    """Return the log fields of a share."""
    if share is None:
        return {"limit_share": None, "limit_holders": None}
    return {"limit_share": round(share.rate, 3), "limit_holders": share.holders}


def make_limit_id(upstream: Upstream) -> LimitId:
    """Return what the limit of an upstream is kept under."""
    return LimitId(upstream.id, upstream.started_at_ms)


__all__ = ["UpstreamLimits", "describe_share"]
