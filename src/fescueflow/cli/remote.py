"""HTTP requests to a running instance or configuration service."""

import http.client
import json
import socket
import time
from typing import Any
from urllib.parse import urlsplit

from fescueflow.core import FescueflowError
from fescueflow.http1 import TimedConnection

# Limits for each read and for the whole response, in seconds.
REQUEST_TIMEOUT_S = 5.0
TOTAL_TIMEOUT_S = 60.0
RESPONSE_BYTES_MAX = 64 << 20


class RemoteError(FescueflowError):
    """A remote service gave no usable response."""


def get_body(address: str, path: str) -> tuple[bytes, dict[str, str]]:
    """Return the body and headers (lower-case names) of a GET response.

    Parameters
    ----------
    address : str
        ``ip:port`` or the base URL.
    path : str
        Path and query, appended to the base URL.

    Raises
    ------
    RemoteError
        If there is no response with status 200.
    """
    parts = urlsplit(address if "//" in address else f"http://{address}")
    url = f"http://{parts.netloc}{parts.path.rstrip('/')}{path}"
    try:
        connection = http.client.HTTPConnection(parts.hostname or "", parts.port or 80)
        with socket.create_connection(
            (connection.host, connection.port), REQUEST_TIMEOUT_S
        ) as opened:
            timed_connection = TimedConnection(
                opened, time.monotonic() + TOTAL_TIMEOUT_S, REQUEST_TIMEOUT_S
            )
            connection.sock = timed_connection
            connection.request("GET", parts.path.rstrip("/") + path)
            response = connection.getresponse()
            timed_connection.check_head()
            body = response.read(RESPONSE_BYTES_MAX)
            if response.length:
                # A read of limited size reports no early end.
                raise http.client.IncompleteRead(body)
            headers = {name.lower(): value for name, value in response.getheaders()}
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise RemoteError(f"{url}: {error or type(error).__name__}") from error
    if response.status != 200:
        excerpt = body[:200].decode("utf-8", "replace")
        raise RemoteError(f"{url}: status {response.status}: {excerpt}")
    return body, headers


def get_json(address: str, path: str) -> Any:
    """Return the JSON value of a GET response.

    Raises
    ------
    RemoteError
        If there is no response with status 200 and a JSON body.
    """
    body, _ = get_body(address, path)
    try:
        return json.loads(body)
    except ValueError as error:
        raise RemoteError(f"{path}: the response is not JSON: {error}") from error


def get_audit_records(address: str, after: int) -> list[dict[str, Any]]:
    """Return the audit records that follow a sequence number.

    The response holds one JSON record per line, or a JSON list of records, which may
    be the value of the key ``records``.
    """
    body, _ = get_body(address, f"/v1/audit?after={after}")
    try:
        lines = [json.loads(line) for line in body.splitlines() if line.strip()]
        if len(lines) == 1 and isinstance(lines[0], list):
            lines = lines[0]
        elif len(lines) == 1 and isinstance(lines[0], dict) and "records" in lines[0]:
            lines = lines[0]["records"]
    except ValueError:
        try:
            value = json.loads(body)
        except ValueError as error:
            raise RemoteError(
                f"/v1/audit: the response is not JSON: {error}"
            ) from error
        lines = value.get("records", []) if isinstance(value, dict) else value
    if not isinstance(lines, list) or not all(isinstance(e, dict) for e in lines):
        raise RemoteError("/v1/audit: the response is not a list of records")
    return list(lines)


__all__ = ["RemoteError", "get_audit_records", "get_body", "get_json"]
