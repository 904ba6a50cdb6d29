"""Ranking of a service's upstreams for one request.

Many chats return with long shared prefixes while others send short prompts. A cached
prefix saves the time of its prefill and no more, so a holder that is too busy loses to
another upstream.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from fescueflow.core import UpstreamId, ZoneId, choose_candidate, rank_candidates
from fescueflow.routing.model import Upstream
from fescueflow.routing.prompts import Prompt

# Prefill speed of an engine, in prompt tokens per millisecond; the data sheets of the
# two deployments give 112 and 125.
PREFILL_TOKENS_PER_MS = 110.0
# Delay of the first event by each running request, in milliseconds: a request adds 0.05
# to 0.08 ms to each engine step, and a prompt without its shared prefix takes two or
# three steps.
RUNNING_COST_MS = 0.15
# Time to the first event of an idle engine for a short cached prompt, in milliseconds:
# 40 to 50 ms were seen on the two deployments. It is the same at all engines of the
# usual speed, so only what a slowdown adds to it or takes from it counts.
FIRST_EVENT_MS = 40.0
# Cost of an upstream in another zone, in milliseconds; it only breaks ties. With the
# full round trip of 6 to 11 ms, short prompts moved away from their holders, and the
# repeated prefill cost more than the round trip.
ZONE_COST_MS = 1.0
# Cost of a failed attempt, in milliseconds: the strictest latency objective on the data
# sheets.
FAILURE_COST_MS = 600.0
# Smallest shared prefix that is copied from a holder, in tokens. A smaller one is
# prefilled in the time that a copy takes to start, 2.0 and 2.7 ms on the two sites.
COPY_TOKENS_MIN = 250
# Fixed cost of a copy, in milliseconds: a twentieth of the shortest latency objective
# of prompts (600 ms). A shorter wait at the holder does not justify a copy.
COPY_COST_MS = 30.0
# Further cost of a copy, as a fraction of the prefill time of the prefix: the copy
# evicts other prefixes from the cache.
COPY_EVICTION_FRACTION = 0.25
# Upstreams that may take a shared prefix from a holder at its limit: the first ones in
# the prefix's rendezvous order, which all instances know. The holder is usually the
# first of them.
SUCCESSOR_COUNT = 3
# Cost of a copy at an upstream that is not a successor, in milliseconds: instances that
# don't know of it make another copy. A fifth of the prefill time of the longest prefix
# on the data sheets.
SCATTERED_COPY_COST_MS = 20.0
# The fraction of the configured imbalance factor that is used, and the requests above
# that which never count as imbalance. Both are stricter than the service rules, which
# allow the whole factor and three requests, because the loads of other instances are up
# to one report old. With the limits of the rules, 24 of 253 requests went to an
# upstream over the bound on a day with replaced upstreams.
IMBALANCE_FACTOR_FRACTION = 0.75
IMBALANCE_SLACK_REQUESTS = 2.5


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Expected load of one upstream from the whole fleet.

    ``waiting_tokens`` counts the prompt tokens of requests without a first event,
    ``failure_rate`` is the recent fraction of failed attempts, 0 to 1, and
    ``own_running`` counts the requests in ``running`` that this instance has sent.
    ``count_age_s`` is the age of the upstream's own request count on which ``running``
    is based; ``None`` if there is no such count. ``slowdown`` is the factor by which
    work takes longer there than the constants above say, ``slowdown_share`` the part of
    it that is the upstream's and not its service's, and ``slowdown_age_s`` the age of
    its latest sample, ``None`` if there is none.
    """

    running: float = 0.0
    waiting_tokens: float = 0.0
    failure_rate: float = 0.0
    own_running: int = 0
    count_age_s: float | None = None
    slowdown: float = 1.0
    slowdown_share: float = 1.0
    slowdown_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that can take the request, with its load."""

    upstream: Upstream
    load: UpstreamLoad


@dataclass(frozen=True, slots=True)
class BalanceBound:
    """Mean running requests of a service's upstreams, and the limit for each."""

    mean: float
    limit: float


@dataclass(frozen=True, slots=True)
class Placement:
    """A candidate with the expected time to the first event, in milliseconds.

    ``prefill_tokens`` counts the prompt tokens left to prefill. ``is_copied`` means
    that the upstream copies the shared prefix from another one. ``wait_ms`` is the
    expected time until a slot is free, which ``cost_ms`` includes. ``is_balanced``
    means that the upstream stays within the load limit with one more request.
    """

    candidate: Candidate
    cost_ms: float
    is_cached: bool
    prefill_tokens: int = 0
    is_copied: bool = False
    wait_ms: float = 0.0
    is_balanced: bool = True


