"""Answers that have begun at upstreams which have not been seen alive since.

Load pattern: a request ends each upstream that begins to answer it. The first write
may hold several events or the whole answer, and the connection may end later than the
answer does, or be noticed first by another request. How much of an answer has arrived
therefore says nothing; only a later sign of life of the same upstream does.
"""

from collections import deque
from dataclasses import dataclass

from fescueflow.routing.crashes import CrashId, make_crash_id
from fescueflow.routing.model import PartId, Upstream

# Time from the beginning of an answer to a sign of life that shows that the upstream
# has survived it. Data that was written at once may be read on two connections with
# twice the inaccuracy of 0.1 s with which instances notice a crash.
SURVIVAL_S = 0.25
# Age at which an answer is not kept any longer. The platform removes the entry of an
# upstream that crashed after three heartbeats of 1.2 s.
UNPROVEN_AGE_MAX_S = 5.0
# Answers kept of one upstream, the latest ones; a crash follows the beginning of an
# answer within moments.
ANSWERS_MAX = 64


@dataclass(frozen=True, slots=True)
class BegunAnswer:
    """An answer of an upstream and the shared parts of its prompt.

    An attempt that was given up before its first event counts as begun then, as the
    upstream may still answer it; ``is_seen`` is false for it, and it proves nothing.
    """

    upstream: Upstream
    parts: tuple[PartId, ...]
    sent_at: float
    begun_at: float
    is_seen: bool = True

    @property
    def survived_at(self) -> float:
        """When the upstream has survived the beginning, if it is alive later."""
        return self.begun_at + SURVIVAL_S


class UnprovenAnswers:
    """Answers whose upstreams may still crash under them; not thread-safe."""

    def __init__(self) -> None:
        self._answers: dict[CrashId, deque[BegunAnswer]] = {}

    def __len__(self) -> int:
        return sum(len(answers) for answers in self._answers.values())

    def add(self, answer: BegunAnswer) -> None:
        """Add an answer that begins; answers come in order of time."""
        name = make_crash_id(answer.upstream)
        answers = self._answers.get(name)
        if answers is None:
            answers = self._answers[name] = deque(maxlen=ANSWERS_MAX)
        answers.append(answer)

    def list_upstreams(self) -> list[Upstream]:
        """Return the upstreams of the answers."""
        return [answers[0].upstream for answers in self._answers.values()]

    def has_answers(self, upstream: CrashId) -> bool:
        """Return whether an answer of an upstream is kept; needs no lock."""
        return upstream in self._answers

    def has_proven(self, upstream: CrashId, seen_at: float) -> bool:
        """Return whether a sign of life proves an answer; needs no lock."""
        answers = self._answers.get(upstream)
        if answers is None:
            return False
        try:
            return seen_at - answers[0].begun_at >= SURVIVAL_S
        except IndexError:
            # Another thread has taken the last answer.
            return False

    def take_proven(self, upstream: CrashId, seen_at: float) -> list[BegunAnswer]:
        """Remove and return the answers that a sign of life proves harmless.

        Parameters
        ----------
        upstream : CrashId
        seen_at : float
            When data of the upstream arrived.
        """
        answers = self._answers.get(upstream, deque())
        proven = []
        while answers and seen_at - answers[0].begun_at >= SURVIVAL_S:
            proven.append(answers.popleft())
        if not answers:
            self._answers.pop(upstream, None)
        return proven

    def take_all(self, upstream: CrashId, now: float) -> list[BegunAnswer]:
        """Remove and return the answers of an upstream that has crashed."""
        return [
            answer
            for answer in self._answers.pop(upstream, ())
            if now - answer.begun_at <= UNPROVEN_AGE_MAX_S
        ]

    def take_expired(self, now: float) -> list[BegunAnswer]:
        """Remove and return the answers that are not kept any longer."""
        expired = []
        for upstream, answers in list(self._answers.items()):
            while answers and now - answers[0].begun_at > UNPROVEN_AGE_MAX_S:
                expired.append(answers.popleft())
            if not answers:
                del self._answers[upstream]
        return expired


__all__ = ["SURVIVAL_S", "BegunAnswer", "UnprovenAnswers"]
