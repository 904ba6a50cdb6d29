"""Simulated zone whose readers relay the list; each instance has its own clock."""

from fescueflow.core import Clock, PlatformUnavailable, SeededRandomSource
from fescueflow.membership import ListRelay, ListService, PauseDetector
from fescueflow.metrics import Metrics
from fescueflow.platform import InstanceListClient, ListSnapshot
from fescueflow.schema import ListNotice
from tests.builders import (
    build_listed_instance,
    build_member,
    build_settings,
    build_upstream,
)
from tests.fakes import FakeMembership, ManualClock, MemoryHub

STEP_S = 0.05
INTERVAL_S = 1.0
PAUSE_LIMIT_S = 2.0


class SkewedClock(Clock):
    """The zone's clock with an offset and a drift."""

    def __init__(self, base, offset_s, drift):
        self.base, self.offset_s, self.rate = base, offset_s, 1 + drift
        self.started_at = base.now

    def monotonic(self):
        passed_s = (self.base.now - self.started_at) * self.rate
        return self.started_at + passed_s + self.offset_s

    def wall_time(self):
        return self.base.wall_time()

    def wait(self, event, seconds):
        raise AssertionError("the zone runs the steps of its instances")

    def convert(self, local_time):
        """Return the time of the zone's clock for a time of this clock."""
        passed_s = (local_time - self.started_at - self.offset_s) / self.rate
        return self.started_at + passed_s


class NodeListClient(InstanceListClient):
    """List client of one instance; a reading takes ``delay_s``."""

    def __init__(self, zone, clock):
        self.zone, self.clock = zone, clock
        self.calls, self.delay_s, self.is_cut_off = 0, 0.0, False
        self.request_times = []

    def read(self):
        self.calls += 1
        if self.is_cut_off:
            raise PlatformUnavailable("cut off")
        read_at = self.clock.monotonic()
        self.request_times.append(self.zone.clock.now)
        snapshot = ListSnapshot(self.zone.listed, self.zone.get_upstreams(), read_at)
        self.zone.clock.now += self.delay_s
        return snapshot


class ZoneNode:
    """List service and list relay of one instance, stepped by the zone."""

    def __init__(self, zone, name, incarnation, offset_s=0.0, drift=0.0, **changes):
        self.zone, self.name, self.paused = zone, name, False
        self.clock = SkewedClock(zone.clock, offset_s, drift)
        self.client = NodeListClient(zone, self.clock)
        self.metrics, self.readings = Metrics(), []
        self.pause_detector = PauseDetector(clock=self.clock, limit_s=PAUSE_LIMIT_S)
        settings = build_settings(name, "z1", **changes)
        member = zone.members[name] = build_member(name, incarnation)
        self.address = member.peer_address
        self.endpoint = zone.hub.make_endpoint(self.address, name, incarnation)
        shared = {
            "settings": settings,
            "clock": self.clock,
            "random_source": SeededRandomSource(zone.seed * 1000 + len(zone.nodes)),
            "metrics": self.metrics,
        }
        self.lists = ListService(client=self.client, **shared)
        self.lists.subscribe(lambda snapshot: self.readings.append(snapshot.read_at))
        self.relay = ListRelay(
            list_service=self.lists,
            membership=FakeMembership(zone, member),
            endpoint=self.endpoint,
            frame_client=self.endpoint,
            frame_server=self.endpoint,
            pause_detector=self.pause_detector,
            **shared,
        )
        self.next_at = zone.clock.now + zone.random.uniform(0, INTERVAL_S)

    def step(self):
        self.pause_detector.tick()
        self.relay.step()
        if self.zone.clock.now >= self.next_at:
            self.next_at = self.zone.clock.now + self.lists.step()

    def get_age(self):
        """Return the age of the last reading on this instance's clock."""
        return self.clock.monotonic() - self.lists.get_snapshot().read_at


class Zone:
    """Instances ``i0`` to ``i{count - 1}`` of one zone.

    With ``is_changing``, the list names its upstream after the time of the reading.
    """

    def __init__(self, count=10, seed=1, loss=0.0, skew=None, **changes):
        self.clock, self.seed = ManualClock(wall_s=1.7e9), seed
        self.random = SeededRandomSource(seed)
        self.hub = MemoryHub(seed, loss)
        self.members, self.nodes = {}, {}
        self.version, self.is_changing = 0, False
        self.listed = tuple(
            build_listed_instance(build_settings(f"i{n}", "z1")) for n in range(count)
        )
        for n in range(count):
            offset_s, drift = skew(n) if skew else (0.0, 0.0)
            name = f"i{n}"
            self.nodes[name] = ZoneNode(self, name, 1, offset_s, drift, **changes)

    def get_upstreams(self):
        version = f"{self.clock.now:.3f}" if self.is_changing else self.version
        return (build_upstream(f"u{version}", address="10.0.0.1:80"),)

    def run(self, seconds, check=None):
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            for node in list(self.nodes.values()):
                if not node.paused:
                    node.step()
            self.hub.deliver()
            if check is not None:
                check()

    def find_readers(self):
        """Return the readers; all instances choose the same ones."""
        return [n for n in self.nodes.values() if n.relay._get_reader_role()]

    def find_followers(self):
        return [n for n in self.nodes.values() if n.relay._get_reader_role() is False]

    def pause(self, node, paused=True):
        node.paused = paused
        (self.hub.paused.add if paused else self.hub.paused.discard)(node.address)

    def set_wall(self, wall_s):
        """Set the time of day, which determines the readers."""
        self.clock._wall_s = wall_s

    def kill(self, node, is_detected=True):
        """End an instance; heartbeats detect it at once or never."""
        del self.nodes[node.name]
        node.endpoint.stop()
        if is_detected:
            del self.members[node.name]

    def count_calls(self, seconds):
        """Run; return the number of platform calls of each instance meanwhile."""
        before = {n.name: n.client.calls for n in self.nodes.values()}
        self.run(seconds)
        return {n.name: n.client.calls - before[n.name] for n in self.nodes.values()}

    def get_sent_notices(self):
        return [entry for entry in self.hub.sent if isinstance(entry[2], ListNotice)]
