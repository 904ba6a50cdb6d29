"""One randomised run: fleet, callers, faults, healing, verdict."""

import threading
import time
from collections import Counter
from dataclasses import replace

from tests.soak.callers import Callers, RecordingCaller
from tests.soak.evidence import Evidence, Violation
from tests.soak.faults import FaultRunner
from tests.soak.judge import NAMES, Judge
from tests.soak.publications import Operators
from tests.soak.schedule import ScheduleMaker
from tests.standins.content import make_message
from tests.standins.deployment import (
    FIRST_USER,
    LEDGER,
    MODEL,
    SHORT_TIMINGS,
    Deployment,
    make_customers,
)
from tests.standins.engine import EngineOptions
from tests.standins.fleet import Fleet, FleetError
from tests.standins.plain_service import ServiceOptions
from tests.standins.results import ResultKind

PRESET = replace(
    FIRST_USER,
    warm_limit=6,
    cold_limit=1,
    # With fewer answers an engine is warm again before its coldness must be known.
    engine_options=EngineOptions(cold_limit=1, warm_after=20),
    service_options=ServiceOptions(delay_s=0.05),
)
TIMINGS = {**SHORT_TIMINGS, "audit_to_stdout": "true"}
INSTANCES = 9
# No guarantee, but a limit on waiting: the guarantees give no time for it.
SERVE_AGAIN_S = 120.0
THREADS_PER_CUSTOMER = 3
TICK_S = 0.02
VIOLATIONS_SHOWN = 5


class StallMeter:
    """Largest delay of a periodic thread, as a measure of the machine's stalls."""

    def __init__(self):
        self.worst_s = 0.0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        while not self._stop.is_set():
            before = time.monotonic()
            time.sleep(TICK_S)
            self.worst_s = max(self.worst_s, time.monotonic() - before - TICK_S)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *details):
        self._stop.set()
        self._thread.join()


