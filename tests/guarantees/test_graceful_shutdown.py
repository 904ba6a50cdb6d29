"""Tests that a graceful shutdown neither cuts nor refuses servable requests."""

import threading

from tests.guarantees.fleet_case import TIMEOUT_S, FleetCase, run_concurrently
from tests.selection import long_run
from tests.standins.deployment import LEDGER
from tests.standins.results import count_kinds

STREAM_CALLERS, SERVICE_CALLERS = 8, 8
# A stream takes about three times as long as callers keep an address (short timings).
STREAM_TOKENS = 300
# Number of ids issued before the shutdown that are used only after it.
IDS_USED_AFTERWARDS = 10


class GracefulShutdownTest(FleetCase):
    """Guards against requests that are lost when an instance is replaced."""

    @long_run
    def test_rolling_restart_of_all_instances(self):
        ended = threading.Event()
        engines = self.deployment.engines.values()
        before = {engine: len(engine.ledger.get_entries()) for engine in engines}

        def work(number):
            if number == 0:
                try:
                    return [self.replace_instance(name) for name in self.ids]
                finally:
                    ended.set()
            caller = self.make_caller(number, f"customer-{number % 10}", 6)
            results = []
            while not ended.is_set():
                call = self.stream if number <= STREAM_CALLERS else self.call_service
                results.append(call(caller, f"{number}-{len(results)}"))
            return results

        codes, *parts = run_concurrently(1 + STREAM_CALLERS + SERVICE_CALLERS, work)
        results = [result for part in parts for result in part]
        self.fleet.wait_ready()
        self.wait_idle()
        lost = [result for result in results if not result.whole]
        kinds = {kind.value: n for kind, n in count_kinds(results).items() if n}
        moved = sum(len(result.instances_tried) > 1 for result in results)
        print(f"\n{kinds}, {moved} at a second address", flush=True)
        self.assertEqual(codes, [0] * len(self.ids))
        self.assertEqual(lost, [])
        self.assertGreater(len(results), len(self.ids) * STREAM_CALLERS)
        # No stream was interrupted and resumed unnoticed by its caller.
        ends = {
            (entry.result, entry.resume_from)
            for engine in engines
            for entry in engine.ledger.get_entries()[before[engine] :]
        }
        self.assertEqual(ends, {("completed", 0)})
        self.assert_at_most_once()

    def replace_instance(self, name):
        """Shut an instance down and restart it; the previous one may still start."""
        code = self.fleet.terminate(name)
        self.fleet.wait_ready(set(self.ids) - {name})
        self.fleet.restart(name, wait=False)
        return code

    def stream(self, caller, tag):
        return self.chat(caller, tag, tokens=STREAM_TOKENS)

    def call_service(self, caller, tag):
        body = f'{{"tag": "{tag}"}}'.encode()
        request_id = caller.take_request_id(LEDGER)
        self.sent.add(request_id)
        return caller.call_service(LEDGER, "POST", "/payouts", body, False, request_id)

    def test_ids_issued_before_the_shutdown(self):
        """Guards against refusing requests whose owner is draining a long stream."""
        owner, ids = self.obtain_request_ids(40)
        address = self.fleet.instances[owner].http_address
        begun, drained = threading.Event(), threading.Event()

        def stream(caller):
            caller._find_address = lambda call: (None, address)
            begun.set()
            return self.chat(caller, "long", tokens=STREAM_TOKENS * 3)

        def work(number):
            caller = self.make_caller(number, attempts=6)
            if number == 0:
                return stream(caller)
            if number == 1:
                begun.wait()
                code = self.fleet.terminate(owner)
                drained.set()
                return code
            results = []
            for request_id in ids[number::2]:
                begun.wait()
                # The last ids are used after the owner has ended.
                after = request_id in ids[-IDS_USED_AFTERWARDS:]
                drained.wait(TIMEOUT_S if after else 0.25)
                self.sent.add(request_id)
                results.append(
                    caller.call_service(
                        LEDGER, "POST", "/payouts", b"", False, request_id
                    )
                )
            return results

        streamed, code, *parts = run_concurrently(4, work)
        results = [result for part in parts for result in part]
        kinds = {kind.value: n for kind, n in count_kinds(results).items() if n}
        print(f"\n{kinds}", flush=True)
        self.assertEqual((streamed.whole, code), (True, 0))
        self.assertEqual([r for r in results if not r.whole], [])
        self.assert_at_most_once()
