"""Prefix-cache reuse, moved chats and load skew of placement under churn.

The product's placement code chooses among simulated engines with a bounded prefix
cache. The baseline strategies run on the same workload and the same churn. A brief
is a long prompt that many chats share.
"""

import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass, field

from fescueflow.core import rank_candidates
from fescueflow.delivery.slots import PREFERRED_UPSTREAM_WAIT_S
from measures.placing import PlacementFixture, compute_load_bound
from measures.report import Measure

ENGINE_COUNT = 6
CHAT_COUNT = 1200
BRIEF_COUNT = 60
BRIEF_TOKENS = 3000
TURN_TOKENS = 150
MAX_HISTORY_TURNS = 12
ARRIVALS_PER_S = 40.0
MEAN_SERVICE_S = 0.25
CACHE_TOKENS = 600_000
LOAD_FACTOR = 1.25
WARM_LIMIT = 64
RUN_S = 240.0


@dataclass
class Chat:
    name: str
    brief: str
    turns: int = 0
    token: str | None = None


@dataclass
class Engine:
    """Simulated engine whose prefix cache evicts the least recently used prefix."""

    name: str
    live: bool = True
    running: list[tuple[float, float]] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0

    def look_up_and_store(self, key: str, tokens: int) -> int:
        """Return the cached tokens of a prefix and store its new length in tokens."""
        cached = self.cache.pop(key, 0)
        self.cache[key] = tokens
        self.cached_tokens += tokens - cached
        while self.cached_tokens > CACHE_TOKENS:
            self.cached_tokens -= self.cache.popitem(last=False)[1]
        return min(cached, tokens)

    def store(self, key: str, tokens: int) -> None:
        """Store a prefix unless a longer one is stored."""
        self.look_up_and_store(key, max(tokens, self.cache.get(key, 0)))

    def clear_state(self) -> None:
        """Discard the cache and the running requests."""
        self.cache.clear()
        self.cached_tokens = 0
        self.running.clear()

    def count_running(self, now: float) -> int:
        """Return the number of requests that were started and have not ended."""
        self.running = [span for span in self.running if span[1] > now]
        return sum(start <= now for start, _ in self.running)

    def find_start(self, now: float, bound: int, wait_s: float) -> float | None:
        """Return the start of one more request, ``None`` if not within ``wait_s``.

        Requests that already wait at this engine are served first.
        """
        excess = len(self.running) - bound
        if excess < 0:
            return now
        ends = sorted(end for start, end in self.running if start <= now)
        if excess < len(ends) and ends[excess] - now <= wait_s:
            return ends[excess]
        return None


class Strategy(ABC):
    """Strategy that chooses an engine for each turn of a chat."""

    name: str

    @abstractmethod
    def order(self, chat: Chat, live: list[str], loads: dict[str, int]) -> list[str]:
        """Return the engine names in order of preference."""

    def choose(
        self, chat: Chat, live: dict[str, Engine], loads: dict[str, int], now: float
    ) -> tuple[str, float]:
        """Return the engine and the time at which the turn starts there."""
        return self.order(chat, list(live), loads)[0], now

    def remember(self, chat: Chat, engine: str) -> None:  # noqa: B027
        """Record which engine served the chat; most strategies keep no state."""


class RandomChoice(Strategy):
    name = "random"

    def __init__(self, seed):
        self.random = random.Random(seed)

    def order(self, chat, live, loads):
        return self.random.sample(live, len(live))


class LeastLoaded(Strategy):
    name = "least_loaded"

    def order(self, chat, live, loads):
        return sorted(live, key=lambda name: (loads[name], name))


class PlainRendezvous(Strategy):
    """Rendezvous hashing of the chat's name, without affinity or a load bound."""

    name = "rendezvous"

    def order(self, chat, live, loads):
        return rank_candidates(chat.name, live)[:1]


class UnboundedAffinity(Strategy):
    """The product's placement without the load bound."""

    name = "unbounded"

    def __init__(self, fixture):
        self.fixture = fixture

    def order(self, chat, live, loads):
        self.fixture.set_live(live)
        return self.fixture.rank(chat.brief, chat.token)

    def remember(self, chat, engine):
        chat.token = self.fixture.make_token(engine, chat.brief)


class Placement(UnboundedAffinity):
    """The product's placement with load bound and wait for the preferred engine."""

    name = "fescueflow"

    def choose(self, chat, live, loads, now):
        ranked = self.order(chat, list(live), loads)
        bound = compute_load_bound(LOAD_FACTOR, sum(loads.values()), len(live))
        bound = min(WARM_LIMIT, bound)
        wait_s = PREFERRED_UPSTREAM_WAIT_S
        for name in ranked:
            start = live[name].find_start(now, bound, wait_s)
            if start is not None:
                return name, start
            wait_s = 0.0
        return ranked[0], now


@dataclass
class Result:
    reused_tokens: int = 0
    reusable_tokens: int = 0
    max_excess: float = 0.0
    waits_s: list[float] = field(default_factory=list)


def iterate_churn(seed: int, churn: bool):
    """Yield (time, engine index, live) for engines that fail, return or flap."""
    if not churn:
        return
    rng = random.Random(seed + 7)
    now = 20.0
    while now < RUN_S - 20:
        index = rng.randrange(ENGINE_COUNT)
        yield now, index, False
        yield now + rng.uniform(0.5, 12.0), index, True
        now += rng.uniform(18.0, 30.0)


