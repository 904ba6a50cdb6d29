"""Routing decisions as functions and tables without I/O.

The current time, the loads and the known upstreams are passed in; nothing here reads
a clock or a socket.
"""

from fescueflow.routing.admission import (
    AdmissionDecision,
    Prediction,
    decide_admission,
    predict,
    select_in_time,
)
from fescueflow.routing.buckets import TokenBuckets
from fescueflow.routing.caller_ages import RETURN_MIN_S, CallerAges
from fescueflow.routing.caller_bounds import (
    PROGRESS_BYTES,
    UNREAD_S,
    CallerBound,
    CallerProgress,
    Hold,
    choose_yielding,
    find_breach,
    list_large,
    list_releasable,
)
from fescueflow.routing.coordinators import (
    CoordinatorCandidate,
    choose_coordinator,
    is_coordinated,
)
from fescueflow.routing.crashes import (
    Crash,
    CrashId,
    CrashTable,
    CrashUpdate,
    make_crash_id,
)
from fescueflow.routing.departures import Departures, Start, get_start
from fescueflow.routing.errors import CallerDisconnected, NoRoute, UnknownKey
from fescueflow.routing.first_events import FirstEventTimes
from fescueflow.routing.health import ColdStartLimiter, UpstreamHealth
from fescueflow.routing.holders import HolderTable, HolderUpdate
from fescueflow.routing.limit_shares import (
    LimitShare,
    LimitShares,
    PublishedDemand,
    compute_burst,
)
from fescueflow.routing.limits import Limit, LimitId, LimitTable, LimitUpdate
from fescueflow.routing.model import (
    PRIORITY_DEFAULT,
    PRIORITY_HIGHEST,
    CallerLimits,
    Customer,
    EngineTraits,
    PartId,
    Route,
    RouteId,
    RouteKind,
    RoutingTable,
    Service,
    ServiceId,
    Upstream,
    UpstreamState,
)
from fescueflow.routing.permit_queue import PermitId, PermitRequest
from fescueflow.routing.permits import (
    PermitAnswer,
    PermitDecision,
    PermitEnd,
    PermitPool,
)
from fescueflow.routing.placement import (
    PREFILL_TOKENS_PER_MS,
    BalanceBound,
    Candidate,
    Placement,
    UpstreamLoad,
    estimate_cost_ms,
    find_balanced,
    find_holder,
    is_copy_worthwhile,
    measure_balance,
    rank_placements,
)
from fescueflow.routing.progress import RELAY_DELAY_MAX_S, PartKey, ProgressTable
from fescueflow.routing.prompts import Prompt, parse_prompt
from fescueflow.routing.quarantine import (
    SETTLED_AGE_S,
    Culprit,
    Quarantine,
    Verdict,
    collect_evidence,
    count_independent,
    find_culprits,
    has_quarantine,
    make_quarantine,
    rank_isolated,
)
from fescueflow.routing.ramp import (
    Ramp,
    RampCause,
    RampEnd,
    UpstreamRamps,
    is_slow,
)
from fescueflow.routing.reports import (
    LoadCount,
    LoadReport,
    blend_reports,
    correct_running,
)
from fescueflow.routing.retries import (
    AttemptFailure,
    RetryBudget,
    RetryDenial,
    may_retry,
)
from fescueflow.routing.return_slots import ReturnSlots, TokenSupply
from fescueflow.routing.selection import choose_service, find_customer, find_route
from fescueflow.routing.silence import (
    SUSPICION_S,
    SilenceWatch,
    compute_first_byte_wait,
    compute_patience,
)
from fescueflow.routing.speed_samples import (
    FirstEvent,
    LeftOut,
    estimate_first_event_ms,
    find_reason_to_leave_out,
)
from fescueflow.routing.speeds import Slowdown, SpeedTable
from fescueflow.routing.survival import SURVIVAL_S, BegunAnswer, UnprovenAnswers
from fescueflow.routing.told_speeds import SpeedUpdate

__all__ = [
    "PROGRESS_BYTES",
    "UNREAD_S",
    "CallerBound",
    "CallerProgress",
    "Hold",
    "choose_yielding",
    "find_breach",
    "list_large",
    "list_releasable",
    "PREFILL_TOKENS_PER_MS",
    "PRIORITY_DEFAULT",
    "PRIORITY_HIGHEST",
    "RELAY_DELAY_MAX_S",
    "RETURN_MIN_S",
    "SETTLED_AGE_S",
    "SURVIVAL_S",
    "SUSPICION_S",
    "AdmissionDecision",
    "AttemptFailure",
    "BalanceBound",
    "BegunAnswer",
    "CallerAges",
    "CallerDisconnected",
    "CallerLimits",
    "Candidate",
    "ColdStartLimiter",
    "CoordinatorCandidate",
    "Crash",
    "CrashId",
    "CrashTable",
    "CrashUpdate",
    "Culprit",
    "Customer",
    "Departures",
    "EngineTraits",
    "FirstEvent",
    "FirstEventTimes",
    "HolderTable",
    "HolderUpdate",
    "LeftOut",
    "Limit",
    "LimitId",
    "LimitShare",
    "LimitShares",
    "LimitTable",
    "LimitUpdate",
    "LoadCount",
    "LoadReport",
    "NoRoute",
    "PartId",
    "PartKey",
    "PermitAnswer",
    "PermitDecision",
    "PermitEnd",
    "PermitId",
    "PermitPool",
    "PermitRequest",
    "Placement",
    "Prediction",
    "ProgressTable",
    "Prompt",
    "PublishedDemand",
    "Quarantine",
    "Ramp",
    "RampCause",
    "RampEnd",
    "RetryBudget",
    "RetryDenial",
    "ReturnSlots",
    "Route",
    "RouteId",
    "RouteKind",
    "RoutingTable",
    "Service",
    "ServiceId",
    "SilenceWatch",
    "Slowdown",
    "SpeedTable",
    "SpeedUpdate",
    "Start",
    "TokenBuckets",
    "TokenSupply",
    "UnknownKey",
    "UnprovenAnswers",
    "Upstream",
    "UpstreamHealth",
    "UpstreamLoad",
    "UpstreamRamps",
    "UpstreamState",
    "Verdict",
    "blend_reports",
    "choose_coordinator",
    "choose_service",
    "collect_evidence",
    "compute_burst",
    "compute_first_byte_wait",
    "compute_patience",
    "correct_running",
    "count_independent",
    "decide_admission",
    "estimate_cost_ms",
    "estimate_first_event_ms",
    "find_balanced",
    "find_culprits",
    "find_customer",
    "find_holder",
    "find_reason_to_leave_out",
    "find_route",
    "get_start",
    "has_quarantine",
    "is_coordinated",
    "is_copy_worthwhile",
    "is_slow",
    "make_crash_id",
    "make_quarantine",
    "may_retry",
    "measure_balance",
    "parse_prompt",
    "predict",
    "rank_isolated",
    "rank_placements",
    "select_in_time",
]
