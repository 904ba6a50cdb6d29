"""Export and import of cached prompt prefixes between engine stand-ins."""

import http.client
import json
import threading
import time
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import parse_qs, quote, urlsplit

EXPORT_PATH = "/v1/cache/export"
IMPORT_PATH = "/v1/cache/import"
PULL_TIMEOUT_S = 2.0
SILENT_WAIT_S = 3600.0


class TransferMode(Enum):
    """How an engine responds to a transfer request.

    ``OFFERED`` performs the transfer, ``ABSENT``, ``UNIMPLEMENTED`` and
    ``FAILING`` respond 404, 501 and 500, ``SLOW`` performs it after a delay and
    ``SILENT`` doesn't respond.
    """

    OFFERED = "offered"
    ABSENT = "absent"
    UNIMPLEMENTED = "unimplemented"
    FAILING = "failing"
    SLOW = "slow"
    SILENT = "silent"


@dataclass
class TransferEntry:
    """One import or export; ``started_at`` is in monotonic seconds."""

    kind: str
    cache_key: str
    source: str = ""
    started_at: float = field(default_factory=time.monotonic)
    status: int | None = None
    tokens: int = 0


class CacheTransfers:
    """Handler of the cache transfer requests to one engine stand-in.

    Parameters
    ----------
    engine : EngineStandin

    Attributes
    ----------
    import_mode, export_mode : TransferMode
    slow_s : float
        Delay in the mode ``SLOW``, in seconds.
    entries : list of TransferEntry
        All transfer requests in order, including failed ones.

    Notes
    -----
    An import counts as a request in flight.
    """

    def __init__(self, engine):
        self.engine = engine
        self.import_mode = self.export_mode = TransferMode.OFFERED
        self.slow_s = 0.5
        self.entries = []
        self._lock = threading.Lock()

    def get_entries(self, kind):
        with self._lock:
            return [entry for entry in self.entries if entry.kind == kind]

    def handle(self, exchange):
        """Respond to a transfer request; return ``False`` for other paths."""
        parts = urlsplit(exchange.path)
        if parts.path == EXPORT_PATH:
            key = parse_qs(parts.query)["cache_key"][0]
            entry, mode = TransferEntry("export", key), self.export_mode
            perform = self._export
        elif parts.path == IMPORT_PATH:
            import_request = json.loads(exchange.body)
            entry = TransferEntry(
                "import", import_request["cache_key"], import_request["source"]
            )
            mode, perform = self.import_mode, self._import
        else:
            return False
        with self._lock:
            self.entries.append(entry)
        entry.status, value = self._answer(exchange, entry, mode, perform)
        if entry.status is None:
            exchange.drop()
            return True
        request_id = exchange.headers.get("X-Request-Id", "")
        exchange.send_json(entry.status, value, {"X-Request-Id": request_id})
        return True

    def _answer(self, exchange, entry, mode, perform):
        if mode is TransferMode.ABSENT:
            return 404, {"error": "no such path"}
        if mode is TransferMode.UNIMPLEMENTED:
            return 501, {"error": "not implemented"}
        if mode is TransferMode.FAILING:
            return 500, {"error": "failed"}
        if entry.kind == "export":
            return self._delay(exchange, entry, mode, perform)
        self.engine.state.start_request()
        try:
            return self._delay(exchange, entry, mode, perform)
        finally:
            self.engine.state.end_request(completed=False)

    def _delay(self, exchange, entry, mode, perform):
        delays = {TransferMode.SILENT: SILENT_WAIT_S, TransferMode.SLOW: self.slow_s}
        if mode in delays and exchange.wait_closed(delays[mode]):
            return None, None
        return perform(entry)

    def _export(self, entry):
        with self.engine.state.lock:
            prefixes = self.engine.cache.export_prefixes(entry.cache_key)
        if not prefixes:
            return 404, {"error": "no such prefix", "cache_key": entry.cache_key}
        entry.tokens = sum(tokens for _, tokens in prefixes)
        return 200, {"prefixes": prefixes}

    def _import(self, entry):
        host, _, port = entry.source.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=PULL_TIMEOUT_S)
        try:
            connection.request(
                "GET", f"{EXPORT_PATH}?cache_key={quote(entry.cache_key, '')}"
            )
            response = connection.getresponse()
            value = json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError):
            return 502, {"error": "the source does not answer"}
        finally:
            connection.close()
        if response.status == 404 and value.get("cache_key") == entry.cache_key:
            return 404, value
        if response.status != 200:
            return 409, {"error": "the source does not export"}
        with self.engine.state.lock:
            self.engine.cache.import_prefixes(entry.cache_key, value["prefixes"])
        entry.tokens = sum(tokens for _, tokens in value["prefixes"])
        return 200, {"tokens": entry.tokens}
