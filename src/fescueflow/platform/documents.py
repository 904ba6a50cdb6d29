"""Decoding of the documents in the platform's store into this project's types."""

import ipaddress
import json
import math
import re
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from fescueflow.core import CustomerId, UpstreamId, ZoneId
from fescueflow.platform.records import MalformedResponse
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

ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
# IDs of upstreams are sent in a header: visible ASCII characters.
UPSTREAM_ID = re.compile(r"[!-~]{1,200}")
# Longest plausible cold time, in ms: an hour.
COLD_MS_MAX = 3_600_000
PORT_MAX = 65535
SLOTS_MAX = 1_000_000
UPSTREAM_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


@contextmanager
def wrap_type_errors() -> Iterator[None]:
    """Raise ``MalformedResponse`` for errors caused by odd values.

    Notes
    -----
    Numbers out of range raise ``ArithmeticError``, deeply nested documents
    ``RecursionError``.
    """
    try:
        yield
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise MalformedResponse(f"a field has an unusable value: {error!r}") from error


def parse_document(value: bytes) -> dict[str, Any]:
    """Return the JSON object in a value.

    Raises
    ------
    MalformedResponse
        If the value is not a JSON object.
    """
    try:
        document = json.loads(value)
    except (RecursionError, ValueError) as error:
        raise MalformedResponse(f"not JSON: {error!r}") from error
    if not isinstance(document, dict):
        raise MalformedResponse("not an object")
    return document


def get_field(document: dict[str, Any], name: str, *value_types: type) -> Any:
    """Return a field of a document.

    Raises
    ------
    MalformedResponse
        If the field is missing or has none of the given types.
    """
    value = document.get(name)
    # `bool` is a subclass of `int`, but JSON booleans are not numbers.
    if not isinstance(value, value_types) or (
        isinstance(value, bool) and bool not in value_types
    ):
        raise MalformedResponse(f"{name}: {value!r} has the wrong type")
    return value


def get_number(
    document: dict[str, Any], name: str, lowest: float, highest: float
) -> float:
    """Return a number of a document that is within a range.

    Raises
    ------
    MalformedResponse
        If it is missing, not a number, or out of range.
    """
    value: float = get_field(document, name, int, float)
    if not lowest <= value <= highest:
        raise MalformedResponse(f"{name}: out of range")
    return value


