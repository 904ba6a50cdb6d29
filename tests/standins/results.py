"""What a caller saw of one call."""

import json
from dataclasses import dataclass, field
from enum import Enum


class ResultKind(Enum):
    """Classes of results."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CUT = "cut"
    WRONG_CONTENT = "wrong_content"


@dataclass
class CallResult:
    """Result of one call; times in seconds since the first attempt."""

    kind: ResultKind = ResultKind.OUTCOME_UNKNOWN
    status: int = 0
    error_type: str | None = None
    detail: str = ""
    body: bytes = b""
    content: str = ""
    request_id: str | None = None
    upstream: str | None = None
    instance: str | None = None
    instances_tried: list[str] = field(default_factory=list)
    first_token_s: float | None = None
    gaps_s: list[float] = field(default_factory=list)
    total_s: float = 0.0
    # From the start of an attempt to its refusal, for each refused attempt.
    refusals_s: list[float] = field(default_factory=list)

    @property
    def whole(self):
        return self.kind is ResultKind.WHOLE


@dataclass(frozen=True)
class CallError:
    """The error object of a refusal or failure."""

    type: str
    message: str
    outcome: str
    retry_after_ms: int | None = None
    address: str | None = None


def parse_error(body):
    """Return the error object of a JSON body, ``None`` if there is none."""
    try:
        error = json.loads(body)["error"]
        return CallError(
            error["type"],
            error.get("message", ""),
            error["outcome"],
            error.get("retry_after_ms"),
            error.get("address"),
        )
    except (ValueError, KeyError, TypeError):
        return None


KIND_OF_OUTCOME = {
    "not_run": ResultKind.NOT_RUN,
    "outcome_unknown": ResultKind.OUTCOME_UNKNOWN,
    "ran": ResultKind.OUTCOME_UNKNOWN,
}


class StreamCut(Exception):
    """A stream ended without ``[DONE]``."""


class StreamFailed(Exception):
    """A stream carried an error event."""

    def __init__(self, error):
        super().__init__(str(error))
        self.error = error


def read_events(response):
    """Yield the data of each server-sent event up to ``[DONE]``.

    Raises
    ------
    StreamCut
        If the stream ends before ``[DONE]``.
    StreamFailed
        If it carries an error event.
    """
    event = None
    while line := response.readline():
        line = line.rstrip(b"\r\n")
        if line.startswith(b"event:"):
            event = line[6:].strip()
        elif line.startswith(b"data:"):
            data = line[5:].strip()
            if data == b"[DONE]":
                response.read()
                return
            if event == b"error":
                raise StreamFailed(parse_error(data))
            yield json.loads(data)
        elif not line:
            event = None
    raise StreamCut("stream ended without [DONE]")


def count_kinds(results):
    """Return {kind: count} of some results."""
    counts = dict.fromkeys(ResultKind, 0)
    for result in results:
        counts[result.kind] += 1
    return counts
