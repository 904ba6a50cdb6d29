"""Authenticated UDP messages between instances."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

import logbook

from fescueflow.core import Incarnation, InstanceId
from fescueflow.metrics import Metrics
from fescueflow.schema import (
    DATAGRAM_CONTENT,
    Datagram,
    DecodeError,
    decode_message,
    encode_message,
)
from fescueflow.transport.keyring import MAC_BYTES, Keyring
from fescueflow.transport.messages import (
    MessageCounter,
    MessageRejected,
    Sender,
    read_sender,
)
from fescueflow.transport.network import DatagramSocket, Network
from fescueflow.transport.replays import ReplayFilter
from fescueflow.transport.tasks import Task

# Version 1 had no deflate dictionary. Version 2 had no sequence number in CarriedLoad
# and assigned shares to other holders. Instances that assign shares differently must
# reject each other's datagrams: an instance acquires a share only after it has
# received datagrams from all listed instances among which the share is assigned.
PROTOCOL_VERSION = 3
# Fits into an Ethernet frame of 1,500 bytes with IP, UDP and tunnel headers.
DATAGRAM_BYTES_MAX = 1400
HEADER_BYTES = 2 + MAC_BYTES
CONTENT_BYTES_MAX = DATAGRAM_BYTES_MAX - HEADER_BYTES
POLL_INTERVAL_S = 0.2
MAC_PREFIX = b"datagram\0"
TYPE_NAMES = {
    content_type: type_name for type_name, content_type in DATAGRAM_CONTENT.items()
}

log = logbook.Logger("transport")


Handler = Callable[[Sender, Any], None]


def encode_datagram(message: Datagram, keyring: Keyring) -> bytes:
    """Return the bytes of a datagram: version, key id, MAC, encoded message.

    Raises
    ------
    MessageRejected
        If the datagram would exceed 1,400 bytes.
    """
    payload = encode_message(message)
    if len(payload) > CONTENT_BYTES_MAX:
        raise MessageRejected("oversized")
    head = bytes((PROTOCOL_VERSION, keyring.key_id))
    return head + keyring.sign(MAC_PREFIX + head + payload) + payload


def decode_datagram(data: bytes, keyring: Keyring) -> Datagram:
    """Verify and decode a datagram.

    Raises
    ------
    MessageRejected
        If it is too long, has another version or an invalid MAC, or can't be
        decoded.
    """
    if len(data) > DATAGRAM_BYTES_MAX:
        raise MessageRejected("oversized")
    if len(data) <= HEADER_BYTES:
        raise MessageRejected("malformed")
    if data[0] != PROTOCOL_VERSION:
        raise MessageRejected("version")
    head, mac, payload = data[:2], data[2:HEADER_BYTES], data[HEADER_BYTES:]
    if not keyring.verify(MAC_PREFIX + head + payload, mac, head[1]):
        raise MessageRejected("mac")
    try:
        return decode_message(payload, Datagram)
    except DecodeError:
        raise MessageRejected("malformed") from None


class DatagramEndpoint:
    """The UDP socket of an instance, with one receive task.

    Parameters
    ----------
    network : Network
    address : str
        ``ip:port``. With port 0, ``address`` holds the chosen port after start.
    keyring : Keyring
    instance : InstanceId
        Id of this instance, sent with each datagram.
    incarnation : Incarnation
        Incarnation of this instance, sent with each datagram.
    metrics : Metrics
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
    ) -> None:
        self.address = address
        self.instance = instance
        self.incarnation = incarnation
        self._network = network
        self._keyring = keyring
        self._metrics = metrics
        self._counter = MessageCounter(metrics, "datagram")
        self._handlers: dict[type, Handler] = {}
        self._replay_filter = ReplayFilter()
        self._lock = threading.Lock()
        self._socket: DatagramSocket | None = None
        self._task = Task("datagrams", self._run)

    def register(self, content_type: type, handler: Handler) -> None:
        """Set the handler of a content type; it runs in the receive task."""
        self._handlers[content_type] = handler

    def start(self) -> None:
        """Bind the socket and start the receive task.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        with self._lock:
            if self._socket is not None:
                return
            self._socket = self._network.bind_datagram(self.address)
            self.address = self._socket.address
        self._task.start()

    def stop(self) -> None:
        """Stop the receive task and close the socket."""
        self._task.stop()
        with self._lock:
            if self._socket is not None:
                self._socket.close()
                self._socket = None

    def send(self, address: str, content: Any) -> None:
        """Send one message; failures are counted and not raised."""
        self.send_all((address,), content)

    def send_all(self, addresses: Iterable[str], content: Any) -> None:
        """Send one message to several instances, encoded and signed once.

        Failures are counted and not raised. A failure for one address does not
        prevent sending to the others.
        """
        type_name = TYPE_NAMES.get(type(content), "unknown")
        message = Datagram(self.instance, self.incarnation, content)
        try:
            data = encode_datagram(message, self._keyring)
        except MessageRejected as error:
            self._metrics.count("datagram_send_errors", reason=error.reason)
            return
        except Exception:
            # The codec raises several exception types for values out of range.
            self._metrics.count("datagram_send_errors", reason="invalid")
            return
        for address in addresses:
            self._send_encoded(address, data, type_name)

    def _send_encoded(self, address: str, data: bytes, type_name: str) -> None:
        datagram_socket = self._socket
        if datagram_socket is None:
            self._metrics.count("datagram_send_errors", reason="closed")
            return
        try:
            datagram_socket.send(data, address)
        except OSError:
            self._metrics.count("datagram_send_errors", reason="socket")
        except Exception:
            self._metrics.count("datagram_send_errors", reason="invalid")
        else:
            self._counter.count("sent", type_name, len(data))

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            datagram_socket = self._socket
            if datagram_socket is None:
                return
            try:
                received = datagram_socket.receive(POLL_INTERVAL_S)
            except OSError:
                # Linux reports an ICMP error caused by an earlier send here.
                self._metrics.count("datagram_receive_errors")
                stopping.wait(0.01)
                continue
            if received is not None:
                self.handle(*received)

    def handle(self, data: bytes, source: str) -> None:
        """Verify one datagram and pass it to its handler; never raises."""
        try:
            message = decode_datagram(data, self._keyring)
            type_name = TYPE_NAMES[type(message.content)]
            sender = read_sender(message, self.instance, self.incarnation, source)
            if self._replay_filter.is_replayed(sender, message.content):
                raise MessageRejected("replayed")
        except MessageRejected as error:
            self._counter.count_rejected(error.reason)
            return
        except Exception as error:
            self._counter.count_rejected("failed")
            log.error("failed to process datagram from {}: {!r}", source, error)
            return
        self._counter.count("received", type_name, len(data))
        self._dispatch(sender, type_name, message.content)

    def _dispatch(self, sender: Sender, type_name: str, content: Any) -> None:
        try:
            handler = self._handlers.get(type(content))
            if handler is None:
                self._counter.count_rejected("no_handler")
            else:
                handler(sender, content)
        except Exception as error:
            self._metrics.count("datagram_handler_errors", type=type_name)
            log.error("handler of {} from {} failed: {!r}", type_name, sender, error)


__all__ = [
    "CONTENT_BYTES_MAX",
    "DATAGRAM_BYTES_MAX",
    "DatagramEndpoint",
    "decode_datagram",
    "encode_datagram",
]
