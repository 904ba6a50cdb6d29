"""Client for the platform's metadata store."""

import base64
import binascii
import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from email.message import Message
from typing import Any
from urllib.parse import urlencode

import logbook

from fescueflow.core import FIRST_ERA, PlatformUnavailable, Revision, StoreEra
from fescueflow.platform.http import Connect, Limits, connect_twice, read_url
from fescueflow.platform.records import MalformedResponse

# Limit of pages in one read; a page holds up to about 500 items.
READ_PAGES_MAX = 64
# A page holds up to 1 MB of base64 values in addition to keys and numbers.
STORE_RESPONSE_BYTES_MAX = 4 << 20
GONE = 410
# Header of all responses: how often the store came back from a copy; 0 without it.
ERA_HEADER = "Store-Era"
# Largest era that is read; eras count restarts of a store.
ERA_MAX = 1 << 31

log = logbook.Logger("store")


class HistoryExpired(PlatformUnavailable):
    """Raised when the store has discarded changes after the given revision.

    Parameters
    ----------
    message : str
    era : StoreEra, optional
        Era of the response.
    """

    def __init__(self, message: str, era: StoreEra = FIRST_ERA) -> None:
        super().__init__(message)
        self.era = era


class EraChanged(PlatformUnavailable):
    """Raised when a response can't be used because the store's era has changed.

    Parameters
    ----------
    era : StoreEra
        Highest era that was seen.
    revision : Revision or None
        Revision of the response of that era, if it is known.
    """

    def __init__(self, era: StoreEra, revision: Revision | None) -> None:
        super().__init__(f"the store is in era {era}")
        self.era = era
        self.revision = revision


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key and its value, or ``None`` if the key was deleted.

    ``revision`` is that of the key's last change, 0 if it is not known.
    """

    key: str
    value: bytes | None
    revision: Revision = Revision(0)


@dataclass(frozen=True, slots=True)
class StoreResult:
    """Items in the order of the response, and the revision up to which they go.

    The revisions are those of the era.
    """

    items: tuple[StoreItem, ...]
    revision: Revision
    era: StoreEra = FIRST_ERA


class StoreClient:
    """Client for the store; every method raises ``PlatformUnavailable``.

    Parameters
    ----------
    address : str
        ``ip:port``.
    limits : Limits, optional
        Limits of a read; a watch adds its wait to them.
    connect : callable, optional
        Opens connections, such as ``Network.connect``.
    """

    def __init__(
        self,
        address: str,
        limits: Limits | None = None,
        connect: Connect = connect_twice,
    ) -> None:
        self._url = f"http://{address}"
        self._limits = limits or Limits(body_bytes=STORE_RESPONSE_BYTES_MAX)
        self._connect = connect

    def read(self, prefix: str) -> StoreResult:
        """Return all items whose keys start with the prefix.

        Raises
        ------
        EraChanged
            If the pages belong to several eras.
        PlatformUnavailable

        Notes
        -----
        The revision is that of the first page, so that a watch from it includes
        changes that were made while later pages were read.
        """
        items: list[StoreItem] = []
        first: tuple[Revision, StoreEra] | None = None
        after = ""
        for _ in range(READ_PAGES_MAX):
            query = {"prefix": prefix, **({"after": after} if after else {})}
            response, era = self._get("/kv-range", query, self._limits)
            page = list(read_items(response.get("entries")))
            items += page
            if first is None:
                first = read_revision(response), era
            revision, first_era = first
            if era != first_era:
                newer = read_revision(response) if era > first_era else revision
                raise EraChanged(max(era, first_era), newer)
            if not response.get("has_more") or not page:
                return StoreResult(tuple(items), revision, era)
            after = page[-1].key
        raise MalformedResponse(f"{prefix}: more than {READ_PAGES_MAX} pages")

    def watch(self, prefix: str, after: Revision, wait_s: float) -> StoreResult:
        """Wait for changes after a revision; return no items on timeout.

        Raises
        ------
        HistoryExpired
            If the store has discarded changes after the revision.
        PlatformUnavailable
        """
        wait_ms = int(wait_s * 1000)
        query = {"prefix": prefix, "after": str(after), "wait_ms": str(wait_ms)}
        limits = replace(
            self._limits,
            read_timeout_s=self._limits.read_timeout_s + wait_s,
            total_s=self._limits.total_s + wait_s,
        )
        response, era = self._get("/kv-watch", query, limits)
        return StoreResult(
            tuple(read_items(response.get("events"))), read_revision(response), era
        )

    def _get(
        self, path: str, query: dict[str, str], limits: Limits
    ) -> tuple[dict[str, Any], StoreEra]:
        url = f"{self._url}{path}?{urlencode(query)}"
        response = read_url(url, limits, self._connect)
        if response.status == GONE:
            raise HistoryExpired(
                f"{url}: status {response.status}", read_era(response.headers)
            )
        if response.status != 200:
            raise PlatformUnavailable(f"{url}: status {response.status}")
        try:
            document = json.loads(response.body)
        except (RecursionError, ValueError) as error:
            raise MalformedResponse(f"{url}: {error!r}") from error
        if not isinstance(document, dict):
            raise MalformedResponse(f"{url}: not an object")
        return document, read_era(response.headers)


def read_era(headers: Message) -> StoreEra:
    """Return the era that a response names, 0 if it names none.

    Raises
    ------
    MalformedResponse
        If it is not a number, or if there are several. The response may belong to any
        era then.
    """
    values = headers.get_all(ERA_HEADER) or ["0"]
    text = values[0].strip()
    is_number = text.isascii() and text.isdecimal() and len(text) <= len(str(ERA_MAX))
    if len(set(values)) > 1 or not is_number or int(text) > ERA_MAX:
        raise MalformedResponse(f"{ERA_HEADER} {values!r} is not one number")
    return StoreEra(int(text))


def read_revision(response: dict[str, Any]) -> Revision:
    """Return the revision up to which a response is complete (``at``)."""
    revision = response.get("at")
    if not isinstance(revision, int) or isinstance(revision, bool):
        raise MalformedResponse(f"revision {revision!r} is not a number")
    return Revision(revision)


def read_items(entries: Any) -> Iterator[StoreItem]:
    """Yield the items of a response.

    Raises
    ------
    MalformedResponse
        If there is no list of items.

    Notes
    -----
    One malformed item must not hide the others: an item without a key is ignored, and
    one whose value can't be decoded has an empty value, which describes nothing.
    """
    if not isinstance(entries, list):
        raise MalformedResponse("the response has no list of items")
    for entry in entries:
        key = entry.get("key") if isinstance(entry, dict) else None
        if not isinstance(key, str):
            log.warning("an item of the store without a key is ignored")
            continue
        revision = read_item_revision(entry)
        if entry.get("deleted"):
            yield StoreItem(key, None, revision)
            continue
        try:
            value = base64.b64decode(entry["value"], validate=True)
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            log.warning("value of {} can't be decoded: {!r}", key, error)
            value = b""
        yield StoreItem(key, value, revision)


def read_item_revision(entry: dict[str, Any]) -> Revision:
    """Return the revision of an item's last change, 0 if it has none."""
    revision = entry.get("revision")
    if not isinstance(revision, int) or isinstance(revision, bool):
        return Revision(0)
    return Revision(max(0, revision))


__all__ = [
    "ERA_MAX",
    "STORE_RESPONSE_BYTES_MAX",
    "EraChanged",
    "HistoryExpired",
    "StoreClient",
    "StoreItem",
    "StoreResult",
]
