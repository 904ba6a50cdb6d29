"""Tests of slowdowns that other instances tell."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.core import InstanceId, UpstreamId
from fescueflow.routing import Slowdown, SpeedTable, SpeedUpdate
from fescueflow.routing.speed_signals import LOG_MAX, LOG_MIN, LOG_STEP
from fescueflow.routing.told_speeds import SOURCES_MAX, TOLD_AGE_MAX_S
from tests.routing.builders import ENGINES

U1, U2, U3, U4 = (UpstreamId(f"u{n}") for n in range(1, 5))
LIAR = InstanceId("liar")
FACTORS = st.floats(0.01, 100.0)
# What honest sources tell differs by less than a step.
HONEST = st.tuples(
    st.floats(LOG_MIN, LOG_MAX - LOG_STEP),
    st.lists(st.floats(0, LOG_STEP), max_size=6),
).map(lambda told: [math.exp(told[0] + more) for more in told[1]])


def estimate(told, own=None, now=10.0, age_s=0.0, upstreams=(U1,)):
    """Return the slowdowns of upstreams by what sources tell of all of them."""
    table = SpeedTable()
    for upstream in upstreams:
        if own is not None:
            table.record_percent(upstream, ENGINES, own, 9.9)
        for source, factor in told.items():
            update = SpeedUpdate(upstream, factor, age_s)
            table.merge(source, ENGINES, update, 10.0)
    return table.estimate([U1, U4], ENGINES, now)


def name_sources(factors):
    return {InstanceId(f"edge-{n}"): factor for n, factor in enumerate(factors)}


class ToldSpeedTest(unittest.TestCase):
    """Guards against instances that learn too late what others have seen."""

    def test_instance_that_knows_from_others_only(self):
        found = estimate(name_sources([3.0, 3.2, 3.1]), age_s=0.1)
        self.assertAlmostEqual(found[U1].factor, 3.1, delta=0.1)
        self.assertAlmostEqual(found[U1].age_s, 0.1)
        self.assertEqual(found[U4], Slowdown(factor=1.0, age_s=None, share=1.0))

    def test_service_of_another_engine_type(self):
        told = name_sources([1.7, 1.6])
        found = estimate(told, upstreams=(U1, U2, U3), now=40.0)
        self.assertAlmostEqual(found[U4].factor, 1.65, delta=0.01)

    def test_median_of_the_service_is_renewed(self):
        table = SpeedTable()
        for now, factor in ((10.0, 2.0), (10.1, 3.0), (10.5, 3.0)):
            for upstream in (U1, U2, U3):
                for source in name_sources([factor] * 2):
                    update = SpeedUpdate(upstream, factor, 0.0)
                    table.merge(source, ENGINES, update, now)
            found = table.estimate([U4], ENGINES, now)[U4].factor
        self.assertAlmostEqual(found, 3.0)

    def test_one_source_says_nothing_of_the_service(self):
        found = estimate({LIAR: 8.0}, upstreams=(U1, U2, U3))
        self.assertEqual(found[U4].factor, 1.0)

    def test_lost_reports(self):
        told = name_sources([3.0, 3.2, 3.1])
        factors = [estimate(told, now=10.0 + s)[U1].factor for s in range(0, 60, 5)]
        self.assertEqual(factors, sorted(factors, reverse=True))
        self.assertAlmostEqual(factors[-1], 1.0)

    def test_own_sample_outweighs_older_reports(self):
        told = name_sources([4.0, 4.0, 4.0])
        self.assertLess(estimate(told, own=100, age_s=2.5)[U1].factor, 1.1)

    def test_old_slowdowns_are_left_out(self):
        told = name_sources([4.0, 4.0])
        found = estimate(told, age_s=TOLD_AGE_MAX_S + 0.1)
        self.assertEqual(found[U1].factor, 1.0)

    def test_many_sources_are_bounded(self):
        table = SpeedTable()
        for source in name_sources([2.0] * 50):
            table.merge(source, ENGINES, SpeedUpdate(U1, 2.0, 0.0), 10.0)
        self.assertEqual(len(table._told._sources[U1]), SOURCES_MAX)

    def test_what_others_told_is_not_told_again(self):
        table = SpeedTable()
        table.merge(LIAR, ENGINES, SpeedUpdate(U1, 8.0, 0.0), 10.0)
        table.record_percent(U2, ENGINES, 200, 10.0)
        told = table.list_updates(10.5)
        self.assertEqual([update.upstream for update in told], [U2])
        self.assertAlmostEqual(told[0].slowdown, 2.0)


class LyingSourceTest(unittest.TestCase):
    """Guards against one instance that keeps an upstream idle or flooded."""

    def check(self, honest, lie, **changes):
        told = name_sources(honest)
        without = math.log(estimate(told, **changes)[U1].factor)
        found = math.log(estimate({**told, LIAR: lie}, **changes)[U1].factor)
        self.assertLessEqual(abs(found - without), LOG_STEP + 1e-9)

    @given(HONEST, FACTORS)
    def test_others_only(self, honest, lie):
        self.check(honest, lie)

    @given(HONEST, FACTORS, st.integers(25, 800), st.floats(0, 2.9))
    def test_with_own_samples(self, honest, lie, own, age_s):
        self.check(honest, lie, own=own, age_s=age_s)


class EchoTest(unittest.TestCase):
    """Guards against told slowdowns that instances tell each other for ever."""

    def test_fleet_forgets_a_source_that_has_stopped(self):
        upstreams = [UpstreamId(f"u{n}") for n in range(10)]
        tables = {InstanceId(f"edge-{n}"): SpeedTable() for n in range(12)}
        last, factors = list(tables)[-1], []
        for step in range(100):
            now = 10.0 + 0.35 * step
            if now < 13.0:
                lies = [SpeedUpdate(u, 3.0, 0.0) for u in upstreams]
                self.tell(tables, LIAR, lies, now)
            found = tables[last].estimate(upstreams, ENGINES, now)
            factors.append(max(slowdown.factor for slowdown in found.values()))
            for source, table in tables.items():
                for upstream in upstreams:
                    table.record_percent(upstream, ENGINES, 100, now)
                self.tell(tables, source, table.list_updates(now), now)
        self.assertGreater(max(factors), 1.0)
        self.assertAlmostEqual(factors[-1], 1.0)

    def tell(self, tables, source, updates, now):
        for name, table in tables.items():
            for update in updates:
                if name != source:
                    table.merge(source, ENGINES, update, now)


if __name__ == "__main__":
    unittest.main()
