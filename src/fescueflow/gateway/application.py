"""WSGI applications for callers and for the platform's own questions."""

import json
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import logbook

from fescueflow.core import Clock, InvalidRequest, RequestError, describe_error
from fescueflow.gateway.calls import Answer, Call
from fescueflow.gateway.forwarding import Forwarder
from fescueflow.gateway.peers import PeerTable, choose_addresses
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
JSON_TYPE = "application/json"
# Addresses in one answer; callers use no more.
ADDRESSES_MAX = 64
REASONS = {
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


def read_call(environ: Environment, now: float) -> Call:
    """Return the call that a request holds.

    Raises
    ------
    InvalidRequest
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        raise InvalidRequest("the body is not complete")
    is_gone = environ.get("waitress.client_disconnected")
    return Call(
        method=environ["REQUEST_METHOD"],
        target=environ[REQUEST_URI],
        host=environ.get("HTTP_HOST", ""),
        headers=read_call_headers(list(iterate_headers(environ))),
        body=body,
        received_at=now,
        is_caller_gone=is_gone or (lambda: False),
    )


class CallerApplication:
    """Serves callers.

    Parameters
    ----------
    forwarder : Forwarder
    clock : Clock
    metrics : Metrics
    """

    def __init__(self, *, forwarder: Forwarder, clock: Clock, metrics: Metrics) -> None:
        self._forwarder = forwarder
        self._clock = clock
        self._metrics = metrics

    def __call__(
        self, environ: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        began = self._clock.monotonic()
        attempt_id = environ.get(ATTEMPT_ID_VARIABLE, "")
        try:
            answer = self._forwarder.forward(read_call(environ, began))
        except RequestError as error:
            answer = make_error_answer(error)
            self._note_failure(attempt_id, error, began)
        else:
            took_s = self._clock.monotonic() - began
            log.info(
                "answered",
                extra={
                    "id": attempt_id,
                    "status": answer.status,
                    "after_ms": round(took_s * 1000),
                },
            )
            self._metrics.count("requests", outcome="answered")
            self._metrics.observe("answer_start", took_s)
        headers = answer.headers
        body = answer.body
        if isinstance(body, bytes):
            headers = [*headers, ("Content-Length", str(len(body)))]
            body = (body,)  # type: ignore[assignment]
        reason = REASONS.get(answer.status, "Status")
        start_response(f"{answer.status} {reason}", headers)
        return body  # type: ignore[return-value]

    def _note_failure(self, attempt_id: str, error: RequestError, began: float) -> None:
        log.warning(
            "not answered",
            extra={
                "id": attempt_id,
                "status": error.status,
                "type": error.type,
                "outcome": error.outcome.value,
                "why": error.message,
                "retry_after_ms": error.retry_after_ms,
                "after_ms": round((self._clock.monotonic() - began) * 1000),
            },
        )
        self._metrics.count("requests", outcome=error.type)


def make_error_answer(error: RequestError) -> Answer:
    """Return the answer for a request that no upstream has answered."""
    body = json.dumps(describe_error(error)).encode()
    headers = [("Content-Type", JSON_TYPE)]
    if error.retry_after_ms is not None:
        headers.append(("Retry-After", f"{error.retry_after_ms / 1000:.2f}"))
    return Answer(error.status, headers, body)


class PageApplication:
    """Answers where to connect, whether the instance is ready, and its metrics.

    Parameters
    ----------
    peers : PeerTable
    clock : Clock
    metrics : Metrics
    is_ready : callable
    get_keep_s : callable
        Returns how long callers may keep an answer, in seconds.
    """

    def __init__(
        self,
        *,
        peers: PeerTable,
        clock: Clock,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        get_keep_s: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._get_keep_s = get_keep_s

    def __call__(
        self, environ: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        status, content_type, body = self._answer(
            environ.get("PATH_INFO", ""), environ.get("QUERY_STRING", "")
        )
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(f"{status} {REASONS[status]}", headers)
        return [body]

    def _answer(self, path: str, query: str) -> tuple[int, str, bytes]:
        if path == READY_PATH:
            return (200 if self._is_ready() else 503), JSON_TYPE, b"{}"
        if path == METRICS_PATH:
            return 200, "text/plain", self._metrics.render().encode()
        if path != RESOLVE_PATH:
            return 404, JSON_TYPE, b"{}"
        zone = parse_qs(query).get("zone", [""])[0]
        serving = self._peers.list_serving(self._clock.monotonic())
        addresses = choose_addresses(serving, zone, ADDRESSES_MAX)
        if not addresses:
            return 503, JSON_TYPE, b"{}"
        return 200, JSON_TYPE, make_directory_body(addresses, self._get_keep_s())


__all__ = ["REQUEST_URI", "CallerApplication", "PageApplication"]
