"""One randomised run: fleet, callers, faults, recovery, checks and report."""

import threading
import time
from collections import Counter
from dataclasses import replace

from tests.soak.callers import CallerPool, RecordingCaller
from tests.soak.checker import GUARANTEE_NAMES, GuaranteeChecker
from tests.soak.faults import FaultInjector
from tests.soak.history import RunHistory, Violation
from tests.soak.publisher import ConfigurationPublisher
from tests.soak.schedule import ScheduleGenerator
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
    # After fewer answers, an engine would be warm again before homes must know
    # that it is cold.
    engine_options=EngineOptions(cold_limit=1, warm_after=20),
    service_options=ServiceOptions(delay_s=0.05),
)
TIMINGS = {**SHORT_TIMINGS, "audit_to_stdout": "true"}
INSTANCE_COUNT = 9
# Limits the wait for recovery only; no guarantee states a time for it.
RECOVERY_LIMIT_S = 120.0
THREADS_PER_CUSTOMER = 3
STALL_SAMPLE_INTERVAL_S = 0.02
VIOLATIONS_SHOWN_MAX = 5


class StallMeter:
    """Measures stalls of the machine as the largest delay of a periodic thread."""

    def __init__(self):
        self.worst_s = 0.0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        while not self._stop.is_set():
            before = time.monotonic()
            time.sleep(STALL_SAMPLE_INTERVAL_S)
            self.worst_s = max(
                self.worst_s, time.monotonic() - before - STALL_SAMPLE_INTERVAL_S
            )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *details):
        self._stop.set()
        self._thread.join()


