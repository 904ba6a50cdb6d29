"""Instances that ask each other for permits, on simulated time."""

from dataclasses import replace

from fescueflow.core import InstanceId
from fescueflow.gateway.coordinators import Coordinators
from fescueflow.gateway.peers import PeerTable
from fescueflow.gateway.permit_waits import PermitNeed
from fescueflow.gateway.permits import PermitClient
from fescueflow.metrics import Metrics
from fescueflow.routing import PermitEnd
from tests.gateway.builders import make_peer
from tests.gateway.virtual_time import OwnedClock, VirtualTime
from tests.routing.builders import BOOKINGS, make_table, make_upstream

ONE_WAY_S = 0.002
REPORT_S = 0.35
INSTANCES = 14
SLOTS = 2


class PermitInstance:
    """One instance; its threads run on the fleet's simulated time."""

    def __init__(self, fleet, record):
        self.name = record.instance
        self.peers = PeerTable(record)
        self.metrics = Metrics()
        self.results = []
        upstreams = fleet.upstreams
        self.client = PermitClient(
            peers=self.peers,
            coordinators=Coordinators(
                peers=self.peers,
                list_upstreams=lambda service: list(upstreams),
                find_service=make_table().services.get,
            ),
            find_slots=lambda service: {u.id: u.slots for u in upstreams},
            send=lambda host, data: fleet.send(self.name, host, data),
            clock=OwnedClock(fleet.time, self.name),
            metrics=self.metrics,
        )

    def count(self, end):
        return self.metrics.get_count("permits", end=end)


class PermitFleet:
    """Instances with datagrams that may be lost, doubled or late."""

    def __init__(self, instances=INSTANCES, upstreams=1):
        self.time = VirtualTime()
        self.upstreams = [
            make_upstream(f"u{n}", service=BOOKINGS, slots=SLOTS)
            for n in range(upstreams)
        ]
        records = [
            make_peer(
                f"i{n}",
                last_seen_at=self.time.now,
                capacity=12.0,
                rate=1.0,
                host=f"i{n}",
            )
            for n in range(instances)
        ]
        self.instances = {r.instance: PermitInstance(self, r) for r in records}
        self.dead, self.cut = set(), set()
        # Returns the delays after which a datagram arrives.
        self.deliver = lambda sender, receiver, data: [ONE_WAY_S]
        self.sent = []
        self.sequence = 1
        self.report()
        for name, instance in self.instances.items():
            self.time.start(name, instance.client.desk.run)

    def report(self):
        """Let all instances hear of those that run."""
        self.sequence += 1
        for name, instance in self.instances.items():
            if name in self.dead or name in self.time.frozen:
                continue
            record = replace(
                instance.peers.get_own_record(),
                sequence=self.sequence,
                last_seen_at=self.time.now,
            )
            instance.peers.set_own_record(record)
            for other in self.instances.values():
                if not {name, other.name} & self.cut:
                    other.peers.merge(record)
        self.time.call_later(REPORT_S, self.report)

    def send(self, sender, receiver, data):
        self.sent.append((sender, receiver, data))
        if sender in self.dead or {sender, receiver} & self.cut:
            return
        for delay_s in self.deliver(sender, receiver, data):
            self.time.call_later(delay_s, self.receive, receiver, data)

    def receive(self, receiver, data):
        if receiver in self.time.frozen:
            self.time.call_later(0.05, self.receive, receiver, data)
        elif receiver not in self.dead:
            self.instances[InstanceId(receiver)].client.handle_datagram(data)

    @property
    def coordinator(self):
        """The coordinator in the view of all instances that run."""
        (name,) = {
            found.instance
            for instance in self.instances.values()
            if instance.name not in self.dead | self.cut
            and (found := instance.client.coordinators.find(BOOKINGS, self.time.now))
        }
        return self.instances[name]

    def list_others(self):
        coordinator = self.coordinator
        return [i for i in self.instances.values() if i is not coordinator]

    def ask(self, instance, deadline_s=3.0, objective_s=0.4, **changes):
        """Ask for a permit on a thread; return a list that gets the result."""
        now = self.time.now
        values = {
            "attempt_id": "a1",
            "service": BOOKINGS,
            "priority": 5,
            "deadline": now + deadline_s,
            "objective_at": now + objective_s,
            "is_returning": False,
            "avoid": frozenset(),
            "is_caller_disconnected": lambda: False,
        }
        need = PermitNeed(**{**values, **changes})
        result = []

        def acquire():
            try:
                result.append(instance.client.acquire(need))
            except Exception as error:
                result.append(error)
            result.append(self.time.now - now)

        self.time.start(instance.name, acquire)
        return result

    def fill(self, instance, count=SLOTS + 1):
        """Use all permits of one upstream; return them."""
        results = [self.ask(instance) for _ in range(count)]
        self.time.run(0.01)
        if not all(results):
            # A new coordinator hands out half of the places at first.
            self.time.run(0.25)
        return [result[0] for result in results]

    def end_all(self, permits, end=PermitEnd.ANSWERED):
        for permit in permits:
            permit.end(end)

    def count_in_use(self, instance):
        pool = instance.client.desk.get_pool(BOOKINGS)
        if pool is None:
            return 0
        return sum(pool.count_in_use(u.id) for u in self.upstreams)


__all__ = ["ONE_WAY_S", "SLOTS", "PermitFleet"]
