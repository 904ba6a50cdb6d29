"""Order of a service's upstreams for one request.

Answers the load in which many chats return with long shared prompts while others
bring short ones: an upstream that holds the shared part is worth as much time as
reading that part takes, and no more, so that a busy holder is passed over.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from fescueflow.core import UpstreamId, ZoneId, choose_candidate, rank_candidates
from fescueflow.routing.model import Upstream

# Prompt tokens that an engine reads in a millisecond; the sheets of the two
# deployments give 112 and 125.
PROMPT_TOKENS_PER_MS = 110.0
# Delay of the first event by one more running request, in milliseconds: an engine's
# step grows by 0.05 to 0.08 ms for each, and a prompt without its shared part takes
# two or three steps.
RUNNING_COST_MS = 0.15
# Cost of an upstream in another zone, in milliseconds: it decides between upstreams
# that are as good as each other. The whole round trip of 6 to 11 ms moved short prompts
# away from their holders, and reading them there again cost more.
ZONE_COST_MS = 1.0
# Time that a failed attempt costs a caller, in milliseconds: the latency objective
# of the most urgent kind on the sheets.
FAILURE_COST_MS = 600.0
# Shared parts from this size on are copied from an upstream that holds them, in tokens.
# Smaller ones are read while a copy begins: 2.0 and 2.7 ms on the two sites.
COPY_TOKENS_MIN = 250
# Least cost of a copy, in milliseconds: a twentieth of the shortest latency objective
# of prompts (600 ms). A shorter wait at the holder is no reason to copy.
COPY_COST_MS = 30.0
# Part of the time for reading the shared part that a copy costs besides, since it
# takes the memory of other parts.
COPY_MEMORY_PART = 0.25
# Upstreams that take a shared part over from a holder at its limit: the first ones in
# the part's rendezvous order, which all instances know. The holder is mostly the first.
SUCCESSORS = 3
# Cost of a copy at another upstream, in milliseconds: instances that do not know of it
# make one more. A fifth of the time for reading the longest part of the sheets.
SCATTER_COST_MS = 20.0
# Of the rules' factor for imbalance, the part that is used, and the requests above
# that which never count as imbalance, of which the rules allow three: loads of other
# instances are up to a report old. With the rules' own figures, 24 of 253 requests
# came to an upstream over the bound on a day with replaced upstreams.
IMBALANCE_PART = 0.75
IMBALANCE_SLACK = 2.5


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a prompt in tokens and the key of its shared part."""

    key: str = ""
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Expected work of the whole fleet at one upstream.

    ``waiting_tokens`` counts prompt tokens of requests without a first event,
    ``failure_rate`` is the recent part of failed attempts, 0 to 1, ``own_running`` the
    part of ``running`` that this instance has sent, and ``count_age_s`` the age of the
    upstream's own count that ``running`` rests on.
    """

    running: float = 0.0
    waiting_tokens: float = 0.0
    failure_rate: float = 0.0
    own_running: int = 0
    count_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may take the request, with its load."""

    upstream: Upstream
    load: UpstreamLoad


@dataclass(frozen=True, slots=True)
class BalanceBound:
    """Mean of the requests running at a service's upstreams, and the most for one."""

    mean: float
    limit: float


@dataclass(frozen=True, slots=True)
class Placement:
    """A candidate with the expected time to the first event, in milliseconds.

    ``unread_tokens`` is what the upstream has to read of the prompt; ``is_copied``
    says that it takes over the shared part from another upstream. ``wait_ms`` is the
    part of the time until a place is free.
    """

    candidate: Candidate
    cost_ms: float
    is_cached: bool
    unread_tokens: int = 0
    is_copied: bool = False
    wait_ms: float = 0.0


