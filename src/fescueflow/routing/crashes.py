"""Crashes of upstreams, and the prompt parts that waited for an answer there.

Load pattern: requests that share a prompt part arrive at any instance, and each ends
the upstream that begins to answer it. An instance sees few of the crashes, so that
instances exchange what they saw. Records of the same crash are merged by operations
that are commutative, associative and idempotent: reports that are lost, repeated or
late don't change the result. What exceeds a bound is chosen by a hash of the part and
of the crash, so that no part is left out of one crash after the other.
"""

import heapq
from collections import OrderedDict
from collections.abc import Container, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing.model import PartId, ServiceId, Upstream

# Crashes in the table. Five suffice to quarantine a part; the others leave room for
# several parts and for crashes of other kinds.
CRASHES_MAX = 64
# Parts kept of one crash, more than the headers of a request can hold at 16 KiB and 11
# bytes a part.
PARTS_PER_CRASH_MAX = 2048
# Parts kept of all crashes: as many as 64 prompts of 500 parts have.
PARTS_MAX = 32768
# Age at which a crash is forgotten, unless it supports a quarantine, in seconds.
CRASH_AGE_MAX_S = 600.0
# Crashes that were refuted by an answer and are not accepted again.
REFUTED_MAX = 256
# Reports from different instances that make an unknown upstream's crash credible.
SENDERS_MIN = 2


class CrashId(NamedTuple):
    """A start of an upstream; it can crash once."""

    upstream: UpstreamId
    started_at_ms: int


def make_crash_id(upstream: Upstream) -> CrashId:
    """Return the id of a crash of this start of an upstream."""
    return CrashId(upstream.id, upstream.started_at_ms)


@dataclass(frozen=True, slots=True)
class CrashUpdate:
    """A crash as instances report it to each other.

    ``waits_s`` is how long the latest request with each part had waited.
    """

    id: CrashId
    service: ServiceId
    age_s: float
    waits_s: dict[PartId, float]


@dataclass(slots=True)
class Crash:
    """What this instance knows of a crash.

    ``at`` is the earliest time at which it was seen. ``changed_at`` is when this
    instance last heard of a part or of the crash. ``is_known`` is whether the upstream
    was seen here or in the platform's list.
    """

    id: CrashId
    service: ServiceId
    at: float
    changed_at: float
    is_known: bool
    waits_s: dict[PartId, float] = field(default_factory=dict)
    senders: set[InstanceId] = field(default_factory=set)

    @property
    def is_credible(self) -> bool:
        """Whether one malformed or forged report can't have made the record up."""
        return self.is_known or len(self.senders) >= SENDERS_MIN

    def add_waits(
        self, waits_s: Mapping[PartId, float], preferred: Iterable[PartId]
    ) -> bool:
        """Add parts that waited; return whether one that is kept is new here.

        Parameters
        ----------
        waits_s : mapping of PartId to float
            Independent of the instances' clocks, unlike times of sending.
        preferred : iterable of PartId
            Parts that waited at other crashes, too; they are left out last. It is only
            read if there are too many.
        """
        before = self.waits_s
        merged = {
            part: min(wait_s, before.get(part, wait_s))
            for part, wait_s in waits_s.items()
        }
        self.waits_s = before | merged
        if len(self.waits_s) > PARTS_PER_CRASH_MAX:
            kept = self._choose_parts(frozenset(preferred))
            self.waits_s = {part: self.waits_s[part] for part in kept}
        return any(part not in before for part in merged if part in self.waits_s)

    def _choose_parts(self, preferred: Container[PartId]) -> list[PartId]:
        seed = xxhash.xxh3_64_intdigest(f"{self.id.upstream}/{self.id.started_at_ms}")
        return heapq.nsmallest(
            PARTS_PER_CRASH_MAX,
            self.waits_s,
            key=lambda part: (
                part not in preferred,
                xxhash.xxh3_64_intdigest(part, seed),
            ),
        )

    def get_sent_at(self, part: PartId) -> float:
        """Return when the latest request with a part was sent there."""
        return self.at - self.waits_s[part]


