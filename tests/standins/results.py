"""Results of calls as a caller of the fleet observes them."""

import json
from dataclasses import dataclass, field
from enum import Enum


class ResultKind(Enum):
    """Classes of results.

    ``WHOLE`` is a complete and correct answer, ``NOT_RUN`` a request that didn't
    run, ``CUT`` an interrupted stream and ``WRONG_CONTENT`` an answer that
    differs from the expected one.
    """

    WHOLE = "whole"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CUT = "cut"
    WRONG_CONTENT = "wrong_content"


@dataclass
class CallResult:
    """Result of one call.

    ``first_token_s`` and ``total_s`` are seconds since the call started, and
    ``gaps_s`` the times between consecutive tokens of a stream.
    """

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
    # Time from the start of each refused attempt to its refusal.
    refusals_s: list[float] = field(default_factory=list)

    @property
    def whole(self):
        return self.kind is ResultKind.WHOLE


@dataclass(frozen=True)
class CallError:
    """Error object of an error response or of an error event in a stream."""

    type: str
    message: str
    outcome: str
    retry_after_ms: int | None = None
    address: str | None = None


def parse_error(body):
    """Return the error object of a JSON body, or ``None`` if there is none."""
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
    """The stream ended before ``[DONE]``."""


class StreamFailed(Exception):
    """The stream contained an error event."""

    def __init__(self, error):
        super().__init__(str(error))
        self.error = error


def read_events(response):
    """Yield the decoded data of each server-sent event up to ``[DONE]``.

    Raises
    ------
    StreamCut
        If the stream ends before ``[DONE]``.
    StreamFailed
        If the stream contains an error event.
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
    """Return {kind: number of results}, with all kinds."""
    counts = dict.fromkeys(ResultKind, 0)
    for result in results:
        counts[result.kind] += 1
    return counts
