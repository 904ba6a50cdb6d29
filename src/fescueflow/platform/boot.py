"""Parser of the settings file that the platform writes for each process."""

import math
import tomllib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from fescueflow.core import InstanceId, InvalidSettings, RegionId, ZoneId
from fescueflow.platform.features import (
    ALL_FEATURES,
    FEATURES_VARIABLE,
    Feature,
    read_features,
)

# Environment variable with the path of the settings file.
PATH_VARIABLE = "FESCUEFLOW_CONFIG"


# Bandwidth of the link of an instance whose settings don't tell it, in Mbit/s.
LINK_MBPS_DEFAULT = 1000.0
# Memory of an instance whose settings don't tell it, in MB: that of the size to design
# for (docs/CAPACITY.md).
MEMORY_MB_DEFAULT = 256.0
# Time within which a withdrawn zone gets no requests any more, in s, of platforms whose
# settings don't tell it: that of the deployments which have a store with eras.
EVACUATION_S_DEFAULT = 5.0


@dataclass(frozen=True)
class BootSettings:
    """Settings that a process receives from the platform; times are in seconds.

    ``server_heartbeat_s`` is the interval at which upstreams renew their entries
    in the store. Within ``repeat_window_s``, the retry budget of a service is
    ``repeat_ratio`` retries per first attempt plus ``repeat_base`` retries for all
    instances together. ``cpu_cores`` is the processor's share in standard cores.
    ``link_mbps`` is the bandwidth of the instance's link, ``memory_mb`` the memory at
    which its process is killed, ``max_fds`` the number of its descriptors, 0 if the
    file does not tell it. ``evacuation_s`` is the time within which a withdrawn zone
    gets nothing any more, ``drain_s`` the time for which an upstream serves after its
    departure is known to the platform, 0 if the file does not tell it, and ``features``
    are the optional mechanisms in use.
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
    cpu_cores: float = 1.0
    link_mbps: float = LINK_MBPS_DEFAULT
    memory_mb: float = MEMORY_MB_DEFAULT
    features: frozenset[Feature] = ALL_FEATURES
    evacuation_s: float = EVACUATION_S_DEFAULT
    max_fds: float = 0.0
    drain_s: float = 0.0


class DocumentReader:
    """Reads values by key path and collects every problem."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        self._document = document
        self.problems: list[str] = []

    def read(self, key_path: str, convert: Callable[[Any], Any]) -> Any:
        """Return the converted value, or record a problem and return ``None``."""
        value: Any = self._document
        for name in key_path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        if value is None:
            self.problems.append(f"{key_path}: missing")
            return None
        try:
            return convert(value)
        except (TypeError, ValueError) as error:
            self.problems.append(f"{key_path}: {error}")
            return None


def check_string(value: Any) -> str:
    """Return the value if it is a non-empty string."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def check_address(value: Any) -> str:
    """Return the value if it is an address of the form ``ip:port``."""
    host, _, port = check_string(value).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} is not ip:port")
    return str(value)


def check_number(value: Any) -> float:
    """Return the value if it is a number of at least 0."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{value!r} is not a number of at least 0")
    return float(value)


def parse_milliseconds(value: Any) -> float:
    """Convert milliseconds to seconds."""
    return check_number(value) / 1000


def parse_first_port(value: Any) -> int:
    """Return the first port of a port range."""
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError(f"{value!r} is not a pair of ports")
    return int(check_number(value[0]))


def parse_hosts(value: Any) -> tuple[str, ...]:
    """Return the hosts of a list of ``ip:port`` addresses."""
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list")
    return tuple(check_address(entry).rpartition(":")[0] for entry in value)


