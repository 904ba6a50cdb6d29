"""Simulated instances that follow a store whose answers take time, without I/O.

Unlike in ``relay_fleet``, a call has a duration: an answer holds the state at one
moment and arrives later, while updates of other instances are handled.
"""

import json
import random
from dataclasses import dataclass, replace

from fescueflow.core import (
    InstanceId,
    PlatformUnavailable,
    Revision,
    SeededRandomSource,
    ZoneId,
)
from fescueflow.gateway.changes import OperatorChangeHandler, UpstreamChangeHandler
from fescueflow.gateway.peers import PeerTable
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.gateway.relay import Role, StoreRelay, decode_update
from fescueflow.gateway.shared_values import SharedValues
from fescueflow.gateway.value_reader import READ_LIMITS, ValueSource
from fescueflow.gateway.watching import READ_TIMEOUT_S, StoreWatcher
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    TABLE_KEY,
    WITHDRAWN_PREFIX,
    EraChanged,
    HistoryExpired,
    StoreItem,
    StoreResult,
    connect_twice,
)
from tests.gateway.builders import make_peer
from tests.gateway.virtual_time import OwnedClock, VirtualTime
from tests.routing.builders import ENGINES

HEARTBEAT_S = 1.2
UPSTREAM_KEY = "servers/u1"
# Delay of a datagram and of each way of a call.
DATAGRAM_S = 0.003
ONE_WAY_S = 0.004
INTRODUCTION_S = 0.5


def make_configuration(version, size=4000):
    """Return a configuration that is too large for an update."""
    document = {
        "version": version,
        "routes": [],
        "services": [],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 1 << 20,
            "idle_timeout_ms": 15000,
        },
        "padding": random.Random(version).randbytes(size // 2).hex(),
    }
    return json.dumps(document).encode()


@dataclass(frozen=True)
class Change:
    """A change of the store; ``value`` is ``None`` for a deletion."""

    revision: int
    key: str
    value: bytes | None
    at: float = 0.0


class SimulatedStore:
    """Store with revisions of an era; history before ``kept_from`` is gone."""

    def __init__(self, time):
        self.time = time
        self.changes = []
        self.revision = 1
        self.kept_from = 0
        self.era = 0

    def put(self, key, value, step=1):
        """Write a value, ``None`` to delete the key; return the revision."""
        self.revision += step
        self.changes.append(Change(self.revision, key, value, self.time.now))
        return self.revision

    def restore(self, copied_at):
        """Go back to a copy of a time; return the last lost change of each key."""
        lost = {c.key: c for c in self.changes if c.at > copied_at}
        self.changes = [c for c in self.changes if c.at <= copied_at]
        self.revision = max([1, *(c.revision for c in self.changes)])
        self.kept_from = min(self.kept_from, self.revision)
        self.era += 1
        return list(lost.values())

    def list_after(self, revision):
        """Return the changes after a revision."""
        return [change for change in self.changes if change.revision > revision]

    def list_current(self, prefix):
        """Return the last changes of the existing keys, by key."""
        last = {c.key: c for c in self.changes if c.key.startswith(prefix)}
        return [last[key] for key in sorted(last) if last[key].value is not None]


def make_item(change):
    """Return a change as the product's client does."""
    return StoreItem(change.key, change.value, Revision(change.revision))


