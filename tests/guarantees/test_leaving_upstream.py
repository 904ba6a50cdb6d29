"""Tests that a leaving upstream gets no new work 5 s after the list shows it."""

import time
from dataclasses import replace

from tests.guarantees.load_case import TIMEOUT_S, LoadCase
from tests.selection import long_run
from tests.standins.deployment import FIRST_USER
from tests.standins.engine import EngineOptions
from tests.standins.plain_service import ServiceOptions

NO_NEW_WORK_AFTER_S = 5.0
LIST_LAG_S = 3.0
LEAVING = ("engine-2", "ledger-1")
PRESET = replace(
    FIRST_USER,
    engine_options=EngineOptions(token_s=0.03),
    service_options=ServiceOptions(delay_s=0.1),
)


class LeavingUpstreamTest(LoadCase):
    """Checks the ledgers of the leaving upstreams."""

    def start_loads(self):
        for customer in ("customer-0", "customer-1"):
            self.start_load(8, customer)
        self.start_load(6, "customer-2", service=True)
        for load in self.loads:
            load.wait_complete_answers(10)

    def mark_leaving(self):
        """Mark the upstreams as leaving; return the time when all readers see it."""
        for name in LEAVING:
            self.deployment.instance_list.mark_leaving(name)
        return time.monotonic() + self.deployment.instance_list.lag_s

    def get_leaving(self):
        upstreams = self.deployment.get_upstreams()
        return {name: upstreams[name] for name in LEAVING}

    def run_past_bound(self, shown_at):
        time.sleep(max(0.0, shown_at + NO_NEW_WORK_AFTER_S - time.monotonic()))
        for load in self.loads:
            load.wait_complete_answers(10)

    def assert_no_late_work(self, shown_at):
        """Assert that no work began after the bound and none was interrupted."""
        late = self.list_starts(self.get_leaving(), shown_at + NO_NEW_WORK_AFTER_S)
        counts = {name: len(entries) for name, entries in late.items()}
        self.assertEqual(counts, {})
        exports = [
            entry
            for upstream in self.get_leaving().values()
            if hasattr(upstream, "transfers")
            for entry in upstream.transfers.get_entries("export")
        ]
        # An export of cached prefixes also counts as work.
        late = [e for e in exports if e.started_at > shown_at + NO_NEW_WORK_AFTER_S]
        self.assertEqual(late, [])
        self.assert_uninterrupted(self.get_leaving(), shown_at + NO_NEW_WORK_AFTER_S)

    @long_run
    def test_with_a_lagging_list_and_return(self):
        """Guards against new work for an upstream that is about to end."""
        timings = {"list_lag_max_ms": 3000, "share_hold_down_ms": 5000}
        with self.run_fleet(PRESET, LIST_LAG_S, **timings):
            self.start_loads()
            self.run_past_bound(shown_at := self.mark_leaving())
            self.assert_no_late_work(shown_at)
            for name in LEAVING:
                self.deployment.instance_list.mark_leaving(name, leaving=False)
            returned_at = time.monotonic()
            self.fleet.wait_until(
                lambda: (
                    self.list_starts(self.get_leaving(), returned_at).keys()
                    == set(LEAVING)
                ),
                30,
                "work for the upstreams that returned",
            )
            self.finish_loads()

    @long_run
    def test_with_a_home_without_the_list_and_a_frozen_home(self):
        """Guards against homes that use an outdated instance list."""
        with self.run_fleet(PRESET) as fleet:
            homes = self.wait_homes()
            cut, frozen = (homes[name][0] for name in LEAVING)
            fleet.cut_platform([cut])
            fleet.freeze(frozen)
            self.start_loads()
            self.run_past_bound(shown_at := self.mark_leaving())
            fleet.thaw(frozen)
            fleet.wait_until(
                lambda: not fleet.read_status(frozen)["fenced"],
                TIMEOUT_S,
                "the thawed home unfenced",
            )
            for load in self.loads:
                load.wait_complete_answers(20)
            self.finish_loads()
            self.assert_no_late_work(shown_at)
