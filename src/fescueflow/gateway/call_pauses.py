"""Pauses after failed calls of the store.

Load pattern: on a sound network, one connection attempt in some thousands is lost, and
the call after it succeeds. During an outage, the calls of all instances fail together,
again and again, and the store must not be met by all of them when it returns. Whoever
knows that it misses a change therefore calls again soon after the first failure,
whatever the size of the fleet; the other pauses spread the followers of a zone.
"""

from fescueflow.core import RandomSource

# First pause, and the longest of an instance that reads the store for others. Both are
# far below the time in which a configuration must be in force.
PAUSE_MIN_S = 0.1
READER_PAUSE_MAX_S = 0.8
# Time per instance of the zone between two failed reads of a follower, and the longest.
# All followers of a zone together then try a few times a second.
PAUSE_PER_INSTANCE_S = 0.25
FOLLOWER_PAUSE_MAX_S = 3.0


class CallPauses:
    """Pauses of one instance between calls that fail.

    Parameters
    ----------
    random_source : RandomSource
    """

    def __init__(self, random_source: RandomSource) -> None:
        self._random_source = random_source
        # Failed calls since the last one that succeeded.
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of failed calls since the last success."""
        return self._failures

    def record_success(self) -> None:
        """Note that a call has succeeded."""
        self._failures = 0

    def draw_reader_pause(self) -> float:
        """Note a failed call of a reader; return the pause before the next, in s."""
        self._failures += 1
        longest_s = PAUSE_MIN_S * 2 ** (min(self._failures, 8) - 1)
        jitter = self._random_source.uniform(0.5, 1.5)
        return min(READER_PAUSE_MAX_S, longest_s) * jitter

    def draw_follower_pause(self, zone_size: int, misses_changes: bool) -> float:
        """Note a failed call of a follower; return the pause before the next, in s.

        Parameters
        ----------
        zone_size : int
            Instances of the zone, including this one.
        misses_changes : bool
            Whether the instance knows of changes that it does not have.
        """
        if misses_changes and not self._failures:
            return self.draw_reader_pause()
        self._failures += 1
        longest_s = min(FOLLOWER_PAUSE_MAX_S, 2 * zone_size * PAUSE_PER_INSTANCE_S)
        return self._random_source.uniform(0.25, 1.0) * longest_s


__all__ = ["CallPauses"]
