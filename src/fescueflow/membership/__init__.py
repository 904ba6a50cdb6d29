"""Group membership: instance list, heartbeats, failure and pause detection."""

from fescueflow.membership.list_relay import ListRelay
from fescueflow.membership.lists import ListService, ReadingSchedule
from fescueflow.membership.members import ADOPTED_INCARNATIONS_MAX, Member
from fescueflow.membership.pauses import PauseDetector
from fescueflow.membership.readers import choose_readers, get_zone_peers
from fescueflow.membership.service import MembershipService

__all__ = [
    "ADOPTED_INCARNATIONS_MAX",
    "ListRelay",
    "ListService",
    "Member",
    "MembershipService",
    "PauseDetector",
    "ReadingSchedule",
    "choose_readers",
    "get_zone_peers",
]
