"""Reads and watches of the store, and the time as of which their results hold."""

import math
from collections.abc import Iterable

from fescueflow.core import Clock, Revision, StoreEra
from fescueflow.gateway.shared_values import SHARED_KEYS, SharedValues
from fescueflow.gateway.value_reader import ValueSource
from fescueflow.metrics import Metrics
from fescueflow.platform import StoreClient, StoreItem, StoreResult

# Longest wait of a watch call, and the longest silence of the store beyond it. Their
# sum bounds how long a stalled connection delays changes; it must be well below the
# time in which a configuration must be in force. After each call, a reader tells the
# followers that their state is current.
WATCH_TIMEOUT_S = 0.5
# Wait of a follower's call, which only asks what has changed.
CHECK_TIMEOUT_S = 0.05
READ_TIMEOUT_S = 0.7
# Time without reads from another instance after one that failed or was outdated, so
# that a reader in trouble costs each follower one read in this time. Versions of a
# configuration follow each other each second at most.
SHARED_PAUSE_S = 2.0
# One watch covers all prefixes, since each call costs the same.
ALL_PREFIXES = ""


class StoreCaller:
    """Calls the store and counts the calls.

    Parameters
    ----------
    client : StoreClient
    clock : Clock
    metrics : Metrics
    values : ValueSource, optional
        Has large values apart from the store.
    shared : SharedValues, optional
        Gets the values that are read, to serve them to other instances.
    """

    def __init__(
        self,
        client: StoreClient,
        clock: Clock,
        metrics: Metrics,
        values: ValueSource | None = None,
        shared: SharedValues | None = None,
    ) -> None:
        self._values = values
        self._shared = shared
        self._shared_paused_until = -math.inf
        self._client = client
        self._clock = clock
        self._metrics = metrics

    def call(
        self, revision: Revision | None, is_follower: bool
    ) -> tuple[StoreResult, float]:
        """Read all, or wait for the changes after a revision.

        Returns
        -------
        result : StoreResult
        current_at : float
            Time as of which the result is current. It may have been on its way for
            long: without changes, the store has waited, otherwise only the start of
            the call is certain.
        """
        started_at = self._clock.monotonic()
        self._metrics.count("store_calls", kind="read" if revision is None else "watch")
        if revision is None:
            return self._read(ALL_PREFIXES), started_at
        wait_s = CHECK_TIMEOUT_S if is_follower else WATCH_TIMEOUT_S
        result = self._share(self._client.watch(ALL_PREFIXES, revision, wait_s))
        waited_s = 0.0 if result.items else wait_s
        return result, min(started_at + waited_s, self._clock.monotonic())

    def fetch(self, key: str) -> StoreResult:
        """Read the last value of a key, among those of keys that begin with it."""
        self._metrics.count("store_calls", kind="fetch")
        return self._read(key)

    def _read(self, prefix: str) -> StoreResult:
        result = self._client.read(prefix)
        found = {item.key for item in result.items}
        missing = [k for k in SHARED_KEYS - found if k.startswith(prefix)]
        deleted = [StoreItem(key, None, result.revision) for key in missing]
        self.record_items(deleted, result.era)
        return self._share(result)

    def read_shared(
        self, key: str, noted: Revision, era: StoreEra
    ) -> StoreResult | None:
        """Return a value that another instance has, ``None`` without it.

        Parameters
        ----------
        key : str
        noted : Revision
            Revision of the key's last change that is known of.
        era : StoreEra
        """
        if self._values is None or self._clock.monotonic() < self._shared_paused_until:
            return None
        item = self._values.read(key, noted, era)
        if item is None:
            self._shared_paused_until = self._clock.monotonic() + SHARED_PAUSE_S
            return None
        return self._share(StoreResult((item,), item.revision, era))

    def record_items(self, items: Iterable[StoreItem], era: StoreEra) -> None:
        """Note what another instance has told, which may replace large values."""
        if self._shared is not None:
            self._shared.record(items, era)

    def record_complete(self, revision: Revision | None, era: StoreEra) -> None:
        """Note that the state lacks no change up to a revision."""
        if self._shared is not None and revision is not None:
            self._shared.record_complete(revision, era)

    def _share(self, result: StoreResult) -> StoreResult:
        if self._shared is not None:
            self._shared.record(result.items, result.era)
        return result


__all__ = ["READ_TIMEOUT_S", "WATCH_TIMEOUT_S", "StoreCaller"]
