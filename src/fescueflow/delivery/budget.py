"""Token bucket that limits retries."""

import threading

from fescueflow.core import Clock

# Each request adds a percentage of a retry. With 100 tokens per retry, these
# additions are whole numbers.
TOKENS_PER_RETRY = 100
# Retries that are allowed without recent requests, and the rate at which they are
# refilled.
RESERVE_TOKENS = 10 * TOKENS_PER_RETRY
RESERVE_TOKENS_PER_S = 1 * TOKENS_PER_RETRY
TOKENS_MAX = 100 * TOKENS_PER_RETRY


class RetryBudget:
    """Limits retries to a percentage of the recent requests plus a small reserve.

    Parameters
    ----------
    percent : int
        Retries per hundred requests; 0 allows no retries.
    clock : Clock
    """

    def __init__(self, percent: int, clock: Clock) -> None:
        self._percent = percent
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = float(RESERVE_TOKENS if percent else 0)
        self._refilled_at = clock.monotonic()

    def add_request(self) -> None:
        """Add the share of a retry that one request contributes."""
        with self._lock:
            self._tokens = min(TOKENS_MAX, self._tokens + self._percent)

    def try_take(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        with self._lock:
            now = self._clock.monotonic()
            if self._percent and self._tokens < RESERVE_TOKENS:
                refilled = (now - self._refilled_at) * RESERVE_TOKENS_PER_S
                self._tokens = min(RESERVE_TOKENS, self._tokens + refilled)
            self._refilled_at = now
            if self._tokens < TOKENS_PER_RETRY:
                return False
            self._tokens -= TOKENS_PER_RETRY
            return True


__all__ = ["RetryBudget"]
