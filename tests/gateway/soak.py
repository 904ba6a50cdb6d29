"""Randomised run of live instances before upstreams that end under some requests.

``python -m tests.gateway.soak --seeds 50`` plays 50 runs and prints a line for each.
Share, number, moment, route and place of the faulty parts are drawn, and so are the
length of the prompts, the events that an upstream writes before it ends under them,
answers that are cut in their head, upstreams that end by themselves, instances that
stop and start again, and new configurations, which come in series and overlap. Callers
keep their connections until these are closed.
"""

import argparse
import http.client
import json
import random
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from tests.gateway.fake_servers import FakeStore, make_event
from tests.gateway.gateway_case import make_table
from tests.gateway.mortal_upstreams import EVENTS, LiveFleet, MortalUpstream
from tests.routing.builders import make_parts

INSTANCES = 3
UPSTREAMS = 6
CALLERS = 8
WHOLE = b"".join(make_event(number) for number in (1, 2, 3))
# Bounds of the rules: requests with a part that may reach upstreams later than the
# stable window after the fifth end, and the share of sound ones that begin at once.
LATE_MAX = 3
WINDOW_S = 3.0
SOUND_MIN = 0.5
ROUTES = ("/stream/1", "/single/1", "/safe/1", "/once/1")


@dataclass
class Results:
    """What the callers of one run saw."""

    sound: Counter = field(default_factory=Counter)
    not_run: set = field(default_factory=set)
    problems: list = field(default_factory=list)


class GatewaySoak:
    """One run.

    Parameters
    ----------
    seed : int
        Determines the troubles and the requests.
    seconds : float
    """

    def __init__(self, seed, seconds):
        self.seed, self.seconds = seed, seconds
        self.random = random.Random(seed)
        self.results = Results()
        self.store = FakeStore()
        self.store.put("op/config", make_table(1))
        self.fatal_parts = set()
        self.upstreams = [
            MortalUpstream(f"u{n}", self.store, self.fatal_parts)
            for n in range(UPSTREAMS)
        ]
        first_write = self.random.randint(0, EVENTS)
        survives_s = self.random.choice((0.0, 0.005, 0.1))
        cut_share = self.random.choice((0.0, 0.0, 0.02))
        # Further parts of each subject's prompts.
        self.part_count = self.random.choice((0, 20, 120))
        for upstream in self.upstreams:
            upstream.first_write, upstream.survives_s = first_write, survives_s
            upstream.cut_share = cut_share
        self.fleet = LiveFleet(self.store, INSTANCES)
        self.share = self.random.choice((0.02, 0.05, 0.15))
        self.parts = ["fatal", "worse"][: self.random.randint(1, 2)]
        self.routes = self.random.sample(ROUTES, self.random.randint(1, len(ROUTES)))
        self.is_over = threading.Event()

    def run(self):
        """Return the problems of the run."""
        callers = [
            threading.Thread(target=self._call_all, args=(number,))
            for number in range(CALLERS)
        ]
        time.sleep(1.5)
        for caller in callers:
            caller.start()
        troubles = sorted(self._draw_troubles(), key=lambda entry: entry[0])
        began = time.monotonic()
        for at, work, arguments in troubles:
            time.sleep(max(0.0, began + at - time.monotonic()))
            threading.Thread(target=work, args=arguments, daemon=True).start()
        time.sleep(max(0.0, began + self.seconds - time.monotonic()))
        self.is_over.set()
        for caller in callers:
            caller.join()
        self._close()
        return [*self.results.problems, *self._check()]

    def _draw_troubles(self):
        drawn = self.random
        for part in self.parts:
            yield drawn.uniform(0.5, 3.0), self.fatal_parts.add, (part,)
        for _ in range(drawn.randint(0, 3)):
            upstream = drawn.choice(self.upstreams)
            yield drawn.uniform(0.5, self.seconds), upstream.end, ()
        for _ in range(drawn.randint(0, 2)):
            number = drawn.randrange(INSTANCES)
            yield drawn.uniform(0.5, self.seconds - 2.0), self.fleet.restart, (number,)
        for version in range(2, 2 + drawn.randint(0, 4)):
            arguments = ("op/config", make_table(version))
            yield drawn.uniform(0.5, self.seconds), self.store.put, arguments

    def _call_all(self, number):
        drawn = random.Random(self.seed * 100 + number)
        connection, count = None, 0
        while not self.is_over.is_set():
            count += 1
            route = drawn.choice(ROUTES)
            subject = f"subject{drawn.randrange(12)}"
            parts = ["first", subject, *make_parts(subject, self.part_count)]
            if route in self.routes and drawn.random() < self.share:
                place = drawn.randint(1, len(parts))
                parts.insert(place, drawn.choice(self.parts))
            attempt_id = f"a{number}-{count}"
            if connection is None:
                connection = self.fleet.connect(drawn.randrange(INSTANCES))
            try:
                status, body = self.fleet.send(connection, route, parts, attempt_id)
            except (OSError, http.client.HTTPException):
                status, body = 0, b""
            if not status:
                connection.close()
                connection = None
            self._judge(route, parts, attempt_id, status, body)
            time.sleep(drawn.uniform(0.0, 0.08))

    def _judge(self, route, parts, attempt_id, status, body):
        results = self.results
        is_sound = not set(parts).intersection(self.parts)
        if status == 200 and body != WHOLE:
            results.problems.append(f"{attempt_id} {route}: {body[:60]!r}")
        if status == 503:
            results.not_run.add(attempt_id)
        if is_sound:
            kind = json.loads(body)["error"]["type"] if status >= 500 else status
            results.sound[kind] += 1

    def _check(self):
        """Yield the problems that only the whole run shows."""
        arrivals = sorted(a for u in self.upstreams for a in u.arrivals)
        ends = sorted(at for u in self.upstreams for at in u.ended_at)
        for part in self.parts:
            under = [end for end in ends if self._ended_under(part, end, arrivals)]
            if under:
                since = under[min(len(under), 5) - 1] + WINDOW_S
                late = sum(at > since and part in parts for at, parts, *_ in arrivals)
                if late > LATE_MAX:
                    yield f"{part}: {late} late requests after {len(under)} ends"
        runs = Counter(a[2] for a in arrivals)
        for _, parts, attempt_id in arrivals:
            if attempt_id in self.results.not_run:
                yield f"{attempt_id} ran, but the answer said that it did not"
            if "/once/1" in parts and runs[attempt_id] > 1:
                yield f"{attempt_id} ran {runs[attempt_id]} times"
        total = sum(self.results.sound.values())
        if self.results.sound[200] < SOUND_MIN * total:
            yield f"sound requests: {dict(self.results.sound)}"

    def _ended_under(self, part, end, arrivals):
        return any(0 <= end - at < 1.0 and part in parts for at, parts, *_ in arrivals)

    def _close(self):
        self.fleet.close()
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()


def main():
    """Play runs, print a line for each and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        soak = GatewaySoak(seed, options.seconds)
        problems = soak.run()
        failed += bool(problems)
        ends = sum(len(upstream.ended_at) for upstream in soak.upstreams)
        sound = dict(soak.results.sound)
        print(f"seed={seed} ends={ends} sound={sound} problems={problems}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
