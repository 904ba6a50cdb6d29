"""Which instances get the next report in a fleet that is too large to tell all."""

import math

from fescueflow.core import Randomness

# Instances that get each report. Twelve reports of 1 KB each 0.35 s take 0.3 Mbit/s of
# the 5 Mbit/s that the smallest links of the large sites have.
RECEIVERS_MAX = 12
# Rounds from one report that lists all known instances to the next; the others hold
# only the sender, since bytes between zones are dear and members change seldom.
FULL_REPORT_ROUNDS = 4


def count_turns(receivers: int) -> int:
    """Return the number of reports until each receiver has got one."""
    return max(1, math.ceil(receivers / RECEIVERS_MAX))


def is_full_report(sequence: int, receivers: int) -> bool:
    """Return whether a report lists all known instances.

    Parameters
    ----------
    sequence : int
        Number of the report.
    receivers : int
        Instances that get reports.

    Notes
    -----
    Whatever the size of the fleet, an instance gets a few full reports in four rounds.
    """
    return sequence % (FULL_REPORT_ROUNDS * count_turns(receivers)) == 1


class ReceiverTurns:
    """Takes the receivers by turns, in a new random order each round.

    Notes
    -----
    With receivers drawn anew for each report, one of 72 gets none of twelve reports
    with a probability of 0.11; here each gets one in every round of six.
    """

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness
        self._left: list[str] = []

    def take(self, hosts: list[str]) -> list[str]:
        """Return the receivers of the next report."""
        if len(hosts) <= RECEIVERS_MAX:
            return hosts
        known = set(hosts)
        self._left = [host for host in self._left if host in known]
        if not self._left:
            self._left = self._randomness.sample(hosts, len(hosts))
        taken = self._left[:RECEIVERS_MAX]
        self._left = self._left[RECEIVERS_MAX:]
        return taken


__all__ = ["RECEIVERS_MAX", "ReceiverTurns", "count_turns", "is_full_report"]
