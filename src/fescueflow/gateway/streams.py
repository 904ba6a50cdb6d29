"""Relay of an event stream, across upstreams where it may be resumed."""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from fescueflow.core import Clock
from fescueflow.gateway.exchange import ExchangeFailed
from fescueflow.routing import AttemptEnd

EVENT_END = re.compile(rb"\r?\n\r?\n")
# Bytes of an event that has not ended yet. Events of the sheets hold a few tokens.
EVENT_BYTES_MAX = 1 << 20
EVENT_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class StreamBroken(Exception):  # noqa: N818
    """A stream ends before its last event; the caller's connection is closed."""


class EventSplitter:
    """Takes the bytes of a stream and gives back whole events.

    Attributes
    ----------
    last_id : str or None
        Id of the last whole event.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self._pending = b""

    def add(self, data: bytes) -> bytes:
        """Return the events that are whole now.

        Raises
        ------
        ExchangeFailed
            If an event does not end.
        """
        self._pending += data
        end = 0
        for found in EVENT_END.finditer(self._pending):
            end = found.end()
        whole, self._pending = self._pending[:end], self._pending[end:]
        if len(self._pending) > EVENT_BYTES_MAX:
            raise ExchangeFailed(AttemptEnd.BROKEN, "an event is too large")
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return whole

    def take_rest(self) -> bytes:
        """Return what is left at the end of a stream."""
        rest, self._pending = self._pending, b""
        return rest

    def drop_rest(self) -> None:
        """Forget the start of an event that an upstream did not finish."""
        self._pending = b""


@dataclass
class StreamBody:
    """Body for the WSGI server, whose ``close`` runs even if it is never read."""

    parts: Iterator[bytes]
    end: Callable[[], None]

    def __iter__(self) -> Iterator[bytes]:
        """Return the parts."""
        return self.parts

    def close(self) -> None:
        """Release the upstream."""
        close_parts = getattr(self.parts, "close", None)
        if close_parts is not None:
            close_parts()
        self.end()


@dataclass
class RelayTimes:
    """Longest pauses of a relayed stream, in seconds, and the number of its parts.

    ``gap_s`` is a wait for the upstream, ``hold_s`` one for the caller to take a part.
    """

    parts: int = 0
    gap_s: float = 0.0
    hold_s: float = 0.0


def watch_times(
    parts: Iterator[bytes], times: RelayTimes, clock: Clock
) -> Iterator[bytes]:
    """Yield the parts and note how long each was waited for and held."""
    asked_at = clock.monotonic()
    for part in parts:
        got_at = clock.monotonic()
        times.parts += 1
        times.gap_s = max(times.gap_s, got_at - asked_at)
        yield part
        asked_at = clock.monotonic()
        times.hold_s = max(times.hold_s, asked_at - got_at)


def chain(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the first part, if it is not empty, and the rest."""
    if first:
        yield first
    yield from rest


__all__ = [
    "EventSplitter",
    "RelayTimes",
    "StreamBody",
    "StreamBroken",
    "chain",
    "watch_times",
]
