"""Guards the load bound and the limits, judged by the engines' own counts."""

import time
from dataclasses import replace
from math import floor

from tests.guarantees.load_case import (
    GENEROUS_S,
    LOAD_FACTOR,
    LoadCase,
    judge_load_bound,
)
from tests.selection import long_run
from tests.standins.deployment import FIRST_USER
from tests.standins.engine import EngineOptions

LIMIT = 8
SKEWED = 10
PRESET = replace(
    FIRST_USER, warm_limit=LIMIT, engine_options=EngineOptions(token_s=0.2)
)


class LoadBoundTest(LoadCase):
    """Each test ends with the judgement of all starts since the fleet began."""

    def judge(self):
        self.finish_loads()
        engines = self.deployment.engines
        peaks = {name: engine.state.peak for name, engine in engines.items()}
        self.assertLessEqual(max(peaks.values()), LIMIT, peaks)
        self.assertEqual(judge_load_bound(engines), [])
        return peaks

    @long_run
    def test_skewed_load_and_a_surging_customer(self):
        """Guards against herding on the first candidate and late limits.

        With a constant number of requests the mean doesn't lag, so the peak is
        compared with the bound of that number.
        """
        with self.run_fleet(PRESET):
            skewed = self.start_load(SKEWED, "customer-0", shared=True)
            skewed.wait_whole(60)
            engines = self.deployment.engines.values()
            peaks = [engine.state.peak for engine in engines]
            bound = floor(LOAD_FACTOR * SKEWED / len(peaks) + 1)
            self.assertEqual(max(peaks), bound, peaks)
            self.start_load(50, "customer-1").wait_whole(150)
            peaks = self.judge()
            self.assertEqual(max(peaks.values()), LIMIT, "the limit was not reached")

    @long_run
    def test_partition_in_which_both_sides_serve(self):
        """Guards against two homes that together exceed the limit."""
        with self.run_fleet(PRESET) as fleet:
            self.start_load(60, "customer-1").wait_whole(60)
            names = list(fleet.instances)
            sides = [names[:4], names[4:]]
            fleet.cut(*sides)
            fleet.wait_until(
                lambda: any(len(found) > 1 for found in self.find_homes().values()),
                GENEROUS_S,
                "two homes of one upstream",
            )
            cut_at = time.monotonic()
            for side in sides:
                fleet.wait_until(
                    lambda side=side: self.count_served(side, cut_at) >= 20,
                    GENEROUS_S,
                    f"20 answers through {side}",
                )
            fleet.heal()
            self.loads[0].wait_whole(60)
            self.judge()

    def count_served(self, names, since):
        results = [r for at, r in list(self.loads[0].results) if at > since]
        return sum(r.whole and r.instance in names for r in results)

    @long_run
    def test_homes_flap_and_a_frozen_home_wakes(self):
        """Guards against slots that a former home still grants."""
        with self.run_fleet(PRESET) as fleet:
            self.start_load(60, "customer-1").wait_whole(60)
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
            self.loads[0].wait_whole(60)
            fleet.thaw(frozen)
            self.wait_home("engine-1", lambda home: home == [frozen])
            self.loads[0].wait_whole(60)
            self.judge()

    def wait_home(self, upstream, condition):
        self.fleet.wait_until(
            lambda: condition(self.find_homes().get(upstream, [])),
            GENEROUS_S,
            upstream,
        )
