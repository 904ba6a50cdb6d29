"""Tests of quarantined prompt parts in simulated fleets under several troubles."""

import random
import unittest

from tests.gateway.crash_fleet import CrashSimulation, Trouble
from tests.gateway.fleet import Load
from tests.selection import long_run

SMALL = Load(instances=8, upstreams=12, per_s=30.0, subjects=70, skew=0.3)
LARGE = Load(
    instances=60, upstreams=24, per_s=120.0, subjects=400, skew=0.3, is_named=True
)
LARGEST = Load(
    instances=195, upstreams=60, per_s=250.0, subjects=400, skew=0.3, is_named=True
)
SECONDS = 12.0
# Requests with a part that may reach upstreams later than the stable window after the
# fifth crash.
LATE_MAX = 3
WINDOW_S = 3.0
# Of the sound requests, the share that begins at the first attempt; the rules ask for
# half of what it is at other times.
SOUND_MIN = 0.5
NAMES = [f"u{number}" for number in range(SMALL.upstreams)]


class FatalPartTest(unittest.TestCase):
    """Guards against requests that reach upstreams after these crashed under a part."""

    def check(self, trouble, load=SMALL, seeds=(1, 2), seconds=SECONDS):
        for seed in seeds:
            with self.subTest(seed=seed, trouble=trouble):
                run = CrashSimulation(load, seed, trouble).run(seconds)
                for part in run.ended_at:
                    self.assertLessEqual(run.count_late(part, WINDOW_S), LATE_MAX)
                # A part that all faulty requests hold explains their crashes, too.
                faulty = {*trouble.fatal, *trouble.beside}
                for parts in run.quarantined():
                    self.assertTrue(parts & faulty, parts)
                self.assertEqual(run.rejected_sound, 0)
                self.assertGreater(run.sound["begun"] / run.sound["sent"], SOUND_MIN)

    def test_rare_and_frequent_parts(self):
        for share in (0.01, 0.05, 0.3):
            self.check(Trouble({"fatal": share}))

    def test_two_parts_at_once(self):
        self.check(Trouble({"fatal": 0.03, "worse": 0.05}))

    def test_part_only_seen_beside_another(self):
        self.check(Trouble({"fatal": 0.05}, beside=("beside",)))

    def test_lost_reports_and_replaced_instances(self):
        killed = ((2.5, "edge-2"), (3.0, "edge-0"), (5.0, "edge-1"))
        self.check(Trouble({"fatal": 0.05}, lost=0.3, killed=killed))

    def test_zone_without_power_meanwhile(self):
        crashes = ((3.0, NAMES[::3]), (8.0, NAMES[1::3]))
        self.check(Trouble({"fatal": 0.05}, crashes=crashes))

    def test_first_write_before_the_end(self):
        """The first write of an answer arrives, with all of a short one."""
        self.check(Trouble({"fatal": 0.05}, survives_s=0.1))
        short = Trouble({"fatal": 0.05}, survives_s=0.005, is_short=True)
        self.check(short)

    def test_large_fleet(self):
        self.check(Trouble({"fatal": 0.02}), LARGE, seeds=(1,), seconds=8.0)

    @long_run
    def test_largest_fleet(self):
        self.check(Trouble({"fatal": 0.015}), LARGEST, seeds=(1, 2), seconds=9.0)

    @long_run
    def test_drawn_troubles(self):
        """Share, number of parts, moment, losses and other crashes are drawn."""
        for seed in range(50):
            drawn = random.Random(seed)
            parts = ("fatal", "worse", "worst")[: drawn.randint(1, 3)]
            crashes = tuple(
                (drawn.uniform(1.0, 9.0), drawn.sample(NAMES, drawn.randint(1, 4)))
                for _ in range(drawn.randint(0, 2))
            )
            trouble = Trouble(
                {part: drawn.choice((0.01, 0.03, 0.1, 0.3)) for part in parts},
                beside=("beside",) * drawn.randint(0, 1),
                crashes=crashes,
                lost=drawn.choice((0.0, 0.1, 0.3)),
                at=drawn.uniform(0.0, 4.0),
                killed=((drawn.uniform(1.0, 6.0), f"edge-{drawn.randrange(8)}"),),
                survives_s=drawn.choice((None, 0.0, 0.05, 0.2)),
                is_short=drawn.random() < 0.2,
            )
            self.check(trouble, seeds=(seed,))


class SoundPartTest(unittest.TestCase):
    """Guards against popular parts that are quarantined for crashes of other kinds."""

    def check(self, crashes, load=SMALL, seeds=(1, 2)):
        for seed in seeds:
            with self.subTest(seed=seed):
                run = CrashSimulation(load, seed, Trouble(crashes=crashes)).run(SECONDS)
                self.assertEqual(run.quarantined(), set())
                self.assertEqual(run.rejected_sound, 0)

    def test_zone_without_power(self):
        self.check(((3.0, NAMES[::3]), (7.0, NAMES[1::3])))

    def test_all_upstreams_at_once_and_again(self):
        self.check(((3.0, NAMES), (8.0, NAMES)))

    def test_upstreams_that_crash_by_turns(self):
        turns = tuple(
            (2 + 0.5 * n, NAMES[n * 5 % 12 : n * 5 % 12 + 1]) for n in range(18)
        )
        self.check(turns)

    def test_cold_upstreams_that_crash_again(self):
        self.check(tuple((2 + 0.2 * n, NAMES[n % 3 : n % 3 + 1]) for n in range(45)))


if __name__ == "__main__":
    unittest.main()
