"""Traffic in which a few prompts hold a part under which each server crashes."""

import random
import threading
import time
from dataclasses import dataclass

import standins as s

GATEWAYS = 9
ENGINES = 6
EVENTS = 30
# Requests of the first kind on the sheet a second.
REQUESTS_PER_S = 13.3
# Share of these with the faulty part, as in the days of deploy/days/.
FAULTY_SHARE = 0.05
SECONDS = 45.0
CHATS = 60
FIRST_PART = "91bd3f06:512"
FAULTY_PART = "deadbeef"
CRASHES_MIN = 5
ARRIVALS_MAX = 3


@dataclass
class Traffic:
    """Shape of the prompts and of the servers' answers.

    ``chat_parts`` is the number of parts of a chat that its requests share.
    """

    events_per_write: int = 1
    chat_parts: int = 1
    is_faulty: bool = True


def make_part(tokens):
    """Return a part with a random id."""
    return f"{random.getrandbits(32):08x}:{tokens}"


class Case:
    """Sends the traffic and counts the arrivals of the faulty part."""

    def __init__(self, record, traffic):
        self.record, self.traffic = record, traffic
        self.crashes = []
        self.sent_at = {}
        self.sound = self.served = 0
        self._lock = threading.Lock()
        size = traffic.chat_parts
        self.chats = [[make_part(6000 // size) for _ in range(size)] for _ in range(CHATS)]
        configuration = s.make_configuration([s.STREAM_ROUTE])
        self.fleet = s.Fleet(record, GATEWAYS, configuration)
        self.engines = [
            s.Engine(
                f"i-{n}",
                s.ZONES[n % 3],
                self.fleet.gateways[0].host,
                self.fleet.store,
                record,
                after_write=self._after_write,
                events=EVENTS,
                events_per_write=traffic.events_per_write,
                gap_s=0.05 * traffic.events_per_write,
            )
            for n in range(ENGINES)
        ]

    def run(self):
        """Return the exit code of the case."""
        try:
            for engine in self.engines:
                engine.start()
            self.fleet.start()
            self._send_all()
            if any(g.process.poll() is not None for g in self.fleet.gateways):
                raise s.CannotRun("a gateway has ended")
        finally:
            self.fleet.end()
        return self._judge()

    def _after_write(self, headers):
        if FAULTY_PART not in headers["x-prefix-hash"]:
            return None
        with self._lock:
            self.crashes.append(time.monotonic())
        return "crash"

    def _send_all(self):
        threads = []
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            thread = threading.Thread(target=self._send, daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(random.expovariate(REQUESTS_PER_S))
        for thread in threads:
            thread.join(13.0)

    def _send(self):
        is_faulty = self.traffic.is_faulty and random.random() < FAULTY_SHARE
        faulty = [f"{FAULTY_PART}:400"] if is_faulty else []
        parts = [FIRST_PART, *random.choice(self.chats), *faulty, make_part(1300)]
        address = random.choice(self.fleet.gateways).frontend
        attempt = s.make_id()
        with self._lock:
            self.sent_at[attempt] = time.monotonic()
            self.sound += not is_faulty
        kind = "with the faulty part" if is_faulty else "sound"
        self.record.add(f"request {attempt} ({kind}) is sent to {address}")
        client = s.Client(address)
        status, events, complete = client.stream("/stream/x", attempt, parts)
        client.close()
        self.record.add(f"{attempt} gets {status}, {events} events, complete: {complete}")
        if not is_faulty and complete and events == EVENTS:
            with self._lock:
                self.served += 1

    def _judge(self):
        arrivals = [
            (at, attempt)
            for engine in self.engines
            for at, attempt, headers in engine.runs
            if FAULTY_PART in headers["x-prefix-hash"]
        ]
        self.record.add(
            f"sound requests: {self.sound}, served whole: {self.served}; requests with"
            f" the faulty part: {len(self.sent_at) - self.sound}, their arrivals at"
            f" servers: {len(arrivals)}, crashes: {len(self.crashes)}"
        )
        if not self.traffic.is_faulty and self.served < 0.95 * self.sound:
            raise s.CannotRun("sound requests were not served without the disruption")
        if len(self.crashes) < CRASHES_MIN:
            return s.HELD
        from_at = sorted(self.crashes)[CRASHES_MIN - 1] + s.STABLE_WINDOW_S
        # Only requests that clients sent after the window, too.
        late = [a for at, a in arrivals if at > from_at and self.sent_at[a] > from_at]
        self.record.add(
            f"arrivals with the faulty part later than {s.STABLE_WINDOW_S:.0f} s after"
            f" the fifth crash: {len(late)}, allowed: {ARRIVALS_MAX}"
        )
        return s.BROKEN if len(late) > ARRIVALS_MAX else s.HELD
