"""State of the sockets of connections."""

import select
from typing import Any


def has_data(connection: Any) -> bool:
    """Return whether a socket has a connection or data to read."""
    poll = select.poll()
    try:
        poll.register(connection, select.POLLIN)
    except (TypeError, ValueError):
        # Closed meanwhile by the server's loop.
        return False
    return bool(poll.poll(0))


__all__ = ["has_data"]
