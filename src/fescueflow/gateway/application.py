"""WSGI applications for caller requests and for address lookup and status."""

import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any
from urllib.parse import parse_qs

import logbook

from fescueflow.core import (
    Clock,
    DeadlineExceeded,
    InvalidRequest,
    Moved,
    RequestError,
    describe_error,
)
from fescueflow.gateway.caller_bodies import read_whole
from fescueflow.gateway.departure import Departure, Stage
from fescueflow.gateway.forwarding import Forwarder
from fescueflow.gateway.peers import PeerTable, choose_addresses
from fescueflow.gateway.requests import CallerRequest, Response
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    ATTEMPT_ID_VARIABLE,
    METRICS_PATH,
    READY_PATH,
    RESOLVE_PATH,
    Headers,
    make_directory_body,
    read_call_headers,
)

REQUEST_URI = "fescueflow.request_uri"
# When the request had been read, on the monotonic clock in seconds.
READ_AT = "fescueflow.read_at"
JSON_TYPE = "application/json"
# Addresses in one response; callers use no more.
ADDRESSES_MAX = 64
# Size of the parts in which a large body is given to the server.
BODY_PART_BYTES = 1 << 16
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    413: "Content Too Large",
    499: "Client Closed Request",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

Environment = dict[str, Any]
StartResponse = Callable[[str, Headers], Any]

log = logbook.Logger("gateway")


def iterate_headers(environ: Environment) -> Iterable[tuple[str, str]]:
    """Yield the request headers."""
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            yield name[5:].replace("_", "-").title(), value
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", environ["CONTENT_TYPE"]


def read_request(
    environ: Environment, now: float, departure: Departure
) -> CallerRequest:
    """Return the caller's request in a WSGI environment.

    Notes
    -----
    Whoever waits for an upstream asks regularly whether the caller has disconnected,
    and is told there when the instance ends.

    Raises
    ------
    InvalidRequest
        If the body is shorter than its declared length.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = read_whole(environ["wsgi.input"], length) if length else b""
    if len(body) != length:
        raise InvalidRequest("the request body is incomplete")
    is_disconnected = environ.get("waitress.client_disconnected") or (lambda: False)

    def check_caller() -> bool:
        if departure.get_stage() is Stage.ENDING:
            raise DeadlineExceeded("the instance stops before the answer is complete")
        return bool(is_disconnected())

    return CallerRequest(
        method=environ["REQUEST_METHOD"],
        target=environ[REQUEST_URI],
        host=environ.get("HTTP_HOST", ""),
        headers=read_call_headers(list(iterate_headers(environ))),
        body=body,
        received_at=now,
        is_caller_disconnected=check_caller,
    )


def iterate_body(response: Response, body: bytes) -> Iterable[bytes]:
    """Return a body in parts; the last one is taken before its buffer is released.

    Notes
    -----
    The server takes further parts when the caller has taken most of the last ones, so
    that it does not hold a copy of a large body.
    """
    if len(body) <= BODY_PART_BYTES:
        return (body,)

    def iterate_parts() -> Iterator[bytes]:
        for start in range(0, len(body), BODY_PART_BYTES):
            yield body[start : start + BODY_PART_BYTES]
        response.buffer = None

    return iterate_parts()


class CallerApplication:
    """WSGI application that forwards callers' requests.

    Parameters
    ----------
    forwarder : Forwarder
    clock : Clock
    metrics : Metrics
    on_request : callable
        Called for each request.
    departure : Departure
    """

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        clock: Clock,
        metrics: Metrics,
        on_request: Callable[[], None],
        departure: Departure,
    ) -> None:
        self._departure = departure
        self._on_request = on_request
        self._forwarder = forwarder
        self._clock = clock
        self._metrics = metrics

    def __call__(
        self, environ: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        # A request may have waited for a thread since.
        started_at = environ.get(READ_AT, self._clock.monotonic())
        self._on_request()
        attempt_id = environ.get(ATTEMPT_ID_VARIABLE, "")
        try:
            if self._departure.get_stage() in (Stage.REFUSING, Stage.ENDING):
                raise Moved("the instance stops", retry_after_ms=0)
            request = read_request(environ, started_at, self._departure)
            response = self._forwarder.forward(request)
        except RequestError as error:
            response = make_error_response(error)
            self._record_failure(attempt_id, error, started_at)
        else:
            elapsed_s = self._clock.monotonic() - started_at
            log.info(
                "answered",
                extra={
                    "id": attempt_id,
                    "status": response.status,
                    "after_ms": round(elapsed_s * 1000),
                },
            )
            self._metrics.count("requests", outcome="answered")
            self._metrics.observe("answer_start", elapsed_s)
        headers = response.headers
        body = response.body
        if isinstance(body, bytes):
            if environ["REQUEST_METHOD"] != "HEAD":
                headers = [*headers, ("Content-Length", str(len(body)))]
            body = iterate_body(response, body)  # type: ignore[assignment]
        reason = REASON_PHRASES.get(response.status, "Status")
        start_response(f"{response.status} {reason}", headers)
        return body  # type: ignore[return-value]

    def _record_failure(
        self, attempt_id: str, error: RequestError, started_at: float
    ) -> None:
        log.warning(
            "not answered",
            extra={
                "id": attempt_id,
                "status": error.status,
                "type": error.type,
                "outcome": error.outcome.value,
                "why": error.message,
                "retry_after_ms": error.retry_after_ms,
                "after_ms": round((self._clock.monotonic() - started_at) * 1000),
            },
        )
        self._metrics.count("requests", outcome=error.type)


def make_error_response(error: RequestError) -> Response:
    """Return the JSON response for a request that ended with an error."""
    body = json.dumps(describe_error(error)).encode()
    headers = [("Content-Type", JSON_TYPE)]
    if error.retry_after_ms is not None:
        headers.append(("Retry-After", f"{error.retry_after_ms / 1000:.2f}"))
    return Response(error.status, headers, body)


class StatusApplication:
    """WSGI application for address lookup, readiness and metrics.

    Parameters
    ----------
    peers : PeerTable
    clock : Clock
    metrics : Metrics
    is_ready : callable
        Returns whether callers may be sent to this instance.
    get_address_ttl_s : callable
        Returns how long callers may cache the addresses, in seconds.
    """

    def __init__(
        self,
        *,
        peers: PeerTable,
        clock: Clock,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        get_address_ttl_s: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._get_address_ttl_s = get_address_ttl_s

    def __call__(
        self, environ: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        status, content_type, body = self._answer(
            environ.get("PATH_INFO", ""), environ.get("QUERY_STRING", "")
        )
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(f"{status} {REASON_PHRASES[status]}", headers)
        return [body]

    def _answer(self, path: str, query: str) -> tuple[int, str, bytes]:
        if path == READY_PATH:
            return (200 if self._is_ready() else 503), JSON_TYPE, b"{}"
        if path == METRICS_PATH:
            return 200, "text/plain", self._metrics.render().encode()
        if path != RESOLVE_PATH:
            return 404, JSON_TYPE, b"{}"
        zone = parse_qs(query).get("zone", [""])[0]
        now = self._clock.monotonic()
        addresses = choose_addresses(
            self._peers.list_serving(now),
            zone,
            ADDRESSES_MAX,
            self._peers.list_recent(now),
        )
        if not addresses:
            return 503, JSON_TYPE, b"{}"
        return 200, JSON_TYPE, make_directory_body(addresses, self._get_address_ttl_s())


__all__ = ["READ_AT", "REQUEST_URI", "CallerApplication", "StatusApplication"]
