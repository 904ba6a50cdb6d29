"""Connection of a caller that sends without a detour through buffers."""

import contextlib
import time
from typing import Any

from waitress.channel import HTTPChannel


class DirectChannel(HTTPChannel):
    """Sends data at once if none is pending; passes the rest to the buffers.

    Notes
    -----
    The buffers of waitress cost as much as the system call, and an answer's parts
    hardly ever stay in them.
    """

    def write_soon(self, data: Any) -> int:
        """Send data or add it to what is pending; return its size in bytes."""
        if not isinstance(data, bytes) or self.total_outbufs_len or not data:
            return int(super().write_soon(data))
        sent = 0
        # The server's loop closes the connection, and sends, under this lock.
        with self.outbuf_lock:
            if self.connected and not self.total_outbufs_len:
                # Errors are met again, and handled, by the buffered way.
                with contextlib.suppress(OSError):
                    sent = self.socket.send(data)
                    self.last_activity = time.time()
        if sent < len(data):
            super().write_soon(data[sent:])
        return len(data)


__all__ = ["DirectChannel"]
