"""Record of what an upstream stand-in did for each request."""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field


@dataclass
class LedgerEntry:
    """One attempt at an upstream; times are monotonic seconds."""

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
    """Split ``key/attempt`` of X-Request-Id."""
    key, _, attempt = (text or "").rpartition("/")
    return (key, attempt) if key else (attempt, "")


class RunningAttempt:
    """One piece of work in flight at an upstream.

    Notes
    -----
    Upstreams end it before the last bytes go out: a router that has seen the
    end may send the next request at once, which must not count as one too many.
    """

    def __init__(self, state, ledger, entry):
        self._state, self._ledger, self._entry = state, ledger, entry
        self._lock = threading.Lock()
        self._ended = False
        state.start_request()

    def end(self, result):
        """Record the end; only the first call counts."""
        with self._lock:
            if self._ended:
                return
            self._ended = True
        self._ledger.close(self._entry, result)
        self._state.end_request(completed=result == "completed")


class Ledger:
    """Starts and ends of attempts, in order."""

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
        """Return the number of attempts by request key."""
        return Counter(entry.key for entry in self.get_entries())

    def get_started_after(self, moment):
        return [e for e in self.get_entries() if e.started_at > moment]
