"""CPU and memory of one instance for requests, tokens and waiting requests."""

import http.client
import json
import threading
import time
from dataclasses import replace

from fescueflow.admission.queue import Waiter, WaitQueue
from fescueflow.admission.slots import SlotDemand
from fescueflow.core import Priority
from measures.fleets import MeasuredFleet, read_cpu_s, read_rss_bytes
from measures.report import Measure
from tests.standins.content import make_message
from tests.standins.deployment import DEFAULT_TIMINGS, FIRST_USER, MODEL, Deployment
from tests.standins.engine import EngineOptions

TARGET_TOKENS_PER_S, TARGET_REQUESTS_PER_S = 4.7e6, 11_000
TOKENS_PER_ANSWER = 200
CONCURRENT_STREAMS = 8
OPEN_STREAM_COUNT = 32
WAITING_REQUEST_COUNT = 28
SETTLE_S = 14.0
QUEUE_LENGTH = 999
# Instances are planned to use half a core, which leaves headroom for bursts.
PLANNED_UTILIZATION = 0.5


def stream_answer(address, chat, tokens):
    """Request one streamed answer and return its size in bytes."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    content = make_message("customer-3", chat, 1, tokens)
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": content}],
        "stream": True,
    }
    headers = {
        "Fescueflow-Customer": "customer-3",
        "Fescueflow-Chat": chat,
        "Fescueflow-Deadline-Ms": "60000",
        "Content-Type": "application/json",
    }
    path = "/v1/chat/completions"
    connection.request("POST", path, json.dumps(body).encode(), headers)
    response = connection.getresponse()
    data = response.read()
    connection.close()
    if response.status != 200 or b"[DONE]" not in data:
        raise RuntimeError(f"call failed: {response.status} {data[-200:]!r}")
    return len(data)


def start_calls(address, streams, tokens, rounds=1):
    """Start a thread per stream; return the threads and the list of failures."""
    failures = []

    def run(number):
        try:
            for turn in range(rounds):
                stream_answer(address, f"chat-{number}-{turn}", tokens)
        except Exception as error:
            failures.append(error)

    threads = [threading.Thread(target=run, args=(n,)) for n in range(streams)]
    for thread in threads:
        thread.start()
    return threads, failures


def measure_call_cpu_s(fleet, name, streams, tokens, rounds, idle_cores):
    """Return the CPU seconds of an instance for calls, less its idle use."""
    instance = fleet.instances[name]
    started, before = time.monotonic(), read_cpu_s(instance.process.pid)
    threads, failures = start_calls(instance.http_address, streams, tokens, rounds)
    for thread in threads:
        thread.join()
    if failures:
        raise failures[0]
    took_s = time.monotonic() - started
    return read_cpu_s(instance.process.pid) - before - idle_cores * took_s


def measure_idle_cores(fleet, name, seconds=4.0):
    pid = fleet.instances[name].process.pid
    before = read_cpu_s(pid)
    time.sleep(seconds)
    return (read_cpu_s(pid) - before) / seconds


def measure_calls(fleet, rounds, seed):
    """Yield the CPU time per request and per token, with a local and a remote home."""
    homes = {n: bool(fleet.read_status(n)["upstreams"]) for n in fleet.instances}
    for name, is_home in homes.items():
        place = "local" if is_home else "remote"
        idle_cores = measure_idle_cores(fleet, name)
        measure_call_cpu_s(fleet, name, CONCURRENT_STREAMS, 1, 2, idle_cores)
        short_s = measure_call_cpu_s(
            fleet, name, CONCURRENT_STREAMS, 1, 10 * rounds, idle_cores
        )
        request_s = short_s / (CONCURRENT_STREAMS * 10 * rounds)
        long_s = measure_call_cpu_s(
            fleet, name, CONCURRENT_STREAMS, TOKENS_PER_ANSWER, rounds, idle_cores
        )
        calls = CONCURRENT_STREAMS * rounds
        token_s = (long_s - calls * request_s) / (calls * TOKENS_PER_ANSWER)
        yield Measure(f"cpu_per_request_{place}", request_s * 1e3, "ms", seed)
        yield Measure(f"cpu_per_token_{place}", token_s * 1e6, "us", seed)
        cores = TARGET_TOKENS_PER_S * token_s + TARGET_REQUESTS_PER_S * request_s
        # The global interpreter lock limits a process to one core.
        needed = cores / PLANNED_UTILIZATION
        yield Measure(f"instances_at_half_a_core_{place}", needed, "1", seed, 450)


def measure_memory(fleet, name, warm_limit, seed):
    """Yield the memory per open stream and per request that waits for a slot."""
    instance = fleet.instances[name]
    pid = instance.process.pid
    base_bytes = read_rss_bytes(pid)
    open_count = min(OPEN_STREAM_COUNT, warm_limit)
    threads, failures = start_calls(instance.http_address, open_count, 1000)
    time.sleep(2.0)
    open_bytes = read_rss_bytes(pid)
    waiting_threads, waiting_failures = start_calls(
        instance.http_address, WAITING_REQUEST_COUNT, 1
    )
    time.sleep(2.0)
    waiting_bytes = read_rss_bytes(pid)
    for thread in threads + waiting_threads:
        thread.join()
    if failures + waiting_failures:
        raise (failures + waiting_failures)[0]
    per_stream = (open_bytes - base_bytes) / open_count / 1024
    yield Measure("memory_per_open_stream", per_stream, "KiB", seed)
    per_waiting = (waiting_bytes - open_bytes) / WAITING_REQUEST_COUNT / 1024
    yield Measure("memory_per_waiting_request", per_waiting, "KiB", seed)


def measure_queue(seed):
    """Yield the CPU time of one grant from a queue of nearly the maximum length."""
    queue = WaitQueue()
    for number in range(QUEUE_LENGTH):
        demand = SlotDemand(
            f"k{number}", None, f"customer-{number % 100}", Priority.STANDARD, 1, 1, 60
        )
        queue.add(Waiter(("i", 1), demand, 60.0, float(number)), float(number))
    started, grants = time.process_time(), 200
    for _ in range(grants):
        queue.remove(queue.get_next(), served=True)
    took_s = (time.process_time() - started) / grants
    yield Measure(f"cpu_per_grant_queue_{QUEUE_LENGTH}", took_s * 1e3, "ms", seed)


def measure_cost(long, seed):
    """Yield the measures of the CPU and memory that an instance needs."""
    yield from measure_queue(seed)
    options = EngineOptions(token_s=0.004, batch_size=256, prefill_s_per_token=0.0)
    preset = replace(
        FIRST_USER,
        zones=("north-a",),
        zone_delay_s=0.0,
        engines=1,
        services=0,
        warm_limit=OPEN_STREAM_COUNT,
        engine_options=options,
    )
    with Deployment(preset, 3.0) as deployment:
        with MeasuredFleet(deployment, 2, DEFAULT_TIMINGS) as fleet:
            time.sleep(SETTLE_S)
            yield from measure_calls(fleet, 8 if long else 3, seed)
            homes = [n for n in fleet.instances if fleet.read_status(n)["upstreams"]]
            yield from measure_memory(fleet, homes[0], OPEN_STREAM_COUNT, seed)


__all__ = ["measure_cost"]
