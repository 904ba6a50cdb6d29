"""Tests of load estimates from reports of other instances."""

import random
import unittest

from fescueflow.core import UpstreamId
from fescueflow.routing import LoadReport, blend_reports

NAMES = [UpstreamId(f"u{n}") for n in range(3)]


class BlendTest(unittest.TestCase):
    """Guards against old loads that count as current after they have ended."""

    def test_new_report_counts_in_full(self):
        reports = [LoadReport(0.0, {"u0": (4, 900)}), LoadReport(0.0, {"u0": (2, 0)})]
        loads = blend_reports(reports, NAMES, 1.0)
        self.assertEqual(loads["u0"], (6, 900))
        self.assertEqual(loads["u1"], (0, 0))

    def test_old_report_is_an_even_load(self):
        loads = blend_reports([LoadReport(50.0, {"u0": (6, 900)})], NAMES, 1.0)
        for name in NAMES:
            self.assertAlmostEqual(loads[name][0], 2.0)
            self.assertAlmostEqual(loads[name][1], 300.0)

    def test_other_services_are_left_out(self):
        loads = blend_reports([LoadReport(0.0, {"other": (6, 0)})], NAMES, 1.0)
        self.assertEqual(set(loads), set(NAMES))


def sum_reports(reports, names, _):
    """Return the sums of the reported loads, whatever their age."""
    return blend_reports([LoadReport(0.0, r.loads) for r in reports], names, 1.0)


def replay_waiting_prompts(estimate, seed, instances=88, interval_s=2.8):
    """Return the fraction of prompts that avoid a holder although its queue is empty.

    Notes
    -----
    By default, 88 instances that report every 2.8 s send 60 prompts per second of
    10,000 tokens each to thirty holders, which prefill 112 tokens per millisecond.
    """
    random_source = random.Random(seed)
    names = [UpstreamId(f"u{n}") for n in range(30)]
    queues = dict.fromkeys(names, 0.0)
    sent = []
    reports = {i: (-random_source.uniform(0, interval_s), {}) for i in range(instances)}
    avoided = 0
    prompts = 1500
    for number in range(prompts):
        now = number / 60
        queues = {n: max(0.0, tokens - 112_000 / 60) for n, tokens in queues.items()}
        sent = [entry for entry in sent if now - entry[0] < 0.1]
        for i, (at, _) in reports.items():
            if now - at >= interval_s:
                own = [name for _, sender, name in sent if sender == i]
                loads = {name: (own.count(name), 10_000) for name in set(own)}
                reports[i] = (now, loads)
        known = [
            LoadReport(max(0.0, now - at), loads) for at, loads in reports.values()
        ]
        loads = estimate(known, names, 1.0)
        holder = random_source.choice(names)
        # A copy costs about as much as a queue of 6,000 tokens.
        avoided += loads[holder][1] > 6_000 and queues[holder] == 0.0
        queues[holder] += 10_000
        sent.append((now, random_source.randrange(instances), holder))
    return avoided / prompts


class ReplayTest(unittest.TestCase):
    """Guards against estimates that do no better than old reports as they are."""

    def test_holders_are_not_avoided_for_prompts_that_were_read_since(self):
        for seed in (1, 2, 3):
            with_decay = replay_waiting_prompts(blend_reports, seed)
            without_decay = replay_waiting_prompts(sum_reports, seed)
            self.assertLess(with_decay, without_decay / 3)


if __name__ == "__main__":
    unittest.main()
