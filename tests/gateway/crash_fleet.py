"""Discrete-event simulation of upstreams that crash under requests, without I/O.

Extends the simulation of placement: requests carry prompt parts, an upstream may end
when it begins to answer one, and instances report what they saw over a network that
loses, repeats and delays datagrams.
"""

from dataclasses import dataclass, field
from types import SimpleNamespace

from fescueflow.core import InstanceId, Overloaded, UpstreamId
from fescueflow.gateway.exchange import ConnectionLost
from fescueflow.gateway.peers import HURRIED_INTERVAL_S, REPORT_INTERVAL_S
from fescueflow.routing import SURVIVAL_S, PartId, Prompt, Verdict
from tests.gateway.fleet import (
    NETWORK_DELAY_S,
    REMAINING_S,
    TOKENS_PER_S,
    ZONES,
    FleetSimulation,
    Instance,
)
from tests.routing.builders import ENGINES, make_upstream

# Time between two events of an answer that are simulated.
EVENT_S = 0.1
FIRST_EVENT_S = 0.07
# Time from a crash until the store drops the entry, and until the upstream is back.
EXPIRY_S = 3.0
DOWN_S = 3.3
# Longest time until an instance notices that its connections are lost.
NOTICE_MAX_S = 0.08
ATTEMPTS_MAX = 2


@dataclass(frozen=True)
class Trouble:
    """What goes wrong from ``at`` on.

    ``fatal`` maps parts to the share of the requests that hold them. ``beside`` is
    added to each of these requests. ``crashes`` are groups of upstreams that crash
    without a cause, by seconds; ``lost`` is the share of datagrams lost or repeated.
    ``survives_s`` is how long an upstream lives after the first write of an answer
    with a fatal part; ``None`` if it ends before the write arrives. With ``is_short``,
    the first write of each answer holds all of it.
    """

    fatal: dict = field(default_factory=dict)
    beside: tuple = ()
    crashes: tuple = ()
    lost: float = 0.0
    at: float = 2.0
    killed: tuple = ()
    survives_s: float | None = None
    is_short: bool = False


class CrashPool:
    """Connections to simulated upstreams; those that are down refuse."""

    def __init__(self, simulation):
        self._simulation = simulation

    def open(self, address, timeout_s):
        if address in self._simulation.down:
            raise ConnectionRefusedError(111, "Connection refused")
        return SimpleNamespace()

    def has_open(self, address):
        return address not in self._simulation.down

    def release(self, connection, keep_alive_s):
        """Drop the connection."""


