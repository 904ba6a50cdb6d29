"""Guards the cold limit, judged by what cold engines saw when work arrived."""

import time
from dataclasses import replace

from tests.guarantees.load_case import GENEROUS_S, START_WITHIN_S, LoadCase
from tests.selection import long_run
from tests.standins.deployment import ENGINES, FIRST_USER, get_region
from tests.standins.engine import EngineOptions, EngineStandin
from tests.standins.faults import Fault

COLD_LIMIT = 2
OPTIONS = EngineOptions(token_s=0.05, cold_factor=2.0, warm_after=3 * COLD_LIMIT)
PRESET = replace(FIRST_USER, warm_limit=8, cold_limit=COLD_LIMIT)
COLD = replace(PRESET, engine_options=replace(OPTIONS, warm=False))
WARM = replace(PRESET, engine_options=OPTIONS)


class ColdStartTest(LoadCase):
    def add_cold_engine(self, number):
        """List one more engine, cold, and return it."""
        host = self.deployment.make_host(number, 100 + number)
        engine = EngineStandin(host, COLD.engine_options).start()
        name = f"engine-{number}"
        self.deployment.engines[name] = engine
        self.deployment.instance_list.add_upstream(
            id=name,
            group=ENGINES,
            zone=self.deployment.get_zone(number),
            region=get_region(self.deployment.get_zone(number)),
            address=engine.address,
        )
        return engine

    def wait_warm(self, *engines):
        self.fleet.wait_until(
            lambda: all(engine.state.warm for engine in engines),
            GENEROUS_S,
            "warm engines",
        )

    def start_all(self, workers=45):
        """Let callers of large and small customers use all instances."""
        for number in range(9):
            load = self.start_load(workers // 9, f"customer-{number}")
        return load

    def check_never_above(self):
        self.finish_loads()
        for name, engine in self.deployment.engines.items():
            self.assertEqual(engine.state.cold_breaches, [], name)

    @long_run
    def test_never_above_the_limit_from_the_first_request(self):
        """Guards against a stampede of all instances on a new engine."""
        with self.run_fleet(COLD):
            self.start_all()
            self.wait_warm(*self.deployment.engines.values())
            joined = self.add_cold_engine(6)
            self.wait_warm(joined)
            self.assertGreaterEqual(joined.state.peak, COLD_LIMIT)
            self.check_never_above()

    @long_run
    def test_never_above_the_limit_in_a_partition(self):
        """Guards against one cold limit per side of a partition."""
        with self.run_fleet(WARM) as fleet:
            load = self.start_all()
            load.wait_whole(3)
            names = list(fleet.instances)
            fleet.cut(names[:4], names[4:])
            joined = [self.add_cold_engine(number) for number in (6, 7, 8)]
            fleet.wait_until(
                lambda: any(len(found) > 1 for found in self.find_homes().values()),
                20,
                "two homes of one upstream",
            )
            self.wait_warm(*joined)
            self.check_never_above()

    @long_run
    def test_warm_engines_turn_cold_without_notice(self):
        """Guards against load on an engine that refuses or reports to be cold.

        A home notices by the first refusal, else within the report interval and
        the report's lag: nothing above the limit is granted after the first
        sign, and a slot granted before it is used within 1 s.
        """
        with self.run_fleet(WARM):
            self.start_all().wait_whole(6)
            reporting, refusing = list(self.deployment.engines.values())[:2]
            refusing.faults.set(Fault.REFUSE, count=1)
            signs = []
            for engine in (reporting, refusing):
                # Enough that answers of earlier requests don't end the cold time.
                engine.state.warm_after = 30
                signs.append(note_signs(engine))
                engine.turn_cold()
            for engine, told in zip((reporting, refusing), signs, strict=True):
                self.fleet.wait_until(
                    lambda t=told: t, GENEROUS_S, "a sign of coldness"
                )
                until = told[0] + START_WITHIN_S
                self.fleet.wait_until(
                    lambda e=engine, t=until: len(e.ledger.get_started_after(t)) >= 2,
                    30,
                    "work after the sign",
                )
            self.finish_loads()
            for engine, told in zip((reporting, refusing), signs, strict=True):
                until = told[0] + START_WITHIN_S
                late = [b for b in engine.state.cold_breaches if b.at > until]
                self.assertEqual(late, [], f"told at {told[0]}")


def note_signs(engine):
    """Return a list to which the times of an engine's signs are added."""
    told = []
    make_report, take = engine.state.make_report, engine.faults.take

    def note_report(after):
        report = make_report(after)
        if not report["warm"]:
            told.append(time.monotonic())
        return report

    def note_refusal():
        fault = take()
        if fault is Fault.REFUSE:
            told.append(time.monotonic())
        return fault

    engine.state.make_report, engine.faults.take = note_report, note_refusal
    return told
