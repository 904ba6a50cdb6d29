"""Tests of the ranking of upstreams by prompt and load."""

import random
import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.core import UpstreamId, ZoneId
from fescueflow.routing import (
    Candidate,
    Prompt,
    UpstreamLoad,
    find_balanced,
    find_holder,
    is_copy_worthwhile,
    parse_prompt,
    rank_placements,
)
from fescueflow.routing.placement import COPY_TOKENS_MIN
from tests.routing.builders import make_candidate, make_prompt, make_upstream

FACTOR = 2.0


class ParsePromptTest(unittest.TestCase):
    """Guards against chats whose prefix is not recognised."""

    def test_key_is_that_of_the_last_shared_part(self):
        prompt = parse_prompt("5c:800,91:410,e4:250", "1460,80")
        self.assertEqual(
            (prompt.key, prompt.shared_tokens, prompt.own_tokens),
            ("91", 1210, 250),
        )
        self.assertEqual(prompt.output_tokens, 80)

    def test_no_prompt(self):
        prompt = parse_prompt("", "")
        self.assertEqual((prompt.key, prompt.shared_tokens), ("", 0))

    def test_malformed(self):
        for parts, counts in (("5c", "1,2"), ("5c:x", "1,2"), ("5c:1", "many")):
            with self.assertRaises(ValueError):
                parse_prompt(parts, counts)


class HolderTest(unittest.TestCase):
    """Guards against chats that move when an upstream of other chats is lost."""

    def test_only_the_prefixes_of_a_lost_upstream_move(self):
        upstreams = [make_upstream(f"u{n}") for n in range(6)]
        keys = [f"part{n}" for n in range(300)]
        before = {key: find_holder(key, upstreams) for key in keys}
        after = {key: find_holder(key, upstreams[1:]) for key in keys}
        moved = {key for key in keys if before[key] != after[key]}
        self.assertEqual(moved, {key for key in keys if before[key] == "u0"})


