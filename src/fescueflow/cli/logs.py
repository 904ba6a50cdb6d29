"""Log output of the command-line interface."""

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import logbook

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} "
    "{record.channel}: {record.message}"
)


def format_json(record: Any, handler: Any) -> str:
    """Return a log record as one line of JSON."""
    line = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
    }
    if record.formatted_exception:
        line["exception"] = record.formatted_exception
    return json.dumps(line, sort_keys=True)


@contextmanager
def log_to_stderr(as_json: bool) -> Iterator[None]:
    """Write the log records of all threads to standard error, as text or JSON lines."""
    handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
    if as_json:
        handler.formatter = format_json
    else:
        handler.format_string = TEXT_FORMAT
    with handler.applicationbound():
        yield


__all__ = ["format_json", "log_to_stderr"]
