"""Drawn troubles of a soak of real processes: when, where and how often they come."""

import random
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from tests.gateway.process_fleet import ALLOWANCE, GRACE_S
from tests.gateway.soak_bursts import BURST_SPAN_S, send_burst, send_pairs

# Each is left out of some seeds.
TROUBLES = frozenset(
    {
        "stops",
        "stops_at_start",
        "reloads",
        "configurations",
        "silences",
        "departures",
        "early_ends",
        "kills",
        "halts",
        "bursts",
        "pairs",
    }
)
# Drawn apart, so that the seeds of the others keep their meaning.
DRAWN_APART = frozenset({"early_ends"})
SHARE = 0.6
# Share of the events after whose first bytes a stream ends in good form.
EARLY_END_SHARES = (0.005, 0.02)
SILENCE_S = (1.0, 2.9)
# The fraction of the grace period after which an instance takes no more connections.
CLOSE_FRACTION = 0.35
# Time before a planned stop at which streams begin that it finds under way.
PAIRS_BEFORE_S = 0.5


@dataclass
class Plan:
    """Troubles of one run: their times in seconds and what is done then."""

    kinds: list = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    entries: list = field(default_factory=list)

    def add(self, kind, at, work, *arguments):
        """Add one; the work is called with a list for further attempts."""
        self.counts[kind] += 1
        self.entries.append((at, partial(work, *arguments)))


def draw_plan(soak, troubles, certain):
    """Return the troubles of a run."""
    drawn, plan = soak.random, Plan()
    draws = {name: drawn.random() for name in sorted(TROUBLES - DRAWN_APART)}
    for name in DRAWN_APART:
        draws[name] = random.Random(f"{soak.seed} {name}").random()
    chosen = [name for name in sorted(troubles) if certain or draws[name] < SHARE]
    plan.kinds = chosen
    for name in chosen:
        if name in DRAWS:
            DRAWS[name](soak, plan)
    return plan


def draw_stops(soak, plan):
    """Draw planned stops: of one, of several, of all in series, twice, in a reload."""
    drawn, instances = soak.random, soak.fleet.instances
    kinds = ("one", "several", "series", "twice", "reload")
    for kind in drawn.sample(kinds, drawn.randint(1, 3)):
        at = drawn.uniform(2.0, max(3.0, soak.seconds - 10.0))
        count = {"several": drawn.randint(2, 3), "series": len(instances)}.get(kind, 1)
        # The series goes through all, up to three at once.
        step_s = drawn.uniform(1.0, 3.0) if kind == "series" else 0.0
        for number, instance in enumerate(drawn.sample(instances, count)):
            start_at = at + number * step_s
            if start_at > soak.seconds:
                break
            again_s = drawn.uniform(0.0, 3.5) if kind == "twice" else None
            reload_s = drawn.uniform(0.0, 0.6) if kind == "reload" else None
            work = partial(stop, instance, again_s, reload_s, drawn.uniform(0.1, 1.0))
            plan.add(f"stop {kind}", start_at, work)
            if "pairs" in plan.kinds:
                plan.add("pairs", start_at - PAIRS_BEFORE_S, send_pairs, instance)
            if "bursts" in plan.kinds:
                middle = start_at + GRACE_S * CLOSE_FRACTION
                plan.add("burst", middle - BURST_SPAN_S / 2, send_burst, instance)


def stop(instance, again_s, reload_s, pause_s, _extra):
    """Stop an instance as planned and start it again at the same address."""
    if not instance.claim_stop():
        return
    if reload_s is not None:
        instance.write_settings(ALLOWANCE + 1)
        instance.signal(signal.SIGHUP)
        time.sleep(reload_s)
    instance.signal(signal.SIGTERM)
    if again_s is not None:
        timer = threading.Timer(
            again_s, instance.process.send_signal, (signal.SIGTERM,)
        )
        timer.daemon = True
        timer.start()
    instance.wait_end()
    time.sleep(pause_s)
    instance.start()


def draw_stops_at_start(soak, plan):
    """Draw planned stops that come again while the process starts."""
    drawn = soak.random
    for _ in range(drawn.randint(1, 2)):
        instance = drawn.choice(soak.fleet.instances)
        delay_s = drawn.uniform(0.0, 1.5)
        at = drawn.uniform(2.0, max(3.0, soak.seconds - 12.0))
        plan.add("stop at start", at, stop_twice, instance, delay_s)


def stop_twice(instance, delay_s, extra):
    """Stop an instance, and again while its next process starts."""
    stop(instance, None, None, 0.1, extra)
    time.sleep(delay_s)
    stop(instance, None, None, 0.1, extra)


