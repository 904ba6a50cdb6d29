"""Schedule of faults, determined by a seed and a length."""

import random
from dataclasses import dataclass
from enum import Enum

FIRST_FAULT_S = 1.5
QUIET_END_S = 1.0
FAULTS_PER_S = 1.0
INSTANCES_DOWN_MAX = 4


class FaultKind(Enum):
    """Kinds of scheduled faults."""

    INSTANCE_KILL = "kill"
    GRACEFUL_RESTART = "graceful restart"
    INSTANCE_FREEZE = "freeze"
    LINK_CUT = "link cut"
    ZONE_PARTITION = "zone partition"
    PLATFORM_CUT = "platform cut"
    DATAGRAM_LOSS = "datagram loss"
    SILENT_CONNECTIONS = "silent connections"
    ENGINE_RESTART = "engine restart"
    ENGINE_COLD = "engine turns cold"
    ENGINE_FAULT = "engine fault"
    SERVICE_FAULT = "service fault"
    CONFIGURATION_OUTAGE = "configuration outage"
    CONFIGURATION_STALE = "configuration stale"
    LIST_OUTAGE = "list outage"
    LIST_STALE = "list stale"
    LIST_LAG = "list lag"
    UPSTREAM_LEAVE = "upstream leaves"
    UPSTREAM_FLAP = "upstream flaps"
    LIMIT_CHANGE = "limits published"
    ZONE_WITHDRAWAL = "zone withdrawn"
    UPSTREAM_LEAVE_PUBLISHED = "leaving upstream published"
    INVALID_REVISION = "invalid revision published"
    CONCURRENT_PUBLICATIONS = "two operators at once"


# (weight, shortest duration, longest duration), durations in seconds
FAULT_PARAMETERS = {
    FaultKind.INSTANCE_KILL: (4, 1.0, 4.0),
    FaultKind.GRACEFUL_RESTART: (4, 0.5, 2.0),
    FaultKind.INSTANCE_FREEZE: (4, 0.3, 3.0),
    FaultKind.LINK_CUT: (3, 1.0, 5.0),
    FaultKind.ZONE_PARTITION: (2, 1.5, 6.0),
    FaultKind.PLATFORM_CUT: (2, 1.0, 5.0),
    FaultKind.DATAGRAM_LOSS: (2, 1.0, 5.0),
    FaultKind.SILENT_CONNECTIONS: (2, 0.1, 0.2),
    FaultKind.ENGINE_RESTART: (2, 0.1, 0.2),
    FaultKind.ENGINE_COLD: (2, 0.1, 0.2),
    FaultKind.ENGINE_FAULT: (4, 0.3, 2.0),
    FaultKind.SERVICE_FAULT: (4, 0.3, 2.0),
    FaultKind.CONFIGURATION_OUTAGE: (1, 1.0, 6.0),
    FaultKind.CONFIGURATION_STALE: (1, 1.0, 6.0),
    FaultKind.LIST_OUTAGE: (1, 1.0, 5.0),
    FaultKind.LIST_STALE: (1, 1.0, 5.0),
    FaultKind.LIST_LAG: (1, 1.0, 5.0),
    FaultKind.UPSTREAM_LEAVE: (2, 1.0, 12.0),
    FaultKind.UPSTREAM_FLAP: (1, 1.0, 3.0),
    FaultKind.LIMIT_CHANGE: (2, 4.0, 10.0),
    FaultKind.ZONE_WITHDRAWAL: (2, 4.0, 12.0),
    FaultKind.UPSTREAM_LEAVE_PUBLISHED: (2, 4.0, 12.0),
    FaultKind.INVALID_REVISION: (1, 0.1, 0.2),
    FaultKind.CONCURRENT_PUBLICATIONS: (1, 1.0, 3.0),
}
ENGINE_FAULTS = ("refuse", "cut", "crossed", "duplicated_token", "slow")
SERVICE_FAULTS = (
    "refuse",
    "crossed",
    "close_before_answer",
    "truncated",
    "silent_after_execution",
    "slow",
)
# Faults of one of these sets do not overlap on the same target.
INSTANCE_KINDS = {
    FaultKind.INSTANCE_KILL,
    FaultKind.GRACEFUL_RESTART,
    FaultKind.INSTANCE_FREEZE,
}
LIST_ENTRY_KINDS = {FaultKind.UPSTREAM_LEAVE, FaultKind.UPSTREAM_FLAP}
# Faults of one group do not overlap at all.
EXCLUSION_GROUPS = {
    FaultKind.CONFIGURATION_OUTAGE: "configuration service",
    FaultKind.CONFIGURATION_STALE: "configuration service",
    FaultKind.LIST_OUTAGE: "list",
    FaultKind.LIST_STALE: "list",
    FaultKind.ZONE_PARTITION: "partition",
    FaultKind.DATAGRAM_LOSS: "loss",
    FaultKind.LIMIT_CHANGE: "limits",
    FaultKind.CONCURRENT_PUBLICATIONS: "limits",
    FaultKind.ZONE_WITHDRAWAL: "withdrawal",
}
# A graceful restart may last longer than planned, until the last request ends.
DRAIN_S = 6.0


