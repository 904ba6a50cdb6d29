"""Frames on TCP connections: 4-byte length, 16-byte MAC, packed message."""

import socket
import time
from typing import Any

from fescueflow.schema import (
    FRAME_CONTENT,
    DecodeError,
    Frame,
    decode_message,
    encode_message,
)
from fescueflow.transport.keyring import MAC_BYTES, Keyring
from fescueflow.transport.messages import MessageRejected

FRAME_BYTES_MAX = 2 << 20
LENGTH_BYTES = 4
HEADER_BYTES = LENGTH_BYTES + MAC_BYTES
READ_BYTES = 1 << 16
MAC_PREFIX = b"frame\0"
TYPE_NAMES = {kind: wire for wire, kind in FRAME_CONTENT.items()}


class ConnectionEnded(OSError):
    """The other side closed the connection within or before a frame."""


class Deadline:
    """Limits of socket operations: total time and time without a byte.

    Parameters
    ----------
    total_s : float
    silence_s : float
    """

    def __init__(self, total_s: float, silence_s: float) -> None:
        self._ends_at = time.monotonic() + total_s
        self._silence_s = silence_s

    def apply(self, connection: socket.socket) -> None:
        """Set the socket's timeout for its next operation.

        Raises
        ------
        TimeoutError
            If the total time has passed.
        """
        connection.settimeout(self.get_limit())

    def get_limit(self) -> float:
        """Return the limit of the next operation in seconds.

        Raises
        ------
        TimeoutError
            If the total time has passed.
        """
        left_s = self._ends_at - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("exchange exceeded its time limit")
        return min(left_s, self._silence_s)


def seal_frame(message: Frame, keyring: Keyring) -> bytes:
    """Return the bytes of a frame.

    Raises
    ------
    MessageRejected
        If the message exceeds 2 MiB.
    """
    payload = encode_message(message)
    if len(payload) > FRAME_BYTES_MAX:
        raise MessageRejected("oversized")
    mac = keyring.sign(MAC_PREFIX + payload)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + mac + payload


def parse_header(header: bytes) -> tuple[int, bytes]:
    """Return the payload length and MAC of a frame header.

    Raises
    ------
    MessageRejected
        If the length is not allowed.
    """
    length = int.from_bytes(header[:LENGTH_BYTES], "big")
    if length == 0:
        raise MessageRejected("malformed")
    if length > FRAME_BYTES_MAX:
        raise MessageRejected("oversized")
    return length, header[LENGTH_BYTES:HEADER_BYTES]


def open_payload(payload: bytes, mac: bytes, keyring: Keyring) -> Frame:
    """Return the message of a frame.

    Raises
    ------
    MessageRejected
        If it is not authentic or not a message.
    """
    if not keyring.verify(MAC_PREFIX + payload, mac):
        raise MessageRejected("mac")
    try:
        return decode_message(payload, Frame)
    except DecodeError:
        raise MessageRejected("malformed") from None


def receive_exactly(
    connection: socket.socket, count: int, deadline: Deadline, start: bytes = b""
) -> bytes:
    """Return ``count`` bytes, of which ``start`` has been read already.

    Raises
    ------
    OSError
        ``TimeoutError`` at the deadline, ``ConnectionEnded`` at the end.
    """
    data = bytearray(start)
    while len(data) < count:
        deadline.apply(connection)
        # Memory grows with the bytes received, not with the announced length.
        part = connection.recv(min(READ_BYTES, count - len(data)))
        if not part:
            raise ConnectionEnded("connection closed by the other side")
        data += part
    return bytes(data)


def receive_frame(
    connection: socket.socket, keyring: Keyring, deadline: Deadline, start: bytes = b""
) -> tuple[Frame, int]:
    """Return the next frame and its size in bytes.

    Raises
    ------
    OSError
    MessageRejected
    """
    header = receive_exactly(connection, HEADER_BYTES, deadline, start)
    length, mac = parse_header(header)
    payload = receive_exactly(connection, length, deadline)
    return open_payload(payload, mac, keyring), HEADER_BYTES + length


def get_type_name(content: Any) -> str:
    """Return the wire name of a frame's content."""
    return TYPE_NAMES.get(type(content), "unknown")


__all__ = [
    "ConnectionEnded",
    "Deadline",
    "FRAME_BYTES_MAX",
    "get_type_name",
    "receive_frame",
    "seal_frame",
]
