"""Selection of the route, customer and service of a request."""

from fescueflow.core import score_candidate
from fescueflow.routing.errors import NoRoute, UnknownKey
from fescueflow.routing.model import Customer, Route, RoutingTable, ServiceId


def find_route(table: RoutingTable, host: str, path: str) -> Route:
    """Return the route of the host with the longest prefix of the path.

    Parameters
    ----------
    table : RoutingTable
    host : str
        ``Host`` header; a port is ignored.
    path : str
        Request path without the query string.

    Raises
    ------
    NoRoute
        If no route matches.
    """
    # The routes of a host are sorted by falling length of their prefixes.
    for route in table.routes.get(host.partition(":")[0].lower(), ()):
        if path.startswith(route.prefix):
            return route
    raise NoRoute("no route has this host and path")


def find_customer(
    table: RoutingTable, route: Route, key: str | None
) -> Customer | None:
    """Return the owner of an API key, or ``None`` if the request needs no key.

    Raises
    ------
    UnknownKey
        If the route requires a key and the given one is missing or unknown.
    """
    if table.customers is None:
        return None
    customer = table.customers.get(key) if key else None
    if customer is None and not route.is_public:
        raise UnknownKey("the key is not known")
    return customer


def choose_service(route: Route, attempt_id: str) -> ServiceId:
    """Choose one of the route's services by weight, the same one for equal ids."""
    total = sum(weight for _, weight in route.targets)
    if len(route.targets) == 1 or total <= 0:
        return route.targets[0][0]
    point = score_candidate(attempt_id, "service") % total
    for service, weight in route.targets:
        point -= weight
        if point < 0:
            return service
    return route.targets[-1][0]


__all__ = ["choose_service", "find_customer", "find_route"]
