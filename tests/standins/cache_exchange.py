"""Export and import of cached prefixes between engine stand-ins."""

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
    """How an engine answers a transfer request."""

    OFFERED = "offered"
    ABSENT = "absent"
    UNIMPLEMENTED = "unimplemented"
    FAILING = "failing"
    SLOW = "slow"
    SILENT = "silent"


@dataclass
class TransferEntry:
    """One import or export; times are monotonic seconds."""

    kind: str
    cache_key: str
    source: str = ""
    started_at: float = field(default_factory=time.monotonic)
    status: int | None = None
    tokens: int = 0


class CacheTransfers:
    """Transfer requests of one engine stand-in.

    Parameters
    ----------
    engine : EngineStandin

    Attributes
    ----------
    import_mode, export_mode : TransferMode
    slow_s : float
        Delay in the mode ``SLOW``.
    entries : list of TransferEntry
        All transfer requests in order, refused ones too.

    Notes
    -----
    An import counts as work in flight, as a request does.
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
        """Answer a request; return false if its path is none of a transfer."""
        parts = urlsplit(exchange.path)
        if parts.path == EXPORT_PATH:
            key = parse_qs(parts.query)["cache_key"][0]
            entry, mode = TransferEntry("export", key), self.export_mode
            answer = self._export
        elif parts.path == IMPORT_PATH:
            order = json.loads(exchange.body)
            entry = TransferEntry("import", order["cache_key"], order["source"])
            mode, answer = self.import_mode, self._import
        else:
            return False
        with self._lock:
            self.entries.append(entry)
        entry.status, value = self._answer(exchange, entry, mode, answer)
        if entry.status is None:
            exchange.drop()
            return True
        request_id = exchange.headers.get("X-Request-Id", "")
        exchange.send_json(entry.status, value, {"X-Request-Id": request_id})
        return True

    def _answer(self, exchange, entry, mode, answer):
        if mode is TransferMode.ABSENT:
            return 404, {"error": "no such path"}
        if mode is TransferMode.UNIMPLEMENTED:
            return 501, {"error": "not implemented"}
        if mode is TransferMode.FAILING:
            return 500, {"error": "failed"}
        if entry.kind == "export":
            return self._delay(exchange, entry, mode, answer)
        self.engine.state.start_request()
        try:
            return self._delay(exchange, entry, mode, answer)
        finally:
            self.engine.state.end_request(completed=False)

    def _delay(self, exchange, entry, mode, answer):
        delays = {TransferMode.SILENT: SILENT_WAIT_S, TransferMode.SLOW: self.slow_s}
        if mode in delays and exchange.wait_closed(delays[mode]):
            return None, None
        return answer(entry)

    def _export(self, entry):
        with self.engine.state.lock:
            prefixes = self.engine.cache.export_prefixes(entry.cache_key)
        if not prefixes:
            return 404, {"error": "no such prefix", "cache_key": entry.cache_key}
        entry.tokens = sum(tokens for _, tokens in prefixes)
        return 200, {"prefixes": prefixes}

    def _import(self, entry):
        host, _, port = entry.source.rpartition(":")
        pull = http.client.HTTPConnection(host, int(port), timeout=PULL_TIMEOUT_S)
        try:
            pull.request("GET", f"{EXPORT_PATH}?cache_key={quote(entry.cache_key, '')}")
            response = pull.getresponse()
            value = json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError):
            return 502, {"error": "the source does not answer"}
        finally:
            pull.close()
        if response.status == 404 and value.get("cache_key") == entry.cache_key:
            return 404, value
        if response.status != 200:
            return 409, {"error": "the source does not export"}
        with self.engine.state.lock:
            self.engine.cache.import_prefixes(entry.cache_key, value["prefixes"])
        entry.tokens = sum(tokens for _, tokens in value["prefixes"])
        return 200, {"tokens": entry.tokens}
