"""Splitting of an event stream into complete events."""

import math
import re
from collections.abc import Collection

from fescueflow.core import FescueflowError
from fescueflow.event_streams.ends import (
    StreamCut,
    begins_event,
    holds_field,
    is_event_stream,
    may_hold_events,
)

# A blank line ends an event; a line ends with CRLF, LF or CR. A single CR at the end of
# the data may be the first half of CRLF, so that it ends a blank line only in a stream
# whose lines end with CR.
EVENT_END = re.compile(rb"\r?\n(?:\r?\n|\r(?=[^\n]))|\r\r\n?")
EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
# Limit for an incomplete event; the upstreams' events hold a few tokens.
EVENT_BYTES_MAX = 1 << 18


class MalformedStream(FescueflowError):
    """The bytes are not those of the stream that was asked for."""


class EventSplitter:
    """Splits the bytes of a stream into complete events.

    Parameters
    ----------
    content_type : str, optional
        Type of the body, if its head has one.
    field_names : collection of bytes, optional
        Names of fields in addition to those of the format.
    event_bytes_max : float, optional
        Limit for an incomplete event.

    Attributes
    ----------
    last_id : str or None
        Id of the last complete event.
    event_count : int
        Number of complete events.
    """

    def __init__(
        self,
        content_type: str | None = None,
        field_names: Collection[bytes] = (),
        event_bytes_max: float = EVENT_BYTES_MAX,
    ) -> None:
        self.last_id: str | None = None
        self.event_count = 0
        self._pending = b""
        # Id after which a resumed stream goes on, until its first event.
        self._resumed_after: str | None = None
        # Whether a part of the next event has arrived before the stream was resumed.
        self._awaits_event = False
        self._field_names = field_names
        self._event_bytes_max = event_bytes_max
        self._may_hold_events = may_hold_events(content_type)
        # Whether the body is known to be made of events, and to begin with other text.
        self._holds_events = self._holds_text = False

    def feed(self, data: bytes) -> bytes:
        """Add data and return the events that it completes.

        Raises
        ------
        MalformedStream
            If an incomplete event exceeds its size limit, or if a resumed stream begins
            again instead of going on.
        """
        self._pending += data
        end = 0
        for found in EVENT_END.finditer(self._pending):
            end = found.end()
            self.event_count += 1
        events, self._pending = self._pending[:end], self._pending[end:]
        if len(self._pending) > self._event_bytes_max:
            raise MalformedStream("an event is too large")
        ids = [found.decode("latin-1").strip() for found in EVENT_ID.findall(events)]
        if ids:
            if not is_later(ids[0], self._resumed_after):
                raise MalformedStream("the stream began again")
            self.last_id, self._resumed_after = ids[-1], None
            self._holds_events, self._holds_text = True, False
        elif not self._holds_events and self._may_hold_events and events.strip():
            self._holds_events = begins_event(events, self._field_names)
            self._holds_text = not self._holds_events
        if self._awaits_event and holds_field(events):
            self._awaits_event = False
        return events

    def find_cut(self) -> StreamCut | None:
        """Return how a body that ends here is cut, ``None`` if it may be whole.

        Notes
        -----
        A body that is not made of events may end anywhere. One that ends between two
        events can't be told from a whole stream.
        """
        if not self._may_hold_events:
            return None
        if not self.has_remainder:
            return StreamCut.BEFORE_EVENT if self._awaits_event else None
        if self._holds_text:
            return None
        if self._holds_events or begins_event(self._pending, self._field_names):
            return StreamCut.INSIDE_EVENT
        return None

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event have arrived."""
        return bool(self._pending)

    @property
    def has_remainder(self) -> bool:
        """Whether something else than line ends follows the last complete event."""
        return bool(self._pending.strip())

    def take_remainder(self) -> bytes:
        """Return the incomplete event at the end of a stream."""
        rest, self._pending = self._pending, b""
        return rest

    def resume(self) -> None:
        """Discard an incomplete event; later ones come from another upstream."""
        self._awaits_event = self._awaits_event or holds_field(self._pending)
        self._pending = b""
        self._resumed_after = self.last_id


def find_body_cut(
    body: bytes, content_type: str | None, field_names: Collection[bytes] = ()
) -> StreamCut | None:
    """Return how a body that was held until its end is cut, if it is a stream.

    Parameters
    ----------
    body : bytes
    content_type : str or None
        A body without one counts as something else.
    field_names : collection of bytes, optional
        Names of fields in addition to those of the format.
    """
    if not is_event_stream(content_type):
        return None
    splitter = EventSplitter(content_type, field_names, event_bytes_max=math.inf)
    splitter.feed(body)
    return splitter.find_cut()


def is_later(event_id: str, other: str | None) -> bool:
    """Return whether an event comes after another one; ids grow by the protocol."""
    if other is None:
        return True
    if event_id.isdecimal() and other.isdecimal():
        return int(event_id) > int(other)
    return event_id != other


__all__ = ["EventSplitter", "MalformedStream", "find_body_cut"]
