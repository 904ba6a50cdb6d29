"""Clock and randomness as passed-in interfaces."""

import random
import secrets
import threading
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time; tests pass one that they advance by hand."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch."""

    @abstractmethod
    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait until the event is set or the time has passed.

        Returns
        -------
        bool
            Whether the event is set.
        """


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds of the monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait on the event for at most the given seconds."""
        return event.wait(max(0.0, seconds))


class Randomness(ABC):
    """Source of random choices; tests pass a seeded one."""

    @abstractmethod
    def uniform(self, low: float, high: float) -> float:
        """Return a random number between the limits."""

    @abstractmethod
    def sample(self, population: list[str], count: int) -> list[str]:
        """Return up to ``count`` different members in random order."""

    @abstractmethod
    def make_incarnation(self) -> int:
        """Return a random number of 63 bits."""


class SeededRandomness(Randomness):
    """Pseudo-random choices from a seed."""

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def uniform(self, low: float, high: float) -> float:
        """Return a random number between the limits."""
        return self._random.uniform(low, high)

    def sample(self, population: list[str], count: int) -> list[str]:
        """Return up to ``count`` different members in random order."""
        return self._random.sample(population, min(count, len(population)))

    def make_incarnation(self) -> int:
        """Return a pseudo-random number of 63 bits."""
        return self._random.getrandbits(63)


class SystemRandomness(SeededRandomness):
    """Random choices; incarnations come from the system's entropy."""

    def make_incarnation(self) -> int:
        """Return a random number of 63 bits."""
        return secrets.randbits(63)


__all__ = ["Clock", "Randomness", "SeededRandomness", "SystemClock", "SystemRandomness"]
