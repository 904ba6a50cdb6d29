"""Relaying of event streams, which may resume at another upstream."""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from fescueflow.core import Clock
from fescueflow.gateway.buffers import GUARANTEED_BYTES
from fescueflow.gateway.exchange import ExchangeFailed
from fescueflow.routing import AttemptFailure

EVENT_END = re.compile(rb"\r?\n\r?\n")
# Limit for an incomplete event; the upstreams' events hold a few tokens.
EVENT_BYTES_MAX = GUARANTEED_BYTES
EVENT_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class StreamBroken(Exception):  # noqa: N818
    """A stream ended before its last event; the caller's connection is closed."""


class EventSplitter:
    """Splits the bytes of a stream into complete events.

    Attributes
    ----------
    last_id : str or None
        Id of the last complete event.
    event_count : int
        Number of complete events.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self.event_count = 0
        self._pending = b""
        # Id after which a resumed stream goes on, until its first event.
        self._resumed_after: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Add data and return the events that it completes.

        Raises
        ------
        ExchangeFailed
            If an incomplete event exceeds its size limit, or if a resumed stream begins
            again instead of going on.
        """
        self._pending += data
        end = 0
        for found in EVENT_END.finditer(self._pending):
            end = found.end()
            self.event_count += 1
        events, self._pending = self._pending[:end], self._pending[end:]
        if len(self._pending) > EVENT_BYTES_MAX:
            raise ExchangeFailed(AttemptFailure.BROKEN, "an event is too large")
        ids = [found.decode("latin-1").strip() for found in EVENT_ID.findall(events)]
        if ids:
            if not is_later(ids[0], self._resumed_after):
                raise ExchangeFailed(AttemptFailure.BROKEN, "the stream began again")
            self.last_id, self._resumed_after = ids[-1], None
        return events

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event have arrived."""
        return bool(self._pending)

    def take_remainder(self) -> bytes:
        """Return the incomplete event at the end of a stream."""
        rest, self._pending = self._pending, b""
        return rest

    def resume(self) -> None:
        """Discard an incomplete event; later ones come from another upstream."""
        self._pending = b""
        self._resumed_after = self.last_id


def is_later(event_id: str, other: str | None) -> bool:
    """Return whether an event comes after another one; ids grow by the protocol."""
    if other is None:
        return True
    if event_id.isdecimal() and other.isdecimal():
        return int(event_id) > int(other)
    return event_id != other


@dataclass
class StreamBody:
    """WSGI response body; ``close`` is called even if the body is never read."""

    parts: Iterator[bytes]
    on_close: Callable[[], None]

    def __iter__(self) -> Iterator[bytes]:
        """Return the parts."""
        return self.parts

    def close(self) -> None:
        """Close the parts and call ``on_close``, which releases the upstream."""
        close_parts = getattr(self.parts, "close", None)
        if close_parts is not None:
            close_parts()
        self.on_close()


@dataclass
class RelayTimes:
    """Longest pauses of a relayed stream, in seconds, and the number of its parts.

    ``upstream_wait_s`` is the longest wait for a part from the upstream,
    ``caller_wait_s`` the longest wait until the caller has taken a part.
    """

    parts: int = 0
    upstream_wait_s: float = 0.0
    caller_wait_s: float = 0.0


def record_times(
    parts: Iterator[bytes], times: RelayTimes, clock: Clock
) -> Iterator[bytes]:
    """Yield the parts and record the waits for the upstream and the caller."""
    asked_at = clock.monotonic()
    for part in parts:
        got_at = clock.monotonic()
        times.parts += 1
        times.upstream_wait_s = max(times.upstream_wait_s, got_at - asked_at)
        yield part
        asked_at = clock.monotonic()
        times.caller_wait_s = max(times.caller_wait_s, asked_at - got_at)


def prepend(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the first part, if it is not empty, and the rest."""
    if first:
        yield first
    yield from rest


__all__ = [
    "EventSplitter",
    "RelayTimes",
    "StreamBody",
    "StreamBroken",
    "prepend",
    "record_times",
]
