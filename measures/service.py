"""Latency and failures while a zone is withdrawn, under a surge and with lookups."""

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

INSTANCE_COUNT = 9
SETTLE_S = 14.0
PHASE_S = 8.0
# The interactive customer makes about 1.2 calls per second; with the 10 calls of a
# phase of 8 s, p95 would be the maximum.
SURGE_PHASE_S = 24.0
PROMPT = "The house rules of one association. " * 100
# The template of customer-0 has the priority interactive, the others standard.
INTERACTIVE_CUSTOMER = "customer-0"
QUIET_CUSTOMERS = [f"customer-{n}" for n in range(2, 9)]
NOISY_CUSTOMER = "customer-9"
# A caller without pauses makes about 2.5 calls per second; with ten customers, the
# fair share of the capacity is about 3.
SURGE_CALLER_COUNT = 20
# Small customers. Two callers for each offer more lookups than the 12 slots can
# serve, while no customer exceeds its share.
LOOKUP_CUSTOMERS = [*QUIET_CUSTOMERS, NOISY_CUSTOMER]
INTERACTIVE_CUSTOMERS = ("customer-0", "customer-1")
MAX_P95_RATIO = 1.5
MAX_REFUSAL_DELAY_S = 1.0


@dataclass(frozen=True)
class CallRecord:
    """One call; ``started`` is a time of the monotonic clock in seconds."""

    customer: str
    kind: str
    started: float
    result: object

    @property
    def latency_s(self):
        return self.result.first_token_s or self.result.total_s


class CallerThreads:
    """Groups of threads that call the fleet in a loop and record each result."""

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
            self.records.append(CallRecord(customer, kind, started, result))

    @staticmethod
    def _call(caller, customer, kind, turn, seed):
        prompt = PROMPT * 20 if kind == "long" else PROMPT
        message = make_message(customer, f"chat-{seed}-{turn % 4}", turn, text="x")
        messages = [
            {"role": "system", "content": prompt},
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


def compute_quantile(values, fraction):
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
    )


def report_phase(label, records, seed):
    """Yield the counts of calls and incomplete answers, latency quantiles and gap."""
    whole = [r for r in records if r.result.whole]
    incomplete = len(records) - len(whole)
    yield Measure(f"{label}_calls", len(records), "1", seed)
    yield Measure(f"{label}_lost", incomplete, "1", seed, 0)
    for fraction in (0.5, 0.95, 0.99):
        latency_ms = compute_quantile([r.latency_s for r in whole], fraction) * 1000
        yield Measure(
            f"{label}_first_token_p{fraction * 100:g}", latency_ms, "ms", seed
        )
    gaps = [max(r.result.gaps_s, default=0.0) for r in whole]
    yield Measure(f"{label}_longest_gap", max(gaps, default=0) * 1000, "ms", seed)


def compute_p95_s(records):
    return compute_quantile([r.latency_s for r in records if r.result.whole], 0.95)


def run_phase(callers, seconds=PHASE_S):
    started = time.monotonic()
    time.sleep(seconds)
    return callers.select(started, time.monotonic())


def measure_withdrawal(deployment, fleet, callers, label, seed):
    """Withdraw a zone by configuration and restore it, under constant load."""
    phases = {"before": run_phase(callers)}
    zone = deployment.preset.zones[0]
    deployment.publish(withdrawn=[zone])
    phases["withdrawn"] = run_phase(callers)
    returned_at = time.monotonic()
    deployment.publish()
    phases["returned"] = run_phase(callers)
    for name, records in phases.items():
        yield from report_phase(f"zone_{label}_{name}", records, seed)
    ratio = compute_p95_s(phases["withdrawn"]) / max(
        1e-9, compute_p95_s(phases["before"])
    )
    yield Measure(f"zone_{label}_p95_ratio", ratio, "ratio", seed, MAX_P95_RATIO)
    breaches = [
        breach
        for engine in deployment.engines.values()
        for breach in engine.state.cold_breaches
        if breach.at >= returned_at
    ]
    yield Measure(f"zone_{label}_cold_breaches", len(breaches), "1", seed, 0)


