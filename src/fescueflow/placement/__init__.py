"""Placement of requests on upstreams."""

from fescueflow.placement.leaves import EXPORT_WINDOW_S, Leave, LeaveTracker
from fescueflow.placement.recent import RecentPrefix, RecentPrefixes
from fescueflow.placement.service import PlacementService

__all__ = [
    "EXPORT_WINDOW_S",
    "Leave",
    "LeaveTracker",
    "PlacementService",
    "RecentPrefix",
    "RecentPrefixes",
]
