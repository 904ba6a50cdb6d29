"""WSGI application for callers and operators."""

import http.client
import secrets
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from fescueflow.admission import AdmissionService
from fescueflow.api.address import AddressService
from fescueflow.api.errors import UnknownPath
from fescueflow.api.operations import (
    JSON_CONTENT_TYPE,
    OperationsService,
    make_json_response,
)
from fescueflow.api.serving_instances import ServingInstances
from fescueflow.api.wsgi import Environment, get_path, parse_call, parse_query
from fescueflow.audit import AuditKind, AuditTrail
from fescueflow.configuration import ConfigurationStore
from fescueflow.core import (
    Clock,
    Moved,
    Outcome,
    RequestError,
    SystemClock,
    describe_error,
)
from fescueflow.delivery import CallerRequest, Dispatcher, Response, StreamBody
from fescueflow.membership import ListService, MembershipService
from fescueflow.metrics import Metrics
from fescueflow.placement import PlacementService
from fescueflow.requests import RequestService
from fescueflow.rights import RightsService
from fescueflow.schema import Settings

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/v1/services/"
ADDRESS_PATH = "/v1/address"
REQUEST_ID_VARIABLE = "HTTP_FESCUEFLOW_REQUEST_ID"
# WSGI environment key of the server's non-blocking write function.
TRY_WRITE_KEY = "fescueflow.try_write"
# Bodies are written in chunks to keep the server's output buffer small.
BODY_CHUNK_BYTES = 65536
AUDIT_TEXT_CHARS_MAX = 256

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


def split_body(body: bytes) -> Iterator[bytes]:
    """Yield a body in chunks."""
    for start in range(0, len(body), BODY_CHUNK_BYTES):
        yield body[start : start + BODY_CHUNK_BYTES]


def close_body(body: Any) -> None:
    """Close a body that has a ``close`` method."""
    close = getattr(body, "close", None)
    if close is not None:
        close()


