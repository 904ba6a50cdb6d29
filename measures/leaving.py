"""Prefix-cache reuse through planned leaves, with and without imports.

An engine is listed as leaving some seconds before it stops, and returns with an
empty cache. The engines, the workload and the strategies are those of
``measures.reuse``. Imports have the product's limits and are all requested by one
instance, which is the least that a fleet requests.
"""

import random
from dataclasses import dataclass, field

from fescueflow.core import Clock
from fescueflow.delivery.imports import CONCURRENT_IMPORTS_MAX, REPEAT_INTERVAL_S
from fescueflow.delivery.transfers import (
    CALL_IMPORT_TIMEOUT_MAX_S,
    LEAVE_IMPORT_THREADS,
    LEAVE_IMPORT_TIMEOUT_S,
)
from fescueflow.placement import EXPORT_WINDOW_S, RecentPrefix, RecentPrefixes
from measures import reuse
from measures.placing import PlacementFixture, compute_load_bound
from measures.report import Measure

# Speed of one import: 0.2 MB of cache a token over a link of 10 GB/s.
IMPORT_TOKENS_PER_S = 50_000


class SimulatedClock(Clock):
    """Clock whose time is set by the simulation."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now

    def wall_time(self):
        return self.now

    def wait(self, event, seconds):
        return event.is_set()


@dataclass
class RunningImport:
    recent_use: RecentPrefix
    target: reuse.Engine
    ends_at: float
    prefixes: dict[str, int]


@dataclass
class Importer:
    """Prefix imports from a leaving engine.

    ``at_leave`` imports recent prefixes as soon as the engine leaves, ``on_return``
    those of a chat when its next turn arrives.
    """

    at_leave: bool = False
    on_return: bool = False
    clock: SimulatedClock = field(default_factory=SimulatedClock)
    chats: dict[str, list[str]] = field(default_factory=dict)
    source: reuse.Engine | None = None
    open_until: float = 0.0
    pending: list[RecentPrefix] = field(default_factory=list)
    running: list[RunningImport] = field(default_factory=list)
    requested: dict[tuple[str, str], float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self):
        self.recent = RecentPrefixes(self.clock)

    def record_use(self, key, engine, used_at=None):
        self.recent.record("c", "g", key, engine, used_at)

    def register_request(self, key, engine, now):
        """Record a request for an import and return ``True``, unless one is recent."""
        requested_at = self.requested.get((key, engine))
        if requested_at is not None and now - requested_at < REPEAT_INTERVAL_S:
            return False
        self.requested[key, engine] = now
        return True

    def begin_leave(self, source, now):
        """Record that an engine begins to leave."""
        self.source, self.open_until = source, now + EXPORT_WINDOW_S
        if self.at_leave:
            self.pending = list(self.recent.iterate_upstream(source.name))

    def end_leave(self):
        """Record that the engine has stopped; imports that still run fail."""
        self.source = None
        self.pending, self.running = [], []

    def read_prefixes(self, key):
        """Return the cached prefixes of an affinity key at the leaving engine."""
        names = [key, *self.chats[key]]
        return {n: self.source.cache[n] for n in names if n in self.source.cache}

    def advance(self, fixture, live, now):
        """Complete imports that have ended and start pending ones."""
        for transfer in [r for r in self.running if r.ends_at <= now]:
            self.running.remove(transfer)
            for name, tokens in transfer.prefixes.items():
                transfer.target.store(name, tokens)
            self.record_use(
                transfer.recent_use.affinity_key,
                transfer.target.name,
                transfer.recent_use.used_at,
            )
            self.count("leave")
        if self.source is None or now >= self.open_until:
            return
        for recent_use in list(self.pending):
            if len(self.running) >= LEAVE_IMPORT_THREADS:
                return
            self.start(recent_use, fixture, live, now)

    def start(self, recent_use, fixture, live, now):
        """Start one import if its target has a free import and a free request slot."""
        fixture.set_live(list(live))
        key = recent_use.affinity_key
        target = live[fixture.rank(key, None)[0]]
        total = sum(engine.count_running(now) for engine in live.values())
        bound = compute_load_bound(reuse.LOAD_FACTOR, total, len(live))
        running_at_target = sum(r.target is target for r in self.running)
        if (
            running_at_target >= CONCURRENT_IMPORTS_MAX
            or target.count_running(now) >= bound
        ):
            return
        self.pending.remove(recent_use)
        if not self.register_request(key, target.name, now):
            return
        prefixes = self.read_prefixes(key)
        duration = sum(prefixes.values()) / IMPORT_TOKENS_PER_S
        if not prefixes:
            return
        target.running.append((now, now + min(duration, LEAVE_IMPORT_TIMEOUT_S)))
        if duration > LEAVE_IMPORT_TIMEOUT_S:
            self.count("timed_out")
            return
        self.running.append(RunningImport(recent_use, target, now + duration, prefixes))

    def import_on_return(self, key, previous_engine, target, now):
        """Import the prefixes of a returning chat; return the wait of its turn in s."""
        if (
            not self.on_return
            or self.source is None
            or previous_engine != self.source.name
        ):
            return 0.0
        if now >= self.open_until or not self.register_request(key, target.name, now):
            return 0.0
        prefixes = self.read_prefixes(key)
        duration = sum(prefixes.values()) / IMPORT_TOKENS_PER_S
        if duration > CALL_IMPORT_TIMEOUT_MAX_S:
            self.count("timed_out")
            return CALL_IMPORT_TIMEOUT_MAX_S
        for name, tokens in prefixes.items():
            target.store(name, tokens)
        self.count("return")
        return duration

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1


def iterate_leaves(seed):
    """Yield (time, engine index, state) for states leaving, gone and live."""
    rng = random.Random(seed + 11)
    now = 20.0
    while now < reuse.RUN_S - 20:
        index = rng.randrange(reuse.ENGINE_COUNT)
        gone_at = now + rng.uniform(5.0, 10.0)
        back_at = gone_at + rng.uniform(2.0, 10.0)
        yield now, index, "leaving"
        yield gone_at, index, "gone"
        yield back_at, index, "live"
        now = max(back_at, now) + rng.uniform(4.0, 10.0)


class PlannedLeaveSimulation:
    """Run of the workload in which engines leave as planned and return."""

    def __init__(self, strategy, seed, importer=None):
        self.strategy, self.importer = strategy, importer or Importer()
        self.rng = random.Random(seed)
        self.fixture = PlacementFixture()
        self.engines = [reuse.Engine(f"engine-{i}") for i in range(reuse.ENGINE_COUNT)]
        self.by_name = {engine.name: engine for engine in self.engines}
        self.chats = reuse.make_chats(self.rng)
        for chat in self.chats:
            self.importer.chats.setdefault(chat.brief, []).append(chat.name)
        self.events = list(iterate_leaves(seed))
        self.served = {}

    def run(self):
        result, now = reuse.Result(), 0.0
        while now < reuse.RUN_S:
            now += self.rng.expovariate(reuse.ARRIVALS_PER_S)
            self.importer.clock.now = now
            while self.events and self.events[0][0] <= now:
                self.apply_event(*self.events.pop(0))
            live = {n: e for n, e in self.by_name.items() if e.live}
            self.importer.advance(self.fixture, live, now)
            self.serve(self.rng.choice(self.chats), now, result)
        return result

    def apply_event(self, at, index, state):
        engine = self.engines[index]
        engine.live = state == "live"
        if state == "leaving":
            self.importer.begin_leave(engine, at)
        elif state == "gone":
            self.importer.end_leave()
            engine.clear_state()

    def serve(self, chat, now, result):
        def prepare(name):
            previous_engine = self.served.get(chat.name)
            self.served[chat.name] = name
            target = self.by_name[name]
            wait_s = self.importer.import_on_return(
                chat.brief, previous_engine, target, now
            )
            self.importer.record_use(chat.brief, name)
            return wait_s

        reuse.serve_turn(
            self.strategy, chat, self.by_name, now, self.rng, result, prepare
        )


def measure_leaving(seed: int):
    """Yield the measures of cache reuse through planned leaves."""

    def run(strategy, importer=None):
        result = PlannedLeaveSimulation(strategy, seed, importer).run()
        return result, result.reused_tokens / result.reusable_tokens

    def make_placement():
        return reuse.Placement(PlacementFixture())

    best_baseline = 0.0
    baselines = (
        reuse.RandomChoice(seed),
        reuse.LeastLoaded(),
        reuse.PlainRendezvous(),
        reuse.UnboundedAffinity(PlacementFixture()),
    )
    for strategy in baselines:
        _, share = run(strategy)
        if strategy.name != "unbounded":
            best_baseline = max(best_baseline, share)
        yield Measure(f"reuse_planned_leave_{strategy.name}", share, "ratio", seed)
    _, share_without_import = run(make_placement())
    yield Measure(
        "reuse_planned_leave_without_import", share_without_import, "ratio", seed
    )
    for name, modes in (
        ("on_return", {"on_return": True}),
        ("at_leave", {"at_leave": True}),
    ):
        _, share = run(make_placement(), Importer(**modes))
        yield Measure(f"reuse_planned_leave_{name}", share, "ratio", seed)
    importer = Importer(at_leave=True, on_return=True)
    result, share = run(make_placement(), importer)
    target = max(best_baseline, share_without_import)
    yield Measure("reuse_planned_leave_fescueflow", share, "ratio", seed, target, True)
    excess = result.max_excess
    yield Measure("skew_planned_leave_fescueflow", excess, "requests", seed, 0.0)
    waits = sorted(result.waits_s)
    p95 = waits[int(0.95 * len(waits))] * 1000
    yield Measure("reuse_planned_leave_wait_p95", p95, "ms", seed)
    for name in ("leave", "return", "timed_out"):
        count = importer.counts.get(name, 0)
        yield Measure(f"planned_leave_imports_{name}", count, "imports", seed)


__all__ = ["measure_leaving"]
