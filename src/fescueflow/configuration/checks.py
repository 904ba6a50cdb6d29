"""Checks of JSON values that report each problem with its place."""

import json
import math
import re
from collections.abc import Iterable
from typing import Any

VALUE_BYTES_MAX = 1 << 20
LIMIT_MAX = 1_000_000
ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+/-]{0,127}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
PATH_PATTERN = re.compile(r"/[A-Za-z0-9._~!$&'()+,=:@%/-]{0,1023}\*?")
PLACEHOLDER = re.compile(r"\$\{([^${}]*)\}")


def refuse_constant(text: str) -> Any:
    """Refuse ``NaN`` and ``Infinity``, which are not JSON."""
    raise ValueError(f"{text} is not JSON")


def show_value(value: object) -> str:
    """Return a value for a message, shortened."""
    text = ascii(value)
    return text if len(text) <= 80 else text[:77] + "..."


def join_path(path: str, key: object) -> str:
    """Return the path of an element of an object or list."""
    shown = ascii(key)[1:-1][:140] if isinstance(key, str) else str(key)
    return f"{path}.{shown}" if path else shown


class Checker:
    """Collects the problems of one section.

    Parameters
    ----------
    section : str
        Name of the section, first part of every place.
    placeholders : bool, optional
        Whether ``${name}`` is accepted for a text, number, truth value or list.
        The value read is then a substitute that must not be used.
    """

    def __init__(self, section: str, placeholders: bool = False) -> None:
        self.section = section
        self.problems: list[str] = []
        self._placeholders = placeholders

    def report(self, path: str, message: str) -> None:
        """Add a problem."""
        place = f"{self.section}: {path}: " if path else f"{self.section}: "
        self.problems.append(place + message)

    def is_placeholder(self, value: object) -> bool:
        """Return whether a value is a text with an accepted placeholder."""
        if not self._placeholders or not isinstance(value, str):
            return False
        return PLACEHOLDER.search(value) is not None

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
                        self.report("", f"key {show_value(key)} appears twice")
                    seen.add(key)
            return built

        try:
            return json.loads(
                data.decode("utf-8"),
                parse_constant=refuse_constant,
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
        """Return an object; ``optional`` of ``None`` allows any keys.

        Returns
        -------
        dict
            Empty if the value is not an object.
        """
        if not isinstance(value, dict):
            self.report(path, f"must be an object, not {show_value(value)}")
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

    def read_text(self, value: object, path: str, pattern: re.Pattern[str]) -> str:
        """Return a text that matches a pattern, empty after a problem."""
        if self.is_placeholder(value):
            return ""
        if not isinstance(value, str):
            self.report(path, f"must be a string, not {show_value(value)}")
            return ""
        if not pattern.fullmatch(value):
            self.report(path, f"{show_value(value)} does not match {pattern.pattern}")
            return ""
        return value

    def read_integer(self, value: object, path: str, low: int, high: int) -> int:
        """Return an integer within limits, the lower limit after a problem."""
        if self.is_placeholder(value):
            return low
        if isinstance(value, bool) or not isinstance(value, int):
            self.report(path, f"must be a whole number, not {show_value(value)}")
            return low
        if not low <= value <= high:
            self.report(path, f"{show_value(value)} is not between {low} and {high}")
            return low
        return value

    def read_number(self, value: object, path: str, low: float, high: float) -> float:
        """Return a number within limits, the lower limit after a problem."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.report(path, f"must be a number, not {show_value(value)}")
            return low
        if not math.isfinite(value) or not low <= value <= high:
            self.report(path, f"{show_value(value)} is not between {low} and {high}")
            return low
        return float(value)

    def read_flag(self, value: object, path: str) -> bool:
        """Return a truth value, false after a problem."""
        if not isinstance(value, bool) and not self.is_placeholder(value):
            self.report(path, f"must be true or false, not {show_value(value)}")
        return value is True

    def read_choice(self, value: object, path: str, choices: dict[str, Any]) -> Any:
        """Return the choice that a text names, the first one after a problem."""
        if isinstance(value, str) and value in choices:
            return choices[value]
        if not self.is_placeholder(value):
            names = ", ".join(choices)
            self.report(path, f"{show_value(value)} is not one of {names}")
        return next(iter(choices.values()))

    def read_list(self, value: object, path: str) -> list[Any]:
        """Return a list, empty after a problem."""
        if isinstance(value, list):
            return value
        if not self.is_placeholder(value):
            self.report(path, f"must be a list, not {show_value(value)}")
        return []

    def read_ids(self, value: object, path: str) -> frozenset[str]:
        """Return the ids of a list without repeats."""
        ids: set[str] = set()
        for index, item in enumerate(self.read_list(value, path)):
            place = join_path(path, index)
            found = self.read_text(item, place, ID_PATTERN)
            if found and found in ids:
                self.report(place, f"{found!r} appears twice")
            ids.add(found)
        return frozenset(ids - {""})


__all__ = [
    "Checker",
    "ID_PATTERN",
    "LIMIT_MAX",
    "METHOD_PATTERN",
    "NAME_PATTERN",
    "PATH_PATTERN",
    "PLACEHOLDER",
    "VALUE_BYTES_MAX",
    "join_path",
    "show_value",
]