class Application:
    """WSGI callable for calls, addresses and the operators' endpoints."""

    def __init__(
        self,
        *,
        settings: Settings,
        dispatcher: Dispatcher,
        address_service: AddressService,
        operations_service: OperationsService,
        serving_instances: ServingInstances,
        metrics: Metrics,
        audit: AuditTrail,
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._address_service = address_service
        self._operations_service = operations_service
        self._serving_instances = serving_instances
        self._metrics = metrics
        self._audit = audit

    def __call__(
        self, environ: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = get_path(environ)
        if path == CHAT_PATH or path.startswith(SERVICES_PATH):
            response = self._serve_call(environ)
        else:
            response = self._serve_endpoint(environ, path)
        status = (
            f"{response.status} {http.client.responses.get(response.status, 'Other')}"
        )
        headers = list(response.headers)
        headers.append(("Fescueflow-Instance", self._settings.instance_id))
        body = response.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            start_response(status, headers)
            return split_body(body)
        try_write = environ.get(TRY_WRITE_KEY)
        if isinstance(body, StreamBody) and try_write is not None:
            body.attach_writer(try_write)
        try:
            start_response(status, headers)
        except BaseException:
            close_body(body)
            raise
        return body

    def _serve_endpoint(self, environ: Environment, path: str) -> Response:
        try:
            endpoint = self._operations_service.endpoints.get(path)
            if environ["REQUEST_METHOD"] not in {"GET", "HEAD"}:
                raise UnknownPath("no such path with this method")
            if path == ADDRESS_PATH:
                response = make_json_response(
                    self._address_service.answer(parse_query(environ))
                )
            elif endpoint is not None:
                response = endpoint(parse_query(environ))
            else:
                raise UnknownPath("no such path")
        except RequestError as error:
            return self._make_error_response(error, None)
        except Exception as error:  # noqa: BLE001
            return self._make_error_response(self._make_internal_error(error), None)
        return Response(
            response.status, [("Content-Type", response.content_type)], response.body
        )

    def _serve_call(self, environ: Environment) -> Response:
        try:
            call = self._parse_call(environ)
        except RequestError as error:
            if environ.get(REQUEST_ID_VARIABLE) is not None:
                # An earlier attempt with this id may have run; only its owner knows.
                error.outcome = Outcome.UNKNOWN
            self._record_refusal(environ, error)
            return self._make_error_response(error, None)
        try:
            response = self._dispatcher.dispatch(call)
        except RequestError as error:
            return self._make_error_response(error, call.assigned_id)
        except Exception as error:  # noqa: BLE001
            return self._make_error_response(
                self._make_internal_error(error), call.assigned_id
            )
        if call.assigned_id is not None:
            response.headers.append(("Fescueflow-Request-Id", call.assigned_id))
        return response

    def _parse_call(self, environ: Environment) -> CallerRequest:
        call = parse_call(environ, self._settings)
        if self._serving_instances.must_redirect():
            raise Moved("this instance no longer serves callers")
        return call

    def _make_internal_error(self, error: Exception) -> RequestError:
        self._metrics.count("internal_errors", kind=type(error).__name__)
        return RequestError(f"internal error ({type(error).__name__})")

    def _make_error_response(
        self, error: RequestError, request_id: str | None
    ) -> Response:
        if isinstance(error, Moved) and error.address is None:
            error.address = self._serving_instances.choose_redirect_address(
                secrets.token_hex(8)
            )
        self._metrics.count("errors", type=error.type)
        response = make_json_response(describe_error(error), error.status)
        headers = [("Content-Type", JSON_CONTENT_TYPE)]
        if request_id is not None:
            headers.append(("Fescueflow-Request-Id", request_id))
        return Response(error.status, headers, response.body)

    def _record_refusal(self, environ: Environment, error: RequestError) -> None:
        is_refusal = error.outcome is Outcome.NOT_RUN
        customer = environ.get("HTTP_FESCUEFLOW_CUSTOMER", "")
        request_id = environ.get(REQUEST_ID_VARIABLE)
        self._audit.record(
            AuditKind.REQUEST_REFUSED if is_refusal else AuditKind.REQUEST_UNKNOWN,
            customer=customer[:AUDIT_TEXT_CHARS_MAX],
            request_id=request_id[:AUDIT_TEXT_CHARS_MAX] if request_id else None,
            request_class="unresolved",
            upstream=None,
            outcome=error.outcome.value,
            error=error.type,
            duration_ms=0.0,
        )


def make_application(
    *,
    settings: Settings,
    dispatcher: Dispatcher,
    requests: RequestService,
    placement: PlacementService,
    rights: RightsService,
    membership: MembershipService,
    list_service: ListService,
    store: ConfigurationStore,
    admission: AdmissionService,
    metrics: Metrics,
    audit: AuditTrail,
    readiness: Callable[[], bool],
    clock: Clock | None = None,
) -> Application:
    """Return the WSGI application of an instance.

    Parameters
    ----------
    readiness : callable
        Returns whether the instance has finished starting.
    clock : Clock, optional
        ``SystemClock`` by default.
    """
    serving_instances = ServingInstances(
        settings=settings,
        membership=membership,
        list_service=list_service,
        store=store,
        rights=rights,
        clock=clock or SystemClock(),
    )
    address_service = AddressService(
        settings=settings,
        serving_instances=serving_instances,
        requests=requests,
        placement=placement,
        store=store,
    )
    operations_service = OperationsService(
        serving_instances=serving_instances,
        dispatcher=dispatcher,
        rights=rights,
        membership=membership,
        store=store,
        admission=admission,
        metrics=metrics,
        audit=audit,
        readiness=readiness,
    )
    return Application(
        settings=settings,
        dispatcher=dispatcher,
        address_service=address_service,
        operations_service=operations_service,
        serving_instances=serving_instances,
        metrics=metrics,
        audit=audit,
    )


__all__ = ["TRY_WRITE_KEY", "Application", "make_application"]
