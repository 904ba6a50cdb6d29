"""Tests of the table of cache holders while upstreams change."""

import random
import unittest

from fescueflow.routing import HolderTable, find_holder
from fescueflow.routing.holders import PREFIX_AGE_MAX_S, UPDATE_SENDS
from tests.routing.builders import ENGINES, make_upstream

KEYS = [f"part{n}" for n in range(60)]


def make_upstreams(*numbers):
    """Return upstreams named by the given numbers."""
    return [make_upstream(f"u{n}") for n in numbers]


class HolderTableTest(unittest.TestCase):
    """Guards against chats that move away from an upstream that caches their prefix."""

    def setUp(self):
        self.table = HolderTable()

    def use(self, key, upstreams, now=0.0):
        """Use a prefix at its expected upstream, and return that upstream."""
        chosen = min(self.table.find(ENGINES, key, upstreams, now))
        self.table.record_use(ENGINES, key, chosen, upstreams, now)
        return chosen

    def test_new_upstream_takes_no_cached_prefix(self):
        before = {key: self.use(key, make_upstreams(1, 2, 3)) for key in KEYS}
        after = {key: self.use(key, make_upstreams(1, 2, 3, 4)) for key in KEYS}
        self.assertEqual(before, after)

    def test_lost_upstream_moves_only_its_prefixes(self):
        before = {key: self.use(key, make_upstreams(1, 2, 3)) for key in KEYS}
        after = {key: self.use(key, make_upstreams(1, 2)) for key in KEYS}
        moved = {key for key in KEYS if before[key] != after[key]}
        self.assertEqual(moved, {key for key in KEYS if before[key] == "u3"})

    def test_unused_prefix_expires(self):
        upstreams = make_upstreams(1, 2, 3)
        other = next(u.id for u in upstreams if u.id != find_holder("k", upstreams))
        self.table.record_use(ENGINES, "k", other, upstreams, 0.0)
        self.assertEqual(self.table.find(ENGINES, "k", upstreams, 1.0), {other})
        found = self.table.find(ENGINES, "k", upstreams, PREFIX_AGE_MAX_S + 1)
        self.assertEqual(found, {find_holder("k", upstreams)})

    def test_table_size_is_bounded(self):
        table = HolderTable(prefixes_max=10)
        upstreams = make_upstreams(1, 2)
        for number in range(100):
            table.record_use(ENGINES, f"k{number}", "u1", upstreams, 0.0)
        self.assertLessEqual(len(table._prefixes), 10)

    def test_updates_only_for_prefixes_that_hashing_places_elsewhere(self):
        for key in KEYS:
            self.use(key, make_upstreams(1, 2, 3))
        self.assertEqual(self.table.take_updates(0.0), [])
        grown = make_upstreams(1, 2, 3, 4)
        self.use(KEYS[0], grown)
        updates = [self.table.take_updates(0.0) for _ in range(UPDATE_SENDS + 1)]
        moved = {key for key in KEYS if find_holder(key, grown) == "u4"}
        for sent in updates[:UPDATE_SENDS]:
            self.assertEqual({update.key for update in sent}, moved)
        self.assertEqual(updates[UPDATE_SENDS], [])

    def test_another_instance_applies_the_updates(self):
        for key in KEYS:
            self.use(key, make_upstreams(1, 2, 3))
        grown = make_upstreams(1, 2, 3, 4)
        here = {key: self.use(key, grown, 1.0) for key in KEYS}
        other = HolderTable()
        other.merge(self.table.take_updates(1.0), 50.0)
        there = {key: min(other.find(ENGINES, key, grown, 50.0)) for key in KEYS}
        self.assertEqual(here, there)

    def test_copy_sources_include_leaving_upstreams_by_last_use(self):
        upstreams = make_upstreams(1, 2, 3)
        self.table.record_use(ENGINES, "k", "u1", upstreams, 1.0)
        self.table.record_use(ENGINES, "k", "u2", upstreams, 2.0)
        # u2 is leaving: it gets no new work but still caches the prefix.
        expected = self.table.find(ENGINES, "k", make_upstreams(1, 3), 3.0)
        self.assertEqual(expected, {"u1"})
        usable = frozenset({"u1", "u2", "u3"})
        ranked = self.table.rank_sources("k", usable, expected)
        self.assertEqual(ranked, ["u2", "u1"])
        self.table.retain({"u1", "u3"})
        ranked = self.table.rank_sources("k", usable, expected)
        self.assertEqual(ranked, ["u1"])

    def test_unknown_prefix_is_copied_from_the_expected_upstream(self):
        usable = frozenset({"u1", "u2"})
        ranked = self.table.rank_sources("k", usable, frozenset({"u2", "u9"}))
        self.assertEqual(ranked, ["u2"])

    def test_started_instance_gets_all_updates(self):
        for key in KEYS:
            self.use(key, make_upstreams(1, 2, 3))
        grown = make_upstreams(1, 2, 3, 4)
        here = {key: self.use(key, grown, 1.0) for key in KEYS}
        for _ in range(UPDATE_SENDS):
            self.table.take_updates(1.0)
        self.table.announce_all()
        other = HolderTable()
        other.merge(self.table.take_updates(2.0), 2.0)
        there = {key: min(other.find(ENGINES, key, grown, 2.0)) for key in KEYS}
        self.assertEqual(here, there)


def replay_churn(uses_table, seed, instances=9, uses=600):
    """Return how often an engine computes a prefix that another one caches.

    Notes
    -----
    Nine instances serve sixty prefixes in random order. After a third of the uses an
    upstream is added. After two thirds, two upstreams are replaced: the new ones are
    added before the old ones are removed.
    """
    random_source = random.Random(seed)
    tables = [HolderTable() for _ in range(instances)]
    held = {}
    recomputed = 0
    steps = {
        0: (1, 2, 3, 4, 5, 6),
        uses // 3: (1, 2, 3, 4, 5, 6, 7),
        2 * uses // 3: (1, 2, 3, 4, 5, 6, 7, 8, 9),
        2 * uses // 3 + 20: (3, 4, 5, 6, 7, 8, 9),
    }
    upstreams = []
    for number in range(uses):
        upstreams = make_upstreams(*steps[number]) if number in steps else upstreams
        key, now = random_source.choice(KEYS), number / 20
        table = random_source.choice(tables)
        if uses_table:
            chosen = min(table.find(ENGINES, key, upstreams, now))
            table.record_use(ENGINES, key, chosen, upstreams, now)
        else:
            chosen = find_holder(key, upstreams)
        names = {upstream.id for upstream in upstreams}
        holders = held.setdefault(key, set())
        recomputed += chosen not in holders and bool(holders & names)
        holders.add(chosen)
        if number % 6 == 0:
            updates = [update for t in tables for update in t.take_updates(now)]
            for t in tables:
                t.merge(updates, now)
    return recomputed


class ReplayTest(unittest.TestCase):
    """Guards against a table that does no better than rendezvous hashing alone."""

    def test_fewer_prefixes_are_recomputed(self):
        for seed in (1, 2, 3):
            self.assertLess(replay_churn(True, seed), replay_churn(False, seed) / 3)


if __name__ == "__main__":
    unittest.main()
