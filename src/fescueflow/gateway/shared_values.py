"""Large values of the store that instances of a zone get from each other.

Load pattern: a configuration of hundreds of kilobytes changes each second. If every
instance fetched each version from the store, the transfers would fill links of a few
Mbit/s, and requests and events of callers would wait behind them. The reader of a zone
therefore serves what it has read, compressed, to the others.
"""

import threading
import zlib
from collections.abc import Callable, Container, Iterable, Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from fescueflow.core import Revision
from fescueflow.gateway.relay import VALUE_BYTES_MAX
from fescueflow.metrics import Metrics
from fescueflow.platform import TABLE_KEY, StoreItem

VALUES_PATH = "/values"
REVISION_HEADER = "Fescueflow-Revision"
ERA_HEADER = "Fescueflow-Era"
# Revision up to which the state of the instance that answers is complete.
COMPLETE_HEADER = "Fescueflow-Complete"
# Selects the gzip format: 16 plus the maximum window size of 15 bits.
GZIP_WINDOW_BITS = 31
# Fast compression: configurations shrink to about a tenth at any level.
COMPRESSION_LEVEL = 1
# Keys whose values are kept; the store has one large value, the configuration.
SHARED_KEYS = frozenset({TABLE_KEY})
# Answers at a time. More would delay each other on the reader's link until the reads
# end without a value; the store serves the rest.
ANSWERS_MAX = 4
# Parts in which an answer is passed to the server, which waits between two parts while
# it holds too much that is not taken yet.
PART_BYTES = 1 << 16


@dataclass
class SharedValue:
    """A value of the store; it is compressed when it is first asked for.

    ``value`` is ``None`` if it is deleted or too small to be shared. ``complete`` is
    the revision up to which no later value of the key exists.
    """

    revision: Revision
    era: int
    value: bytes | None
    complete: Revision
    compressed: bytes | None = None


class SharedValues:
    """The last large values that this instance has received; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._values: dict[str, SharedValue] = {}

    def record_complete(self, revision: Revision, era: int) -> None:
        """Note that the last values up to a revision of an era are recorded."""
        with self._lock:
            for shared in self._values.values():
                if shared.era == era:
                    shared.complete = max(shared.complete, revision)

    def record(self, items: Iterable[StoreItem], era: int = 0) -> None:
        """Store the last large values among items that are shared.

        Notes
        -----
        Of a small or deleted value, the revision is kept: a response that was on its
        way meanwhile must not bring back the value before.
        """
        with self._lock:
            for item in items:
                if item.key in SHARED_KEYS:
                    self._record(item, era)

    def _record(self, item: StoreItem, era: int) -> None:
        if not item.revision:
            # The order is not known, and the item may be newer.
            self._values.pop(item.key, None)
            return
        known = self._values.get(item.key)
        if known and (known.era, known.revision) >= (era, item.revision):
            return
        value = item.value or b""
        self._values[item.key] = SharedValue(
            revision=item.revision,
            era=era,
            value=value if len(value) > VALUE_BYTES_MAX else None,
            complete=item.revision,
        )

    def find(self, key: str) -> SharedValue | None:
        """Return a value with its compressed form, ``None`` if it is not known."""
        with self._lock:
            shared = self._values.get(key)
        if shared is None or shared.value is None:
            return None
        if shared.compressed is None:
            shared.compressed = compress(shared.value)
        return shared


def compress(value: bytes) -> bytes:
    """Return a value in the gzip format."""
    compressor = zlib.compressobj(COMPRESSION_LEVEL, wbits=GZIP_WINDOW_BITS)
    return compressor.compress(value) + compressor.flush()


class CountedAnswer:
    """Body of an answer; calls back once when the server has passed it on.

    Parameters
    ----------
    body : bytes
    on_close : callable
    """

    def __init__(self, body: bytes, on_close: Callable[[], None]) -> None:
        self._body = body
        self._on_close = on_close
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        for start in range(0, len(self._body), PART_BYTES):
            yield self._body[start : start + PART_BYTES]

    def close(self) -> None:
        """Count the answer as ended; servers call this whatever has happened."""
        if not self._is_closed:
            self._is_closed = True
            self._on_close()


class ValueApplication:
    """WSGI application that serves values to other instances.

    Parameters
    ----------
    values : SharedValues
    metrics : Metrics
    list_hosts : callable
        Returns the hosts of the known instances.

    Notes
    -----
    It listens on the ports between instances only, and answers only the hosts of known
    instances: a configuration has API keys.
    """

    def __init__(
        self,
        values: SharedValues,
        metrics: Metrics,
        list_hosts: Callable[[], Container[str]],
    ) -> None:
        self._values = values
        self._list_hosts = list_hosts
        self._metrics = metrics
        self._free_answers = threading.Semaphore(ANSWERS_MAX)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one request."""
        shared = self._find(environ)
        if shared is None or shared.compressed is None:
            return refuse(start_response)
        if not self._free_answers.acquire(blocking=False):
            return refuse(start_response)
        answer = CountedAnswer(shared.compressed, self._free_answers.release)
        try:
            start_response("200 OK", self._make_headers(shared))
        except Exception:
            answer.close()
            raise
        self._metrics.count("values_served")
        return answer

    def _find(self, environ: dict[str, Any]) -> SharedValue | None:
        if environ.get("PATH_INFO") != VALUES_PATH:
            return None
        if environ.get("REMOTE_ADDR") not in self._list_hosts():
            return None
        key = parse_qs(environ.get("QUERY_STRING", "")).get("key", [""])[0]
        return self._values.find(key) if key in SHARED_KEYS else None

    def _make_headers(self, shared: SharedValue) -> list[tuple[str, str]]:
        return [
            ("Content-Type", "application/octet-stream"),
            ("Content-Encoding", "gzip"),
            ("Content-Length", str(len(shared.compressed or b""))),
            (REVISION_HEADER, str(shared.revision)),
            (ERA_HEADER, str(shared.era)),
            (COMPLETE_HEADER, str(shared.complete)),
        ]


def refuse(start_response: Callable[..., Any]) -> Iterable[bytes]:
    """Answer that there is no value here; the other instance asks the store."""
    start_response("404 Not Found", [("Content-Length", "0")])
    return [b""]


__all__ = [
    "ANSWERS_MAX",
    "COMPLETE_HEADER",
    "ERA_HEADER",
    "REVISION_HEADER",
    "SHARED_KEYS",
    "VALUES_PATH",
    "SharedValues",
    "ValueApplication",
]
