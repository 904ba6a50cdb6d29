"""Identifier types and rendezvous hashing of candidates."""

from collections.abc import Sequence
from functools import lru_cache
from typing import NewType

import xxhash

InstanceId = NewType("InstanceId", str)
UpstreamId = NewType("UpstreamId", str)
CustomerId = NewType("CustomerId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
GroupId = NewType("GroupId", str)
Incarnation = NewType("Incarnation", int)
Revision = NewType("Revision", int)
# Counts how often the platform's store came back from a copy.
StoreEra = NewType("StoreEra", int)
# Era of a store whose responses name none.
FIRST_ERA = StoreEra(0)
SlotId = NewType("SlotId", int)
ShareIndex = NewType("ShareIndex", int)
UpstreamRef = NewType("UpstreamRef", int)


# Holds more upstreams than the target scale; each is hashed many times per second.
@lru_cache(maxsize=8192)
def hash_upstream(upstream: UpstreamId) -> UpstreamRef:
    """Return the 64-bit hash that stands for an upstream in messages."""
    return UpstreamRef(xxhash.xxh64_intdigest(upstream))


def score_candidate(key: str, candidate: str) -> int:
    """Return the rendezvous score of a candidate for a key.

    Notes
    -----
    Highest random weight hashing: Thaler and Ravishankar, "Using name-based
    mappings to increase hit rates", IEEE/ACM Transactions on Networking, 1998.
    """
    return xxhash.xxh64_intdigest(f"{key}\0{candidate}")


def rank_candidates(key: str, candidates: list[str]) -> list[str]:
    """Return the candidates ordered by rendezvous score, highest first."""
    return sorted(
        candidates, key=lambda name: (score_candidate(key, name), name), reverse=True
    )


def choose_candidate(key: str, candidates: Sequence[str]) -> str | None:
    """Return the candidate with the highest score, ``None`` if there is none."""
    return max(
        candidates, key=lambda name: (score_candidate(key, name), name), default=None
    )


__all__ = [
    "FIRST_ERA",
    "CustomerId",
    "GroupId",
    "Incarnation",
    "InstanceId",
    "RegionId",
    "Revision",
    "ShareIndex",
    "SlotId",
    "StoreEra",
    "UpstreamId",
    "UpstreamRef",
    "ZoneId",
    "choose_candidate",
    "hash_upstream",
    "rank_candidates",
    "score_candidate",
]