def parse_prompt(parts: str, token_counts: str) -> Prompt:
    """Return the prompt that the headers of a request describe.

    Parameters
    ----------
    parts : str
        ``ID:TOKENS`` entries separated by commas; the last one is the request's own.
    token_counts : str
        Tokens of the prompt and the most tokens of the answer.

    Raises
    ------
    ValueError
    """
    counts = [int(text) for text in token_counts.split(",")] if token_counts else []
    total = counts[0] if counts else 0
    output = counts[1] if len(counts) > 1 else 0
    entries = [entry.rpartition(":") for entry in parts.split(",") if entry]
    sizes = [int(size) for _, _, size in entries]
    shared = sum(sizes[:-1])
    key = entries[-2][0].strip() if len(entries) > 1 else ""
    return Prompt(key, shared, max(0, total - shared), output)


def find_holder(key: str, upstreams: Iterable[Upstream]) -> UpstreamId | None:
    """Return the upstream where all instances expect a shared part.

    Notes
    -----
    Highest random weight hashing, as in ``fescueflow.core.score_candidate``: a lost
    upstream moves only its own parts.
    """
    if not key:
        return None
    chosen = choose_candidate(key, [str(upstream.id) for upstream in upstreams])
    return UpstreamId(chosen) if chosen is not None else None


def is_copy_worthwhile(prompt: Prompt, copy_tokens_per_ms: float) -> bool:
    """Return whether the shared part is copied rather than read again.

    Parameters
    ----------
    prompt : Prompt
    copy_tokens_per_ms : float
        Rate of copies between upstreams; zero if there are none.
    """
    return copy_tokens_per_ms > 0 and prompt.shared_tokens >= COPY_TOKENS_MIN


def place(
    candidate: Candidate,
    prompt: Prompt,
    is_cached: bool,
    copy_tokens_per_ms: float,
    place_ms: float,
) -> Placement:
    """Return a placement with the expected time to the first event.

    Parameters
    ----------
    candidate : Candidate
    prompt : Prompt
    is_cached : bool
        Whether the upstream is believed to hold the shared part.
    copy_tokens_per_ms, place_ms : float
        As for ``rank_placements``.
    """
    is_copied = not is_cached and is_copy_worthwhile(prompt, copy_tokens_per_ms)
    unread = prompt.own_tokens
    copy_ms = 0.0
    if is_copied:
        reading_ms = prompt.shared_tokens / PROMPT_TOKENS_PER_MS
        copy_ms = COPY_COST_MS + prompt.shared_tokens / copy_tokens_per_ms
        copy_ms += COPY_MEMORY_PART * reading_ms
    elif not is_cached:
        unread += prompt.shared_tokens
    wait_ms = estimate_wait_ms(candidate, place_ms)
    cost_ms = wait_ms + estimate_cost_ms(candidate.load, unread) + copy_ms
    return Placement(candidate, cost_ms, is_cached, unread, is_copied, wait_ms)


def estimate_wait_ms(candidate: Candidate, place_ms: float) -> float:
    """Return the expected time until a place is free.

    Parameters
    ----------
    candidate : Candidate
    place_ms : float
        Mean time that a request holds a place of this service.
    """
    slots = max(1, candidate.upstream.slots)
    ahead = max(0.0, candidate.load.running + 1 - slots)
    return ahead * place_ms / slots


def estimate_cost_ms(load: UpstreamLoad, unread_tokens: int) -> float:
    """Return the expected time to the first event plus the cost for others."""
    reading_ms = (load.waiting_tokens + unread_tokens) / PROMPT_TOKENS_PER_MS
    risk_ms = load.failure_rate * FAILURE_COST_MS
    return reading_ms + load.running * RUNNING_COST_MS + risk_ms


