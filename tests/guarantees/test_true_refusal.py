"""Tests that a request refused as ``not_run`` never runs, by the upstreams' ledgers."""

import random
import threading
import time
from collections import Counter
from dataclasses import replace

from tests.guarantees.fleet_case import PRESET, TIMEOUT_S, FleetCase, run_concurrently
from tests.selection import long_run
from tests.standins.deployment import LEDGER
from tests.standins.faults import Fault
from tests.standins.plain_service import ServiceOptions
from tests.standins.results import ResultKind

SEED = 20261204
CALLERS = 16
# Low limits and slow services make requests wait, so that some are refused.
PRESET_LIMITED = replace(
    PRESET, warm_limit=4, service_options=ServiceOptions(delay_s=0.02)
)


class RefusalCase(FleetCase):
    """Checks every answer, including those after which the caller tries again."""

    preset = PRESET_LIMITED

    def setUp(self):
        super().setUp()
        self.lock = threading.Lock()
        self.answers, self.refused = Counter(), set()
        self.false_refusals, self.repeatable = [], []

    def make_caller(self, *arguments, **options):
        caller = super().make_caller(*arguments, **options)
        attempt = caller._attempt

        def attempt_and_record(call, address):
            return self.record_answer(attempt(call, address), call)

        caller._attempt = attempt_and_record
        return caller

    def record_answer(self, result, call):
        """Count an answer; record a ``not_run`` whose request has already started.

        An answer that redirects to another instance (``moved``) is not a refusal.
        """
        answered = result.error_type is not None or result.whole
        kind = result.kind.value if answered else "no answer"
        kind = "moved" if result.error_type == "moved" else kind
        key = call.request_id or result.request_id
        with self.lock:
            self.answers[kind] += 1
            if key is not None and result.status:
                self.sent.add(key)
            if result.error_type is None or result.kind is not ResultKind.NOT_RUN:
                return result
            self.refused.add(key)
            if call.request_id and result.error_type != "request_id_reused":
                self.repeatable.append((key, call.path.rpartition("/")[2]))
        if key is not None and key in self.find_started_ids():
            self.false_refusals.append((key, result.error_type))
        return result

    def find_started_ids(self):
        """Return the ids of the requests that any upstream has started."""
        upstreams = self.deployment.get_upstreams().values()
        return {e.key for upstream in upstreams for e in upstream.ledger.get_entries()}

    def assert_true_refusals(self):
        """Assert that no refused request ran, before its refusal or after it."""
        self.wait_idle()
        self.assertEqual(self.false_refusals, [])
        self.assertEqual(self.refused & self.find_started_ids(), set())
        self.assert_at_most_once()
        kinds = (ResultKind.NOT_RUN.value, ResultKind.OUTCOME_UNKNOWN.value)
        total = sum(self.answers[kind] for kind in kinds)
        shares = {k: f"{self.answers[k] / max(1, total):.0%}" for k in kinds}
        print(f"\n{dict(self.answers)}; refusals: {shares}", flush=True)

    def call_random(self, caller, rng, tag):
        """Make a call of a random kind and return its final result."""
        kind = rng.randrange(5)
        name = rng.choice(self.ids)
        if kind == 0:
            return self.chat(caller, tag)
        if kind == 1:
            path = f"/archive/{tag}"
            return caller.call_service(LEDGER, "GET", path, idempotent=True)
        if kind == 2:
            return caller.call_service(LEDGER, "POST", "/quotes", b"1", True)
        request_id = caller.take_request_id(LEDGER)
        path = "/payouts" if kind == 3 else "/bookings"
        if request_id is None:
            address = self.fleet.instances[name].http_address
            return caller.call_service(LEDGER, "POST", path, b"", True, None, address)
        return self.send_non_idempotent(caller, request_id, name, path=path)

    def run_while(self, operate, work):
        """Run ``work(number, turn)`` repeatedly until ``operate()`` returns."""
        ended = threading.Event()

        def run(number):
            if number == 0:
                try:
                    return operate()
                finally:
                    ended.set()
            results = []
            while not ended.is_set():
                results.append(work(number, len(results)))
            return results

        _, *parts = run_concurrently(CALLERS + 1, run)
        return [result for part in parts for result in part]