class RankTest(unittest.TestCase):
    """Guards against a holder that is chosen whatever its load, or never."""

    def rank(self, *candidates, cached="u1", prompt=None):
        placements = rank_placements(
            candidates,
            prompt or make_prompt(),
            frozenset({UpstreamId(cached)}),
            FACTOR,
        )
        return [placement.candidate.upstream.id for placement in placements]

    def test_holder_goes_before_an_idle_upstream(self):
        busy, idle = make_candidate("u1", running=3), make_candidate("u2", running=2)
        self.assertEqual(self.rank(busy, idle)[0], "u1")

    def test_holder_with_a_long_prompt_queue_is_passed_over(self):
        queued = make_candidate("u1", running=3, waiting_tokens=30_000)
        idle = make_candidate("u2", running=2)
        self.assertEqual(self.rank(queued, idle)[0], "u2")

    def test_copy_is_cheaper_than_prefill(self):
        # The prefill of 10,000 tokens takes 91 ms, the queue of the holder 73 ms.
        queued = make_candidate("u1", waiting_tokens=8_000)
        idle = make_candidate("u2")
        prompt, held = make_prompt(), frozenset({UpstreamId("u1")})
        for rate, first, prefill_tokens in ((0.0, "u1", 1_000), (2_000.0, "u2", 1_000)):
            placed = rank_placements(
                [queued, idle], prompt, held, FACTOR, copy_tokens_per_ms=rate
            )[0]
            self.assertEqual(placed.candidate.upstream.id, first)
            self.assertEqual(placed.prefill_tokens, prefill_tokens)
            self.assertEqual(placed.is_copied, first == "u2")

    def test_holder_without_a_free_place_is_passed_over(self):
        # One request ahead, twelve slots held for 1.2 s each: a wait of 100 ms.
        full = make_candidate("u1", running=12, slots=12)
        free = make_candidate("u2", running=9, slots=12)
        for hold_ms, first in ((0.0, "u1"), (1_200.0, "u2")):
            placed = rank_placements(
                [full, free],
                make_prompt(),
                frozenset({UpstreamId("u1")}),
                FACTOR,
                copy_tokens_per_ms=2_000.0,
                hold_ms=hold_ms,
            )
            self.assertEqual(placed[0].candidate.upstream.id, first)

    def test_short_wait_at_the_holder_is_no_reason_to_copy(self):
        # One prompt of 1,400 tokens is queued at the holder: a wait of 13 ms.
        queued = make_candidate("u1", running=5, waiting_tokens=1_400)
        idle = make_candidate("u2", running=5)
        placed = rank_placements(
            [queued, idle],
            make_prompt(),
            frozenset({UpstreamId("u1")}),
            FACTOR,
            copy_tokens_per_ms=2_000.0,
        )
        self.assertEqual(placed[0].candidate.upstream.id, "u1")

    def test_short_prefix_is_not_copied(self):
        for shared in (COPY_TOKENS_MIN - 1, COPY_TOKENS_MIN):
            prompt = make_prompt(shared=shared)
            self.assertEqual(
                is_copy_worthwhile(prompt, 2_000.0), shared == COPY_TOKENS_MIN
            )

    def test_short_prompts_avoid_failing_upstreams(self):
        failing = make_candidate("u1", failure_rate=0.5)
        healthy = make_candidate("u2", running=3)
        prompt = make_prompt(shared=600, own=100)
        self.assertEqual(self.rank(failing, healthy, prompt=prompt)[0], "u2")

    def test_own_zone_goes_first_while_it_is_not_busier(self):
        far = make_candidate("u1", zone="a", running=2)
        for busy, first in ((3, "u2"), (9, "u1")):
            near = make_candidate("u2", zone="b", running=busy)
            placed = rank_placements(
                [far, near], Prompt(), frozenset(), FACTOR, ZoneId("b")
            )
            self.assertEqual(placed[0].candidate.upstream.id, first)

    def test_mean_is_that_of_the_whole_service(self):
        # Three of seven upstreams are idle in a withdrawn zone. The mean is 7.9 and the
        # limit of the service rules 18.7; the mean of the four busy ones is 13.8.
        candidates = [make_candidate(f"u{n}", running=12) for n in range(1, 4)]
        candidates.append(make_candidate("u4", running=19))
        names = {c.upstream.id for c in find_balanced(candidates, FACTOR, 7)}
        self.assertEqual(names, {"u1", "u2", "u3"})
        self.assertEqual(len(find_balanced(candidates, FACTOR)), 4)

    def test_half_of_the_service_in_withdrawn_zones(self):
        # Three of six upstreams are idle in a withdrawn zone. The others have on
        # average twice the mean of 9. The limit of the service rules is 21; the most
        # loaded upstream exceeds it.
        loads = [(16, 2), (16, 2), (22, 4)]
        candidates = [
            Candidate(make_upstream(f"u{n}"), UpstreamLoad(running, own_running=own))
            for n, (running, own) in enumerate(loads)
        ]
        names = {c.upstream.id for c in find_balanced(candidates, FACTOR, 6)}
        self.assertEqual(names, {"u0", "u1"})

    def test_all_instances_pick_the_same_upstream_after_the_holder(self):
        """Guards against copies of a busy prefix at every upstream."""
        names = [f"u{n}" for n in range(30)]
        holder = find_holder("subject", [make_upstream(name) for name in names])
        chosen = set()
        for seed in range(20):
            random_source = random.Random(seed)
            candidates = [
                make_candidate(n, 25 if n == holder else random_source.uniform(6, 9))
                for n in names
            ]
            load = replace(candidates[0].load, count_age_s=0.1)
            candidates[0] = replace(candidates[0], load=load)
            placed = rank_placements(
                candidates, make_prompt(), frozenset({holder}), FACTOR
            )
            chosen.add(placed[0].candidate.upstream.id)
        self.assertLessEqual(len(chosen), 2)
        self.assertNotIn(holder, chosen)

    def test_limited_upstreams_are_no_part_of_the_mean(self):
        # Two upstreams carry what four limited ones can't take.
        busy = [make_candidate(f"b{n}", 20) for n in range(2)]
        limited = [make_candidate(f"l{n}", 1) for n in range(4)]
        names = frozenset(c.upstream.id for c in limited)
        for size, apart, is_kept in ((2, names, True), (6, frozenset(), False)):
            with self.subTest(is_kept=is_kept):
                ranked = rank_placements(
                    [*busy, *limited],
                    make_prompt(),
                    frozenset({UpstreamId("b1")}),
                    2.0,
                    service_size=size,
                    copy_tokens_per_ms=400.0,
                    limited=apart,
                )
                chosen = ranked[0].candidate.upstream.id
                self.assertEqual(chosen == "b1", is_kept)

    def test_limited_holder_goes_first(self):
        limited, other = make_candidate("l0", 1), make_candidate("b0", 1)
        ranked = rank_placements(
            [limited, other],
            make_prompt(),
            frozenset({UpstreamId("l0")}),
            2.0,
            copy_tokens_per_ms=400.0,
            limited=frozenset({UpstreamId("l0")}),
        )
        self.assertEqual(ranked[0].candidate.upstream.id, "l0")

    def test_unbalanced_holder_goes_last(self):
        holder = make_candidate("u1", running=20)
        others = [make_candidate(f"u{n}", running=2) for n in range(2, 7)]
        self.assertEqual(self.rank(holder, *others)[-1], "u1")

    @given(st.lists(st.integers(0, 200), min_size=1, max_size=12))
    def test_some_candidate_is_always_balanced(self, running):
        candidates = [make_candidate(f"u{n}", r) for n, r in enumerate(running)]
        self.assertTrue(find_balanced(candidates, FACTOR))


