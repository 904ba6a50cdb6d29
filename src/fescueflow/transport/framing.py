"""Frames on TCP connections: 4-byte length, 16-byte MAC, encoded message."""

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
READ_CHUNK_BYTES = 1 << 16
MAC_PREFIX = b"frame\0"
TYPE_NAMES = {
    content_type: type_name for type_name, content_type in FRAME_CONTENT.items()
}


class ConnectionClosed(OSError):
    """The peer closed the connection before or within a frame."""


class Deadline:
    """Time limits of the socket operations of one exchange.

    Parameters
    ----------
    total_timeout_s : float
        Limit of all operations together.
    silence_timeout_s : float
        Limit of each operation, which ends when bytes arrive or are written.
    """

    def __init__(self, total_timeout_s: float, silence_timeout_s: float) -> None:
        self._expires_at = time.monotonic() + total_timeout_s
        self._silence_timeout_s = silence_timeout_s

    def apply(self, connection: socket.socket) -> None:
        """Set the socket's timeout for its next operation.

        Raises
        ------
        TimeoutError
            If the total time has passed.
        """
        connection.settimeout(self.compute_timeout_s())

    def compute_timeout_s(self) -> float:
        """Return the timeout of the next operation in seconds.

        Raises
        ------
        TimeoutError
            If the total time has passed.
        """
        remaining_s = self._expires_at - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("exchange exceeded its time limit")
        return min(remaining_s, self._silence_timeout_s)


def encode_frame(message: Frame, keyring: Keyring) -> bytes:
    """Encode and sign a frame.

    Raises
    ------
    MessageRejected
        If the encoded message exceeds 2 MiB.
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
        If the length is 0 or exceeds 2 MiB.
    """
    length = int.from_bytes(header[:LENGTH_BYTES], "big")
    if length == 0:
        raise MessageRejected("malformed")
    if length > FRAME_BYTES_MAX:
        raise MessageRejected("oversized")
    return length, header[LENGTH_BYTES:HEADER_BYTES]


def decode_payload(payload: bytes, mac: bytes, keyring: Keyring) -> Frame:
    """Verify and decode the payload of a frame.

    Raises
    ------
    MessageRejected
        If the MAC is invalid or the payload can't be decoded.
    """
    if not keyring.verify(MAC_PREFIX + payload, mac):
        raise MessageRejected("mac")
    try:
        return decode_message(payload, Frame)
    except DecodeError:
        raise MessageRejected("malformed") from None


def receive_exactly(
    connection: socket.socket, count: int, deadline: Deadline, prefix: bytes = b""
) -> bytes:
    """Return ``count`` bytes, of which ``prefix`` has already been read.

    Raises
    ------
    OSError
        ``TimeoutError`` after the deadline, ``ConnectionClosed`` if the peer closes
        the connection.
    """
    data = bytearray(prefix)
    while len(data) < count:
        deadline.apply(connection)
        # The buffer grows with the bytes received, not with the announced length.
        chunk = connection.recv(min(READ_CHUNK_BYTES, count - len(data)))
        if not chunk:
            raise ConnectionClosed("connection closed by the peer")
        data += chunk
    return bytes(data)


def receive_frame(
    connection: socket.socket, keyring: Keyring, deadline: Deadline, prefix: bytes = b""
) -> tuple[Frame, int]:
    """Return the next frame and its size in bytes.

    Raises
    ------
    OSError
        If the connection fails, is closed or times out.
    MessageRejected
        If the frame is too large, malformed or has an invalid MAC.
    """
    header = receive_exactly(connection, HEADER_BYTES, deadline, prefix)
    length, mac = parse_header(header)
    payload = receive_exactly(connection, length, deadline)
    return decode_payload(payload, mac, keyring), HEADER_BYTES + length


def get_type_name(content: Any) -> str:
    """Return the name of a frame's content type on the wire."""
    return TYPE_NAMES.get(type(content), "unknown")


__all__ = [
    "ConnectionClosed",
    "Deadline",
    "FRAME_BYTES_MAX",
    "encode_frame",
    "get_type_name",
    "receive_frame",
]
