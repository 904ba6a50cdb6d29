"""Pool of persistent connections to upstreams."""

import select
import socket
import threading
from collections import deque
from dataclasses import dataclass

from fescueflow.core import Clock

# TCP resends a lost SYN after 1 s; trying another upstream is faster.
CONNECT_TIMEOUT_S = 0.8
# Upstreams close idle connections after a time that they need not announce.
IDLE_TIMEOUT_S = 4.0
# Fraction of the announced keep-alive timeout for which a connection is kept.
KEEP_ALIVE_FRACTION = 0.5
IDLE_CONNECTIONS_MAX = 16
# Time that sent data may stay unacknowledged; a network partition would otherwise keep
# the connection open.
USER_TIMEOUT_MS = 3000


@dataclass
class UpstreamConnection:
    """A connection to an upstream.

    ``idle_max_s`` is how long it may be idle and still be reused.
    """

    socket: socket.socket
    address: str
    is_new: bool = True
    idle_since: float = 0.0
    idle_max_s: float = IDLE_TIMEOUT_S

    def is_reusable(self, wait_s: float = 0.0) -> bool:
        """Return whether the idle connection gets no data and no FIN while waiting."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return not poll.poll(wait_s * 1000)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()


class ConnectionPool:
    """Idle connections by address; thread-safe.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[str, deque[UpstreamConnection]] = {}

    def acquire(self, address: str) -> UpstreamConnection | None:
        """Return the most recently used idle connection, ``None`` without one."""
        now = self._clock.monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            fresh = now - connection.idle_since < connection.idle_max_s
            if fresh and connection.is_reusable():
                connection.is_new = False
                return connection
            connection.close()

    def has_open(self, address: str) -> bool | None:
        """Return whether the latest idle connection is open; ``None`` without one."""
        with self._lock:
            idle = self._idle.get(address)
            return idle[-1].is_reusable() if idle else None

    def open(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Open a connection; raises ``OSError``."""
        host, _, port = address.rpartition(":")
        opened = socket.create_connection(
            (host, int(port)), min(CONNECT_TIMEOUT_S, max(0.001, timeout_s))
        )
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        return UpstreamConnection(opened, address)

    def release(
        self, connection: UpstreamConnection, keep_alive_s: float | None
    ) -> None:
        """Return a connection to the pool."""
        connection.idle_since = self._clock.monotonic()
        if keep_alive_s is not None:
            connection.idle_max_s = min(
                IDLE_TIMEOUT_S, keep_alive_s * KEEP_ALIVE_FRACTION
            )
        with self._lock:
            idle = self._idle.setdefault(connection.address, deque())
            idle.append(connection)
            surplus = idle.popleft() if len(idle) > IDLE_CONNECTIONS_MAX else None
        if surplus is not None:
            surplus.close()

    def close_stale(self, kept: set[str]) -> None:
        """Close connections idle for too long or to addresses not in ``kept``."""
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
