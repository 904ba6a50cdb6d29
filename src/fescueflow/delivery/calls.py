"""Calls, and their resolution to upstream requests by the configuration."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

from fescueflow.configuration import Configuration, Customer, ModelRoute
from fescueflow.core import (
    CustomerId,
    GroupId,
    InvalidRequest,
    Priority,
    UnknownCustomer,
    UnknownModel,
)
from fescueflow.placement import PlacementService

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/v1/services/"
FESCUEFLOW_HEADER_PREFIX = "fescueflow-"
# Hop-by-hop headers, and headers that this instance sets itself.
REQUEST_HEADERS_DROPPED = {
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
}

Headers = list[tuple[str, str]]


@dataclass
class CallerRequest:
    """A request as the caller sent it.

    Attributes
    ----------
    customer, method : str
    path : str
        Percent-encoded, with the query.
    headers : tuple of (str, str)
    body : bytes
    request_id : str or None
        Id that the caller sent.
    deadline_ms : int or None
        Time limit that the caller sent.
    assigned_id : str or None
        Set during dispatch: the request id that the response names.
    """

    customer: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str | None = None
    deadline_ms: int | None = None
    assigned_id: str | None = None

    def get_header(self, name: str) -> str | None:
        """Return the value of a header, or ``None`` if it is missing or empty."""
        for header, value in self.headers:
            if header.lower() == name.lower() and value:
                return value
        return None


@dataclass
class Response:
    """Response to the caller; a body that is not ``bytes`` is streamed."""

    status: int
    headers: Headers
    body: bytes | Iterable[bytes]


@dataclass(frozen=True)
class ResolvedRequest:
    """A call with its customer, route and upstream request.

    Attributes
    ----------
    customer : Customer
    group : GroupId
        Upstreams that can serve the call.
    priority : Priority
    idempotent : bool
        Whether the call may be sent again after a failure.
    streamed : bool
        Whether the caller asked for a stream of tokens.
    method, target : str
        Request line for the upstream.
    headers : list of (str, str)
    body : bytes
        The caller's body, which a call without ``document`` sends unchanged.
    document : dict or None
        JSON object for the engine; ``None`` for a call to a plain service.
    affinity_key : str
        Key that places calls with the same prefix at the same upstream.
    placement_token : str or None
        Token of an earlier response, which names the upstream that served it.
    """

    customer: Customer
    group: GroupId
    priority: Priority
    idempotent: bool
    streamed: bool
    method: str
    target: str
    headers: Headers
    body: bytes
    document: dict[str, Any] | None
    affinity_key: str
    placement_token: str | None

    def build_body(self, resume_from: int = 0) -> bytes:
        """Return the body for the upstream.

        Parameters
        ----------
        resume_from : int, optional
            Number of tokens that the caller already has.
        """
        if self.document is None:
            return self.body
        document = dict(self.document)
        if resume_from:
            document["resume_from"] = resume_from
        return json.dumps(document).encode()


@dataclass(frozen=True)
class Route:
    """Fields of a resolved call that depend on the kind of upstream."""

    group: GroupId
    priority: Priority
    idempotent: bool
    target: str
    model: ModelRoute | None = None
    document: dict[str, Any] = field(default_factory=dict)


def parse_document(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a chat request.

    Raises
    ------
    InvalidRequest
        If the body is not a JSON object with a model name.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequest("the body is not valid JSON") from error
    if not isinstance(document, dict) or not isinstance(document.get("model"), str):
        raise InvalidRequest("the body is not an object with a model name")
    return document


def route_chat(customer: Customer, call: CallerRequest) -> Route:
    """Return the route of a chat request."""
    if call.method != "POST":
        raise InvalidRequest("chat completions need the method POST")
    document = parse_document(call.body)
    model = customer.models.get(document["model"])
    if model is None:
        raise UnknownModel("the customer has no such model")
    target = CHAT_PATH
    return Route(model.group, model.priority, model.idempotent, target, model, document)


def route_service(customer: Customer, call: CallerRequest) -> Route:
    """Return the route of a service request."""
    path, _, query = call.path.removeprefix(SERVICES_PATH).partition("?")
    name, _, rest = path.partition("/")
    service = customer.services.get(unquote(name))
    if service is None:
        raise UnknownModel("the customer has no such service")
    decoded = "/" + unquote(rest)
    # With dot segments, a path could match one operation and reach another.
    if any(segment in {".", ".."} for segment in decoded.replace("\\", "/").split("/")):
        raise InvalidRequest("the path has dot segments")
    operation = service.match(call.method, decoded)
    target = f"/{rest}?{query}" if query else f"/{rest}"
    return Route(service.group, operation.priority, operation.idempotent, target)


def select_headers(call: CallerRequest) -> Headers:
    """Return the headers that are forwarded to the upstream."""
    return [
        (name, value)
        for name, value in call.headers
        if name.lower() not in REQUEST_HEADERS_DROPPED
        and not name.lower().startswith(FESCUEFLOW_HEADER_PREFIX)
    ]


def build_engine_document(route: Route, affinity_key: str) -> dict[str, Any]:
    """Return the JSON object that is sent to the engine."""
    if route.model is None:
        raise ValueError("the route has no model")
    document = {k: v for k, v in route.document.items() if k != "resume_from"}
    document["model"] = route.model.model
    document["version"] = route.model.version
    document["priority"] = int(route.priority)
    document["cache_key"] = affinity_key
    return document


def resolve_call(
    configuration: Configuration, placement: PlacementService, call: CallerRequest
) -> ResolvedRequest:
    """Return the call with its customer, route and upstream request.

    Raises
    ------
    UnknownCustomer, UnknownModel, InvalidRequest
    """
    customer = configuration.customers.get(CustomerId(call.customer))
    if customer is None:
        raise UnknownCustomer("the customer is not configured")
    path = call.path.partition("?")[0]
    if path == CHAT_PATH:
        route = route_chat(customer, call)
    elif path.startswith(SERVICES_PATH):
        route = route_service(customer, call)
    else:
        raise InvalidRequest("no such path")
    affinity_key = placement.choose_affinity_key(
        customer,
        call.get_header("Fescueflow-Affinity"),
        call.get_header("Fescueflow-Chat"),
        call.body,
    )
    document, headers = None, select_headers(call)
    if route.model is not None:
        document = build_engine_document(route, affinity_key)
        headers = [("Content-Type", "application/json")]
    return ResolvedRequest(
        customer=customer,
        group=route.group,
        priority=route.priority,
        idempotent=route.idempotent,
        streamed=document is not None and document.get("stream") is True,
        method=call.method,
        target=route.target,
        headers=headers,
        body=call.body,
        document=document,
        affinity_key=affinity_key,
        placement_token=call.get_header("Fescueflow-Placement"),
    )


__all__ = ["CallerRequest", "Headers", "ResolvedRequest", "Response", "resolve_call"]
