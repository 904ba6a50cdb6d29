"""CPU use of one instance that relays many streams at a realistic token rate."""

import json
import selectors
import socket
import time
from dataclasses import replace

from measures.cost import (
    PLANNED_UTILIZATION,
    SETTLE_S,
    TARGET_TOKENS_PER_S,
    measure_idle_cores,
)
from measures.fleets import MeasuredFleet, read_cpu_s, read_rss_bytes
from measures.report import Measure
from tests.standins.content import make_message
from tests.standins.deployment import DEFAULT_TIMINGS, FIRST_USER, MODEL, Deployment
from tests.standins.engine import EngineOptions

STREAM_COUNT = 256
TOKEN_INTERVAL_S = 0.064
TOKENS_PER_STREAM = 1000
RAMP_UP_S = 10.0
WINDOW_S = 8.0
READ_BYTES = 65536
# Time between reads; it keeps the CPU use of the readers themselves small.
READ_INTERVAL_S = 0.005


class StreamReaders:
    """Client of many streams in one thread; counts the tokens that arrive.

    Parameters
    ----------
    address : str
        ``host:port`` of the instance.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.address = host, int(port)
        self.tokens = 0
        self._selector = selectors.DefaultSelector()

    def open(self, chat, tokens):
        """Send the request of one stream."""
        content = make_message("customer-3", chat, 1, tokens)
        messages = [{"role": "user", "content": content}]
        document = {"model": MODEL, "messages": messages, "stream": True}
        body = json.dumps(document).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: fescueflow\r\n"
            f"Fescueflow-Customer: customer-3\r\nFescueflow-Chat: {chat}\r\n"
            "Fescueflow-Deadline-Ms: 120000\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection = socket.create_connection(self.address)
        connection.sendall(head.encode() + body)
        connection.setblocking(False)
        self._selector.register(connection, selectors.EVENT_READ)

    def count_open(self):
        return len(self._selector.get_map())

    def read(self, seconds):
        """Read all streams for the given time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for key, _ in self._selector.select(0.1):
                data = key.fileobj.recv(READ_BYTES)
                self.tokens += data.count(b"data: ")
                if not data:
                    self._selector.unregister(key.fileobj)
                    key.fileobj.close()
            time.sleep(READ_INTERVAL_S)

    def close(self):
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()


def measure_open_streams(seed):
    """Yield the CPU time per token and the instances needed for the target rate."""
    options = EngineOptions(
        token_s=TOKEN_INTERVAL_S,
        batch_size=2 * STREAM_COUNT,
        refuse_above=2 * STREAM_COUNT,
    )
    preset = replace(
        FIRST_USER,
        zones=("north-a",),
        zone_delay_s=0.0,
        engines=1,
        services=0,
        warm_limit=2 * STREAM_COUNT,
        engine_options=options,
    )
    timings = {**DEFAULT_TIMINGS, "http_threads": str(2 * STREAM_COUNT)}
    with Deployment(preset, 3.0) as deployment:
        with MeasuredFleet(deployment, 1, timings) as fleet:
            time.sleep(SETTLE_S)
            (instance,) = fleet.instances.values()
            idle_cores = measure_idle_cores(fleet, instance.id)
            readers = StreamReaders(instance.http_address)
            try:
                for number in range(STREAM_COUNT):
                    readers.open(f"chat-{number}", TOKENS_PER_STREAM)
                readers.read(RAMP_UP_S)
                yield from measure_window(
                    readers, instance.process.pid, idle_cores, seed
                )
            finally:
                readers.close()


def measure_window(readers, pid, idle_cores, seed):
    """Yield the measures of one window, in which all streams must stay open."""
    tokens, started, cpu_s = readers.tokens, time.monotonic(), read_cpu_s(pid)
    readers.read(WINDOW_S)
    took_s, tokens = time.monotonic() - started, readers.tokens - tokens
    if readers.count_open() < STREAM_COUNT:
        raise RuntimeError(f"{STREAM_COUNT - readers.count_open()} streams ended")
    token_s = (read_cpu_s(pid) - cpu_s - idle_cores * took_s) / tokens
    yield Measure("open_streams_tokens", tokens / took_s, "1/s", seed)
    yield Measure("open_streams_cpu_per_token", token_s * 1e6, "us", seed)
    yield Measure("open_streams_memory", read_rss_bytes(pid) / 1e6, "MB", seed)
    needed = TARGET_TOKENS_PER_S * token_s / PLANNED_UTILIZATION
    yield Measure("open_streams_instances_at_half_a_core", needed, "1", seed, 450)


__all__ = ["measure_open_streams"]
