"""Stand-in for the platform's configuration service."""

import hashlib
import json
import threading
import time
from collections import deque
from enum import Enum
from urllib.parse import parse_qs, urlsplit

from tests.standins.server import StandinServer

CALL_TIMES_MAX = 100_000
MANIFEST = "manifest"
WAIT_INTERVAL_S = 0.05


class PlatformMode(Enum):
    """How a platform service responds.

    ``OUTAGE`` closes connections without a response; ``STALE`` hides newer data.
    """

    NORMAL = "normal"
    OUTAGE = "outage"
    STALE = "stale"


def make_sections(sections):
    """Return (manifest body, {key: body}) of a configuration."""
    bodies = {
        name: value
        if isinstance(value, bytes)
        else json.dumps(value, sort_keys=True).encode()
        for name, value in sections.items()
    }
    digests = {name: hashlib.sha256(body).hexdigest() for name, body in bodies.items()}
    manifest = json.dumps({"sections": digests}, sort_keys=True).encode()
    return manifest, {f"sections/{digests[name]}": bodies[name] for name in bodies}


class ConfigurationServiceStandin(StandinServer):
    """Key-value store with revisions whose keys can be read and watched.

    Notes
    -----
    One revision counter is shared by all keys. A watch that times out without a
    change responds 304.
    """

    def __init__(self, host="127.0.0.1"):
        super().__init__(host)
        self._changed = threading.Condition()
        self._versions = {}
        self._revision = 0
        self._mode = PlatformMode.NORMAL
        self._visible_revision = None
        self._blocked_readers = set()
        self.calls = 0
        self._call_times = deque(maxlen=CALL_TIMES_MAX)

    def publish(self, sections):
        """Write all sections, then the manifest, and return its revision.

        Parameters
        ----------
        sections : mapping of str to JSON value or bytes
            Values by section name; bytes are stored unchanged.
        """
        manifest, bodies = make_sections(sections)
        for key, body in bodies.items():
            if key not in self._versions:
                self.write(key, body)
        return self.write(MANIFEST, manifest)

    def write(self, key, body):
        with self._changed:
            self._revision += 1
            self._versions.setdefault(key, []).append((self._revision, body))
            self._changed.notify_all()
            return self._revision

    def set_mode(self, mode, visible_revision=None):
        """Set the mode; ``STALE`` hides revisions newer than ``visible_revision``.

        The default is the current revision.
        """
        with self._changed:
            self._mode = mode
            stale = mode is PlatformMode.STALE
            known = self._revision if visible_revision is None else visible_revision
            self._visible_revision = known if stale else None
            self._changed.notify_all()

    def block_reader(self, reader_ip, blocked=True):
        """Drop or allow all requests from one loopback address."""
        with self._changed:
            (self._blocked_readers.add if blocked else self._blocked_readers.discard)(
                reader_ip
            )
            self._changed.notify_all()

    def count_calls_per_second(self, window_s=5.0):
        since = time.monotonic() - window_s
        with self._changed:
            return sum(moment > since for moment in self._call_times) / window_s

    def _find(self, key):
        for revision, body in reversed(self._versions.get(key, ())):
            if self._visible_revision is None or revision <= self._visible_revision:
                return revision, body
        return None

    def _is_down(self, exchange):
        return (
            self._mode is PlatformMode.OUTAGE
            or exchange.client_address[0] in self._blocked_readers
        )

    def handle(self, exchange):
        parts = urlsplit(exchange.path)
        _, _, kind, key = (parts.path.split("/", 3) + ["", "", ""])[:4]
        with self._changed:
            self.calls += 1
            self._call_times.append(time.monotonic())
        query = parse_qs(parts.query)
        if kind == "watch":
            after = int(query.get("after", ["0"])[0])
            timeout_s = int(query.get("timeout_ms", ["30000"])[0]) / 1000
            found = self._watch(exchange, key, after, timeout_s)
        else:
            with self._changed:
                found = self._find(key)
                after = -1
        if self._is_down(exchange):
            exchange.drop()
        elif kind not in ("keys", "watch") or found is None:
            exchange.send_json(404, {"error": "no such key"})
        elif found[0] <= after:
            exchange.send(304, b"", {"Revision": found[0]})
        else:
            exchange.send(200, found[1], {"Revision": found[0]})

    def _watch(self, exchange, key, after, timeout_s):
        end = time.monotonic() + timeout_s
        while True:
            with self._changed:
                found = self._find(key)
                newer = found is not None and found[0] > after
                remaining_s = end - time.monotonic()
                if newer or remaining_s <= 0 or self._is_down(exchange):
                    return found
                self._changed.wait(min(remaining_s, WAIT_INTERVAL_S))
            if exchange.wait_closed(0):
                exchange.close_connection = True
                return found
