"""Tests of the load bound and the limits, by the engines' own counts."""

import time
from dataclasses import replace
from math import floor

from tests.guarantees.load_case import (
    LOAD_FACTOR,
    TIMEOUT_S,
    LoadCase,
    find_load_bound_breaches,
)
from tests.selection import long_run
from tests.standins.deployment import FIRST_USER
from tests.standins.engine import EngineOptions

WARM_LIMIT = 8
SKEWED_WORKERS = 10
PRESET = replace(
    FIRST_USER, warm_limit=WARM_LIMIT, engine_options=EngineOptions(token_s=0.2)
)


class LoadBoundTest(LoadCase):
    """Each test checks all starts since the fleet was started."""

    def assert_bounds_kept(self):
        self.finish_loads()
        engines = self.deployment.engines
        peaks = {name: engine.state.peak for name, engine in engines.items()}
        self.assertLessEqual(max(peaks.values()), WARM_LIMIT, peaks)
        self.assertEqual(find_load_bound_breaches(engines), [])
        return peaks

    @long_run
    def test_skewed_load_and_a_surging_customer(self):
        """Guards against herding on the first candidate and limits applied too late.

        With a constant number of requests the mean doesn't lag, so the peak must
        equal the bound for that number.
        """
        with self.run_fleet(PRESET):
            skewed = self.start_load(SKEWED_WORKERS, "customer-0", shared=True)
            skewed.wait_complete_answers(60)
            engines = self.deployment.engines.values()
            peaks = [engine.state.peak for engine in engines]
            bound = floor(LOAD_FACTOR * SKEWED_WORKERS / len(peaks) + 1)
            self.assertEqual(max(peaks), bound, peaks)
            self.start_load(50, "customer-1").wait_complete_answers(150)
            peaks = self.assert_bounds_kept()
            self.assertEqual(
                max(peaks.values()), WARM_LIMIT, "the limit was not reached"
            )

    @long_run
    def test_partition_in_which_both_sides_serve(self):
        """Guards against two homes that together exceed the limit."""
        with self.run_fleet(PRESET) as fleet:
            self.start_load(60, "customer-1").wait_complete_answers(60)
            names = list(fleet.instances)
            sides = [names[:4], names[4:]]
            fleet.cut(*sides)
            fleet.wait_until(
                lambda: any(len(found) > 1 for found in self.find_homes().values()),
                TIMEOUT_S,
                "two homes of one upstream",
            )
            cut_at = time.monotonic()
            for side in sides:
                fleet.wait_until(
                    lambda side=side: self.count_served(side, cut_at) >= 20,
                    TIMEOUT_S,
                    f"20 answers through {side}",
                )
            fleet.heal()
            self.loads[0].wait_complete_answers(60)
            self.assert_bounds_kept()

    def count_served(self, names, since):
        results = [r for at, r in list(self.loads[0].results) if at > since]
        return sum(r.whole and r.instance in names for r in results)

    @long_run
    def test_homes_flap_and_a_frozen_home_wakes(self):
        """Guards against a former home that still grants slots."""
        with self.run_fleet(PRESET) as fleet:
            self.start_load(60, "customer-1").wait_complete_answers(60)
            homes = self.wait_homes()
            flapping, frozen = homes["engine-0"][0], homes["engine-1"][0]
            others = [name for name in fleet.instances if name != flapping]
            for _ in range(3):
                fleet.cut([flapping], others)
                self.wait_home("engine-0", lambda home: set(home) - {flapping})
                fleet.heal()
                self.wait_home("engine-0", lambda home: home == [flapping])
            fleet.freeze(frozen)
            self.wait_home("engine-1", bool)
            self.loads[0].wait_complete_answers(60)
            fleet.thaw(frozen)
            self.wait_home("engine-1", lambda home: home == [frozen])
            self.loads[0].wait_complete_answers(60)
            self.assert_bounds_kept()

    def wait_home(self, upstream, condition):
        self.fleet.wait_until(
            lambda: condition(self.find_homes().get(upstream, [])),
            TIMEOUT_S,
            upstream,
        )
