"""Servers stop some streams in the middle of an event; see claim.txt."""

import asyncio
import random
import re
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "fleet2"))

from fleet import (  # noqa: E402
    TROUBLE, ZONES, Caller, generate, make_config, make_route, run_case,
)  # fmt: skip

PER_S, EVENTS = 37.5, 42
# The trouble: half of the servers stop this share of their streams.
BEFORE_S, TROUBLE_S, AFTER_S = 5.0, 5.5, 2.0
STOP_SHARE = 0.05
LLM = "huvo11a"
SERVICES = [
    {"name": LLM, "health_path": "/healthz", "max_connections": 630, "protocol": "h1",
     "tls": False, "cold_start_s": 3.0, "cold_per_s": 20.0,
     "engine": {"slots": 128, "kv_capacity": 690039}},
]  # fmt: skip
ROUTES = [
    make_route("brief", "streaming", LLM, 12000, 600, priority=0, max_attempts=2,
               sticky=True, resumable=True, target_gap_ms=400),
]  # fmt: skip


def make_stream():
    parts = f"{random.randrange(1, 60):08x}:10512,{random.getrandbits(32):08x}:1300"
    return {
        "kind": "brief", "method": "POST", "deadline_s": 12.0, "body": b"x" * 800,
        "target": f"/brief/2f?first_ms=100&events={EVENTS}&gap_ms=60",
        "headers": [("X-Model", "m"), ("X-Token-Count", "11812,385"),
                    ("X-Prefix-Hash", parts)],
    }  # fmt: skip


async def play(fleet):
    def start_servers():
        for number in range(6):
            fleet.start_server(f"i-{number:08x}", service=LLM, slots=128, queue=384,
                               max_connections=630, zone=ZONES[number % 3],
                               stop_share=STOP_SHARE if number < 3 else 0.0,
                               stop_file=str(fleet.folder / "stop"))  # fmt: skip

    await fleet.start(make_config(ROUTES, SERVICES), start_servers)
    await asyncio.sleep(3.0)
    callers = [Caller(fleet, ZONES[number % 3]) for number in range(48)]
    outcomes = []

    async def disturb():
        await asyncio.sleep(BEFORE_S)
        if TROUBLE:
            (fleet.folder / "stop").touch()
        fleet.say("begin")
        await asyncio.sleep(TROUBLE_S)
        (fleet.folder / "stop").unlink(missing_ok=True)
        fleet.say("end")

    load = generate(fleet, callers, PER_S, BEFORE_S + TROUBLE_S + AFTER_S, make_stream,
                    outcomes)  # fmt: skip
    await asyncio.gather(disturb(), load)
    whole, short, cut = 0, [], 0
    for outcome in outcomes:
        ids = re.findall(rb"^id: (\d+)\ndata: \S+ \d+\n\n", outcome["body"], re.M)
        if outcome["status"] != 200:
            continue
        if outcome["end"] != "answered":
            cut += 1
        elif [int(found) for found in ids] == list(range(1, EVENTS + 1)):
            whole += 1
        else:
            short.append((outcome["id"], len(ids)))
            fleet.say("short", id=outcome["id"], events=len(ids),
                      ends=outcome["body"][-40:].decode())  # fmt: skip
    stops = sum(x["event"] == "stopped inside" for x in fleet.read_server_log())
    return bool(short), [
        f"streams answered whole: {whole}, begun and cut: {cut}, stopped by their server "
        f"inside an event: {stops}",
        f"streams that ended as complete before their last event: {len(short)}; events "
        f"of {EVENTS}: {sorted(count for _, count in short)}",
        f"ends: {dict(fleet.answered)}",
    ]


run_case(HERE, play)
