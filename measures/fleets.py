"""Real fleets for measures, and what their processes use."""

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

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# IPv4 and UDP headers of a datagram.
PACKET_HEADER_BYTES = 28


class MeasuredFleet(Fleet):
    """Fleet of the product's own process, without the faulty network."""

    module = serve.__name__


class SharedUpstreams(StandinServer):
    """One server behind all upstreams of a list: reports and short answers."""

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


class WideDeployment(Deployment):
    """Deployment whose many engines are one server."""

    def __init__(self, preset, upstreams, list_lag_s):
        super().__init__(preset, list_lag_s)
        self.upstream_count = upstreams
        self.shared = SharedUpstreams()

    def start(self):
        self.shared.start()
        for number in range(self.upstream_count):
            zone = self.get_zone(number)
            self.instance_list.add_upstream(
                id=f"engine-{number}",
                group=ENGINES,
                zone=zone,
                region=get_region(zone),
                address=self.shared.address,
            )
        return super().start()

    def stop(self):
        super().stop()
        self.shared.stop()


@dataclass
class Usage:
    """Counters of one process; CPU in seconds, memory in bytes."""

    cpu_s: float
    rss: int
    series: dict = field(default_factory=dict)


def read_cpu_s(pid):
    """Return user and system time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss(pid):
    """Return the resident memory of a process in bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def read_usage(fleet, name):
    pid = fleet.instances[name].process.pid
    return Usage(read_cpu_s(pid), read_rss(pid), fleet.read_metrics(name))


class LoadThread:
    """Callers of short model requests at a steady total rate."""

    def __init__(self, addresses, rate_per_s, threads=4):
        self._addresses, self._pause_s = list(addresses), threads / rate_per_s
        self._stopping = threading.Event()
        self.done, self.failed = 0, 0
        self._threads = [
            threading.Thread(target=self._run, args=(i,)) for i in range(threads)
        ]

    def _run(self, number):
        connections = {}
        turn = number
        body = {"model": "assistant", "messages": [{"role": "user", "content": "x"}]}
        while not self._stopping.wait(self._pause_s):
            turn += len(self._threads)
            address = self._addresses[turn % len(self._addresses)]
            host, _, port = address.rpartition(":")
            if address not in connections:
                connections[address] = http.client.HTTPConnection(host, int(port), 10)
            headers = {
                "Fescueflow-Customer": f"customer-{2 + turn % 8}",
                "Fescueflow-Chat": f"chat-{turn}",
                "Content-Type": "application/json",
            }
            path = "/v1/chat/completions"
            try:
                connections[address].request("POST", path, json.dumps(body), headers)
                response = connections[address].getresponse()
                response.read()
                self.done += response.status == 200
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
    "LoadThread",
    "MeasuredFleet",
    "Usage",
    "WideDeployment",
    "read_cpu_s",
    "read_rss",
    "read_usage",
]
