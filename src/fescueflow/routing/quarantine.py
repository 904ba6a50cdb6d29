"""Quarantine of prompt parts under which upstreams crash.

Load pattern: a small share of the requests of one kind holds a part that ends each
upstream that begins to answer it (a query of death). Retries and repeats take it to the
next upstream, and callers lose far more by the streams and caches that end with each
upstream than by these requests.

A part is suspected while a request with it waited at a crashed upstream and no answer
with it has made progress since. It is quarantined after several crashes that can't have
a common cause. A popular part is on every upstream that crashes, but answers with it
make progress all the time.
"""

from collections.abc import Container, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from fescueflow.core import choose_candidate
from fescueflow.routing.crashes import Crash, CrashId
from fescueflow.routing.model import PartId, ServiceId
from fescueflow.routing.placement import Placement

# Independent crashes after which a part is quarantined if no other upstream crashed
# meanwhile, and the most that are required. By the rules of the platform, the fifth
# crash is the last one before requests with the part count.
CRASHES_MIN = 3
CRASHES_REQUIRED_MAX = 5
# Crashes of a part that no other quarantined part explains.
UNEXPLAINED_MIN = 2
# Inaccuracy of the times of two crashes that different instances saw, in seconds. Busy
# instances notice a lost connection some tens of milliseconds after the others.
CLOCK_TOLERANCE_S = 0.1
# Times after the last crash at which one request with a quarantined part is let
# through, in seconds. With one to spare, they stay below the three requests that the
# rules allow until the end of the day.
TRIAL_DELAYS_S = (30.0, 600.0)
# Time after the last crash at which a quarantine ends without a trial: a day.
QUARANTINE_S = 86_400.0
# Age at which the reports of all instances on a crash have arrived, in seconds.
SETTLED_AGE_S = 0.1
# Of the upstreams, the fraction with the fewest requests that gets suspected ones.
ISOLATION_FRACTION = 1 / 3


class Verdict(Enum):
    """How a request with certain prompt parts is handled."""

    ADMIT = "admit"
    # Suspected: sent to an upstream where a crash costs least.
    ISOLATE = "isolate"
    # Quarantined, and let through to find out whether the quarantine is right.
    TRY = "try"
    REJECT = "reject"


@dataclass(frozen=True, slots=True)
class Culprit:
    """Parts that explain a series of crashes.

    ``parts`` has several entries if the same requests hold all of them, so that it is
    not known which one is at fault; a request is rejected if it holds all.
    """

    service: ServiceId
    parts: frozenset[PartId]
    crashes: frozenset[CrashId]
    last_at: float


@dataclass(slots=True)
class Quarantine:
    """A quarantine of a culprit's parts and the trials that this instance made.

    ``is_settled`` is whether it was found again after all reports on its crashes had
    arrived. Until then, a better explanation ends it.
    """

    culprit: Culprit
    since: float
    trials: int = 0
    is_settled: bool = False

    def get_next_trial_at(self) -> float | None:
        """Return when the next request may be let through; ``None`` if never."""
        if self.trials >= len(TRIAL_DELAYS_S):
            return None
        return self.culprit.last_at + TRIAL_DELAYS_S[self.trials]

    def get_end(self) -> float:
        """Return when the quarantine ends without a trial."""
        return self.culprit.last_at + QUARANTINE_S

    def find_next_change(self, now: float) -> float:
        """Return when the quarantine may end next, by a trial of any instance."""
        times = [self.culprit.last_at + delay_s for delay_s in TRIAL_DELAYS_S]
        return next((at for at in times if at > now), self.get_end())

    def applies_to(self, parts: Iterable[PartId], now: float) -> bool:
        """Return whether requests with these parts are rejected."""
        return now < self.get_end() and self.culprit.parts.issubset(parts)


