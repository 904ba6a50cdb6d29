"""Store of the highest accepted configuration."""

import hashlib
import threading
from collections import OrderedDict
from collections.abc import Callable, Mapping

import logbook
from returns.result import Failure

from fescueflow.audit import AuditKind, AuditTrail
from fescueflow.configuration.model import Configuration
from fescueflow.configuration.parsing import (
    SectionCache,
    parse_configuration,
    read_manifest,
)
from fescueflow.core import Revision
from fescueflow.invariants import Invariant, Invariants
from fescueflow.metrics import Metrics
from fescueflow.schema import ConfigurationSection, ConfigurationSections

AUDITED_PROBLEMS_MAX = 20
REFUSED_REVISIONS_MAX = 64
CONFLICT_PROBLEM = "manifest: revision {} is already accepted with another digest"
logger = logbook.Logger("configuration")


class ConfigurationStore:
    """Keeps the highest accepted revision, which never decreases.

    Parameters
    ----------
    metrics : Metrics
    audit : AuditTrail
    invariants : Invariants
    """

    def __init__(
        self, *, metrics: Metrics, audit: AuditTrail, invariants: Invariants
    ) -> None:
        self._metrics = metrics
        self._audit = audit
        self._invariants = invariants
        self._offer_lock = threading.Lock()
        self._lock = threading.Lock()
        self._section_cache = SectionCache()
        self._configuration: Configuration | None = None
        self._sections_message: ConfigurationSections | None = None
        self._refused: OrderedDict[tuple[Revision, bytes], None] = OrderedDict()
        self._callbacks: list[Callable[[Configuration], None]] = []
        metrics.register_gauge("configuration_revision", self.get_revision)

    def get(self) -> Configuration | None:
        """Return the current configuration, ``None`` before the first one."""
        return self._configuration

    def get_revision(self) -> Revision:
        """Return the current revision, 0 before the first one."""
        configuration = self._configuration
        return configuration.revision if configuration else Revision(0)

    def get_sections_message(self) -> ConfigurationSections | None:
        """Return the manifest and section bodies of the current configuration."""
        return self._sections_message

    def get_sections(self) -> dict[str, bytes]:
        """Return the current section bodies by SHA-256 (hex)."""
        message = self._sections_message
        sections = message.sections if message else []
        return {section.digest.hex(): section.body for section in sections}

    def is_refused(self, revision: Revision, digest: bytes | None = None) -> bool:
        """Return whether a revision was refused.

        A ``digest`` of ``None`` stands for any digest.
        """
        with self._lock:
            if digest is not None:
                return (revision, digest) in self._refused
            return any(refused == revision for refused, _ in self._refused)

    def record_conflict(self, revision: Revision, digest: bytes) -> None:
        """Record that the current revision was seen with another digest."""
        self._refuse(revision, digest, [CONFLICT_PROBLEM.format(revision)])

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Register a callback that is called once per accepted revision, in order.

        The callback runs in the thread that offered the revision. It must neither
        block nor offer a revision.
        """
        with self._lock:
            self._callbacks.append(callback)

    def offer(
        self, revision: Revision, manifest: bytes, sections: Mapping[str, bytes]
    ) -> bool:
        """Accept a revision if it is valid and higher than the current one.

        Parameters
        ----------
        revision : Revision
        manifest : bytes
            Manifest as published (JSON).
        sections : mapping of str to bytes
            Section bodies by section name.

        Returns
        -------
        bool
            Whether the revision was accepted. A lower, equal or invalid revision
            changes nothing.
        """
        with self._offer_lock:
            digest = hashlib.sha256(manifest).digest()
            if not self._is_candidate(revision, digest):
                return False
            parsed = parse_configuration(
                revision, manifest, sections, self._section_cache
            )
            if isinstance(parsed, Failure):
                self._refuse(revision, digest, parsed.failure().problems)
                return False
            message = make_sections_message(revision, manifest, sections)
            self._accept(parsed.unwrap(), message)
            return True

    def _is_candidate(self, revision: Revision, digest: bytes) -> bool:
        current = self._configuration
        if current and revision < current.revision:
            self._metrics.count("configuration_offers", result="older")
            return False
        if current and revision == current.revision:
            if digest != current.digest:
                self.record_conflict(revision, digest)
            else:
                self._metrics.count("configuration_offers", result="repeated")
            return False
        if self.is_refused(revision, digest):
            self._metrics.count("configuration_offers", result="refused_again")
            return False
        return True

    def _refuse(self, revision: Revision, digest: bytes, problems: list[str]) -> None:
        with self._lock:
            if (revision, digest) in self._refused:
                return
            self._refused[revision, digest] = None
            if len(self._refused) > REFUSED_REVISIONS_MAX:
                self._refused.popitem(last=False)
        self._metrics.count("configuration_offers", result="refused")
        self._audit.record(
            AuditKind.CONFIGURATION_REFUSED,
            revision=revision,
            digest=digest.hex(),
            problems=problems[:AUDITED_PROBLEMS_MAX],
            problems_count=len(problems),
        )
        logger.error(
            "configuration revision {} refused, {} problems, first: {}",
            revision,
            len(problems),
            problems[0],
        )

    def _accept(self, new: Configuration, message: ConfigurationSections) -> None:
        before = self.get_revision()
        self._invariants.check(
            Invariant.REVISION_NEVER_DECREASES,
            new.revision > before,
            before=before,
            after=new.revision,
        )
        with self._lock:
            self._configuration = new
            self._sections_message = message
            callbacks = list(self._callbacks)
        self._metrics.count("configuration_offers", result="accepted")
        self._audit.record(
            AuditKind.CONFIGURATION_ACCEPTED,
            revision=new.revision,
            digest=new.digest.hex(),
            customers=len(new.customers),
        )
        logger.info(
            "configuration revision {} accepted, {} customers",
            new.revision,
            len(new.customers),
        )
        for callback in callbacks:
            try:
                callback(new)
            except Exception:
                # A failing subscriber must not prevent the others from being called.
                self._metrics.count("configuration_subscriber_failures")
                logger.exception("configuration subscriber failed")


def make_sections_message(
    revision: Revision, manifest: bytes, sections: Mapping[str, bytes]
) -> ConfigurationSections:
    """Return the message that answers the fetch requests of peers.

    It contains only sections that the manifest lists.
    """
    digests = read_manifest(manifest).value_or({})
    return ConfigurationSections(
        revision=revision,
        manifest=manifest,
        sections=[
            ConfigurationSection(name, bytes.fromhex(digest), sections[name])
            for name, digest in digests.items()
        ],
    )


__all__ = ["ConfigurationStore", "make_sections_message"]