class SimulatedClient:
    """Client of one instance, with calls that take time and may be lost.

    ``lose`` is the number of next connection attempts that are not answered; a call
    makes up to two.
    """

    def __init__(self, store, clock):
        self.store = store
        self._clock = clock
        self.lose = 0
        self.refuse = False
        self.calls = 0
        # Share of connection attempts that are lost.
        self.loss = 0.0
        self.random = random.Random(0)
        # Further time from the moment that an answer describes to its arrival.
        self.answer_delay_s = 0.0
        self.page_size = 500
        # Changes the items of an answer on their way.
        self.spoil = lambda items: items

    def read(self, prefix):
        """Return all items below a prefix, read page by page."""
        items, revision, after, era = [], None, "", None
        while True:
            self._connect()
            current = self.store.list_current(prefix)
            page = [c for c in current if c.key > after][: self.page_size]
            has_more = any(c.key > page[-1].key for c in current) if page else False
            at, at_era = self.store.revision, self.store.era
            self._answer()
            era = at_era if era is None else era
            if at_era != era:
                raise EraChanged(max(era, at_era), Revision(at))
            items += page
            revision = at if revision is None else revision
            if not has_more:
                return self._make_result(items, revision, era)
            after = page[-1].key

    def watch(self, prefix, after, wait_s):
        """Return the changes after a revision, at the latest after the wait."""
        self._connect()
        until = self._clock.monotonic() + wait_s
        while not self.store.list_after(after):
            if self._clock.monotonic() >= until or not self._has(after):
                break
            self._clock.sleep(min(0.01, until - self._clock.monotonic()))
        changes, at = self.store.list_after(after), self.store.revision
        era, has_after = self.store.era, self._has(after)
        self._answer()
        if not has_after:
            raise HistoryExpired("410", era)
        return self._make_result(changes, at, era)

    def _has(self, revision):
        return self.store.kept_from <= revision <= self.store.revision

    def _make_result(self, changes, revision, era):
        items = self.spoil([make_item(change) for change in changes])
        return StoreResult(tuple(items), Revision(revision), era)

    def _connect(self):
        self.calls += 1
        try:
            connect_twice("store", READ_TIMEOUT_S, self._open)
        except TimeoutError as error:
            raise PlatformUnavailable("timed out") from error
        if self.refuse:
            raise PlatformUnavailable("status 503")

    def _open(self, address, timeout_s):
        if self.lose or self.random.random() < self.loss:
            self.lose = max(0, self.lose - 1)
            self._clock.sleep(timeout_s)
            raise TimeoutError
        self._clock.sleep(ONE_WAY_S)

    def _answer(self):
        self._clock.sleep(ONE_WAY_S + self.answer_delay_s)


class FleetValues(ValueSource):
    """Values that an instance reads from the reader of its zone.

    ``asked`` counts the reads; without ``is_served``, none of them has a value, as late
    as the product's limits allow if ``is_slow``.
    """

    def __init__(self, fleet, relay, clock):
        self._fleet, self._relay, self._clock = fleet, relay, clock
        self.is_served = False
        self.is_slow = False
        self.asked = 0

    def read(self, key, revision, era):
        """Return what the reader serves when the request arrives."""
        self.asked += 1
        if self.is_slow:
            self._clock.sleep(READ_LIMITS.connect_s + READ_LIMITS.total_s)
        reader = self._relay.find_reader()
        if reader is None or not self.is_served:
            return None
        self._clock.sleep(ONE_WAY_S)
        shared = self._fleet.get_instance(reader.host).shared.find(key)
        self._clock.sleep(ONE_WAY_S)
        if shared is None or shared.era != era or shared.complete < revision:
            return None
        return StoreItem(key, shared.value, shared.revision)


class StoreInstance:
    """One instance that follows the store."""

    def __init__(self, fleet, name, zone, seed):
        self.name, self.zone, self.host = name, zone, f"host-{name}"
        self.clock = OwnedClock(fleet.time, name)
        self.state = PlatformState()
        self.peers = PeerTable(make_peer(name, zone))
        self.relay = StoreRelay(
            peers=self.peers,
            send=lambda host, data: fleet.send(self, host, data),
            clock=self.clock,
            random_source=SeededRandomSource(seed),
        )
        self.client = SimulatedClient(fleet.store, self.clock)
        self.metrics = Metrics()
        self.shared = SharedValues()
        self.values = FleetValues(fleet, self.relay, self.clock)
        self.watcher = StoreWatcher(
            client=self.client,
            handlers=[
                OperatorChangeHandler(self.state, self.clock),
                UpstreamChangeHandler(self.state, self.clock),
            ],
            platform_state=self.state,
            heartbeat_s=HEARTBEAT_S,
            clock=self.clock,
            random_source=SeededRandomSource(seed),
            metrics=self.metrics,
            relay=self.relay,
            values=self.values,
            shared=self.shared,
        )

    def follow(self):
        """Follow the store until the run ends."""
        while True:
            self.watcher.run_once()

    def list_upstreams(self):
        """Return the names of the upstreams that take requests."""
        now = self.clock.monotonic()
        return {str(u.id) for u in self.state.list_upstreams(ENGINES, now)}

    def describe(self):
        """Return the configuration, upstreams and withdrawn zones in force."""
        self.state.remove_overdue(self.clock.monotonic())
        zones = {str(zone) for zone in self.state.get_withdrawn_zones()}
        return self.get_version(), self.list_upstreams(), zones

    def get_version(self):
        """Return the version of the configuration in force, 0 for none."""
        table = self.state.get_table()
        return table.version if table else 0


