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

PROBLEMS_SHOWN = 20
REFUSED_MAX = 64
CONFLICT = "manifest: revision {} is in force with another digest"
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
        self._cache = SectionCache()
        self._configuration: Configuration | None = None
        self._sections_message: ConfigurationSections | None = None
        self._refused: OrderedDict[tuple[Revision, bytes], None] = OrderedDict()
        self._callbacks: list[Callable[[Configuration], None]] = []
        metrics.register_gauge("configuration_revision", self.get_revision)

    def get(self) -> Configuration | None:
        """Return the configuration in force, ``None`` before the first one."""
        return self._configuration

    def get_revision(self) -> Revision:
        """Return the revision in force, 0 before the first one."""
        configuration = self._configuration
        return configuration.revision if configuration else Revision(0)

    def get_sections_message(self) -> ConfigurationSections | None:
        """Return manifest and section bodies of the configuration in force."""
        return self._sections_message

    def get_sections(self) -> dict[str, bytes]:
        """Return the section bodies in force by SHA-256 (hex)."""
        message = self._sections_message
        sections = message.sections if message else []
        return {section.digest.hex(): section.body for section in sections}

    def is_refused(self, revision: Revision, digest: bytes | None = None) -> bool:
        """Return whether a revision was refused, with any digest for ``None``."""
        with self._lock:
            if digest is not None:
                return (revision, digest) in self._refused
            return any(refused == revision for refused, _ in self._refused)

    def note_conflict(self, revision: Revision, digest: bytes) -> None:
        """Record that a peer has the revision in force with another digest."""
        self._refuse(revision, digest, [CONFLICT.format(revision)])

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Call back once per accepted revision, in the order of acceptance.

        The callback runs on the task that offered the revision. It must neither
        block nor offer a revision.
        """
        with self._lock:
            self._callbacks.append(callback)

    def offer(
        self, revision: Revision, manifest: bytes, sections: Mapping[str, bytes]
    ) -> bool:
        """Put a revision in force if it is higher and valid.

        Parameters
        ----------
        revision : Revision
        manifest : bytes
        sections : mapping of str to bytes
            Bodies by section name.

        Returns
        -------
        bool
            Whether this call put the revision in force. A lower, equal or
            invalid revision changes nothing.
        """
        with self._offer_lock:
            digest = hashlib.sha256(manifest).digest()
            if not self._is_candidate(revision, digest):
                return False
            parsed = parse_configuration(revision, manifest, sections, self._cache)
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
                self.note_conflict(revision, digest)
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
            if len(self._refused) > REFUSED_MAX:
                self._refused.popitem(last=False)
        self._metrics.count("configuration_offers", result="refused")
        self._audit.record(
            AuditKind.CONFIGURATION_REFUSED,
            revision=revision,
            digest=digest.hex(),
            problems=problems[:PROBLEMS_SHOWN],
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
            "configuration revision {} in force, {} customers",
            new.revision,
            len(new.customers),
        )
        for callback in callbacks:
            try:
                callback(new)
            except Exception:
                # One failing subscriber must not keep the others from the change.
                self._metrics.count("configuration_subscriber_failures")
                logger.exception("a configuration subscriber failed")


def make_sections_message(
    revision: Revision, manifest: bytes, sections: Mapping[str, bytes]
) -> ConfigurationSections:
    """Return manifest and sections as the message that peers receive.

    Only sections that a valid manifest names are part of it.
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
