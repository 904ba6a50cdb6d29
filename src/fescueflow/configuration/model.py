"""Checked configuration of the fleet: groups, routes and customers."""

import re
from dataclasses import dataclass
from enum import Enum
from typing import Any

from fescueflow.core import (
    CustomerId,
    GroupId,
    ListState,
    Priority,
    Revision,
    UpstreamId,
    UpstreamKind,
    ZoneId,
)
from fescueflow.platform import ListedUpstream

# Paths that an upstream may resolve to another path than the one written. They
# match no prefix, so that "/archive/../payouts" is not taken for an archive lookup.
AMBIGUOUS_PATH = re.compile(
    r"//|\\|/\.{1,2}(/|$)|;|%(2[ef]|5c|3b|25|00)", re.IGNORECASE
)


class Affinity(Enum):
    """What binds requests to the same upstream."""

    BRIEF = "brief"
    CHAT = "chat"


@dataclass(frozen=True, slots=True)
class Group:
    """Upstreams that share limits.

    ``warm_limit`` and ``cold_limit`` are requests in flight at one upstream;
    ``load_factor`` is the load bound as a multiple of the group's mean.
    ``export_after_leave_ms`` is how long after a leave engines may still be asked
    to export cached prefixes; 0 for never.
    """

    id: GroupId
    kind: UpstreamKind
    warm_limit: int
    cold_limit: int
    load_factor: float
    export_after_leave_ms: int = 0


@dataclass(frozen=True, slots=True)
class ModelRoute:
    """Engines, model and version behind a customer's model alias."""

    group: GroupId
    model: str
    version: str
    idempotent: bool
    priority: Priority


@dataclass(frozen=True, slots=True)
class Operation:
    """Operation of a plain service; a path that ends in ``*`` is a prefix."""

    method: str
    path: str
    idempotent: bool
    priority: Priority


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Group and declared operations behind a customer's service name."""

    group: GroupId
    operations: tuple[Operation, ...]

    def match(self, method: str, path: str) -> Operation:
        """Return the operation that a call is.

        An exact path goes before a prefix, a longer prefix before a shorter
        one.

        Parameters
        ----------
        method : str
        path : str
            A query string is ignored.

        Returns
        -------
        Operation
            A call that matches no declared operation, or whose path an upstream
            may resolve differently, is non-idempotent with standard priority.
        """
        plain = path.partition("?")[0]
        ambiguous = AMBIGUOUS_PATH.search(plain) is not None
        best: Operation | None = None
        for operation in self.operations:
            if operation.method != method:
                continue
            if operation.path == plain and not plain.endswith("*"):
                return operation
            if not operation.path.endswith("*") or ambiguous:
                continue
            if not plain.startswith(operation.path[:-1]):
                continue
            if best is None or len(operation.path) > len(best.path):
                best = operation
        return best or Operation(method, plain, False, Priority.STANDARD)


@dataclass(frozen=True, slots=True)
class Customer:
    """Routes and share of one customer; empty ``zones`` means all zones."""

    id: CustomerId
    share: int
    affinity: Affinity
    zones: frozenset[ZoneId]
    models: dict[str, ModelRoute]
    services: dict[str, ServiceRoute]


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted revision; ``digest`` is the SHA-256 of its manifest."""

    revision: Revision
    digest: bytes
    withdrawn: frozenset[ZoneId]
    leaving: frozenset[UpstreamId]
    groups: dict[GroupId, Group]
    customers: dict[CustomerId, Customer]


def describe_customer(customer: Customer) -> dict[str, Any]:
    """Return a customer as JSON values."""
    return {
        "id": customer.id,
        "share": customer.share,
        "affinity": customer.affinity.value,
        "zones": sorted(customer.zones),
        "models": {
            alias: {
                "group": route.group,
                "model": route.model,
                "version": route.version,
                "idempotent": route.idempotent,
                "priority": route.priority.name.lower(),
            }
            for alias, route in sorted(customer.models.items())
        },
        "services": {
            name: {
                "group": route.group,
                "operations": [
                    {
                        "method": operation.method,
                        "path": operation.path,
                        "idempotent": operation.idempotent,
                        "priority": operation.priority.name.lower(),
                    }
                    for operation in route.operations
                ],
            }
            for name, route in sorted(customer.services.items())
        },
    }


def may_get_work(upstream: ListedUpstream, configuration: Configuration) -> bool:
    """Return whether neither the list nor the operators keep work from an upstream."""
    return (
        upstream.state is ListState.LIVE
        and upstream.id not in configuration.leaving
        and upstream.zone not in configuration.withdrawn
    )


def describe_configuration(
    configuration: Configuration, customer: str | None = None
) -> dict[str, Any]:
    """Return a configuration as JSON values.

    Parameters
    ----------
    configuration : Configuration
    customer : str, optional
        Id of a customer to describe in full under ``customer``, ``None`` there if
        it is unknown. Without it only the number of customers is given.

    Returns
    -------
    dict
    """
    description: dict[str, Any] = {
        "revision": configuration.revision,
        "digest": configuration.digest.hex(),
        "zones": {"withdrawn": sorted(configuration.withdrawn)},
        "upstreams": {"leaving": sorted(configuration.leaving)},
        "groups": {
            group.id: {
                "kind": group.kind.value,
                "warm_limit": group.warm_limit,
                "cold_limit": group.cold_limit,
                "load_factor": group.load_factor,
                "export_after_leave_ms": group.export_after_leave_ms,
            }
            for group in sorted(configuration.groups.values(), key=lambda g: g.id)
        },
        "customers_count": len(configuration.customers),
    }
    if customer is not None:
        found = configuration.customers.get(CustomerId(customer))
        description["customer"] = describe_customer(found) if found else None
    return description


__all__ = [
    "Affinity",
    "Configuration",
    "Customer",
    "Group",
    "ModelRoute",
    "Operation",
    "ServiceRoute",
    "describe_configuration",
    "describe_customer",
    "may_get_work",
]
