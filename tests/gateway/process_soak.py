"""Randomised run of the deploy file's program as real processes.

``python -m tests.gateway.process_soak --seeds 50 --seconds 30`` plays 50 runs and
prints a line for each; the exit code is 1 if a promise was broken. Drawn are the size
of the fleet, the upstreams and their room, and which troubles come in series and
overlap: planned stops, reloads, configurations, and upstreams that fall silent, leave,
end streams inside an event, or end and come back.
"""

import argparse
import json
import random
import sys
import threading
import time
from collections import Counter

from tests.gateway.fake_servers import FakeStore
from tests.gateway.pausing_upstreams import Hearing, PausingUpstream
from tests.gateway.process_fleet import OUTPUTS, UNANSWERED, ZONES, ProcessFleet
from tests.gateway.soak_bursts import MORE
from tests.gateway.soak_callers import ROUTES, Caller
from tests.gateway.soak_rules import EXCUSES, Judge, Loss
from tests.gateway.soak_troubles import TROUBLES, draw_plan

INSTANCES = (9, 8)
UPSTREAMS = (6, 12)
CALLERS = (60, 110)
APPLICATIONS = 3
# Places of all upstreams for each caller.
ROOMS = {"full": (0.5, 1.0), "roomy": (2.0, 4.0)}
# Machines are in touch once they have run for the stable window.
SETTLE_S = 3.5
# Time for answers that have begun, and for the log of a process.
END_TIMEOUT_S = 16.0
LOGGED_MAX = 3
ERROR_CHARS = 3000


def make_table(version):
    """Return a configuration with the routes of both sites."""
    routes = [
        {
            "name": f"r-{path.strip('/')}",
            "host": "fleet.example",
            "prefix": path,
            "kind": kind,
            "timeout_ms": round(timeout_s * 1000),
            "target_latency_ms": round(objective_s * 1000),
            "priority": number % 3,
            "service": "engines" if kind == "streaming" else "applications",
            "max_attempts": attempts,
            "public": False,
            "sticky": kind == "streaming",
            "resumable": resumable,
            "target_gap_ms": 400,
        }
        for number, (path, entry) in enumerate(ROUTES.items())
        for kind, objective_s, timeout_s, _, resumable, attempts, _ in [entry]
    ]
    services = [
        {
            "name": name,
            "health_path": "/healthz",
            "max_connections": 630,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 3.0,
            "cold_per_s": 20.0,
        }
        for name in ("engines", "applications")
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "c1", "api_keys": ["k1"], "priority": 1}],
    }