class CrashTable:
    """Recent crashes of all upstreams; not thread-safe."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[CrashId, Crash] = OrderedDict()
        self._refuted: OrderedDict[CrashId, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._crashes)

    def __iter__(self) -> Iterator[Crash]:
        return iter(list(self._crashes.values()))

    def find(self, crash: CrashId) -> Crash | None:
        """Return the record of a crash."""
        return self._crashes.get(crash)

    def is_refuted(self, crash: CrashId) -> bool:
        """Return whether an upstream answered after it was said to have crashed."""
        return crash in self._refuted

    def record(
        self,
        crash: CrashId,
        service: ServiceId,
        parts: Iterable[PartId],
        wait_s: float,
        now: float,
    ) -> bool:
        """Record a crash that this instance saw.

        Parameters
        ----------
        crash : CrashId
        service : ServiceId
        parts : iterable of PartId
            Shared parts of a request that waited there for its first events.
        wait_s : float
            Time since the request was sent.
        now : float

        Returns
        -------
        bool
            Whether the crash or one of the parts is new.
        """
        update = CrashUpdate(crash, service, 0.0, dict.fromkeys(parts, wait_s))
        return self._merge(update, None, True, now)

    def merge(
        self, update: CrashUpdate, sender: InstanceId, is_known: bool, now: float
    ) -> bool:
        """Add what another instance reported; return whether anything is new.

        Parameters
        ----------
        update : CrashUpdate
        sender : InstanceId
        is_known : bool
            Whether the platform listed this start of the upstream.
        now : float
        """
        return self._merge(update, sender, is_known, now)

    def _merge(
        self,
        update: CrashUpdate,
        sender: InstanceId | None,
        is_known: bool,
        now: float,
    ) -> bool:
        if update.id in self._refuted:
            return False
        at = now - update.age_s
        crash = self._crashes.get(update.id)
        is_new = crash is None
        if crash is None:
            crash = Crash(update.id, update.service, at, now, is_known)
            self._crashes[update.id] = crash
        was_credible = not is_new and crash.is_credible
        crash.at = min(crash.at, at)
        crash.is_known = crash.is_known or is_known
        if sender is not None and len(crash.senders) < SENDERS_MIN:
            crash.senders.add(sender)
        is_added = crash.add_waits(update.waits_s, self._iterate_parts(crash))
        is_changed = is_new or is_added or was_credible != crash.is_credible
        if is_changed:
            crash.changed_at = now
        return is_changed

    def clear(self, service: ServiceId, progress: Mapping[PartId, float]) -> None:
        """Remove parts from the crashes before their progress."""
        for crash in self._crashes.values():
            if crash.service == service:
                for part in crash.waits_s.keys() & progress.keys():
                    if crash.at <= progress[part]:
                        del crash.waits_s[part]

    def _iterate_parts(self, excepted: Crash) -> Iterator[PartId]:
        """Yield the parts that waited at other crashes of the service."""
        for crash in self:
            if crash is not excepted and crash.service == excepted.service:
                yield from crash.waits_s

    def refute(self, crash: CrashId, sent_at: float) -> bool:
        """Drop a crash of an upstream that answered a later request.

        Parameters
        ----------
        crash : CrashId
        sent_at : float
            When the answered request was sent.

        Returns
        -------
        bool
            Whether a record was dropped.
        """
        known = self._crashes.get(crash)
        if known is None or sent_at <= known.at:
            return False
        del self._crashes[crash]
        self._refuted[crash] = None
        if len(self._refuted) > REFUTED_MAX:
            self._refuted.popitem(last=False)
        return True

    def trim(self, kept: frozenset[CrashId], now: float) -> None:
        """Forget old crashes, and the oldest ones if there is too much to keep.

        Parameters
        ----------
        kept : frozenset of CrashId
            Crashes that are forgotten last.
        now : float
        """
        for crash in self:
            if crash.id not in kept and now - crash.at > CRASH_AGE_MAX_S:
                del self._crashes[crash.id]
        by_age = sorted(self, key=lambda crash: (crash.id in kept, crash.at))
        count, part_count = len(by_age), sum(len(crash.waits_s) for crash in by_age)
        for crash in by_age:
            if count <= CRASHES_MAX and part_count <= PARTS_MAX:
                return
            count, part_count = count - 1, part_count - len(crash.waits_s)
            del self._crashes[crash.id]


__all__ = [
    "CRASHES_MAX",
    "PARTS_MAX",
    "PARTS_PER_CRASH_MAX",
    "Crash",
    "CrashId",
    "CrashTable",
    "CrashUpdate",
    "make_crash_id",
]
