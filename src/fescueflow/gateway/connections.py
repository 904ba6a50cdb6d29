"""Connections to upstreams that are kept for the next request."""

import select
import socket
import threading
from collections import deque
from dataclasses import dataclass

from fescueflow.core import Clock

# Longest wait for a new connection, in seconds; a lost opening packet is sent again
# after a second, and another upstream is quicker then.
CONNECT_S = 0.8
# A connection that was idle for longer is closed, in seconds; upstreams close idle
# ones after a time that they need not name.
IDLE_MAX_S = 4.0
# Of the idle time that an upstream names, the part that is used.
IDLE_PART = 0.5
IDLE_COUNT_MAX = 16
# Unacknowledged bytes end a connection after this many milliseconds; a partition
# would hold it open otherwise.
USER_TIMEOUT_MS = 3000


@dataclass
class UpstreamConnection:
    """A connection with no unfinished exchange.

    ``idle_max_s`` is how long it may wait for the next request.
    """

    socket: socket.socket
    address: str
    is_new: bool = True
    idle_since: float = 0.0
    idle_max_s: float = IDLE_MAX_S

    def is_quiet(self) -> bool:
        """Return whether no byte and no end has arrived on the idle connection."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()


class ConnectionPool:
    """Idle connections by address; safe for use from several threads.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[str, deque[UpstreamConnection]] = {}

    def take(self, address: str) -> UpstreamConnection | None:
        """Return the idle connection that was used last, ``None`` without one."""
        now = self._clock.monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            fresh = now - connection.idle_since < connection.idle_max_s
            if fresh and connection.is_quiet():
                connection.is_new = False
                return connection
            connection.close()

    def open(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Open a connection; raises ``OSError``."""
        host, _, port = address.rpartition(":")
        opened = socket.create_connection(
            (host, int(port)), min(CONNECT_S, max(0.001, timeout_s))
        )
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        return UpstreamConnection(opened, address)

    def give_back(
        self, connection: UpstreamConnection, keep_alive_s: float | None
    ) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = self._clock.monotonic()
        if keep_alive_s is not None:
            connection.idle_max_s = min(IDLE_MAX_S, keep_alive_s * IDLE_PART)
        with self._lock:
            idle = self._idle.setdefault(connection.address, deque())
            idle.append(connection)
            surplus = idle.popleft() if len(idle) > IDLE_COUNT_MAX else None
        if surplus is not None:
            surplus.close()

    def close_idle(self, kept: set[str]) -> None:
        """Close what was idle for too long, or leads to an address not kept."""
        now = self._clock.monotonic()
        closed: list[UpstreamConnection] = []
        with self._lock:
            for address, idle in list(self._idle.items()):
                while idle and (
                    address not in kept
                    or now - idle[0].idle_since >= idle[0].idle_max_s
                ):
                    closed.append(idle.popleft())
                if not idle:
                    del self._idle[address]
        for connection in closed:
            connection.close()


__all__ = ["ConnectionPool", "UpstreamConnection"]
