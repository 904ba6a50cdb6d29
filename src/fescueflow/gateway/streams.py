"""Bodies of streams for callers, and how long relaying them takes."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from fescueflow.core import Clock


class StreamBroken(Exception):  # noqa: N818
    """A stream ended before its last event; the caller's connection is closed."""


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
    "RelayTimes",
    "StreamBody",
    "StreamBroken",
    "prepend",
    "record_times",
]
