"""From when and until when a publication or list change may be unknown."""

from bisect import bisect_right

from tests.soak.schedule import FaultKind

IN_FORCE_S = 5.0
IN_FORCE_FAULTY_S = 16.0
# While one of these lasts, nobody can read a new revision.
CONFIGURATION_BLOCKED = (
    FaultKind.CONFIGURATION_OUTAGE,
    FaultKind.CONFIGURATION_STALE,
)
# With one of these, section 1.1 gives the longer bound.
CONFIGURATION_SLOWED = (
    FaultKind.LOSS,
    FaultKind.PLATFORM_CUT,
    FaultKind.CUT,
    FaultKind.PARTITION,
)
LIST_BLOCKED = (
    FaultKind.LIST_OUTAGE,
    FaultKind.LIST_STALE,
    FaultKind.PLATFORM_CUT,
)


def is_isolating(span):
    """Return whether a zone can reach neither the platform nor other zones."""
    return span.fault.kind is FaultKind.PARTITION and span.fault.value is not None


class Bounds:
    """Deadlines by which a change must be in force everywhere."""

    def __init__(self, evidence):
        self.evidence = evidence
        self.publications = evidence.operators.get_valid()
        self._in_force = list(self._find_spans_in_force())
        self._moments = sorted(
            moment for _, begin, end in self._in_force for moment in (begin, end)
        )
        self._possible = {}

    def get_work_deadline(self, at):
        """Return when work must respect a revision published at a moment."""
        return self._skip(at, CONFIGURATION_BLOCKED) + IN_FORCE_S

    def get_configuration_deadline(self, at):
        """Return when a revision published at a moment must be in force."""
        at = self._skip(at, CONFIGURATION_BLOCKED)
        slowed = self.evidence.get_spans(*CONFIGURATION_SLOWED)
        is_slow = any(s.overlaps(at, at + IN_FORCE_S) for s in slowed)
        return at + (IN_FORCE_FAULTY_S if is_slow else IN_FORCE_S)

    def get_list_deadline(self, at):
        """Return from when a list change of a moment must be respected."""
        lag_s = self.evidence.deployment.instance_list.lag_s
        return self._skip(at + lag_s, LIST_BLOCKED) + IN_FORCE_S

    def _skip(self, at, kinds):
        spans = [
            span
            for span in self.evidence.runner.spans
            if span.fault.kind in kinds or is_isolating(span)
        ]
        for span in sorted(spans, key=lambda s: s.began_at):
            if span.overlaps(at, at + IN_FORCE_S):
                at = max(at, span.ended_at)
        return at

    def _find_spans_in_force(self):
        """Yield (publication, from when, until when an instance may act on it)."""
        until = float("inf")
        for publication in reversed(self.publications):
            yield publication, publication.at, until
            until = min(until, self.get_work_deadline(publication.at))

    def get_possible(self, at):
        """Return the publications that an instance may act on at a moment."""
        index = bisect_right(self._moments, at)
        if index not in self._possible:
            self._possible[index] = [
                publication
                for publication, begin, end in self._in_force
                if begin <= at <= end
            ]
        return self._possible[index]
