"""Control traffic, CPU, memory and platform calls of idle and of loaded fleets."""

import re
import time
from collections import defaultdict
from dataclasses import dataclass, field, replace
from statistics import linear_regression, mean

from fescueflow.rights import BUCKETS_PER_SHARE, SHARE_COUNT
from measures.fleets import (
    PACKET_HEADER_BYTES,
    LoadGenerator,
    MeasuredFleet,
    SharedServerDeployment,
    read_usage,
)
from measures.report import Measure
from tests.standins.deployment import DEFAULT_TIMINGS, FIRST_USER

# At the target scale, 3,400 upstreams are served by 450 instances.
UPSTREAMS_PER_INSTANCE = 7.5
# Covers the hold-down (8 s), the list lag (3 s) and the first leases; shares are
# not lent before.
SETTLE_S = 14.0
REGION_NAMES = ("north", "south", "east")
TARGET_INSTANCES, TARGET_ZONES, TARGET_REGIONS = 450, 23, 7
SERIES_PATTERN = re.compile(
    r'fescueflow_(datagram|frame)(_bytes|s)_total\{direction="(\w+)",type="(\w+)"\}'
)
# Number of instances in a zone; default of the setting `list_relay_threshold`.
LIST_RELAY_THRESHOLD = 8
LIMIT_BYTES_PER_S = 12_000
LIMIT_CPU_CORES = 0.049
LIMIT_RSS_BYTES = 256e6


@dataclass
class Sample:
    """Resource use of one fleet in a time window.

    ``cpu_cores``, ``byte_rates`` and ``packet_rates`` are means over the instances,
    ``cpu_cores_max`` and ``rss_max_bytes`` maxima over them. Calls are those of the
    whole fleet. All rates are per second.
    """

    instances: int
    regions: int
    zones: int
    cpu_cores: float
    cpu_cores_max: float
    rss_max_bytes: float
    platform_calls_per_s: float
    byte_rates: dict = field(default_factory=dict)
    packet_rates: dict = field(default_factory=dict)
    calls_per_s: float = 0.0

    def sum_frame_bytes_sent(self):
        """Return the frame bytes sent per second by the whole fleet."""
        return self.instances * self.sum_bytes("sent", ("frame",))

    def sum_bytes(self, direction, kinds=("datagram", "frame")):
        return sum(
            v
            for (k, d, _), v in self.byte_rates.items()
            if d == direction and k in kinds
        )

    def sum_packets(self, direction):
        return sum(
            v
            for (k, d, _), v in self.packet_rates.items()
            if (k, d) == ("datagram", direction)
        )

    def sum_wire_bytes(self):
        """Return bytes sent and received per second, with the headers of datagrams."""
        both = ("sent", "received")
        packets = sum(self.sum_packets(d) for d in both)
        return sum(self.sum_bytes(d) for d in both) + packets * PACKET_HEADER_BYTES


def compute_rates(before, after, seconds):
    """Return bytes and packets per second, each by (kind, direction, type)."""
    rates = {"_bytes": defaultdict(float), "s": defaultdict(float)}
    for name, value in after.series.items():
        match = SERIES_PATTERN.match(name)
        if match:
            kind, what, direction, type_name = match.groups()
            rate = (value - before.series.get(name, 0.0)) / seconds
            rates[what][kind, direction, type_name] += rate
    return rates["_bytes"], rates["s"]


def average_rates(rows):
    keys = {key for row in rows for key in row}
    return {key: mean(row.get(key, 0.0) for row in rows) for key in keys}


def count_platform_calls(deployment):
    return deployment.configuration.calls + deployment.instance_list.calls


def sample_fleet(deployment, fleet, shape, seconds, rate_per_s=0.0):
    """Return the sample of a window; the fleet is idle if the rate is zero."""
    names = list(fleet.instances)
    before = {name: read_usage(fleet, name) for name in names}
    calls, started = count_platform_calls(deployment), time.monotonic()
    requests = 0
    if rate_per_s:
        with LoadGenerator(fleet.get_addresses(), rate_per_s) as generator:
            time.sleep(seconds)
        requests = generator.succeeded
        if generator.failed:
            raise RuntimeError(
                f"{generator.failed} calls failed, {generator.succeeded} succeeded"
            )
    else:
        time.sleep(seconds)
    took_s = time.monotonic() - started
    calls = count_platform_calls(deployment) - calls
    after = {name: read_usage(fleet, name) for name in names}
    rows = [compute_rates(before[name], after[name], took_s) for name in names]
    cpu = [(after[n].cpu_s - before[n].cpu_s) / took_s for n in names]
    return Sample(
        len(names),
        *shape,
        mean(cpu),
        max(cpu),
        max(after[n].rss_bytes for n in names),
        calls / took_s,
        average_rates([row[0] for row in rows]),
        average_rates([row[1] for row in rows]),
        requests / took_s,
    )


