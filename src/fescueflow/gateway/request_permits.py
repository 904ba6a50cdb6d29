"""Permits for the attempts of callers' requests."""

import threading

from fescueflow.core import Clock, UpstreamId
from fescueflow.gateway.permit_waits import PermitNeed
from fescueflow.gateway.permits import Permit, PermitClient
from fescueflow.gateway.requests import RequestContext
from fescueflow.gateway.selection import UpstreamSelector
from fescueflow.routing import RETURN_MIN_S, CallerAges

# Highest number of a priority; configurations may hold others.
PRIORITY_MAX = 9


class RequestPermits:
    """Asks for the permits of attempts; thread-safe.

    Parameters
    ----------
    client : PermitClient
    selector : UpstreamSelector
    clock : Clock
    is_enabled : bool, optional
        Whether permits are in use.
    """

    def __init__(
        self,
        client: PermitClient,
        selector: UpstreamSelector,
        clock: Clock,
        is_enabled: bool = True,
    ) -> None:
        self._is_enabled = is_enabled
        self._client = client
        self._selector = selector
        self._clock = clock
        self._lock = threading.Lock()
        self._ages = CallerAges()

    def is_needed(self, context: RequestContext) -> bool:
        """Return whether the request's service has a coordinator to ask."""
        if not self._is_enabled:
            return False
        now = self._clock.monotonic()
        return self._client.coordinators.find(context.service, now) is not None

    def find_limited(self, context: RequestContext) -> UpstreamId | None:
        """Return an upstream with a limit that needs no permit, but has a token."""
        return self._selector.find_limited(context.service, context.tried)

    def acquire(self, context: RequestContext, priority: int) -> Permit | None:
        """Return a permit, ``None`` if the attempt needs none or can't have one.

        Notes
        -----
        A request holds at most one permit, so that a replacement of a silent attempt
        goes without.

        Raises
        ------
        RequestError
            If the request can't start in time.
        """
        if context.permit is not None and not context.permit.has_ended:
            return None
        request, route = context.request, context.route
        with self._lock:
            age_s = self._ages.estimate(
                route.id, request.headers.deadline_s, self._clock.monotonic()
            )
        avoid = self._selector.find_failing(context.service) | context.tried
        context.permit = self._client.acquire(
            PermitNeed(
                attempt_id=request.headers.attempt_id,
                service=context.service,
                priority=min(PRIORITY_MAX, max(0, priority)),
                deadline=context.deadline,
                objective_at=request.received_at - age_s + route.target_s,
                is_returning=age_s >= RETURN_MIN_S,
                avoid=avoid,
                is_caller_disconnected=request.is_caller_disconnected,
            )
        )
        return context.permit


__all__ = ["RequestPermits"]