@dataclass(slots=True)
class EvidenceSet:
    """Crashes of one service, and those at which each suspected part waited.

    ``progressed`` holds those of at least ``CRASHES_MIN`` crashes with which an answer
    ever made progress, also before the crashes. All reports on crashes that are not
    later than ``settled_until`` have arrived.
    """

    crashes: list[Crash]
    settled_until: float = float("inf")
    by_part: dict[PartId, list[Crash]] = field(default_factory=dict)
    progressed: frozenset[PartId] = frozenset()

    def get_ids(self, part: PartId) -> frozenset[CrashId]:
        """Return the crashes at which a part waited."""
        return frozenset(crash.id for crash in self.by_part[part])

    def list_counted(self, part: PartId) -> list[Crash]:
        """Return the crashes that may quarantine a part, in order of time.

        Notes
        -----
        Until all reports on a crash have arrived, a sound part may be the only one
        that all crashes have in common: a popular one, or one that was cut together
        with a faulty part before.
        """
        crashes = self.by_part[part]
        settled = [crash for crash in crashes if crash.at <= self.settled_until]
        if part in self.progressed or self._is_overshadowed(part, settled):
            return settled
        return crashes

    def _is_overshadowed(self, part: PartId, settled: Sequence[Crash]) -> bool:
        """Return whether another part waited at these crashes and at more in all."""
        if not settled:
            return False
        ids = {crash.id for crash in settled}
        return any(
            len(self.by_part[other]) > len(self.by_part[part])
            and ids <= self.get_ids(other)
            for other in settled[-1].waits_s
            if other in self.by_part
        )


def collect_evidence(
    service: ServiceId,
    crashes: Iterable[Crash],
    progress: Mapping[tuple[ServiceId, PartId], float],
    settled_until: float = float("inf"),
) -> EvidenceSet:
    """Return the crashes of a service, by part and in order of time.

    Parameters
    ----------
    service : ServiceId
    crashes : iterable of Crash
    progress : mapping of (ServiceId, PartId) to float
        When an answer with a part last made progress. It clears earlier crashes.
    settled_until : float, optional
        Reports on later crashes may still arrive.
    """
    found = sorted(
        (c for c in crashes if c.service == service and c.is_credible),
        key=lambda crash: (crash.at, crash.id),
    )
    evidence = EvidenceSet(found, settled_until)
    by_part, find_progress, never = evidence.by_part, progress.get, float("-inf")
    for crash in found:
        for part in crash.waits_s:
            if find_progress((service, part), never) < crash.at:
                by_part.setdefault(part, []).append(crash)
    evidence.progressed = frozenset(
        part
        for part, crashes in by_part.items()
        if len(crashes) >= CRASHES_MIN and (service, part) in progress
    )
    return evidence


def count_independent(part: PartId, crashes: Sequence[Crash]) -> int:
    """Return the number of crashes that can't have a common cause.

    Parameters
    ----------
    part : PartId
    crashes : sequence of Crash
        Crashes at which a request with the part waited, in order of time.

    Notes
    -----
    A zone that loses power, a release or a broken network ends several upstreams at
    once. A crash is independent of an earlier one if the request was sent there after
    the earlier one: the upstream had survived whatever caused that.
    """
    count, last_at = 0, float("-inf")
    for crash in crashes:
        if crash.get_sent_at(part) >= last_at - CLOCK_TOLERANCE_S:
            count += 1
            last_at = crash.at
    return count


def count_required(
    part: PartId, evidence: EvidenceSet, explained: Container[CrashId]
) -> int:
    """Return the independent crashes that quarantine a part.

    Notes
    -----
    Upstreams that crash without the part, too, are a sign of another cause, and make
    it likelier that the part was there by chance. Later crashes don't count, so that
    they don't end a quarantine. A part that was ever answered takes the most.
    """
    if part in evidence.progressed:
        return CRASHES_REQUIRED_MAX
    crashes, ids = evidence.by_part[part], evidence.get_ids(part)
    others = sum(
        crashes[0].at <= crash.at <= crashes[-1].at
        and crash.id not in ids
        and crash.id not in explained
        for crash in evidence.crashes
    )
    return min(CRASHES_REQUIRED_MAX, CRASHES_MIN + others)


def is_sufficient(
    part: PartId, evidence: EvidenceSet, explained: Container[CrashId] = frozenset()
) -> bool:
    """Return whether the crashes at which a part waited quarantine it.

    Parameters
    ----------
    part : PartId
    evidence : EvidenceSet
    explained : container of CrashId, optional
        Crashes under other parts. Some of the part's crashes must be others: else, it
        is only seen beside these parts.
    """
    crashes = evidence.list_counted(part)
    unexplained = sum(crash.id not in explained for crash in crashes)
    return (
        unexplained >= UNEXPLAINED_MIN
        and len(crashes) >= CRASHES_MIN
        and count_independent(part, crashes)
        >= count_required(part, evidence, explained)
    )


