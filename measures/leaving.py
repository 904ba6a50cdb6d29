"""Prefix-cache reuse through planned leaves, with and without imports.

An engine is shown as leaving some seconds before it goes away, and comes back
with an empty cache. The engines, the workload and the strategies are those of
``measures.reuse``. The limits of imports are the product's; one instance asks
for all of them, which is the least that a fleet asks for.
"""

import random
from dataclasses import dataclass, field

from fescueflow.core import Clock
from fescueflow.delivery.imports import REPEAT_S, RUNNING_MAX
from fescueflow.delivery.transfers import (
    BURST_IMPORT_S,
    BURST_THREADS,
    RETURN_IMPORT_MAX_S,
)
from fescueflow.placement import EXPORT_WINDOW_S, RecentPrefix, RecentPrefixes
from measures import reuse
from measures.placing import PlacementFixture, compute_bound
from measures.report import Measure

# Speed of one import: 0.2 MB of cache a token over a link of 10 GB/s.
IMPORT_TOKENS_PER_S = 50_000


class SimulatedClock(Clock):
    """Clock of the simulation."""

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
    use: RecentPrefix
    target: reuse.Engine
    ends_at: float
    prefixes: dict[str, int]


@dataclass
class Importer:
    """Imports from leaving engines, at the leave and on return of a chat."""

    at_leave: bool = False
    on_return: bool = False
    clock: SimulatedClock = field(default_factory=SimulatedClock)
    chats: dict[str, list[str]] = field(default_factory=dict)
    source: reuse.Engine | None = None
    open_until: float = 0.0
    pending: list[RecentPrefix] = field(default_factory=list)
    running: list[RunningImport] = field(default_factory=list)
    asked: dict[tuple[str, str], float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self):
        self.recent = RecentPrefixes(self.clock)

    def note_use(self, key, engine, used_at=None):
        self.recent.record("c", "g", key, engine, used_at)

    def ask(self, key, engine, now):
        """Return whether an import was not asked for lately, and note it."""
        asked_at = self.asked.get((key, engine))
        if asked_at is not None and now - asked_at < REPEAT_S:
            return False
        self.asked[key, engine] = now
        return True

    def begin(self, source, now):
        """Note that an engine begins to leave."""
        self.source, self.open_until = source, now + EXPORT_WINDOW_S
        if self.at_leave:
            self.pending = list(self.recent.iterate_upstream(source.name))

    def end(self):
        """Note that the engine has gone; imports that still run fail."""
        self.source = None
        self.pending, self.running = [], []

    def read_prefixes(self, key):
        """Return what the leaving engine holds under an affinity key."""
        names = [key, *self.chats[key]]
        return {n: self.source.cache[n] for n in names if n in self.source.cache}

    def advance(self, fixture, live, now):
        """Finish imports that have ended and start the next ones."""
        for one in [one for one in self.running if one.ends_at <= now]:
            self.running.remove(one)
            for name, tokens in one.prefixes.items():
                one.target.hold(name, tokens)
            self.note_use(one.use.affinity_key, one.target.name, one.use.used_at)
            self.count("leave")
        if self.source is None or now >= self.open_until:
            return
        for use in list(self.pending):
            if len(self.running) >= BURST_THREADS:
                return
            self.start(use, fixture, live, now)

    def start(self, use, fixture, live, now):
        """Start one import if its engine has a place and a slot for it."""
        fixture.set_live(list(live))
        key = use.affinity_key
        target = live[fixture.rank(key, None)[0]]
        total = sum(engine.count_running(now) for engine in live.values())
        bound = compute_bound(reuse.LOAD_FACTOR, total, len(live))
        places = sum(one.target is target for one in self.running)
        if places >= RUNNING_MAX or target.count_running(now) >= bound:
            return
        self.pending.remove(use)
        if not self.ask(key, target.name, now):
            return
        prefixes = self.read_prefixes(key)
        duration = sum(prefixes.values()) / IMPORT_TOKENS_PER_S
        if not prefixes:
            return
        target.running.append((now, now + min(duration, BURST_IMPORT_S)))
        if duration > BURST_IMPORT_S:
            self.count("timed_out")
            return
        self.running.append(RunningImport(use, target, now + duration, prefixes))

    def import_for(self, key, former, target, now):
        """Import for a returning chat; return how long its turn waits."""
        if not self.on_return or self.source is None or former != self.source.name:
            return 0.0
        if now >= self.open_until or not self.ask(key, target.name, now):
            return 0.0
        prefixes = self.read_prefixes(key)
        duration = sum(prefixes.values()) / IMPORT_TOKENS_PER_S
        if duration > RETURN_IMPORT_MAX_S:
            self.count("timed_out")
            return RETURN_IMPORT_MAX_S
        for name, tokens in prefixes.items():
            target.hold(name, tokens)
        self.count("return")
        return duration

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1


