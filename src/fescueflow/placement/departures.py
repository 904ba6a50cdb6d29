"""Leaving upstreams and the time during which their caches can be exported."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from fescueflow.configuration import Configuration, ConfigurationStore
from fescueflow.core import Clock, GroupId, ListState, UpstreamId
from fescueflow.membership import ListService
from fescueflow.platform import ListedUpstream, ListSnapshot

# Time after the start of a departure in which exports are requested, in seconds. A
# leaving upstream gets no new work later than 5 s after the list shows it. An export
# counts as work, and the last second is reserved for the import that fetches it.
EXPORT_WINDOW_S = 4.0
# A time of the monotonic clock that has always passed.
ALWAYS_PAST = float("-inf")


@dataclass(frozen=True, slots=True)
class Departure:
    """An upstream that is leaving service.

    ``began_at`` is the earliest time at which it may have begun to leave, on the
    monotonic clock; minus infinity if unknown.
    """

    upstream: ListedUpstream
    began_at: float


class DepartureTracker:
    """Tracks the leaving upstreams.

    Parameters
    ----------
    store : ConfigurationStore
    list_service : ListService
    clock : Clock

    Notes
    -----
    A departure that the upstream list shows counts from the request for the previous
    reading. The time of the reading that shows it would be up to one list interval
    late, and much later after an outage of the list. A departure by configuration
    counts from the time at which this instance accepts the configuration. If an
    upstream is already leaving in the first reading or configuration, the start is
    unknown.
    """

    def __init__(
        self, *, store: ConfigurationStore, list_service: ListService, clock: Clock
    ) -> None:
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        self._callbacks: list[Callable[[Departure], None]] = []
        self._departures: dict[UpstreamId, Departure] = {}
        self._snapshot: ListSnapshot | None = None
        self._configuration: Configuration | None = None
        list_service.subscribe(self._on_snapshot)
        store.subscribe(self._on_configuration)

    def subscribe(self, callback: Callable[[Departure], None]) -> None:
        """Register a function to call once for each upstream that begins to leave."""
        with self._lock:
            self._callbacks.append(callback)

    def list_exportable(self, group: GroupId) -> list[Departure]:
        """Return the departures of a group from which caches can be exported now."""
        if not self._departures:
            return []
        with self._lock:
            departures = list(self._departures.values())
        return [
            departure
            for departure in departures
            if departure.upstream.group == group
            and self._clock.monotonic() < self.get_export_deadline(departure)
        ]

    def get_export_deadline(self, departure: Departure) -> float:
        """Return the time until which exports may be requested."""
        configuration = self._store.get()
        group = configuration and configuration.groups.get(departure.upstream.group)
        if not group or not group.export_after_leave_ms:
            return ALWAYS_PAST
        return departure.began_at + group.export_after_leave_ms / 1000

    def is_exportable(self, departure: Departure) -> bool:
        """Return whether a departure is current and may still cause exports."""
        with self._lock:
            is_current = self._departures.get(departure.upstream.id) == departure
        return is_current and self._clock.monotonic() < self.get_export_deadline(
            departure
        )

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
            new_departures = self._replace_departures(
                lambda u: live_read_at.get(u.id, ALWAYS_PAST)
            )
            callbacks = list(self._callbacks)
        notify(callbacks, new_departures)

    def _on_configuration(self, configuration: Configuration) -> None:
        with self._lock:
            before, self._configuration = self._configuration, configuration
            now = self._clock.monotonic() if before is not None else ALWAYS_PAST
            new_departures = self._replace_departures(lambda _: now)
            callbacks = list(self._callbacks)
        notify(callbacks, new_departures)

    def _replace_departures(
        self, get_start: Callable[[ListedUpstream], float]
    ) -> list[Departure]:
        """Replace the departures and return the new ones.

        Parameters
        ----------
        get_start : callable
            Returns the start of the departure of an upstream.
        """
        upstreams = self._snapshot.upstreams if self._snapshot else ()
        departures, new_departures = {}, []
        for upstream in upstreams:
            if not self._is_leaving(upstream):
                continue
            departure = self._departures.get(upstream.id)
            if departure is None:
                departure = Departure(upstream, get_start(upstream))
                new_departures.append(departure)
            departures[upstream.id] = departure
        self._departures = departures
        return new_departures

    def _is_leaving(self, upstream: ListedUpstream) -> bool:
        configuration = self._configuration
        return upstream.state is ListState.LEAVING or (
            configuration is not None
            and (
                upstream.id in configuration.leaving
                or upstream.zone in configuration.withdrawn
            )
        )


def notify(
    callbacks: list[Callable[[Departure], None]], departures: list[Departure]
) -> None:
    """Call each function with each departure."""
    for departure in departures:
        for callback in callbacks:
            callback(departure)


__all__ = ["EXPORT_WINDOW_S", "Departure", "DepartureTracker"]
