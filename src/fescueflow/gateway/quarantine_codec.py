"""What instances report to each other of crashes, and its encoding."""

import math
from dataclasses import dataclass
from typing import Any

from fescueflow.core import UpstreamId
from fescueflow.gateway.fields import decode_count, decode_name, decode_number
from fescueflow.routing import CrashId, CrashUpdate, PartId, ServiceId


@dataclass(frozen=True, slots=True)
class ProgressUpdate:
    """A suspected part with which an answer made progress."""

    service: ServiceId
    part: PartId
    age_s: float


@dataclass(frozen=True, slots=True)
class QuarantineReport:
    """Crashes and progress that instances report to each other."""

    crashes: tuple[CrashUpdate, ...] = ()
    progress: tuple[ProgressUpdate, ...] = ()


def encode_quarantine(report: QuarantineReport) -> dict[str, list[Any]]:
    """Return the fields of a report's document; none without a crash."""
    document: dict[str, list[Any]] = {}
    if report.crashes:
        document["crashes"] = [encode_crash(update) for update in report.crashes]
    if report.progress:
        document["progress"] = [
            [update.service, update.part, round(update.age_s, 3)]
            for update in report.progress
        ]
    return document


def encode_crash(update: CrashUpdate) -> list[Any]:
    """Return a crash as a list."""
    return [
        update.id.upstream,
        update.id.started_at_ms,
        update.service,
        # Rounded down: the crash must not seem earlier than it was seen.
        math.floor(update.age_s * 1000) / 1000,
        [[part, round(wait_s, 3)] for part, wait_s in update.waits_s.items()],
    ]


def decode_crash(entry: Any) -> CrashUpdate:
    """Return the crash that was encoded as a list."""
    upstream, started_at_ms, service, age_s, waits = entry
    return CrashUpdate(
        CrashId(UpstreamId(decode_name(upstream)), decode_count(started_at_ms)),
        ServiceId(decode_name(service)),
        decode_number(age_s),
        {PartId(decode_name(part)): decode_number(wait_s) for part, wait_s in waits},
    )


def decode_quarantine(document: Any) -> QuarantineReport:
    """Return the crashes and the progress in a report; earlier versions send none."""
    return QuarantineReport(
        tuple(decode_crash(entry) for entry in document.get("crashes", [])),
        tuple(
            ProgressUpdate(
                ServiceId(decode_name(service)),
                PartId(decode_name(part)),
                decode_number(age),
            )
            for service, part, age in document.get("progress", [])
        ),
    )


__all__ = [
    "ProgressUpdate",
    "QuarantineReport",
    "decode_quarantine",
    "encode_quarantine",
]