def draw_reloads(soak, plan):
    """Draw series of SIGHUP to one or all, with new, same or invalid settings."""
    drawn = soak.random
    for _ in range(drawn.randint(1, 2)):
        first = drawn.uniform(1.0, soak.seconds - 2.0)
        step_s = drawn.uniform(0.05, 1.0)
        chosen = drawn.choice(([drawn.choice(soak.fleet.instances)], None))
        for number in range(drawn.randint(2, 8)):
            cut = drawn.random() < 0.2
            allowance = ALLOWANCE - drawn.randrange(3)
            for instance in chosen or soak.fleet.instances:
                at = first + number * step_s
                plan.add("reload", at, reload, instance, allowance, cut)


def reload(instance, allowance, cut, _extra):
    """Write the settings of an instance and have it read them."""
    with instance.lock:
        # A process that starts has no handler of the signal yet.
        if instance.is_stopping or not instance.is_ready():
            return
        instance.write_settings(allowance, cut)
        instance.signal(signal.SIGHUP)
        if cut:
            time.sleep(0.7)
            instance.write_settings(allowance)


def draw_configurations(soak, plan):
    """Draw configurations, one to three in a row."""
    drawn = soak.random
    for _ in range(drawn.randint(1, 3)):
        first = drawn.uniform(1.0, soak.seconds - 2.0)
        for number in range(drawn.randint(1, 3)):
            at = first + number * drawn.uniform(0.05, 0.6)
            plan.add("configuration", at, lambda _extra: soak.configure())


def draw_silences(soak, plan):
    """Draw upstreams that write nothing for some time, now and then."""
    drawn = soak.random
    at = drawn.uniform(1.0, 4.0)
    while at < soak.seconds - 3.0:
        seconds = drawn.uniform(*SILENCE_S)
        count = drawn.choice((1, 1, 1, 2))
        plan.add("silence", at, pause, soak, drawn.random(), count, seconds)
        at += drawn.uniform(1.0, 5.0)


def pause(soak, place, count, seconds, _extra):
    """Let one upstream or two be silent."""
    up = soak.list_up()
    for number in range(count):
        up[(int(place * len(up)) + number) % len(up)].pause(seconds)


def draw_departures(soak, plan):
    """Draw upstreams that leave and come back under another name."""
    drawn = soak.random
    for _ in range(drawn.randint(1, 3)):
        at = drawn.uniform(1.0, soak.seconds - 5.0)
        linger_s, back_s = drawn.uniform(1.5, 4.0), drawn.uniform(0.5, 3.0)
        plan.add("departure", at, depart, soak, drawn.random(), linger_s, back_s)


def depart(soak, place, linger_s, back_s, _extra):
    """Let an upstream leave, and start it again."""
    up = soak.list_up()
    upstream = up[int(place * len(up))]
    upstream.leave(linger_s)
    time.sleep(back_s)
    soak.replace(upstream)


def draw_early_ends(soak, plan):
    """Draw upstreams that end some streams inside an event, but in good form."""
    drawn = random.Random(f"{soak.seed} early ends")
    at = drawn.uniform(0.0, 2.0)
    while at < soak.seconds - 2.0:
        seconds, share = drawn.uniform(1.0, 6.0), drawn.choice(EARLY_END_SHARES)
        plan.add("early ends", at, end_early, soak, drawn.random(), share, seconds)
        at += drawn.uniform(1.0, 5.0)


def end_early(soak, fraction, share, seconds, _extra):
    """Let some upstreams end streams early."""
    up = soak.list_up()
    for upstream in up[: max(1, round(fraction * len(up)))]:
        upstream.end_early(share, seconds)


def draw_kills(soak, plan):
    """Draw upstreams that end under their requests and come back."""
    drawn = soak.random
    for _ in range(drawn.randint(1, 3)):
        at = drawn.uniform(1.0, soak.seconds - 5.0)
        back_s = drawn.uniform(0.5, 4.0)
        plan.add("kill", at, kill, soak, drawn.random(), back_s)


def kill(soak, place, back_s, _extra):
    """End an upstream, and start it again."""
    up = soak.list_up()
    upstream = up[int(place * len(up))]
    upstream.kill()
    time.sleep(back_s)
    soak.replace(upstream)


DRAWS = {
    "stops": draw_stops,
    "stops_at_start": draw_stops_at_start,
    "reloads": draw_reloads,
    "configurations": draw_configurations,
    "silences": draw_silences,
    "departures": draw_departures,
    "early_ends": draw_early_ends,
    "kills": draw_kills,
}

__all__ = ["TROUBLES", "Plan", "draw_plan"]
