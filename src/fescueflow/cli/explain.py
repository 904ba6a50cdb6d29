"""Log lines about one request, from the logs of several instances."""

import json
import sys
from argparse import Namespace
from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime
from pathlib import Path
from typing import Any

EXIT_NOT_FOUND = 1
EXIT_UNREADABLE = 2
# Fields that ``format_line`` does not print as ``key=value``.
LEADING_FIELDS = ("time", "instance", "level", "channel", "message")
# Lines about the request's upstreams are included from this many seconds before its
# first line, the time within which a change of an upstream must be in force.
UPSTREAM_LOOKBACK_S = 2.0

Line = dict[str, Any]


def parse_log_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the JSON objects in log lines, without the text in front of them."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "time" in line and "message" in line:
            yield line


def find_request_lines(lines: Iterable[Line], request_id: str) -> list[Line]:
    """Return the lines about a request and its upstreams, in order of time.

    Parameters
    ----------
    lines : iterable of dict
        Parsed lines of all log files, in any order.
    request_id : str

    Returns
    -------
    list of dict
        Empty if no line has the id of the request.
    """
    all_lines = list(lines)
    own_lines = [line for line in all_lines if line.get("id") == request_id]
    if not own_lines:
        return []
    upstreams = {line["upstream"] for line in own_lines if "upstream" in line}
    instances = {line.get("instance") for line in own_lines}
    first, last = min(x["time"] for x in own_lines), max(x["time"] for x in own_lines)
    upstream_lines = [
        line
        for line in all_lines
        if "id" not in line
        and line.get("upstream") in upstreams
        and line.get("instance") in instances
        and compute_elapsed_s(first, line["time"]) <= UPSTREAM_LOOKBACK_S
        and line["time"] <= last
    ]
    return sorted([*own_lines, *upstream_lines], key=lambda line: str(line["time"]))


def compute_elapsed_s(later: str, earlier: str) -> float:
    """Return the seconds between two log timestamps."""
    first = datetime.fromisoformat(earlier.removesuffix("Z"))
    return (datetime.fromisoformat(later.removesuffix("Z")) - first).total_seconds()


def format_line(line: Line) -> str:
    """Return a log line as text."""
    rest = " ".join(f"{k}={v}" for k, v in line.items() if k not in LEADING_FIELDS)
    clock = str(line["time"]).partition("T")[2].removesuffix("Z")
    return f"{clock} {line.get('instance', '')} {line['message']} {rest}"


def read_text_lines(paths: list[str]) -> Iterator[str]:
    """Yield the lines of the files, or of standard input if there are none."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            yield from file


def explain(arguments: Namespace, environment: Mapping[str, str]) -> int:
    """Print the log lines about a request and return the exit code."""
    try:
        request_lines = find_request_lines(
            parse_log_lines(read_text_lines(arguments.logs)), arguments.id
        )
    except OSError as error:
        print(error, file=sys.stderr)
        return EXIT_UNREADABLE
    if not request_lines:
        print(f"no log line about request {arguments.id}", file=sys.stderr)
        return EXIT_NOT_FOUND
    for line in request_lines:
        print(json.dumps(line) if arguments.json else format_line(line))
    return 0


__all__ = ["explain", "find_request_lines", "parse_log_lines"]