def make_chats(rng: random.Random) -> list[Chat]:
    """Return chats whose briefs have a skewed popularity."""
    popularity = [1.0 / (rank + 1) ** 0.6 for rank in range(BRIEF_COUNT)]
    return [
        Chat(f"chat-{n}", f"brief-{rng.choices(range(BRIEF_COUNT), popularity)[0]}")
        for n in range(CHAT_COUNT)
    ]


def run_workload(strategy: Strategy, seed: int, churn: bool) -> Result:
    """Serve turns of returning chats and count the reused prefix tokens."""
    rng = random.Random(seed)
    engines = [Engine(f"engine-{index}") for index in range(ENGINE_COUNT)]
    by_name = {engine.name: engine for engine in engines}
    chats = make_chats(rng)
    events = sorted(iterate_churn(seed, churn))
    result, now = Result(), 0.0
    while now < RUN_S:
        now += rng.expovariate(ARRIVALS_PER_S)
        while events and events[0][0] <= now:
            _, index, live = events.pop(0)
            engines[index].live = live
            if not live:
                engines[index].clear_state()
        serve_turn(strategy, rng.choice(chats), by_name, now, rng, result)
    return result


def serve_turn(strategy, chat, by_name, now, rng, result, prepare=None):
    """Serve a turn; ``prepare(name)`` returns the seconds it waits at its engine."""
    live = {name: engine for name, engine in by_name.items() if engine.live}
    loads = {name: engine.count_running(now) for name, engine in live.items()}
    name, start = strategy.choose(chat, live, loads, now)
    engine = by_name[name]
    if start == now:
        total = sum(loads.values()) + 1
        excess = loads[name] + 1 - (LOAD_FACTOR * total / len(live) + 1)
        result.max_excess = max(result.max_excess, excess)
    import_s = prepare(name) if prepare else 0.0
    result.waits_s.append(start + import_s - now)
    own_tokens = min(chat.turns, MAX_HISTORY_TURNS) * TURN_TOKENS
    cached = engine.look_up_and_store(chat.brief, BRIEF_TOKENS)
    cached += engine.look_up_and_store(chat.name, own_tokens + TURN_TOKENS)
    if chat.turns:
        result.reusable_tokens += BRIEF_TOKENS + own_tokens
        result.reused_tokens += min(cached, BRIEF_TOKENS + own_tokens)
    chat.turns += 1
    duration = MEAN_SERVICE_S * rng.uniform(0.5, 1.5)
    engine.running.append((start, start + import_s + duration))
    strategy.remember(chat, name)


def compute_moved_ratios(fixture, seed: int) -> tuple[float, float]:
    """Return moved chats divided by the lost engine's chats, maximum and mean."""
    names = [f"engine-{index}" for index in range(ENGINE_COUNT)]
    keys = [f"chat-{seed}-{n}" for n in range(CHAT_COUNT)]
    fixture.set_live(names)
    before = {key: fixture.rank(key, None)[0] for key in keys}
    ratios = []
    for lost in names:
        fixture.set_live([name for name in names if name != lost])
        moved = sum(fixture.rank(key, None)[0] != before[key] for key in keys)
        ratios.append(moved / sum(name == lost for name in before.values()))
    return max(ratios), sum(ratios) / len(ratios)


def measure_reuse(seed: int):
    """Yield the measures of cache reuse, load skew and moved chats."""

    def run(strategy, churn=True):
        result = run_workload(strategy, seed, churn)
        return result, result.reused_tokens / result.reusable_tokens

    _, share_without_churn = run(Placement(PlacementFixture()), churn=False)
    yield Measure("reuse_calm_fescueflow", share_without_churn, "ratio", seed)
    baseline = 0.0
    for strategy in (RandomChoice(seed), LeastLoaded(), PlainRendezvous()):
        result, share = run(strategy)
        baseline = max(baseline, share)
        yield Measure(f"reuse_churn_{strategy.name}", share, "ratio", seed)
        yield Measure(f"skew_{strategy.name}", result.max_excess, "requests", seed)
    result, unbounded = run(UnboundedAffinity(PlacementFixture()))
    yield Measure("reuse_churn_unbounded", unbounded, "ratio", seed)
    yield Measure("skew_unbounded", result.max_excess, "requests", seed)
    result, share = run(Placement(PlacementFixture()))
    yield Measure("reuse_churn_fescueflow", share, "ratio", seed, baseline, True)
    yield Measure(
        "reuse_churn_over_calm", share / share_without_churn, "ratio", seed, 0.95, True
    )
    over = share / unbounded
    yield Measure("reuse_over_unbounded", over, "ratio", seed, 0.95, True)
    yield Measure("skew_fescueflow", result.max_excess, "requests", seed, 0.0)
    waits = sorted(result.waits_s)
    p95 = waits[int(0.95 * len(waits))] * 1000
    yield Measure("reuse_wait_p95_fescueflow", p95, "ms", seed)
    worst, mean = compute_moved_ratios(PlacementFixture(), seed)
    yield Measure("moved_chats_over_share_mean", mean, "ratio", seed)
    yield Measure("moved_chats_over_share", worst, "ratio", seed, 1.1)


__all__ = ["measure_reuse"]
