"""Interfaces of the clock and the random source, replaceable in tests."""

import random
import secrets
import threading
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time; tests pass one that they advance themselves."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return the time of a monotonic clock in seconds."""

    @abstractmethod
    def wall_time(self) -> float:
        """Return the time since the Unix epoch in seconds."""

    @abstractmethod
    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait until the event is set or the timeout expires.

        Returns
        -------
        bool
            Whether the event is set.
        """


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the time of the monotonic clock in seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return the time since the Unix epoch in seconds."""
        return time.time()

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait until the event is set or the timeout expires."""
        return event.wait(max(0.0, seconds))


class RandomSource(ABC):
    """Source of random numbers; tests pass a seeded one."""

    @abstractmethod
    def uniform(self, low: float, high: float) -> float:
        """Return a uniformly distributed number between ``low`` and ``high``."""

    @abstractmethod
    def sample(self, population: list[str], count: int) -> list[str]:
        """Return up to ``count`` distinct members in random order."""

    @abstractmethod
    def make_incarnation(self) -> int:
        """Return a random 63-bit integer."""


class SeededRandomSource(RandomSource):
    """Pseudo-random numbers from a seed."""

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def uniform(self, low: float, high: float) -> float:
        """Return a uniformly distributed number between ``low`` and ``high``."""
        return self._random.uniform(low, high)

    def sample(self, population: list[str], count: int) -> list[str]:
        """Return up to ``count`` distinct members in random order."""
        return self._random.sample(population, min(count, len(population)))

    def make_incarnation(self) -> int:
        """Return a pseudo-random 63-bit integer."""
        return self._random.getrandbits(63)


class SystemRandomSource(SeededRandomSource):
    """Pseudo-random numbers; incarnations come from the system's entropy source."""

    def make_incarnation(self) -> int:
        """Return a random 63-bit integer."""
        return secrets.randbits(63)


__all__ = [
    "Clock",
    "RandomSource",
    "SeededRandomSource",
    "SystemClock",
    "SystemRandomSource",
]
