"""Log output that is bounded and never holds up a request."""

import json
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, TextIO

import logbook

# Lines that wait for the reader of the output; later ones are dropped and counted.
LINES_MAX = 2000
# Lines a second of one kind, which is its channel, text and level; warnings and errors
# have higher limits, so that refusals and failures are the last to be left out.
LINES_PER_S = {logbook.INFO: 60, logbook.WARNING: 100, logbook.ERROR: 200}
SUMMARY_S = 5.0


class BoundedHandler(logbook.Handler):
    """Queues JSON lines for a thread that writes them.

    Parameters
    ----------
    stream : file object
    level : int, optional

    Attributes
    ----------
    instance : str
        Named in every line.
    """

    def __init__(self, stream: TextIO, level: int = logbook.INFO) -> None:
        super().__init__(level=level)
        self.instance = ""
        self._stream = stream
        self._lines: deque[str] = deque()
        self._has_lines = threading.Event()
        self._left_out: Counter[str] = Counter()
        self._used: Counter[tuple[str, str, int]] = Counter()
        self._second = 0
        self._counted_at = time.monotonic()
        threading.Thread(target=self._write_all, name="log", daemon=True).start()

    def emit(self, record: Any) -> None:
        """Queue a record unless its kind or the queue is at its limit."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._used = second, Counter()
        kind = (record.channel, record.msg, record.level)
        self._used[kind] += 1
        over = self._used[kind] > LINES_PER_S.get(record.level, LINES_MAX)
        if over or len(self._lines) >= LINES_MAX:
            self._left_out[f"{record.channel}: {record.msg}"] += 1
            return
        line = {
            "time": record.time.isoformat() + "Z",
            "instance": self.instance,
            "level": record.level_name.lower(),
            "channel": record.channel,
            "message": record.message,
            **record.extra,
        }
        if record.formatted_exception:
            line["exception"] = record.formatted_exception
        self._lines.append(json.dumps(line))
        self._has_lines.set()

    def flush_within(self, seconds: float) -> None:
        """Wait for the reader to take what is queued, up to a time."""
        until = time.monotonic() + seconds
        while self._lines and time.monotonic() < until:
            time.sleep(0.01)

    def _write_all(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                # A batch is one system call.
                batch = [self._lines.popleft() for _ in range(len(self._lines))]
                self._add_summary(batch)
                self._stream.write("\n".join(batch) + "\n")
                self._stream.flush()

    def _add_summary(self, batch: list[str]) -> None:
        now = time.monotonic()
        if self._left_out and now - self._counted_at >= SUMMARY_S:
            self._counted_at = now
            left_out, self._left_out = self._left_out, Counter()
            batch.append(json.dumps({"channel": "log", "left_out": dict(left_out)}))


@contextmanager
def log_to_stdout() -> Iterator[BoundedHandler]:
    """Write log records of all threads to standard output as JSON lines."""
    handler = BoundedHandler(sys.stdout)
    with handler.applicationbound():
        yield handler


__all__ = ["BoundedHandler", "log_to_stdout"]
