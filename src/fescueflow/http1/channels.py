"""Server channel that writes response data directly to the socket."""

import contextlib
import time
from typing import Any

from waitress.channel import HTTPChannel


class DirectChannel(HTTPChannel):
    """Waitress channel that bypasses the output buffers while they are empty.

    Notes
    -----
    Writing to the buffers of waitress costs as much as the system call to send,
    and parts of a response rarely need buffering.
    """

    def write_soon(self, data: Any) -> int:
        """Send or buffer the data; return its size in bytes."""
        if not isinstance(data, bytes) or self.total_outbufs_len or not data:
            return int(super().write_soon(data))
        sent = 0
        # The server's event loop holds this lock while it sends or closes.
        with self.outbuf_lock:
            if self.connected and not self.total_outbufs_len:
                # On an error, the buffered write below meets it again and handles it.
                with contextlib.suppress(OSError):
                    sent = self.socket.send(data)
                    self.last_activity = time.time()
        if sent < len(data):
            super().write_soon(data[sent:])
        return len(data)


__all__ = ["DirectChannel"]