@dataclass(frozen=True)
class ScheduledFault:
    """One fault; times are seconds since the start of the schedule.

    Attributes
    ----------
    targets : tuple of str
        Instances, zone or upstream that the fault hits; empty for the platform
        or the whole fleet.
    value : object
        Parameter of the kind, such as the loss fraction or the limits to publish.
    """

    start_s: float
    end_s: float
    kind: FaultKind
    targets: tuple = ()
    value: object = None

    def __str__(self):
        targets = " ".join(map(str, self.targets))
        value = "" if self.value is None else f" ({self.value})"
        span = f"{self.start_s:7.2f} to {self.end_s:7.2f} s"
        return f"{span}: {self.kind.value} {targets}{value}"


class ScheduleGenerator:
    """Draws faults that may overlap, except on the same target.

    Parameters
    ----------
    seed : int
    seconds : float
        Length of the schedule.
    instances, zones, engines, services : iterable of str
        Names of possible targets.
    """

    def __init__(self, seed, seconds, instances, zones, engines, services):
        self.random = random.Random(f"schedule {seed}")
        self.seconds = seconds
        self.instances, self.zones = list(instances), list(zones)
        self.engines, self.services = list(engines), list(services)
        self.reservations = []

    def generate(self):
        """Return the faults by their start."""
        faults = []
        weights = [FAULT_PARAMETERS[kind][0] for kind in FAULT_PARAMETERS]
        for _ in range(int(self.seconds * FAULTS_PER_S)):
            kind = self.random.choices(list(FAULT_PARAMETERS), weights)[0]
            fault = self._draw_fault(kind)
            if fault and self._reserve(fault):
                faults.append(fault)
        return sorted(faults, key=lambda fault: fault.start_s)

    def _draw_fault(self, kind):
        rng = self.random
        _, shortest, longest = FAULT_PARAMETERS[kind]
        start_s = rng.uniform(FIRST_FAULT_S, max(FIRST_FAULT_S, self.seconds - 3.0))
        end_s = min(start_s + rng.uniform(shortest, longest), self.seconds)
        targets, value = self._choose_targets(kind)
        return ScheduledFault(round(start_s, 3), round(end_s, 3), kind, targets, value)

    def _choose_targets(self, kind):
        rng = self.random
        upstreams = self.engines + self.services
        if kind in INSTANCE_KINDS or kind is FaultKind.PLATFORM_CUT:
            return (rng.choice(self.instances),), None
        if kind in (FaultKind.LINK_CUT, FaultKind.SILENT_CONNECTIONS):
            return tuple(rng.sample(self.instances, 2)), None
        if kind is FaultKind.LIST_LAG:
            return (rng.choice(self.instances),), round(rng.uniform(0, 0.3), 2)
        if kind is FaultKind.DATAGRAM_LOSS:
            return (), round(rng.uniform(0.1, 0.4), 2)
        if kind is FaultKind.ZONE_PARTITION:
            return (rng.choice(self.zones),), rng.choice((None, "without platform"))
        if kind is FaultKind.ZONE_WITHDRAWAL:
            return (rng.choice(self.zones),), None
        if kind is FaultKind.ENGINE_FAULT:
            return (rng.choice(self.engines),), rng.choice(ENGINE_FAULTS)
        if kind is FaultKind.SERVICE_FAULT:
            return (rng.choice(self.services),), rng.choice(SERVICE_FAULTS)
        if kind in (FaultKind.ENGINE_RESTART, FaultKind.ENGINE_COLD):
            return (rng.choice(self.engines),), None
        if kind in (
            FaultKind.UPSTREAM_LEAVE,
            FaultKind.UPSTREAM_FLAP,
            FaultKind.UPSTREAM_LEAVE_PUBLISHED,
        ):
            return (rng.choice(upstreams),), None
        if kind in (FaultKind.LIMIT_CHANGE, FaultKind.CONCURRENT_PUBLICATIONS):
            return (), (rng.randint(3, 8), rng.randint(3, 8))
        return (), None

    def _get_exclusion_keys(self, fault):
        """Return keys that no overlapping fault may share."""
        if fault.kind in INSTANCE_KINDS:
            return {("instance", fault.targets[0])}
        if fault.kind in EXCLUSION_GROUPS:
            return {("group", EXCLUSION_GROUPS[fault.kind])}
        kind = "list entry" if fault.kind in LIST_ENTRY_KINDS else fault.kind
        return {(kind, target) for target in fault.targets or (None,)}

    def _reserve(self, fault):
        """Return whether a fault fits beside the earlier ones, and reserve its time."""
        keys = self._get_exclusion_keys(fault)
        drain_s = DRAIN_S if fault.kind in INSTANCE_KINDS else 0.5
        start_s, end_s = fault.start_s, fault.end_s + drain_s
        overlapping = [b for b in self.reservations if b[1] < end_s and start_s < b[2]]
        if any(keys & other for other, _, _ in overlapping):
            return False
        down = [b for b in overlapping if any(kind == "instance" for kind, _ in b[0])]
        is_instance = fault.kind in INSTANCE_KINDS
        if is_instance and len(down) >= INSTANCES_DOWN_MAX:
            return False
        self.reservations.append((keys, start_s, end_s))
        return True
