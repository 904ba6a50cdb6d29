"""Tests of the cold limit, by the work in flight that cold engines record."""

import time
from dataclasses import replace

from tests.guarantees.load_case import SLOT_START_MAX_S, TIMEOUT_S, LoadCase
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
        """Start and list another engine, which is cold, and return it."""
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
            TIMEOUT_S,
            "warm engines",
        )

    def start_load_on_all(self, workers=45):
        """Start load of large and small customers on all instances."""
        for number in range(9):
            load = self.start_load(workers // 9, f"customer-{number}")
        return load

    def assert_cold_limit_kept(self):
        self.finish_loads()
        for name, engine in self.deployment.engines.items():
            self.assertEqual(engine.state.cold_breaches, [], name)

    @long_run
    def test_never_above_the_limit_from_the_first_request(self):
        """Guards against a stampede of all instances on a new engine."""
        with self.run_fleet(COLD):
            self.start_load_on_all()
            self.wait_warm(*self.deployment.engines.values())
            joined = self.add_cold_engine(6)
            self.wait_warm(joined)
            self.assertGreaterEqual(joined.state.peak, COLD_LIMIT)
            self.assert_cold_limit_kept()

    @long_run
    def test_never_above_the_limit_in_a_partition(self):
        """Guards against each side of a partition using the full cold limit."""
        with self.run_fleet(WARM) as fleet:
            load = self.start_load_on_all()
            load.wait_complete_answers(3)
            names = list(fleet.instances)
            fleet.cut(names[:4], names[4:])
            joined = [self.add_cold_engine(number) for number in (6, 7, 8)]
            fleet.wait_until(
                lambda: any(len(found) > 1 for found in self.find_homes().values()),
                20,
                "two homes of one upstream",
            )
            self.wait_warm(*joined)
            self.assert_cold_limit_kept()

    @long_run
    def test_warm_engines_turn_cold_without_notice(self):
        """Guards against load on an engine that refuses work or reports being cold.

        A home learns of it from the first refusal, otherwise within the report
        interval plus the report's lag. It grants nothing above the limit after this
        first sign, and a slot that it granted earlier is used within 1 s.
        """
        with self.run_fleet(WARM):
            self.start_load_on_all().wait_complete_answers(6)
            reporting, refusing = list(self.deployment.engines.values())[:2]
            refusing.faults.set(Fault.REFUSE, count=1)
            signs = []
            for engine in (reporting, refusing):
                # High enough that answers to earlier requests don't make it warm.
                engine.state.warm_after = 30
                signs.append(record_cold_signs(engine))
                engine.turn_cold()
            for engine, sign_times in zip((reporting, refusing), signs, strict=True):
                self.fleet.wait_until(
                    lambda t=sign_times: t, TIMEOUT_S, "a sign of coldness"
                )
                until = sign_times[0] + SLOT_START_MAX_S
                self.fleet.wait_until(
                    lambda e=engine, t=until: len(e.ledger.get_started_after(t)) >= 2,
                    30,
                    "work after the sign",
                )
            self.finish_loads()
            for engine, sign_times in zip((reporting, refusing), signs, strict=True):
                until = sign_times[0] + SLOT_START_MAX_S
                late = [b for b in engine.state.cold_breaches if b.at > until]
                self.assertEqual(late, [], f"first sign of coldness at {sign_times[0]}")


def record_cold_signs(engine):
    """Return a list that collects the times of cold reports and refusals."""
    sign_times = []
    make_report, take = engine.state.make_report, engine.faults.take

    def report_and_record(after):
        report = make_report(after)
        if not report["warm"]:
            sign_times.append(time.monotonic())
        return report

    def take_and_record():
        fault = take()
        if fault is Fault.REFUSE:
            sign_times.append(time.monotonic())
        return fault

    engine.state.make_report, engine.faults.take = report_and_record, take_and_record
    return sign_times
