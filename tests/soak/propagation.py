"""Time limits for a publication or a change of the list to reach every instance."""

from bisect import bisect_right

from tests.soak.schedule import FaultKind

IN_FORCE_LIMIT_S = 5.0
IN_FORCE_LIMIT_WITH_FAULTS_S = 16.0
# While one of these faults lasts, no instance can read a new revision.
CONFIGURATION_BLOCKING_FAULTS = (
    FaultKind.CONFIGURATION_OUTAGE,
    FaultKind.CONFIGURATION_STALE,
)
# Section 1.1 of the design allows the longer limit during these faults.
CONFIGURATION_DELAYING_FAULTS = (
    FaultKind.DATAGRAM_LOSS,
    FaultKind.PLATFORM_CUT,
    FaultKind.LINK_CUT,
    FaultKind.ZONE_PARTITION,
)
LIST_BLOCKING_FAULTS = (
    FaultKind.LIST_OUTAGE,
    FaultKind.LIST_STALE,
    FaultKind.PLATFORM_CUT,
)


def isolates_zone(span):
    """Return whether a fault cuts a zone off from the platform and other zones."""
    return span.fault.kind is FaultKind.ZONE_PARTITION and span.fault.value is not None


class PropagationDeadlines:
    """Deadlines by which a change must be in force on every instance.

    Times are monotonic seconds.

    Parameters
    ----------
    history : RunHistory
    """

    def __init__(self, history):
        self.history = history
        self.publications = history.publisher.get_valid_publications()
        self._validity_intervals = list(self._compute_validity_intervals())
        self._interval_bounds = sorted(
            bound
            for _, begin, end in self._validity_intervals
            for bound in (begin, end)
        )
        self._possible_publications = {}

    def get_work_deadline(self, at):
        """Return when new work must follow a revision published at a time."""
        return (
            self._skip_blocking_faults(at, CONFIGURATION_BLOCKING_FAULTS)
            + IN_FORCE_LIMIT_S
        )

    def get_configuration_deadline(self, at):
        """Return when instances must have accepted a revision published at a time."""
        at = self._skip_blocking_faults(at, CONFIGURATION_BLOCKING_FAULTS)
        slowed = self.history.get_fault_spans(*CONFIGURATION_DELAYING_FAULTS)
        is_slow = any(s.overlaps(at, at + IN_FORCE_LIMIT_S) for s in slowed)
        return at + (IN_FORCE_LIMIT_WITH_FAULTS_S if is_slow else IN_FORCE_LIMIT_S)

    def get_list_deadline(self, at):
        """Return when new work must follow a change made to the list at a time."""
        lag_s = self.history.deployment.instance_list.lag_s
        return (
            self._skip_blocking_faults(at + lag_s, LIST_BLOCKING_FAULTS)
            + IN_FORCE_LIMIT_S
        )

    def _skip_blocking_faults(self, at, kinds):
        """Return when the time limit starts, after blocking faults that delay it."""
        spans = [
            span
            for span in self.history.injector.spans
            if span.fault.kind in kinds or isolates_zone(span)
        ]
        for span in sorted(spans, key=lambda s: s.began_at):
            if span.overlaps(at, at + IN_FORCE_LIMIT_S):
                at = max(at, span.ended_at)
        return at

    def _compute_validity_intervals(self):
        """Yield (publication, start and end of the time when it may be in force)."""
        until = float("inf")
        for publication in reversed(self.publications):
            yield publication, publication.at, until
            until = min(until, self.get_work_deadline(publication.at))

    def get_possible_publications(self, at):
        """Return the publications that may be in force on an instance at a time."""
        index = bisect_right(self._interval_bounds, at)
        if index not in self._possible_publications:
            self._possible_publications[index] = [
                publication
                for publication, begin, end in self._validity_intervals
                if begin <= at <= end
            ]
        return self._possible_publications[index]
