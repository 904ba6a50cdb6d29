"""Log of the attempts that an upstream stand-in has processed."""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field


@dataclass
class LedgerEntry:
    """One attempt at an upstream; times are in monotonic seconds.

    ``key`` and ``attempt`` are the two parts of ``X-Request-Id``.
    """

    key: str
    attempt: str
    started_at: float = field(default_factory=time.monotonic)
    ended_at: float | None = None
    result: str | None = None
    message: str = ""
    path: str = ""
    priority: int = 0
    tokens_sent: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    cache_key: str = ""
    resume_from: int = 0


def split_request_id(text):
    """Split the ``key/attempt`` of X-Request-Id; the attempt may be missing."""
    key, _, attempt = (text or "").rpartition("/")
    return (key, attempt) if key else (attempt, "")


class RunningAttempt:
    """One attempt in flight at an upstream.

    Notes
    -----
    Upstreams end the attempt before they send the last bytes. A router that
    has received the last byte may send the next request at once, and that
    request must not be counted as exceeding the limit.
    """

    def __init__(self, state, ledger, entry):
        self._state, self._ledger, self._entry = state, ledger, entry
        self._lock = threading.Lock()
        self._ended = False
        state.start_request()

    def end(self, result):
        """Record the result; later calls have no effect."""
        with self._lock:
            if self._ended:
                return
            self._ended = True
        self._ledger.close(self._entry, result)
        self._state.end_request(completed=result == "completed")


class Ledger:
    """Attempts with their results, in order of their start."""

    def __init__(self):
        self._lock = threading.Lock()
        self.entries = []

    def open(self, request_id, **fields):
        key, attempt = split_request_id(request_id)
        entry = LedgerEntry(key, attempt, **fields)
        with self._lock:
            self.entries.append(entry)
        return entry

    def close(self, entry, result):
        entry.ended_at, entry.result = time.monotonic(), result

    def get_entries(self, key=None):
        with self._lock:
            return [e for e in self.entries if key is None or e.key == key]

    def count_executions(self):
        """Return {request key: number of attempts}."""
        return Counter(entry.key for entry in self.get_entries())

    def get_started_after(self, moment):
        return [e for e in self.get_entries() if e.started_at > moment]
