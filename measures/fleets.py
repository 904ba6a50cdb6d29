"""Fleets of instance processes for measures, and their resource use."""

import http.client
import json
import os
import threading
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from measures import serve
from tests.standins.deployment import ENGINES, Deployment, get_region
from tests.standins.fleet import Fleet
from tests.standins.server import StandinServer

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# IPv4 header (20 bytes) and UDP header (8 bytes) of a datagram.
PACKET_HEADER_BYTES = 28


class MeasuredFleet(Fleet):
    """Fleet of unmodified instance processes, without network fault injection."""

    module = serve.__name__


class SharedUpstreamServer(StandinServer):
    """One server for all listed upstreams; serves load reports and short answers."""

    def handle(self, exchange):
        if urlsplit(exchange.path).path == "/load":
            report = {
                "incarnation": "1",
                "in_flight": 0,
                "warm": True,
                "age_ms": 0,
                "events": [],
            }
            exchange.send_json(200, report)
            return
        request_id = exchange.headers.get("X-Request-Id", "")
        message = {"role": "assistant", "content": "yes"}
        answer = {"choices": [{"index": 0, "message": message}]}
        exchange.send_json(200, answer, {"X-Request-Id": request_id})


class SharedServerDeployment(Deployment):
    """Deployment whose listed engines all have the address of one server."""

    def __init__(self, preset, upstreams, list_lag_s):
        super().__init__(preset, list_lag_s)
        self.upstream_count = upstreams
        self.shared_server = SharedUpstreamServer()

    def start(self):
        self.shared_server.start()
        for number in range(self.upstream_count):
            zone = self.get_zone(number)
            self.instance_list.add_upstream(
                id=f"engine-{number}",
                group=ENGINES,
                zone=zone,
                region=get_region(zone),
                address=self.shared_server.address,
            )
        return super().start()

    def stop(self):
        super().stop()
        self.shared_server.stop()


@dataclass
class Usage:
    """CPU time, resident memory and metrics of one process."""

    cpu_s: float
    rss_bytes: int
    series: dict = field(default_factory=dict)


def read_cpu_s(pid):
    """Return the user and system CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_rss_bytes(pid):
    """Return the resident set size of a process in bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def read_usage(fleet, name):
    pid = fleet.instances[name].process.pid
    return Usage(read_cpu_s(pid), read_rss_bytes(pid), fleet.read_metrics(name))


class LoadGenerator:
    """Threads that send short model requests at a constant total rate."""

    def __init__(self, addresses, rate_per_s, threads=4):
        self._addresses, self._interval_s = list(addresses), threads / rate_per_s
        self._stopping = threading.Event()
        self.succeeded, self.failed = 0, 0
        self._threads = [
            threading.Thread(target=self._run, args=(i,)) for i in range(threads)
        ]

    def _run(self, first_number):
        connections = {}
        request_number = first_number
        body = {"model": "assistant", "messages": [{"role": "user", "content": "x"}]}
        while not self._stopping.wait(self._interval_s):
            request_number += len(self._threads)
            address = self._addresses[request_number % len(self._addresses)]
            host, _, port = address.rpartition(":")
            if address not in connections:
                connections[address] = http.client.HTTPConnection(host, int(port), 10)
            headers = {
                "Fescueflow-Customer": f"customer-{2 + request_number % 8}",
                "Fescueflow-Chat": f"chat-{request_number}",
                "Content-Type": "application/json",
            }
            path = "/v1/chat/completions"
            try:
                connections[address].request("POST", path, json.dumps(body), headers)
                response = connections[address].getresponse()
                response.read()
                self.succeeded += response.status == 200
                self.failed += response.status != 200
            except (OSError, http.client.HTTPException):
                self.failed += 1
                connections.pop(address).close()
        for connection in connections.values():
            connection.close()

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details):
        self._stopping.set()
        for thread in self._threads:
            thread.join()


__all__ = [
    "PACKET_HEADER_BYTES",
    "LoadGenerator",
    "MeasuredFleet",
    "SharedServerDeployment",
    "Usage",
    "read_cpu_s",
    "read_rss_bytes",
    "read_usage",
]
