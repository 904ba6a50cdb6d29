"""Retry budget."""

import threading

from fescueflow.core import Clock

# Tokens are counted in hundredths of a retry, so that percentages add up exactly.
RETRY = 100
# Retries that are possible without recent traffic, and their rate of renewal.
FLOOR_TOKENS = 10 * RETRY
FLOOR_TOKENS_PER_S = 1 * RETRY
TOKENS_MAX = 100 * RETRY


class RetryBudget:
    """Limits retries to a part of the recent requests plus a small floor.

    Parameters
    ----------
    percent : int
        Retries per hundred requests; 0 allows none.
    clock : Clock
    """

    def __init__(self, percent: int, clock: Clock) -> None:
        self._percent = percent
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = float(FLOOR_TOKENS if percent else 0)
        self._renewed_at = clock.monotonic()

    def add_request(self) -> None:
        """Count a request."""
        with self._lock:
            self._tokens = min(TOKENS_MAX, self._tokens + self._percent)

    def take(self) -> bool:
        """Use one retry; return whether the budget allows it."""
        with self._lock:
            now = self._clock.monotonic()
            if self._percent and self._tokens < FLOOR_TOKENS:
                renewed = (now - self._renewed_at) * FLOOR_TOKENS_PER_S
                self._tokens = min(FLOOR_TOKENS, self._tokens + renewed)
            self._renewed_at = now
            if self._tokens < RETRY:
                return False
            self._tokens -= RETRY
            return True


__all__ = ["RetryBudget"]