class ProcessSoak:
    """One run.

    Parameters
    ----------
    seed : int
        Determines the fleet, the troubles and the requests.
    seconds : float
    instances : int, optional
    room : str, optional
        ``full`` or ``roomy``; drawn by default.
    troubles : collection of str, optional
        Names of the troubles that may be drawn; all by default.
    certain : bool
        Whether each of them comes, instead of being drawn.
    output : str
        Where the standard output of the processes goes.
    max_fds : int, optional
        Limit of descriptors of a process.

    Attributes
    ----------
    upstreams : list of PausingUpstream
        All lives, ended ones too.
    """

    def __init__(  # noqa: PLR0913
        self,
        seed,
        seconds,
        *,
        instances=None,
        room=None,
        troubles=TROUBLES,
        certain=False,
        output="file",
        max_fds=None,
    ):
        self.seed, self.seconds = seed, seconds
        self.random = random.Random(seed)
        self.room = room or self.random.choice(sorted(ROOMS))
        self.hearing = self.random.choice(list(Hearing))
        count = instances or self.random.choice(INSTANCES)
        self.callers_count = self.random.randint(*CALLERS)
        self.configured_at = []
        self.version = 1
        self.store = FakeStore()
        self.store.put("op/config", make_table(1))
        self.upstreams = []
        self._add_upstreams()
        self.fleet = ProcessFleet(self.store, count)
        for instance in self.fleet.instances:
            instance.output, instance.max_fds = output, max_fds
        self.is_over = threading.Event()
        self.plan = draw_plan(self, troubles, certain)
        self.lines = {}

    def _add_upstreams(self):
        drawn = self.random
        count = drawn.randint(*UPSTREAMS)
        streams = sum(r[-1] for r in ROUTES.values() if r[0] == "streaming") / 100
        places = drawn.uniform(*ROOMS[self.room]) * self.callers_count * streams
        gap_s = drawn.uniform(0.1, 0.2)
        queue = drawn.randint(1, 3)
        for number in range(count):
            self._add_upstream(
                f"i-{number}",
                service="engines",
                zone=ZONES[number % len(ZONES)],
                slots=max(2, round(places / count) - queue),
                queue=queue,
                hearing=self.hearing,
                gap_s=gap_s,
            )
        for number in range(APPLICATIONS):
            self._add_upstream(
                f"b-{number}",
                service="applications",
                zone=ZONES[number],
                slots=6,
                queue=24,
                hearing=self.hearing,
                gap_s=0.0,
            )

    def _add_upstream(self, name, **shape):
        upstream = PausingUpstream(name, self.store, **shape)
        upstream.shape = shape
        self.upstreams.append(upstream)

    def replace(self, upstream):
        """Start an upstream that has ended again, at its address."""
        name = f"{upstream.name}-{len(self.upstreams)}"
        self._add_upstream(name, **{**upstream.shape, "port": upstream.port})

    def list_up(self):
        """Return the upstreams that run and don't leave."""
        return [u for u in self.upstreams if u.is_up and not u.is_leaving]

    def configure(self):
        """Write the next configuration."""
        self.version += 1
        self.configured_at.append(time.monotonic())
        self.store.put("op/config", make_table(self.version))

    def run(self):
        """Play the run and return the findings."""
        halts = "halts" in self.plan.kinds
        callers = [
            Caller(number, self.seed, self.fleet, self.is_over, halts)
            for number in range(self.callers_count)
        ]
        try:
            self.fleet.start()
            time.sleep(SETTLE_S)
            for caller in callers:
                caller.thread.start()
                time.sleep(0.01)
            extra = self._play()
            for caller in callers:
                caller.thread.join(END_TIMEOUT_S)
            time.sleep(0.3)
            attempts = [a for caller in callers for a in caller.attempts if a.ended_at]
            judge = Judge(
                [*attempts, *extra],
                self.upstreams,
                self.fleet.instances,
                self.configured_at,
            )
            findings = judge.judge()
            self._explain(findings)
            return findings
        finally:
            self.is_over.set()
            self._close()

    def _play(self):
        """Start the troubles at their times; return the attempts of bursts."""
        began = time.monotonic()
        threads, extra = [], []
        for at, work in sorted(self.plan.entries, key=lambda entry: entry[0]):
            time.sleep(max(0.0, began + at - time.monotonic()))
            thread = threading.Thread(target=work, args=(extra,), daemon=True)
            thread.start()
            threads.append(thread)
        time.sleep(max(0.0, began + self.seconds - time.monotonic()))
        for thread in threads:
            thread.join(END_TIMEOUT_S)
        self.is_over.set()
        return extra

    def _explain(self, findings):
        """Keep the log lines of lost requests, the counter and the error output."""
        logs = self.fleet.read_logs()
        for loss, attempts in findings.lost.items():
            if loss not in EXCUSES:
                self.lines[loss] = {a.id: logs.get(a.id, []) for a in attempts}
        for hearing, ids in findings.worked_on.items():
            self.lines[hearing] = {name: logs.get(name, []) for name in ids}
        self.errors = self.fleet.read_errors()
        # What the instances that outlasted their grace period told of themselves.
        self.notes = [
            line
            for line in logs.get(None, [])
            if line.get("channel") == "process"
            and line.get("instance") in findings.overstays
        ]
        self.counted, self.told = Counter(), {}
        for instance in self.fleet.instances:
            for (_, name), count in instance.unanswered.items():
                self.counted[name.removeprefix(UNANSWERED)] += int(count)
        for name, lines in logs.items():
            causes = [x["cause"] for x in lines if x.get("message") == "unanswered"]
            self.told.update({name: causes[0]} if causes else {})

    def _close(self):
        self.fleet.close()
        for upstream in self.upstreams:
            upstream.kill(expiry_s=0.0)
        self.store.close()


