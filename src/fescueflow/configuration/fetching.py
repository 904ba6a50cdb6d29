"""Fetching of manifests and sections from the service or from peers."""

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


class FetchError(Exception):
    """A source is unavailable or its response is unusable."""


@dataclass(frozen=True)
class Manifest:
    """Manifest of one revision as received from a source, not yet validated."""

    revision: Revision
    body: bytes

    @property
    def digest(self) -> bytes:
        """Return the SHA-256 of the body."""
        return hashlib.sha256(self.body).digest()


class Source(ABC):
    """A place that a configuration can be read from.

    The methods raise ``FetchError`` if the source gives no usable response.
    """

    @abstractmethod
    def read_manifest(self) -> Manifest:
        """Return the newest manifest that the source has."""

    @abstractmethod
    def read_sections(self, digests: list[str]) -> Iterator[bytes]:
        """Yield the bodies of the sections with these SHA-256 digests (hex).

        The order of the bodies is arbitrary.
        """


class ServiceSource(Source):
    """The platform's configuration service; counts calls and failures."""

    def __init__(self, client: ConfigurationClient, metrics: Metrics) -> None:
        self._client = client
        self._metrics = metrics

    def read_manifest(self) -> Manifest:
        """Return the manifest that the service publishes."""
        return Manifest(*self._read(MANIFEST_KEY, "manifest"))

    def watch_manifest(self, after: Revision, timeout_s: float) -> Manifest | None:
        """Return a manifest after the given revision, ``None`` at the timeout."""
        self._metrics.count("platform_calls", kind="watch")
        try:
            found = self._client.watch(MANIFEST_KEY, after, timeout_s)
        except PlatformUnavailable as error:
            self._metrics.count("platform_failures", kind="watch")
            raise FetchError(str(error)) from error
        return Manifest(*found) if found else None

    def read_sections(self, digests: list[str]) -> Iterator[bytes]:
        """Yield the sections, each read by one call."""
        for digest in digests:
            yield self._read(f"sections/{digest}", "section")[1]

    def _read(self, key: str, kind: str) -> tuple[Revision, bytes]:
        self._metrics.count("platform_calls", kind=kind)
        try:
            return self._client.read(key)
        except PlatformUnavailable as error:
            self._metrics.count("platform_failures", kind=kind)
            raise FetchError(str(error)) from error


class PeerSource(Source):
    """Another instance of the fleet, reached over TCP."""

    def __init__(self, client: FrameClient, address: str, timeout_s: float) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    def read_manifest(self) -> Manifest:
        """Return the manifest of the peer's current configuration."""
        response = self._exchange([])
        if not response.manifest:
            raise FetchError(f"{self._address} has no configuration")
        return Manifest(Revision(response.revision), response.manifest)

    def read_sections(self, digests: list[str]) -> Iterator[bytes]:
        """Yield the sections; each response holds as many as fit into a frame."""
        missing = list(digests)
        while missing:
            requested = missing[:SECTIONS_PER_FETCH]
            response = self._exchange([bytes.fromhex(digest) for digest in requested])
            received = {section.digest.hex() for section in response.sections}
            if not received & set(requested):
                raise FetchError(f"{self._address} lacks section {requested[0]}")
            for section in response.sections:
                yield section.body
            missing = [digest for digest in missing if digest not in received]

    def _exchange(self, digests: list[bytes]) -> ConfigurationSections:
        request = ConfigurationFetch(revision=0, sections=digests)
        try:
            response = self._client.exchange(self._address, request, self._timeout_s)
        except PeerError as error:
            raise FetchError(f"{self._address}: {error}") from error
        if not isinstance(response, ConfigurationSections):
            raise FetchError(
                f"{self._address}: unexpected response {type(response).__name__}"
            )
        return response


def make_fetch_response(
    message: ConfigurationSections | None, request: ConfigurationFetch
) -> ConfigurationSections:
    """Return the response to a peer's fetch request.

    A request without section digests gets the manifest, any other request gets only
    sections, so that a response with values of up to 1 MB fits into a frame. The
    first matching section is always included, further ones up to 1 MB in total.

    Parameters
    ----------
    message : ConfigurationSections or None
        Current configuration; ``None`` gives an empty response.
    request : ConfigurationFetch
    """
    if message is None:
        return ConfigurationSections()
    response = ConfigurationSections(revision=message.revision)
    if not request.sections:
        response.manifest = message.manifest
        return response
    wanted = set(request.sections)
    total = 0
    for section in message.sections:
        if section.digest not in wanted:
            continue
        wanted.discard(section.digest)
        total += len(section.body)
        if response.sections and total > VALUE_BYTES_MAX:
            break
        response.sections.append(section)
    return response


class RevisionFetcher:
    """Fetches the sections that a manifest names and offers the revision to the store.

    Sections received before a fetch failed are kept for the next attempt. Not
    thread-safe: each task has its own instance.
    """

    def __init__(self, store: ConfigurationStore, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics
        self._retained: dict[str, bytes] = {}

    def fetch_and_offer(
        self, manifest: Manifest, source: Source, is_stopped: Callable[[], bool]
    ) -> bool:
        """Fetch the missing sections of a manifest and offer the revision.

        Returns
        -------
        bool
            Whether the store accepted the revision.

        Raises
        ------
        FetchError
            If the source did not return all sections; a retry may succeed.
        """
        if not 1 <= manifest.revision <= REVISION_MAX:
            raise FetchError(f"revision {manifest.revision} is out of range")
        current = self._store.get_revision()
        refused = self._store.is_refused(manifest.revision, manifest.digest)
        if manifest.revision < current or refused:
            return False
        parsed = read_manifest(manifest.body)
        if isinstance(parsed, Failure) or manifest.revision == current:
            # The store refuses and audits an invalid manifest and one that conflicts
            # with the current digest.
            return self._store.offer(manifest.revision, manifest.body, {})
        section_digests = parsed.unwrap()
        bodies = self._collect_sections(
            set(section_digests.values()), source, is_stopped
        )
        sections = {name: bodies[digest] for name, digest in section_digests.items()}
        return self._store.offer(manifest.revision, manifest.body, sections)

    def _collect_sections(
        self, wanted: set[str], source: Source, is_stopped: Callable[[], bool]
    ) -> dict[str, bytes]:
        known = self._store.get_sections() | self._retained
        self._retained = {digest: known[digest] for digest in wanted & known.keys()}
        missing = sorted(wanted - self._retained.keys())
        for body in source.read_sections(missing):
            digest = hashlib.sha256(body).hexdigest()
            if digest not in wanted:
                self._metrics.count("configuration_damaged_sections")
            else:
                self._retained[digest] = body
            if is_stopped():
                raise FetchError("stopped")
        if wanted - self._retained.keys():
            raise FetchError("received sections do not match their digests")
        self._metrics.count("configuration_sections_fetched", len(missing))
        return self._retained


__all__ = [
    "FetchError",
    "RevisionFetcher",
    "Manifest",
    "PeerSource",
    "ServiceSource",
    "Source",
    "make_fetch_response",
]
