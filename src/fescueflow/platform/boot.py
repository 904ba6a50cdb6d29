"""Settings file that the platform writes for each process."""

import tomllib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fescueflow.core import InstanceId, InvalidSettings, RegionId, ZoneId

# Environment variable that holds the file's path.
PATH_VARIABLE = "FESCUEFLOW_CONFIG"


@dataclass(frozen=True)
class BootSettings:
    """What a process is told at its start; times are in seconds.

    ``server_heartbeat_s`` is the interval at which upstreams renew their entries.
    """

    instance: InstanceId
    zone: ZoneId
    region: RegionId
    host: str
    callers_address: str
    ready_address: str
    directory_address: str
    peer_port: int
    seed_hosts: tuple[str, ...]
    store_address: str
    server_heartbeat_s: float
    address_keep_max_s: float
    grace_s: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_base: float
    imbalance_factor: float


class Reader:
    """Reads values of a document and collects every problem with its place."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        self._document = document
        self.problems: list[str] = []

    def read(self, place: str, kind: Callable[[Any], Any]) -> Any:
        """Return a converted value; ``None`` and a problem if that fails."""
        value: Any = self._document
        for name in place.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        if value is None:
            self.problems.append(f"{place}: missing")
            return None
        try:
            return kind(value)
        except (TypeError, ValueError) as error:
            self.problems.append(f"{place}: {error}")
            return None


def check_text(value: Any) -> str:
    """Return a text that is not empty."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a text")
    return value


def check_address(value: Any) -> str:
    """Return an address of the form ``ip:port``."""
    host, _, port = check_text(value).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} is not ip:port")
    return str(value)


def check_number(value: Any) -> float:
    """Return a number that is not negative."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{value!r} is not a number of at least 0")
    return float(value)


def check_milliseconds(value: Any) -> float:
    """Return seconds for a number of milliseconds."""
    return check_number(value) / 1000


def check_first_port(value: Any) -> int:
    """Return the first port of a range."""
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError(f"{value!r} is not a pair of ports")
    return int(check_number(value[0]))


def check_hosts(value: Any) -> tuple[str, ...]:
    """Return the hosts of a list of addresses."""
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list")
    return tuple(check_address(entry).rpartition(":")[0] for entry in value)


# Field of `BootSettings`, its place in the file, and how it is converted.
FIELDS: tuple[tuple[str, str, Callable[[Any], Any]], ...] = (
    ("instance", "node_name", check_text),
    ("zone", "zone", check_text),
    ("region", "region", check_text),
    ("host", "ip", check_text),
    ("callers_address", "listen_addrs.frontend", check_address),
    ("ready_address", "listen_addrs.ready", check_address),
    ("directory_address", "listen_addrs.directory_addr", check_address),
    ("peer_port", "internal_ports", check_first_port),
    ("seed_hosts", "seed_nodes", check_hosts),
    ("store_address", "platform.address", check_address),
    ("server_heartbeat_s", "heartbeat_ms", check_milliseconds),
    ("address_keep_max_s", "bounds.ttl_max_s", check_number),
    ("grace_s", "bounds.grace_period_s", check_number),
    ("repeat_ratio", "bounds.retry_ratio", check_number),
    ("repeat_window_s", "bounds.retry_window_s", check_number),
    # The file's name for repeats that are allowed besides the ratio.
    ("repeat_base", "bounds.retry_allowance", check_number),
    ("imbalance_factor", "bounds.imbalance_factor", check_number),
)


def parse_boot(text: str) -> BootSettings:
    """Return the settings that a file holds; unknown fields are ignored.

    Raises
    ------
    InvalidSettings
        With every problem found.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidSettings([f"not TOML: {error}"]) from error
    reader = Reader(document)
    values = {name: reader.read(place, kind) for name, place, kind in FIELDS}
    if reader.problems:
        raise InvalidSettings(reader.problems)
    return BootSettings(**values)


def load_boot(environment: Mapping[str, str]) -> BootSettings:
    """Return the settings of this process.

    Raises
    ------
    InvalidSettings
    """
    problems = list(find_missing_file(environment))
    if problems:
        raise InvalidSettings(problems)
    path = environment[PATH_VARIABLE]
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings([f"{path}: {error}"]) from error
    return parse_boot(text)


def find_missing_file(environment: Mapping[str, str]) -> Iterator[str]:
    """Yield the problem that keeps the file from being read, if there is one."""
    path = environment.get(PATH_VARIABLE)
    if not path:
        yield f"{PATH_VARIABLE}: missing; it names the settings file"
    elif not Path(path).is_file():
        yield f"{PATH_VARIABLE}: no file at {path}"


__all__ = ["PATH_VARIABLE", "BootSettings", "load_boot", "parse_boot"]
