"""Clients for the instance list and the configuration service."""

from abc import ABC, abstractmethod
from dataclasses import replace
from urllib.parse import quote

from fescueflow.core import Clock, PlatformUnavailable, Revision
from fescueflow.platform.http import (
    Connect,
    Limits,
    PlatformResponse,
    connect_directly,
    read_url,
)
from fescueflow.platform.records import ListSnapshot, MalformedResponse, parse_list

# A list of 450 instances and 3,400 upstreams has about 0.7 MB.
LIST_BYTES_MAX = 4 << 20
# The configuration service stores values of up to 1 MB.
VALUE_BYTES_MAX = 1 << 20
REVISION_DIGITS_MAX = 18
NOT_MODIFIED = 304
NO_CHANGE_STATUSES = (204, NOT_MODIFIED)


class InstanceListClient(ABC):
    """Reads the platform's list of instances and upstreams."""

    @abstractmethod
    def read(self) -> ListSnapshot:
        """Return the current list; raises ``PlatformUnavailable``."""


class ConfigurationClient(ABC):
    """Reads and watches the platform's configuration service."""

    @abstractmethod
    def read(self, key: str) -> tuple[Revision, bytes]:
        """Return the revision and value of a key; raises ``PlatformUnavailable``."""

    @abstractmethod
    def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> tuple[Revision, bytes] | None:
        """Wait for a revision greater than ``after``.

        Returns
        -------
        tuple of Revision and bytes, or None
            ``None`` if nothing changed within the timeout.

        Raises
        ------
        PlatformUnavailable
        """


class HttpInstanceListClient(InstanceListClient):
    """Client for ``GET /v1/instances``.

    Parameters
    ----------
    url : str
        Base URL.
    clock : Clock
        Source of the time at which each list was requested.
    limits : Limits, optional
    connect : callable, optional
        Opens connections, such as ``Network.connect``.

    Notes
    -----
    The list is read every second and rarely changes. The request sends the entity
    tag of the last response, so that the platform can respond with 304 and no body,
    and accepts gzip. A body that equals the previous one is not parsed again.
    """

    def __init__(
        self,
        *,
        url: str,
        clock: Clock,
        limits: Limits | None = None,
        connect: Connect = connect_directly,
    ) -> None:
        self._url = url.rstrip("/") + "/v1/instances"
        self._clock = clock
        self._limits = limits or Limits(body_bytes=LIST_BYTES_MAX)
        self._connect = connect
        self._last_response: tuple[bytes, ListSnapshot] | None = None
        self._entity_tag: str | None = None

    def read(self) -> ListSnapshot:
        """Return the current list; raises ``PlatformUnavailable``."""
        read_at = self._clock.monotonic()
        last, headers = self._last_response, {"Accept-Encoding": "gzip"}
        if last is not None and self._entity_tag is not None:
            headers["If-None-Match"] = self._entity_tag
        response = read_url(self._url, self._limits, self._connect, headers)
        if response.status == NOT_MODIFIED and last is not None:
            return replace(last[1], read_at=read_at)
        if response.status != 200:
            raise PlatformUnavailable(f"{self._url}: status {response.status}")
        if last is not None and last[0] == response.body:
            return replace(last[1], read_at=read_at)
        snapshot = parse_list(response.body, read_at)
        self._last_response, self._entity_tag = (
            (response.body, snapshot),
            response.headers.get("ETag"),
        )
        return snapshot


class HttpConfigurationClient(ConfigurationClient):
    """Client for ``/v1/keys/{key}`` and ``/v1/watch/{key}``.

    Parameters
    ----------
    url : str
        Base URL.
    limits : Limits, optional
        Limits of a read; a watch adds its timeout to them.
    connect : callable, optional
        Opens connections, such as ``Network.connect``.
    """

    def __init__(
        self,
        *,
        url: str,
        limits: Limits | None = None,
        connect: Connect = connect_directly,
    ) -> None:
        self._url = url.rstrip("/")
        self._limits = limits or Limits(body_bytes=VALUE_BYTES_MAX)
        self._connect = connect

    def read(self, key: str) -> tuple[Revision, bytes]:
        """Return the revision and value of a key; raises ``PlatformUnavailable``."""
        url = f"{self._url}/v1/keys/{quote(key)}"
        return parse_value(url, read_url(url, self._limits, self._connect))

    def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> tuple[Revision, bytes] | None:
        """Wait for a revision greater than ``after``; return ``None`` on timeout."""
        query = f"after={after}&timeout_ms={int(timeout_s * 1000)}"
        url = f"{self._url}/v1/watch/{quote(key)}?{query}"
        limits = replace(
            self._limits,
            read_timeout_s=self._limits.read_timeout_s + timeout_s,
            total_s=self._limits.total_s + timeout_s,
        )
        response = read_url(url, limits, self._connect)
        if response.status in NO_CHANGE_STATUSES:
            return None
        revision, value = parse_value(url, response)
        # A stale replica of the service may return an older revision.
        return (revision, value) if revision > after else None


def parse_value(url: str, response: PlatformResponse) -> tuple[Revision, bytes]:
    """Return the revision and value in a response.

    Raises
    ------
    PlatformUnavailable
        If the status is not 200 or the revision is malformed.
    """
    if response.status != 200:
        raise PlatformUnavailable(f"{url}: status {response.status}")
    text = response.headers.get("Revision", "")
    digits = text.isascii() and text.isdecimal()
    if not digits or len(text) > REVISION_DIGITS_MAX:
        raise MalformedResponse(f"{url}: revision {text[:40]!r} is not a number")
    return Revision(int(text)), response.body


__all__ = [
    "ConfigurationClient",
    "HttpConfigurationClient",
    "HttpInstanceListClient",
    "InstanceListClient",
]