class NoFaultTest(RefusalCase):
    """Guards against an unknown outcome that no fault explains."""

    def test_load_and_operators_without_a_fault(self):
        rngs = [random.Random(f"{SEED}.{n}") for n in range(CALLERS + 1)]
        callers = [
            self.make_caller(n, f"customer-{n % 10}", 6) for n in range(CALLERS + 1)
        ]
        begun = threading.Semaphore(0)

        def work(number, turn):
            begun.release()
            tag = f"{number}-{turn}"
            return self.call_random(callers[number], rngs[number], tag)

        def operate():
            for _ in range(CALLERS * 10):
                self.assertTrue(begun.acquire(timeout=TIMEOUT_S))
            zone = self.deployment.preset.zones[1]
            self.publish_everywhere(withdrawn=[zone])
            # Instances of a withdrawn zone answer `moved` once the time for which
            # callers keep addresses has passed.
            name = self.fleet.get_zone(zone)[0]
            caller = self.make_caller(deadline_s=1.0)
            self.fleet.wait_until(
                lambda: (
                    self.send_non_idempotent(caller, None, name).error_type == "moved"
                ),
                TIMEOUT_S,
                "the withdrawn zone answers moved",
            )
            self.publish_everywhere()
            self.make_caller(customer="nobody").call_service(
                LEDGER,
                "GET",
                "/archive/1",
                idempotent=True,
                address=self.fleet.get_addresses()[0],
            )

        results = self.run_while(operate, work)
        self.assert_true_refusals()
        self.assertGreaterEqual(len(results), CALLERS * 10)
        unknown = [r for r in results if r.kind is not ResultKind.WHOLE]
        self.assertGreater(self.answers["not_run"], 0)
        self.assertEqual(self.answers["outcome_unknown"], 0, unknown)
        self.assertEqual(self.answers["no answer"], 0, unknown)


class RefusalUnderFaultsTest(RefusalCase):
    """Guards against ``not_run`` for a request that ran or runs later."""

    @long_run
    def test_refusals_under_faults(self):
        print(f"\nseed {SEED}", flush=True)
        rngs = [random.Random(f"{SEED}.{n}") for n in range(CALLERS + 1)]

        def work(number, turn):
            rng = rngs[number]
            limits = {"deadline_s": rng.choice((0.05, 0.3, 2.0)), "timeout_s": 4.0}
            caller = self.make_caller(number, **limits)
            if self.repeatable and rng.random() < 0.2:
                # A refused id must be refused by every instance.
                old, path = rng.choice(self.repeatable)
                return self.send_non_idempotent(
                    caller, old, rng.choice(self.ids), path=f"/{path}"
                )
            return self.call_random(caller, rng, f"{number}-{turn}")

        def operate():
            order = [
                self.stop_services,
                self.refuse_requests,
                self.silence_services,
                self.withdraw_zone,
            ]
            order += [self.shut_down, self.freeze, self.kill]
            rngs[0].shuffle(order)
            for fault in order:
                fault(rngs[0])

        self.run_while(operate, work)
        self.clear_faults()
        self.assert_true_refusals()
        self.assertGreater(self.answers["not_run"], 0)

    def stop_services(self, rng):
        for service in self.deployment.services.values():
            service.stop_listening()
        time.sleep(1.0)
        for service in self.deployment.services.values():
            service.start()

    def fault_services_briefly(self, fault):
        for service in self.deployment.services.values():
            service.faults.set(fault)
        time.sleep(0.5)
        self.clear_faults()

    def refuse_requests(self, rng):
        self.fault_services_briefly(Fault.REFUSE)

    def silence_services(self, rng):
        self.fault_services_briefly(Fault.SILENT_AFTER_EXECUTION)

    def withdraw_zone(self, rng):
        self.publish_everywhere(withdrawn=[rng.choice(self.deployment.preset.zones)])
        time.sleep(1.0)
        self.publish_everywhere()

    def shut_down(self, rng):
        name = rng.choice(self.ids)
        self.assertEqual(self.fleet.terminate(name), 0)
        self.fleet.restart(name)

    def freeze(self, rng):
        name = rng.choice(self.ids)
        self.fleet.freeze(name)
        time.sleep(2.0)
        self.fleet.thaw(name)

    def kill(self, rng):
        name = rng.choice(self.ids)
        self.fleet.kill(name)
        self.fleet.restart(name)

    @long_run
    def test_frozen_instance_wakes_with_requests_in_hand(self):
        owner, ids = self.obtain_request_ids(40)
        others = [name for name in self.ids if name != owner]
        for service in self.deployment.services.values():
            service.faults.set(Fault.SILENT)
        deadline_s = 2.5

        def work(number):
            if number < len(ids):
                caller = self.make_caller(timeout_s=TIMEOUT_S, deadline_s=deadline_s)
                return self.send_non_idempotent(caller, ids[number], owner)
            # Freeze while some requests run and the others wait for slots.
            self.fleet.wait_until(
                lambda: self.find_started_ids() & set(ids), TIMEOUT_S, "a request runs"
            )
            self.fleet.freeze(owner)
            time.sleep(deadline_s + 0.5)
            self.clear_faults()
            for request_id in ids:
                caller = self.make_caller(timeout_s=4.0, deadline_s=1.0)
                self.send_non_idempotent(caller, request_id, others[0])
            self.fleet.thaw(owner)
            return None

        run_concurrently(len(ids) + 1, work)
        refused_ids = self.refused.copy()
        self.assertGreater(len(refused_ids), 0)
        self.wait_all_live()
        for request_id in sorted(refused_ids):
            self.assertIs(
                self.send_non_idempotent(
                    self.make_caller(), request_id, others[0]
                ).kind,
                ResultKind.NOT_RUN,
            )
        self.assert_true_refusals()
