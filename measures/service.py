"""Service while a zone leaves and returns, and under one customer's surge."""

import threading
import time
from dataclasses import dataclass, replace

from measures.report import Measure
from tests.standins.caller import Caller
from tests.standins.content import make_message
from tests.standins.deployment import (
    ARCHIVE_MODEL,
    DEFAULT_TIMINGS,
    FIRST_USER,
    MODEL,
    Deployment,
)
from tests.standins.engine import EngineOptions
from tests.standins.fleet import Fleet
from tests.standins.results import ResultKind

INSTANCES = 9
SETTLE_S = 14.0
PHASE_S = 8.0
# The interactive customer makes about 1.2 calls a second, and p95 of the 10 calls
# of a shorter phase is the largest of them.
SURGE_PHASE_S = 24.0
PROMPT = "The house rules of one association. " * 100
# The template of customer-0 has the priority interactive, the others standard.
URGENT = "customer-0"
QUIET = [f"customer-{n}" for n in range(2, 9)]
LOUD = "customer-9"
# One caller that never pauses offers about 2.5 calls a second; a fair share of
# the capacity of ten customers is about 3.
SURGE_CALLERS = 20
# Two callers of each small customer, which offer more lookups than the 12 slots
# bear, while no customer exceeds its share.
LOOKUP_CUSTOMERS = [*QUIET, LOUD]
INTERACTIVE = ("customer-0", "customer-1")
SLOWDOWN_MAX = 1.5
EARLY_S = 1.0


@dataclass(frozen=True)
class Record:
    """One call; times are monotonic seconds."""

    customer: str
    kind: str
    started: float
    result: object

    @property
    def delay_s(self):
        return self.result.first_token_s or self.result.total_s


class Load:
    """Threads that call the fleet in a loop and record each result."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.records = []
        self._stopping = {}

    def add(self, group, customer, kind, pause_s, seed, deadline_s=10.0):
        stopping, threads = self._stopping.setdefault(group, (threading.Event(), []))
        arguments = (stopping, customer, kind, pause_s, seed, deadline_s)
        threads.append(threading.Thread(target=self._run, args=arguments))
        threads[-1].start()

    def _run(self, stopping, customer, kind, pause_s, seed, deadline_s):
        caller = Caller(
            self._fleet.get_addresses, customer, seed=seed, deadline_s=deadline_s
        )
        turn = 0
        while not stopping.wait(pause_s):
            turn += 1
            started = time.monotonic()
            result = self._call(caller, customer, kind, turn, seed)
            self.records.append(Record(customer, kind, started, result))

    @staticmethod
    def _call(caller, customer, kind, turn, seed):
        text = PROMPT * 20 if kind == "long" else PROMPT
        message = make_message(customer, f"chat-{seed}-{turn % 4}", turn, text="x")
        messages = [
            {"role": "system", "content": text},
            {"role": "user", "content": message},
        ]
        model = ARCHIVE_MODEL if kind == "lookup" else MODEL
        return caller.chat(model, f"chat-{seed}-{turn % 4}", messages)

    def stop(self, group=None):
        groups = [group] if group else list(self._stopping)
        for name in groups:
            self._stopping[name][0].set()
        for name in groups:
            for thread in self._stopping.pop(name)[1]:
                thread.join()

    def select(self, start, end, customers=None):
        return [
            r
            for r in list(self.records)
            if start <= r.started < end and (not customers or r.customer in customers)
        ]


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def report_phase(label, records, seed):
    """Yield the share of whole answers and quantiles of the delay."""
    whole = [r for r in records if r.result.whole]
    lost = len(records) - len(whole)
    yield Measure(f"{label}_calls", len(records), "1", seed)
    yield Measure(f"{label}_lost", lost, "1", seed, 0)
    for share in (0.5, 0.95, 0.99):
        delay_ms = quantile([r.delay_s for r in whole], share) * 1000
        yield Measure(f"{label}_first_token_p{share * 100:g}", delay_ms, "ms", seed)
    gaps = [max(r.result.gaps_s, default=0.0) for r in whole]
    yield Measure(f"{label}_longest_gap", max(gaps, default=0) * 1000, "ms", seed)


def get_p95(records):
    return quantile([r.delay_s for r in records if r.result.whole], 0.95)


def run_phase(load, seconds=PHASE_S):
    started = time.monotonic()
    time.sleep(seconds)
    return load.select(started, time.monotonic())


def measure_zone(deployment, fleet, load, label, seed):
    """Withdraw one zone by configuration and return it under steady load."""
    phases = {"before": run_phase(load)}
    zone = deployment.preset.zones[0]
    deployment.publish(withdrawn=[zone])
    phases["withdrawn"] = run_phase(load)
    returned_at = time.monotonic()
    deployment.publish()
    phases["returned"] = run_phase(load)
    for name, records in phases.items():
        yield from report_phase(f"zone_{label}_{name}", records, seed)
    ratio = get_p95(phases["withdrawn"]) / max(1e-9, get_p95(phases["before"]))
    yield Measure(f"zone_{label}_p95_ratio", ratio, "ratio", seed, SLOWDOWN_MAX)
    breaches = [
        breach
        for engine in deployment.engines.values()
        for breach in engine.state.cold_breaches
        if breach.at >= returned_at
    ]
    yield Measure(f"zone_{label}_cold_breaches", len(breaches), "1", seed, 0)


def measure_surge(load, seed):
    """Add one customer's surge beside quiet customers of two priorities."""
    calm = run_phase(load, SURGE_PHASE_S)
    for number in range(SURGE_CALLERS):
        load.add("surge", LOUD, ("chat", "long")[number % 2], 0.0, 1000 + number, 2.0)
    time.sleep(2.0)
    surge = run_phase(load, SURGE_PHASE_S)
    load.stop("surge")
    for name, customers in (("standard", set(QUIET)), ("interactive", {URGENT})):
        before = [r for r in calm if r.customer in customers]
        during = [r for r in surge if r.customer in customers]
        yield from report_phase(f"overload_{name}_calm", before, seed)
        yield from report_phase(f"overload_{name}_surge", during, seed)
        ratio = get_p95(during) / max(1e-9, get_p95(before))
        yield Measure(f"overload_{name}_ratio", ratio, "ratio", seed, SLOWDOWN_MAX)
    loud = [r for r in surge if r.customer == LOUD]
    served = sum(r.result.whole for r in loud)
    refused = [r for r in loud if r.result.kind is ResultKind.NOT_RUN]
    yield Measure("overload_loud_served", served, "1", seed)
    yield Measure("overload_loud_refused_not_run", len(refused), "1", seed)
    # Streams that began too late to end before their deadline.
    cut = sum(r.result.kind is ResultKind.CUT for r in loud)
    yield Measure("overload_loud_cut_at_deadline", cut, "1", seed)
    other = len(loud) - served - len(refused) - cut
    yield Measure("overload_loud_other_failures", other, "1", seed, 0)
    # The caller repeats a refused call after the pause that the refusal names, so
    # the time of the whole call says when it gave up, not when it was refused.
    refusals_s = [s for r in loud for s in r.result.refusals_s]
    late_s = quantile(refusals_s, 0.95)
    yield Measure("overload_refusals", len(refusals_s), "1", seed)
    yield Measure("overload_refused_after_p95", late_s, "s", seed, EARLY_S)
    given_up_s = quantile([r.result.total_s for r in refused], 0.95)
    yield Measure("overload_given_up_after_p95", given_up_s, "s", seed)


