"""Clients of the instance list and of the configuration service."""

from abc import ABC, abstractmethod
from dataclasses import replace
from urllib.parse import quote

from fescueflow.core import Clock, PlatformUnavailable, Revision
from fescueflow.platform.http import (
    Connect,
    Limits,
    PlatformAnswer,
    connect_directly,
    read_url,
)
from fescueflow.platform.records import ListSnapshot, MalformedAnswer, parse_list

# 450 instances and 3,400 upstreams take about 0.7 MB.
LIST_BYTES_MAX = 4 << 20
# Values of the configuration service have up to 1 MB.
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
        """Return revision and value of a key; raises ``PlatformUnavailable``."""

    @abstractmethod
    def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> tuple[Revision, bytes] | None:
        """Wait for a revision above ``after``.

        Returns
        -------
        tuple of Revision and bytes, or None
            ``None`` if nothing changed within the timeout.

        Raises
        ------
        PlatformUnavailable
        """


class HttpInstanceListClient(InstanceListClient):
    """Client of ``GET /v1/instances``.

    Parameters
    ----------
    url : str
        Base URL.
    clock : Clock
    limits : Limits, optional
    connect : callable, optional
        Opens connections, such as ``Network.connect``.

    Notes
    -----
    The list is read every second and rarely changes. The request names the
    entity tag of the last answer, so that the platform can answer 304 without a
    body, and accepts gzip. An answer with the bytes of the one before is not
    parsed again.
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
        self._last: tuple[bytes, ListSnapshot] | None = None
        self._tag: str | None = None

    def read(self) -> ListSnapshot:
        """Return the current list; raises ``PlatformUnavailable``."""
        read_at = self._clock.monotonic()
        last, headers = self._last, {"Accept-Encoding": "gzip"}
        if last is not None and self._tag is not None:
            headers["If-None-Match"] = self._tag
        answer = read_url(self._url, self._limits, self._connect, headers)
        if answer.status == NOT_MODIFIED and last is not None:
            return replace(last[1], read_at=read_at)
        if answer.status != 200:
            raise PlatformUnavailable(f"{self._url}: status {answer.status}")
        if last is not None and last[0] == answer.body:
            return replace(last[1], read_at=read_at)
        snapshot = parse_list(answer.body, read_at)
        self._last, self._tag = (answer.body, snapshot), answer.headers.get("ETag")
        return snapshot


class HttpConfigurationClient(ConfigurationClient):
    """Client of ``/v1/keys/{key}`` and ``/v1/watch/{key}``.

    Parameters
    ----------
    url : str
        Base URL.
    limits : Limits, optional
        Of a read; a watch may take its timeout longer.
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
        """Return revision and value of a key; raises ``PlatformUnavailable``."""
        url = f"{self._url}/v1/keys/{quote(key)}"
        return parse_value(url, read_url(url, self._limits, self._connect))

    def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> tuple[Revision, bytes] | None:
        """Wait for a revision above ``after``; ``None`` if there is none."""
        query = f"after={after}&timeout_ms={int(timeout_s * 1000)}"
        url = f"{self._url}/v1/watch/{quote(key)}?{query}"
        limits = replace(
            self._limits,
            silence_s=self._limits.silence_s + timeout_s,
            total_s=self._limits.total_s + timeout_s,
        )
        answer = read_url(url, limits, self._connect)
        if answer.status in NO_CHANGE_STATUSES:
            return None
        revision, value = parse_value(url, answer)
        # A stale replica of the service may answer with an older revision.
        return (revision, value) if revision > after else None


def parse_value(url: str, answer: PlatformAnswer) -> tuple[Revision, bytes]:
    """Return revision and value of an answer.

    Raises
    ------
    PlatformUnavailable
    """
    if answer.status != 200:
        raise PlatformUnavailable(f"{url}: status {answer.status}")
    text = answer.headers.get("Revision", "")
    digits = text.isascii() and text.isdecimal()
    if not digits or len(text) > REVISION_DIGITS_MAX:
        raise MalformedAnswer(f"{url}: revision {text[:40]!r} is not a number")
    return Revision(int(text)), answer.body


__all__ = [
    "ConfigurationClient",
    "HttpConfigurationClient",
    "HttpInstanceListClient",
    "InstanceListClient",
]
