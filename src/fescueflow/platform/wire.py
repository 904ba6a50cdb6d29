"""Wire protocol between callers, this instance and upstreams."""

import json
import math
import re
from collections.abc import Iterable
from dataclasses import dataclass

from fescueflow.core import CustomerId, InvalidRequest, UpstreamId
from fescueflow.routing import Prompt, parse_prompt

Headers = list[tuple[str, str]]

READY_PATH = "/readyz"
RESOLVE_PATH = "/resolve"
METRICS_PATH = "/metrics"

ATTEMPT_ID_HEADER = "X-Attempt-Id"
# `X-Attempt-Id` in the environment of a WSGI application (PEP 3333).
ATTEMPT_ID_VARIABLE = "HTTP_X_ATTEMPT_ID"
DEADLINE_MS = "X-Deadline-Ms"
CUSTOMER = "X-Tenant"
EXPECTED_UPSTREAM = "X-Expect-Instance"
# States that the upstream has not run the request and never will.
NOT_RUN_HEADER = "X-Not-Executed"
# Shows that a response comes from an upstream.
UPSTREAM_SEAL_HEADER = "X-Server-Seal"
PROMPT_PARTS = "X-Prefix-Hash"
# Number of prompt tokens and limit of tokens in the response.
TOKEN_COUNTS = "X-Token-Count"  # noqa: S105
LAST_EVENT = "Last-Event-Id"
PRIORITY = "X-Request-Priority"
# Address of an upstream from which the receiver copies the cached part of the prompt.
COPY_FROM = "Kv-Fetch"
# Running and waiting requests at the responding upstream, and its slots. Some add how
# long work takes there at this moment, in percent of the usual time.
UPSTREAM_LOAD_HEADER = "X-Server-Load"
# "1" in all responses of an upstream that is shutting down.
LEAVING_HEADER = "Server-Leaving"
# Seconds for which the upstream wants no requests from this instance.
RETRY_AFTER_HEADER = "Retry-After"
# Longest pause that an upstream can ask for, in seconds.
PAUSE_MAX_S = 300.0
# Requests a second that the upstream takes from all instances together, for as long as
# its answers say so.
LIMIT_HEADER = "Server-Limit"
LIMIT_PATTERN = re.compile(r"(\d+\.?\d*|\.\d+)([eE][+-]?\d{1,3})?", re.ASCII)
# Highest limit that is told from a higher one, in requests a second: above what any
# fleet of this size sends to one upstream.
LIMIT_MAX_PER_S = 1e6
# Digits of a figure in the load header, above any count of requests; longer numbers
# would take time to convert.
LOAD_DIGITS_MAX = 9

# Fields that upstreams add to events, besides those of the format.
EVENT_FIELDS = frozenset({b"x-weight-versions"})

MISDIRECTED_STATUS = 421
REFUSED_STATUSES = frozenset({408, 421, 429, 503})
# Headers that concern one connection and are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers that only instances may set, or that hold the caller's API key.
RESERVED_HEADERS = frozenset(
    {
        "authorization",
        "x-deadline-ms",
        "x-expect-instance",
        "x-expect-version",
        "x-hold",
        "x-kv-backup",
        "x-pin-ms",
        "x-request-priority",
        "x-tenant",
        "kv-fetch",
        "kv-from",
    }
)
AUTHORIZATION_SCHEME = "token "
DEADLINE_MAX_MS = 600_000


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Decoded headers of a call.

    ``deadline_s`` is the time in seconds that the caller waits for a response,
    and ``forwarded`` holds the headers that are sent on to upstreams.
    """

    attempt_id: str
    deadline_s: float | None
    api_key: str | None
    prompt: Prompt
    forwarded: Headers

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller has the first events of a stream already."""
        return any(name.lower() == LAST_EVENT.lower() for name, _ in self.forwarded)


def read_call_headers(headers: Iterable[tuple[str, str]]) -> CallHeaders:
    """Return the decoded headers of a caller.

    Raises
    ------
    InvalidRequest
        If the deadline, the prompt or its token counts are malformed.
    """
    headers_by_name = {name.lower(): value for name, value in headers}
    forwarded = [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in RESERVED_HEADERS
    ]
    deadline = headers_by_name.get(DEADLINE_MS.lower())
    authorization = headers_by_name.get("authorization", "")
    try:
        deadline_s = None if deadline is None else parse_deadline(deadline)
        prompt = parse_prompt(
            headers_by_name.get(PROMPT_PARTS.lower(), ""),
            headers_by_name.get(TOKEN_COUNTS.lower(), ""),
        )
    except ValueError as error:
        raise InvalidRequest(f"a header is malformed: {error}") from error
    is_api_key = authorization.lower().startswith(AUTHORIZATION_SCHEME)
    return CallHeaders(
        attempt_id=headers_by_name.get(ATTEMPT_ID_HEADER.lower(), ""),
        deadline_s=deadline_s,
        api_key=authorization[len(AUTHORIZATION_SCHEME) :].strip()
        if is_api_key
        else None,
        prompt=prompt,
        forwarded=forwarded,
    )


def parse_deadline(value: str) -> float:
    """Return the seconds that a caller waits; very long waits are limited.

    Raises
    ------
    ValueError
        If the value is not a number.
    """
    milliseconds = float(value)
    if math.isnan(milliseconds):
        raise ValueError(f"{value!r} is not a number")
    return min(milliseconds, DEADLINE_MAX_MS) / 1000


