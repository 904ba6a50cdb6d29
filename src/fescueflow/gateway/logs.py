"""Bounded log output that never blocks a request."""

import json
import os
import select
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Protocol

import logbook

# Lines queued for the output; further ones are dropped and counted.
QUEUED_LINES_MAX = 2000
# Lines per second with the same channel, text and level; warnings and errors have
# higher limits, so that refusals and failures are dropped last.
LINES_PER_S = {logbook.INFO: 60, logbook.WARNING: 100, logbook.ERROR: 200}
SUMMARY_INTERVAL_S = 5.0


class TextOutput(Protocol):
    """What log lines are written to."""

    def write(self, text: str, /) -> object:
        """Write text."""

    def flush(self) -> None:
        """Pass on what is buffered."""


class DescriptorOutput:
    """Writes to a file descriptor without a buffer, of which a part could be left.

    Parameters
    ----------
    descriptor : int

    Notes
    -----
    The interpreter flushes the buffer of the standard output when it exits, which may
    fail or wait for a reader.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write(self, text: str, /) -> None:
        """Write text whole.

        Raises
        ------
        OSError
            If the reader has gone or there is no space.
        """
        data = text.encode()
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                poll = select.poll()
                poll.register(self._descriptor, select.POLLOUT)
                poll.poll()

    def flush(self) -> None:
        """Do nothing."""


class BoundedHandler(logbook.Handler):
    """Queues JSON lines for a thread that writes them.

    Parameters
    ----------
    stream : file object
    level : int, optional

    Attributes
    ----------
    instance : str
        Instance id in every line.
    """

    def __init__(self, stream: TextOutput, level: int = logbook.INFO) -> None:
        super().__init__(level=level)
        self.instance = ""
        self._stream = stream
        self._lines: deque[str] = deque()
        self._has_lines = threading.Event()
        # Whether the writer thread has taken lines that are not written yet.
        self._is_writing = False
        self._dropped: Counter[str] = Counter()
        self._line_counts: Counter[tuple[str, str, int]] = Counter()
        self._second = 0
        self._summarized_at = time.monotonic()
        threading.Thread(target=self._write_all, name="log", daemon=True).start()

    def emit(self, record: Any) -> None:
        """Queue a record unless the queue or the rate of its kind is at its limit."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._line_counts = second, Counter()
        kind = (record.channel, record.msg, record.level)
        self._line_counts[kind] += 1
        over = self._line_counts[kind] > LINES_PER_S.get(record.level, QUEUED_LINES_MAX)
        if over or len(self._lines) >= QUEUED_LINES_MAX:
            self._dropped[f"{record.channel}: {record.msg}"] += 1
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
        """Wait until all queued lines are written, up to a time."""
        deadline = time.monotonic() + seconds
        while (self._lines or self._is_writing) and time.monotonic() < deadline:
            time.sleep(0.01)

    def _write_all(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                # One write call for each batch.
                self._is_writing = True
                batch = [self._lines.popleft() for _ in range(len(self._lines))]
                self._add_summary(batch)
                self._write(batch)
                self._is_writing = False

    def _write(self, batch: list[str]) -> None:
        try:
            self._stream.write("\n".join(batch) + "\n")
            self._stream.flush()
        except (OSError, ValueError) as error:
            # Later lines may be written again.
            self._dropped[f"log: not written, {error!r}"] += len(batch)

    def _add_summary(self, batch: list[str]) -> None:
        now = time.monotonic()
        if self._dropped and now - self._summarized_at >= SUMMARY_INTERVAL_S:
            self._summarized_at = now
            dropped, self._dropped = self._dropped, Counter()
            batch.append(json.dumps({"channel": "log", "left_out": dict(dropped)}))


@contextmanager
def log_to_stdout() -> Iterator[BoundedHandler]:
    """Write log records of all threads to standard output as JSON lines."""
    handler = BoundedHandler(DescriptorOutput(sys.stdout.fileno()))
    with handler.applicationbound():
        yield handler


__all__ = ["BoundedHandler", "log_to_stdout"]
