"""Encoding of the slowdowns of upstreams that instances report to each other."""

from collections.abc import Iterable
from typing import Any

from fescueflow.core import UpstreamId
from fescueflow.gateway.fields import decode_name, decode_number
from fescueflow.routing import SpeedUpdate


def encode_speeds(updates: Iterable[SpeedUpdate]) -> dict[str, list[Any]]:
    """Return the field of a report's document; none without a slowdown."""
    entries = [
        [update.upstream, round(update.slowdown, 2), round(update.age_s, 1)]
        for update in updates
    ]
    return {"speeds": entries} if entries else {}


def decode_speeds(document: Any) -> list[SpeedUpdate]:
    """Return the slowdowns in a report; earlier versions send none."""
    return [decode_speed(entry) for entry in document.get("speeds", [])]


def decode_speed(entry: Any) -> SpeedUpdate:
    """Return the slowdown that was encoded as a list.

    Raises
    ------
    ValueError
        If it is not above 0.
    """
    upstream, slowdown, age_s = entry
    factor = decode_number(slowdown)
    if factor <= 0:
        raise ValueError("a slowdown is not above 0")
    return SpeedUpdate(UpstreamId(decode_name(upstream)), factor, decode_number(age_s))


__all__ = ["decode_speeds", "encode_speeds"]