def replay_load(rank, seed, requests=300, upstreams=6, keys=60):
    """Return the prefilled tokens and the longest queue in a simulation, in tokens.

    Notes
    -----
    By default, long prompts with sixty different prefixes arrive every 75 ms for 22 s
    at six engines. Each engine prefills 110 tokens per millisecond and caches every
    prefix it has computed.
    """
    random_source = random.Random(seed)
    held = [set() for _ in range(upstreams)]
    queues = [0.0] * upstreams
    read = longest = 0.0
    for _ in range(requests):
        queues = [max(0.0, tokens - 75 * 110) for tokens in queues]
        key = f"k{random_source.randrange(keys)}"
        chosen = rank(key, queues, random_source)
        tokens = 1_300 + (0 if key in held[chosen] else 10_500)
        held[chosen].add(key)
        queues[chosen] += tokens
        read += tokens
        longest = max(longest, max(queues))
    return read, longest


def replay_surge(copies, seed, requests=400, upstreams=6, keys=60):
    """Return the prefilled tokens and the mean wait (ms) in a simulated surge.

    Notes
    -----
    By default, long prompts with sixty different prefixes arrive every 5 ms for 2 s at
    six engines that prefill 110 tokens per millisecond. For a third of the time, half
    of the prompts share one prefix, so that its holder is passed over.
    """
    random_source = random.Random(seed)
    held = [set() for _ in range(upstreams)]
    queues = [0.0] * upstreams
    read = waited_ms = 0.0
    for number in range(requests):
        queues = [max(0.0, tokens - 5 * 110) for tokens in queues]
        is_hot = requests / 3 < number < 2 * requests / 3
        if is_hot and random_source.random() < 0.5:
            key = "hot"
        else:
            key = f"k{random_source.randrange(keys)}"
        holders = {n for n in range(upstreams) if key in held[n]}
        candidates = [
            Candidate(make_upstream(f"u{n}"), UpstreamLoad(0, int(tokens)))
            for n, tokens in enumerate(queues)
        ]
        placed = rank_placements(
            candidates,
            make_prompt(10_500, 1_300, key),
            frozenset(f"u{n}" for n in holders),
            FACTOR,
            copy_tokens_per_ms=2_000.0 if copies and holders else 0.0,
        )[0]
        chosen = int(placed.candidate.upstream.id[1:])
        waited_ms += queues[chosen] / 110
        queues[chosen] += placed.prefill_tokens
        read += placed.prefill_tokens
        held[chosen].add(key)
    return read, waited_ms / requests