class SoakRun:
    """Soak test with one seed.

    Parameters
    ----------
    seed : int
        Determines the schedule of faults and the choices of the callers.
    seconds : float
        Length of the schedule of faults.
    write : callable, optional
        Called with each line of the report.
    threads : int, optional
        Callers per customer.
    """

    def __init__(self, seed, seconds, write=print, threads=THREADS_PER_CUSTOMER):
        self.seed, self.seconds, self.write = seed, seconds, write
        self.threads = threads
        self.recovery_s = None

    def run(self):
        """Return whether every guarantee held."""
        started = time.monotonic()
        with (
            Deployment(PRESET) as deployment,
            Fleet(deployment, INSTANCE_COUNT, TIMINGS) as fleet,
            StallMeter() as stalls,
        ):
            history, violations = self._run_fleet(deployment, fleet)
            history.stall_s = stalls.worst_s
            checker = GuaranteeChecker(history, SHORT_TIMINGS)
            violations += checker.check()
            violations += [
                Violation(10, f"{name} logged a failure: {text[at : at + 1500]}")
                for name, text in history.logs.items()
                if (at := text.find("Traceback (most recent")) >= 0
            ]
            checker.checked[10] = INSTANCE_COUNT + PRESET.customers + PRESET.engines + 3
            violations += [
                Violation(10, f"stand-in failed: {e!r}")
                for e in deployment.get_errors()
            ]
        self._write_report(history, checker, violations, time.monotonic() - started)
        return not violations

    def _run_fleet(self, deployment, fleet):
        publisher = ConfigurationPublisher(deployment)
        publisher.publish()
        schedule = ScheduleGenerator(
            self.seed,
            self.seconds,
            fleet.instances,
            PRESET.zones,
            deployment.engines,
            deployment.services,
        ).generate()
        injector = FaultInjector(deployment, fleet, publisher, schedule)
        callers = CallerPool(fleet, make_customers(PRESET), self.seed, self.threads)
        started_at = time.monotonic()
        callers.start()
        violations = []
        try:
            injector.run()
            injector.heal_all()
            violations += self._check_recovery(deployment, fleet)
        except FleetError as error:
            violations.append(Violation(10, str(error)[:2000], time.monotonic()))
        finally:
            stuck = callers.stop()
        violations += [Violation(10, f"caller {name} did not stop") for name in stuck]
        violations += [Violation(10, e) for e in injector.errors]
        violations += [
            Violation(10, f"caller failed: {e}")
            for worker in callers.workers
            for e in worker.failures
        ]
        self.callers, self.fleet_invariant_breaches = callers, fleet.count_breaches()
        logs = {name: fleet.read_log(name) for name in fleet.instances}
        history = RunHistory(
            deployment, injector, publisher, callers.get_attempts(), logs, started_at
        )
        instances = fleet.instances.values()
        history.addresses_by_instance = {i.id: i.http_address for i in instances}
        history.zones_by_address = {i.http_address: i.zone for i in instances}
        return history, violations

    def _check_recovery(self, deployment, fleet):
        """Send requests until all instances, customers and upstreams have served again.

        Returns
        -------
        list of Violation
            One for each that has not served within the limit.
        """
        since = time.monotonic()
        end = since + RECOVERY_LIMIT_S
        missing = {("instance", name) for name in fleet.instances}
        missing |= {("customer", name) for name in make_customers(PRESET)}
        missing |= {("upstream", name) for name in deployment.get_upstreams()}
        round_number = 0
        while missing and time.monotonic() < end:
            for customer in make_customers(PRESET):
                round_number += 1
                served = self._request_all(fleet, customer, round_number)
                missing -= served
            for name, upstream in deployment.get_upstreams().items():
                if upstream.ledger.get_started_after(since):
                    missing.discard(("upstream", name))
        self.recovery_s = time.monotonic() - since
        return [
            Violation(
                10, f"{kind} {name} does not serve {RECOVERY_LIMIT_S} s after healing"
            )
            for kind, name in sorted(missing)
        ]

    def _request_all(self, fleet, customer, round_number):
        """Request a chat, a payout and a quote; return what served them.

        The result holds the customer if all three succeeded, and the instance if
        it answered both service calls.
        """
        caller = RecordingCaller(fleet.get_addresses, customer, seed=round_number)
        caller.tag = chat = f"again-{customer}-{round_number}"
        message = {
            "role": "user",
            "content": make_message(customer, chat, round_number),
        }
        whole = [caller.chat(MODEL, chat, [message])]
        body = f'{{"tag": "{chat}"}}'.encode()
        instance = list(fleet.instances.values())[round_number % len(fleet.instances)]
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

    def _write_report(self, history, checker, violations, took_s):
        by_guarantee = Counter(v.guarantee for v in violations)
        for violation in violations[:VIOLATIONS_SHOWN_MAX]:
            name = GUARANTEE_NAMES[violation.guarantee]
            self.write(
                f"BREACH seed {self.seed}, {self.seconds} s: {name}: {violation.text}"
            )
            history.print_trace(violation, self.write)
        self.write(
            f"seed {self.seed}, {self.seconds} s of faults, {took_s:.0f} s in all, "
            f"{len(history.injector.spans)} faults, longest stall "
            f"{history.stall_s:.2f} s"
        )
        for number, name in GUARANTEE_NAMES.items():
            count, checked = by_guarantee[number], checker.checked[number]
            self.write(f"  {number:2} {name}: {checked} checked, {count} breached")
        if self.recovery_s is not None:
            self.write(
                f"  all instances, customers and upstreams served "
                f"{self.recovery_s:.1f} s after healing"
            )
        self.write(
            f"  slowest revision in force after {checker.slowest_in_force_s:.2f} s"
        )
        shutdowns = history.injector.shutdowns
        drain_s = max(
            (ended - requested for _, requested, ended, _ in shutdowns), default=0.0
        )
        self.write(f"  slowest graceful shutdown took {drain_s:.1f} s")
        late = len(checker.load_checker.allowed_late_sends)
        self.write(f"  allowed late sends of frozen instances: {late}")
        counted = {
            **history.injector.invariant_breaches,
            **self.fleet_invariant_breaches,
        }
        self.write(f"  invariant_breaches counters: {counted or 'none'}")
        errors = Counter(a.error_type for a in history.attempts if a.error_type)
        self.write(f"  errors of attempts: {dict(errors.most_common())}")
        results = self.callers.sum_counts("result_counts")
        total = max(1, sum(results.values()))
        shares = ", ".join(
            f"{kind.value} {100 * results[kind] / total:.2f}%" for kind in ResultKind
        )
        self.write(
            f"  {total} calls {dict(self.callers.sum_counts('call_counts'))}: {shares}"
        )
