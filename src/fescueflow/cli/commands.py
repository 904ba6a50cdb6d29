"""Commands of the command-line interface."""

import hashlib
import json
import sys
from argparse import Namespace
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any
from urllib.parse import quote

from fescueflow.cli.directory import (
    RawConfiguration,
    UnreadableDirectory,
    fetch_configuration,
    list_differences,
    read_directory,
)
from fescueflow.cli.logs import log_to_stderr
from fescueflow.cli.remote import RemoteError, get_audit_records, get_json
from fescueflow.configuration import describe_configuration
from fescueflow.core import InvalidConfiguration, InvalidSettings
from fescueflow.schema import SPECIFICATIONS
from fescueflow.settings import ENVIRONMENT_PREFIX, load_settings

EXIT_FAILED = 1
EXIT_INVALID = 2
Environment = Mapping[str, str]


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def format_item(item: Any) -> str:
    """Return a list item on one line."""
    if not isinstance(item, dict):
        return item if isinstance(item, str) else json.dumps(item)
    parts = (
        f"{key}={value if isinstance(value, str) else json.dumps(value)}"
        for key, value in item.items()
    )
    return " ".join(parts)


def format_lines(value: Any, path: str = "") -> Iterator[str]:
    """Yield ``path: value`` for each leaf of a JSON value.

    An object in a list takes one line, so that members and upstreams are easy to
    compare.
    """
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from format_lines(item, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and value:
        for item in value:
            yield f"{path}: {format_item(item)}"
    else:
        text = value if isinstance(value, str) else json.dumps(value)
        yield f"{path}: {text}"


def print_value(value: object, as_json: bool) -> None:
    """Print a JSON value, as JSON or as lines."""
    if as_json:
        print_json(value)
        return
    for line in format_lines(value):
        print(line)


def serve(arguments: Namespace, environment: Environment) -> int:
    """Run one instance until a stop signal."""
    settings = load_settings(vars(arguments), environment)
    from fescueflow.node import Node

    with log_to_stderr(settings.log_json):
        code: int = Node(settings).run()
        return code


def list_settings_problems(
    flags: Mapping[str, Any], environment: Environment
) -> list[str]:
    """Return the problems in the settings, an empty list if none are given.

    ``configuration_url`` alone selects the service to check, and ``http_address``
    the instance that other commands contact, so neither counts as a given setting.
    """
    shared = {"configuration_url", "http_address"}
    names = [s.name for s in SPECIFICATIONS if s.name not in shared]
    given = any(
        flags.get(name) is not None or ENVIRONMENT_PREFIX + name.upper() in environment
        for name in names
    )
    if not given:
        return []
    try:
        load_settings(flags, environment)
    except InvalidSettings as error:
        return error.problems
    return []


def list_configuration_problems(raw_configuration: RawConfiguration) -> list[str]:
    """Return the problems in a configuration."""
    try:
        raw_configuration.parse()
    except InvalidConfiguration as error:
        return error.problems
    return []


def check(arguments: Namespace, environment: Environment) -> int:
    """Check the given settings, and a directory or configuration service."""
    problems = list_settings_problems(vars(arguments), environment)
    unreachable = []
    try:
        if arguments.directory:
            problems += list_configuration_problems(
                read_directory(Path(arguments.directory), pack=False)
            )
        elif arguments.configuration_url:
            raw_configuration = fetch_configuration(arguments.configuration_url)
            problems += list_configuration_problems(raw_configuration)
    except UnreadableDirectory as error:
        problems.append(str(error))
    except InvalidConfiguration as error:
        problems += error.problems
    except RemoteError as error:
        unreachable.append(str(error))
    if arguments.json:
        print_json({"problems": problems, "unreachable": unreachable})
    else:
        for problem in (*problems, *unreachable):
            print(problem, file=sys.stderr)
        if not problems and not unreachable:
            print("no problems found")
    if problems:
        return EXIT_INVALID
    return EXIT_FAILED if unreachable else 0


def show_status(arguments: Namespace, environment: Environment) -> int:
    """Print the state of an instance."""
    print_value(get_json(arguments.address, "/v1/status"), arguments.json)
    return 0


def show_audit(arguments: Namespace, environment: Environment) -> int:
    """Print audit records, with ``--json`` one JSON line each."""
    for record in get_audit_records(arguments.address, arguments.after):
        if arguments.json:
            print(json.dumps(record, sort_keys=True))
            continue
        fields = json.dumps(record.get("fields", {}), sort_keys=True)
        print(record.get("sequence"), record.get("wall_s"), record.get("kind"), fields)
    return 0


def show_configuration(arguments: Namespace, environment: Environment) -> int:
    """Print the configuration in force on an instance."""
    found = fetch_running_configuration(arguments.address, arguments.customer)
    print_value(found, arguments.json)
    return 0


def fetch_running_configuration(address: str, customer: str | None) -> Any:
    """Return the configuration in force on an instance, as JSON values."""
    query = f"?customer={quote(customer, safe='')}" if customer else ""
    return get_json(address, f"/v1/configuration{query}")


def diff_configuration(arguments: Namespace, environment: Environment) -> int:
    """Print the differences between an instance's configuration and a directory."""
    local = read_directory(Path(arguments.directory), pack=True).parse()
    differences: list[tuple[str, Any, Any]] = []
    for customer in (None, *arguments.customer):
        running = fetch_running_configuration(arguments.address, customer)
        wanted = describe_configuration(local, customer)
        if customer is not None:
            name = f"customers.{customer}"
            running = {name: running.get("customer")}
            wanted = {name: wanted["customer"]}
        elif isinstance(running, dict):
            # A directory has no revision: the configuration service assigns it.
            wanted["revision"] = running.get("revision")
        differences += list_differences(running, wanted)
    if arguments.json:
        keys = ("path", "running", "directory")
        print_json([dict(zip(keys, entry, strict=True)) for entry in differences])
    else:
        for path, before, after in differences:
            print(f"{path}: {json.dumps(before)} -> {json.dumps(after)}")
    return EXIT_FAILED if differences else 0


def pack_configuration(arguments: Namespace, environment: Environment) -> int:
    """Print the manifest and, on standard error, the keys of the sections."""
    raw_configuration = read_directory(Path(arguments.directory), pack=True)
    raw_configuration.parse()
    entries = [
        {"name": name, "sha256": hashlib.sha256(body).hexdigest(), "bytes": len(body)}
        for name, body in raw_configuration.sections.items()
    ]
    if arguments.json:
        digest = hashlib.sha256(raw_configuration.manifest).hexdigest()
        manifest = json.loads(raw_configuration.manifest)
        print_json({"manifest": manifest, "digest": digest, "sections": entries})
        return 0
    print(raw_configuration.manifest.decode(), end="")
    for entry in entries:
        text = f"sections/{entry['sha256']}  {entry['name']}  {entry['bytes']} bytes"
        print(text, file=sys.stderr)
    return 0


__all__ = [
    "EXIT_FAILED",
    "EXIT_INVALID",
    "check",
    "diff_configuration",
    "pack_configuration",
    "serve",
    "show_audit",
    "show_configuration",
    "show_status",
]