def measure_surge(callers, seed):
    """Add a surge of one customer to the load of quiet customers of two priorities."""
    baseline = run_phase(callers, SURGE_PHASE_S)
    for number in range(SURGE_CALLER_COUNT):
        callers.add(
            "surge",
            NOISY_CUSTOMER,
            ("chat", "long")[number % 2],
            0.0,
            1000 + number,
            2.0,
        )
    time.sleep(2.0)
    surge = run_phase(callers, SURGE_PHASE_S)
    callers.stop("surge")
    for name, customers in (
        ("standard", set(QUIET_CUSTOMERS)),
        ("interactive", {INTERACTIVE_CUSTOMER}),
    ):
        before = [r for r in baseline if r.customer in customers]
        during = [r for r in surge if r.customer in customers]
        yield from report_phase(f"overload_{name}_calm", before, seed)
        yield from report_phase(f"overload_{name}_surge", during, seed)
        ratio = compute_p95_s(during) / max(1e-9, compute_p95_s(before))
        yield Measure(f"overload_{name}_ratio", ratio, "ratio", seed, MAX_P95_RATIO)
    noisy = [r for r in surge if r.customer == NOISY_CUSTOMER]
    served = sum(r.result.whole for r in noisy)
    refused = [r for r in noisy if r.result.kind is ResultKind.NOT_RUN]
    yield Measure("overload_loud_served", served, "1", seed)
    yield Measure("overload_loud_refused_not_run", len(refused), "1", seed)
    # Streams that started too late to end before their deadline.
    interrupted = sum(r.result.kind is ResultKind.CUT for r in noisy)
    yield Measure("overload_loud_cut_at_deadline", interrupted, "1", seed)
    other = len(noisy) - served - len(refused) - interrupted
    yield Measure("overload_loud_other_failures", other, "1", seed, 0)
    # The caller retries a refused call after the pause that the refusal names, so
    # the total time of a call ends when the caller gives up, not at the refusal.
    refusals_s = [s for r in noisy for s in r.result.refusals_s]
    refusal_p95_s = compute_quantile(refusals_s, 0.95)
    yield Measure("overload_refusals", len(refusals_s), "1", seed)
    yield Measure(
        "overload_refused_after_p95", refusal_p95_s, "s", seed, MAX_REFUSAL_DELAY_S
    )
    given_up_p95_s = compute_quantile([r.result.total_s for r in refused], 0.95)
    yield Measure("overload_given_up_after_p95", given_up_p95_s, "s", seed)


def measure_lookup_background(callers, seed):
    """Add a background load of lookups to interactive requests."""
    baseline = run_phase(callers, SURGE_PHASE_S)
    for number in range(2 * len(LOOKUP_CUSTOMERS)):
        customer = LOOKUP_CUSTOMERS[number // 2]
        callers.add("lookups", customer, "lookup", 0.0, 2000 + number)
    time.sleep(2.0)
    during = run_phase(callers, SURGE_PHASE_S)
    callers.stop("lookups")
    interactive = [r for r in during if r.kind != "lookup"]
    lookups = [r for r in during if r.kind == "lookup"]
    yield from report_phase("lookups_interactive_calm", baseline, seed)
    yield from report_phase("lookups_interactive_beside", interactive, seed)
    yield from report_phase("lookups_background", lookups, seed)
    ratio = compute_p95_s(interactive) / max(1e-9, compute_p95_s(baseline))
    yield Measure("lookups_interactive_ratio", ratio, "ratio", seed, MAX_P95_RATIO)


def measure_lookups(seed):
    """Yield the measures of interactive requests while lookups run.

    The engines are those of ``measure_overload``. Both interactive customers have
    large shares and stay within them.
    """
    options = EngineOptions(token_s=0.02)
    preset = replace(FIRST_USER, warm_limit=2, engine_options=options)
    with Deployment(preset, 3.0) as deployment:
        with Fleet(deployment, 3, DEFAULT_TIMINGS) as fleet:
            time.sleep(SETTLE_S)
            callers = CallerThreads(fleet)
            try:
                for number in range(4):
                    customer = INTERACTIVE_CUSTOMERS[number % 2]
                    callers.add("interactive", customer, "chat", 0.4, number)
                time.sleep(3.0)
                yield from measure_lookup_background(callers, seed)
            finally:
                callers.stop()


def measure_overload(seed):
    """Yield the measures of a surge on a few slow engines.

    12 slots of 0.35 s per call serve about 34 short calls per second; a long prompt
    takes up to 0.9 s more. The low rate keeps the load generator itself mostly
    idle. Calls that have not ended at the end of a phase are not counted.
    """
    options = EngineOptions(token_s=0.02)
    preset = replace(FIRST_USER, warm_limit=2, engine_options=options)
    with Deployment(preset, 3.0) as deployment:
        with Fleet(deployment, 3, DEFAULT_TIMINGS) as fleet:
            time.sleep(SETTLE_S)
            callers = CallerThreads(fleet)
            try:
                for number, customer in enumerate(
                    [INTERACTIVE_CUSTOMER, *QUIET_CUSTOMERS]
                ):
                    callers.add("quiet", customer, "chat", 0.4, number)
                time.sleep(3.0)
                yield from measure_surge(callers, seed)
            finally:
                callers.stop()


def measure_zone_change(zone_delay_s, seed):
    """Yield the measures of a zone withdrawal with a network delay between zones."""
    preset = replace(FIRST_USER, zone_delay_s=zone_delay_s)
    with Deployment(preset, 3.0) as deployment:
        with Fleet(deployment, INSTANCE_COUNT, DEFAULT_TIMINGS) as fleet:
            time.sleep(SETTLE_S)
            callers = CallerThreads(fleet)
            try:
                for number, customer in enumerate(QUIET_CUSTOMERS):
                    callers.add("quiet", customer, "chat", 0.1, number)
                time.sleep(3.0)
                label = f"{zone_delay_s * 1000:g}ms"
                yield from measure_withdrawal(deployment, fleet, callers, label, seed)
            finally:
                callers.stop()


__all__ = ["measure_lookups", "measure_overload", "measure_zone_change"]