class StoreFleet:
    """Instances in zones that follow one store.

    Datagrams to the hosts in ``cut``, and from them, are lost.
    """

    def __init__(self, zones, per_zone, seed):
        self.time = VirtualTime()
        self.store = SimulatedStore(self.time)
        self.random = random.Random(seed)
        self.cut = set()
        self.lost_share = 0.0
        names = [
            (z, InstanceId(f"edge-{z}-{n}")) for z in zones for n in range(per_zone)
        ]
        self.instances = [
            StoreInstance(self, name, ZoneId(zone), seed * 1000 + number)
            for number, (zone, name) in enumerate(names)
        ]
        self._by_host = {instance.host: instance for instance in self.instances}
        self._version = 0
        self._sequence = 0
        self.put_configuration()
        self._introduce()
        for instance in self.instances:
            self.time.start(instance.name, instance.follow)

    def get_instance(self, host):
        """Return the instance of a host."""
        return self._by_host[host]

    def add(self, instance):
        """Start a further instance."""
        self.instances.append(instance)
        self._by_host[instance.host] = instance
        self.time.start(instance.name, instance.follow)

    def put_configuration(self, size=4000):
        """Put the next version of the configuration; return it."""
        self._version += 1
        return self.repeat_configuration(size)

    def repeat_configuration(self, size=4000):
        """Put the last version of the configuration; return it."""
        value = make_configuration(self._version, size)
        self.store.put(TABLE_KEY, value, step=self.random.randint(1, 3))
        return self._version

    def put_upstream(self, state="ready", **fields):
        """Put the entry of an upstream; further fields make it larger."""
        self._sequence += 1
        entry = {
            "service": ENGINES,
            "address": "127.0.0.1:1",
            "zone": "a",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "born": 1,
            "sequence": self._sequence,
            **fields,
        }
        return self.store.put(UPSTREAM_KEY, json.dumps(entry).encode())

    def delete_upstream(self):
        """Delete the entry of the upstream."""
        self.store.put(UPSTREAM_KEY, None)

    def describe_store(self):
        """Return what every instance should have in force."""
        current = {c.key: c.value for c in self.store.list_current("")}
        entry = json.loads(current.get(UPSTREAM_KEY, b"{}"))
        upstreams = {"u1"} if entry.get("state") == "ready" else set()
        zones = {
            key.removeprefix(WITHDRAWN_PREFIX)
            for key in current
            if key.startswith(WITHDRAWN_PREFIX)
        }
        return self._version, upstreams, zones

    def run(self, seconds):
        """Let the time pass."""
        self.time.run(seconds)

    def end(self):
        """End all threads."""
        self.time.end()

    def list_followers(self):
        """Return the instances that do not read the store."""
        return [i for i in self.instances if i.relay.role is Role.FOLLOWER]

    def find_outdated(self, version):
        """Return the running instances with an older configuration."""
        return [
            (instance.name, instance.get_version())
            for instance in self.instances
            if instance.name not in self.time.frozen
            and instance.get_version() < version
        ]

    def send(self, sender, host, data):
        """Deliver a datagram after its delay, unless it is lost."""
        if {sender.host, host} & self.cut or self.random.random() < self.lost_share:
            return
        delay_s = DATAGRAM_S * self.random.uniform(1.0, 2.0)
        self.time.call_later(delay_s, self._deliver, self._by_host[host], data)

    def _deliver(self, instance, data):
        if instance.name in self.time.frozen:
            # A frozen process finds the datagrams in its socket when it wakes.
            self.time.call_later(DATAGRAM_S, self._deliver, instance, data)
            return
        instance.watcher.handle_update(decode_update(data))

    def _introduce(self):
        now = self.time.now
        records = [
            replace(i.peers.get_own_record(), last_seen_at=now, sequence=int(now * 10))
            for i in self.instances
        ]
        for instance in self.instances:
            for record in records:
                instance.peers.merge(record)
        self.time.call_later(INTRODUCTION_S, self._introduce)


__all__ = ["StoreFleet", "SimulatedClient", "SimulatedStore", "make_configuration"]
