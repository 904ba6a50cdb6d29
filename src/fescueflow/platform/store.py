"""Reads from the platform's metadata store."""

import base64
import binascii
import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import urlencode

from fescueflow.core import PlatformUnavailable, Revision
from fescueflow.platform.http import Connect, Limits, connect_directly, read_url
from fescueflow.platform.records import MalformedAnswer

# Pages of a read; each holds up to about 500 items.
PAGES_MAX = 64
# A page's values are base64 text, up to 1 MB of them, beside keys and numbers.
ANSWER_BYTES_MAX = 4 << 20
GONE_STATUS = 410


class HistoryGone(PlatformUnavailable):
    """The store no longer has the changes after the given revision."""


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key with its value, ``None`` if it was deleted."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StoreReading:
    """Items in the order of the answer, and the revision that they reach."""

    items: tuple[StoreItem, ...]
    revision: Revision


class StoreClient:
    """Client of the store; every method raises ``PlatformUnavailable``.

    Parameters
    ----------
    address : str
        ``ip:port``.
    limits : Limits, optional
        Of a read; a watch may take its wait longer.
    connect : callable, optional
    """

    def __init__(
        self,
        address: str,
        limits: Limits | None = None,
        connect: Connect = connect_directly,
    ) -> None:
        self._url = f"http://{address}"
        self._limits = limits or Limits(body_bytes=ANSWER_BYTES_MAX)
        self._connect = connect

    def read(self, prefix: str) -> StoreReading:
        """Return all items whose keys begin with the prefix.

        Notes
        -----
        The revision is that of the first page, so that a watch from there on
        brings what changed while later pages were read.
        """
        items: list[StoreItem] = []
        revision: Revision | None = None
        after = ""
        for _ in range(PAGES_MAX):
            query = {"prefix": prefix, **({"after": after} if after else {})}
            answer = self._get("/kv-range", query, self._limits)
            page = list(read_items(answer.get("entries")))
            items += page
            if revision is None:
                revision = read_revision(answer)
            if not answer.get("has_more") or not page:
                return StoreReading(tuple(items), revision)
            after = page[-1].key
        raise MalformedAnswer(f"{prefix}: more than {PAGES_MAX} pages")

    def watch(self, prefix: str, after: Revision, wait_s: float) -> StoreReading:
        """Return the changes after a revision, none if the wait passes without one.

        Raises
        ------
        HistoryGone
        PlatformUnavailable
        """
        wait_ms = int(wait_s * 1000)
        query = {"prefix": prefix, "after": str(after), "wait_ms": str(wait_ms)}
        limits = replace(
            self._limits,
            silence_s=self._limits.silence_s + wait_s,
            total_s=self._limits.total_s + wait_s,
        )
        answer = self._get("/kv-watch", query, limits)
        return StoreReading(
            tuple(read_items(answer.get("events"))), read_revision(answer)
        )

    def _get(self, path: str, query: dict[str, str], limits: Limits) -> dict[str, Any]:
        url = f"{self._url}{path}?{urlencode(query)}"
        answer = read_url(url, limits, self._connect)
        if answer.status == GONE_STATUS:
            raise HistoryGone(f"{url}: status {answer.status}")
        if answer.status != 200:
            raise PlatformUnavailable(f"{url}: status {answer.status}")
        try:
            document = json.loads(answer.body)
        except ValueError as error:
            raise MalformedAnswer(f"{url}: {error}") from error
        if not isinstance(document, dict):
            raise MalformedAnswer(f"{url}: not an object")
        return document


def read_revision(answer: dict[str, Any]) -> Revision:
    """Return the revision up to which an answer is complete (``at``)."""
    revision = answer.get("at")
    if not isinstance(revision, int) or isinstance(revision, bool):
        raise MalformedAnswer(f"revision {revision!r} is not a number")
    return Revision(revision)


def read_items(entries: Any) -> Iterator[StoreItem]:
    """Yield the items of an answer.

    Raises
    ------
    MalformedAnswer
    """
    if not isinstance(entries, list):
        raise MalformedAnswer("the answer has no list of items")
    for entry in entries:
        key = entry.get("key") if isinstance(entry, dict) else None
        if not isinstance(key, str):
            raise MalformedAnswer("an item has no key")
        if entry.get("deleted"):
            yield StoreItem(key, None)
            continue
        try:
            value = base64.b64decode(entry["value"], validate=True)
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            raise MalformedAnswer(f"{key}: the value is not base64") from error
        yield StoreItem(key, value)


__all__ = [
    "ANSWER_BYTES_MAX",
    "HistoryGone",
    "StoreClient",
    "StoreItem",
    "StoreReading",
]
