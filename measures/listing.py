"""CPU time and bytes of reading the platform's instance list at target scale."""

import socket
import time

from fescueflow.core import SystemClock, SystemRandomSource
from fescueflow.membership import ListService
from fescueflow.metrics import Metrics
from fescueflow.platform import HttpInstanceListClient
from fescueflow.rights.holdings import PeerReachability, ShareTable
from fescueflow.transport import SystemNetwork
from measures.report import Measure
from tests.builders import build_settings
from tests.standins.deployment import get_region
from tests.standins.instance_list import InstanceListStandin

INSTANCES, UPSTREAMS, ZONES, REGIONS, MODELS = 450, 3400, 23, 7, 13
READING_COUNT = 5
LIMIT_CPU_CORES = 0.049
LIMIT_BYTES_PER_S = 12_000


def make_location(number):
    zone_number = number % ZONES
    zone = f"region{zone_number % REGIONS}-zone{zone_number}"
    return {"zone": zone, "region": get_region(zone)}


def fill_list(standin):
    addresses = {"http_address": "10.0.0.1:8000", "peer_address": "10.0.0.1:8001"}
    standin.load(
        "instances",
        [
            {"id": f"instance-{n}", **addresses, **make_location(n)}
            for n in range(INSTANCES)
        ],
    )
    standin.load(
        "upstreams",
        [
            {
                "id": f"engine-{n}",
                "group": f"model-{n % MODELS}",
                "address": "10.0.0.1:8002",
                **make_location(n),
            }
            for n in range(UPSTREAMS)
        ],
    )


class CountingSocket(socket.socket):
    """Socket that adds the bytes it receives to a count shared by all connections."""

    received_bytes = 0

    def recv_into(self, buffer, *arguments):
        count = super().recv_into(buffer, *arguments)
        CountingSocket.received_bytes += count
        return count


def connect_counted(address, timeout_s):
    connection = SystemNetwork().connect(address, timeout_s)
    return CountingSocket(fileno=connection.detach())


def make_service(standin):
    """Return a list service that updates a share table, as in an instance."""
    clock = SystemClock()
    client = HttpInstanceListClient(
        url=standin.url, clock=clock, connect=connect_counted
    )
    service = ListService(
        client=client,
        settings=build_settings("instance-0", "region0-zone0"),
        clock=clock,
        random_source=SystemRandomSource(),
        metrics=Metrics(),
    )
    table = ShareTable("instance-0", 8.0, 3.0, 3.0)
    peers = PeerReachability(frozenset(), frozenset())
    service.subscribe(lambda snapshot: table.apply(snapshot, peers))
    return service


def measure_listing(seed):
    """Yield the CPU time and the bytes of a list reading.

    An instance reads the list once per second by default, so that the cost of one
    reading is compared with the limits per second.
    """
    with InstanceListStandin() as standin:
        fill_list(standin)
        service = make_service(standin)
        started = time.thread_time()
        service.refresh()
        first_s = time.thread_time() - started
        first_bytes = CountingSocket.received_bytes
        started = time.thread_time()
        for _ in range(READING_COUNT):
            service.refresh()
        unchanged_s = (time.thread_time() - started) / READING_COUNT
        size = (CountingSocket.received_bytes - first_bytes) / READING_COUNT
    yield Measure("list_first_reading_cpu", first_s, "s", seed)
    yield Measure("list_unchanged_reading_cpu", unchanged_s, "s", seed, LIMIT_CPU_CORES)
    yield Measure("list_first_reading_bytes", first_bytes, "B", seed)
    yield Measure("list_unchanged_reading_bytes", size, "B", seed, LIMIT_BYTES_PER_S)


__all__ = ["measure_listing"]
