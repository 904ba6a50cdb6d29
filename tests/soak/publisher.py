"""Publishes configurations as operators do and records every revision."""

import threading
import time
from dataclasses import dataclass

from tests.standins.deployment import make_configuration


@dataclass(frozen=True)
class Publication:
    """One published revision; ``at`` is its time in monotonic seconds."""

    at: float
    revision: int
    warm_limit: int
    withdrawn: frozenset
    leaving: frozenset
    valid: bool = True


class ConfigurationPublisher:
    """Publishes configurations and records every revision."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.lock = threading.Lock()
        self.warm_limit = deployment.preset.warm_limit
        self.withdrawn, self.leaving = set(), set()
        self.publications = []

    def publish(self, **changes):
        """Set the warm limit or the sets given by name and publish the result."""
        with self.lock:
            for name, value in changes.items():
                setattr(self, name, value)
            self._publish()

    def change_set(self, name, add=(), remove=()):
        """Add to or remove from the set ``withdrawn`` or ``leaving`` and publish."""
        with self.lock:
            values = getattr(self, name)
            values.update(add)
            values.difference_update(remove)
            self._publish()

    def _publish(self, warm_limit=None):
        content = {
            "warm_limit": warm_limit or self.warm_limit,
            "withdrawn": sorted(self.withdrawn),
            "leaving": sorted(self.leaving),
        }
        revision = self.deployment.publish(**content)
        self._record(revision, content)

    def _record(self, revision, content, valid=True):
        values = (content["warm_limit"], frozenset(content["withdrawn"]))
        leaving = frozenset(content["leaving"])
        now = time.monotonic()
        self.publications.append(Publication(now, revision, *values, leaving, valid))

    def publish_invalid(self):
        """Publish a revision whose warm limit is no number."""
        with self.lock:
            sections = make_configuration(self.deployment.preset)
            sections["groups"]["engines"]["warm_limit"] = "many"
            revision = self.deployment.configuration.publish(sections)
            content = {"warm_limit": 0, "withdrawn": (), "leaving": ()}
            self._record(revision, content, valid=False)

    def publish_concurrently(self, limits):
        """Publish a revision for each limit at once, as concurrent operators do."""
        with self.lock:
            barrier = threading.Barrier(len(limits))

            def publish(limit):
                barrier.wait(10)
                self._publish(limit)

            threads = [threading.Thread(target=publish, args=(n,)) for n in limits]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def get_valid_publications(self):
        """Return the valid publications in order of revision."""
        with self.lock:
            found = [p for p in self.publications if p.valid]
        return sorted(found, key=lambda p: p.revision)
