"""Server for requests from other instances, one thread per connection."""

import select
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Any

import logbook

from fescueflow.core import Incarnation, InstanceId, RequestError
from fescueflow.metrics import Metrics
from fescueflow.schema import Failure, Frame, Pending
from fescueflow.transport.framing import (
    ConnectionClosed,
    Deadline,
    encode_frame,
    get_type_name,
    receive_frame,
)
from fescueflow.transport.keyring import Keyring
from fescueflow.transport.messages import (
    MessageCounter,
    MessageRejected,
    Sender,
    read_sender,
)
from fescueflow.transport.network import Network, format_address
from fescueflow.transport.tasks import STOP_TIMEOUT_S, Task

POLL_INTERVAL_S = 0.2
PENDING_INTERVAL_S = 0.25
PENDING_SCAN_INTERVAL_S = 0.05
IDLE_TIMEOUT_S = 5.0
RECEIVE_SILENCE_TIMEOUT_S = 1.0
RECEIVE_TIMEOUT_S = 10.0
SEND_TIMEOUT_S = 5.0

log = logbook.Logger("transport")

FrameHandler = Callable[[Sender, Any], Any]


class ServedConnection:
    """An accepted connection and the state of its current exchange."""

    def __init__(self, accepted: socket.socket, address: str) -> None:
        self.socket = accepted
        self.address = address
        self.write_lock = threading.Lock()
        # End of the last exchange; ``None`` during an exchange and before the first
        # one, because a client that has just connected is about to send.
        self.idle_since: float | None = None
        self.handling_since: float | None = None
        self.last_write_at = 0.0

    def abort(self) -> None:
        """Shut the connection down; the thread that serves it closes the socket."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class FrameServer:
    """TCP server of an instance.

    Parameters
    ----------
    network : Network
    address : str
        ``ip:port``. With port 0, ``address`` holds the chosen port after start.
    keyring : Keyring
    instance : InstanceId
        Id of this instance, sent with each answer.
    incarnation : Incarnation
        Incarnation of this instance, sent with each answer.
    metrics : Metrics
    connections_max : int
        Maximum number of connections. At this number, a new connection replaces
        the one that has been idle for the longest time, or is refused if none is
        idle.
    """

    def __init__(
        self,
        *,
        network: Network,
        address: str,
        keyring: Keyring,
        instance: InstanceId,
        incarnation: Incarnation,
        metrics: Metrics,
        connections_max: int,
    ) -> None:
        self.address = address
        self._network = network
        self._keyring = keyring
        self._instance = instance
        self._incarnation = incarnation
        self._metrics = metrics
        self._counter = MessageCounter(metrics, "frame")
        self._connections_max = connections_max
        self._handlers: dict[type, FrameHandler] = {}
        self._lock = threading.Lock()
        self._connections: dict[ServedConnection, Future[None]] = {}
        self._listener: socket.socket | None = None
        self._executor: ThreadPoolExecutor | None = None
        self._handlers_active = threading.Event()
        self._stopping = threading.Event()
        self._accept_task = Task("frame-accept", self._run_accept_loop)
        self._pending_task = Task("frame-pending", self._run_pending_loop)

    def register(self, content_type: type, handler: FrameHandler) -> None:
        """Set the handler of a content type; it returns the content of the answer.

        A ``RequestError`` raised by the handler becomes a ``Failure`` frame.
        """
        self._handlers[content_type] = handler

    def start(self) -> None:
        """Bind the listening socket and start serving.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        with self._lock:
            if self._listener is not None:
                return
            self._listener = self._network.listen(self.address)
            self._listener.settimeout(POLL_INTERVAL_S)
            self.address = format_address(*self._listener.getsockname()[:2])
            self._stopping = threading.Event()
            self._executor = ThreadPoolExecutor(self._connections_max, "frame")
        self._accept_task.start()
        self._pending_task.start()

    def stop(self) -> None:
        """Stop listening, shut all connections down and wait for their threads."""
        self._stopping.set()
        self._accept_task.stop()
        self._pending_task.stop()
        with self._lock:
            listener, executor = self._listener, self._executor
            self._listener = self._executor = None
            connections = dict(self._connections)
        if listener is not None:
            listener.close()
        for connection, future in connections.items():
            connection.abort()
            if future.cancel():
                self._remove(connection)
        if executor is not None:
            executor.shutdown(wait=False)
        wait(connections.values(), STOP_TIMEOUT_S)

    def _run_accept_loop(self, stopping: threading.Event) -> None:
        listener = self._listener
        while listener is not None and not stopping.is_set():
            try:
                accepted, source = listener.accept()
            except TimeoutError:
                continue
            except OSError:
                # Out of file descriptors, or the client has already disconnected.
                self._metrics.count("peer_accept_errors")
                stopping.wait(0.05)
                continue
            self._serve_or_refuse(accepted, format_address(*source[:2]))

    def _serve_or_refuse(self, accepted: socket.socket, address: str) -> None:
        connection = ServedConnection(accepted, address)
        with self._lock:
            executor = self._executor
            full = len(self._connections) >= self._connections_max
            longest_idle = self._find_longest_idle() if full else None
            if executor is None or (full and longest_idle is None):
                self._metrics.count("peer_connections", direction="refused")
                accepted.close()
                return
            if longest_idle is not None:
                longest_idle.idle_since = None
                longest_idle.abort()
            try:
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as error:
                # The client has disconnected; the loop must accept others.
                log.debug("{} disconnected: {!r}", address, error)
                self._metrics.count("peer_accept_errors")
                accepted.close()
                return
            self._connections[connection] = executor.submit(
                self._serve_connection, connection
            )
        self._metrics.count("peer_connections", direction="accepted")

    def _find_longest_idle(self) -> ServedConnection | None:
        idle = [
            c
            for c in self._connections
            if c.idle_since is not None and not has_data(c.socket)
        ]
        return min(idle, key=lambda c: c.idle_since or 0.0, default=None)

    def _remove(self, connection: ServedConnection) -> None:
        with self._lock:
            self._connections.pop(connection, None)
        with connection.write_lock:
            connection.socket.close()

    def _serve_connection(self, connection: ServedConnection) -> None:
        try:
            while not self._stopping.is_set():
                self._serve_exchange(connection)
        except (ConnectionClosed, ConnectionError):
            pass
        except TimeoutError:
            self._metrics.count("peer_connections", direction="expired")
        except MessageRejected as error:
            self._counter.count_rejected(error.reason)
        except OSError:
            self._metrics.count("peer_connections", direction="failed")
        except Exception as error:
            self._counter.count_rejected("failed")
            log.error("connection from {} failed: {!r}", connection.address, error)
        finally:
            self._remove(connection)

    def _serve_exchange(self, connection: ServedConnection) -> None:
        is_new = connection.idle_since is None
        connection.socket.settimeout(
            RECEIVE_SILENCE_TIMEOUT_S if is_new else IDLE_TIMEOUT_S
        )
        # The byte stays in the buffer, so that the connection does not look idle, until
        # it is marked as busy.
        if not connection.socket.recv(1, socket.MSG_PEEK):
            raise ConnectionClosed("connection closed by the peer")
        with self._lock:
            connection.idle_since = None
        first_byte = connection.socket.recv(1)
        deadline = Deadline(RECEIVE_TIMEOUT_S, RECEIVE_SILENCE_TIMEOUT_S)
        frame, size = receive_frame(
            connection.socket, self._keyring, deadline, first_byte
        )
        self._counter.count("received", get_type_name(frame.content), size)
        sender = read_sender(
            frame, self._instance, self._incarnation, connection.address
        )
        now = time.monotonic()
        connection.last_write_at = now
        connection.handling_since = now
        self._handlers_active.set()
        try:
            answer = self._encode_answer(self._handle(sender, frame.content))
        finally:
            with connection.write_lock:
                connection.handling_since = None
        with connection.write_lock:
            connection.socket.settimeout(SEND_TIMEOUT_S)
            connection.socket.sendall(answer)
        with self._lock:
            connection.idle_since = time.monotonic()

    def _handle(self, sender: Sender, content: Any) -> Any:
        handler = self._handlers.get(type(content))
        type_name = get_type_name(content)
        if handler is None:
            return Failure("unsupported", f"no handler for {type_name}")
        try:
            return handler(sender, content)
        except RequestError as error:
            return Failure(error.type, error.message)
        except Exception as error:
            self._metrics.count("frame_handler_errors", type=type_name)
            log.error("handler of {} from {} failed: {!r}", type_name, sender, error)
            return Failure("internal_error", type(error).__name__)

    def _encode_answer(self, content: Any) -> bytes:
        try:
            data = self._encode(content)
        except Exception as error:
            type_name = get_type_name(content)
            self._metrics.count("frame_handler_errors", type=type_name)
            log.error("failed to encode answer {}: {!r}", type_name, error)
            content = Failure("internal_error", f"failed to encode {type_name}")
            data = self._encode(content)
        self._counter.count("sent", get_type_name(content), len(data))
        return data

    def _encode(self, content: Any) -> bytes:
        frame = Frame(self._instance, self._incarnation, content)
        return encode_frame(frame, self._keyring)

    def _run_pending_loop(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            if not self._handlers_active.wait(POLL_INTERVAL_S) or stopping.wait(
                PENDING_SCAN_INTERVAL_S
            ):
                continue
            now = time.monotonic()
            with self._lock:
                # Cleared before the scan, so that a handler that starts during it sets
                # the event again.
                self._handlers_active.clear()
                handling = [
                    c for c in self._connections if c.handling_since is not None
                ]
            if handling:
                self._handlers_active.set()
            due = [c for c in handling if now - c.last_write_at >= PENDING_INTERVAL_S]
            for connection in due:
                self._send_pending_frame(connection, now)

    def _send_pending_frame(self, connection: ServedConnection, now: float) -> None:
        """Tell the client that its request is still being handled.

        The frame is sent without blocking. A partly sent frame would corrupt the
        stream, so the connection is then shut down.
        """
        with connection.write_lock:
            since = connection.handling_since
            if since is None:
                return
            connection.last_write_at = now
            data = self._encode(Pending(int((now - since) * 1000)))
            try:
                connection.socket.setblocking(False)
                sent = connection.socket.send(data)
            except BlockingIOError:
                return
            except OSError:
                connection.abort()
                return
            if sent < len(data):
                connection.abort()
        self._counter.count("sent", "pending", len(data))


def has_data(connection: socket.socket) -> bool:
    """Return whether a connection has received data, or has ended."""
    poll = select.poll()
    try:
        poll.register(connection, select.POLLIN)
    except (OSError, ValueError):
        # It is closed.
        return True
    return bool(poll.poll(0))


__all__ = ["FrameServer"]