def iterate_leaves(seed):
    """Yield (time, engine index, state): leaving, gone and live again."""
    chooser = random.Random(seed + 11)
    now = 20.0
    while now < reuse.RUN_S - 20:
        index = chooser.randrange(reuse.ENGINES)
        gone = now + chooser.uniform(5.0, 10.0)
        back = gone + chooser.uniform(2.0, 10.0)
        yield now, index, "leaving"
        yield gone, index, "gone"
        yield back, index, "live"
        now = max(back, now) + chooser.uniform(4.0, 10.0)


class PlannedLeaves:
    """One run of the workload with planned leaves."""

    def __init__(self, strategy, seed, importer=None):
        self.strategy, self.importer = strategy, importer or Importer()
        self.chooser = random.Random(seed)
        self.fixture = PlacementFixture()
        self.engines = [reuse.Engine(f"engine-{i}") for i in range(reuse.ENGINES)]
        self.by_name = {engine.name: engine for engine in self.engines}
        self.chats = reuse.make_chats(self.chooser)
        for chat in self.chats:
            self.importer.chats.setdefault(chat.brief, []).append(chat.name)
        self.events = list(iterate_leaves(seed))
        self.served = {}

    def run(self):
        result, now = reuse.Result(), 0.0
        while now < reuse.RUN_S:
            now += self.chooser.expovariate(reuse.ARRIVALS_PER_S)
            self.importer.clock.now = now
            while self.events and self.events[0][0] <= now:
                self.change(*self.events.pop(0))
            live = {n: e for n, e in self.by_name.items() if e.live}
            self.importer.advance(self.fixture, live, now)
            self.serve(self.chooser.choice(self.chats), now, result)
        return result

    def change(self, at, index, state):
        engine = self.engines[index]
        engine.live = state == "live"
        if state == "leaving":
            self.importer.begin(engine, at)
        elif state == "gone":
            self.importer.end()
            engine.lose()

    def serve(self, chat, now, result):
        def prepare(name):
            former = self.served.get(chat.name)
            self.served[chat.name] = name
            target = self.by_name[name]
            wait_s = self.importer.import_for(chat.brief, former, target, now)
            self.importer.note_use(chat.brief, name)
            return wait_s

        reuse.serve_turn(
            self.strategy, chat, self.by_name, now, self.chooser, result, prepare
        )


def measure_leaving(seed: int):
    """Yield the measures of cache reuse through planned leaves."""

    def run(strategy, importer=None):
        result = PlannedLeaves(strategy, seed, importer).run()
        return result, result.reused / result.possible

    def make():
        return reuse.Placement(PlacementFixture())

    best = 0.0
    baselines = (
        reuse.RandomChoice(seed),
        reuse.LeastLoaded(),
        reuse.PlainRendezvous(),
        reuse.UnboundedAffinity(PlacementFixture()),
    )
    for strategy in baselines:
        _, share = run(strategy)
        if strategy.name != "unbounded":
            best = max(best, share)
        yield Measure(f"reuse_planned_leave_{strategy.name}", share, "ratio", seed)
    _, without = run(make())
    yield Measure("reuse_planned_leave_without_import", without, "ratio", seed)
    for name, choice in (
        ("on_return", {"on_return": True}),
        ("at_leave", {"at_leave": True}),
    ):
        _, share = run(make(), Importer(**choice))
        yield Measure(f"reuse_planned_leave_{name}", share, "ratio", seed)
    importer = Importer(at_leave=True, on_return=True)
    result, share = run(make(), importer)
    target = max(best, without)
    yield Measure("reuse_planned_leave_fescueflow", share, "ratio", seed, target, True)
    excess = result.worst_excess
    yield Measure("skew_planned_leave_fescueflow", excess, "requests", seed, 0.0)
    waits = sorted(result.waits_s)
    p95 = waits[int(0.95 * len(waits))] * 1000
    yield Measure("reuse_planned_leave_wait_p95", p95, "ms", seed)
    for name in ("leave", "return", "timed_out"):
        count = importer.counts.get(name, 0)
        yield Measure(f"planned_leave_imports_{name}", count, "imports", seed)


__all__ = ["measure_leaving"]
