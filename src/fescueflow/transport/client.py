"""Client for requests to other instances over pooled TCP connections."""

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
    encode_frame,
    get_type_name,
    receive_frame,
)
from fescueflow.transport.keyring import Keyring
from fescueflow.transport.messages import MessageCounter, MessageRejected
from fescueflow.transport.network import Network

IDLE_CONNECTIONS_MAX_PER_ADDRESS = 8
# Shorter than the server's idle timeout, so that the client closes first.
IDLE_TIMEOUT_S = 3.0
PRUNE_INTERVAL_S = 1.0


class PeerFailure(PeerError):
    """The other instance answered with a ``Failure`` frame.

    ``type`` is the error type that it reported, such as ``overloaded``.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.type}: {failure.message}", sent=True)
        self.type = failure.type


@dataclass
class AttemptProgress:
    """Progress of one attempt to run an exchange."""

    bytes_written: int = 0
    answer_started: bool = False


class ConnectionPool:
    """Idle connections by address, none with an unfinished exchange."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[float, socket.socket]]] = {}
        self._last_pruned_at = 0.0
        self._closed = False

    def take(self, address: str) -> socket.socket | None:
        """Return an open idle connection, ``None`` if there is none."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                idle_since, connection = idle.pop()
            fresh = time.monotonic() - idle_since < IDLE_TIMEOUT_S
            if fresh and is_reusable(connection):
                return connection
            connection.close()

    def put(self, address: str, connection: socket.socket) -> None:
        """Return a connection to the pool after a completed exchange."""
        now = time.monotonic()
        with self._lock:
            idle = self._idle.setdefault(address, [])
            kept = not self._closed and len(idle) < IDLE_CONNECTIONS_MAX_PER_ADDRESS
            if kept:
                idle.append((now, connection))
            expired = self._remove_expired(now)
        for old in expired if kept else [*expired, connection]:
            old.close()

    def _remove_expired(self, now: float) -> list[socket.socket]:
        if now - self._last_pruned_at < PRUNE_INTERVAL_S:
            return []
        self._last_pruned_at = now
        expired: list[socket.socket] = []
        for address, idle in list(self._idle.items()):
            expired += [c for since, c in idle if now - since >= IDLE_TIMEOUT_S]
            idle[:] = [entry for entry in idle if now - entry[0] < IDLE_TIMEOUT_S]
            if not idle:
                del self._idle[address]
        return expired

    def close(self) -> None:
        """Close all idle connections and those returned later."""
        with self._lock:
            self._closed = True
            idle = [c for entries in self._idle.values() for _, c in entries]
            self._idle.clear()
        for connection in idle:
            connection.close()


def is_reusable(connection: socket.socket) -> bool:
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
        Id of this instance, sent with each request.
    incarnation : Incarnation
        Incarnation of this instance, sent with each request.
    metrics : Metrics
    silence_timeout_s : float
        A connection that transfers no byte for this time is closed.
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
        self._silence_timeout_s = silence_timeout_s
        self._pool = ConnectionPool()

    def exchange(
        self, address: str, content: Any, timeout_s: float, reuse: bool = True
    ) -> Any:
        """Send a request and return the answer's content.

        Parameters
        ----------
        address : str
            ``ip:port`` of the other instance.
        content : dataclass
            Content of the request frame.
        timeout_s : float
            Limit of the whole exchange.
        reuse : bool
            Whether a pooled connection may be used. If it is closed before the
            first byte of the answer, the request is sent once more on a new
            connection. If False, a new connection is opened and used for this
            exchange only, and the request is sent at most once.

        Raises
        ------
        PeerError
            ``sent`` is False only if no byte of the request was written.
            ``PeerFailure`` if the other instance answered with a failure.
        """
        type_name = get_type_name(content)
        frame = Frame(self._instance, self._incarnation, content)
        try:
            data = encode_frame(frame, self._keyring)
        except Exception as error:
            # The frame is too large, or a value is out of range, for which the
            # codec raises several exception types.
            raise PeerError(
                f"failed to encode {type_name}: {error}", sent=False
            ) from error
        deadline = Deadline(timeout_s, self._silence_timeout_s)
        pooled = self._pool.take(address) if reuse else None
        written_before = False
        if pooled is not None:
            progress = AttemptProgress()
            try:
                return self._exchange_on(
                    pooled, address, data, type_name, deadline, progress, True
                )
            except ConnectionError as error:
                if progress.answer_started:
                    raise self._make_error(address, type_name, error, True) from error
                written_before = progress.bytes_written > 0
                self._metrics.count("frame_retries", type=type_name)
            except (OSError, MessageRejected) as error:
                raise self._make_error(
                    address, type_name, error, progress.bytes_written > 0
                ) from error
        return self._exchange_on_new_connection(
            address, data, type_name, deadline, written_before, reuse
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _exchange_on_new_connection(
        self,
        address: str,
        data: bytes,
        type_name: str,
        deadline: Deadline,
        written_before: bool,
        reuse: bool,
    ) -> Any:
        """Run an exchange on a new connection.

        ``written_before`` tells whether an earlier attempt wrote any byte.
        """
        progress = AttemptProgress()
        try:
            connection = self._connect(address, deadline)
            return self._exchange_on(
                connection, address, data, type_name, deadline, progress, reuse
            )
        except (OSError, ValueError, MessageRejected) as error:
            sent = written_before or progress.bytes_written > 0
            raise self._make_error(address, type_name, error, sent) from error

    def _connect(self, address: str, deadline: Deadline) -> socket.socket:
        connection = self._network.connect(address, deadline.compute_timeout_s())
        self._metrics.count("peer_connections", direction="opened")
        return connection

    def _exchange_on(
        self,
        connection: socket.socket,
        address: str,
        data: bytes,
        type_name: str,
        deadline: Deadline,
        progress: AttemptProgress,
        reuse: bool,
    ) -> Any:
        """Run one exchange; pool the connection only if the exchange completes."""
        finished = False
        try:
            self._send(connection, data, deadline, progress)
            self._counter.count("sent", type_name, len(data))
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
        progress: AttemptProgress,
    ) -> None:
        view = memoryview(data)
        while progress.bytes_written < len(data):
            deadline.apply(connection)
            progress.bytes_written += connection.send(view[progress.bytes_written :])

    def _receive(
        self, connection: socket.socket, deadline: Deadline, progress: AttemptProgress
    ) -> Any:
        while True:
            deadline.apply(connection)
            first_byte = connection.recv(1)
            if not first_byte:
                raise ConnectionResetError("connection closed before an answer")
            progress.answer_started = True
            frame, size = receive_frame(connection, self._keyring, deadline, first_byte)
            self._counter.count("received", get_type_name(frame.content), size)
            if not isinstance(frame.content, Pending):
                return frame.content

    def _make_error(
        self, address: str, type_name: str, error: Exception, sent: bool
    ) -> PeerError:
        if isinstance(error, MessageRejected):
            self._counter.count_rejected(error.reason)
        reason = "timeout" if isinstance(error, TimeoutError) else "broken"
        self._metrics.count("peer_errors", type=type_name, reason=reason)
        return PeerError(f"{type_name} to {address} failed: {error}", sent)


__all__ = ["FrameClient", "PeerFailure"]