def find_holder(key: str, upstreams: Iterable[Upstream]) -> UpstreamId | None:
    """Return the upstream where hashing places a shared prefix, on all instances.

    Notes
    -----
    Rendezvous (highest random weight) hashing, as in
    ``fescueflow.core.score_candidate``: the loss of an upstream moves only its own
    prefixes.
    """
    if not key:
        return None
    chosen = choose_candidate(key, [str(upstream.id) for upstream in upstreams])
    return UpstreamId(chosen) if chosen is not None else None


def is_copy_worthwhile(prompt: Prompt, copy_tokens_per_ms: float) -> bool:
    """Return whether to copy the shared prefix instead of computing it again.

    Parameters
    ----------
    prompt : Prompt
    copy_tokens_per_ms : float
        Rate of copies between upstreams; zero if they can't copy.
    """
    return copy_tokens_per_ms > 0 and prompt.shared_tokens >= COPY_TOKENS_MIN


def estimate_placement(
    candidate: Candidate,
    prompt: Prompt,
    is_cached: bool,
    copy_tokens_per_ms: float,
    hold_ms: float,
    is_balanced: bool = True,
) -> Placement:
    """Return a placement with the expected time to the first event.

    Parameters
    ----------
    candidate : Candidate
    prompt : Prompt
    is_cached : bool
        Whether the upstream is expected to cache the shared prefix.
    copy_tokens_per_ms, hold_ms : float
        As for ``rank_placements``.
    is_balanced : bool, optional
        Whether the upstream stays within the load limit with one more request.
    """
    is_copied = not is_cached and is_copy_worthwhile(prompt, copy_tokens_per_ms)
    prefill_tokens = prompt.own_tokens
    copy_ms = 0.0
    if is_copied:
        copy_ms = estimate_copy_ms(prompt, copy_tokens_per_ms)
    elif not is_cached:
        prefill_tokens += prompt.shared_tokens
    wait_ms = estimate_wait_ms(candidate, hold_ms)
    cost_ms = wait_ms + estimate_cost_ms(candidate.load, prefill_tokens) + copy_ms
    return Placement(
        candidate,
        cost_ms,
        is_cached,
        prefill_tokens,
        is_copied,
        wait_ms,
        is_balanced,
    )


def estimate_copy_ms(prompt: Prompt, copy_tokens_per_ms: float) -> float:
    """Return the cost of a copy of the shared prefix from another upstream."""
    prefill_ms = prompt.shared_tokens / PREFILL_TOKENS_PER_MS
    copy_ms = COPY_COST_MS + prompt.shared_tokens / copy_tokens_per_ms
    return copy_ms + COPY_EVICTION_FRACTION * prefill_ms


def estimate_wait_ms(candidate: Candidate, hold_ms: float) -> float:
    """Return the expected time until a slot is free.

    Parameters
    ----------
    candidate : Candidate
    hold_ms : float
        Mean time that a request holds a slot of this service.

    Notes
    -----
    ``hold_ms`` is measured and contains how slow the service's upstreams are, so only
    the upstream's share of the slowdown applies.
    """
    slots = max(1, candidate.upstream.slots)
    ahead = max(0.0, candidate.load.running + 1 - slots)
    return ahead * hold_ms / slots * candidate.load.slowdown_share


def estimate_cost_ms(load: UpstreamLoad, prefill_tokens: int) -> float:
    """Return the cost of a request at an upstream, without waiting for a slot.

    Notes
    -----
    The sum of the prefill time, the delay by running requests, the expected cost of a
    failure and the change of the time to the first event by the slowdown, 0 or more.
    The first two take longer at a slow upstream, too.
    """
    return max(0.0, sum_cost_ms(load, prefill_tokens))


def sum_cost_ms(load: UpstreamLoad, prefill_tokens: int) -> float:
    """Return the cost against an upstream of the usual speed, below 0 at a fast one."""
    prefill_ms = (load.waiting_tokens + prefill_tokens) / PREFILL_TOKENS_PER_MS
    risk_ms = load.failure_rate * FAILURE_COST_MS
    running_ms = load.running * RUNNING_COST_MS
    work_ms = prefill_ms * load.slowdown + running_ms * load.slowdown + risk_ms
    return work_ms + FIRST_EVENT_MS * (load.slowdown - 1)


def measure_balance(
    candidates: Sequence[Candidate],
    imbalance_factor: float,
    service_size: int | None = None,
) -> BalanceBound:
    """Return the mean load and the limit for each upstream.

    Parameters
    ----------
    candidates : sequence of Candidate
    imbalance_factor : float
    service_size : int, optional
        As for ``find_balanced``.
    """
    total = sum(candidate.load.running for candidate in candidates)
    mean = total / max(1, len(candidates), service_size or 0)
    return BalanceBound(
        mean,
        IMBALANCE_FACTOR_FRACTION * imbalance_factor * mean + IMBALANCE_SLACK_REQUESTS,
    )


