"""Relay of an event stream, across upstreams where it may be resumed."""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass

EVENT_END = re.compile(rb"\r?\n\r?\n")
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
        """Return the events that are whole now."""
        self._pending += data
        end = 0
        for found in EVENT_END.finditer(self._pending):
            end = found.end()
        whole, self._pending = self._pending[:end], self._pending[end:]
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


def chain(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the first part, if it is not empty, and the rest."""
    if first:
        yield first
    yield from rest


__all__ = ["EventSplitter", "StreamBody", "StreamBroken", "chain"]
