"""Control traffic, CPU, memory and platform calls of idle and loaded fleets."""

import re
import time
from collections import defaultdict
from dataclasses import dataclass, field, replace
from statistics import linear_regression, mean

from fescueflow.rights import BUCKETS_PER_SHARE, SHARE_COUNT
from measures.fleets import (
    PACKET_HEADER_BYTES,
    LoadThread,
    MeasuredFleet,
    WideDeployment,
    read_usage,
)
from measures.report import Measure
from tests.standins.deployment import DEFAULT_TIMINGS, FIRST_USER

# Upstreams per instance at the target scale: 3,400 of 450.
UPSTREAMS_PER_INSTANCE = 7.5
# Hold-down 8 s, list lag 3 s and leases, so that shares are lent.
SETTLE_S = 14.0
REGION_NAMES = ("north", "south", "east")
TARGET_INSTANCES, TARGET_ZONES, TARGET_REGIONS = 450, 23, 7
SERIES = re.compile(
    r'fescueflow_(datagram|frame)(_bytes|s)_total\{direction="(\w+)",type="(\w+)"\}'
)
# Default of the setting `list_relay_threshold`.
LIST_RELAY_THRESHOLD = 8
LIMIT_BYTES_PER_S = 12_000
LIMIT_CORE = 0.049
LIMIT_RSS = 256e6


@dataclass
class Sample:
    """Means per instance of one fleet; rates a second."""

    instances: int
    regions: int
    zones: int
    cpu: float
    cpu_worst: float
    rss: float
    platform_calls: float
    bytes: dict = field(default_factory=dict)
    packets: dict = field(default_factory=dict)
    calls_per_s: float = 0.0

    def sum_frames(self):
        """Return frame bytes sent a second by the whole fleet."""
        return self.instances * self.sum_bytes("sent", ("frame",))

    def sum_bytes(self, direction, kinds=("datagram", "frame")):
        return sum(
            v for (k, d, _), v in self.bytes.items() if d == direction and k in kinds
        )

    def sum_packets(self, direction):
        return sum(
            v
            for (k, d, _), v in self.packets.items()
            if (k, d) == ("datagram", direction)
        )

    def sum_wire(self):
        """Return bytes sent and received with the headers of datagrams."""
        both = ("sent", "received")
        packets = sum(self.sum_packets(d) for d in both)
        return sum(self.sum_bytes(d) for d in both) + packets * PACKET_HEADER_BYTES


def compare(before, after, seconds):
    """Return ({(kind, direction, type): bytes a second}, the same of packets)."""
    found = {"_bytes": defaultdict(float), "s": defaultdict(float)}
    for name, value in after.series.items():
        match = SERIES.match(name)
        if match:
            kind, what, direction, type_name = match.groups()
            rate = (value - before.series.get(name, 0.0)) / seconds
            found[what][kind, direction, type_name] += rate
    return found["_bytes"], found["s"]


def average(rows):
    keys = {key for row in rows for key in row}
    return {key: mean(row.get(key, 0.0) for row in rows) for key in keys}


def count_platform_calls(deployment):
    return deployment.configuration.calls + deployment.instance_list.calls


def sample_fleet(deployment, fleet, shape, seconds, rate_per_s=0.0):
    """Return the sample of a window in which the fleet is idle or loaded."""
    names = list(fleet.instances)
    before = {name: read_usage(fleet, name) for name in names}
    calls, started = count_platform_calls(deployment), time.monotonic()
    requests = 0
    if rate_per_s:
        with LoadThread(fleet.get_addresses(), rate_per_s) as load:
            time.sleep(seconds)
        requests = load.done
        if load.failed:
            raise RuntimeError(f"{load.failed} of {load.done} calls failed")
    else:
        time.sleep(seconds)
    took_s = time.monotonic() - started
    calls = count_platform_calls(deployment) - calls
    after = {name: read_usage(fleet, name) for name in names}
    rows = [compare(before[name], after[name], took_s) for name in names]
    cpu = [(after[n].cpu_s - before[n].cpu_s) / took_s for n in names]
    return Sample(
        len(names),
        *shape,
        mean(cpu),
        max(cpu),
        max(after[n].rss for n in names),
        calls / took_s,
        average([row[0] for row in rows]),
        average([row[1] for row in rows]),
        requests / took_s,
    )


def make_preset(regions, zones):
    names = [f"{r}-{z}" for r in REGION_NAMES[:regions] for z in "abc"[:zones]]
    return replace(FIRST_USER, zones=tuple(names), engines=0, services=0)


def run_fleet(instances, regions=1, zones=3, window_s=8.0, rate_per_s=0.0):
    """Return the idle sample and the loaded one (``None`` without a rate).

    ``zones`` is the number of zones in each region.
    """
    upstreams = round(UPSTREAMS_PER_INSTANCE * instances)
    shape = regions, zones
    with WideDeployment(make_preset(*shape), upstreams, 3.0) as deployment:
        with MeasuredFleet(deployment, instances, DEFAULT_TIMINGS) as fleet:
            time.sleep(SETTLE_S)
            idle = sample_fleet(deployment, fleet, shape, window_s)
            loaded = None
            if rate_per_s:
                loaded = sample_fleet(deployment, fleet, shape, window_s, rate_per_s)
            return idle, loaded