def find_balanced(
    candidates: Sequence[Candidate],
    imbalance_factor: float,
    service_size: int | None = None,
) -> list[Candidate]:
    """Return the candidates that stay within the limit with one more request.

    Parameters
    ----------
    candidates : sequence of Candidate
    imbalance_factor : float
        Largest allowed load as a multiple of the mean.
    service_size : int, optional
        Number of upstreams over which the mean is taken. It includes leaving upstreams
        and those in withdrawn zones.

    Notes
    -----
    Consistent hashing with bounded loads: Mirrokni, Thorup and Zadimoghaddam,
    SODA 2018.

    If many upstreams are idle in withdrawn zones, the others exceed the limit even with
    equal loads. Each instance then balances its own requests. If all instances sent to
    the upstream with the smallest reported load, they would overload it until the next
    report.
    """
    bound = measure_balance(candidates, imbalance_factor, service_size).limit
    total = sum(candidate.load.running for candidate in candidates)
    if total > bound * len(candidates):
        least = min(candidate.load.own_running for candidate in candidates)
        return [c for c in candidates if c.load.own_running == least]
    return [c for c in candidates if c.load.running + 1 <= bound]


def find_successors(key: str, candidates: Sequence[Candidate]) -> frozenset[UpstreamId]:
    """Return the upstreams that may take a shared prefix from its holder.

    Notes
    -----
    If each instance chose the least loaded upstream it knows, a busy prefix would be
    copied to many upstreams before the instances learn of each other's copies. If no
    upstream reports its own count, all candidates are returned all the same, because
    the instances would notice too late that the successors fill up.
    """
    has_counts = any(c.load.count_age_s is not None for c in candidates)
    if not key or not has_counts:
        return frozenset(c.upstream.id for c in candidates)
    names = rank_candidates(key, [str(c.upstream.id) for c in candidates])
    return frozenset(UpstreamId(name) for name in names[:SUCCESSOR_COUNT])


def rank_placements(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    cached_at: frozenset[UpstreamId],
    imbalance_factor: float,
    near: ZoneId | None = None,
    service_size: int | None = None,
    copy_tokens_per_ms: float = 0.0,
    hold_ms: float = 0.0,
    limited: frozenset[UpstreamId] = frozenset(),
) -> list[Placement]:
    """Return the candidates by rising cost, those within the load limit first.

    Parameters
    ----------
    candidates : sequence of Candidate
    prompt : Prompt
    cached_at : frozenset of UpstreamId
        Upstreams expected to cache the prompt's shared prefix.
    imbalance_factor : float
        Largest allowed load as a multiple of the mean.
    near : ZoneId, optional
        Zone of this instance.
    service_size : int, optional
        As for ``find_balanced``.
    copy_tokens_per_ms : float, optional
        Rate at which an upstream copies the shared prefix from a holder; zero if no
        holder responds.
    hold_ms : float, optional
        Mean time that a request holds a slot of this service.
    limited : frozenset of UpstreamId, optional
        Upstreams that name a limit, unless all do; not part of ``service_size``.

    Notes
    -----
    Limited upstreams can't take the mean load. If they were part of it, the others
    would exceed the bound, and each request would first move its prefix to a limited
    upstream.
    """
    others = [c for c in candidates if c.upstream.id not in limited]
    balanced_candidates = find_balanced(others, imbalance_factor, service_size)
    balanced_ids = {candidate.upstream.id for candidate in balanced_candidates}
    balanced_ids |= limited
    placements = [
        estimate_placement(
            c,
            prompt,
            c.upstream.id in cached_at,
            copy_tokens_per_ms,
            hold_ms,
            c.upstream.id in balanced_ids,
        )
        for c in candidates
    ]

    successors = find_successors(prompt.key, candidates)

    def order(placement: Placement) -> tuple[bool, float, UpstreamId]:
        upstream = placement.candidate.upstream
        load, cost_ms = placement.candidate.load, placement.cost_ms
        if load.slowdown < 1:
            # Costs below 0 count as 0 but still tell fast upstreams apart.
            cost_ms += min(0.0, sum_cost_ms(load, placement.prefill_tokens))
        if near not in {None, upstream.zone}:
            cost_ms += ZONE_COST_MS
        if not placement.is_cached and upstream.id not in successors:
            cost_ms += SCATTERED_COPY_COST_MS
        return not placement.is_balanced, cost_ms, upstream.id

    return sorted(placements, key=order)


__all__ = [
    "PREFILL_TOKENS_PER_MS",
    "BalanceBound",
    "Candidate",
    "Placement",
    "UpstreamLoad",
    "estimate_copy_ms",
    "estimate_cost_ms",
    "find_balanced",
    "find_holder",
    "is_copy_worthwhile",
    "measure_balance",
    "rank_placements",
]
