"""Leaving upstreams and the time during which their caches can be exported."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from fescueflow.configuration import Configuration, ConfigurationStore
from fescueflow.core import Clock, GroupId, ListState, UpstreamId
from fescueflow.membership import ListService
from fescueflow.platform import ListedUpstream, ListSnapshot

# Time after the start of a leave in which exports are requested, in seconds. A leaving
# upstream gets no new work later than 5 s after the list shows it. An export counts as
# work, and the last second is reserved for the import that fetches it.
EXPORT_WINDOW_S = 4.0
# A time of the monotonic clock that has always passed.
ALWAYS_PAST = float("-inf")


@dataclass(frozen=True, slots=True)
class Leave:
    """An upstream that is leaving service.

    ``began_at`` is the earliest time at which it may have begun to leave, on the
    monotonic clock; minus infinity if unknown.
    """

    upstream: ListedUpstream
    began_at: float


class LeaveTracker:
    """Tracks the leaving upstreams.

    Parameters
    ----------
    store : ConfigurationStore
    list_service : ListService
    clock : Clock

    Notes
    -----
    A leave that the upstream list shows counts from the request for the previous
    reading. The time of the reading that shows it would be up to one list interval
    late, and much later after an outage of the list. A leave by configuration counts
    from the time at which this instance accepts the configuration. If an upstream is
    already leaving in the first reading or configuration, the start is unknown.
    """

    def __init__(
        self, *, store: ConfigurationStore, list_service: ListService, clock: Clock
    ) -> None:
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        self._callbacks: list[Callable[[Leave], None]] = []
        self._leaves: dict[UpstreamId, Leave] = {}
        self._snapshot: ListSnapshot | None = None
        self._configuration: Configuration | None = None
        list_service.subscribe(self._on_snapshot)
        store.subscribe(self._on_configuration)

    def subscribe(self, callback: Callable[[Leave], None]) -> None:
        """Register a function to call once for each upstream that begins to leave."""
        with self._lock:
            self._callbacks.append(callback)

    def list_open(self, group: GroupId) -> list[Leave]:
        """Return the leaves of a group from which caches can be exported now."""
        if not self._leaves:
            return []
        with self._lock:
            leaves = list(self._leaves.values())
        return [
            leave
            for leave in leaves
            if leave.upstream.group == group
            and self._clock.monotonic() < self.get_export_deadline(leave)
        ]

    def get_export_deadline(self, leave: Leave) -> float:
        """Return the time until which exports may be requested."""
        configuration = self._store.get()
        group = configuration and configuration.groups.get(leave.upstream.group)
        if not group or not group.export_after_leave_ms:
            return ALWAYS_PAST
        return leave.began_at + group.export_after_leave_ms / 1000

    def is_open(self, leave: Leave) -> bool:
        """Return whether the leave is current and exports may still be requested."""
        with self._lock:
            is_current = self._leaves.get(leave.upstream.id) == leave
        return is_current and self._clock.monotonic() < self.get_export_deadline(leave)

    def _on_snapshot(self, snapshot: ListSnapshot) -> None:
        with self._lock:
            before, self._snapshot = self._snapshot, snapshot
            # An unchanged list keeps the same tuple of parsed upstreams.
            if before is not None and before.upstreams is snapshot.upstreams:
                return
            live_read_at: dict[UpstreamId, float] = {}
            if before is not None:
                live = (u for u in before.upstreams if u.state is ListState.LIVE)
                live_read_at = {u.id: before.read_at for u in live}
            new_leaves = self._replace_leaves(
                lambda u: live_read_at.get(u.id, ALWAYS_PAST)
            )
            callbacks = list(self._callbacks)
        notify(callbacks, new_leaves)

    def _on_configuration(self, configuration: Configuration) -> None:
        with self._lock:
            before, self._configuration = self._configuration, configuration
            now = self._clock.monotonic() if before is not None else ALWAYS_PAST
            new_leaves = self._replace_leaves(lambda _: now)
            callbacks = list(self._callbacks)
        notify(callbacks, new_leaves)

    def _replace_leaves(
        self, get_start: Callable[[ListedUpstream], float]
    ) -> list[Leave]:
        """Replace the leaves and return the new ones.

        Parameters
        ----------
        get_start : callable
            Returns the start of the leave of an upstream.
        """
        upstreams = self._snapshot.upstreams if self._snapshot else ()
        leaves, new_leaves = {}, []
        for upstream in upstreams:
            if not self._is_leaving(upstream):
                continue
            leave = self._leaves.get(upstream.id)
            if leave is None:
                leave = Leave(upstream, get_start(upstream))
                new_leaves.append(leave)
            leaves[upstream.id] = leave
        self._leaves = leaves
        return new_leaves

    def _is_leaving(self, upstream: ListedUpstream) -> bool:
        configuration = self._configuration
        return upstream.state is ListState.LEAVING or (
            configuration is not None
            and (
                upstream.id in configuration.leaving
                or upstream.zone in configuration.withdrawn
            )
        )


def notify(callbacks: list[Callable[[Leave], None]], leaves: list[Leave]) -> None:
    """Call each function with each leave."""
    for leave in leaves:
        for callback in callbacks:
            callback(leave)


__all__ = ["EXPORT_WINDOW_S", "Leave", "LeaveTracker"]
