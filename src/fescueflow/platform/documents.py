"""Documents in the platform's store, decoded into the project's types."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from fescueflow.core import CustomerId, UpstreamId, ZoneId
from fescueflow.platform.records import MalformedAnswer
from fescueflow.routing import (
    PRIORITY_DEFAULT,
    CallerLimits,
    Customer,
    EngineTraits,
    Route,
    RouteId,
    RouteKind,
    RoutingTable,
    Service,
    ServiceId,
    Upstream,
    UpstreamState,
)

UPSTREAMS_PREFIX = "servers/"
OPERATOR_PREFIX = "op/"
TABLE_KEY = "op/config"
WITHDRAWN_PREFIX = "op/evacuate/"

KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


@contextmanager
def refuse_malformed() -> Iterator[None]:
    """Report values of a wrong type, where they are used, as ``MalformedAnswer``."""
    try:
        yield
    except (AttributeError, TypeError, ValueError) as error:
        raise MalformedAnswer(f"a field has the wrong type: {error}") from error


def parse_document(value: bytes) -> dict[str, Any]:
    """Return a JSON object.

    Raises
    ------
    MalformedAnswer
    """
    try:
        document = json.loads(value)
    except ValueError as error:
        raise MalformedAnswer(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise MalformedAnswer("not an object")
    return document


def get_field(document: dict[str, Any], name: str, *kinds: type) -> Any:
    """Return a field of one of the given types.

    Raises
    ------
    MalformedAnswer
    """
    value = document.get(name)
    # `True` is an `int` to Python but no number in these documents.
    if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
        raise MalformedAnswer(f"{name}: {value!r} has the wrong type")
    return value


@refuse_malformed()
def parse_upstream(key: str, value: bytes, now: float) -> Upstream:
    """Return the upstream that an entry names.

    Parameters
    ----------
    key : str
    value : bytes
    now : float
        Monotonic time of the reading, from which the rest of the cold time counts.

    Raises
    ------
    MalformedAnswer
        If the entry is of another writer; it names no upstream to use.
    """
    document = parse_document(value)
    state = STATES.get(document.get("state", ""))
    if state is None:
        raise MalformedAnswer(f"state: {document.get('state')!r} is not known")
    address = get_field(document, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise MalformedAnswer(f"address: {address!r} is not ip:port")
    cold_ms = get_field(document, "cold_remaining_ms", int, float)
    started_at_ms = document.get("born", 0)
    return Upstream(
        id=UpstreamId(key.removeprefix(UPSTREAMS_PREFIX)),
        service=ServiceId(get_field(document, "service", str)),
        address=address,
        zone=ZoneId(get_field(document, "zone", str)),
        slots=get_field(document, "slots", int),
        state=state,
        cold_until=now + cold_ms / 1000 if cold_ms > 0 else 0.0,
        started_at_ms=started_at_ms if isinstance(started_at_ms, int) else 0,
    )


@refuse_malformed()
def parse_table(value: bytes) -> RoutingTable:
    """Return the configuration that the operator has written.

    Raises
    ------
    MalformedAnswer
    """
    document = parse_document(value)
    routes: dict[str, list[Route]] = {}
    for entry in get_field(document, "routes", list):
        route = parse_route(entry)
        routes.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(entries, key=lambda route: -len(route.prefix)))
        for host, entries in routes.items()
    }
    services = [parse_service(e) for e in get_field(document, "services", list)]
    return RoutingTable(
        version=get_field(document, "version", int),
        routes=ordered,
        services={service.id: service for service in services},
        limits=parse_limits(get_field(document, "limits", dict)),
        customers=parse_customers(document.get("tenants")),
    )


def parse_route(document: Any) -> Route:
    """Return one route."""
    if not isinstance(document, dict):
        raise MalformedAnswer("a route is not an object")
    kind = KINDS.get(document.get("kind", ""))
    if kind is None:
        raise MalformedAnswer(f"kind: {document.get('kind')!r} is not known")
    return Route(
        id=RouteId(get_field(document, "name", str)),
        host=get_field(document, "host", str).lower(),
        prefix=get_field(document, "prefix", str),
        kind=kind,
        targets=tuple(parse_targets(document)),
        timeout_s=get_field(document, "timeout_ms", int, float) / 1000,
        target_s=get_field(document, "target_latency_ms", int, float) / 1000,
        attempts_max=max(1, document.get("max_attempts") or 1),
        priority=document.get("priority", PRIORITY_DEFAULT),
        # "public" means that no key is asked for.
        is_public=bool(document.get("public")),
        is_resumable=bool(document.get("resumable")),
    )


def parse_targets(document: dict[str, Any]) -> Iterator[tuple[ServiceId, int]]:
    """Yield the services of a route with their weights."""
    parts = document.get("weighted_services")
    if not parts:
        yield ServiceId(get_field(document, "service", str)), 1
        return
    for part in parts:
        weight = get_field(part, "weight", int, float)
        yield ServiceId(get_field(part, "service", str)), int(weight)


def parse_service(document: Any) -> Service:
    """Return one service."""
    if not isinstance(document, dict):
        raise MalformedAnswer("a service is not an object")
    engine = document.get("engine")
    traits = None
    if isinstance(engine, dict):
        traits = parse_engine(engine)
    return Service(
        id=ServiceId(get_field(document, "name", str)),
        connections_max=get_field(document, "max_connections", int),
        cold_s=float(document.get("cold_start_s") or 0.0),
        cold_per_s=float(document.get("cold_per_s") or 0.0),
        engine=traits,
    )


def parse_engine(document: dict[str, Any]) -> EngineTraits:
    """Return what the engines of a service have in common."""
    # Bytes of cache for one token, and the rate of the links between engines.
    token_bytes = document.get("kv_token_bytes") or 0
    link_mbps = document.get("link_mbps") or 0
    bytes_per_ms = link_mbps * 1e6 / 8 / 1000
    return EngineTraits(
        slots=get_field(document, "slots", int),
        cache_tokens=get_field(document, "kv_capacity", int),
        copy_tokens_per_ms=bytes_per_ms / token_bytes if token_bytes else 0.0,
    )


def parse_limits(document: dict[str, Any]) -> CallerLimits:
    """Return the bounds on callers."""
    return CallerLimits(
        header_bytes=get_field(document, "max_header_bytes", int),
        body_bytes=get_field(document, "max_body_bytes", int),
        idle_s=get_field(document, "idle_timeout_ms", int, float) / 1000,
    )


def parse_customers(entries: Any) -> dict[str, Customer] | None:
    """Return the customers by their keys, ``None`` if none are configured."""
    if entries is None:
        return None
    customers: dict[str, Customer] = {}
    for entry in entries:
        priority = entry.get("priority")
        customer = Customer(CustomerId(get_field(entry, "name", str)), priority)
        for key in get_field(entry, "api_keys", list):
            customers[key] = customer
    return customers


__all__ = [
    "OPERATOR_PREFIX",
    "TABLE_KEY",
    "UPSTREAMS_PREFIX",
    "WITHDRAWN_PREFIX",
    "parse_table",
    "parse_upstream",
]
