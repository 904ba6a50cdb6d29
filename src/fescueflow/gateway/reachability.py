"""Whether upstreams take connections.

Load pattern: an upstream is silent on all of its connections. One that runs still takes
new ones; one that is cut off or has no power does not.
"""

import threading
from dataclasses import dataclass, field

import logbook

from fescueflow.core import Clock, UpstreamId
from fescueflow.gateway.connections import ConnectionPool
from fescueflow.metrics import Metrics
from fescueflow.routing import Upstream

# Limit for a new connection: several round trips between availability zones.
CONNECT_TIMEOUT_S = 0.3
# Time from the start of a probe for which its result also holds for the other silent
# streams of the upstream.
RESULT_AGE_MAX_S = 0.5

log = logbook.Logger("reachability")


@dataclass(slots=True)
class ProbeResult:
    """Whether an upstream took a connection; known when ``is_known`` is set."""

    started_at: float
    is_reachable: bool = False
    is_known: threading.Event = field(default_factory=threading.Event)


class ReachabilityProbe:
    """Opens connections to silent upstreams; thread-safe.

    Parameters
    ----------
    pool : ConnectionPool
    clock : Clock
    metrics : Metrics
    """

    def __init__(self, pool: ConnectionPool, clock: Clock, metrics: Metrics) -> None:
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._results: dict[UpstreamId, ProbeResult] = {}

    def is_reachable(self, upstream: Upstream) -> bool:
        """Return whether an upstream takes connections, or has done so just now."""
        with self._lock:
            now = self._clock.monotonic()
            self._results = {
                name: result
                for name, result in self._results.items()
                if now - result.started_at < RESULT_AGE_MAX_S
            }
            known = self._results.get(upstream.id)
            result = known or ProbeResult(now)
            self._results[upstream.id] = result
        if known is None:
            try:
                result.is_reachable = self._connect(upstream)
            finally:
                result.is_known.set()
        # Only the streams of the same upstream wait, as long as its connection takes.
        result.is_known.wait()
        return result.is_reachable

    def _connect(self, upstream: Upstream) -> bool:
        try:
            connection = self._pool.open(upstream.address, CONNECT_TIMEOUT_S)
        except ConnectionResetError:
            # An upstream with too many connections resets new ones.
            return True
        except OSError as error:
            log.info(
                "silent upstream not in reach",
                extra={"upstream": str(upstream.id), "why": repr(error)},
            )
            return False
        self._metrics.count("upstream_connections")
        self._pool.release(connection, None)
        return True


__all__ = ["ReachabilityProbe"]
