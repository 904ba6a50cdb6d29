"""Simulated fleet of membership services on a fake clock."""

from dataclasses import dataclass

from fescueflow.audit import AuditTrail
from fescueflow.core import PlatformUnavailable, SeededRandomSource
from fescueflow.membership import ListService, MembershipService
from fescueflow.platform import InstanceListClient, ListSnapshot
from fescueflow.schema import MemberState, Settings
from tests.builders import build_listed_instance, build_monitoring, build_settings
from tests.fakes import FakeClock, MemoryHub

STEP_S = 0.05
INTERVAL_STEPS = 10


def make_settings(instance, zone, number, **changes):
    """Return settings with addresses that differ by number."""
    host = f"{number // 250}.{number % 250}"
    addresses = {
        "http_address": f"10.0.{host}:8000",
        "peer_address": f"10.1.{host}:8001",
    }
    return build_settings(instance, zone, **(addresses | changes))


class FakeListClient(InstanceListClient):
    """List client with contents set by a test; raises ``error`` if it is set."""

    def __init__(self, clock):
        self.clock = clock
        self.instances, self.upstreams = (), ()
        self.error = None

    def read(self):
        if self.error is not None:
            raise self.error
        read_at = self.clock.monotonic()
        return ListSnapshot(tuple(self.instances), tuple(self.upstreams), read_at)

    def fail(self):
        self.error = PlatformUnavailable("list is down")


@dataclass
class Instance:
    """Services of one instance; ``phase`` is its step within an interval."""

    settings: Settings
    endpoint: object
    lists: ListService
    service: MembershipService
    audit: AuditTrail
    phase: int
    paused: bool = False

    @property
    def name(self):
        return self.settings.instance_id

    @property
    def address(self):
        return self.settings.peer_address


class Fleet:
    """Instances ``i0`` to ``i{count - 1}``, spread over the zones, all LIVE."""

    def __init__(self, count, zones=3, seed=1, loss=0.0):
        self.clock = FakeClock()
        self.hub = MemoryHub(seed, loss)
        self.client = FakeListClient(self.clock)
        self.seed = seed
        self.instances = {}
        self.steps = 0
        all_settings = [
            make_settings(f"i{n}", f"z{n % zones}", n) for n in range(count)
        ]
        self.client.instances = [
            build_listed_instance(settings) for settings in all_settings
        ]
        for settings in all_settings:
            self.add(settings, incarnation=1)

    def add(self, settings, incarnation):
        random_source = SeededRandomSource(self.seed * 1000 + len(self.instances))
        metrics, audit, _ = build_monitoring(
            settings.instance_id, incarnation, self.clock
        )
        lists = ListService(
            client=self.client,
            settings=settings,
            clock=self.clock,
            random_source=random_source,
            metrics=metrics,
        )
        endpoint = self.hub.make_endpoint(
            settings.peer_address, settings.instance_id, incarnation
        )
        service = MembershipService(
            settings=settings,
            endpoint=endpoint,
            list_service=lists,
            clock=self.clock,
            random_source=random_source,
            metrics=metrics,
            audit=audit,
            incarnation=incarnation,
        )
        lists.refresh()
        service.set_state(MemberState.LIVE)
        phase = len(self.instances) * 7 % INTERVAL_STEPS
        instance = Instance(settings, endpoint, lists, service, audit, phase)
        self.instances[settings.instance_id] = instance
        return instance

    def kill(self, name):
        killed = self.instances.pop(name)
        killed.endpoint.stop()
        return killed

    def pause(self, name):
        self.instances[name].paused = True
        self.hub.paused.add(self.instances[name].address)

    def resume(self, name):
        self.instances[name].paused = False
        self.hub.paused.discard(self.instances[name].address)

    def cut(self, first, second):
        """Cut all links between two groups of names."""
        for a in first:
            for b in second:
                self.hub.cut(self.instances[a].address, self.instances[b].address)

    def run(self, seconds, until=None):
        """Advance in steps until a condition holds or the time is over.

        Returns the seconds after which ``until`` held, ``None`` if it never did,
        and ``seconds`` without a condition.
        """
        steps = round(seconds / STEP_S)
        for step in range(steps):
            if until is not None and until():
                return step * STEP_S
            self.step()
        return None if until is not None and not until() else seconds

    def step(self):
        self.clock.advance(STEP_S)
        self.steps += 1
        for each in list(self.instances.values()):
            if not each.paused and self.steps % INTERVAL_STEPS == each.phase:
                if self.steps // INTERVAL_STEPS % 2 == 0:
                    each.lists.refresh()
                each.service.tick()
        self.hub.deliver()

    def get_state(self, viewer, name):
        member = self.instances[viewer].service.get_member(name)
        return member.state if member is not None else None

    def is_seen_by_all(self, name, state, viewers=None):
        viewers = viewers or [v for v in self.instances if v != name]
        return all(self.get_state(v, name) is state for v in viewers)

    def is_converged(self):
        count = len(self.instances)
        return all(len(e.service.get_live()) == count for e in self.instances.values())
