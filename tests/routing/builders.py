"""Builders of routing test data."""

import xxhash

from fescueflow.core import CustomerId, UpstreamId, ZoneId
from fescueflow.routing import (
    CallerLimits,
    Candidate,
    Customer,
    EngineTraits,
    PartId,
    Prompt,
    Route,
    RouteId,
    RouteKind,
    RoutingTable,
    Service,
    ServiceId,
    Upstream,
    UpstreamLoad,
    UpstreamState,
)

ENGINES = ServiceId("engines")
BOOKINGS = ServiceId("bookings")


def make_route(prefix="/chat/", kind=RouteKind.STREAM, **changes):
    """Return a route of the host ``fleet.example``; ``changes`` replace its fields."""
    values = {
        "id": RouteId("r" + prefix.replace("/", "-")),
        "host": "fleet.example",
        "prefix": prefix,
        "kind": kind,
        "targets": ((ENGINES, 1),),
        "timeout_s": 10.0,
        "target_s": 0.6,
        "attempts_max": 2,
    }
    return Route(**{**values, **changes})


def make_table(*routes, version=1, customers=None, services=None):
    """Return a routing table with the given routes."""
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(entries, key=lambda route: -len(route.prefix)))
        for host, entries in by_host.items()
    }
    services = services or (
        Service(ENGINES, 600, 3.0, 20.0, EngineTraits(128, 690_000)),
        Service(BOOKINGS, 110, 0.0, 0.0),
    )
    return RoutingTable(
        version=version,
        routes=ordered,
        services={service.id: service for service in services},
        limits=CallerLimits(16384, 4 << 20, 15.0),
        customers=customers,
    )


def make_customer(name="museum", priority=None):
    """Return a customer, by default without a priority."""
    return Customer(CustomerId(name), priority)


def make_parts(name, count):
    """Return ids of prompt parts, which differ by name and are in no order."""
    return tuple(
        PartId(f"{xxhash.xxh32_intdigest(f'{name}-{n}'):08x}") for n in range(count)
    )


def make_upstream(name="u1", zone="a", **changes):
    """Return a warm upstream of the engine service."""
    values = {
        "id": UpstreamId(name),
        "service": ENGINES,
        "address": "127.0.0.1:1",
        "zone": ZoneId(zone),
        "slots": 128,
        "state": UpstreamState.READY,
    }
    return Upstream(**{**values, **changes})


def make_candidate(
    name="u1",
    running=0,
    waiting_tokens=0,
    failure_rate=0.0,
    slowdown=1.0,
    slowdown_share=1.0,
    **changes,
):
    """Return a candidate with the given load."""
    load = UpstreamLoad(
        running,
        waiting_tokens,
        failure_rate,
        slowdown=slowdown,
        slowdown_share=slowdown_share,
    )
    return Candidate(make_upstream(name, **changes), load)


def make_prompt(shared=10_000, own=1_000, key="subject"):
    """Return a prompt with a shared prefix."""
    return Prompt(key, shared, own, 400)