def measure_background(load, seed):
    """Add a background of lookups beside interactive requests."""
    calm = run_phase(load, SURGE_PHASE_S)
    for number in range(2 * len(LOOKUP_CUSTOMERS)):
        customer = LOOKUP_CUSTOMERS[number // 2]
        load.add("lookups", customer, "lookup", 0.0, 2000 + number)
    time.sleep(2.0)
    beside = run_phase(load, SURGE_PHASE_S)
    load.stop("lookups")
    urgent = [r for r in beside if r.kind != "lookup"]
    lookups = [r for r in beside if r.kind == "lookup"]
    yield from report_phase("lookups_interactive_calm", calm, seed)
    yield from report_phase("lookups_interactive_beside", urgent, seed)
    yield from report_phase("lookups_background", lookups, seed)
    ratio = get_p95(urgent) / max(1e-9, get_p95(calm))
    yield Measure("lookups_interactive_ratio", ratio, "ratio", seed, SLOWDOWN_MAX)


def measure_lookups(seed):
    """Yield the measures of interactive requests beside lookups.

    The engines are those of ``measure_overload``. Both interactive customers are
    large, so that they stay within their share.
    """
    options = EngineOptions(token_s=0.02)
    preset = replace(FIRST_USER, warm_limit=2, engine_options=options)
    with Deployment(preset, 3.0) as deployment:
        with Fleet(deployment, 3, DEFAULT_TIMINGS) as fleet:
            time.sleep(SETTLE_S)
            load = Load(fleet)
            try:
                for number in range(4):
                    customer = INTERACTIVE[number % 2]
                    load.add("interactive", customer, "chat", 0.4, number)
                time.sleep(3.0)
                yield from measure_background(load, seed)
            finally:
                load.stop()


def measure_overload(seed):
    """Yield the measures of a surge on few and slow engines.

    12 slots of 0.35 s each serve about 34 short calls a second; a long prompt
    takes up to 0.9 s more. Few calls keep the load generator itself idle. Calls
    that have not ended when a phase ends are not counted.
    """
    options = EngineOptions(token_s=0.02)
    preset = replace(FIRST_USER, warm_limit=2, engine_options=options)
    with Deployment(preset, 3.0) as deployment:
        with Fleet(deployment, 3, DEFAULT_TIMINGS) as fleet:
            time.sleep(SETTLE_S)
            load = Load(fleet)
            try:
                for number, customer in enumerate([URGENT, *QUIET]):
                    load.add("quiet", customer, "chat", 0.4, number)
                time.sleep(3.0)
                yield from measure_surge(load, seed)
            finally:
                load.stop()


def measure_zone_change(delay_s, seed):
    """Yield the measures of a zone change with a delay between zones."""
    preset = replace(FIRST_USER, zone_delay_s=delay_s)
    with Deployment(preset, 3.0) as deployment:
        with Fleet(deployment, INSTANCES, DEFAULT_TIMINGS) as fleet:
            time.sleep(SETTLE_S)
            load = Load(fleet)
            try:
                for number, customer in enumerate(QUIET):
                    load.add("quiet", customer, "chat", 0.1, number)
                time.sleep(3.0)
                label = f"{delay_s * 1000:g}ms"
                yield from measure_zone(deployment, fleet, load, label, seed)
            finally:
                load.stop()


__all__ = ["measure_lookups", "measure_overload", "measure_zone_change"]
