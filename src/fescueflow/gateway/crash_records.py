"""Crashes of upstreams that this instance and others have seen, and what follows."""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

import logbook

from fescueflow.core import Clock, InstanceId, UpstreamId
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.quarantine_codec import ProgressUpdate, QuarantineReport
from fescueflow.gateway.quarantine_logs import describe, log_cleared, log_crash
from fescueflow.gateway.report_turns import ReportTurns
from fescueflow.metrics import Metrics
from fescueflow.routing import (
    RELAY_DELAY_MAX_S,
    SETTLED_AGE_S,
    BegunAnswer,
    Crash,
    CrashId,
    CrashTable,
    CrashUpdate,
    PartId,
    PartKey,
    ProgressTable,
    Quarantine,
    ServiceId,
    UnprovenAnswers,
    Upstream,
    collect_evidence,
    find_culprits,
    has_quarantine,
    make_crash_id,
    make_quarantine,
)

# Time for which a change is in each report: three reports, so that a lost datagram does
# not hide it.
RELAY_AGE_MAX_S = 1.05
# Suspected parts in one report, about 7 bytes each after compression, and parts with
# progress: those of the longest prompt. More take turns.
REPORTED_PARTS_MAX = 2048

log = logbook.Logger("quarantine")


class CrashRecords:
    """Records crashes and answers, and derives suspects and quarantines; thread-safe.

    Parameters
    ----------
    platform_state : PlatformState
    clock : Clock
    metrics : Metrics
    on_change : callable
        Called when other instances should hear of a change soon.

    Notes
    -----
    Without a crash, only the answers that have just begun are stored, and nothing is
    reported.
    """

    def __init__(
        self,
        *,
        platform_state: PlatformState,
        clock: Clock,
        metrics: Metrics,
        on_change: Callable[[], None],
    ) -> None:
        self._platform_state = platform_state
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._lock = threading.Lock()
        self._crashes = CrashTable()
        self._answers = UnprovenAnswers()
        self._suspects: dict[ServiceId, frozenset[PartId]] = {}
        self._quarantines: dict[ServiceId, list[Quarantine]] = {}
        # Services with a crash on which reports may still arrive.
        self._unsettled: set[ServiceId] = set()
        self._progress = ProgressTable()
        self._part_turns = ReportTurns[tuple[Crash, PartId]](REPORTED_PARTS_MAX)
        self._progress_turns = ReportTurns[PartKey](REPORTED_PARTS_MAX)

    def has_crashed(self, upstream: Upstream) -> bool:
        """Return whether this start of an upstream is known to have crashed."""
        if not len(self._crashes):
            return False
        crash = self._crashes.find(make_crash_id(upstream))
        return crash is not None and crash.is_credible

    def record_begun(
        self, upstream: Upstream, parts: tuple[PartId, ...], sent_at: float
    ) -> None:
        """Record that an answer has begun, which the upstream may not survive.

        Parameters
        ----------
        upstream : Upstream
        parts : tuple of PartId
            Shared parts of the prompt.
        sent_at : float
            When the request was sent.
        """
        crash = self._crashes.find(make_crash_id(upstream))
        if crash is not None and sent_at > crash.at:
            self.record_answer(upstream, sent_at)
        self._record_beginning(upstream, parts, sent_at, is_seen=True)

    def record_abandoned(
        self, upstream: Upstream, parts: tuple[PartId, ...], sent_at: float
    ) -> None:
        """Record that a request was given up, which the upstream may still answer."""
        self._record_beginning(upstream, parts, sent_at, is_seen=False)

    def _record_beginning(
        self,
        upstream: Upstream,
        parts: tuple[PartId, ...],
        sent_at: float,
        is_seen: bool,
    ) -> None:
        crash = self._crashes.find(make_crash_id(upstream))
        if crash is not None and crash.is_credible:
            # Another connection's end was noticed before this answer was read.
            if sent_at <= crash.at:
                self.record_crash(upstream, parts, sent_at)
            return
        now = self._clock.monotonic()
        with self._lock:
            self._answers.add(BegunAnswer(upstream, parts, sent_at, now, is_seen))

    def record_alive(self, upstream: Upstream) -> None:
        """Record data of an upstream: it has survived answers that began before."""
        name, now = make_crash_id(upstream), self._clock.monotonic()
        if not self._answers.has_proven(name, now) or self.has_crashed(upstream):
            return
        with self._lock:
            proven = self._answers.take_proven(name, now)
        for answer in proven:
            if answer.is_seen:
                self.record_progress(upstream.service, answer.parts, answer.survived_at)

    def list_unproven(self) -> list[Upstream]:
        """Return the upstreams that have begun to answer, not seen alive since."""
        with self._lock:
            return self._answers.list_upstreams()

    def forget_answers(self, upstream: Upstream) -> None:
        """Drop answers of which nothing tells whether the upstream survived them."""
        with self._lock:
            self._answers.take_all(make_crash_id(upstream), self._clock.monotonic())

    def record_refusal(self, upstream: Upstream) -> None:
        """Record a refused connection: an upstream that had just answered is down."""
        if self._answers.has_answers(make_crash_id(upstream)):
            self.record_crash(upstream, (), self._clock.monotonic())

    def record_crash(
        self, upstream: Upstream, parts: Iterable[PartId], sent_at: float
    ) -> None:
        """Record a crash and the shared parts of a request that waited there.

        Parameters
        ----------
        upstream : Upstream
        parts : iterable of PartId
            Empty if no request waited for its first events.
        sent_at : float
            When the request was sent.
        """
        now = self._clock.monotonic()
        crash, service = make_crash_id(upstream), upstream.service
        with self._lock:
            is_first = self._crashes.find(crash) is None
            kept = frozenset(parts)
            changed = self._crashes.record(
                crash, service, kept, max(0.0, now - sent_at), now
            )
            begun = self._record_unproven(crash, now)
            changed = changed or bool(begun)
            if changed:
                self._update(service, now)
        if is_first and changed:
            self._metrics.count("upstream_crashes")
        if changed:
            log_crash(upstream.id, len(kept) + begun, self._crashes.find(crash))
            self._on_change()

    def _record_unproven(self, crash: CrashId, now: float) -> int:
        """Record the parts of answers after which the upstream was not seen alive.

        Returns
        -------
        int
            Number of parts recorded.
        """
        known = self._crashes.find(crash)
        count = 0
        for answer in self._answers.take_all(crash, now):
            wait_s = max(0.0, (known.at if known else now) - answer.sent_at)
            service = answer.upstream.service
            if self._crashes.record(crash, service, answer.parts, wait_s, now):
                count += len(answer.parts)
        return count

    def record_progress(
        self, service: ServiceId, parts: Iterable[PartId], at: float | None = None
    ) -> None:
        """Record that an answer with these shared parts has made progress.

        Parameters
        ----------
        service : ServiceId
        parts : iterable of PartId
        at : float, optional
            When its upstream had survived the beginning; now by default.
        """
        suspects = self._suspects.get(service)
        if not suspects or suspects.isdisjoint(parts):
            return
        with self._lock:
            now = self._clock.monotonic()
            found = self._suspects.get(service, frozenset()).intersection(parts)
            times = dict.fromkeys(found, now if at is None else at)
            changed = self._store_progress(service, times, now)
        if changed:
            self._on_change()

    def record_answer(self, upstream: Upstream, sent_at: float) -> None:
        """Record that an upstream has answered a request, or begun to."""
        if not len(self._crashes):
            return
        with self._lock:
            if self._crashes.refute(make_crash_id(upstream), sent_at):
                log.info("crash refuted", extra={"upstream": str(upstream.id)})
                self._update(upstream.service, self._clock.monotonic())

    def merge(self, report: QuarantineReport, sender: InstanceId) -> list[UpstreamId]:
        """Add what another instance reported.

        Returns
        -------
        list of UpstreamId
            Listed upstreams that are now known to have crashed.
        """
        if not report.crashes and not report.progress:
            return []
        now = self._clock.monotonic()
        crashed = []
        with self._lock:
            progress: dict[ServiceId, dict[PartId, float]] = {}
            for entry in report.progress:
                progress.setdefault(entry.service, {})[entry.part] = now - entry.age_s
            is_changed = [
                self._store_progress(service, times, now, RELAY_DELAY_MAX_S)
                for service, times in progress.items()
            ]
            changed: set[ServiceId] = set()
            for update in report.crashes:
                known = self._crashes.find(update.id)
                is_known = self._platform_state.has_listed(*update.id)
                waits_s = self._progress.select_waiting(
                    update.service, update.waits_s, now - update.age_s
                )
                waiting = replace(update, waits_s=waits_s)
                is_new = self._crashes.merge(waiting, sender, is_known, now)
                if is_known and self._record_unproven(update.id, now):
                    is_new = True
                if is_new:
                    changed.add(update.service)
                    if known is None and is_known:
                        crashed.append(update.id.upstream)
            for service in changed:
                self._update(service, now)
        if changed or any(is_changed):
            self._on_change()
        return crashed

    def make_report(self, is_full: bool) -> QuarantineReport:
        """Return what the next report tells other instances.

        Parameters
        ----------
        is_full : bool
            Whether it holds all that is known instead of recent changes, for
            instances that have started or missed a report.
        """
        self._prove_listed()
        if not len(self._crashes) and not self._progress:
            return QuarantineReport()
        with self._lock:
            now = self._clock.monotonic()
            for service in list(self._unsettled):
                self._update(service, now)
            since = float("-inf") if is_full else now - RELAY_AGE_MAX_S
            progress = tuple(
                ProgressUpdate(*key, max(0.0, now - self._progress[key]))
                for key in self._progress_turns.take(self._progress.list_changed(since))
            )
            return QuarantineReport(self._describe_crashes(since, now), progress)

    def _describe_crashes(self, since: float, now: float) -> tuple[CrashUpdate, ...]:
        """Return crashes that have changed; their parts take turns in reports."""
        changed = [crash for crash in self._crashes if crash.changed_at >= since]
        entries = [
            (crash, part)
            for crash in changed
            for part in crash.waits_s
            if part in self._suspects.get(crash.service, ())
        ]
        waits: dict[CrashId, dict[PartId, float]] = {crash.id: {} for crash in changed}
        for crash, part in self._part_turns.take(entries):
            waits[crash.id][part] = crash.waits_s[part]
        return tuple(
            CrashUpdate(
                crash.id, crash.service, max(0.0, now - crash.at), waits[crash.id]
            )
            for crash in changed
        )

    def _prove_listed(self) -> None:
        """Record progress of old answers whose upstreams are still listed."""
        with self._lock:
            expired = self._answers.take_expired(self._clock.monotonic())
        if not expired or not self._suspects:
            return
        listed = {make_crash_id(u) for u in self._platform_state.list_all()}
        for answer in expired:
            name = make_crash_id(answer.upstream)
            is_alive = name in listed and self._crashes.find(name) is None
            if is_alive and answer.is_seen:
                self.record_progress(
                    answer.upstream.service, answer.parts, answer.survived_at
                )

    def _store_progress(
        self,
        service: ServiceId,
        progress: Mapping[PartId, float],
        now: float,
        tolerance_s: float = 0.0,
    ) -> bool:
        """Store when parts made progress; return whether one is not suspected any more.

        Notes
        -----
        Only this is passed on. Otherwise, each instance would send each progress of
        a popular part to all others.
        """
        suspects = self._suspects.get(service, frozenset())
        known = self._progress.store(service, progress, tolerance_s)
        if suspects.isdisjoint(progress):
            return False
        self._crashes.clear(service, known)
        self._update(service, now)
        cleared = suspects - self._suspects.get(service, frozenset())
        self._progress.mark_changed(service, cleared.intersection(progress), now)
        if cleared.isdisjoint(progress):
            return False
        self._metrics.count("prompt_parts_cleared", len(cleared))
        log_cleared(service, cleared)
        return True

    def _update(self, service: ServiceId, now: float) -> None:
        """Derive suspects and quarantines of a service from what is known."""
        settled_until = now - SETTLED_AGE_S
        evidence = collect_evidence(
            service, self._crashes, self._progress, settled_until
        )
        self._unsettled.discard(service)
        if evidence.crashes and evidence.crashes[-1].at > settled_until:
            self._unsettled.add(service)
        before = self._quarantines.get(service, [])
        known = [q.culprit for q in before if q.is_settled]
        found = [
            make_quarantine(culprit, before, now)
            for culprit in find_culprits(evidence, service, known)
        ]
        for quarantine in found:
            if not has_quarantine(before, quarantine.culprit.parts):
                log.warning("prompt quarantined", extra=describe(quarantine))
                self._metrics.count("prompt_quarantines")
        for quarantine in before:
            if not has_quarantine(found, quarantine.culprit.parts):
                log.info("quarantine ended", extra=describe(quarantine))
        # Services without suspects have no entry: reports may name any number of them.
        self._suspects.pop(service, None)
        self._quarantines.pop(service, None)
        if evidence.by_part:
            self._suspects[service] = frozenset(evidence.by_part)
            self._quarantines[service] = found
        kept = [q.culprit.crashes for all_ in self._quarantines.values() for q in all_]
        self._crashes.trim(frozenset().union(*kept), now)


__all__ = ["CrashRecords"]
