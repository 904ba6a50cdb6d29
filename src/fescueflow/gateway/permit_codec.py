"""Encoding of the datagrams about permits, which may be malformed, late or doubled.

Times are durations, as the clocks of instances differ. Earlier versions refuse these
datagrams as malformed updates of the store.
"""

import json
from dataclasses import dataclass
from typing import Any

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.gateway.fields import decode_count, decode_name, decode_number
from fescueflow.routing import (
    PermitAnswer,
    PermitDecision,
    PermitEnd,
    PermitId,
    PermitRequest,
    ServiceId,
)

# First byte of the datagrams of this module; updates of the store begin with "U",
# reports with a zlib header.
PERMIT_MARK = b"P"
# Permits in use and upstreams that one datagram names; both are a few in practice. Ten
# times as many fit into the 1,400 bytes of one packet.
ENTRIES_MAX = 32
# Largest datagram of this module: a full list of entries with long names.
PERMIT_BYTES_MAX = 16_384


@dataclass(frozen=True, slots=True)
class UsedPermit:
    """A permit in use at the sender, of whatever coordinator."""

    id: PermitId
    upstream: UpstreamId
    age_s: float


@dataclass(frozen=True, slots=True)
class PermitAsk:
    """Request for a permit, and the other permits that the sender uses."""

    request: PermitRequest
    uses: tuple[UsedPermit, ...] = ()


@dataclass(frozen=True, slots=True)
class PermitReturn:
    """End of the use of a permit, or of the wait for one."""

    id: PermitId
    sender: InstanceId
    service: ServiceId
    end: PermitEnd
    duration_s: float


@dataclass(frozen=True, slots=True)
class SentAnswer:
    """Answer with the coordinator that sent it."""

    sender: InstanceId
    answer: PermitAnswer


PermitMessage = PermitAsk | PermitReturn | SentAnswer


def encode_ask(ask: PermitAsk, now: float) -> bytes:
    """Return the datagram of a request for a permit."""
    request = ask.request
    return encode_document(
        {
            "kind": "ask",
            "permit": request.id,
            "from": request.instance,
            "service": request.service,
            "priority": request.priority,
            "left_s": round(request.deadline_at - now, 3),
            "objective_s": round(request.objective_at - now, 3),
            "returning": request.is_returning,
            "avoid": sorted(request.avoid)[:ENTRIES_MAX],
            "uses": [
                [use.id, use.upstream, round(use.age_s, 3)]
                for use in ask.uses[:ENTRIES_MAX]
            ],
        }
    )


def encode_answer(answer: PermitAnswer, sender: InstanceId) -> bytes:
    """Return the datagram of an answer of a coordinator."""
    return encode_document(
        {
            "kind": "answer",
            "permit": answer.id,
            "from": sender,
            "to": answer.instance,
            "service": answer.service,
            "decision": answer.decision.value,
            "upstream": answer.upstream,
            "retry_after_s": round(answer.retry_after_s, 3),
            "queue": answer.queue_length,
        }
    )


def encode_return(returned: PermitReturn) -> bytes:
    """Return the datagram of a returned permit."""
    return encode_document(
        {
            "kind": "return",
            "permit": returned.id,
            "from": returned.sender,
            "service": returned.service,
            "end": returned.end.value,
            "duration_s": round(returned.duration_s, 3),
        }
    )


def encode_document(document: dict[str, Any]) -> bytes:
    """Return the datagram of a JSON document."""
    return PERMIT_MARK + json.dumps(document, separators=(",", ":")).encode()


def decode_permit(data: bytes, now: float) -> PermitMessage:
    """Return the message of a datagram.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    if len(data) > PERMIT_BYTES_MAX:
        raise ValueError("the permit message is too large")
    try:
        document = json.loads(data.removeprefix(PERMIT_MARK))
        permit = PermitId(decode_name(document["permit"]))
        sender = InstanceId(decode_name(document["from"]))
        service = ServiceId(decode_name(document["service"]))
        kind = document["kind"]
        if kind == "ask":
            return decode_ask(document, permit, sender, service, now)
        if kind == "answer":
            return SentAnswer(sender, decode_answer(document, permit, service))
        if kind == "return":
            return PermitReturn(
                permit,
                sender,
                service,
                PermitEnd(document["end"]),
                decode_number(document["duration_s"]),
            )
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
    ) as error:
        raise ValueError(f"malformed permit message: {error!r}") from error
    raise ValueError(f"unknown permit message {str(kind)[:40]!r}")


def decode_ask(
    document: Any,
    permit: PermitId,
    sender: InstanceId,
    service: ServiceId,
    now: float,
) -> PermitAsk:
    """Return the request for a permit in a document."""
    request = PermitRequest(
        id=permit,
        instance=sender,
        service=service,
        priority=decode_count(document["priority"]),
        deadline_at=now + decode_number(document["left_s"]),
        objective_at=now + decode_number(document["objective_s"]),
        is_returning=bool(document["returning"]),
        avoid=frozenset(
            UpstreamId(decode_name(name)) for name in document["avoid"][:ENTRIES_MAX]
        ),
    )
    uses = tuple(
        UsedPermit(
            PermitId(decode_name(used)),
            UpstreamId(decode_name(upstream)),
            decode_number(age_s),
        )
        for used, upstream, age_s in document["uses"][:ENTRIES_MAX]
    )
    return PermitAsk(request, uses)


def decode_answer(document: Any, permit: PermitId, service: ServiceId) -> PermitAnswer:
    """Return the answer of a coordinator in a document."""
    decision = PermitDecision(document["decision"])
    upstream = document["upstream"]
    if decision is PermitDecision.GRANTED:
        upstream = decode_name(upstream)
    return PermitAnswer(
        permit,
        InstanceId(decode_name(document["to"])),
        service,
        decision,
        None if upstream is None else UpstreamId(decode_name(upstream)),
        decode_number(document["retry_after_s"]),
        decode_count(document["queue"]),
    )


__all__ = [
    "PERMIT_MARK",
    "PermitAsk",
    "PermitMessage",
    "PermitReturn",
    "SentAnswer",
    "UsedPermit",
    "decode_permit",
    "encode_answer",
    "encode_ask",
    "encode_return",
]
