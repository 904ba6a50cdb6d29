"""Log lines about crashes and quarantines of prompt parts."""

from collections.abc import Collection

import logbook

from fescueflow.core import UpstreamId
from fescueflow.routing import Crash, PartId, Quarantine, ServiceId

# Parts named in one log line.
LOGGED_PARTS_MAX = 8

log = logbook.Logger("quarantine")


def log_crash(upstream: UpstreamId, waiting: int, crash: Crash | None) -> None:
    """Log a crash that this instance saw, or requests that waited there."""
    log.warning(
        "upstream crashed",
        extra={
            "upstream": str(upstream),
            "waiting_parts": waiting,
            "recorded_parts": len(crash.waits_s) if crash else 0,
        },
    )


def log_cleared(service: ServiceId, parts: Collection[PartId]) -> None:
    """Log parts that are not suspected any longer."""
    log.info(
        "prompt parts cleared",
        extra={
            "service": str(service),
            "count": len(parts),
            "prompt_parts": sorted(parts)[:LOGGED_PARTS_MAX],
        },
    )


def describe(quarantine: Quarantine) -> dict[str, str | int | list[str]]:
    """Return the log fields of a quarantine."""
    return {
        "service": str(quarantine.culprit.service),
        "prompt_parts": sorted(quarantine.culprit.parts),
        "crashes": len(quarantine.culprit.crashes),
        "trials": quarantine.trials,
    }


__all__ = ["describe", "log_cleared", "log_crash"]
