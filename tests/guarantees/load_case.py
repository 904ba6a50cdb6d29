"""Fleet, closed-loop load and judges shared by the tests of load guarantees."""

import threading
import time
import unittest
from contextlib import contextmanager
from math import floor

from tests.standins.caller import Caller
from tests.standins.content import make_message
from tests.standins.deployment import (
    LEDGER,
    MODEL,
    SHORT_LIST_LAG_S,
    SHORT_TIMINGS,
    Deployment,
)
from tests.standins.fleet import Fleet

GENEROUS_S = 90.0
# A caller that gives up cancels its request, which the tests of interrupted work
# can't tell from a fault. New homes have no share within the first seconds.
CALLER_TIMEOUT_S = 20.0
TOKENS = 6
# A home uses digests for up to 3 s, and a slot is used up to 1 s after its grant.
START_WITHIN_S = 1.0
KNOWN_LAG_S = 3.0 + START_WITHIN_S
LOAD_FACTOR = 1.25
RECALLED = "fescueflow_recalled_attempts_total"


class Load:
    """Workers that each keep one request in flight.

    Parameters
    ----------
    fleet : Fleet
    workers : int
    customer : str
    shared : bool
        Whether all requests have the same affinity, else each has its own chat.
    service : bool
        Whether the workers call the plain service instead of the model.
    """

    def __init__(self, fleet, workers, customer, shared=False, service=False):
        self.fleet, self.customer = fleet, customer
        self.shared, self.service = shared, service
        self.results = []
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._work, args=(number,), daemon=True)
            for number in range(workers)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()
        return self

    def finish(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join(GENEROUS_S)

    def count_whole(self):
        return sum(result.whole for _, result in list(self.results))

    def wait_whole(self, count):
        """Wait until this many more calls were answered completely."""
        goal = self.count_whole() + count
        self.fleet.wait_until(
            lambda: self.count_whole() >= goal,
            GENEROUS_S,
            f"{count} more complete answers, got {self.results[-5:]}",
        )

    def _work(self, number):
        caller = Caller(
            self.fleet.get_addresses,
            self.customer,
            timeout_s=CALLER_TIMEOUT_S,
            seed=number,
        )
        turn = 0
        while not self._stopping.is_set():
            turn += 1
            started = time.monotonic()
            self.results.append((started, self._call(caller, number, turn)))

    def _call(self, caller, number, turn):
        if self.service:
            body = b"%d-%d" % (number, turn)
            return caller.call_service(LEDGER, "POST", "/quotes", body, True)
        chat = "shared" if self.shared else f"{number}-{turn}"
        content = make_message(self.customer, chat, f"{number}-{turn}", TOKENS)
        messages = [{"role": "user", "content": content}]
        affinity = chat if self.shared else None
        return caller.chat(MODEL, chat, messages, affinity=affinity)


class LoadCase(unittest.TestCase):
    """Runs a fleet for one test and checks that it breached no invariant."""

    @contextmanager
    def run_fleet(self, preset, list_lag_s=SHORT_LIST_LAG_S, **timings):
        with Deployment(preset, list_lag_s) as deployment:
            timings = {**SHORT_TIMINGS, **timings}
            with Fleet(deployment, 9, timings) as fleet:
                self.deployment, self.fleet, self.loads = deployment, fleet, []
                try:
                    yield fleet
                finally:
                    for load in self.loads:
                        load.finish()
                self.assertEqual(fleet.count_breaches(), {})
                self.assertEqual(deployment.get_errors(), [])

    def start_load(self, workers, customer, **options):
        self.loads.append(Load(self.fleet, workers, customer, **options).start())
        return self.loads[-1]

    def finish_loads(self):
        for load in self.loads:
            load.finish()

    def wait_homes(self):
        """Wait until every upstream has a home and return them."""
        upstreams = self.deployment.get_upstreams().keys()
        self.fleet.wait_until(
            lambda: self.find_homes().keys() >= upstreams, GENEROUS_S, "homes"
        )
        return self.find_homes()

    def find_homes(self):
        """Return {upstream: instances that see themselves as its home}."""
        homes = {}
        for instance in self.fleet.get_running():
            for row in self.fleet.read_status(instance.id)["upstreams"]:
                homes.setdefault(row["upstream"]["id"], []).append(instance.id)
        return homes

    def wait_revision(self, revision, timeout_s, names=None):
        """Wait until instances have a revision or a higher one in force."""
        names = names or [i.id for i in self.fleet.get_running()]
        self.fleet.wait_until(
            lambda: all(self.read_revision(name) >= revision for name in names),
            timeout_s,
            f"revision {revision} in force on {names}",
        )

    def read_revision(self, name):
        return self.fleet.read_configuration(name).get("revision", 0)

    def check_uninterrupted(self, upstreams, since):
        """Check that work in flight ended by itself or by the recall of its slot.

        The engine cancels an attempt whose slot is recalled; the request goes on
        elsewhere and its caller gets the whole answer. Slots are recalled only
        for other work, so none is for an upstream without new work.

        Parameters
        ----------
        upstreams : dict of str to stand-in
        since : float
            From when the upstreams get no new work.
        """
        entries = [e for u in upstreams.values() for e in u.ledger.get_entries()]
        cancelled = [e for e in entries if e.result == "cancelled"]
        others = {e.result for e in entries if e not in cancelled}
        self.assertEqual(others, {"completed"}, "work in flight was interrupted")
        late = [e for e in cancelled if e.ended_at > since + START_WITHIN_S]
        self.assertEqual(late, [], "work in flight was interrupted")
        metrics = [self.fleet.read_metrics(i.id) for i in self.fleet.get_running()]
        recalled = sum(m.get(RECALLED, 0) for m in metrics)
        self.assertLessEqual(len(cancelled), recalled, cancelled)
        keys = {entry.key for entry in cancelled}
        self.fleet.wait_until(
            lambda: keys <= self.find_whole_keys(),
            GENEROUS_S,
            f"whole answers of {keys}, whose slots were recalled",
        )

    def find_whole_keys(self):
        """Return the ids of the requests that were answered completely."""
        results = [r for load in self.loads for _, r in list(load.results)]
        return {result.request_id for result in results if result.whole}

    def list_starts(self, upstreams, since):
        """Return what upstreams started after a moment, by upstream."""
        found = {n: u.ledger.get_started_after(since) for n, u in upstreams.items()}
        return {name: entries for name, entries in found.items() if entries}


def merge_histories(engines):
    """Return (time, engine, in flight, whether it grew) of all engines, in order."""
    rows = []
    for name, engine in engines.items():
        with engine.state.lock:
            history = list(engine.state.history)
        counts = [0, *(count for _, count in history)]
        rows += [
            (at, name, after, after > before)
            for before, (at, after) in zip(counts[:-1], history, strict=True)
        ]
    return sorted(rows)


def find_most(samples, start, end):
    """Return the most that was in flight at an engine within an interval."""
    most = 0
    for at, count in reversed(samples):
        if at <= end:
            most = max(most, count)
        if at <= start:
            break
    return most


def judge_load_bound(engines):
    """Return starts that put an engine above ``c * mean + 1``.

    Notes
    -----
    At each start, the engine's own count with the new request is compared with
    ``floor(c * total / engines + 1)``. The total adds up, engine by engine, the
    most that was in flight there within the times that the home's knowledge can
    stem from: no instance can know the present load of another home's engine, a
    digest is used for 3 s, a slot up to 1 s after its grant, and slots count
    before their requests reach the engine. A lagging mean may therefore exceed
    the present one while the load falls, but no load counts that the group did
    not have at about that time.
    """
    rows = merge_histories(engines)
    samples = {name: [(float("-inf"), 0)] for name in engines}
    for at, name, count, _ in rows:
        samples[name].append((at, count))
    breaches = []
    for at, name, count, grew in rows:
        if grew:
            interval = at - KNOWN_LAG_S, at + START_WITHIN_S
            total = sum(find_most(s, *interval) for s in samples.values())
            bound = floor(LOAD_FACTOR * total / len(engines) + 1)
            if count > bound:
                breaches.append((at, name, count, bound))
    return breaches
