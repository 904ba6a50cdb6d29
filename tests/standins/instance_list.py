"""Stand-in for the platform's list of live and leaving instances and upstreams."""

import copy
import gzip
import hashlib
import json
import threading
import time

from tests.standins.configuration_service import PlatformMode
from tests.standins.server import StandinServer

INSTANCE_FIELDS = ("id", "zone", "region", "http_address", "peer_address")
UPSTREAM_FIELDS = ("id", "group", "zone", "region", "address")
EARLIEST_TIME = float("-inf")


class InstanceListStandin(StandinServer):
    """List whose changes become visible to readers after a lag.

    Parameters
    ----------
    host : str, optional
        A loopback address.
    lag_s : float, optional
        Time until a change is visible, in seconds.

    Notes
    -----
    A reader is identified by the loopback address that it connects from.
    ``set_reader_lag`` lets two readers see the same change at different times.
    """

    def __init__(self, host="127.0.0.1", lag_s=0.0):
        super().__init__(host)
        self.lag_s = lag_s
        self.calls = 0
        self._lock = threading.Lock()
        self._current = {"instances": {}, "upstreams": {}}
        self._history = [(EARLIEST_TIME, copy.deepcopy(self._current))]
        self._reader_lags = {}
        self._modes = {}
        self._stale_since = {}

    def add_instance(self, **fields):
        self._put("instances", INSTANCE_FIELDS, fields)

    def add_upstream(self, **fields):
        self._put("upstreams", UPSTREAM_FIELDS, fields)

    def load(self, kind, entries):
        """Add many entries and make them visible at once.

        Adding them one by one would copy the whole list for each entry.
        """
        with self._lock:
            for entry in entries:
                self._current[kind][entry["id"]] = {**entry, "state": "live"}
        self.publish_now()

    def remove(self, identifier):
        """Remove an instance or upstream from the list."""
        with self._lock:
            for entries in self._current.values():
                entries.pop(identifier, None)
            self._record_change()

    def mark_leaving(self, identifier, leaving=True):
        with self._lock:
            for entries in self._current.values():
                if identifier in entries:
                    entries[identifier]["state"] = "leaving" if leaving else "live"
            self._record_change()

    def publish_now(self):
        """Make all changes made so far visible without the lag."""
        with self._lock:
            self._history = [(EARLIEST_TIME, copy.deepcopy(self._current))]

    def set_mode(self, mode, reader_ip=None):
        """Set the mode for all readers or for one loopback address."""
        with self._lock:
            self._modes[reader_ip] = mode
            self._stale_since[reader_ip] = time.monotonic()

    def set_reader_lag(self, reader_ip, lag_s):
        with self._lock:
            self._reader_lags[reader_ip] = lag_s

    def get_visible(self, reader_ip=None):
        """Return the list that a reader would receive now."""
        with self._lock:
            now = time.monotonic()
            for scope in (None, reader_ip):
                if self._modes.get(scope) is PlatformMode.STALE:
                    now = min(now, self._stale_since[scope])
            limit = now - self._reader_lags.get(reader_ip, self.lag_s)
            visible = [state for time_s, state in self._history if time_s <= limit][-1]
        return {kind: list(entries.values()) for kind, entries in visible.items()}

    def _put(self, kind, names, fields):
        if set(names) != set(fields):
            raise ValueError(f"{kind} need the fields {names}, got {sorted(fields)}")
        with self._lock:
            self._current[kind][fields["id"]] = {**fields, "state": "live"}
            self._record_change()

    def _record_change(self):
        self._history.append((time.monotonic(), copy.deepcopy(self._current)))

    def handle(self, exchange):
        reader_ip = exchange.client_address[0]
        with self._lock:
            self.calls += 1
            modes = (self._modes.get(None), self._modes.get(reader_ip))
        if PlatformMode.OUTAGE in modes:
            exchange.drop()
        elif exchange.path.split("?")[0] != "/v1/instances":
            exchange.send_json(404, {"error": "no such path"})
        else:
            self._send_list(exchange, json.dumps(self.get_visible(reader_ip)).encode())

    def _send_list(self, exchange, body):
        """Send the list, compressed if accepted, or 304 if it is unchanged."""
        headers = {"ETag": f'"{hashlib.sha256(body).hexdigest()[:16]}"'}
        if exchange.headers.get("If-None-Match") == headers["ETag"]:
            exchange.send(304, b"", headers)
            return
        if "gzip" in exchange.headers.get("Accept-Encoding", ""):
            headers["Content-Encoding"] = "gzip"
            body = gzip.compress(body, 1)
        exchange.send(200, body, headers)
