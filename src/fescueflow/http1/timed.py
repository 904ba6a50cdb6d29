"""Socket reads with an idle timeout and a total time limit."""

import http.client
import io
import socket
import time
from collections.abc import Callable
from typing import Any


class TimedStream(io.RawIOBase):
    """Raw stream that reads from a socket within time limits.

    Parameters
    ----------
    connection : socket.socket
    deadline : float
        Time from which reads fail, on the clock of ``now``.
    read_timeout_s : float
        Longest wait for data in one read, in seconds.
    now : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        connection: socket.socket,
        deadline: float,
        read_timeout_s: float,
        now: Callable[[], float],
    ) -> None:
        self._connection = connection
        self._deadline = deadline
        self._read_timeout_s = read_timeout_s
        self._now = now
        self.has_ended = False

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read into the buffer; return the number of bytes, 0 at the end.

        Raises
        ------
        OSError
            ``TimeoutError`` if either limit is exceeded.
        """
        self._set_timeout()
        count = self._connection.recv_into(buffer)
        self.has_ended = self.has_ended or not count
        return count

    def receive(self, count: int) -> bytes:
        """Return up to ``count`` bytes, empty at the end.

        Raises
        ------
        OSError
            ``TimeoutError`` if either limit is exceeded.
        """
        self._set_timeout()
        return self._connection.recv(count)

    def _set_timeout(self) -> None:
        remaining_s = self._deadline - self._now()
        if remaining_s <= 0:
            raise TimeoutError("response exceeded its time limit")
        self._connection.settimeout(min(remaining_s, self._read_timeout_s))


class TimedConnection:
    """Subset of the socket interface that ``http.client`` uses, with time limits.

    Notes
    -----
    ``http.client`` closes its socket as soon as it has read a head with
    ``Connection: close``, before the body is read, and keeps a socket open while
    it holds a reader of it. Therefore the code that opened the connection closes it.
    """

    def __init__(
        self,
        connection: socket.socket,
        deadline: float,
        read_timeout_s: float,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._stream = TimedStream(connection, deadline, read_timeout_s, now)
        self.sendall = connection.sendall
        self.recv = self._stream.receive

    def check_head(self) -> None:
        """Check that the connection did not end within the head that was just read.

        Raises
        ------
        http.client.IncompleteRead
            If it did. ``http.client`` takes the end of the connection for that of the
            head, so that a cut one without its length may look like that of a whole
            response.
        """
        if self._stream.has_ended:
            raise http.client.IncompleteRead(b"")

    def close(self) -> None:
        """Do nothing, so that the rest of the response can be read."""

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader of the response."""
        return io.BufferedReader(self._stream)


__all__ = ["TimedConnection"]
