"""Log lines that tell how changes of the store arrive, and what is missing."""

from collections.abc import Iterable

import logbook

from fescueflow.core import PlatformUnavailable, Revision, StoreEra
from fescueflow.gateway.missing import MissingChanges
from fescueflow.platform import OPERATOR_PREFIX, StoreItem

log = logbook.Logger("store")


def log_changes(
    source: str,
    revision: Revision,
    items: Iterable[StoreItem] | None,
    omitted: Iterable[str] = (),
) -> None:
    """Log how entries of the operator arrived, and keys whose values did not.

    Notes
    -----
    Entries of upstreams are renewed each second and are not logged here.
    """
    keys = sorted({i.key for i in items or () if i.key.startswith(OPERATOR_PREFIX)})
    if keys or omitted:
        log.info(
            "operator's entries received",
            extra={
                "source": source,
                "revision": revision,
                "keys": keys,
                "omitted": sorted(omitted),
            },
        )


def log_gap(revision: Revision, announced: Revision) -> None:
    """Log an update that doesn't continue the own state."""
    log.info(
        "changes are missing", extra={"revision": revision, "announced": announced}
    )


def log_era(
    source: str,
    before: tuple[StoreEra, Revision | None],
    after: tuple[StoreEra, Revision | None],
    age_s: float,
) -> None:
    """Log that the store came back from a copy, with the eras and revisions.

    Parameters
    ----------
    source : str
        ``store`` or ``update``: who has told of the era.
    before, after : tuple of StoreEra and Revision
        Era and revision of the own state, and those that were told or read; the latter
        revision is ``None`` if a further era followed before all was read.
    age_s : float
        Age of the own state.
    """
    log.warning(
        "store era changed",
        extra={
            "source": source,
            "era_before": before[0],
            "revision_before": before[1],
            "era": after[0],
            "revision": after[1],
            "belief_age_ms": round(age_s * 1000),
        },
    )


def log_failed_call(
    error: PlatformUnavailable,
    pause_s: float,
    missing: MissingChanges,
    revision: Revision | None,
    age_s: float,
) -> None:
    """Log a failed call, what the instance misses and when it calls again."""
    log.info(
        "call of the store repeated later",
        extra={
            "why": str(error),
            "pause_ms": round(pause_s * 1000),
            "missing": missing.keys,
            "has_gap": missing.count_behind(revision) > 0,
            "belief_age_ms": round(age_s * 1000),
        },
    )


__all__ = ["log_changes", "log_era", "log_failed_call", "log_gap"]
