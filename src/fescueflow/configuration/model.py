"""Validated configuration of the fleet: groups, routes and customers."""

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

# Paths that an upstream may normalize to a different path. They match no prefix, so
# that "/archive/../payouts" is not taken for an archive lookup.
AMBIGUOUS_PATH_PATTERN = re.compile(
    r"//|\\|/\.{1,2}(/|$)|;|%(2[ef]|5c|3b|25|00)", re.IGNORECASE
)


class Affinity(Enum):
    """What requests must share to be sent to the same upstream.

    ``BRIEF`` is a long prompt shared by many chats, ``CHAT`` a single chat.
    """

    BRIEF = "brief"
    CHAT = "chat"


@dataclass(frozen=True, slots=True)
class Group:
    """Upstreams that share limits.

    ``warm_limit`` and ``cold_limit`` bound the requests in flight at one upstream.
    ``load_factor`` is the load bound of an upstream as a multiple of the group's
    mean load. ``export_after_leave_ms`` is how long after a leave an engine may
    still be asked to export cached prefixes; 0 means never.
    """

    id: GroupId
    kind: UpstreamKind
    warm_limit: int
    cold_limit: int
    load_factor: float
    export_after_leave_ms: int = 0


@dataclass(frozen=True, slots=True)
class ModelRoute:
    """Group of engines, model and version behind a customer's model alias."""

    group: GroupId
    model: str
    version: str
    idempotent: bool
    priority: Priority


@dataclass(frozen=True, slots=True)
class Operation:
    """Declared operation of a service; a path that ends in ``*`` is a prefix."""

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
        """Return the operation that a call belongs to.

        An exact path takes precedence over a prefix, and a longer prefix over a
        shorter one.

        Parameters
        ----------
        method : str
            HTTP method, compared case-sensitively.
        path : str
            Request path; a query string is ignored.

        Returns
        -------
        Operation
            Declared operation. If none matches, or if only a prefix could match a
            path that an upstream may normalize, a non-idempotent operation with
            standard priority.
        """
        path_only = path.partition("?")[0]
        ambiguous = AMBIGUOUS_PATH_PATTERN.search(path_only) is not None
        best: Operation | None = None
        for operation in self.operations:
            if operation.method != method:
                continue
            if operation.path == path_only and not path_only.endswith("*"):
                return operation
            if not operation.path.endswith("*") or ambiguous:
                continue
            if not path_only.startswith(operation.path[:-1]):
                continue
            if best is None or len(operation.path) > len(best.path):
                best = operation
        return best or Operation(method, path_only, False, Priority.STANDARD)


@dataclass(frozen=True, slots=True)
class Customer:
    """Routes and share of one customer.

    ``share`` is the customer's weight. Empty ``zones`` means all zones.
    """

    id: CustomerId
    share: int
    affinity: Affinity
    zones: frozenset[ZoneId]
    models: dict[str, ModelRoute]
    services: dict[str, ServiceRoute]


@dataclass(frozen=True, slots=True)
class Configuration:
    """One valid revision; ``digest`` is the SHA-256 of its manifest.

    ``withdrawn`` and ``leaving`` are the zones and upstreams that operators have taken
    out of service.
    """

    revision: Revision
    digest: bytes
    withdrawn: frozenset[ZoneId]
    leaving: frozenset[UpstreamId]
    groups: dict[GroupId, Group]
    customers: dict[CustomerId, Customer]


def describe_customer(customer: Customer) -> dict[str, Any]:
    """Return a customer as a JSON-compatible dict."""
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


def accepts_new_requests(
    upstream: ListedUpstream, configuration: Configuration
) -> bool:
    """Return whether an upstream may receive new requests.

    It must be live in the platform's list, and neither it nor its zone may be taken out
    of service by the configuration.
    """
    return (
        upstream.state is ListState.LIVE
        and upstream.id not in configuration.leaving
        and upstream.zone not in configuration.withdrawn
    )


def describe_configuration(
    configuration: Configuration, customer: str | None = None
) -> dict[str, Any]:
    """Return a configuration as a JSON-compatible dict.

    Parameters
    ----------
    configuration : Configuration
    customer : str, optional
        Id of a customer to describe in full under the key ``customer``; the value
        there is ``None`` if the customer is unknown. Without an id only the number of
        customers is included.

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
    "accepts_new_requests",
]
