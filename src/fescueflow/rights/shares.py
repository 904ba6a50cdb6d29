"""Division of an upstream's limit into shares.

A limit ``L`` has slots ``0..L-1`` and slot ``k`` belongs to share ``k mod 8``,
so disjoint sets of shares never add up to more than ``L`` slots.
"""

from collections.abc import Iterator
from dataclasses import dataclass

SHARE_COUNT = 8
ALL_SHARES = (1 << SHARE_COUNT) - 1

# A request must start within this time after its slot was granted: the engine's
# load report contains only started requests. A home that shuts down waits this
# long before it returns its leases.
SLOT_START_TIMEOUT_S = 1.0


def list_shares(share_bits: int) -> Iterator[int]:
    """Yield the indices of the shares in a bit set."""
    return (s for s in range(SHARE_COUNT) if share_bits >> s & 1)


def count_slots(limit: int, share_bits: int) -> int:
    """Return how many slots of a limit belong to a set of shares.

    Parameters
    ----------
    limit : int
        Slots ``0..limit-1`` exist.
    share_bits : int
        Bit ``s`` is set for share ``s``.

    Returns
    -------
    int
    """
    return sum(
        max(0, (limit - share + SHARE_COUNT - 1) // SHARE_COUNT)
        for share in list_shares(share_bits)
    )


@dataclass(frozen=True)
class ShareLease:
    """One leased share.

    ``acquired_at`` is the time of the first grant of the current uninterrupted
    lease; requests of a home that leased the share earlier started before it.
    """

    share: int
    acquired_at: float
    expires_at: float


@dataclass(frozen=True)
class LeasedShares:
    """Shares of one upstream that its home may use now.

    Parameters
    ----------
    share_bits : int
        Bit ``s`` is set for share ``s``.
    expires_at : float
        Earliest expiry of the leases.
    home_since : float
        Time since which this instance has been home without interruption.
    leases : tuple of ShareLease
    """

    share_bits: int
    expires_at: float
    home_since: float
    leases: tuple[ShareLease, ...] = ()


NO_SHARES = LeasedShares(0, 0.0, 0.0)


__all__ = [
    "ALL_SHARES",
    "NO_SHARES",
    "SHARE_COUNT",
    "SLOT_START_TIMEOUT_S",
    "LeasedShares",
    "ShareLease",
    "count_slots",
    "list_shares",
]
