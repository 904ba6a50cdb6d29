"""Upstreams that leave, and how long their caches may still be exported."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from fescueflow.configuration import Configuration, ConfigurationStore
from fescueflow.core import Clock, GroupId, ListState, UpstreamId
from fescueflow.membership import ListService
from fescueflow.platform import ListedUpstream, ListSnapshot

# A leaving upstream gets no new work later than 5 s after the list shows it. An
# export counts as work, and the last second is for the import that pulls it.
EXPORT_WINDOW_S = 4.0
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Leave:
    """An upstream on its way out of service.

    ``began_at`` is the earliest time at which it may have begun to leave, on
    the monotonic clock; minus infinity when that is not known.
    """

    upstream: ListedUpstream
    began_at: float


class LeaveTracker:
    """Notices which upstreams leave.

    Parameters
    ----------
    store : ConfigurationStore
    list_service : ListService
    clock : Clock

    Notes
    -----
    A leave that the list shows began after the previous reading was asked for:
    the time of the reading that shows it would be up to a list interval late,
    and far later after an outage of the list. A leave by configuration counts
    from its acceptance here. An upstream that leaves already in the first
    reading or configuration began at an unknown time.
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
        list_service.subscribe(self._note_snapshot)
        store.subscribe(self._note_configuration)

    def subscribe(self, callback: Callable[[Leave], None]) -> None:
        """Call a function once for each upstream that begins to leave."""
        with self._lock:
            self._callbacks.append(callback)

    def list_open(self, group: GroupId) -> list[Leave]:
        """Return the leaves of a group whose caches may be exported now."""
        if not self._leaves:
            return []
        with self._lock:
            leaves = list(self._leaves.values())
        return [
            leave
            for leave in leaves
            if leave.upstream.group == group
            and self._clock.monotonic() < self.get_end(leave)
        ]

    def get_end(self, leave: Leave) -> float:
        """Return until when an export may be asked for."""
        configuration = self._store.get()
        group = configuration and configuration.groups.get(leave.upstream.group)
        if not group or not group.export_after_leave_ms:
            return NEVER
        return leave.began_at + group.export_after_leave_ms / 1000

    def is_open(self, leave: Leave) -> bool:
        """Return whether the upstream still leaves and may be asked to export."""
        with self._lock:
            is_current = self._leaves.get(leave.upstream.id) == leave
        return is_current and self._clock.monotonic() < self.get_end(leave)

    def _note_snapshot(self, snapshot: ListSnapshot) -> None:
        with self._lock:
            before, self._snapshot = self._snapshot, snapshot
            # An unchanged list keeps its parsed upstreams.
            if before is not None and before.upstreams is snapshot.upstreams:
                return
            was_live: dict[UpstreamId, float] = {}
            if before is not None:
                live = (u for u in before.upstreams if u.state is ListState.LIVE)
                was_live = {u.id: before.read_at for u in live}
            began = self._update(lambda u: was_live.get(u.id, NEVER))
            callbacks = list(self._callbacks)
        notify(callbacks, began)

    def _note_configuration(self, configuration: Configuration) -> None:
        with self._lock:
            before, self._configuration = self._configuration, configuration
            now = self._clock.monotonic() if before is not None else NEVER
            began = self._update(lambda _: now)
            callbacks = list(self._callbacks)
        notify(callbacks, began)

    def _update(self, date: Callable[[ListedUpstream], float]) -> list[Leave]:
        """Replace the leaves and return those that are new."""
        upstreams = self._snapshot.upstreams if self._snapshot else ()
        leaves, began = {}, []
        for upstream in upstreams:
            if not self._is_leaving(upstream):
                continue
            leave = self._leaves.get(upstream.id)
            if leave is None:
                leave = Leave(upstream, date(upstream))
                began.append(leave)
            leaves[upstream.id] = leave
        self._leaves = leaves
        return began

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
