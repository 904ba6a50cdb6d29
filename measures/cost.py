"""CPU and memory of one instance for requests, tokens and waiting requests."""

import http.client
import json
import threading
import time
from dataclasses import replace

from fescueflow.admission.queue import Waiter, WaitQueue
from fescueflow.admission.slots import SlotDemand
from fescueflow.core import Priority
from measures.fleets import MeasuredFleet, read_cpu_s, read_rss
from measures.report import Measure
from tests.standins.content import make_message
from tests.standins.deployment import DEFAULT_TIMINGS, FIRST_USER, MODEL, Deployment
from tests.standins.engine import EngineOptions

TARGET_TOKENS_PER_S, TARGET_REQUESTS_PER_S = 4.7e6, 11_000
TOKENS = 200
STREAMS = 8
OPEN_STREAMS = 32
WAITING = 28
SETTLE_S = 14.0
QUEUE_LENGTH = 999
# A core is planned to be used by half, so that bursts find room.
PLANNED_LOAD = 0.5


def call(address, chat, tokens):
    """Stream one answer; return its size in bytes."""
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
    """Start threads of calls; returns them with the list of failures."""
    failures = []

    def run(number):
        try:
            for turn in range(rounds):
                call(address, f"chat-{number}-{turn}", tokens)
        except Exception as error:
            failures.append(error)

    threads = [threading.Thread(target=run, args=(n,)) for n in range(streams)]
    for thread in threads:
        thread.start()
    return threads, failures


def run_calls(fleet, name, streams, tokens, rounds, idle_cpu):
    """Return the CPU seconds of an instance for calls, without its idle part."""
    instance = fleet.instances[name]
    started, before = time.monotonic(), read_cpu_s(instance.process.pid)
    threads, failures = start_calls(instance.http_address, streams, tokens, rounds)
    for thread in threads:
        thread.join()
    if failures:
        raise failures[0]
    took_s = time.monotonic() - started
    return read_cpu_s(instance.process.pid) - before - idle_cpu * took_s


def measure_idle(fleet, name, seconds=4.0):
    pid = fleet.instances[name].process.pid
    before = read_cpu_s(pid)
    time.sleep(seconds)
    return (read_cpu_s(pid) - before) / seconds


def measure_calls(fleet, rounds, seed):
    """Yield CPU per request with a local and a remote home, and per token."""
    homes = {n: bool(fleet.read_status(n)["upstreams"]) for n in fleet.instances}
    for name, is_home in homes.items():
        place = "local" if is_home else "remote"
        idle_cpu = measure_idle(fleet, name)
        run_calls(fleet, name, STREAMS, 1, 2, idle_cpu)
        short_s = run_calls(fleet, name, STREAMS, 1, 10 * rounds, idle_cpu)
        request_s = short_s / (STREAMS * 10 * rounds)
        long_s = run_calls(fleet, name, STREAMS, TOKENS, rounds, idle_cpu)
        calls = STREAMS * rounds
        token_s = (long_s - calls * request_s) / (calls * TOKENS)
        yield Measure(f"cpu_per_request_{place}", request_s * 1e3, "ms", seed)
        yield Measure(f"cpu_per_token_{place}", token_s * 1e6, "us", seed)
        cores = TARGET_TOKENS_PER_S * token_s + TARGET_REQUESTS_PER_S * request_s
        # One process uses one core at most, because of the interpreter lock.
        needed = cores / PLANNED_LOAD
        yield Measure(f"instances_at_half_a_core_{place}", needed, "1", seed, 450)


def measure_memory(fleet, name, warm_limit, seed):
    """Yield memory of open streams, then of requests waiting for a slot."""
    instance = fleet.instances[name]
    pid = instance.process.pid
    base = read_rss(pid)
    open_count = min(OPEN_STREAMS, warm_limit)
    threads, failures = start_calls(instance.http_address, open_count, 1000)
    time.sleep(2.0)
    opened = read_rss(pid)
    more, more_failures = start_calls(instance.http_address, WAITING, 1)
    time.sleep(2.0)
    waited = read_rss(pid)
    for thread in threads + more:
        thread.join()
    if failures + more_failures:
        raise (failures + more_failures)[0]
    per_stream = (opened - base) / open_count / 1024
    yield Measure("memory_per_open_stream", per_stream, "KiB", seed)
    per_waiting = (waited - opened) / WAITING / 1024
    yield Measure("memory_per_waiting_request", per_waiting, "KiB", seed)


def measure_queue(seed):
    """Yield CPU of one grant from a queue of the greatest length."""
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
    """Yield the measures of the instance's own cost."""
    yield from measure_queue(seed)
    options = EngineOptions(token_s=0.004, batch_size=256, prefill_s_per_token=0.0)
    preset = replace(
        FIRST_USER,
        zones=("north-a",),
        zone_delay_s=0.0,
        engines=1,
        services=0,
        warm_limit=OPEN_STREAMS,
        engine_options=options,
    )
    with Deployment(preset, 3.0) as deployment:
        with MeasuredFleet(deployment, 2, DEFAULT_TIMINGS) as fleet:
            time.sleep(SETTLE_S)
            yield from measure_calls(fleet, 8 if long else 3, seed)
            homes = [n for n in fleet.instances if fleet.read_status(n)["upstreams"]]
            yield from measure_memory(fleet, homes[0], OPEN_STREAMS, seed)


__all__ = ["measure_cost"]
