"""Crowds of callers outside the limits, and what they cost a process."""

import contextlib
import socket
import threading
from pathlib import Path

from tests.gateway.gateway_case import WAIT_S

PIECE_BYTES = 1 << 16
# Time after which a caller gives up sending to an instance that doesn't read.
SEND_TIMEOUT_S = 3.0
HEAD = b"POST /safe/1 HTTP/1.1\r\nHost: fleet.example\r\nAuthorization: Token k1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def render_length(length):
    """Return the header of a body's length and the end of the head."""
    return f"Content-Length: {length}\r\n\r\n".encode()


def iterate_pieces(count):
    """Yield so many bytes in pieces."""
    for start in range(0, count, PIECE_BYTES):
        yield b"x" * min(PIECE_BYTES, count - start)


def iterate_chunks(count, size):
    """Yield so many bytes in chunks, without the end of the body."""
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    group = max(1, PIECE_BYTES // len(chunk))
    left = count // size
    while left > 0:
        yield chunk * min(group, left)
        left -= group


class Crowd:
    """Connections that stay open; closes them at the end of a test.

    Parameters
    ----------
    port : int
    count : int
    receive_bytes : int, optional
        Size of the receive buffers.
    """

    def __init__(self, port, count, receive_bytes=None):
        self._address = ("127.0.0.1", port)
        self._receive_bytes = receive_bytes
        self.callers = [self._connect() for _ in range(count)]

    def _connect(self):
        caller = socket.socket()
        if self._receive_bytes:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes)
        caller.settimeout(SEND_TIMEOUT_S)
        with contextlib.suppress(OSError):
            caller.connect(self._address)
        return caller

    def send(self, make_parts):
        """Send the parts of a request on all connections at once.

        Notes
        -----
        An instance may refuse any of them or close its connection.
        """
        threads = [
            threading.Thread(target=send_parts, args=(caller, make_parts()))
            for caller in self.callers
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(WAIT_S)

    def send_in_turn(self, parts):
        """Send each part on all connections before the next one."""
        for part in parts:
            for caller in self.callers:
                send_parts(caller, (part,))

    def read(self, count):
        """Read so many bytes on each connection, or what comes before its end."""
        for caller in self.callers:
            read_bytes(caller, count)

    def close(self):
        """Close all connections."""
        for caller in self.callers:
            caller.close()


def send_parts(caller, parts):
    """Send parts until the connection fails."""
    with contextlib.suppress(OSError):
        for part in parts:
            caller.sendall(part)


def read_bytes(caller, count):
    """Read so many bytes, or what comes before the connection ends."""
    with contextlib.suppress(OSError):
        while count > 0 and (part := caller.recv(min(count, PIECE_BYTES))):
            count -= len(part)


def read_peak_bytes(process):
    """Return the largest resident memory of a process so far."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ValueError("the system tells no peak")


def count_descriptors(process):
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
