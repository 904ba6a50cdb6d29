"""Requests whose prompts upstreams may crash under: sent apart, or rejected."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import logbook

from fescueflow.core import Clock, PromptQuarantined, choose_candidate
from fescueflow.gateway.crash_records import CrashRecords
from fescueflow.gateway.peers import PeerTable
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.quarantine_logs import describe
from fescueflow.metrics import Metrics
from fescueflow.routing import (
    SETTLED_AGE_S,
    PartId,
    Prompt,
    Quarantine,
    ServiceId,
    Verdict,
)

CRASH_MESSAGE = "upstreams crash under a part of the prompt"
# Longest delay of a retry; a quarantine may also end by a mend of the upstreams.
RETRY_AFTER_MAX_S = 600.0

log = logbook.Logger("quarantine")


@dataclass(frozen=True, slots=True)
class Admission:
    """How an admitted request is sent.

    ``isolation_key`` is set for a suspected request, which is kept apart from others.
    ``is_trial`` is whether the request shows if a quarantine is right.
    """

    isolation_key: str | None = None
    is_trial: bool = False


class PromptQuarantine(CrashRecords):
    """Decides which requests wait apart or are rejected; thread-safe.

    Parameters
    ----------
    peers : PeerTable
    platform_state : PlatformState
    clock : Clock
    metrics : Metrics
    on_change : callable
        Called when other instances should hear of a change soon.
    """

    def __init__(
        self,
        *,
        peers: PeerTable,
        platform_state: PlatformState,
        clock: Clock,
        metrics: Metrics,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(
            platform_state=platform_state,
            clock=clock,
            metrics=metrics,
            on_change=on_change,
        )
        self._peers = peers
        self._started_at = clock.monotonic()

    def admit(self, service: ServiceId, prompt: Prompt) -> Admission:
        """Return how a request with this prompt is sent.

        Raises
        ------
        PromptQuarantined
            If upstreams crash under a part of the prompt.
        """
        verdict = self.check(service, prompt)
        if verdict is Verdict.REJECT:
            raise PromptQuarantined(
                CRASH_MESSAGE,
                retry_after_ms=round(self.get_retry_after_s(service, prompt) * 1000),
            )
        if verdict is Verdict.ADMIT:
            return Admission()
        key = self.get_isolation_key(service, prompt)
        return Admission(key, verdict is Verdict.TRY)

    def check_waiting(self, service: ServiceId, prompt: Prompt) -> None:
        """Check a request that waits at an upstream for its first events.

        Raises
        ------
        PromptQuarantined
            If a part of its prompt was quarantined meanwhile.
        """
        now = self._clock.monotonic()
        if any(
            quarantine.applies_to(prompt.shared_parts, now)
            and now - quarantine.since >= SETTLED_AGE_S
            for quarantine in self._quarantines.get(service, ())
        ):
            raise PromptQuarantined(CRASH_MESSAGE)

    def check(self, service: ServiceId, prompt: Prompt) -> Verdict:
        """Return how a request with this prompt is handled.

        Notes
        -----
        ``Verdict.TRY`` is returned once for each trial of a quarantine.
        """
        suspects = self._suspects.get(service)
        parts = prompt.shared_parts
        if not suspects or suspects.isdisjoint(parts):
            return Verdict.ADMIT
        with self._lock:
            now = self._clock.monotonic()
            for quarantine in self._quarantines.get(service, ()):
                if quarantine.applies_to(parts, now):
                    return self._check_trial(quarantine, now)
        return Verdict.ISOLATE

    def _check_trial(self, quarantine: Quarantine, now: float) -> Verdict:
        trial_at = quarantine.get_next_trial_at()
        if trial_at is None or now < trial_at or not self._owns_trial(quarantine, now):
            return Verdict.REJECT
        quarantine.trials += 1
        log.info("trial of a quarantined prompt", extra=describe(quarantine))
        return Verdict.TRY

    def _owns_trial(self, quarantine: Quarantine, now: float) -> bool:
        """Return whether this instance lets the next trial through.

        Notes
        -----
        Of the instances that carry requests, the parts choose one. One that started
        later does not know which trials were made.
        """
        if self._started_at > quarantine.culprit.last_at:
            return False
        names = [record.instance for record in self._peers.list_carrying(now)]
        owner = choose_candidate(make_key(quarantine.culprit.parts), sorted(names))
        return owner == self._peers.get_own_record().instance

    def get_retry_after_s(self, service: ServiceId, prompt: Prompt) -> float:
        """Return when a rejected request may be let through, in seconds from now."""
        now = self._clock.monotonic()
        changes = [
            quarantine.find_next_change(now)
            for quarantine in self._quarantines.get(service, ())
            if quarantine.applies_to(prompt.shared_parts, now)
        ]
        return min(RETRY_AFTER_MAX_S, max(changes, default=now) - now)

    def get_isolation_key(self, service: ServiceId, prompt: Prompt) -> str:
        """Return the key by which a suspected request's upstream is chosen."""
        suspects = self._suspects.get(service, frozenset())
        return make_key(suspects.intersection(prompt.shared_parts))


def make_key(parts: Iterable[PartId]) -> str:
    """Return a text that identifies a set of parts."""
    return ",".join(sorted(parts))


__all__ = ["Admission", "PromptQuarantine"]