def rank_by_cost(key, queues, _):
    """Return the index of the upstream that ``rank_placements`` puts first."""
    candidates = [
        Candidate(make_upstream(f"u{n}"), UpstreamLoad(0, int(tokens)))
        for n, tokens in enumerate(queues)
    ]
    holder = find_holder(key, [c.upstream for c in candidates])
    placed = rank_placements(
        candidates, make_prompt(10_500, 1_300, key), frozenset({holder}), FACTOR
    )
    return int(placed[0].candidate.upstream.id[1:])


def rank_by_load(_, queues, random_source):
    """Return the index of a random upstream with the shortest queue."""
    shortest = min(queues)
    return random_source.choice([n for n, q in enumerate(queues) if q == shortest])


def rank_by_affinity(key, queues, _):
    """Return the index of the upstream that hashing assigns to the prefix."""
    upstreams = [make_upstream(f"u{n}") for n in range(len(queues))]
    return int(find_holder(key, upstreams)[1:])


def replay_withdrawn_zone(find, seed, instances=8, upstreams=2, service_size=4):
    """Return the fraction of requests sent to an upstream over the rules' bound.

    Notes
    -----
    By default, eight instances send 45 requests per second, each of which runs for 1 to
    2.5 s. The instances learn each other's loads from reports every 0.35 s. Two of four
    upstreams are in a withdrawn zone.
    """
    random_source = random.Random(seed)
    running = []
    reported = [[0] * upstreams for _ in range(instances)]
    over = 0
    requests = 900
    for number in range(requests):
        now = number / 45
        running = [entry for entry in running if entry[0] > now]
        own = [
            [sum(i == a and u == b for _, i, u in running) for b in range(upstreams)]
            for a in range(instances)
        ]
        instance = random_source.randrange(instances)
        if number % 16 == 0:
            reported = own
        known = [
            sum((own if a == instance else reported)[a][b] for a in range(instances))
            for b in range(upstreams)
        ]
        candidates = [
            Candidate(
                make_upstream(f"u{n}"),
                UpstreamLoad(known[n], own_running=own[instance][n]),
            )
            for n in range(upstreams)
        ]
        allowed = find(candidates, FACTOR, service_size) or candidates
        chosen = int(random_source.choice(allowed).upstream.id[1:])
        load = sum(u == chosen for _, _, u in running)
        over += number > 90 and load > FACTOR * len(running) / service_size + 3
        running.append((now + random_source.uniform(1, 2.5), instance, chosen))
    return over / requests


def find_least_loaded(candidates, *_):
    """Return the candidates with the smallest known load of the fleet."""
    least = min(candidate.load.running for candidate in candidates)
    return [c for c in candidates if c.load.running == least]


class ReplayTest(unittest.TestCase):
    """Guards against a ranking that does no better than simpler rules."""

    def test_least_loaded_prefills_far_more(self):
        for seed in (1, 2, 3):
            ours, _ = replay_load(rank_by_cost, seed)
            theirs, _ = replay_load(rank_by_load, seed)
            self.assertLess(ours, 0.6 * theirs)

    def test_least_loaded_overloads_while_a_zone_is_withdrawn(self):
        for seed in (1, 2, 3):
            # The service rules allow 3 in 100.
            self.assertLess(replay_withdrawn_zone(find_balanced, seed), 0.03)
            self.assertGreater(replay_withdrawn_zone(find_least_loaded, seed), 0.03)

    def test_reading_again_costs_more_than_copies(self):
        for seed in (1, 2, 3):
            copied, waited_ms = replay_surge(True, seed)
            prefilled, waited_longer_ms = replay_surge(False, seed)
            self.assertLess(copied, prefilled)
            self.assertLess(waited_ms, waited_longer_ms)

    def test_affinity_alone_queues_longer(self):
        for seed in (1, 2, 3):
            _, ours = replay_load(rank_by_cost, seed)
            _, theirs = replay_load(rank_by_affinity, seed)
            self.assertLessEqual(ours, theirs)


if __name__ == "__main__":
    unittest.main()
