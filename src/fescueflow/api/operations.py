"""Endpoints for operators."""

import json
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from fescueflow.admission import AdmissionService
from fescueflow.api.serving_instances import ServingInstances
from fescueflow.api.wsgi import parse_integer
from fescueflow.audit import AuditTrail
from fescueflow.configuration import ConfigurationStore, describe_configuration
from fescueflow.core import NotReady, UnknownCustomer
from fescueflow.delivery import Dispatcher
from fescueflow.membership import MembershipService
from fescueflow.metrics import Metrics
from fescueflow.rights import RightsService

JSON_CONTENT_TYPE = "application/json"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
NDJSON_CONTENT_TYPE = "application/x-ndjson"

Query = Mapping[str, str]


@dataclass(frozen=True)
class EndpointResponse:
    """Complete HTTP response."""

    status: int
    content_type: str
    body: bytes


def to_json(value: Any) -> Any:
    """Convert a value that ``json`` can't encode."""
    if isinstance(value, Enum):
        return value.name.lower() if isinstance(value, int) else value.value
    if isinstance(value, frozenset | set):
        return sorted(value)
    return value.hex() if isinstance(value, bytes) else str(value)


def make_json_response(value: Any, status: int = 200) -> EndpointResponse:
    """Return a response with a value encoded as JSON."""
    body = json.dumps(value, default=to_json, sort_keys=True).encode()
    return EndpointResponse(status, JSON_CONTENT_TYPE, body + b"\n")


class OperationsService:
    """Serves the operators' endpoints."""

    def __init__(
        self,
        *,
        serving_instances: ServingInstances,
        dispatcher: Dispatcher,
        rights: RightsService,
        membership: MembershipService,
        store: ConfigurationStore,
        admission: AdmissionService,
        metrics: Metrics,
        audit: AuditTrail,
        readiness: Callable[[], bool],
    ) -> None:
        self._serving_instances = serving_instances
        self._dispatcher = dispatcher
        self._rights = rights
        self._membership = membership
        self._store = store
        self._admission = admission
        self._metrics = metrics
        self._audit = audit
        self._readiness = readiness
        self.endpoints: dict[str, Callable[[Query], EndpointResponse]] = {
            "/healthz": lambda query: make_json_response({"status": "ok"}),
            "/readyz": self._show_readiness,
            "/metrics": self._show_metrics,
            "/v1/status": self._show_status,
            "/v1/audit": self._show_audit,
            "/v1/configuration": self._show_configuration,
        }

    def _is_ready(self) -> bool:
        return self._readiness() and not self._dispatcher.has_failed_stream_loop()

    def _show_readiness(self, query: Query) -> EndpointResponse:
        ready, leaving = self._is_ready(), self._serving_instances.is_leaving()
        # After a pause, callers are redirected until the configuration is current.
        moved = self._serving_instances.must_redirect()
        status = 200 if ready and not leaving and not moved else 503
        readiness = {"ready": ready, "leaving": leaving, "moved": moved}
        return make_json_response(readiness, status)

    def _show_metrics(self, query: Query) -> EndpointResponse:
        return EndpointResponse(
            200, METRICS_CONTENT_TYPE, self._metrics.render().encode()
        )

    def _show_status(self, query: Query) -> EndpointResponse:
        configuration = self._store.get()
        own = self._membership.get_own_member()
        return make_json_response(
            {
                "instance": own.instance,
                "incarnation": f"{own.incarnation:016x}",
                "zone": own.zone,
                "region": own.region,
                "state": own.state,
                "ready": self._is_ready(),
                "leaving": self._serving_instances.is_leaving(),
                "fenced": self._rights.is_fenced(),
                "revision": configuration.revision if configuration else None,
                "requests_running": self._dispatcher.count_running_requests(),
                "members": [
                    asdict(m) | {"incarnation": f"{m.incarnation:016x}"}
                    for m in self._membership.get_members()
                ],
                "upstreams": [asdict(s) for s in self._admission.get_status()],
            }
        )

    def _show_audit(self, query: Query) -> EndpointResponse:
        after = parse_integer(query.get("after", "0"), "after")
        instance, incarnation = self._audit.instance, self._audit.incarnation
        records = self._audit.read_after(after)
        lines = "".join(f"{r.to_json(instance, incarnation)}\n" for r in records)
        return EndpointResponse(200, NDJSON_CONTENT_TYPE, lines.encode())

    def _show_configuration(self, query: Query) -> EndpointResponse:
        configuration = self._store.get()
        if configuration is None:
            raise NotReady("no configuration is in force")
        description = describe_configuration(configuration, query.get("customer"))
        if "customer" in query and description["customer"] is None:
            raise UnknownCustomer("the customer is not configured")
        return make_json_response(description)


__all__ = [
    "JSON_CONTENT_TYPE",
    "EndpointResponse",
    "OperationsService",
    "make_json_response",
]
