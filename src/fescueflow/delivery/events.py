"""Parser of server-sent events."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from fescueflow.delivery.exchange import AttemptFailed, FailureReason

EVENT_BYTES_MAX = 1 << 20
DONE = b"[DONE]"
DECODER = json.JSONDecoder()


class ServerEvent(NamedTuple):
    """One event, or a comment between events (``data`` is ``None``)."""

    name: bytes
    data: bytes | None


COMMENT = ServerEvent(b"", None)


class EventParser:
    """Events of one stream from its bytes, in parts of any size."""

    def __init__(self) -> None:
        self._pending = b""
        self._name = b""
        self._data: list[bytes] = []
        self._size = 0

    def feed(self, part: bytes) -> Iterator[ServerEvent]:
        """Yield the events and comments that a part completes.

        Raises
        ------
        AttemptFailed
            If an event is too large.
        """
        data = self._read_single(part)
        if data is not None:
            yield ServerEvent(b"", data)
            return
        *lines, self._pending = (self._pending + part).split(b"\n")
        if len(self._pending) > EVENT_BYTES_MAX:
            raise AttemptFailed(FailureReason.BROKEN, True)
        for line in lines:
            event = self._take_line(line.removesuffix(b"\r"))
            if event is not None:
                yield event

    def _read_single(self, part: bytes) -> bytes | None:
        """Return the data of a part that is one event of one data line.

        Engines send each token so; other parts give ``None``.
        """
        if self._pending or self._data or self._name:
            return None
        if not part.startswith(b"data: ") or not part.endswith(b"\n\n"):
            return None
        if part.count(b"\n") != 2 or b"\r" in part or len(part) > EVENT_BYTES_MAX:
            return None
        return part[6:-2]

    def _take_line(self, line: bytes) -> ServerEvent | None:
        if not line:
            data = self._data
            event = ServerEvent(self._name, b"\n".join(data)) if data else None
            self._name, self._data, self._size = b"", [], 0
            return event
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if not field:
            return COMMENT
        if field == b"event":
            self._name = value
        elif field == b"data":
            self._data.append(value)
            self._size += len(value)
            if self._size > EVENT_BYTES_MAX:
                raise AttemptFailed(FailureReason.BROKEN, True)
        return None


def iterate_events(parts: Iterable[bytes]) -> Iterator[ServerEvent]:
    """Yield events and comments; an unfinished last event is dropped.

    Raises
    ------
    AttemptFailed
        If an event is too large.
    """
    parser = EventParser()
    for part in parts:
        yield from parser.feed(part)


def parse_json(data: bytes) -> Any:
    """Return what ``json.loads`` does, sooner for an object in UTF-8.

    ``json.loads`` looks for the encoding and for white space by regular
    expressions, which takes longer than reading a small object.

    Raises
    ------
    ValueError, RecursionError
    """
    # Other encodings have a null byte within the first two bytes.
    if data.startswith(b"{") and data.endswith(b"}") and data[1]:
        text = data.decode("utf-8", "surrogatepass")
        document, end = DECODER.raw_decode(text)
        if end != len(text):
            raise ValueError("data after the JSON object")
        return document
    return json.loads(data)


def read_index(data: bytes) -> int | None:
    """Return the ``index`` of a token event, ``None`` if it has none.

    Raises
    ------
    AttemptFailed
        If the event is not a JSON object.
    """
    try:
        document = parse_json(data)
    except (ValueError, RecursionError) as error:
        raise AttemptFailed(FailureReason.BROKEN, True) from error
    if not isinstance(document, dict):
        raise AttemptFailed(FailureReason.BROKEN, True)
    index = document.get("index")
    return index if isinstance(index, int) and not isinstance(index, bool) else None


def format_data(data: bytes) -> bytes:
    """Return a data event."""
    if b"\n" not in data:
        return b"data: " + data + b"\n\n"
    lines = b"".join(b"data: " + line + b"\n" for line in data.split(b"\n"))
    return lines + b"\n"


__all__ = [
    "DONE",
    "EventParser",
    "ServerEvent",
    "format_data",
    "iterate_events",
    "read_index",
]