def make_preset(regions, zones):
    names = [f"{r}-{z}" for r in REGION_NAMES[:regions] for z in "abc"[:zones]]
    return replace(FIRST_USER, zones=tuple(names), engines=0, services=0)


def run_fleet(instances, regions=1, zones=3, window_s=8.0, rate_per_s=0.0):
    """Return the sample of an idle and of a loaded window (``None`` without a rate).

    ``zones`` is the number of zones in each region.
    """
    upstreams = round(UPSTREAMS_PER_INSTANCE * instances)
    shape = regions, zones
    with SharedServerDeployment(make_preset(*shape), upstreams, 3.0) as deployment:
        with MeasuredFleet(deployment, instances, DEFAULT_TIMINGS) as fleet:
            time.sleep(SETTLE_S)
            idle = sample_fleet(deployment, fleet, shape, window_s)
            loaded = None
            if rate_per_s:
                loaded = sample_fleet(deployment, fleet, shape, window_s, rate_per_s)
            return idle, loaded


def estimate_lease_holders(instances, regions, zones):
    """Return the expected number of holders of the shares of one home's upstreams."""
    candidates = instances / (regions * zones)
    shares = UPSTREAMS_PER_INSTANCE * SHARE_COUNT
    if candidates >= SHARE_COUNT:
        # The home's upstreams are spread over nearly all buckets.
        shares = BUCKETS_PER_SHARE * SHARE_COUNT
    else:
        candidates = instances / regions
        candidates = candidates if candidates >= SHARE_COUNT else instances
    return candidates * (1 - (1 - 1 / candidates) ** shares)


def estimate_notified_peers(instances, regions, zones):
    """Return the notices per instance that a list reading causes in its zone."""
    members = instances / (regions * zones)
    return (members - 1) / members if members > LIST_RELAY_THRESHOLD else 0.0


def extrapolate(samples, shape):
    """Return (bytes, packets) sent per second by datagram type at a larger scale.

    The traffic of leases is linear in the number of holders, that of configuration
    notices in the other members of the zone, and that of list notices in the peers
    that a list reader notifies. Digests and heartbeats have reached their constant
    rate in the largest sample.
    """
    predictors = {
        "leaseRequest": estimate_lease_holders,
        "leaseGrant": estimate_lease_holders,
        "configurationNotice": lambda n, regions, zones: n / (regions * zones) - 1,
        "listNotice": estimate_notified_peers,
    }
    rates = {}
    largest = max(samples, key=lambda s: s.instances / s.regions)
    for kind, direction, name in largest.byte_rates:
        if (kind, direction) != ("datagram", "sent"):
            continue
        key, predictor = (kind, direction, name), predictors.get(name)
        pair = []
        for rates_field in ("byte_rates", "packet_rates"):
            if predictor is None:
                pair.append(getattr(largest, rates_field)[key])
                continue
            x = [predictor(s.instances, s.regions, s.zones) for s in samples]
            y = [getattr(s, rates_field).get(key, 0.0) for s in samples]
            slope, offset = linear_regression(x, y)
            pair.append(slope * predictor(*shape) + offset)
        rates[name] = tuple(pair)
    return rates


def report_sample(label, sample, seed):
    name = f"{label}_{sample.instances}x{sample.regions}x{sample.zones}"
    wire_bytes = sample.sum_wire_bytes()
    yield Measure(f"traffic_{name}", wire_bytes, "B/s", seed, LIMIT_BYTES_PER_S)
    for direction in ("sent", "received"):
        byte_rate = sample.sum_bytes(direction)
        yield Measure(f"bytes_{direction}_{name}", byte_rate, "B/s", seed)
        packets = sample.sum_packets(direction)
        yield Measure(f"packets_{direction}_{name}", packets, "1/s", seed)
    yield Measure(f"cpu_{name}", sample.cpu_cores, "cores", seed, LIMIT_CPU_CORES)
    yield Measure(f"cpu_worst_{name}", sample.cpu_cores_max, "cores", seed)
    yield Measure(
        f"memory_worst_{name}", sample.rss_max_bytes, "B", seed, LIMIT_RSS_BYTES
    )
    yield Measure(f"platform_calls_{name}", sample.platform_calls_per_s, "1/s", seed)
    for (kind, direction, type_name), value in sorted(sample.byte_rates.items()):
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

    Sizes are (instances, regions, zones in each region). The region of one zone with
    27 instances has more lease holders than a zone at the target scale, so that
    their traffic is not extrapolated beyond the samples.
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
            per_call = loaded.sum_frame_bytes_sent() / max(1.0, loaded.calls_per_s)
            yield from report_sample("loaded", loaded, seed)
            yield Measure(f"frame_bytes_per_call_{shape[0]}", per_call, "B", seed)
    if long:
        yield from report_target(samples, seed)


__all__ = ["measure_traffic"]
