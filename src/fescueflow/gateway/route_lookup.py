"""Lookup of a request's route and customer in the configuration in force."""

from typing import NamedTuple

from fescueflow.core import Clock, NotReady, RequestError
from fescueflow.gateway.confirmation import StateConfirmation
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.request_logs import log_refusal
from fescueflow.gateway.requests import CallerRequest
from fescueflow.gateway.selection import RETRY_AFTER_MS
from fescueflow.routing import (
    Customer,
    NoRoute,
    Route,
    RoutingTable,
    UnknownKey,
    find_customer,
    find_route,
)

# Wait for a request without a deadline of its own.
DEADLINE_DEFAULT_S = 1.0


class Match(NamedTuple):
    """The configuration in force and what it says of a request."""

    table: RoutingTable
    route: Route
    customer: Customer | None


class RouteLookup:
    """Finds the route and customer of requests; thread-safe.

    Parameters
    ----------
    platform_state : PlatformState
    confirmation : StateConfirmation
    clock : Clock
    """

    def __init__(
        self,
        platform_state: PlatformState,
        confirmation: StateConfirmation,
        clock: Clock,
    ) -> None:
        self._platform_state = platform_state
        self._confirmation = confirmation
        self._clock = clock

    def find(self, request: CallerRequest) -> Match:
        """Return the route and the customer of a request.

        Raises
        ------
        NoRoute, UnknownKey
            If the current configuration does not allow the request.
        NotReady
            If the request is not known and the configuration may be outdated.
        """
        table = self._get_table()
        try:
            return match_request(table, request)
        except (NoRoute, UnknownKey) as error:
            return self._find_again(request, table, error)

    def _find_again(
        self, request: CallerRequest, table: RoutingTable, error: RequestError
    ) -> Match:
        remaining_s = request.headers.deadline_s or DEADLINE_DEFAULT_S
        is_current = self._confirmation.confirm(request.received_at + remaining_s)
        newer = self._get_table()
        if newer is not table:
            try:
                return match_request(newer, request)
            except (NoRoute, UnknownKey) as again:
                error = again
        if not is_current:
            error = NotReady(
                f"{error.message}, but the configuration may be outdated",
                retry_after_ms=RETRY_AFTER_MS,
            )
        age_s = self._platform_state.get_age(self._clock.monotonic())
        log_refusal(request, error, newer, age_s)
        raise error

    def _get_table(self) -> RoutingTable:
        table = self._platform_state.get_table()
        if table is None:
            raise NotReady(
                "no configuration is known yet", retry_after_ms=RETRY_AFTER_MS
            )
        return table


def match_request(table: RoutingTable, request: CallerRequest) -> Match:
    """Return what a configuration says of a request.

    Raises
    ------
    NoRoute, UnknownKey
    """
    route = find_route(table, request.host, request.target.partition("?")[0])
    customer = find_customer(table, route, request.headers.api_key)
    return Match(table, route, customer)


__all__ = ["Match", "RouteLookup"]
