"""Confirmation of the local state before a request is refused for it.

Load pattern: right after a change, requests with new keys and routes arrive at
instances that do not have it yet, while other callers send made-up keys and paths at
any rate. A refusal for good (401, 404) rests on a state that is current; otherwise the
store is asked, once for all requests that wait, and a request that is still unknown is
told to come back.
"""

import threading
from abc import ABC, abstractmethod

from fescueflow.core import Clock

# Age up to which a complete state is current: half of the shortest time in which a
# configuration must be in force.
CURRENT_AGE_MAX_S = 1.0
# Longest wait for a current state, in seconds: a lost connection attempt and a call
# that transfers a configuration of 200 KB over a link of 5 Mbit/s.
CONFIRM_WAIT_S = 0.6
# Requests that wait at a time. Each holds a thread.
WAITING_MAX = 8
# Interval at which a waiting request looks whether the state is current, in seconds.
POLL_INTERVAL_S = 0.02


class StateSource(ABC):
    """Whatever keeps the local state current."""

    @abstractmethod
    def is_current(self) -> bool:
        """Return whether the state is new and lacks no change that is known of."""

    @abstractmethod
    def is_reachable(self) -> bool:
        """Return whether the last call of the store succeeded."""

    @abstractmethod
    def hurry(self) -> None:
        """Ask for a current state soon."""


class StateConfirmation:
    """Lets requests wait for a current state; thread-safe.

    Parameters
    ----------
    source : StateSource
    clock : Clock
    """

    def __init__(self, source: StateSource, clock: Clock) -> None:
        self._source = source
        self._clock = clock
        self._places = threading.BoundedSemaphore(WAITING_MAX)
        self._never = threading.Event()

    def confirm(self, deadline: float) -> bool:
        """Return whether the state is current, after a wait if it is not.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the request ends.

        Notes
        -----
        There is no wait if the store does not answer this instance.
        """
        if self._source.is_current():
            return True
        if not self._places.acquire(blocking=False):
            return False
        try:
            return self._wait(min(deadline, self._clock.monotonic() + CONFIRM_WAIT_S))
        finally:
            self._places.release()

    def _wait(self, until: float) -> bool:
        while self._source.is_reachable() and self._clock.monotonic() < until:
            self._source.hurry()
            self._clock.wait(self._never, POLL_INTERVAL_S)
            if self._source.is_current():
                return True
        return False


__all__ = ["CURRENT_AGE_MAX_S", "StateConfirmation", "StateSource"]
