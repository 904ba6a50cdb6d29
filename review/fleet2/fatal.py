"""Requests with a prompt part that crashes servers, among sound ones."""

import asyncio
import random
import time

from fleet import TROUBLE, ZONES, Caller, generate, make_config, make_route

FATAL, SHARED = "5c1e07a2", "91bd3f06"
THINGS = [f"{number:08x}" for number in range(0x10000, 0x10000 + 73)]
# The rule: from the stable window after the fifth crash, three requests may reach
# servers.
CRASHES, STABLE_WINDOW_S, ALLOWED = 5, 3.0, 3
# A crashed server is back after some seconds.
BACK_S = 4.0
WARM_S, REST_S = 8.0, 6.0

# The services to which configurations move the route, the first one first.
POOLS = ["huvo11a", "huvo11b", "huvo11c"]
SERVICES = [
    {"name": name, "health_path": "/healthz", "max_connections": 630,
     "protocol": "h1", "tls": False, "cold_start_s": 3.0, "cold_per_s": 20.0,
     "engine": {"slots": 128, "kv_capacity": 690039}}
    for name in POOLS
]  # fmt: skip


def make_request(kind, first_ms):
    """Return a request; those with the fatal part are alike only in this one."""
    first = FATAL if kind == "fatal" else SHARED
    own = f"{random.getrandbits(32):08x}"
    return {
        "kind": kind,
        "method": "POST",
        "target": f"/summary/2f?first_ms={first_ms}&events=20&gap_ms=60",
        "deadline_s": 10.0,
        "headers": [("X-Model", "m"), ("X-Token-Count", "829,294"),
                    ("X-Prefix-Hash", f"{first}:350,{random.choice(THINGS)}:349,{own}:130")],
        "body": b"x" * 600,
    }  # fmt: skip


def make_routes(service):
    return [
        make_route("summary", "streaming", service, 10000, 800, max_attempts=1,
                   sticky=True, resumable=False, target_gap_ms=400),
    ]  # fmt: skip


async def play(fleet, *, crash_ms, batch, spread_s, pause_s, batches, moves_s=(),
               first_ms=400, sound_per_s=36.0):
    """Send batches of requests with the part; return whether the rule was broken.

    Parameters
    ----------
    fleet : Fleet
    crash_ms : float
        Time from the beginning of an answer to the crash; 0 crashes at once.
    batch, spread_s, pause_s, batches : int and float
        Requests with the part in a batch, the time in which they come, the time from
        one batch to the next, and how many there are.
    moves_s : tuple of float, optional
        When configurations move the route to the next service, after the first batch.
    first_ms : float, optional
        Time from the arrival of a request to its first event.
    sound_per_s : float, optional
    """
    options = {
        "slots": 128, "queue": 384, "max_connections": 630,
        "fatal_part": FATAL if TROUBLE else None, "crash_ms": crash_ms,
    }  # fmt: skip
    services = POOLS[: 1 + len(moves_s)]
    places = {
        f"i-{pool}{number:07x}": (service, ZONES[number % 3])
        for pool, service in enumerate(services)
        for number in range(6)
    }

    def start_servers():
        for name, (service, zone) in places.items():
            fleet.start_server(name, service=service, zone=zone, **options)

    async def bring_back():
        down = {}
        while True:
            await asyncio.sleep(0.05)
            for name in places:
                if fleet.servers[name]["process"].poll() is None:
                    down.pop(name, None)
                elif time.monotonic() > down.setdefault(name, time.monotonic()) + BACK_S:
                    fleet.start_server(name, cold_s=3.0)

    await fleet.start(make_config(make_routes(services[0]), SERVICES), start_servers)
    await asyncio.sleep(3.0)
    callers = [Caller(fleet, ZONES[number % 3]) for number in range(24)]
    outcomes = []

    async def send_one(caller):
        await asyncio.sleep(random.uniform(0.0, spread_s))
        outcomes.append(await caller.send(**make_request("fatal", first_ms)))

    async def send_fatal():
        await asyncio.sleep(WARM_S)
        sent = []
        for _ in range(batches):
            chosen = random.sample(callers, batch)
            sent += [asyncio.ensure_future(send_one(caller)) for caller in chosen]
            await asyncio.sleep(pause_s)
        await asyncio.gather(*sent)

    async def move():
        began = asyncio.get_running_loop().time()
        for number, move_s in enumerate(moves_s, 1):
            rest_s = began + WARM_S + move_s - asyncio.get_running_loop().time()
            await asyncio.sleep(rest_s)
            routes = make_routes(services[number])
            await fleet.put_config(make_config(routes, SERVICES, version=7 + 2 * number))

    keeper = asyncio.ensure_future(bring_back())
    sound = generate(fleet, callers, sound_per_s, WARM_S + batches * pause_s + REST_S,
                     lambda: make_request("sound", first_ms), outcomes)  # fmt: skip
    await asyncio.gather(sound, send_fatal(), move())
    keeper.cancel()
    return judge(fleet, outcomes)


def judge(fleet, outcomes):
    log = fleet.read_server_log()
    fatal = {o["id"] for o in outcomes if o["kind"] == "fatal"}
    crashes = [line["t"] for line in log if line["event"] == "crashed"]
    late, lines = [], []
    lines.append(f"crashes at {[round(t - fleet.started, 2) for t in crashes]}")
    if len(crashes) >= CRASHES:
        since = crashes[CRASHES - 1] + STABLE_WINDOW_S
        late = [line["t"] for line in log if line["event"] == "arrived"
                and line["t"] > since and line["id"] in fatal]  # fmt: skip
    times = [round(t - fleet.started, 2) for t in late]
    lines.append(f"requests with the part that reached servers later than "
                 f"{STABLE_WINDOW_S:g} s after the fifth crash: {len(late)} "
                 f"(allowed {ALLOWED}) at {times}")  # fmt: skip
    sound = [o for o in outcomes if o["kind"] == "sound"]
    whole = sum(o["status"] == 200 and o["end"] == "answered" for o in sound)
    cut = sum(o["status"] == 200 and o["end"] != "answered" for o in sound)
    lines.append(f"sound requests: {len(sound)}, answered whole: {whole}, begun and cut: "
                 f"{cut}")  # fmt: skip
    lines.append(f"requests with the part: {len(fatal)}")
    lines.append(f"ends: {dict(fleet.answered)}")
    return len(late) > ALLOWED, lines
