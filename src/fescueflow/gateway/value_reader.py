"""Reads large values of the store from the reader of the zone."""

import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from urllib.parse import urlencode

import logbook

from fescueflow.core import PlatformUnavailable, Revision
from fescueflow.gateway.active_set import REQUESTS_PER_INSTANCE
from fescueflow.gateway.records import PeerRecord
from fescueflow.gateway.shared_values import (
    COMPLETE_HEADER,
    ERA_HEADER,
    REVISION_HEADER,
    VALUES_PATH,
)
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    STORE_RESPONSE_BYTES_MAX,
    Connect,
    Limits,
    StoreItem,
    connect_directly,
    read_url,
)

# Limits of a read; the total counts from the connection on. The store is asked after
# it, and both together must be well below the time in which a configuration must be in
# force.
READ_LIMITS = Limits(
    connect_s=0.2, read_timeout_s=0.4, total_s=0.4, body_bytes=STORE_RESPONSE_BYTES_MAX
)

log = logbook.Logger("values")


class ValueSource(ABC):
    """Has values of the store apart from the store itself."""

    @abstractmethod
    def read(self, key: str, revision: Revision, era: int) -> StoreItem | None:
        """Return the last entry as of a revision or a later one, ``None`` without it.

        Parameters
        ----------
        key : str
        revision : Revision
            Lowest revision up to which there must be no later entry of the key. The
            entry's own may be lower.
        era : int
            Era of the store that the revision belongs to.
        """


def is_worthwhile(own: PeerRecord, reader: PeerRecord | None) -> bool:
    """Return whether to read from the reader of the zone instead of the store.

    Notes
    -----
    Only a reader with a wider link than this instance, and one that its link does not
    limit, can serve the whole zone. Instances with equal and wide links ask the store:
    its transfers delay no caller there.
    """
    if reader is None:
        return False
    return reader.capacity >= REQUESTS_PER_INSTANCE > own.capacity > 0


def connect_from(host: str, address: str, timeout_s: float) -> socket.socket:
    """Open a connection to ``ip:port`` from a host of this machine.

    Notes
    -----
    The reader answers only known hosts, and a machine may have several.

    Raises
    ------
    OSError
        If there is no connection within the timeout, in s.
    """
    name, _, port = address.rpartition(":")
    target = name.strip("[]"), int(port)
    return socket.create_connection(target, timeout_s, (host, 0))


class ReaderValues(ValueSource):
    """Values that the reader of the zone serves.

    Parameters
    ----------
    find_reader : callable
        Returns the record of the zone's reader, ``None`` if it is this instance.
    get_own : callable
        Returns the record of this instance.
    port : int
        Port on which instances serve values.
    metrics : Metrics
    connect : callable, optional
        Opens connections, such as ``connect_directly``.
    """

    def __init__(
        self,
        *,
        find_reader: Callable[[], PeerRecord | None],
        get_own: Callable[[], PeerRecord],
        port: int,
        metrics: Metrics,
        connect: Connect = connect_directly,
    ) -> None:
        self._find_reader = find_reader
        self._get_own = get_own
        self._port = port
        self._metrics = metrics
        self._connect = connect

    def read(self, key: str, revision: Revision, era: int) -> StoreItem | None:
        """Return an entry that the reader has, as ``ValueSource.read`` does."""
        reader = self._find_reader()
        if reader is None or not is_worthwhile(self._get_own(), reader):
            return None
        query = urlencode({"key": key})
        url = f"http://{reader.host}:{self._port}{VALUES_PATH}?{query}"
        try:
            response = read_url(url, READ_LIMITS, self._connect)
            found_revision = int(response.headers.get(REVISION_HEADER, 0))
            complete = int(response.headers.get(COMPLETE_HEADER, found_revision))
            found_era = int(response.headers.get(ERA_HEADER, 0))
        except (PlatformUnavailable, ValueError) as error:
            self._metrics.count("values_read", end="failed")
            log.info("value not read from {}: {}", reader.instance, error)
            return None
        # The noted revision may be that of another change of the same update.
        reached = max(found_revision, complete)
        if response.status != 200 or found_era != era or reached < revision:
            self._metrics.count("values_read", end="outdated")
            log.info(
                "value of another revision",
                extra={
                    "key": key,
                    "reader": str(reader.instance),
                    "status": response.status,
                    "found": found_revision,
                    "complete": complete,
                    "wanted": revision,
                },
            )
            return None
        self._metrics.count("values_read", end="read")
        return StoreItem(key, response.body, Revision(found_revision))


__all__ = ["ReaderValues", "ValueSource", "connect_from", "is_worthwhile"]
