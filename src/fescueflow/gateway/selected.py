"""The upstream that was selected for an attempt, and what explains the selection."""

from dataclasses import dataclass

from fescueflow.gateway.limits import describe_share
from fescueflow.gateway.loads import ActiveRequest
from fescueflow.gateway.permits import Permit
from fescueflow.routing import BalanceBound, LimitShare, PermitEnd, Placement, Upstream


@dataclass(frozen=True)
class Selection:
    """The selected upstream and the request that counts toward its load.

    ``source`` is the upstream from which the selected one copies the shared prefix of
    the prompt, ``bound`` the load bound of the service, and ``report_age_s`` the mean
    age of the loads that other instances had reported. ``is_isolated`` is whether the
    request was sent apart because upstreams may crash under it, and ``share`` that in
    the limit that the upstream names. ``is_retry`` is whether the request was sent to
    another upstream before, and ``permit`` that of a coordinator.
    """

    placement: Placement
    active_request: ActiveRequest
    bound: BalanceBound
    source: Upstream | None = None
    report_age_s: float | None = None
    is_isolated: bool = False
    share: LimitShare | None = None
    is_retry: bool = False
    permit: Permit | None = None

    @property
    def upstream(self) -> Upstream:
        """The selected upstream."""
        return self.placement.candidate.upstream

    def end(self, end: PermitEnd) -> None:
        """Stop counting the request, and return its permit."""
        self.active_request.end()
        if self.permit is not None:
            self.permit.end(end)

    def describe(self) -> dict[str, str | int | float | bool | None]:
        """Return the log fields that explain the selection."""
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
            "isolated": self.is_isolated,
            **describe_share(self.share),
            "waiting_tokens": round(load.waiting_tokens),
            "failure_rate": round(load.failure_rate, 2),
            "slowdown": round(load.slowdown, 2),
            "slowdown_age_ms": (
                None
                if load.slowdown_age_s is None
                else round(load.slowdown_age_s * 1000)
            ),
            "cached": self.placement.is_cached,
            "copied_from": str(self.source.id) if self.source else None,
        }


__all__ = ["Selection"]