def make_upstream_headers(
    call: CallHeaders,
    *,
    upstream: UpstreamId,
    customer: CustomerId | None,
    remaining_s: float,
    priority: int,
    last_event: str | None = None,
    copy_from: str | None = None,
) -> Headers:
    """Return the headers of a request to an upstream.

    Parameters
    ----------
    call : CallHeaders
    upstream : UpstreamId
        Expected receiver; another server at its address refuses the request.
    customer : CustomerId or None
        ``None`` if the request has no customer.
    remaining_s : float
        Time until the deadline of the call, in seconds.
    priority : int
        Limited to 0 to 9.
    last_event : str, optional
        ID of the event after which a stream resumes.
    copy_from : str, optional
        Address of an upstream that has the shared prefix of the prompt in its cache.
    """
    headers = [
        (name, value)
        for name, value in call.forwarded
        if last_event is None or name.lower() != LAST_EVENT.lower()
    ]
    headers.append((DEADLINE_MS, str(max(1, int(remaining_s * 1000)))))
    headers.append((EXPECTED_UPSTREAM, str(upstream)))
    headers.append((PRIORITY, str(min(9, max(0, priority)))))
    if customer is not None:
        headers.append((CUSTOMER, str(customer)))
    if last_event is not None:
        headers.append((LAST_EVENT, last_event))
    if copy_from is not None:
        headers.append((COPY_FROM, copy_from))
    return headers


def parse_upstream_load(value: str | None) -> int | None:
    """Return the number of running and waiting requests that an upstream reports.

    Parameters
    ----------
    value : str or None
        Value of the load header of a response.

    Returns
    -------
    int or None
        ``None`` if the header is missing or malformed.
    """
    figures = parse_load_figures(value)
    return None if figures is None else figures[0] + figures[1]


def parse_upstream_percent(value: str | None) -> int | None:
    """Return how long work takes at an upstream, in percent of the usual time.

    Parameters
    ----------
    value : str or None
        Value of the load header of a response.

    Returns
    -------
    int or None
        At least 1; ``None`` if the header is missing or malformed, or has no such
        figure.
    """
    figures = parse_load_figures(value)
    return figures[3] if figures is not None and len(figures) > 3 else None


def parse_load_figures(value: str | None) -> list[int] | None:
    """Return the three or four figures of a load header, ``None`` if malformed."""
    fields = [field.strip() for field in (value or "").split(",")]
    if len(fields) not in (3, 4):
        return None
    if not all(f.isdecimal() and len(f) <= LOAD_DIGITS_MAX for f in fields):
        return None
    figures = [int(field) for field in fields]
    if len(figures) == 4 and figures[3] == 0:
        # No work takes no time.
        return None
    return figures


def parse_pause(value: str | None) -> float:
    """Return the seconds for which an upstream wants no requests.

    Parameters
    ----------
    value : str or None
        Value of ``Retry-After``; fractions are allowed.

    Returns
    -------
    float
        0 if the header is missing, negative, a date or otherwise not a number; at
        most ``PAUSE_MAX_S``.
    """
    try:
        seconds = float(value or "")
    except ValueError:
        return 0.0
    return min(PAUSE_MAX_S, seconds) if seconds > 0 else 0.0


def parse_limit(value: str | None) -> float | None:
    """Return the requests a second that an upstream takes from all instances.

    Parameters
    ----------
    value : str or None
        Value of ``Server-Limit``; of several headers, joined by commas, the lowest
        counts.

    Returns
    -------
    float or None
        ``None`` if there is no header; 0 is a limit. At most ``LIMIT_MAX_PER_S``.

    Raises
    ------
    ValueError
        If a value is empty, negative, infinite or otherwise not a decimal number; it
        then says nothing.
    """
    if value is None:
        return None
    fields = [field.strip() for field in value.split(",")]
    if not all(LIMIT_PATTERN.fullmatch(field) for field in fields):
        raise ValueError(f"{value[:40]!r} is not a limit")
    return min(LIMIT_MAX_PER_S, *map(float, fields))


def is_leaving(value: str | None) -> bool:
    """Return whether the leaving header of a response announces a shutdown."""
    return (value or "").strip() == "1"


def select_response_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's response that are sent to the caller."""
    return [(n, v) for n, v in headers if n.lower() not in HOP_BY_HOP_HEADERS]


def make_directory_body(addresses: list[str], ttl_s: float) -> bytes:
    """Return the body of a directory response with instance addresses."""
    return json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()


__all__ = [
    "ATTEMPT_ID_HEADER",
    "ATTEMPT_ID_VARIABLE",
    "EVENT_FIELDS",
    "LEAVING_HEADER",
    "LIMIT_HEADER",
    "METRICS_PATH",
    "MISDIRECTED_STATUS",
    "NOT_RUN_HEADER",
    "READY_PATH",
    "REFUSED_STATUSES",
    "RETRY_AFTER_HEADER",
    "RESOLVE_PATH",
    "UPSTREAM_LOAD_HEADER",
    "UPSTREAM_SEAL_HEADER",
    "CallHeaders",
    "Headers",
    "is_leaving",
    "make_directory_body",
    "make_upstream_headers",
    "parse_limit",
    "parse_pause",
    "parse_upstream_load",
    "parse_upstream_percent",
    "read_call_headers",
    "select_response_headers",
]