class CrashSimulation(FleetSimulation):
    """Simulates a load with a trouble; records arrivals and crashes by part."""

    def __init__(self, load, seed, trouble):
        super().__init__(load, seed)
        self.trouble = trouble
        self.down = set()
        self.ended_at = {}
        self.part_arrivals = []
        self.attempts = {name: {} for name in self.running}
        # First attempts of requests without a fatal part, and how many of them began.
        self.sound = {"sent": 0, "begun": 0}
        self.rejected_sound = 0
        self._starts = dict.fromkeys(self.running, 0)
        self._hurried = set()
        for instance in self.instances.values():
            self._adopt(instance)
            self._list_upstreams(instance)
        for at, names in trouble.crashes:
            self._schedule(at, self._crash_all, names)
        for at, name in trouble.killed:
            self._schedule(at, self._replace, InstanceId(name))

    def quarantined(self):
        """Return the sets of parts for which any instance rejects requests."""
        return {
            quarantine.culprit.parts
            for instance in self.instances.values()
            for quarantine in instance.quarantine._quarantines.get(ENGINES, ())
        }

    def count_late(self, part, window_s):
        """Return the arrivals with a part that the rules count."""
        ends = sorted(self.ended_at.get(part, ()))
        since = ends[min(len(ends), 5) - 1] + window_s
        return sum(at > since and part in parts for at, parts in self.part_arrivals)

    def _adopt(self, instance):
        instance.client._pool = CrashPool(self)
        instance.quarantine._on_change = lambda: self._hurry(instance)

    def _list_upstreams(self, instance):
        listed = [self._describe(name) for name in self.running]
        listed = [upstream for upstream in listed if upstream.address not in self.down]
        instance.platform_state.replace_upstreams(listed, self.clock.monotonic())

    def _describe(self, name):
        start = self._starts[name]
        zone = ZONES[int(name[1:]) % len(ZONES)]
        return make_upstream(
            name, zone, address=f"{name}-{start}", started_at_ms=1 + start
        )

    def _hurry(self, instance):
        if instance.name not in self._hurried:
            self._hurried.add(instance.name)
            self._schedule(HURRIED_INTERVAL_S, self._send_report, instance)

    def _report(self, instance):
        if self.instances.get(instance.name) is instance:
            self._send_report(instance)
            self._schedule(REPORT_INTERVAL_S, self._report, instance)

    def _send_report(self, instance):
        self._hurried.discard(instance.name)
        instance.client.check_survivors()
        receivers, data = instance.report(self.load.is_named)
        for receiver in receivers:
            copies = 1 + (self.random.random() < self.trouble.lost)
            copies -= self.random.random() < self.trouble.lost
            for _ in range(copies):
                delay_s = NETWORK_DELAY_S * self.random.uniform(0.5, 3.0)
                self._schedule(delay_s, self._deliver, receiver, data)

    def _deliver(self, receiver, data):
        if receiver in self.instances:
            self.instances[receiver].reporter.handle_report(data)

    def _replace(self, name):
        """Kill an instance and start another one in its place."""
        names = list(self.instances)
        upstreams = [self._describe(u) for u in self.running]
        number = names.index(name)
        started = Instance(number, names, upstreams, self.clock, number)
        self.instances[name] = started
        self._adopt(started)
        self._list_upstreams(started)
        self._schedule(0.0, self._report, started)

    def _request(self):
        load, trouble = self.load, self.trouble
        self._schedule(self.random.expovariate(load.per_s), self._request)
        (subject,) = self.random.choices(self._subjects, cum_weights=self._weights)
        parts = ["first", subject]
        for part, share in trouble.fatal.items():
            if self.now >= trouble.at and self.random.random() < share:
                parts = ["first", *trouble.beside, part]
        prompt = Prompt(
            parts[-1],
            load.shared_tokens,
            1_000,
            400,
            tuple(PartId(part) for part in parts),
        )
        self._send(self._choose_instance(), prompt, set(), 1)

    def _send(self, instance, prompt, tried, number):
        quarantine, now = instance.quarantine, self.clock.monotonic()
        instance.reporter.record_request()
        is_sound = not set(self.trouble.fatal).intersection(prompt.shared_parts)
        self.sound["sent"] += is_sound and number == 1
        verdict = quarantine.check(ENGINES, prompt)
        if verdict is Verdict.REJECT:
            self.rejected_sound += is_sound
            return
        key = None
        if verdict is not Verdict.ADMIT:
            key = quarantine.get_isolation_key(ENGINES, prompt)
        while True:
            try:
                selection = instance.selector.select(
                    ENGINES, prompt, tried, REMAINING_S, key
                )
            except Overloaded:
                return
            tried.add(selection.upstream.id)
            if selection.upstream.address not in self.down:
                break
            selection.active_request.end()
            instance.client._record_unhealthy(selection.upstream.id, is_down=True)
        name = selection.upstream.id
        attempt = SimpleNamespace(
            selection=selection,
            prompt=prompt,
            started_at=now,
            has_begun=False,
            has_survived=False,
            begun_at=now,
            exchange=SimpleNamespace(status=200, get_keep_alive=lambda: (True, None)),
            retry=lambda: self._send(instance, prompt, tried, number + 1),
            instance=instance,
            number=number,
        )
        self.part_arrivals.append((self.now, prompt.shared_parts))
        self.attempts[name][id(attempt)] = attempt
        self.running[name] += 1
        key = prompt.key
        is_read = key not in self.cached_keys[name]
        self.cached_keys[name].add(key)
        unread = 1_000 + (self.load.shared_tokens if is_read else 0)
        first_s = FIRST_EVENT_S + unread / TOKENS_PER_S
        self._schedule(first_s, self._begin, name, attempt, is_sound)

    def _begin(self, name, attempt, is_sound):
        if id(attempt) not in self.attempts[name]:
            return
        fatal = set(self.trouble.fatal).intersection(attempt.prompt.shared_parts)
        survives_s = self.trouble.survives_s
        if fatal and survives_s is None:
            self._crash_under(name, self._starts[name], fatal)
            return
        if fatal:
            start = self._starts[name]
            self._schedule(survives_s, self._crash_under, name, start, fatal)
        self.sound["begun"] += is_sound and attempt.number == 1
        attempt.selection.active_request.mark_prompt_read()
        attempt.has_begun, attempt.begun_at = True, self.clock.monotonic()
        attempt.instance.client.record_begun(attempt)
        if self.trouble.is_short:
            self._end(name, attempt)
            return
        self._schedule(EVENT_S, self._progress, name, attempt)
        duration_s = self.load.duration_s * self.random.uniform(0.5, 1.5)
        self._schedule(duration_s, self._end, name, attempt)

    def _crash_under(self, name, start, parts):
        if self._starts[name] != start or self._describe(name).address in self.down:
            return
        for part in parts:
            self.ended_at.setdefault(part, []).append(self.now)
        self._crash(name)

    def _progress(self, name, attempt):
        if id(attempt) in self.attempts[name]:
            client = attempt.instance.client
            age_s = self.clock.monotonic() - attempt.begun_at
            attempt.has_survived = age_s >= SURVIVAL_S
            client.record_alive(attempt)
            if attempt.has_survived:
                client.record_progress(attempt)
            self._schedule(EVENT_S, self._progress, name, attempt)

    def _end(self, name, attempt):
        if self.attempts[name].pop(id(attempt), None) is not None:
            self.running[name] -= 1
            attempt.selection.active_request.end()
            upstream = attempt.selection.upstream
            attempt.instance.selector.record_success(upstream.id)
            attempt.instance.quarantine.record_answer(upstream, attempt.started_at)
            attempt.instance.client.record_alive(attempt)

    def _crash_all(self, names):
        for name in names:
            self._crash(UpstreamId(name))

    def _crash(self, name):
        address = self._describe(name).address
        if address in self.down:
            return
        self.down.add(address)
        cut, self.attempts[name] = list(self.attempts[name].values()), {}
        self.running[name] = 0
        self.cached_keys[name] = set()
        for attempt in cut:
            notice_s = self.random.uniform(0, NOTICE_MAX_S)
            self._schedule(notice_s, self._notice, attempt)
        self._schedule(EXPIRY_S, self._list_everywhere)
        self._schedule(DOWN_S, self._restart, name)

    def _notice(self, attempt):
        attempt.selection.active_request.end()
        attempt.instance.client.record_failure(attempt, ConnectionLost("cut"))
        # Streams that have begun are resumed.
        if attempt.number < ATTEMPTS_MAX:
            self._schedule(0.002, attempt.retry)

    def _restart(self, name):
        self._starts[name] += 1
        self._list_everywhere()

    def _list_everywhere(self):
        for instance in self.instances.values():
            self._list_upstreams(instance)


__all__ = ["CrashSimulation", "Trouble"]
