"""When the store last answered, and when an outage of it has ended."""

import logbook

from fescueflow.core import PlatformUnavailable
from fescueflow.gateway.platform_state import EXPIRY_HEARTBEATS, PlatformState

# Shortest outage after which entries may have expired: they expire after missed
# heartbeats, of which the last before the outage may be up to one interval old.
OUTAGE_HEARTBEATS_MIN = EXPIRY_HEARTBEATS - 1.0

log = logbook.Logger("store")


class StoreContact:
    """Answers of the store, to this instance or to others; not thread-safe.

    Parameters
    ----------
    platform_state : PlatformState
        Gives entries time to return after an outage.
    heartbeat_s : float
        Interval at which upstreams renew their entries.
    now : float
        Monotonic time.
    """

    def __init__(
        self, platform_state: PlatformState, heartbeat_s: float, now: float
    ) -> None:
        self._platform_state = platform_state
        self._outage_min_s = OUTAGE_HEARTBEATS_MIN * heartbeat_s
        self.responded_at = now
        # When the store is first known to have answered after the last response.
        self._returned_at: float | None = None
        # Whether calls fail and no other instance has told of a response since.
        self._is_away = False

    def record_response(self, now: float) -> None:
        """Note that the state is current as of a time."""
        self.record_return(now)
        returned_at, self._returned_at = self._returned_at, None
        silent_s, self.responded_at = now - self.responded_at, now
        if self._is_away:
            log.info("the store answers again after {:.1f} s", silent_s)
            self._is_away = False
        if silent_s >= self._outage_min_s:
            # Entries may have expired: deletions arrive now, restored entries soon.
            self._platform_state.start_recovery_grace(returned_at or now)

    def record_return(self, now: float) -> None:
        """Note that the store has answered someone at a time after an outage.

        Notes
        -----
        An instance that was cut off hears of others' responses before it has read the
        store itself. Entries that expired have had time to return since then. What
        others heard before the outage is no sign of its end.
        """
        if self._returned_at is None and now - self.responded_at >= self._outage_min_s:
            self._returned_at = now

    def record_failure(self, error: PlatformUnavailable) -> None:
        """Note a failed call."""
        if not self._is_away:
            log.warning("no answer of the store: {}", error)
            self._is_away = True


__all__ = ["StoreContact"]
