"""Tests that a non-idempotent request runs at most once, by the services' ledgers."""

import contextlib
import random
import threading
from collections import Counter
from dataclasses import replace

from tests.guarantees.fleet_case import (
    PRESET,
    TIMEOUT_S,
    FleetCase,
    count_executions,
    run_concurrently,
)
from tests.selection import long_run
from tests.standins.deployment import LEDGER, make_configuration
from tests.standins.faults import Fault
from tests.standins.fleet import FleetError
from tests.standins.plain_service import ServiceOptions

SEED = 20261204
SCHEDULE_REQUESTS = 1000
SCHEDULE_THREADS = 24
FAULT_ROUNDS = 2
# Longer than a repeat takes to reach its owner, so that repeats arrive while the
# request runs.
SLOW_SERVICE = ServiceOptions(delay_s=0.05)


class AtMostOnceTest(FleetCase):
    """Guards against a second run of a request that is repeated under faults."""

    preset = replace(PRESET, service_options=SLOW_SERVICE)

    def set_service_fault(self, fault, count=None):
        for service in self.deployment.services.values():
            service.faults.set(fault, count=count)

    def wait_started(self, ids, count=1):
        """Wait until the services have started ``count`` of the requests ``ids``."""

        def begun():
            runs = count_executions(self.deployment)
            return sum(runs[x] > 0 for x in ids) >= count

        self.fleet.wait_until(begun, TIMEOUT_S, f"{count} of {len(ids)} requests run")

    def send_repeats(self, ids, names, meanwhile=None, **options):
        """Send each id to each instance concurrently, and run ``meanwhile`` as well.

        Returns
        -------
        list of CallResult
        """
        jobs = [(x, name) for x in ids for name in names]

        def work(number):
            if number == len(jobs):
                return meanwhile() if meanwhile else None
            return self.send_non_idempotent(
                self.make_caller(number, **options), *jobs[number]
            )

        return run_concurrently(len(jobs) + 1, work)[:-1]

    def assert_same_answers(self, results):
        """Assert complete answers that are equal for all repeats of a request."""
        self.assertEqual({(r.kind.value, r.detail) for r in results}, {("whole", "")})
        by_id = {}
        for result in results:
            by_id.setdefault(result.request_id, set()).add(
                (result.upstream, result.body)
            )
        self.assertTrue(all(len(seen) == 1 for seen in by_id.values()), by_id)

    def test_repeats_to_every_instance_at_once(self):
        _, ids = self.obtain_request_ids(3)
        results = self.send_repeats(ids, self.ids)
        runs = self.assert_at_most_once()
        self.assertEqual([runs[x] for x in ids], [1, 1, 1])
        self.assert_same_answers(results)

    def test_owner_killed_in_the_middle(self):
        owner, ids = self.obtain_request_ids(4)
        others = [name for name in self.ids if name != owner]
        # The services never answer, so that no request completes before the kill.
        self.set_service_fault(Fault.SILENT_AFTER_EXECUTION)

        def kill():
            self.wait_started(ids)
            self.fleet.kill(owner)

        results = self.send_repeats(ids, others[:4], kill)
        self.clear_faults()
        # Repeat after the members see the loss, and after the owner has restarted.
        self.wait_live_members(others, others)
        results += self.send_repeats(ids, others[:2])
        self.fleet.restart(owner)
        self.wait_all_live()
        results += self.send_repeats(ids, [owner, others[0]])
        self.assert_at_most_once()
        self.assertEqual({r.kind.value for r in results}, {"outcome_unknown"})

    def test_owner_frozen_beyond_every_timeout_and_woken(self):
        owner, ids = self.obtain_request_ids(12)
        others = [name for name in self.ids if name != owner]
        limits = {"timeout_s": 3.0, "deadline_s": 2.5}
        self.set_service_fault(Fault.SLOW)

        def freeze():
            self.wait_started(ids[:6], 3)
            self.fleet.freeze(owner)

        # Half of the requests run when the owner is frozen; the others wait in its
        # socket buffers until it resumes.
        self.send_repeats(ids[:6], others[:2], freeze, **limits)
        self.send_repeats(ids[6:], [owner, others[0]], **limits)
        self.wait_live_members(others, others)
        self.clear_faults()
        self.send_repeats(ids, others[:2], **limits)
        self.fleet.thaw(owner)
        self.wait_all_live()
        self.send_repeats(ids, [owner, others[0]])
        self.assert_at_most_once()

    @long_run
    def test_partition_with_both_sides_serving(self):
        left = [
            n for z in self.deployment.preset.zones[:1] for n in self.fleet.get_zone(z)
        ]
        right = [name for name in self.ids if name not in left]
        _, ids = self.obtain_request_ids(6, without=right)
        _, other_ids = self.obtain_request_ids(6, without=left)
        self.fleet.cut(left, right)
        self.wait_live_members(left, left)
        self.wait_live_members(right, right)
        crossing = self.send_repeats(ids, right[:2]) + self.send_repeats(
            other_ids, left[:2]
        )
        inside = self.send_repeats(ids, left) + self.send_repeats(other_ids, right[:3])
        self.fleet.heal()
        self.wait_all_live()
        healed = self.send_repeats(ids + other_ids, [left[0], right[0]])
        runs = self.assert_at_most_once()
        self.assertEqual({r.kind.value for r in crossing}, {"outcome_unknown"})
        self.assert_same_answers(inside + healed)
        self.assertEqual({runs[x] for x in ids + other_ids}, {1})

    def test_upstream_silent_after_executing(self):
        _, ids = self.obtain_request_ids(3)
        for fault in (Fault.SILENT_AFTER_EXECUTION, Fault.CLOSE_BEFORE_ANSWER):
            self.set_service_fault(fault)
            results = self.send_repeats(ids, self.ids[:3])
            self.assertEqual({r.kind.value for r in results}, {"outcome_unknown"})
        self.clear_faults()
        results = self.send_repeats(ids, self.ids[:3])
        runs = self.assert_at_most_once()
        self.assertEqual({r.kind.value for r in results}, {"outcome_unknown"})
        self.assertEqual({runs[x] for x in ids}, {1})

    def test_graceful_shutdown_with_handover_during_repeats(self):
        owner, ids = self.obtain_request_ids(24)
        others = [name for name in self.ids if name != owner]
        first = self.send_repeats(ids[:4], others[:2])
        stopped = threading.Event()

        def shut_down():
            code = self.fleet.terminate(owner)
            stopped.set()
            return code

        def work(number):
            if number == 0:
                return shut_down()
            caller, results = self.make_caller(number), []
            while not stopped.is_set():
                request_id = ids[len(results) * 7 % len(ids)]
                name = others[(number + len(results)) % len(others)]
                results.append(self.send_non_idempotent(caller, request_id, name))
            return results

        code, *during = run_concurrently(9, work)
        self.wait_live_members(others, others)
        after = self.send_repeats(ids, others[:2])
        runs = self.assert_at_most_once()
        self.assertEqual(code, 0)
        self.assertGreater(sum(map(len, during)), len(ids))
        # The successor answers the requests that the leaving instance ran.
        self.assert_same_answers(first + [r for r in after if r.request_id in ids[:4]])
        self.assertEqual({runs[x] for x in ids[:4]}, {1})

    def test_class_of_the_operation_changes_meanwhile(self):
        _, ids = self.obtain_request_ids(6)
        self.set_service_fault(Fault.SLOW)

        def change():
            self.wait_started(ids[:3])
            self.publish_idempotency(idempotent=True)

        results = self.send_repeats(ids[:3], self.ids[:4], change)
        self.clear_faults()
        results += self.send_repeats(ids[:3], self.ids)
        self.publish_idempotency(idempotent=False)
        results += self.send_repeats(ids, self.ids[:4])
        runs = self.assert_at_most_once()
        self.assert_same_answers(results)
        self.assertEqual({runs[x] for x in ids}, {1})

    def publish_idempotency(self, idempotent):
        """Publish whether payouts are idempotent and wait until it is in force."""
        sections = make_configuration(self.deployment.preset)
        for template in sections["templates"].values():
            operations = template["services"][LEDGER]["operations"]
            operations[0]["idempotent"] = idempotent
        self.wait_revision(self.deployment.configuration.publish(sections))

    @long_run
    def test_random_schedule(self):
        """Guards against a second run under faults in random order."""
        print(f"\nseed {SEED}", flush=True)
        self.issued, self.count, self.lock = [], 0, threading.Lock()
        self.ended = threading.Event()
        tasks = [
            [self.kill, self.freeze, self.shut_down] * FAULT_ROUNDS,
            [self.cut, self.fail_services, self.drop_datagrams] * FAULT_ROUNDS,
        ]
        running = [len(tasks)]

        def work(number):
            rng = random.Random(f"{SEED}.{number}")
            if number >= len(tasks):
                return self.call_randomly(rng, number)
            try:
                return self.run_faults(rng, tasks[number])
            finally:
                with self.lock:
                    running[0] -= 1
                    if not running[0]:
                        self.ended.set()

        _, _, *results = run_concurrently(SCHEDULE_THREADS + len(tasks), work)
        kinds = Counter(kind for part in results for kind in part)
        runs = self.assert_at_most_once()
        print(f"{len(runs)} ids ran; results {dict(kinds)}", flush=True)
        self.assertGreaterEqual(sum(kinds.values()), SCHEDULE_REQUESTS)
        self.assertGreater(len(runs), SCHEDULE_REQUESTS // 10)

    def call_randomly(self, rng, number):
        """Send new ids and repeats of all callers' ids to random instances."""
        caller, kinds = self.make_caller(number, timeout_s=4.0, deadline_s=8.0), []
        # On a slow machine the faults may end before enough requests were sent.
        while not self.ended.is_set() or self.count < SCHEDULE_REQUESTS:
            old = rng.choice(self.issued) if self.issued else None
            request_id = old if rng.random() < 0.6 else None
            request_id = request_id or caller.take_request_id(LEDGER)
            if request_id is None:
                continue
            with self.lock:
                self.issued = [*self.issued[-200:], request_id]
                self.count += 1
            result = self.send_non_idempotent(caller, request_id, rng.choice(self.ids))
            kinds.append(result.kind.value)
        return kinds

    def run_faults(self, rng, faults):
        rng.shuffle(faults)
        for fault in faults:
            fault(rng)
            self.ended.wait(rng.uniform(0.0, 0.3))

    def kill(self, rng):
        name = rng.choice(self.ids)
        self.fleet.kill(name)
        self.ended.wait(rng.uniform(0.0, 1.5))
        self.fleet.restart(name)

    def freeze(self, rng):
        name = rng.choice(self.ids)
        self.fleet.freeze(name)
        self.ended.wait(rng.uniform(0.3, 3.0))
        self.fleet.thaw(name)

    def shut_down(self, rng):
        name = rng.choice(self.ids)
        self.fleet.terminate(name)
        self.fleet.restart(name)

    def cut(self, rng):
        left = rng.sample(self.ids, rng.randint(1, 4))
        right = [name for name in self.ids if name not in left]
        self.send_network_commands("cut", [(a, b) for a in left for b in right])
        self.send_network_commands("cut", [(b, a) for a in left for b in right])
        self.ended.wait(rng.uniform(0.5, 2.0))
        self.send_network_commands("heal", [(name, None) for name in self.ids])

    def drop_datagrams(self, rng):
        self.send_network_commands("loss", [(name, None) for name in self.ids], 0.3)
        self.ended.wait(rng.uniform(0.5, 2.0))
        self.send_network_commands("heal", [(name, None) for name in self.ids])

    def send_network_commands(self, op, pairs, value=None):
        """Send a network command for each pair, except to instances that are down."""
        for name, target in pairs:
            if self.fleet.instances[name] in self.fleet.get_running():
                host = target and self.fleet.instances[target].host
                with contextlib.suppress(FleetError):
                    self.fleet.order(name, op, host, value)

    def fail_services(self, rng):
        faults = (Fault.SILENT_AFTER_EXECUTION, Fault.CLOSE_BEFORE_ANSWER)
        faults += (Fault.TRUNCATED, Fault.CROSSED, Fault.REFUSE)
        self.set_service_fault(rng.choice(faults), count=rng.randint(1, 10))
        self.ended.wait(rng.uniform(0.1, 1.0))
        self.clear_faults()