def is_dominated(
    part: PartId, evidence: EvidenceSet, candidates: Iterable[PartId]
) -> bool:
    """Return whether a candidate that never made progress explains more crashes."""
    ids = evidence.get_ids(part)
    return any(
        len(evidence.by_part[other]) > len(ids)
        and other not in evidence.progressed
        and ids < evidence.get_ids(other)
        and is_sufficient(other, evidence)
        for other in candidates
    )


def find_culprits(
    evidence: EvidenceSet, service: ServiceId, known: Iterable[Culprit] = ()
) -> list[Culprit]:
    """Return the parts that explain crashes, without those that others make needless.

    Parameters
    ----------
    evidence : EvidenceSet
    service : ServiceId
    known : iterable of Culprit, optional
        The culprits so far. They come first while their crashes have no better
        explanation, so that two faulty parts with common crashes don't take turns.

    Notes
    -----
    A sound part that waited beside several faulty ones may be found before them.
    """
    found = list(iterate_culprits(evidence, service, known))
    for culprit in sorted(found, key=lambda culprit: len(culprit.crashes)):
        others = (other.crashes for other in found if other is not culprit)
        if culprit.crashes <= frozenset().union(*others):
            found.remove(culprit)
    return found


def iterate_culprits(
    evidence: EvidenceSet, service: ServiceId, known: Iterable[Culprit]
) -> Iterator[Culprit]:
    """Yield the parts that explain crashes, the known ones and then most crashes first.

    Parameters are those of ``find_culprits``.
    """
    candidates = [p for p, c in evidence.by_part.items() if len(c) >= CRASHES_MIN]
    known_parts = frozenset(
        part
        for part in frozenset().union(*(culprit.parts for culprit in known))
        if part in candidates and not is_dominated(part, evidence, candidates)
    )
    ranked = sorted(
        candidates,
        key=lambda part: (
            part not in known_parts,
            part in evidence.progressed,
            -len(evidence.by_part[part]),
            part,
        ),
    )
    explained: set[CrashId] = set()
    for found in ranked:
        ids = evidence.get_ids(found)
        if ids <= explained:
            continue
        if found in known_parts or is_sufficient(found, evidence, explained):
            parts = (p for p in candidates if evidence.get_ids(p) == ids)
            last_at = evidence.by_part[found][-1].at
            yield Culprit(service, frozenset(parts), ids, last_at)
            explained |= ids


def make_quarantine(
    culprit: Culprit, before: Sequence[Quarantine], now: float
) -> Quarantine:
    """Return the quarantine of a culprit; it takes over the trials of earlier ones."""
    parts = culprit.parts
    since = min((q.since for q in before if q.culprit.parts == parts), default=now)
    trials = max((q.trials for q in before if parts <= q.culprit.parts), default=0)
    is_settled = now - culprit.last_at >= SETTLED_AGE_S or any(
        q.is_settled for q in before if q.culprit.parts == parts
    )
    return Quarantine(culprit, since, trials, is_settled)


def has_quarantine(quarantines: Iterable[Quarantine], parts: frozenset[PartId]) -> bool:
    """Return whether there is a quarantine of exactly these parts."""
    return any(quarantine.culprit.parts == parts for quarantine in quarantines)


def rank_isolated(placements: Sequence[Placement], key: str) -> list[Placement]:
    """Return the placements of a suspected request, where a crash costs least first.

    Parameters
    ----------
    placements : sequence of Placement
        Not empty.
    key : str
        The suspected parts. Requests with other ones mostly go elsewhere, so that
        a sound request does not wait beside the same culprit twice.

    Notes
    -----
    An upstream with few requests loses few streams. One that holds the prompt's prefix
    comes after the others, because the prefix would be lost.
    """
    by_cost = sorted(
        placements, key=lambda p: (round(p.candidate.load.running), p.is_cached)
    )
    count = max(1, round(len(by_cost) * ISOLATION_FRACTION))
    names = [placement.candidate.upstream.id for placement in by_cost[:count]]
    chosen = choose_candidate(key, names)
    return sorted(by_cost, key=lambda p: p.candidate.upstream.id != chosen)


__all__ = [
    "SETTLED_AGE_S",
    "Culprit",
    "Quarantine",
    "Verdict",
    "collect_evidence",
    "count_independent",
    "find_culprits",
    "has_quarantine",
    "make_quarantine",
    "rank_isolated",
]
