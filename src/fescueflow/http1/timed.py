"""Reads from a socket that are limited by silence and by total time."""

import io
import socket
import time
from collections.abc import Callable
from typing import Any


class TimedStream(io.RawIOBase):
    """Bytes of a socket.

    Parameters
    ----------
    connection : socket.socket
    ends_at : float
        When reading ends, on the clock of ``now``.
    silence_s : float
        Limit for each wait.
    now : callable
    """

    def __init__(
        self,
        connection: socket.socket,
        ends_at: float,
        silence_s: float,
        now: Callable[[], float],
    ) -> None:
        self._connection = connection
        self._ends_at = ends_at
        self._silence_s = silence_s
        self._now = now

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read up to the size of the buffer.

        Raises
        ------
        OSError
            ``TimeoutError`` at either limit.
        """
        self._limit_wait()
        return self._connection.recv_into(buffer)

    def receive(self, count: int) -> bytes:
        """Return up to this many bytes, empty at the end.

        Raises
        ------
        OSError
            ``TimeoutError`` at either limit.
        """
        self._limit_wait()
        return self._connection.recv(count)

    def _limit_wait(self) -> None:
        left_s = self._ends_at - self._now()
        if left_s <= 0:
            raise TimeoutError("answer exceeded its time limit")
        self._connection.settimeout(min(left_s, self._silence_s))


class TimedConnection:
    """The part of a socket that readers of HTTP use, with time limits.

    Notes
    -----
    ``http.client`` closes its socket as soon as it has read a head that ends the
    connection, while the body is still to be read, and keeps a socket open whose
    reader it has; whoever opened the connection closes it.
    """

    def __init__(
        self,
        connection: socket.socket,
        ends_at: float,
        silence_s: float,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._stream = TimedStream(connection, ends_at, silence_s, now)
        self.sendall = connection.sendall
        self.recv = self._stream.receive

    def close(self) -> None:
        """Leave the connection open for the rest of the answer."""

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a reader for the answer."""
        return io.BufferedReader(self._stream)


__all__ = ["TimedConnection"]
