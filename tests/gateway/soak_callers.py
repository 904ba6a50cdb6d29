"""Callers that keep their connections, and what each of their attempts got."""

import http.client
import io
import json
import random
import select
import socket
import threading
import time
from dataclasses import dataclass
from enum import Enum

from tests.gateway.pausing_upstreams import count_events, make_body, make_event

CONNECT_TIMEOUT_S = 1.0
# Time for which callers keep a list of addresses; some keep it three times as long.
ADDRESS_KEEP_S = 2.0
# Time for which a caller avoids an address that has failed.
AVOID_S = 3.0
# Gap after which callers abandon a stream: at least two seconds, four objectives and
# eight pauses.
GAP_MIN_S, GAP_OBJECTIVES, GAP_PAUSES = 2.0, 4, 8
PAUSE_S = 0.4
# Time beyond its deadline after which a caller gives an attempt up.
PATIENCE_S = 0.5
READ_BYTES = 65536
# Routes of both sites: kind, objective, timeout and deadline in seconds, whether a
# stream may be resumed, largest number of upstreams, and share of the requests.
ROUTES = {
    "/brief/": ("streaming", 0.6, 12.0, 12.0, True, 2, 40),
    "/summary/": ("streaming", 0.8, 10.0, 10.0, False, 1, 25),
    "/check/": ("streaming", 1.5, 3.0, 3.0, True, 2, 15),
    "/booking/": ("unsafe", 0.3, 2.0, 4.0, False, 1, 10),
    "/lookup/": ("safe", 0.3, 2.0, 4.0, False, 2, 10),
}


class Outcome(Enum):
    """How an attempt ended."""

    COMPLETE = "complete"
    # The connection was closed before the end of an answer, or without one.
    CUT = "cut"
    UNANSWERED = "unanswered"
    # The caller gave up.
    ABANDONED = "abandoned"


@dataclass
class Attempt:
    """One request and what its caller got."""

    id: str
    path: str
    instance: tuple
    is_kept: bool
    sent_at: float = 0.0
    # When the last byte of the request was sent.
    whole_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    events: int = 0
    outcome: Outcome = Outcome.UNANSWERED
    # How the connection ended.
    end: str = ""
    problem: str = ""

    @property
    def limit_s(self):
        """Time after which the route or the caller ends it."""
        return min(ROUTES[self.path][2:4])

    @property
    def gap_s(self):
        """Time without a byte after which the caller leaves."""
        kind, objective_s, _, deadline_s = ROUTES[self.path][:4]
        gap_s = deadline_s + PATIENCE_S
        if kind != "streaming":
            return gap_s
        return min(
            gap_s, max(GAP_MIN_S, GAP_OBJECTIVES * objective_s, GAP_PAUSES * PAUSE_S)
        )


class KeptReader(io.BufferedReader):
    """Reader that stays open from one response of a connection to the next."""

    def close(self):
        """Keep the connection."""


