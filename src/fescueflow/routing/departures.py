"""Upstreams that leave, and until when they are sure to serve.

Load pattern: a leaving upstream finishes answers whose end nothing marks but that of
their connection. It takes no new connection once it has left, or has crashed before. An
upstream serves for a time after the platform has taken its departure, so that one which
takes no connection before that has crashed.
"""

from fescueflow.core import UpstreamId
from fescueflow.routing.model import Upstream

Start = tuple[UpstreamId, int]


class Departures:
    """Until when upstreams that leave are sure to serve; not thread-safe.

    Parameters
    ----------
    serving_s : float
        Time for which an upstream serves after its departure, 0 if that is not known.
    lag_s : float
        Longest time for which news of the platform may be under way.
    """

    def __init__(self, serving_s: float, lag_s: float) -> None:
        self._known_s = serving_s - lag_s
        self._until: dict[Start, float] = {}

    def record(self, upstream: Upstream, stayed_at: float) -> None:
        """Record that an upstream leaves.

        Parameters
        ----------
        upstream : Upstream
        stayed_at : float
            When the platform was last known to list it as one that stays.
        """
        if self._known_s <= 0:
            return
        self._until = {k: end for k, end in self._until.items() if stayed_at < end}
        self._until.setdefault(get_start(upstream), stayed_at + self._known_s)

    def forget(self, upstream: Upstream) -> None:
        """Note that an upstream stays after all."""
        self._until.pop(get_start(upstream), None)

    def is_serving(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream that leaves is sure to serve."""
        until = self._until.get(get_start(upstream))
        return until is not None and now < until


def get_start(upstream: Upstream) -> Start:
    """Return what tells one start of an upstream from others."""
    return upstream.id, upstream.started_at_ms


__all__ = ["Departures", "get_start"]