def parse_address(address: str) -> str:
    """Return the address if it is of the form ``ip:port``.

    Raises
    ------
    MalformedResponse
        If it is not, or if the port is out of range.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise MalformedResponse(f"address: {address[:80]!r}: {error}") from error
    if not (port.isascii() and port.isdecimal()) or not 0 < int(port) <= PORT_MAX:
        raise MalformedResponse(f"address: {address[:80]!r} has no usable port")
    return address


@wrap_type_errors()
def parse_upstream(key: str, value: bytes, now: float) -> Upstream:
    """Return the upstream that an entry describes.

    Parameters
    ----------
    key : str
        Key of the entry in the store.
    value : bytes
        JSON document of the entry.
    now : float
        Monotonic time of the read, from which the remaining cold time counts.

    Raises
    ------
    MalformedResponse
        If the entry does not describe a usable upstream, for example because
        another program wrote it.
    """
    document = parse_document(value)
    state = UPSTREAM_STATES.get(document.get("state", ""))
    if state is None:
        raise MalformedResponse(f"state: {document.get('state')!r} is not known")
    name = key.removeprefix(UPSTREAMS_PREFIX)
    if not UPSTREAM_ID.fullmatch(name):
        raise MalformedResponse(f"{name!r} can't be an ID")
    cold_ms = get_number(document, "cold_remaining_ms", -math.inf, COLD_MS_MAX)
    started_at_ms = document.get("born", 0)
    sequence = document.get("sequence", 0)
    return Upstream(
        id=UpstreamId(name),
        service=ServiceId(get_field(document, "service", str)),
        address=parse_address(get_field(document, "address", str)),
        zone=ZoneId(get_field(document, "zone", str)),
        slots=int(get_number(document, "slots", 1, SLOTS_MAX)),
        state=state,
        cold_until=now + cold_ms / 1000 if cold_ms > 0 else 0.0,
        started_at_ms=started_at_ms if isinstance(started_at_ms, int) else 0,
        sequence=sequence if isinstance(sequence, int) else 0,
    )


@wrap_type_errors()
def parse_table(value: bytes) -> RoutingTable:
    """Return the routing table from the operator's configuration.

    Raises
    ------
    MalformedResponse
        If any part is invalid; a configuration is never applied in part.
    """
    document = parse_document(value)
    routes: dict[str, list[Route]] = {}
    for entry in get_field(document, "routes", list):
        route = parse_route(entry)
        routes.setdefault(route.host, []).append(route)
    routes_by_host = {
        host: tuple(sorted(entries, key=lambda route: -len(route.prefix)))
        for host, entries in routes.items()
    }
    services = [parse_service(entry) for entry in get_field(document, "services", list)]
    return RoutingTable(
        version=get_field(document, "version", int),
        routes=routes_by_host,
        services={service.id: service for service in services},
        limits=parse_limits(get_field(document, "limits", dict)),
        customers=parse_customers(document.get("tenants")),
    )


def parse_route(document: Any) -> Route:
    """Return the route that a document describes."""
    if not isinstance(document, dict):
        raise MalformedResponse("a route is not an object")
    kind = ROUTE_KINDS.get(document.get("kind", ""))
    if kind is None:
        raise MalformedResponse(f"kind: {document.get('kind')!r} is not known")
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
        # A public route does not require an API key.
        is_public=bool(document.get("public")),
        is_resumable=bool(document.get("resumable")),
        pause_s=parse_pause_target(document) / 1000,
    )


def parse_pause_target(document: dict[str, Any]) -> float:
    """Return the longest pause of a route's streams in ms; only streams set one."""
    if document.get("target_gap_ms") is None:
        return 0.0
    return max(0.0, get_field(document, "target_gap_ms", int, float))


def parse_targets(document: dict[str, Any]) -> Iterator[tuple[ServiceId, int]]:
    """Yield the ID and weight of each service of a route."""
    entries = document.get("weighted_services")
    if not entries:
        yield ServiceId(get_field(document, "service", str)), 1
        return
    for target in entries:
        weight = get_field(target, "weight", int, float)
        yield ServiceId(get_field(target, "service", str)), int(weight)


def parse_service(document: Any) -> Service:
    """Return the service that a document describes."""
    if not isinstance(document, dict):
        raise MalformedResponse("a service is not an object")
    engine = document.get("engine")
    traits = None
    if isinstance(engine, dict):
        traits = parse_engine_traits(engine)
    return Service(
        id=ServiceId(get_field(document, "name", str)),
        connections_max=get_field(document, "max_connections", int),
        cold_s=float(document.get("cold_start_s") or 0.0),
        cold_per_s=float(document.get("cold_per_s") or 0.0),
        engine=traits,
    )


def parse_engine_traits(document: dict[str, Any]) -> EngineTraits:
    """Return the properties that all engines of a service share."""
    # Cache bytes per token, and bandwidth of the links between engines.
    token_bytes = document.get("kv_token_bytes") or 0
    link_mbps = document.get("link_mbps") or 0
    bytes_per_ms = link_mbps * 1e6 / 8 / 1000
    return EngineTraits(
        slots=get_field(document, "slots", int),
        cache_tokens=get_field(document, "kv_capacity", int),
        copy_tokens_per_ms=bytes_per_ms / token_bytes if token_bytes else 0.0,
    )


def parse_limits(document: dict[str, Any]) -> CallerLimits:
    """Return the limits on requests and connections of callers."""
    head_s = None
    if document.get("header_timeout_ms") is not None:
        head_s = get_field(document, "header_timeout_ms", int, float) / 1000
    return CallerLimits(
        header_bytes=get_field(document, "max_header_bytes", int),
        body_bytes=get_field(document, "max_body_bytes", int),
        idle_s=get_field(document, "idle_timeout_ms", int, float) / 1000,
        head_s=head_s,
    )


def parse_customers(entries: Any) -> dict[str, Customer] | None:
    """Return the customers by API key, or ``None`` if none are configured."""
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
