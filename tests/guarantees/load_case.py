"""Base class, closed-loop load and checks for the tests of load guarantees."""

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

TIMEOUT_S = 90.0
# A caller that times out cancels its request, which the tests can't tell from work
# that the fleet interrupted. The timeout is long because new homes have no share in
# the first seconds.
CALLER_TIMEOUT_S = 20.0
MESSAGE_TOKENS = 6
# A slot is used up to 1 s after its grant, and a home uses load digests for up to 3 s.
SLOT_START_MAX_S = 1.0
LOAD_AGE_MAX_S = 3.0 + SLOT_START_MAX_S
LOAD_FACTOR = 1.25
RECALLED = "fescueflow_recalled_attempts_total"


class Load:
    """Closed-loop load: workers that each keep one request in flight.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose instances the workers call.
    workers : int
        Number of worker threads.
    customer : str
        Customer of all requests.
    shared : bool
        Whether all requests are one chat with one affinity; otherwise each request
        is a chat of its own.
    service : bool
        Whether the workers call the plain service instead of the model.
    """

    def __init__(self, fleet, workers, customer, shared=False, service=False):
        self.fleet, self.customer = fleet, customer
        self.shared, self.service = shared, service
        self.results = []
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run_worker, args=(number,), daemon=True)
            for number in range(workers)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()
        return self

    def finish(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S)

    def count_complete_answers(self):
        return sum(result.whole for _, result in list(self.results))

    def wait_complete_answers(self, count):
        """Wait until ``count`` more calls were answered completely."""
        goal = self.count_complete_answers() + count
        self.fleet.wait_until(
            lambda: self.count_complete_answers() >= goal,
            TIMEOUT_S,
            f"{count} more complete answers, got {self.results[-5:]}",
        )

    def _run_worker(self, number):
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
        content = make_message(self.customer, chat, f"{number}-{turn}", MESSAGE_TOKENS)
        messages = [{"role": "user", "content": content}]
        affinity = chat if self.shared else None
        return caller.chat(MODEL, chat, messages, affinity=affinity)


class LoadCase(unittest.TestCase):
    """Test case that runs a fleet and checks that no invariant was breached."""

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
            lambda: self.find_homes().keys() >= upstreams,
            TIMEOUT_S,
            "a home of each upstream",
        )
        return self.find_homes()

    def find_homes(self):
        """Return {upstream: instances that consider themselves its home}."""
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

    def assert_uninterrupted(self, upstreams, since):
        """Assert that work in flight completed or was cancelled by a slot recall.

        The engine cancels an attempt whose slot is recalled; the request continues
        on another upstream and its caller gets the complete answer. Slots are
        recalled only for other work, so an upstream without new work has no recalls.

        Parameters
        ----------
        upstreams : dict of str to stand-in
            Upstreams to check, by name.
        since : float
            Monotonic time from which the upstreams get no new work.
        """
        entries = [e for u in upstreams.values() for e in u.ledger.get_entries()]
        cancelled = [e for e in entries if e.result == "cancelled"]
        others = {e.result for e in entries if e not in cancelled}
        self.assertEqual(others, {"completed"}, "work in flight was interrupted")
        late = [e for e in cancelled if e.ended_at > since + SLOT_START_MAX_S]
        self.assertEqual(late, [], "work in flight was interrupted")
        metrics = [self.fleet.read_metrics(i.id) for i in self.fleet.get_running()]
        recalled = sum(m.get(RECALLED, 0) for m in metrics)
        self.assertLessEqual(len(cancelled), recalled, cancelled)
        keys = {entry.key for entry in cancelled}
        self.fleet.wait_until(
            lambda: keys <= self.find_answered_ids(),
            TIMEOUT_S,
            f"complete answers to {keys}, whose slots were recalled",
        )

    def find_answered_ids(self):
        """Return the ids of the completely answered requests of all loads."""
        results = [r for load in self.loads for _, r in list(load.results)]
        return {result.request_id for result in results if result.whole}

    def list_starts(self, upstreams, since):
        """Return the ledger entries that started after a time, by upstream."""
        found = {n: u.ledger.get_started_after(since) for n, u in upstreams.items()}
        return {name: entries for name, entries in found.items() if entries}


def merge_histories(engines):
    """Return (time, engine, in flight, whether it grew) of all changes, by time."""
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


def find_peak(samples, start, end):
    """Return the highest number in flight at an engine within an interval."""
    peak = 0
    for at, count in reversed(samples):
        if at <= end:
            peak = max(peak, count)
        if at <= start:
            break
    return peak


def find_load_bound_breaches(engines):
    """Return the starts that put an engine above ``c * mean + 1``.

    Notes
    -----
    At each start, the engine's number in flight, with the new request, is compared
    with ``floor(c * total / engines + 1)``. The total is the sum of each engine's
    peak in the interval from which the home's information can stem: an instance
    doesn't know the current load of another home's engine, a digest is used for
    3 s, a slot up to 1 s after its grant, and slots count before their requests
    reach the engine. The mean may therefore exceed the current one while the load
    falls, but it contains no load that the group did not have at about that time.
    """
    rows = merge_histories(engines)
    samples = {name: [(float("-inf"), 0)] for name in engines}
    for at, name, count, _ in rows:
        samples[name].append((at, count))
    breaches = []
    for at, name, count, grew in rows:
        if grew:
            interval = at - LOAD_AGE_MAX_S, at + SLOT_START_MAX_S
            total = sum(find_peak(s, *interval) for s in samples.values())
            bound = floor(LOAD_FACTOR * total / len(engines) + 1)
            if count > bound:
                breaches.append((at, name, count, bound))
    return breaches
