"""Settings from command-line flags and ``FESCUEFLOW_*`` environment variables."""

import argparse
import re
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import urlsplit

from fescueflow.core import InvalidSettings, split_address
from fescueflow.schema import SPECIFICATIONS, Settings, SettingSpecification

ENVIRONMENT_PREFIX = "FESCUEFLOW_"
BOOLEAN_VALUES = {"true": True, "1": True, "yes": True, "false": False, "0": False}
BOOLEAN_VALUES["no"] = False
HEX_KEY_PATTERN = re.compile(r"[0-9a-fA-F]{32,128}")
KEYS_MAX = 2


def parse_value(specification: SettingSpecification, text: str) -> str | int | bool:
    """Return the typed value of a setting.

    Parameters
    ----------
    specification : SettingSpecification
    text : str
        Value of the flag or environment variable.

    Raises
    ------
    ValueError
        If the text is not a valid value; the message says why.
    """
    kind = specification.kind
    if kind == "bool":
        if text.lower() not in BOOLEAN_VALUES:
            raise ValueError(f"{text!r} is not true or false")
        return BOOLEAN_VALUES[text.lower()]
    if kind == "int":
        return parse_integer(specification, text)
    if kind == "address":
        split_address(text)
    if kind == "url":
        parts = urlsplit(text)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(f"{text!r} is not an http URL")
    if kind == "keys":
        keys = text.split(",")
        if len(keys) > KEYS_MAX or not all(HEX_KEY_PATTERN.fullmatch(k) for k in keys):
            raise ValueError("needs one or two keys of 32 to 128 hex digits")
    if not text:
        raise ValueError("is empty")
    return text


def parse_integer(specification: SettingSpecification, text: str) -> int:
    """Return an integer within the range of its specification.

    Raises
    ------
    ValueError
        If the text is not an integer or is out of range.
    """
    try:
        number = int(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a whole number") from None
    low, high = specification.minimum, specification.maximum
    if (low is not None and number < low) or (high is not None and number > high):
        raise ValueError(f"{number} is not between {low} and {high}")
    return number


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add one flag per setting; ``load_settings`` validates the values."""
    for specification in SPECIFICATIONS:
        flag_name = "--" + specification.name.replace("_", "-")
        default = "" if specification.required else f" [{specification.default}]"
        parser.add_argument(
            flag_name, dest=specification.name, help=specification.help + default
        )


def find_unknown_variables(environment: Mapping[str, str]) -> Iterator[str]:
    """Yield a problem for each ``FESCUEFLOW_*`` variable without a setting."""
    known = {ENVIRONMENT_PREFIX + s.name.upper() for s in SPECIFICATIONS}
    for name in sorted(environment):
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known:
            yield f"{name}: unknown setting"


def load_settings(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> Settings:
    """Return validated settings; flags take precedence over the environment.

    Parameters
    ----------
    flags : mapping of str to str or None
        Values by setting name; ``None`` if the flag was not given.
    environment : mapping of str to str
        Environment variables of the process.

    Returns
    -------
    Settings

    Raises
    ------
    InvalidSettings
        Lists every problem found.
    """
    problems = list(find_unknown_variables(environment))
    values: dict[str, Any] = {}
    for specification in SPECIFICATIONS:
        flag_value = flags.get(specification.name)
        variable = ENVIRONMENT_PREFIX + specification.name.upper()
        text = flag_value if flag_value is not None else environment.get(variable)
        flag_name = "--" + specification.name.replace("_", "-")
        if text is None:
            if specification.required:
                problems.append(f"{flag_name}: missing (or {variable})")
            continue
        try:
            values[specification.name] = parse_value(specification, text)
        except ValueError as error:
            problems.append(
                f"{flag_name if flag_value is not None else variable}: {error}"
            )
    if not problems:
        settings = Settings(**values)
        problems = list(find_conflicts(settings))
    if problems:
        raise InvalidSettings(problems)
    return settings


def find_conflicts(settings: Settings) -> Iterator[str]:
    """Yield a problem for each violated relation between settings."""
    if settings.share_hold_down_ms <= settings.list_lag_max_ms + settings.lease_ms:
        yield "--share-hold-down-ms: must exceed --list-lag-max-ms plus --lease-ms"
    if settings.lease_renew_ms * 2 >= settings.lease_ms:
        yield "--lease-renew-ms: must be less than half of --lease-ms"
    if settings.suspect_after_ms >= settings.dead_after_ms:
        yield "--suspect-after-ms: must be less than --dead-after-ms"


__all__ = [
    "ENVIRONMENT_PREFIX",
    "add_arguments",
    "load_settings",
    "split_address",
]
