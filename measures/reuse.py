"""Prefix-cache reuse, moved chats and skew of placement under churn.

The placement code of the product chooses the engine; engines are small models
with a bounded prefix cache. Baselines run on the same workload and the same
churn.
"""

import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass, field

from fescueflow.core import rank_candidates
from fescueflow.delivery.slots import PREFERRED_WAIT_S
from measures.placing import PlacementFixture, compute_bound
from measures.report import Measure

ENGINES = 6
CHATS = 1200
BRIEFS = 60
BRIEF_TOKENS = 3000
TURN_TOKENS = 150
TURNS = 12
ARRIVALS_PER_S = 40.0
SERVICE_S = 0.25
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
    """Prefix cache with least-recently-used eviction, counted in tokens."""

    name: str
    live: bool = True
    running: list[tuple[float, float]] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0

    def look_up(self, key: str, tokens: int) -> int:
        """Return the cached tokens of a prefix and store its new length."""
        cached = self.cache.pop(key, 0)
        self.cache[key] = tokens
        self.cached_tokens += tokens - cached
        while self.cached_tokens > CACHE_TOKENS:
            self.cached_tokens -= self.cache.popitem(last=False)[1]
        return min(cached, tokens)

    def hold(self, key: str, tokens: int) -> None:
        """Store a prefix unless a longer one is stored."""
        self.look_up(key, max(tokens, self.cache.get(key, 0)))

    def lose(self) -> None:
        """Drop cache and running requests."""
        self.cache.clear()
        self.cached_tokens = 0
        self.running.clear()

    def count_running(self, now: float) -> int:
        """Return the requests that were started and have not ended."""
        self.running = [span for span in self.running if span[1] > now]
        return sum(start <= now for start, _ in self.running)

    def find_start(self, now: float, bound: int, wait_s: float) -> float | None:
        """Return when one more request can start, ``None`` if not in time.

        Earlier requests that wait here go first.
        """
        excess = len(self.running) - bound
        if excess < 0:
            return now
        ends = sorted(end for start, end in self.running if start <= now)
        if excess < len(ends) and ends[excess] - now <= wait_s:
            return ends[excess]
        return None


class Strategy(ABC):
    """Chooses an engine for a turn of a chat."""

    name: str

    @abstractmethod
    def order(self, chat: Chat, live: list[str], loads: dict[str, int]) -> list[str]:
        """Return engine names, the first choice first."""

    def choose(
        self, chat: Chat, live: dict[str, Engine], loads: dict[str, int], now: float
    ) -> tuple[str, float]:
        """Return the engine and when the turn starts there."""
        return self.order(chat, list(live), loads)[0], now

    def remember(self, chat: Chat, engine: str) -> None:  # noqa: B027
        """Note where the chat was served; most strategies keep nothing."""


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
    """Rendezvous hashing of the chat alone, without a load bound."""

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
    """The product's placement, load bound and wait at the preferred engine."""

    name = "fescueflow"

    def choose(self, chat, live, loads, now):
        ranked = self.order(chat, list(live), loads)
        bound = compute_bound(LOAD_FACTOR, sum(loads.values()), len(live))
        bound = min(WARM_LIMIT, bound)
        wait_s = PREFERRED_WAIT_S
        for name in ranked:
            start = live[name].find_start(now, bound, wait_s)
            if start is not None:
                return name, start
            wait_s = 0.0
        return ranked[0], now


@dataclass
class Result:
    reused: int = 0
    possible: int = 0
    worst_excess: float = 0.0
    waits_s: list[float] = field(default_factory=list)


def iterate_churn(seed: int, churn: bool):
    """Yield (time, engine index, live) changes: loss, return and flapping."""
    if not churn:
        return
    chooser = random.Random(seed + 7)
    now = 20.0
    while now < RUN_S - 20:
        index = chooser.randrange(ENGINES)
        yield now, index, False
        yield now + chooser.uniform(0.5, 12.0), index, True
        now += chooser.uniform(18.0, 30.0)


def make_chats(chooser: random.Random) -> list[Chat]:
    """Return chats whose briefs are used unequally often."""
    popularity = [1.0 / (rank + 1) ** 0.6 for rank in range(BRIEFS)]
    return [
        Chat(f"chat-{n}", f"brief-{chooser.choices(range(BRIEFS), popularity)[0]}")
        for n in range(CHATS)
    ]