# Field of `BootSettings`, its key path in the file, and its converter.
BOOT_FIELDS: tuple[tuple[str, str, Callable[[Any], Any]], ...] = (
    ("instance", "node_name", check_string),
    ("zone", "zone", check_string),
    ("region", "region", check_string),
    ("host", "ip", check_string),
    ("callers_address", "listen_addrs.frontend", check_address),
    ("ready_address", "listen_addrs.ready", check_address),
    ("directory_address", "listen_addrs.directory_addr", check_address),
    ("peer_port", "internal_ports", parse_first_port),
    ("seed_hosts", "seed_nodes", parse_hosts),
    ("store_address", "platform.address", check_address),
    ("server_heartbeat_s", "heartbeat_ms", parse_milliseconds),
    ("address_keep_max_s", "bounds.ttl_max_s", check_number),
    ("grace_s", "bounds.grace_period_s", check_number),
    ("repeat_ratio", "bounds.retry_ratio", check_number),
    ("repeat_window_s", "bounds.retry_window_s", check_number),
    # Retries in addition to those that the ratio allows.
    ("repeat_base", "bounds.retry_allowance", check_number),
    ("imbalance_factor", "bounds.imbalance_factor", check_number),
)


def parse_boot(text: str) -> BootSettings:
    """Return the settings in the text of a file; unknown fields are ignored.

    Raises
    ------
    InvalidSettings
        Lists every problem found.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidSettings([f"not TOML: {error}"]) from error
    reader = DocumentReader(document)
    values = {
        name: reader.read(key_path, convert) for name, key_path, convert in BOOT_FIELDS
    }
    if reader.problems:
        raise InvalidSettings(reader.problems)
    limits = document.get("limits")
    return BootSettings(
        **values,
        cpu_cores=read_limit(limits, "cpu_quota", 1.0)
        * read_limit(limits, "speed_factor", 1.0),
        link_mbps=read_limit(limits, "link_mbps", LINK_MBPS_DEFAULT),
        memory_mb=read_limit(limits, "memory_limit_mb", MEMORY_MB_DEFAULT),
        evacuation_s=read_evacuation(document.get("bounds")),
        drain_s=read_drain(document.get("bounds")),
        max_fds=read_limit(limits, "max_fds", 0.0),
    )


def read_limit(limits: Any, name: str, default: float) -> float:
    """Return one of the limits of the machine, which the file need not tell.

    Notes
    -----
    They only decide how many callers are sent to an instance, how many connections it
    takes and how much it holds for them, so an odd value is no reason not to start.
    """
    value = limits.get(name) if isinstance(limits, Mapping) else None
    try:
        return default if value is None else check_number(value)
    except ValueError:
        return default


def read_evacuation(bounds: Any) -> float:
    """Return the time within which a withdrawn zone gets nothing any more, in s.

    Notes
    -----
    The file need not tell it. Values that would keep a zone withdrawn for ever, or that
    are no numbers, count as missing.
    """
    evacuation_ms = read_limit(bounds, "evacuation_ms", EVACUATION_S_DEFAULT * 1000)
    return (
        evacuation_ms / 1000 if math.isfinite(evacuation_ms) else EVACUATION_S_DEFAULT
    )


def read_drain(bounds: Any) -> float:
    """Return the time for which upstreams serve after their departure, in s.

    Notes
    -----
    The file need not tell it. A value without end, by which an upstream that has left
    would count as crashed, counts as missing.
    """
    drain_ms = read_limit(bounds, "drain_timeout_ms", 0.0)
    return drain_ms / 1000 if math.isfinite(drain_ms) else 0.0


def load_boot(environment: Mapping[str, str]) -> BootSettings:
    """Return the settings of this process from the file in ``FESCUEFLOW_CONFIG``.

    Raises
    ------
    InvalidSettings
        If the file is missing, unreadable or invalid.
    """
    problems = list(find_file_problem(environment))
    if problems:
        raise InvalidSettings(problems)
    path = environment[PATH_VARIABLE]
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings([f"{path}: {error}"]) from error
    try:
        features = read_features(environment)
    except ValueError as error:
        raise InvalidSettings([f"{FEATURES_VARIABLE}: {error}"]) from error
    return replace(parse_boot(text), features=features)


def find_file_problem(environment: Mapping[str, str]) -> Iterator[str]:
    """Yield a problem if the path is not set or is not a file."""
    path = environment.get(PATH_VARIABLE)
    if not path:
        yield f"{PATH_VARIABLE}: missing; must be the path of the settings file"
    elif not Path(path).is_file():
        yield f"{PATH_VARIABLE}: no file at {path}"


__all__ = ["PATH_VARIABLE", "BootSettings", "load_boot", "parse_boot"]
