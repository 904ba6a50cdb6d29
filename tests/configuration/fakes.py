"""In-memory fleet and configuration service for tests of dissemination."""

import hashlib
import threading
from dataclasses import dataclass, replace

from fescueflow.audit import AuditTrail
from fescueflow.configuration import ConfigurationService, ConfigurationStore
from fescueflow.core import PlatformUnavailable, SeededRandomSource, SystemClock
from fescueflow.metrics import Metrics
from fescueflow.platform import ConfigurationClient
from fescueflow.schema import MemberState
from tests.builders import build_member, build_monitoring, build_settings
from tests.fakes import FakeMembership, ManualClock, MemoryEndpoint, MemoryHub


class FakeConfigurationService:
    """In-memory configuration service of the platform."""

    def __init__(self, clock):
        self.clock = clock
        self.condition = threading.Condition()
        self.revision = 0
        self.manifest = b""
        self.sections = {}
        self.unavailable = False
        self.hidden_keys = set()
        self.calls = []

    def publish(self, publication):
        revision, manifest, sections = publication
        with self.condition:
            self.revision, self.manifest = revision, manifest
            sections_by_digest = {
                hashlib.sha256(body).hexdigest(): body for body in sections.values()
            }
            self.sections |= sections_by_digest
            self.condition.notify_all()

    def make_client(self, name):
        return FakeConfigurationClient(self, name)


class FakeConfigurationClient(ConfigurationClient):
    def __init__(self, service, name):
        self.service = service
        self.name = name
        self.disconnected = False

    def begin_call(self, key):
        self.service.calls.append((self.name, key))
        if self.disconnected or self.service.unavailable:
            raise PlatformUnavailable("down")

    def read(self, key):
        with self.service.condition:
            self.begin_call(key)
            if key == "manifest" and self.service.revision:
                return self.service.revision, self.service.manifest
            body = self.service.sections.get(key.removeprefix("sections/"))
            if body is None or key in self.service.hidden_keys:
                raise PlatformUnavailable(f"no key {key}")
            return 1, body

    def watch(self, key, after, timeout_s):
        with self.service.condition:
            self.begin_call(key)
            if isinstance(self.service.clock, ManualClock):
                self.service.clock.now += timeout_s
            else:
                self.service.condition.wait_for(
                    lambda: self.service.revision > after, timeout_s
                )
            if self.disconnected or self.service.unavailable:
                raise PlatformUnavailable("down")
            if self.service.revision > after:
                return self.service.revision, self.service.manifest
            return None


class LaggingMembership(FakeMembership):
    """Member view that shows the revisions of peers only if heartbeats are on."""

    def get_members(self):
        members = super().get_members()
        if self.fleet.heartbeats:
            return members
        own = self.own.instance
        return [m if m.instance == own else replace(m, revision=0) for m in members]

    def set_revision(self, revision):
        self.fleet.members[self.own.instance] = replace(
            self.get_own_member(), revision=revision
        )


@dataclass
class Instance:
    name: str
    store: ConfigurationStore
    service: ConfigurationService
    client: FakeConfigurationClient
    endpoint: MemoryEndpoint
    metrics: Metrics
    audit: AuditTrail


def make_store(clock=None):
    """Return (store, metrics, audit); a broken invariant raises."""
    metrics, audit, invariants = build_monitoring(clock=clock)
    store = ConfigurationStore(metrics=metrics, audit=audit, invariants=invariants)
    return store, metrics, audit


class Fleet:
    """Instances ``a0``, ``a1``, ..., ``b0``, ... in zones of equal size."""

    def __init__(self, zones="abc", size=3, clock=None, strategy=None, **flags):
        self.heartbeats = True
        self.network = MemoryHub(immediate=True)
        self.clock = clock or SystemClock()
        self.platform = FakeConfigurationService(self.clock)
        self.members = {}
        self.instances = {}
        for zone in zones:
            for number in range(size):
                self.add(f"{zone}{number}", zone, strategy, flags)

    def add(self, name, zone, strategy=None, flags=None, state=MemberState.LIVE):
        member = build_member(name, 1, zone, state=state, peer_address=name, revision=0)
        self.members[name] = member
        store, metrics, audit = make_store(self.clock)
        endpoint = self.network.make_endpoint(name, name, 1)
        client = self.platform.make_client(name)
        service = ConfigurationService(
            settings=build_settings(name, zone, **(flags or {})),
            store=store,
            client=client,
            membership=LaggingMembership(self, member),
            endpoint=endpoint,
            frame_client=endpoint,
            frame_server=endpoint,
            clock=self.clock,
            random_source=SeededRandomSource(len(self.members)),
            metrics=metrics,
            audit=audit,
            strategy=strategy,
        )
        instance = Instance(name, store, service, client, endpoint, metrics, audit)
        self.instances[name] = instance
        return instance

    def start(self):
        for instance in self.instances.values():
            instance.service.start()

    def stop(self):
        services = [instance.service for instance in self.instances.values()]
        threads = [threading.Thread(target=service.stop) for service in services]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def count(self, name, **labels):
        values = self.instances.values()
        return sum(i.metrics.get_count(name, **labels) for i in values)

    def all_have_revision(self, revision, names=None):
        chosen = names or self.instances
        return all(
            self.instances[name].store.get_revision() == revision for name in chosen
        )
