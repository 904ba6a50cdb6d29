"""Rates that the whole fleet keeps at cold upstreams and at those that name a limit.

Each request to an upstream passes here once: first attempts, retries, resumed streams
and requests that are sent apart.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from fescueflow.core import InstanceId, Overloaded
from fescueflow.gateway.limits import UpstreamLimits
from fescueflow.gateway.peers import PeerTable
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.metrics import Metrics
from fescueflow.routing import (
    ColdStartLimiter,
    LimitShare,
    Placement,
    ReturnSlots,
    ServiceId,
    TokenSupply,
    Upstream,
)

# Delay after which a rejected caller may retry: an upstream that was excluded after
# failures is tried again after this time.
RETRY_AFTER_MS = 500


@dataclass(frozen=True, slots=True)
class Passage:
    """A placement within all rates, and the share in the limit that it used."""

    placement: Placement
    share: LimitShare | None = None


class RateGate:
    """Chooses placements that keep to the rates; not thread-safe.

    Parameters
    ----------
    own : InstanceId
    platform_state : PlatformState
    peers : PeerTable
    limits : UpstreamLimits
    metrics : Metrics
    """

    def __init__(
        self,
        *,
        own: InstanceId,
        platform_state: PlatformState,
        peers: PeerTable,
        limits: UpstreamLimits,
        metrics: Metrics,
    ) -> None:
        self._platform_state = platform_state
        self._peers = peers
        self._limits = limits
        self._metrics = metrics
        self._cold_start_limiter = ColdStartLimiter(str(own))
        self._slots = ReturnSlots()

    def admit(
        self,
        upstreams: Sequence[Upstream],
        service: ServiceId,
        priority: int,
        now: float,
    ) -> TokenSupply | None:
        """Return the tokens for upstreams, ``None`` if one of them has no limit.

        Raises
        ------
        Overloaded
            If all have limits and no token is left for a request of this priority.
        """
        self._slots.record_request(service, priority, now)
        supply = self._limits.measure_supply(upstreams, now)
        if supply is not None and not self._slots.is_admitted(
            service, priority, supply, now
        ):
            raise self._reject(len(upstreams), service, priority, supply, now)
        return supply

    def choose(
        self,
        placements: Sequence[Placement],
        service: ServiceId,
        priority: int,
        now: float,
    ) -> Passage:
        """Return the first placement that is within all rates, and use them.

        Raises
        ------
        Overloaded
            If there is none.
        """
        has_limit = False
        for placement in placements:
            upstream = placement.candidate.upstream
            share = self._limits.find_share(upstream, now)
            if share is None:
                if self._try_cold(upstream, now):
                    return Passage(placement)
                continue
            has_limit = True
            if not self._limits.has_token(upstream, share, now):
                self._metrics.count("limited_placements")
            elif self._try_cold(upstream, now):
                self._limits.take_token(upstream)
                self._slots.record_taken(service, priority)
                return Passage(placement, share)
        if not has_limit:
            raise Overloaded("all upstreams are cold", retry_after_ms=RETRY_AFTER_MS)
        upstreams = [placement.candidate.upstream for placement in placements]
        supply = self._limits.measure_supply(upstreams, now)
        raise self._reject(len(upstreams), service, priority, supply, now)

    def _reject(
        self,
        count: int,
        service: ServiceId,
        priority: int,
        supply: TokenSupply | None,
        now: float,
    ) -> Overloaded:
        """Return the error of a request that no upstream may get now."""
        self._metrics.count("limited_requests")
        if supply is None:
            return Overloaded(
                "all upstreams are cold or at their limits",
                retry_after_ms=RETRY_AFTER_MS,
            )
        retry_after_s = self._slots.take_slot(service, priority, supply, now)
        return Overloaded(
            f"{count} upstreams are at their limits, the share of this instance is"
            f" {supply.rate:.2f} a second, priority {priority}",
            retry_after_ms=round(retry_after_s * 1000),
        )

    def _try_cold(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream is warm, or within its cold-start rate."""
        table = self._platform_state.get_table()
        service = table.services.get(upstream.service) if table else None
        if upstream.cold_until <= now or service is None or not service.cold_per_s:
            return True
        instances = self._peers.count_carrying(now)
        return self._cold_start_limiter.try_acquire(
            upstream.id, service.cold_per_s, instances, now
        )


__all__ = ["RETRY_AFTER_MS", "Passage", "RateGate"]
