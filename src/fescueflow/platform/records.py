"""The platform's list of instances and upstreams, and its JSON encoding."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from fescueflow.core import (
    GroupId,
    InstanceId,
    ListState,
    PlatformUnavailable,
    RegionId,
    UpstreamId,
    ZoneId,
    split_address,
)

# Limits the size of member records in datagrams.
IDENTIFIER_PATTERN = re.compile(r"[!-~]{1,64}")
INSTANCE_FIELDS = ("id", "zone", "region", "http_address", "peer_address", "state")
UPSTREAM_FIELDS = ("id", "group", "zone", "region", "address", "state")


class MalformedResponse(PlatformUnavailable):
    """Raised for a response of the platform that is not in the expected format."""


@dataclass(frozen=True)
class ListedInstance:
    """An instance in the platform's list."""

    id: InstanceId
    zone: ZoneId
    region: RegionId
    http_address: str
    peer_address: str
    state: ListState


@dataclass(frozen=True)
class ListedUpstream:
    """An upstream in the platform's list."""

    id: UpstreamId
    group: GroupId
    zone: ZoneId
    region: RegionId
    address: str
    state: ListState


@dataclass(frozen=True)
class ListSnapshot:
    """The list as read at one time.

    ``read_at`` is the monotonic time at which the list was requested.
    """

    instances: tuple[ListedInstance, ...]
    upstreams: tuple[ListedUpstream, ...]
    read_at: float


def parse_list(body: bytes, read_at: float) -> ListSnapshot:
    """Return the snapshot in a response body; unknown fields are ignored.

    Raises
    ------
    MalformedResponse
        If any entry is invalid; a list is never used in part.
    """
    try:
        document = json.loads(body, object_pairs_hook=build_object)
        instances = parse_entries(document, "instances", INSTANCE_FIELDS)
        upstreams = parse_entries(document, "upstreams", UPSTREAM_FIELDS)
    except (ValueError, RecursionError) as error:
        raise MalformedResponse(f"instance list: {error}") from error
    return ListSnapshot(
        tuple(ListedInstance(**entry) for entry in instances),
        tuple(ListedUpstream(**entry) for entry in upstreams),
        read_at,
    )


def render_list(snapshot: ListSnapshot) -> bytes:
    """Return the JSON encoding of a snapshot, independent of the entry order."""
    document = {
        "instances": serialize_entries(snapshot.instances, INSTANCE_FIELDS),
        "upstreams": serialize_entries(snapshot.upstreams, UPSTREAM_FIELDS),
    }
    return json.dumps(document, separators=(",", ":")).encode()


def serialize_entries(
    items: Iterable[ListedInstance | ListedUpstream], fields: tuple[str, ...]
) -> list[dict[str, str]]:
    """Return the entries of one list of the document, sorted by ID."""
    rows = (
        {field: getattr(item, field) for field in fields} | {"state": item.state.value}
        for item in items
    )
    return sorted(rows, key=lambda row: row["id"])


def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return a JSON object; raise ``ValueError`` if it repeats a name."""
    built = dict(pairs)
    if len(built) != len(pairs):
        raise ValueError("object has a duplicate name")
    return built


def parse_entries(
    document: Any, name: str, fields: tuple[str, ...]
) -> list[dict[str, Any]]:
    """Return the validated entries of one list of the document.

    Raises
    ------
    ValueError
        If the list or any of its entries is invalid, or if an ID is repeated.
    """
    entries = document.get(name) if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise ValueError(f"{name} is not a list")
    parsed = [
        parse_entry(entry, f"{name}[{index}]", fields)
        for index, entry in enumerate(entries)
    ]
    if len({entry["id"] for entry in parsed}) != len(parsed):
        raise ValueError(f"{name} has a duplicate id")
    return parsed


def parse_entry(entry: Any, path: str, fields: tuple[str, ...]) -> dict[str, Any]:
    """Return the validated fields of one entry.

    Parameters
    ----------
    entry : object
        Decoded JSON value.
    path : str
        Location of the entry in the document, for error messages.
    fields : tuple of str
        Names of the required fields.

    Raises
    ------
    ValueError
        If a field is missing or invalid.
    """
    if not isinstance(entry, dict):
        raise ValueError(f"{path} is not an object")
    parsed: dict[str, Any] = {}
    for field in fields:
        value = entry.get(field)
        if not isinstance(value, str):
            raise ValueError(f"{path}.{field} is not a string")
        if field == "state":
            parsed[field] = ListState(value)
        elif field.endswith("address"):
            split_address(value)
            parsed[field] = value
        elif IDENTIFIER_PATTERN.fullmatch(value):
            parsed[field] = value
        else:
            raise ValueError(f"{path}.{field} is not a name of 1 to 64 characters")
    return parsed


__all__ = [
    "ListSnapshot",
    "ListedInstance",
    "ListedUpstream",
    "MalformedResponse",
    "parse_list",
    "render_list",
]
