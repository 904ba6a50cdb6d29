"""Progress of answers with prompt parts that were suspected.

Load pattern: sound requests share parts with those under which upstreams crash. Each
answer that its upstream survives clears its parts of the crashes before it.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from fescueflow.routing.crashes import PARTS_MAX
from fescueflow.routing.model import PartId, ServiceId

# Parts whose progress is remembered: as many as can be suspected.
PROGRESS_MAX = PARTS_MAX
# Delay of a report until it is handled by a busy instance, in seconds. Each relay makes
# a progress seem later by as much.
RELAY_DELAY_MAX_S = 0.5

PartKey = tuple[ServiceId, PartId]


class ProgressTable(Mapping[PartKey, float]):
    """Time of the latest progress of each part; not thread-safe."""

    def __init__(self) -> None:
        self._times: OrderedDict[PartKey, float] = OrderedDict()
        # When this instance learned that a part is not suspected any more.
        self._changed_at: dict[PartKey, float] = {}

    def __getitem__(self, key: PartKey) -> float:
        return self._times[key]

    def __iter__(self) -> Iterator[PartKey]:
        return iter(self._times)

    def __len__(self) -> int:
        return len(self._times)

    # The inherited methods catch an exception for each part that has no entry.
    def get(self, key: PartKey, default: Any = None) -> Any:
        """Return the time of a part's latest progress."""
        return self._times.get(key, default)

    def __contains__(self, key: object) -> bool:
        return key in self._times

    def store(
        self,
        service: ServiceId,
        progress: Mapping[PartId, float],
        tolerance_s: float = 0.0,
    ) -> dict[PartId, float]:
        """Store when parts made progress; the parts used last are kept.

        Parameters
        ----------
        service : ServiceId
        progress : mapping of PartId to float
        tolerance_s : float, optional
            Time by which a progress that others report may be one that is known.
            Otherwise, it would move with each relay and clear later crashes.

        Returns
        -------
        dict of PartId to float
            The times that are now known.
        """
        known = {}
        for part, at in progress.items():
            key = service, part
            before = self._times.get(key)
            if before is None or at > before + tolerance_s:
                self._times[key] = at
            known[part] = self._times[key]
            self._times.move_to_end(key)
        while len(self._times) > PROGRESS_MAX:
            oldest, _ = self._times.popitem(last=False)
            self._changed_at.pop(oldest, None)
        return known

    def mark_changed(
        self, service: ServiceId, parts: Iterable[PartId], now: float
    ) -> None:
        """Note that parts are not suspected any more, which others should hear."""
        for part in parts:
            if (service, part) in self._times:
                self._changed_at[service, part] = now

    def list_changed(self, since: float) -> list[PartKey]:
        """Return the parts of which others should hear, changed since a time."""
        return [key for key, at in self._changed_at.items() if at >= since]

    def select_waiting(
        self, service: ServiceId, waits_s: Mapping[PartId, float], at: float
    ) -> dict[PartId, float]:
        """Return the parts without those that made progress since a crash.

        Parameters
        ----------
        service : ServiceId
        waits_s : mapping of PartId to float
        at : float
            When the upstream crashed.
        """
        return {
            part: wait_s
            for part, wait_s in waits_s.items()
            if self._times.get((service, part), float("-inf")) < at
        }


__all__ = ["RELAY_DELAY_MAX_S", "PartKey", "ProgressTable"]
