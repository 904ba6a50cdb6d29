"""What an instance knows that a restored copy of the store must not undo.

Load pattern: the store comes back from a copy that is some seconds old, so that
withdrawals, departures and removals of the last seconds are missing from it until they
are written again.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

from fescueflow.core import ZoneId
from fescueflow.routing import Start, Upstream, UpstreamState, get_start

# Starts of upstreams that are remembered; more than a large fleet of upstreams has in
# an hour. Copies of the store are some seconds old.
STARTS_MAX = 4096


class EraMemory:
    """Removed and draining upstreams and withdrawn zones; not thread-safe.

    Parameters
    ----------
    evacuation_s : float
        Time for which a withdrawn zone that is missing in the copy stays withdrawn.

    Notes
    -----
    What was removed is noted at all times, but counts from the next era on: within an
    era, the order of revisions decides.
    """

    def __init__(self, evacuation_s: float) -> None:
        self._evacuation_s = evacuation_s
        # Starts that were removed, with the sequence of their last entry.
        self._removed: OrderedDict[Start, int] = OrderedDict()
        # Those that had been removed when the era began.
        self._gone: dict[Start, int] = {}
        # Starts that were draining when an era began.
        self._draining: OrderedDict[Start, None] = OrderedDict()
        # Zones that were withdrawn when the era began, and until when they stay so.
        self._zones: dict[ZoneId, float] = {}

    def start_era(
        self, upstreams: Iterable[Upstream], withdrawn: Iterable[ZoneId], now: float
    ) -> None:
        """Keep what is known as an era begins."""
        self._gone = dict(self._removed)
        for upstream in upstreams:
            if upstream.state is UpstreamState.DRAINING:
                self._draining[get_start(upstream)] = None
        while len(self._draining) > STARTS_MAX:
            self._draining.popitem(last=False)
        self._zones = dict.fromkeys(withdrawn, now + self._evacuation_s)

    def record_removed(self, upstream: Upstream) -> None:
        """Note that this start of an upstream is not listed any more."""
        start = get_start(upstream)
        self._removed[start] = max(upstream.sequence, self._removed.get(start, 0))
        self._removed.move_to_end(start)
        if len(self._removed) > STARTS_MAX:
            self._removed.popitem(last=False)

    def record_listed(self, upstream: Upstream) -> None:
        """Note that this start of an upstream is listed."""
        start = get_start(upstream)
        self._removed.pop(start, None)
        self._gone.pop(start, None)

    def is_gone(self, upstream: Upstream) -> bool:
        """Return whether an entry is an old one of a start that had been removed."""
        last = self._gone.get(get_start(upstream))
        return last is not None and upstream.sequence <= last

    def correct(self, upstream: Upstream) -> Upstream:
        """Return an entry that is draining if its start is known to be."""
        if get_start(upstream) not in self._draining:
            return upstream
        return replace(upstream, state=UpstreamState.DRAINING)

    def get_zones(self) -> frozenset[ZoneId]:
        """Return the zones that stay withdrawn."""
        return frozenset(self._zones)

    def release_zones(self, zones: Iterable[ZoneId]) -> None:
        """Forget zones whose withdrawal the store tells again, or whose end."""
        for zone in zones:
            self._zones.pop(zone, None)

    def release_overdue(self, now: float) -> bool:
        """Forget zones whose time is over; return whether there were any."""
        overdue = [zone for zone, until in self._zones.items() if now >= until]
        self.release_zones(overdue)
        return bool(overdue)


__all__ = ["EraMemory"]
