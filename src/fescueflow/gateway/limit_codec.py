"""What instances report to each other of upstreams' limits, and its encoding."""

from collections.abc import Iterable
from typing import Any

from fescueflow.core import UpstreamId
from fescueflow.gateway.fields import decode_count, decode_name, decode_number
from fescueflow.routing import LimitId, LimitUpdate


def encode_limits(updates: Iterable[LimitUpdate]) -> dict[str, list[Any]]:
    """Return the field of a report's document; none without a limit."""
    entries = [
        [
            update.id.upstream,
            update.id.started_at_ms,
            update.rate,
            round(update.age_s, 2),
        ]
        for update in updates
    ]
    return {"limits": entries} if entries else {}


def decode_limits(document: Any) -> list[LimitUpdate]:
    """Return the limits in a report; earlier versions send none.

    Raises
    ------
    ValueError
        If a limit is negative.
    """
    return [decode_limit(entry) for entry in document.get("limits", [])]


def decode_limit(entry: Any) -> LimitUpdate:
    """Return the limit that was encoded as a list."""
    upstream, started_at_ms, rate, age_s = entry
    if rate is not None and float(rate) < 0:
        raise ValueError("a limit is negative")
    return LimitUpdate(
        LimitId(UpstreamId(decode_name(upstream)), decode_count(started_at_ms)),
        None if rate is None else decode_number(rate),
        decode_number(age_s),
    )


__all__ = ["decode_limits", "encode_limits"]
