"""Fetches manifests and missing sections from the service or from peers."""

import hashlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from returns.result import Failure

from fescueflow.configuration.checks import VALUE_BYTES_MAX
from fescueflow.configuration.parsing import REVISION_MAX, read_manifest
from fescueflow.configuration.store import ConfigurationStore
from fescueflow.core import PeerError, PlatformUnavailable, Revision
from fescueflow.metrics import Metrics
from fescueflow.platform import ConfigurationClient
from fescueflow.schema import ConfigurationFetch, ConfigurationSections
from fescueflow.transport import FrameClient

MANIFEST_KEY = "manifest"
SECTIONS_PER_FETCH = 512


class FetchFailed(Exception):
    """A source gave no usable answer."""


@dataclass(frozen=True)
class Manifest:
    """Manifest of one revision as a source gave it."""

    revision: Revision
    body: bytes

    @property
    def digest(self) -> bytes:
        """SHA-256 of the body."""
        return hashlib.sha256(self.body).digest()


class Source(ABC):
    """Where a configuration can be read; calls raise ``FetchFailed``."""

    @abstractmethod
    def read_manifest(self) -> Manifest:
        """Return the newest manifest of the source."""

    @abstractmethod
    def read_sections(self, digests: list[str]) -> Iterator[bytes]:
        """Yield section bodies by SHA-256 (hex), in any order."""


class ServiceSource(Source):
    """The platform's configuration service; every call is counted."""

    def __init__(self, client: ConfigurationClient, metrics: Metrics) -> None:
        self._client = client
        self._metrics = metrics

    def read_manifest(self) -> Manifest:
        """Return the service's manifest."""
        return Manifest(*self._read(MANIFEST_KEY, "manifest"))

    def watch_manifest(self, after: Revision, timeout_s: float) -> Manifest | None:
        """Return a later manifest, ``None`` if there was no change."""
        self._metrics.count("platform_calls", kind="watch")
        try:
            found = self._client.watch(MANIFEST_KEY, after, timeout_s)
        except PlatformUnavailable as error:
            self._metrics.count("platform_failures", kind="watch")
            raise FetchFailed(str(error)) from error
        return Manifest(*found) if found else None

    def read_sections(self, digests: list[str]) -> Iterator[bytes]:
        """Yield the sections, one call each."""
        for digest in digests:
            yield self._read(f"sections/{digest}", "section")[1]

    def _read(self, key: str, kind: str) -> tuple[Revision, bytes]:
        self._metrics.count("platform_calls", kind=kind)
        try:
            return self._client.read(key)
        except PlatformUnavailable as error:
            self._metrics.count("platform_failures", kind=kind)
            raise FetchFailed(str(error)) from error


class PeerSource(Source):
    """Another instance, over TCP."""

    def __init__(self, client: FrameClient, address: str, timeout_s: float) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    def read_manifest(self) -> Manifest:
        """Return the manifest that the peer has in force."""
        answer = self._exchange([])
        if not answer.manifest:
            raise FetchFailed(f"{self._address} has no configuration")
        return Manifest(Revision(answer.revision), answer.manifest)

    def read_sections(self, digests: list[str]) -> Iterator[bytes]:
        """Yield the sections; an answer holds as many as fit into a frame."""
        missing = list(digests)
        while missing:
            asked = missing[:SECTIONS_PER_FETCH]
            answer = self._exchange([bytes.fromhex(digest) for digest in asked])
            given = {section.digest.hex() for section in answer.sections}
            if not given & set(asked):
                raise FetchFailed(f"{self._address} lacks section {asked[0]}")
            for section in answer.sections:
                yield section.body
            missing = [digest for digest in missing if digest not in given]

    def _exchange(self, digests: list[bytes]) -> ConfigurationSections:
        request = ConfigurationFetch(revision=0, sections=digests)
        try:
            answer = self._client.exchange(self._address, request, self._timeout_s)
        except PeerError as error:
            raise FetchFailed(f"{self._address}: {error}") from error
        if not isinstance(answer, ConfigurationSections):
            raise FetchFailed(f"{self._address}: {type(answer).__name__} as answer")
        return answer


def answer_fetch(
    source: ConfigurationSections | None, request: ConfigurationFetch
) -> ConfigurationSections:
    """Return the answer to a peer's fetch.

    A request that names no sections is answered with the manifest, any other with
    sections only, so that an answer with values of 1 MB fits into a frame. The
    first section is always part of it, further ones up to 1 MB in total.
    """
    if source is None:
        return ConfigurationSections()
    answer = ConfigurationSections(revision=source.revision)
    if not request.sections:
        answer.manifest = source.manifest
        return answer
    wanted = set(request.sections)
    total = 0
    for section in source.sections:
        if section.digest not in wanted:
            continue
        wanted.discard(section.digest)
        total += len(section.body)
        if answer.sections and total > VALUE_BYTES_MAX:
            break
        answer.sections.append(section)
    return answer


class Fetcher:
    """Completes manifests with sections and offers them to the store.

    Sections of an interrupted fetch are kept for the next attempt. Each task uses
    a fetcher of its own.
    """

    def __init__(self, store: ConfigurationStore, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics
        self._kept: dict[str, bytes] = {}

    def complete(
        self, manifest: Manifest, source: Source, is_stopped: Callable[[], bool]
    ) -> bool:
        """Fetch what a manifest lacks and offer the revision.

        Returns
        -------
        bool
            Whether this call put the revision in force.

        Raises
        ------
        FetchFailed
            If the source gave not all sections; another attempt may succeed.
        """
        if not 1 <= manifest.revision <= REVISION_MAX:
            raise FetchFailed(f"revision {manifest.revision} is out of range")
        current = self._store.get_revision()
        refused = self._store.is_refused(manifest.revision, manifest.digest)
        if manifest.revision < current or refused:
            return False
        read = read_manifest(manifest.body)
        if isinstance(read, Failure) or manifest.revision == current:
            # The store refuses and records an invalid or contradicting manifest.
            return self._store.offer(manifest.revision, manifest.body, {})
        named = read.unwrap()
        bodies = self._gather(set(named.values()), source, is_stopped)
        sections = {name: bodies[digest] for name, digest in named.items()}
        return self._store.offer(manifest.revision, manifest.body, sections)

    def _gather(
        self, wanted: set[str], source: Source, is_stopped: Callable[[], bool]
    ) -> dict[str, bytes]:
        known = self._store.get_sections() | self._kept
        self._kept = {digest: known[digest] for digest in wanted & known.keys()}
        missing = sorted(wanted - self._kept.keys())
        for body in source.read_sections(missing):
            digest = hashlib.sha256(body).hexdigest()
            if digest not in wanted:
                self._metrics.count("configuration_damaged_sections")
            else:
                self._kept[digest] = body
            if is_stopped():
                raise FetchFailed("stopped")
        if wanted - self._kept.keys():
            raise FetchFailed("sections are damaged")
        self._metrics.count("configuration_sections_fetched", len(missing))
        return self._kept


__all__ = [
    "FetchFailed",
    "Fetcher",
    "Manifest",
    "PeerSource",
    "ServiceSource",
    "Source",
    "answer_fetch",
]