def run_workload(strategy: Strategy, seed: int, churn: bool) -> Result:
    """Serve a stream of returning chats and count reused prefix tokens."""
    chooser = random.Random(seed)
    engines = [Engine(f"engine-{index}") for index in range(ENGINES)]
    by_name = {engine.name: engine for engine in engines}
    chats = make_chats(chooser)
    events = sorted(iterate_churn(seed, churn))
    result, now = Result(), 0.0
    while now < RUN_S:
        now += chooser.expovariate(ARRIVALS_PER_S)
        while events and events[0][0] <= now:
            _, index, live = events.pop(0)
            engines[index].live = live
            if not live:
                engines[index].lose()
        serve_turn(strategy, chooser.choice(chats), by_name, now, chooser, result)
    return result


def serve_turn(strategy, chat, by_name, now, chooser, result, prepare=None):
    """Serve a turn; ``prepare(name)`` returns how long it waits at its engine."""
    live = {name: engine for name, engine in by_name.items() if engine.live}
    loads = {name: engine.count_running(now) for name, engine in live.items()}
    name, start = strategy.choose(chat, live, loads, now)
    engine = by_name[name]
    if start == now:
        total = sum(loads.values()) + 1
        excess = loads[name] + 1 - (LOAD_FACTOR * total / len(live) + 1)
        result.worst_excess = max(result.worst_excess, excess)
    import_s = prepare(name) if prepare else 0.0
    result.waits_s.append(start + import_s - now)
    own_tokens = min(chat.turns, TURNS) * TURN_TOKENS
    cached = engine.look_up(chat.brief, BRIEF_TOKENS)
    cached += engine.look_up(chat.name, own_tokens + TURN_TOKENS)
    if chat.turns:
        result.possible += BRIEF_TOKENS + own_tokens
        result.reused += min(cached, BRIEF_TOKENS + own_tokens)
    chat.turns += 1
    duration = SERVICE_S * chooser.uniform(0.5, 1.5)
    engine.running.append((start, start + import_s + duration))
    strategy.remember(chat, name)


def count_moved(fixture, seed: int) -> tuple[float, float]:
    """Return moved chats over the lost engine's chats, worst and mean."""
    names = [f"engine-{index}" for index in range(ENGINES)]
    keys = [f"chat-{seed}-{n}" for n in range(CHATS)]
    fixture.set_live(names)
    before = {key: fixture.rank(key, None)[0] for key in keys}
    ratios = []
    for lost in names:
        fixture.set_live([name for name in names if name != lost])
        moved = sum(fixture.rank(key, None)[0] != before[key] for key in keys)
        ratios.append(moved / sum(name == lost for name in before.values()))
    return max(ratios), sum(ratios) / len(ratios)


def measure_reuse(seed: int):
    """Yield the measures of cache reuse and skew."""

    def run(strategy, churn=True):
        result = run_workload(strategy, seed, churn)
        return result, result.reused / result.possible

    _, calm = run(Placement(PlacementFixture()), churn=False)
    yield Measure("reuse_calm_fescueflow", calm, "ratio", seed)
    baseline = 0.0
    for strategy in (RandomChoice(seed), LeastLoaded(), PlainRendezvous()):
        result, share = run(strategy)
        baseline = max(baseline, share)
        yield Measure(f"reuse_churn_{strategy.name}", share, "ratio", seed)
        yield Measure(f"skew_{strategy.name}", result.worst_excess, "requests", seed)
    result, unbounded = run(UnboundedAffinity(PlacementFixture()))
    yield Measure("reuse_churn_unbounded", unbounded, "ratio", seed)
    yield Measure("skew_unbounded", result.worst_excess, "requests", seed)
    result, share = run(Placement(PlacementFixture()))
    yield Measure("reuse_churn_fescueflow", share, "ratio", seed, baseline, True)
    yield Measure("reuse_churn_over_calm", share / calm, "ratio", seed, 0.95, True)
    over = share / unbounded
    yield Measure("reuse_over_unbounded", over, "ratio", seed, 0.95, True)
    yield Measure("skew_fescueflow", result.worst_excess, "requests", seed, 0.0)
    waits = sorted(result.waits_s)
    p95 = waits[int(0.95 * len(waits))] * 1000
    yield Measure("reuse_wait_p95_fescueflow", p95, "ms", seed)
    worst, mean = count_moved(PlacementFixture(), seed)
    yield Measure("moved_chats_over_share_mean", mean, "ratio", seed)
    yield Measure("moved_chats_over_share", worst, "ratio", seed, 1.1)


__all__ = ["measure_reuse"]
