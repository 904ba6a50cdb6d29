"""Validation of JSON values; each problem is reported with its location."""

import json
import math
import re
from collections.abc import Iterable
from typing import Any

# Largest value that the configuration service stores.
VALUE_BYTES_MAX = 1 << 20
# Largest limit, share and integer parameter.
INTEGER_MAX = 1_000_000
ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+/-]{0,127}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
PATH_PATTERN = re.compile(r"/[A-Za-z0-9._~!$&'()+,=:@%/-]{0,1023}\*?")
PLACEHOLDER_PATTERN = re.compile(r"\$\{([^${}]*)\}")


def reject_constant(text: str) -> Any:
    """Raise for ``NaN`` and ``Infinity``, which are not valid JSON."""
    raise ValueError(f"{text} is not JSON")


def format_value(value: object) -> str:
    """Return the representation of a value, truncated for messages."""
    text = ascii(value)
    return text if len(text) <= 80 else text[:77] + "..."


def join_path(path: str, key: object) -> str:
    """Return the path of an object member or list item."""
    escaped = ascii(key)[1:-1][:140] if isinstance(key, str) else str(key)
    return f"{path}.{escaped}" if path else escaped


class Checker:
    """Collects the problems of one section.

    Parameters
    ----------
    section : str
        Name of the section; prefix of every location.
    placeholders : bool, optional
        Whether a string with ``${name}`` is accepted in place of a string, integer,
        boolean, choice or list. The returned value is then a dummy that must not be
        used.
    """

    def __init__(self, section: str, placeholders: bool = False) -> None:
        self.section = section
        self.problems: list[str] = []
        self._placeholders = placeholders

    def report(self, path: str, message: str) -> None:
        """Add a problem."""
        location = f"{self.section}: {path}: " if path else f"{self.section}: "
        self.problems.append(location + message)

    def is_placeholder(self, value: object) -> bool:
        """Return whether a value is a string with an accepted placeholder."""
        if not self._placeholders or not isinstance(value, str):
            return False
        return PLACEHOLDER_PATTERN.search(value) is not None

    def read_json(self, data: bytes) -> Any:
        """Return the decoded value, ``None`` after a problem."""
        if len(data) > VALUE_BYTES_MAX:
            self.report("", f"{len(data)} bytes, at most {VALUE_BYTES_MAX} are allowed")
            return None

        def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
            built = dict(pairs)
            if len(built) != len(pairs):
                seen: set[str] = set()
                for key, _ in pairs:
                    if key in seen:
                        self.report("", f"key {format_value(key)} appears twice")
                    seen.add(key)
            return built

        try:
            return json.loads(
                data.decode("utf-8"),
                parse_constant=reject_constant,
                object_pairs_hook=build_object,
            )
        except (ValueError, RecursionError) as error:
            self.report("", f"not valid JSON: {str(error) or 'nested too deeply'}")
            return None

    def read_object(
        self,
        value: object,
        path: str,
        required: Iterable[str] = (),
        optional: Iterable[str] | None = (),
    ) -> dict[str, Any]:
        """Return an object; ``optional=None`` allows any keys.

        Returns
        -------
        dict
            Empty if the value is not an object.
        """
        if not isinstance(value, dict):
            self.report(path, f"must be an object, not {format_value(value)}")
            return {}
        for key in required:
            if key not in value:
                self.report(join_path(path, key), "missing")
        if optional is not None:
            known = {*required, *optional}
            for key in value:
                if key not in known:
                    self.report(join_path(path, key), "unknown key")
        return value

    def read_string(self, value: object, path: str, pattern: re.Pattern[str]) -> str:
        """Return a string that matches a pattern, empty after a problem."""
        if self.is_placeholder(value):
            return ""
        if not isinstance(value, str):
            self.report(path, f"must be a string, not {format_value(value)}")
            return ""
        if not pattern.fullmatch(value):
            self.report(path, f"{format_value(value)} does not match {pattern.pattern}")
            return ""
        return value

    def read_integer(self, value: object, path: str, minimum: int, maximum: int) -> int:
        """Return an integer within limits, the lower limit after a problem."""
        if self.is_placeholder(value):
            return minimum
        if isinstance(value, bool) or not isinstance(value, int):
            self.report(path, f"must be an integer, not {format_value(value)}")
            return minimum
        if not minimum <= value <= maximum:
            self.report(
                path, f"{format_value(value)} is not between {minimum} and {maximum}"
            )
            return minimum
        return value

    def read_number(
        self, value: object, path: str, minimum: float, maximum: float
    ) -> float:
        """Return a number within limits, the lower limit after a problem."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.report(path, f"must be a number, not {format_value(value)}")
            return minimum
        if not math.isfinite(value) or not minimum <= value <= maximum:
            self.report(
                path, f"{format_value(value)} is not between {minimum} and {maximum}"
            )
            return minimum
        return float(value)

    def read_boolean(self, value: object, path: str) -> bool:
        """Return a boolean, false after a problem."""
        if not isinstance(value, bool) and not self.is_placeholder(value):
            self.report(path, f"must be true or false, not {format_value(value)}")
        return value is True

    def read_choice(self, value: object, path: str, choices: dict[str, Any]) -> Any:
        """Return the choice that a string names, the first one after a problem."""
        if isinstance(value, str) and value in choices:
            return choices[value]
        if not self.is_placeholder(value):
            names = ", ".join(choices)
            self.report(path, f"{format_value(value)} is not one of {names}")
        return next(iter(choices.values()))

    def read_list(self, value: object, path: str) -> list[Any]:
        """Return a list, empty after a problem."""
        if isinstance(value, list):
            return value
        if not self.is_placeholder(value):
            self.report(path, f"must be a list, not {format_value(value)}")
        return []

    def read_ids(self, value: object, path: str) -> frozenset[str]:
        """Return the ids of a list; duplicates are a problem."""
        ids: set[str] = set()
        for index, item in enumerate(self.read_list(value, path)):
            location = join_path(path, index)
            found = self.read_string(item, location, ID_PATTERN)
            if found and found in ids:
                self.report(location, f"{found!r} appears twice")
            ids.add(found)
        return frozenset(ids - {""})


__all__ = [
    "Checker",
    "ID_PATTERN",
    "INTEGER_MAX",
    "METHOD_PATTERN",
    "NAME_PATTERN",
    "PATH_PATTERN",
    "PLACEHOLDER_PATTERN",
    "VALUE_BYTES_MAX",
    "join_path",
    "format_value",
]
