"""Configurations from a directory or a running configuration service."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fescueflow.cli.remote import RemoteError, get_body
from fescueflow.configuration import (
    Configuration,
    make_manifest,
    parse_configuration,
    read_manifest,
)
from fescueflow.core import FescueflowError, InvalidConfiguration, Revision

FIRST_REVISION = Revision(1)


class UnreadableDirectory(FescueflowError):
    """A configuration directory can't be read."""


@dataclass(frozen=True)
class RawConfiguration:
    """Unparsed manifest and sections of one configuration."""

    revision: Revision
    manifest: bytes
    sections: dict[str, bytes]

    def parse(self) -> Configuration:
        """Return the parsed and validated configuration.

        Raises
        ------
        InvalidConfiguration
        """
        result = parse_configuration(self.revision, self.manifest, self.sections)
        if isinstance(result.value_or(None), Configuration):
            return result.unwrap()
        raise result.failure()


def read_sections(directory: Path) -> dict[str, bytes]:
    """Return the section bodies in a directory, by section name.

    Raises
    ------
    UnreadableDirectory
    """
    try:
        paths = sorted((directory / "sections").glob("*.json"))
        if not paths:
            raise UnreadableDirectory(f"{directory}: contains no sections/*.json")
        return {path.stem: path.read_bytes() for path in paths}
    except OSError as error:
        raise UnreadableDirectory(f"{directory}: {error}") from error


def read_directory(directory: Path, pack: bool) -> RawConfiguration:
    """Return the configuration of a directory.

    Parameters
    ----------
    directory : Path
    pack : bool
        Whether to generate the manifest from the sections instead of reading
        ``manifest.json``.

    Raises
    ------
    UnreadableDirectory
    """
    sections = read_sections(directory)
    if pack:
        return RawConfiguration(FIRST_REVISION, make_manifest(sections), sections)
    try:
        manifest = (directory / "manifest.json").read_bytes()
    except OSError as error:
        raise UnreadableDirectory(f"{directory}: {error}") from error
    return RawConfiguration(FIRST_REVISION, manifest, sections)


def fetch_configuration(url: str) -> RawConfiguration:
    """Return the configuration that a configuration service publishes.

    Raises
    ------
    RemoteError, InvalidConfiguration
    """
    manifest, headers = get_body(url, "/v1/keys/manifest")
    try:
        revision = Revision(int(headers.get("revision", "")))
    except ValueError:
        raise RemoteError(f"{url}: the manifest has no revision number") from None
    read = read_manifest(manifest)
    digests = read.value_or(None)
    if digests is None:
        raise InvalidConfiguration(read.failure().problems)
    sections = {
        name: get_body(url, f"/v1/keys/sections/{digest}")[0]
        for name, digest in digests.items()
    }
    return RawConfiguration(revision, manifest, sections)


def list_differences(
    running: Any, local: Any, path: str = ""
) -> Iterator[tuple[str, Any, Any]]:
    """Yield (path, running value, local value) where two JSON values differ."""
    if isinstance(running, dict) and isinstance(local, dict):
        for key in sorted(running.keys() | local.keys()):
            key_path = f"{path}.{key}" if path else key
            yield from list_differences(running.get(key), local.get(key), key_path)
    elif running != local:
        yield path, running, local


__all__ = [
    "RawConfiguration",
    "UnreadableDirectory",
    "fetch_configuration",
    "list_differences",
    "read_directory",
]
