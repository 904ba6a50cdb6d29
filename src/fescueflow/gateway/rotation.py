"""Rotation of report receivers in fleets too large to send each report to all."""

import math

from fescueflow.core import RandomSource

# Receivers of each report. Twelve reports of 1 KB every 0.35 s take 0.3 Mbit/s of the
# 5 Mbit/s of the smallest links of the large sites.
REPORT_FANOUT = 12
# Rounds from one report that lists all known instances to the next. The reports between
# list only the sender: traffic between zones is expensive and members rarely change.
FULL_REPORT_ROUNDS = 4


def count_reports_per_round(receivers: int) -> int:
    """Return the number of reports until each receiver has been sent one."""
    return max(1, math.ceil(receivers / REPORT_FANOUT))


def is_full_report(sequence: int, receivers: int) -> bool:
    """Return whether a report lists all known instances.

    Parameters
    ----------
    sequence : int
        Sequence number of the report.
    receivers : int
        Number of instances that get reports.

    Notes
    -----
    An instance gets a few full reports in four rounds, whatever the size of the fleet.
    """
    return sequence % (FULL_REPORT_ROUNDS * count_reports_per_round(receivers)) == 1


class ReceiverRotation:
    """Rotates through the receivers, in a new random order each round.

    Notes
    -----
    If receivers were drawn independently for each report, one of 72 would get none of
    twelve reports with a probability of 0.11; here each gets one in a round of six.
    """

    def __init__(
        self, random_source: RandomSource, fanout: int = REPORT_FANOUT
    ) -> None:
        self._random_source = random_source
        self._fanout = fanout
        self._remaining: list[str] = []

    def next_receivers(self, hosts: list[str]) -> list[str]:
        """Return the receivers of the next report."""
        if len(hosts) <= self._fanout:
            return hosts
        known = set(hosts)
        self._remaining = [host for host in self._remaining if host in known]
        if not self._remaining:
            self._remaining = self._random_source.sample(hosts, len(hosts))
        receivers = self._remaining[: self._fanout]
        self._remaining = self._remaining[self._fanout :]
        return receivers


__all__ = [
    "REPORT_FANOUT",
    "ReceiverRotation",
    "count_reports_per_round",
    "is_full_report",
]
