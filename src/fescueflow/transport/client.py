"""Exchanges with other instances over pooled TCP connections."""

import socket
import threading
import time
from dataclasses import dataclass
from typing import Any

from fescueflow.core import Incarnation, InstanceId, PeerError
from fescueflow.metrics import Metrics
from fescueflow.schema import Failure, Frame, Pending
from fescueflow.transport.framing import (
    Deadline,
    get_type_name,
    receive_frame,
    seal_frame,
)
from fescueflow.transport.keyring import Keyring
from fescueflow.transport.messages import MessageCounter, MessageRejected
from fescueflow.transport.network import Network

IDLE_MAX_PER_ADDRESS = 8
# Shorter than the server's idle limit, so that the client closes first.
IDLE_LIMIT_S = 3.0
PRUNE_INTERVAL_S = 1.0


class PeerFailure(PeerError):
    """The other instance answered with a ``Failure`` frame.

    ``type`` is the type of the error there, such as ``overloaded``.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.type}: {failure.message}", sent=True)
        self.type = failure.type


@dataclass
class Progress:
    """Bytes of one attempt."""

    written: int = 0
    answered: bool = False


class ConnectionPool:
    """Idle connections by address; each holds no unfinished exchange."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[float, socket.socket]]] = {}
        self._pruned_at = 0.0
        self._closed = False

    def take(self, address: str) -> socket.socket | None:
        """Return an idle connection that the other side has not closed."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                idle_since, connection = idle.pop()
            fresh = time.monotonic() - idle_since < IDLE_LIMIT_S
            if fresh and is_quiet(connection):
                return connection
            connection.close()

    def put(self, address: str, connection: socket.socket) -> None:
        """Keep a connection whose exchange is finished."""
        now = time.monotonic()
        with self._lock:
            idle = self._idle.setdefault(address, [])
            kept = not self._closed and len(idle) < IDLE_MAX_PER_ADDRESS
            if kept:
                idle.append((now, connection))
            expired = self._remove_expired(now)
        for old in expired if kept else [*expired, connection]:
            old.close()

    def _remove_expired(self, now: float) -> list[socket.socket]:
        if now - self._pruned_at < PRUNE_INTERVAL_S:
            return []
        self._pruned_at = now
        expired: list[socket.socket] = []
        for address, idle in list(self._idle.items()):
            expired += [c for since, c in idle if now - since >= IDLE_LIMIT_S]
            idle[:] = [entry for entry in idle if now - entry[0] < IDLE_LIMIT_S]
            if not idle:
                del self._idle[address]
        return expired

    def close(self) -> None:
        """Close all idle connections; later ones are not kept."""
        with self._lock:
            self._closed = True
            idle = [c for entries in self._idle.values() for _, c in entries]
            self._idle.clear()
        for connection in idle:
            connection.close()


def is_quiet(connection: socket.socket) -> bool:
    """Return whether an idle connection is open and has no unread bytes."""
    try:
        connection.setblocking(False)
        connection.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, TimeoutError):
        return True
    except OSError:
        return False
    return False


class FrameClient:
    """Sends requests to other instances, one exchange at a time per connection.

    Parameters
    ----------
    network : Network
    keyring : Keyring
    instance : InstanceId
    incarnation : Incarnation
    metrics : Metrics
    silence_timeout_s : float
        A connection without a byte for this time is closed.
    """

    def __init__(
        self,
        *,
        network: Network,
        keyring: Keyring,
        instance: InstanceId,
        incarnation: Incarnation,
        metrics: Metrics,
        silence_timeout_s: float,
    ) -> None:
        self._network = network
        self._keyring = keyring
        self._instance = instance
        self._incarnation = incarnation
        self._metrics = metrics
        self._counter = MessageCounter(metrics, "frame")
        self._silence_s = silence_timeout_s
        self._pool = ConnectionPool()

    def exchange(
        self, address: str, content: Any, timeout_s: float, reuse: bool = True
    ) -> Any:
        """Send a request and return the answer's content.

        Parameters
        ----------
        address : str
        content : dataclass
            A frame content.
        timeout_s : float
            Limit of the whole exchange.
        reuse : bool
            Whether a pooled connection may be used. If that turns out to be
            closed before any byte of an answer, the request is sent once more
            on a new connection. With False, a new connection is opened, used
            for this exchange only and the request is sent at most once.

        Raises
        ------
        PeerError
            ``sent`` is False only if no byte of the request was written.
            ``PeerFailure`` if the other instance answered with a failure.
        """
        name = get_type_name(content)
        frame = Frame(self._instance, self._incarnation, content)
        try:
            data = seal_frame(frame, self._keyring)
        except Exception as error:
            # Too large, or values out of range, for which the codec raises
            # different types.
            raise PeerError(f"{name} can't be sent: {error}", sent=False) from error
        deadline = Deadline(timeout_s, self._silence_s)
        pooled = self._pool.take(address) if reuse else None
        written = False
        if pooled is not None:
            progress = Progress()
            try:
                return self._use(pooled, address, data, name, deadline, progress, True)
            except ConnectionError as error:
                if progress.answered:
                    raise self._fail(address, name, error, True) from error
                written = progress.written > 0
                self._metrics.count("frame_retries", type=name)
            except (OSError, MessageRejected) as error:
                raise self._fail(address, name, error, progress.written > 0) from error
        return self._use_new(address, data, name, deadline, written, reuse)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _use_new(
        self,
        address: str,
        data: bytes,
        name: str,
        deadline: Deadline,
        written: bool,
        reuse: bool,
    ) -> Any:
        progress = Progress()
        try:
            connection = self._connect(address, deadline)
            return self._use(connection, address, data, name, deadline, progress, reuse)
        except (OSError, ValueError, MessageRejected) as error:
            sent = written or progress.written > 0
            raise self._fail(address, name, error, sent) from error

    def _connect(self, address: str, deadline: Deadline) -> socket.socket:
        connection = self._network.connect(address, deadline.get_limit())
        self._metrics.count("peer_connections", direction="opened")
        return connection

    def _use(
        self,
        connection: socket.socket,
        address: str,
        data: bytes,
        name: str,
        deadline: Deadline,
        progress: Progress,
        reuse: bool,
    ) -> Any:
        """Run one exchange; the connection is kept only if it was completed."""
        finished = False
        try:
            self._send(connection, data, deadline, progress)
            self._counter.count("sent", name, len(data))
            content = self._receive(connection, deadline, progress)
            finished = True
        finally:
            if finished and reuse:
                self._pool.put(address, connection)
            else:
                connection.close()
        if isinstance(content, Failure):
            raise PeerFailure(content)
        return content

    def _send(
        self,
        connection: socket.socket,
        data: bytes,
        deadline: Deadline,
        progress: Progress,
    ) -> None:
        view = memoryview(data)
        while progress.written < len(data):
            deadline.apply(connection)
            progress.written += connection.send(view[progress.written :])

    def _receive(
        self, connection: socket.socket, deadline: Deadline, progress: Progress
    ) -> Any:
        while True:
            deadline.apply(connection)
            start = connection.recv(1)
            if not start:
                raise ConnectionResetError("connection closed before an answer")
            progress.answered = True
            frame, size = receive_frame(connection, self._keyring, deadline, start)
            self._counter.count("received", get_type_name(frame.content), size)
            if not isinstance(frame.content, Pending):
                return frame.content

    def _fail(self, address: str, name: str, error: Exception, sent: bool) -> PeerError:
        if isinstance(error, MessageRejected):
            self._counter.count_rejected(error.reason)
        reason = "timeout" if isinstance(error, TimeoutError) else "broken"
        self._metrics.count("peer_errors", type=name, reason=reason)
        return PeerError(f"{name} to {address} failed: {error}", sent)


__all__ = ["FrameClient", "PeerFailure"]
