"""Parsing of calls from the WSGI environment."""

import re
from collections.abc import Iterator
from typing import Any
from urllib.parse import parse_qs, quote

from fescueflow.core import BodyTooLarge, InvalidRequest
from fescueflow.delivery import CallerRequest
from fescueflow.schema import Settings

PATH_SAFE_CHARACTERS = "/:@!$&'()*+,;=~-._"
QUERY_SAFE_CHARACTERS = PATH_SAFE_CHARACTERS + "?%[]"
DEADLINE_MAX_MS = 600_000
INTEGER_PATTERN = re.compile(r"[0-9]{1,18}")

Environment = dict[str, Any]


def get_path(environ: Environment) -> str:
    """Return the percent-encoded path."""
    return quote(
        environ.get("PATH_INFO", "").encode("latin-1"), safe=PATH_SAFE_CHARACTERS
    )


def parse_query(environ: Environment) -> dict[str, str]:
    """Return the first value of each query parameter."""
    parsed = parse_qs(environ.get("QUERY_STRING", ""), errors="replace")
    return {name: values[0] for name, values in parsed.items()}


def parse_integer(text: str, name: str) -> int:
    """Return a non-negative integer of at most 18 digits.

    Raises
    ------
    InvalidRequest
        If the text has another form.
    """
    if not INTEGER_PATTERN.fullmatch(text):
        raise InvalidRequest(f"{name} must be a non-negative integer")
    return int(text)


def iterate_headers(environ: Environment) -> Iterator[tuple[str, str]]:
    """Yield the request headers."""
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            yield name[5:].replace("_", "-").title(), value
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", environ["CONTENT_TYPE"]


def read_body(environ: Environment, limit: int) -> bytes:
    """Return the request body.

    Raises
    ------
    BodyTooLarge
    InvalidRequest
        If the body is shorter than ``Content-Length``.
    """
    length = parse_integer(environ.get("CONTENT_LENGTH") or "0", "Content-Length")
    if length > limit:
        raise BodyTooLarge(f"the body exceeds {limit} bytes")
    body = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        raise InvalidRequest("the body is shorter than Content-Length")
    return body


def parse_call(environ: Environment, settings: Settings) -> CallerRequest:
    """Return the call that a request describes.

    Raises
    ------
    BodyTooLarge, InvalidRequest
    """
    customer = environ.get("HTTP_FESCUEFLOW_CUSTOMER")
    if not customer:
        raise InvalidRequest("the header Fescueflow-Customer is missing")
    deadline = environ.get("HTTP_FESCUEFLOW_DEADLINE_MS")
    deadline_ms = None
    if deadline is not None:
        deadline_ms = parse_integer(deadline, "Fescueflow-Deadline-Ms")
        deadline_ms = max(1, min(deadline_ms, DEADLINE_MAX_MS))
    path = get_path(environ)
    query = quote(
        environ.get("QUERY_STRING", "").encode("latin-1"), safe=QUERY_SAFE_CHARACTERS
    )
    return CallerRequest(
        customer=customer,
        method=environ["REQUEST_METHOD"],
        path=f"{path}?{query}" if query else path,
        headers=tuple(iterate_headers(environ)),
        body=read_body(environ, settings.request_body_max_bytes),
        request_id=environ.get("HTTP_FESCUEFLOW_REQUEST_ID"),
        deadline_ms=deadline_ms,
    )


__all__ = [
    "Environment",
    "get_path",
    "parse_call",
    "parse_integer",
    "parse_query",
]