def measure_balance(
    candidates: Sequence[Candidate],
    imbalance_factor: float,
    service_size: int | None = None,
) -> BalanceBound:
    """Return the mean load and the load that no upstream is to exceed.

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
        mean, IMBALANCE_PART * imbalance_factor * mean + IMBALANCE_SLACK
    )


def find_balanced(
    candidates: Sequence[Candidate],
    imbalance_factor: float,
    service_size: int | None = None,
) -> list[Candidate]:
    """Return the candidates that one more request does not make unbalanced.

    Parameters
    ----------
    candidates : sequence of Candidate
    imbalance_factor : float
    service_size : int, optional
        Upstreams of the service, those in withdrawn zones and leaving ones
        included, over which the mean is taken.

    Notes
    -----
    Consistent hashing with bounded loads: Mirrokni, Thorup and Zadimoghaddam,
    SODA 2018.

    With many upstreams idle in withdrawn zones, even shares of the others exceed the
    bound. Then each instance spreads its own requests evenly: if all of them sent to
    the upstream with the smallest load, which they know from reports, they would
    overload it until the next report.
    """
    bound = measure_balance(candidates, imbalance_factor, service_size).limit
    total = sum(candidate.load.running for candidate in candidates)
    if total > bound * len(candidates):
        least = min(candidate.load.own_running for candidate in candidates)
        return [c for c in candidates if c.load.own_running == least]
    return [c for c in candidates if c.load.running + 1 <= bound]


def find_successors(key: str, candidates: Sequence[Candidate]) -> frozenset[UpstreamId]:
    """Return the upstreams that take a shared part over from its holder.

    Notes
    -----
    If each instance took the least busy upstream it knows, a busy part would be copied
    to many upstreams before the instances have heard of each other's copies. Where no
    upstream tells its load, that is the lesser evil: nobody would see in time that
    the successors fill up.
    """
    is_told = any(c.load.count_age_s is not None for c in candidates)
    if not key or not is_told:
        return frozenset(c.upstream.id for c in candidates)
    names = rank_candidates(key, [str(c.upstream.id) for c in candidates])
    return frozenset(UpstreamId(name) for name in names[:SUCCESSORS])


def rank_placements(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    cached_at: frozenset[UpstreamId],
    imbalance_factor: float,
    near: ZoneId | None = None,
    service_size: int | None = None,
    copy_tokens_per_ms: float = 0.0,
    place_ms: float = 0.0,
) -> list[Placement]:
    """Return the candidates by rising cost, balanced ones first.

    Parameters
    ----------
    candidates : sequence of Candidate
    prompt : Prompt
    cached_at : frozenset of UpstreamId
        Upstreams believed to hold the prompt's shared part.
    imbalance_factor : float
        Largest allowed load as a multiple of the mean.
    near : ZoneId, optional
        Zone of this instance.
    service_size : int, optional
        As for ``find_balanced``.
    copy_tokens_per_ms : float, optional
        Rate at which an upstream copies the shared part from a holder; zero if no
        holder answers.
    place_ms : float, optional
        Mean time that a request holds a place of this service.
    """
    within = find_balanced(candidates, imbalance_factor, service_size)
    balanced = {candidate.upstream.id for candidate in within}
    placements = [
        place(c, prompt, c.upstream.id in cached_at, copy_tokens_per_ms, place_ms)
        for c in candidates
    ]

    successors = find_successors(prompt.key, candidates)

    def order(placement: Placement) -> tuple[bool, float, UpstreamId]:
        upstream = placement.candidate.upstream
        cost_ms = placement.cost_ms
        if near not in {None, upstream.zone}:
            cost_ms += ZONE_COST_MS
        if not placement.is_cached and upstream.id not in successors:
            cost_ms += SCATTER_COST_MS
        return upstream.id not in balanced, cost_ms, upstream.id

    return sorted(placements, key=order)


__all__ = [
    "PROMPT_TOKENS_PER_MS",
    "BalanceBound",
    "Candidate",
    "Placement",
    "Prompt",
    "UpstreamLoad",
    "estimate_cost_ms",
    "find_balanced",
    "find_holder",
    "is_copy_worthwhile",
    "measure_balance",
    "parse_prompt",
    "rank_placements",
]
