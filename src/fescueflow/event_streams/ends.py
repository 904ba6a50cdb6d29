"""Whether a body that ends here is a whole event stream.

Load pattern: upstreams stop in the middle of an event and end the body in good form,
with the last chunk or after as many bytes as the head named. The events that follow are
missing, so that such an end is not that of the stream.
"""

import re
from collections.abc import Collection
from enum import Enum

EVENT_STREAM = "text/event-stream"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
FIELD_NAMES = frozenset({b"data", b"event", b"id", b"retry"})
LINE_END = re.compile(rb"[\r\n]+")
# Ends the type in the header; a repeated header is joined by commas.
TYPE_END = re.compile(r"[;,]")
# Bytes in which the first field of a stream is looked for.
BEGINNING_BYTES = 4096


class StreamCut(Enum):
    """How a body shows that it is not a whole stream.

    Attributes
    ----------
    INSIDE_EVENT
        It ends inside an event.
    BEFORE_EVENT
        It resumes a stream and ends before the event of which a part had arrived.
    NO_EVENT
        It begins a stream and has no event.
    """

    INSIDE_EVENT = "inside_event"
    BEFORE_EVENT = "before_event"
    NO_EVENT = "no_event"


def may_hold_events(content_type: str | None) -> bool:
    """Return whether a body of this type may be an event stream.

    Parameters
    ----------
    content_type : str or None
        Value of the header. Without one, the body decides.
    """
    return not content_type or is_event_stream(content_type)


def is_event_stream(content_type: str | None) -> bool:
    """Return whether a header declares an event stream."""
    return TYPE_END.split(content_type or "")[0].strip().lower() == EVENT_STREAM


def begins_event(data: bytes, field_names: Collection[bytes] = ()) -> bool:
    """Return whether the first bytes of a body are those of an event stream.

    Parameters
    ----------
    data : bytes
        May end anywhere, also inside the name of a field.
    field_names : collection of bytes, optional
        Names of fields in addition to those of the format.

    Notes
    -----
    Bodies that are declared event streams, or have no type, may be something else, such
    as a text or a document.
    """
    beginning = data.removeprefix(BYTE_ORDER_MARK)[:BEGINNING_BYTES]
    lines = [line for line in LINE_END.split(beginning) if line]
    names = FIELD_NAMES.union(field_names)
    for line in lines:
        name, colon, _ = line.partition(b":")
        # A comment has no name.
        if colon and (not name or name in names):
            return True
    return len(lines) == 1 and any(name.startswith(lines[0]) for name in names)


def holds_field(data: bytes) -> bool:
    """Return whether a part of an event has more than comments."""
    return any(line and not line.startswith(b":") for line in LINE_END.split(data))


__all__ = [
    "StreamCut",
    "begins_event",
    "holds_field",
    "is_event_stream",
    "may_hold_events",
]
