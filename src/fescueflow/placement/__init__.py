"""Placement of requests on upstreams."""

from fescueflow.placement.departures import EXPORT_WINDOW_S, Departure, DepartureTracker
from fescueflow.placement.recent import RecentPrefix, RecentPrefixes
from fescueflow.placement.service import PlacementService

__all__ = [
    "EXPORT_WINDOW_S",
    "Departure",
    "DepartureTracker",
    "PlacementService",
    "RecentPrefix",
    "RecentPrefixes",
]
