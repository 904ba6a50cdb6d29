"""Permits for the attempts of callers' requests."""

import threading

from fescueflow.core import Clock
from fescueflow.gateway.permit_waits import PermitNeed
from fescueflow.gateway.permits import Permit, PermitClient
from fescueflow.gateway.requests import RequestContext
from fescueflow.routing import RETURN_MIN_S, CallerAges


class RequestPermits:
    """Asks for the permits of attempts; thread-safe.

    Parameters
    ----------
    client : PermitClient
    clock : Clock
    """

    def __init__(self, client: PermitClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._lock = threading.Lock()
        self._ages = CallerAges()

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
        context.permit = self._client.acquire(
            PermitNeed(
                attempt_id=request.headers.attempt_id,
                service=context.service,
                priority=priority,
                deadline=context.deadline,
                objective_at=request.received_at - age_s + route.target_s,
                is_returning=age_s >= RETURN_MIN_S,
                tried=frozenset(context.tried),
                is_caller_disconnected=request.is_caller_disconnected,
            )
        )
        return context.permit


__all__ = ["RequestPermits"]