def count_holders(instances, regions, zones):
    """Return the expected holders of the shares of one home's upstreams."""
    panel = instances / (regions * zones)
    shares = UPSTREAMS_PER_INSTANCE * SHARE_COUNT
    if panel >= SHARE_COUNT:
        # The home's upstreams are in nearly all buckets.
        shares = BUCKETS_PER_SHARE * SHARE_COUNT
    else:
        panel = instances / regions
        panel = panel if panel >= SHARE_COUNT else instances
    return panel * (1 - (1 - 1 / panel) ** shares)


def count_list_peers(instances, regions, zones):
    """Return the peers per instance that a zone's reader tells of a reading."""
    members = instances / (regions * zones)
    return (members - 1) / members if members > LIST_RELAY_THRESHOLD else 0.0


def extrapolate(samples, shape):
    """Return {type: (bytes, packets) a second sent} of datagrams at a larger scale.

    Leases are linear in the holders, notices of the configuration in the members
    of the zone, those of the list in the peers of each reader;
    digests and heartbeats have reached their constant rate in the largest
    sample.
    """
    drivers = {
        "leaseRequest": count_holders,
        "leaseGrant": count_holders,
        "configurationNotice": lambda n, regions, zones: n / (regions * zones) - 1,
        "listNotice": count_list_peers,
    }
    found = {}
    largest = max(samples, key=lambda s: s.instances / s.regions)
    for kind, direction, name in largest.bytes:
        if (kind, direction) != ("datagram", "sent"):
            continue
        key, driver = (kind, direction, name), drivers.get(name)
        pair = []
        for rows in ("bytes", "packets"):
            if driver is None:
                pair.append(getattr(largest, rows)[key])
                continue
            x = [driver(s.instances, s.regions, s.zones) for s in samples]
            y = [getattr(s, rows).get(key, 0.0) for s in samples]
            slope, offset = linear_regression(x, y)
            pair.append(slope * driver(*shape) + offset)
        found[name] = tuple(pair)
    return found


def report_sample(label, sample, seed):
    name = f"{label}_{sample.instances}x{sample.regions}x{sample.zones}"
    wire = sample.sum_wire()
    yield Measure(f"traffic_{name}", wire, "B/s", seed, LIMIT_BYTES_PER_S)
    for direction in ("sent", "received"):
        amount = sample.sum_bytes(direction)
        yield Measure(f"bytes_{direction}_{name}", amount, "B/s", seed)
        packets = sample.sum_packets(direction)
        yield Measure(f"packets_{direction}_{name}", packets, "1/s", seed)
    yield Measure(f"cpu_{name}", sample.cpu, "cores", seed, LIMIT_CORE)
    yield Measure(f"cpu_worst_{name}", sample.cpu_worst, "cores", seed)
    yield Measure(f"memory_worst_{name}", sample.rss, "B", seed, LIMIT_RSS)
    yield Measure(f"platform_calls_{name}", sample.platform_calls, "1/s", seed)
    for (kind, direction, type_name), value in sorted(sample.bytes.items()):
        if direction == "sent" and value >= 1:
            yield Measure(f"sent_{type_name}_{kind}_{name}", value, "B/s", seed)


def report_target(samples, seed):
    shape = TARGET_INSTANCES, TARGET_REGIONS, TARGET_ZONES / TARGET_REGIONS
    total = 0.0
    for name, (size, packets) in sorted(extrapolate(samples, shape).items()):
        # Each datagram is sent by one instance and received by another.
        both = 2 * (size + packets * PACKET_HEADER_BYTES)
        total += both
        yield Measure(f"target_{name}", both, "B/s", seed)
    yield Measure("target_traffic", total, "B/s", seed, LIMIT_BYTES_PER_S)


def measure_traffic(long, seed):
    """Yield the measures of control traffic.

    Sizes are (instances, regions, zones in each region). A region of one zone
    with 27 instances has more lease holders than a zone at the target scale.
    """
    sizes = [(9, 1, 3)]
    if long:
        sizes = [(3, 1, 3), (9, 1, 3), (27, 1, 3), (27, 1, 1), (27, 3, 3), (81, 3, 3)]
    samples = []
    for shape in sizes:
        rate = 5.0 * shape[0] if long and shape[0] <= 27 else 0.0
        window_s = 10.0 if long else 5.0
        idle, loaded = run_fleet(*shape, window_s=window_s, rate_per_s=rate)
        samples.append(idle)
        yield from report_sample("idle", idle, seed)
        if loaded:
            per_call = loaded.sum_frames() / max(1.0, loaded.calls_per_s)
            yield from report_sample("loaded", loaded, seed)
            yield Measure(f"frame_bytes_per_call_{shape[0]}", per_call, "B", seed)
    if long:
        yield from report_target(samples, seed)


__all__ = ["measure_traffic"]
