"""Shares of upstream limits, the home of each upstream, and share leases."""

from fescueflow.rights.fence import Fence
from fescueflow.rights.holder_pools import BUCKETS_PER_SHARE
from fescueflow.rights.holdings import ShareTable
from fescueflow.rights.homes import HomeMap
from fescueflow.rights.leases import LeaseTable
from fescueflow.rights.lending import LoanTable
from fescueflow.rights.service import RightsService
from fescueflow.rights.shares import (
    SHARE_COUNT,
    SLOT_START_TIMEOUT_S,
    LeasedShares,
    ShareLease,
    count_slots,
)

__all__ = [
    "BUCKETS_PER_SHARE",
    "SHARE_COUNT",
    "SLOT_START_TIMEOUT_S",
    "Fence",
    "HomeMap",
    "LeaseTable",
    "LeasedShares",
    "LoanTable",
    "RightsService",
    "ShareLease",
    "ShareTable",
    "count_slots",
]