class CallerConnection:
    """Connection to an instance."""

    def __init__(self, address):
        self.address = address
        self.is_used = False
        self.socket = socket.create_connection(address, CONNECT_TIMEOUT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = KeptReader(socket.SocketIO(self.socket, "r"))

    def makefile(self, _mode):
        """Return the reader, as ``http.client`` asks for it."""
        return self._reader

    def has_ended(self):
        """Return whether the connection is closed or has bytes that nobody asked for.

        Raises
        ------
        ValueError
            If there are such bytes.
        """
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        if not poll.poll(0):
            return False
        try:
            data = self.socket.recv(READ_BYTES)
        except OSError:
            return True
        if data:
            raise ValueError(f"{data[:60]!r} without a request")
        return True

    def close(self):
        """Close the connection."""
        self.socket.close()


class Caller:
    """Sends one request after the other until the run is over.

    Parameters
    ----------
    number : int
    seed : int
    fleet : ProcessFleet
    is_over : Event
    halts : bool
        Whether some requests are sent in two parts with a pause between.
    """

    def __init__(self, number, seed, fleet, is_over, halts):
        self.attempts = []
        self.failed_connections = 0
        self._number = number
        self._random = random.Random(seed * 1000 + number)
        self._fleet, self._is_over = fleet, is_over
        self._halts = halts and self._random.random() < 0.15
        # A caller that doesn't look sends on a connection that has been closed.
        self._looks = self._random.random() < 0.5
        self._keep_s = ADDRESS_KEEP_S * self._random.choice((1, 1, 3))
        self._addresses, self._known_until = [], 0.0
        self._avoided = {}
        self._connection = None
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        while not self._is_over.is_set():
            pause_s = self._random.uniform(0.0, 0.15)
            try:
                if self._connection is None or self._find_ended():
                    self._connect()
                pause_s = max(pause_s, self._send_one())
            except OSError:
                self.failed_connections += 1
                pause_s += 0.1
            self._is_over.wait(pause_s)
        self._drop()

    def _find_ended(self):
        if not self._looks:
            return False
        try:
            return self._connection.has_ended()
        except ValueError as error:
            self.attempts[-1].problem = str(error)
            return True

    def _connect(self):
        self._drop()
        now = time.monotonic()
        if now >= self._known_until:
            self._addresses = list(self._fleet.addresses)
            self._known_until = now + self._keep_s
        avoided = [a for a, until in self._avoided.items() if until > now]
        choices = [a for a in self._addresses if a not in avoided]
        address = self._random.choice(choices or self._addresses)
        try:
            self._connection = CallerConnection(address)
        except OSError:
            self._avoided[address] = now + AVOID_S
            raise

    def _drop(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _send_one(self):
        """Send a request; return the pause until the next one."""
        weights = [entry[-1] for entry in ROUTES.values()]
        path = self._random.choices(list(ROUTES), weights)[0]
        attempt = Attempt(
            id=f"{self._random.getrandbits(64):016x}",
            path=path,
            instance=self._connection.address,
            is_kept=self._connection.is_used,
        )
        self.attempts.append(attempt)
        self._connection.is_used = True
        retry_s, keeps = 0.0, False
        attempt.sent_at = attempt.whole_at = time.monotonic()
        try:
            self._write(attempt)
            response = self._read(attempt)
            keeps = not response.will_close
            retry_s = float(response.getheader("Retry-After") or 0.0)
        except TimeoutError:
            attempt.outcome = Outcome.ABANDONED
        except (OSError, http.client.HTTPException) as error:
            attempt.outcome = Outcome.CUT if attempt.status else Outcome.UNANSWERED
            attempt.end = repr(error)
        attempt.ended_at = time.monotonic()
        if not keeps:
            self._drop()
        return min(retry_s, ROUTES[path][3] / 3)

    def _write(self, attempt):
        method = "GET" if ROUTES[attempt.path][0] == "safe" else "POST"
        body = b"" if method == "GET" else b"q" * self._random.choice((20, 600, 12000))
        part = f"{self._number:08x}:300,{attempt.id}:200"
        lines = [
            f"{method} {attempt.path}x HTTP/1.1",
            "Host: fleet.example",
            f"X-Attempt-Id: {attempt.id}",
            f"X-Deadline-Ms: {ROUTES[attempt.path][3] * 1000:.0f}",
            "Authorization: Token k1",
            "X-Model: m",
            "X-Token-Count: 500,385",
            f"X-Prefix-Hash: {part}",
            f"Content-Length: {len(body)}",
        ]
        data = "\r\n".join([*lines, "", ""]).encode() + body
        connection = self._connection.socket
        connection.settimeout(CONNECT_TIMEOUT_S)
        if self._halts:
            place = self._random.randrange(1, len(data))
            connection.sendall(data[:place])
            time.sleep(self._random.uniform(0.05, 0.8))
            data = data[place:]
        connection.sendall(data)
        attempt.whole_at = time.monotonic()

    def _read(self, attempt):
        self._connection.socket.settimeout(attempt.gap_s)
        response = http.client.HTTPResponse(self._connection, method="POST")
        response.begin()
        attempt.status = response.status
        body = b""
        while part := response.read1(READ_BYTES):
            body += part
            attempt.events = body.count(b"\n\n")
        # ``read1`` returns nothing at the early end of a body with a length.
        if response.length:
            raise http.client.IncompleteRead(body)
        attempt.outcome = Outcome.COMPLETE
        attempt.problem = find_problem(attempt, response, body)
        return response


def find_problem(attempt, response, body):
    """Return what is wrong with a complete answer, or an empty text."""
    echo = response.getheader("X-Attempt-Id")
    if echo not in (None, attempt.id):
        return f"answer to {echo}"
    if attempt.status >= 500:
        try:
            json.loads(body or b"{}")
        except ValueError:
            return f"body {body[:60]!r}"
        return ""
    if attempt.status != 200:
        return f"status {attempt.status}"
    whole = make_body(attempt.id)
    if ROUTES[attempt.path][0] == "streaming":
        count = count_events(attempt.path, attempt.id)
        whole = b"".join(make_event(attempt.id, n + 1) for n in range(count))
    if not response.getheader("X-Server-Seal"):
        return "no seal"
    return "" if body == whole else f"{attempt.events} events, {body[-60:]!r}"


__all__ = ["ROUTES", "Attempt", "Caller", "CallerConnection", "Outcome"]