class SoakRun:
    """One run of a seed.

    Parameters
    ----------
    seed : int
    seconds : float
        Length of the schedule of faults.
    write : callable, optional
        Takes each line of the report.
    threads : int, optional
        Callers per customer.
    """

    def __init__(self, seed, seconds, write=print, threads=THREADS_PER_CUSTOMER):
        self.seed, self.seconds, self.write = seed, seconds, write
        self.threads = threads
        self.served_again_s = None

    def run(self):
        """Return whether every guarantee held."""
        started = time.monotonic()
        with (
            Deployment(PRESET) as deployment,
            Fleet(deployment, INSTANCES, TIMINGS) as fleet,
            StallMeter() as stalls,
        ):
            evidence, violations = self._run_fleet(deployment, fleet)
            evidence.stall_s = stalls.worst_s
            judge = Judge(evidence, SHORT_TIMINGS)
            violations += judge.judge()
            violations += [
                Violation(10, f"{name} logged a failure: {text[at : at + 1500]}")
                for name, text in evidence.logs.items()
                if (at := text.find("Traceback (most recent")) >= 0
            ]
            judge.checked[10] = INSTANCES + PRESET.customers + PRESET.engines + 3
            violations += [
                Violation(10, f"stand-in failed: {e!r}")
                for e in deployment.get_errors()
            ]
        self._report(evidence, judge, violations, time.monotonic() - started)
        return not violations

    def _run_fleet(self, deployment, fleet):
        operators = Operators(deployment)
        operators.publish()
        schedule = ScheduleMaker(
            self.seed,
            self.seconds,
            fleet.instances,
            PRESET.zones,
            deployment.engines,
            deployment.services,
        ).make()
        runner = FaultRunner(deployment, fleet, operators, schedule)
        callers = Callers(fleet, make_customers(PRESET), self.seed, self.threads)
        started_at = time.monotonic()
        callers.start()
        violations = []
        try:
            runner.run()
            runner.heal_all()
            violations += self._check_service(deployment, fleet)
        except FleetError as error:
            violations.append(Violation(10, str(error)[:2000], time.monotonic()))
        finally:
            stuck = callers.stop()
        violations += [Violation(10, f"caller {name} is stuck") for name in stuck]
        violations += [Violation(10, e) for e in runner.errors]
        violations += [
            Violation(10, f"caller failed: {e}")
            for task in callers.tasks
            for e in task.failures
        ]
        self.callers, self.fleet_breaches = callers, fleet.count_breaches()
        logs = {name: fleet.read_log(name) for name in fleet.instances}
        evidence = Evidence(
            deployment, runner, operators, callers.get_attempts(), logs, started_at
        )
        instances = fleet.instances.values()
        evidence.addresses = {i.id: i.http_address for i in instances}
        evidence.zones = {i.http_address: i.zone for i in instances}
        return evidence, violations

    def _check_service(self, deployment, fleet):
        """Ask through every instance until every upstream has served again."""
        since = time.monotonic()
        end = since + SERVE_AGAIN_S
        missing = {("instance", name) for name in fleet.instances}
        missing |= {("customer", name) for name in make_customers(PRESET)}
        missing |= {("upstream", name) for name in deployment.get_upstreams()}
        turn = 0
        while missing and time.monotonic() < end:
            for customer in make_customers(PRESET):
                turn += 1
                served = self._ask_all(fleet, customer, turn)
                missing -= served
            for name, upstream in deployment.get_upstreams().items():
                if upstream.ledger.get_started_after(since):
                    missing.discard(("upstream", name))
        self.served_again_s = time.monotonic() - since
        return [
            Violation(
                10, f"{kind} {name} does not serve {SERVE_AGAIN_S} s after healing"
            )
            for kind, name in sorted(missing)
        ]

    def _ask_all(self, fleet, customer, turn):
        """Return what has served a chat, a payout and a quote of a customer."""
        caller = RecordingCaller(fleet.get_addresses, customer, seed=turn)
        caller.tag = chat = f"again-{customer}-{turn}"
        message = {"role": "user", "content": make_message(customer, chat, turn)}
        whole = [caller.chat(MODEL, chat, [message])]
        body = f'{{"tag": "{chat}"}}'.encode()
        instance = list(fleet.instances.values())[turn % len(fleet.instances)]
        for path, idempotent in (("/payouts", False), ("/quotes", True)):
            address = instance.http_address
            result = caller.call_service(
                LEDGER, "POST", path, body, idempotent, address=address
            )
            whole.append(result)
        served = {("customer", customer)} if all(r.whole for r in whole) else set()
        if all(r.whole and r.instance == instance.id for r in whole[1:]):
            served.add(("instance", instance.id))
        return served

    def _report(self, evidence, judge, violations, took_s):
        by_guarantee = Counter(v.guarantee for v in violations)
        for violation in violations[:VIOLATIONS_SHOWN]:
            name = NAMES[violation.guarantee]
            self.write(
                f"BREACH seed {self.seed}, {self.seconds} s: {name}: {violation.text}"
            )
            evidence.print_trace(violation, self.write)
        self.write(
            f"seed {self.seed}, {self.seconds} s of faults, {took_s:.0f} s in all, "
            f"{len(evidence.runner.spans)} faults, worst stall {evidence.stall_s:.2f} s"
        )
        for number, name in NAMES.items():
            count, checked = by_guarantee[number], judge.checked[number]
            self.write(f"  {number:2} {name}: {checked} checked, {count} breached")
        if self.served_again_s is not None:
            self.write(f"  everything served {self.served_again_s:.1f} s after healing")
        self.write(f"  slowest revision in force after {judge.slowest_s:.2f} s")
        exits = evidence.runner.exits
        drain_s = max((ended - asked for _, asked, ended, _ in exits), default=0.0)
        self.write(f"  slowest graceful shutdown took {drain_s:.1f} s")
        late = len(judge.load.late_sends)
        self.write(f"  allowed late sends of paused instances: {late}")
        counted = {**evidence.runner.breaches_seen, **self.fleet_breaches}
        self.write(f"  invariant_breaches counters: {counted or 'none'}")
        errors = Counter(a.error_type for a in evidence.attempts if a.error_type)
        self.write(f"  errors of attempts: {dict(errors.most_common())}")
        results = self.callers.count("results")
        total = max(1, sum(results.values()))
        shares = ", ".join(
            f"{kind.value} {100 * results[kind] / total:.2f}%" for kind in ResultKind
        )
        self.write(f"  {total} calls {dict(self.callers.count('kinds'))}: {shares}")