def describe(soak, findings):
    """Return the line of one run."""
    lost = {loss.value: len(found) for loss, found in findings.lost.items()}
    worked_on = {h.value: len(found) for h, found in findings.worked_on.items()}
    entry = {
        "seed": soak.seed,
        "room": soak.room,
        "hearing": soak.hearing.value,
        "instances": len(soak.fleet.instances),
        "callers": soak.callers_count,
        "troubles": dict(soak.plan.counts),
        "requests": findings.requests,
        "served": findings.served,
        "refused": findings.refused,
        "abandoned": findings.abandoned,
        "held": len(findings.held),
        "lost": lost,
        "unexcused": findings.count_lost(),
        "twice": len(findings.twice),
        "false_refusals": len(findings.false_refusals),
        "worked_on": worked_on,
        "mixed": findings.mixed[:LOGGED_MAX],
        "counter": dict(soak.counted),
        **compare_logs(soak, findings),
        "breaches": findings.list_breaches(),
    }
    return " ".join(f"{name}={value}" for name, value in entry.items())


def compare_logs(soak, findings):
    """Return the difference between what callers saw and what instances logged.

    Notes
    -----
    Requests that crossed the close may not have been read, a caller that leaves sees no
    loss, and one that sends more behind its request must expect the close.
    """
    seen = {
        attempt.id
        for loss, found in findings.lost.items()
        for attempt in found
        if loss is not Loss.CROSSED
    }
    told = {
        name
        for name, cause in soak.told.items()
        if cause != "caller_left" and not name.endswith(MORE)
    }
    return {
        "told": dict(Counter(soak.told.values())),
        "seen_not_told": sorted(seen - told)[:LOGGED_MAX] if told else len(seen),
        "told_not_seen": sorted(told - seen)[:LOGGED_MAX],
    }


def print_losses(soak, findings):
    """Print the lost requests with the last log lines of their instance."""
    kept = ("time", "message", "end", "why", "events", "upstream", "left_ms", "status")
    names = {i.callers_address: i for i in soak.fleet.instances}
    for loss, found in findings.lost.items():
        patterns = Counter()
        for attempt in found:
            instance = names[attempt.instance]
            lines = soak.lines.get(loss, {}).get(attempt.id, [])
            patterns[" > ".join(line["message"] for line in lines)] += 1
            after = [attempt.ended_at - at for at in instance.stopped_at]
            print(
                f"  {loss.value}: {attempt.id} {attempt.path} {instance.name}"
                f" status={attempt.status} events={attempt.events}"
                f" after_s={attempt.ended_at - attempt.sent_at:.2f}"
                f" after_stop_s={[round(s, 2) for s in after]} {attempt.end}"
            )
            for line in lines[-4:]:
                print("   ", json.dumps({k: line[k] for k in kept if k in line}))
        for pattern, count in patterns.most_common():
            print(f"  {loss.value}: {count} x [{pattern}]")
    for hearing in findings.worked_on:
        for name, lines in soak.lines[hearing].items():
            print(f"  worked on: {name}")
            for line in lines:
                print("   ", json.dumps({k: line[k] for k in kept if k in line}))
    for line in soak.notes:
        print("   ", json.dumps(line))
    for name, text in soak.errors.items():
        print(f"  {name}: {text[-ERROR_CHARS:]}")


def parse_options():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--instances", type=int)
    parser.add_argument("--room", choices=sorted(ROOMS))
    parser.add_argument("--only", nargs="*", choices=sorted(TROUBLES))
    parser.add_argument("--without", nargs="*", default=[], choices=sorted(TROUBLES))
    parser.add_argument("--certain", action="store_true", help="none is left out")
    parser.add_argument("--output", choices=OUTPUTS, default="file")
    parser.add_argument("--max-fds", type=int)
    parser.add_argument("--losses", action="store_true", help="print each loss")
    return parser.parse_args()


def main():
    """Play runs, print a line for each and return the exit code."""
    options = parse_options()
    troubles = set(options.only if options.only is not None else TROUBLES)
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        soak = ProcessSoak(
            seed,
            options.seconds,
            instances=options.instances,
            room=options.room,
            troubles=troubles - set(options.without),
            certain=options.certain,
            output=options.output,
            max_fds=options.max_fds,
        )
        findings = soak.run()
        failed += bool(findings.list_breaches())
        print(describe(soak, findings), flush=True)
        if options.losses:
            print_losses(soak, findings)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
