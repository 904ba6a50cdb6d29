"""Decoding of the fields of reports, which may be malformed or forged.

A name or number that can't be used is refused here with its whole report. Stored, it
would fail each request for which the instance reads it.
"""

import math
from typing import Any

NAME_CHARS_MAX = 256
# Above all counts, sizes in tokens, and times in microseconds since 1970.
COUNT_MAX = 1 << 53
# Above all ages and rates.
NUMBER_MAX = 1e9


def decode_name(value: Any) -> str:
    """Return a name.

    Raises
    ------
    ValueError
        If the value is not a printable text of limited length.
    """
    if not isinstance(value, str) or len(value) > NAME_CHARS_MAX:
        raise ValueError(f"{str(value)[:40]!r} is not a name")
    if not value.isprintable():
        raise ValueError(f"{value[:40]!r} is not printable")
    return value


def decode_count(value: Any) -> int:
    """Return a whole number of at least 0.

    Raises
    ------
    ValueError
        If the value is not a number, or is too large.
    """
    count = int(value)
    if not 0 <= count <= COUNT_MAX:
        raise ValueError("a count is negative or too large")
    return count


def decode_number(value: Any) -> float:
    """Return a number of seconds or a rate, at least 0.

    Raises
    ------
    ValueError
        If the value is not a finite number, or is too large.
    """
    number = float(value)
    if not math.isfinite(number) or number > NUMBER_MAX:
        raise ValueError("a number is too large")
    return max(0.0, number)


__all__ = ["NUMBER_MAX", "decode_number", "decode_count", "decode_name"]
