"""Headers and calls between callers, this instance and upstreams."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

from fescueflow.core import CustomerId, InvalidRequest, UpstreamId
from fescueflow.routing import Prompt, parse_prompt

Headers = list[tuple[str, str]]

READY_PATH = "/readyz"
RESOLVE_PATH = "/resolve"
METRICS_PATH = "/metrics"

ATTEMPT_ID = "X-Attempt-Id"
# The same header in the environment of a WSGI application (PEP 3333).
ATTEMPT_ID_VARIABLE = "HTTP_X_ATTEMPT_ID"
DEADLINE_MS = "X-Deadline-Ms"
CUSTOMER = "X-Tenant"
EXPECTED_UPSTREAM = "X-Expect-Instance"
# The upstream did not run the request and never will.
NOT_RUN = "X-Not-Executed"
# Proof that an answer is an upstream's.
SEAL = "X-Server-Seal"
PROMPT_PARTS = "X-Prefix-Hash"
# Tokens of the prompt and the most tokens of the answer.
TOKEN_COUNTS = "X-Token-Count"  # noqa: S105
LAST_EVENT = "Last-Event-Id"
PRIORITY = "X-Request-Priority"
# Address of an upstream from which another one copies what it holds of the prompt.
COPY_FROM = "Kv-Fetch"
# Requests that run and wait at the upstream of an answer, and its slots.
UPSTREAM_LOAD = "X-Server-Load"

MISDIRECTED_STATUS = 421
REFUSED_STATUSES = frozenset({408, 421, 429, 503})
# Headers of a caller that concern one connection (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
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
# Headers that only this fleet sets, or that hold the caller's key.
OWN_HEADERS = frozenset(
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
KEY_SCHEME = "token "
DEADLINE_MAX_MS = 600_000


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """What the headers of a call say; ``deadline_s`` is the caller's patience."""

    attempt_id: str
    deadline_s: float | None
    key: str | None
    prompt: Prompt
    passed_on: Headers


def read_call_headers(headers: Iterable[tuple[str, str]]) -> CallHeaders:
    """Return the decoded headers of a caller.

    Raises
    ------
    InvalidRequest
    """
    found = {name.lower(): value for name, value in headers}
    passed_on = [
        (name, value)
        for name, value in headers
        if name.lower() not in CONNECTION_HEADERS and name.lower() not in OWN_HEADERS
    ]
    deadline = found.get(DEADLINE_MS.lower())
    key = found.get("authorization", "")
    try:
        deadline_s = None if deadline is None else float(deadline) / 1000
        prompt = parse_prompt(
            found.get(PROMPT_PARTS.lower(), ""), found.get(TOKEN_COUNTS.lower(), "")
        )
    except ValueError as error:
        raise InvalidRequest(f"a header is malformed: {error}") from error
    is_key = key.lower().startswith(KEY_SCHEME)
    return CallHeaders(
        attempt_id=found.get(ATTEMPT_ID.lower(), ""),
        deadline_s=deadline_s,
        key=key[len(KEY_SCHEME) :].strip() if is_key else None,
        prompt=prompt,
        passed_on=passed_on,
    )


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
        Any other server at the address refuses the request.
    customer : CustomerId or None
    remaining_s : float
    priority : int
    last_event : str, optional
        A stream goes on after this event.
    copy_from : str, optional
        Address of an upstream that holds the prompt's shared part.
    """
    headers = [
        (name, value)
        for name, value in call.passed_on
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
    """Return the requests that run or wait at an upstream by its own count.

    Parameters
    ----------
    value : str or None
        Header of an answer.

    Returns
    -------
    int or None
        ``None`` if the header is missing or malformed.
    """
    fields = (value or "").split(",")
    if len(fields) != 3 or not all(field.strip().isdecimal() for field in fields):
        return None
    running, waiting, _ = map(int, fields)
    return running + waiting


def select_answer_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's answer that a caller gets."""
    return [(n, v) for n, v in headers if n.lower() not in CONNECTION_HEADERS]


def make_directory_body(addresses: list[str], keep_s: float) -> bytes:
    """Return the body of an answer that names instances."""
    return json.dumps({"addresses": addresses, "ttl_s": keep_s}).encode()


__all__ = [
    "ATTEMPT_ID",
    "ATTEMPT_ID_VARIABLE",
    "METRICS_PATH",
    "MISDIRECTED_STATUS",
    "NOT_RUN",
    "READY_PATH",
    "REFUSED_STATUSES",
    "RESOLVE_PATH",
    "SEAL",
    "UPSTREAM_LOAD",
    "CallHeaders",
    "Headers",
    "make_directory_body",
    "make_upstream_headers",
    "parse_upstream_load",
    "read_call_headers",
    "select_answer_headers",
]
