"""Upstreams with few places that fall silent, leave, end and come back."""

import contextlib
import random
import select
import socket
import threading
import time
import zlib
from dataclasses import dataclass
from enum import Enum

from tests.gateway.fake_servers import QuietHandler, QuietServer

# Time from the end of an upstream until the store drops its entry: three heartbeats.
EXPIRY_S = 3.6
POLL_S = 0.02
# Time between two silences, so that they don't make a longer one.
APART_S = 1.0
EVENTS_MIN = 3
# Events of an answer, by the first part of the path.
EVENTS_MAX = {"/brief/": 25, "/summary/": 20, "/check/": 6}


class Hearing(Enum):
    """When an upstream drops the work of a closed connection."""

    AT_ONCE = "at once"
    AFTER_SILENCE = "after its silence"
    NEVER = "never"


@dataclass
class Run:
    """Work of one upstream on one attempt."""

    attempt: str
    upstream: str
    hearing: Hearing
    began_at: float
    is_resumed: bool
    ended_at: float | None = None


class QueueServer(QuietServer):
    """Server that lets many connections wait to be accepted."""

    request_queue_size = 256


class PausingUpstream:
    """One life of an upstream.

    Parameters
    ----------
    name : str
    store : FakeStore
    service : str
    zone : str
    slots, queue : int
        Requests that run and that wait; further ones are refused.
    hearing : Hearing
    gap_s : float
        Time between two events.
    port : int, optional
        Port of an earlier life.

    Attributes
    ----------
    runs : list of Run
    refused : set of str
        Attempts that were not run.
    broken : set of str
        Attempts that were under way when the upstream ended, or whose streams it ended
        early.
    silences : list of tuple of float
        Begin and end of each silence.
    """

    def __init__(  # noqa: PLR0913
        self, name, store, *, service, zone, slots, queue, hearing, gap_s, port=0
    ):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.queue = slots, queue
        self.hearing, self.gap_s = hearing, gap_s
        self.runs, self.refused, self.broken = [], set(), set()
        self.arrived, self.silences = set(), []
        self.is_up, self.is_leaving = True, False
        self._store = store
        self._born_ms = int(time.time() * 1000)
        self._silent_until = self._early_until = 0.0
        self._early_share = 0.0
        # The other draws of a seed stay the same with and without early ends.
        self._early_random = random.Random(f"{name} early ends")
        self._running = self._waiting = 0
        self._under_way = set()
        self._lock = threading.Condition()
        self._connections = set()
        self._random = random.Random(name)
        self._server = QueueServer(("127.0.0.1", port), self._make_handler())
        self.port = self._server.server_address[1]
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()
        self._store.put(f"servers/{name}", self.make_entry())

    def make_entry(self, state="ready"):
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self._born_ms,
        }

    def pause(self, seconds):
        """Write nothing for some time; all runs go on afterwards."""
        now = time.monotonic()
        if now < self._silent_until + APART_S:
            return
        self._silent_until = now + seconds
        self.silences.append((now, self._silent_until))

    def end_early(self, share, seconds):
        """End streams inside this share of their events for some time."""
        self._early_share, self._early_until = share, time.monotonic() + seconds

    def _draw_early_end(self):
        if time.monotonic() >= self._early_until:
            return False
        return self._early_random.random() < self._early_share

    def leave(self, linger_s):
        """Announce the end, refuse new requests, and end after some time."""
        self.is_leaving = True
        self._store.put(f"servers/{self.name}", self.make_entry("draining"))
        time.sleep(linger_s)
        self.kill(expiry_s=0.0)

    def kill(self, expiry_s=EXPIRY_S):
        """End all connections at once."""
        with self._lock:
            if not self.is_up:
                return
            self.is_up = False
            self.broken |= self._under_way
            self._lock.notify_all()
        for opened in (self._server.socket, *list(self._connections)):
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self._server.shutdown, daemon=True).start()
        self._server.socket.close()
        timer = threading.Timer(
            expiry_s, self._store.put, (f"servers/{self.name}", None)
        )
        timer.daemon = True
        timer.start()

    def serve(self, handler):
        """Answer one request."""
        attempt = handler.headers.get("X-Attempt-Id", "")
        if handler.headers.get("X-Expect-Instance", self.name) != self.name:
            echo = [("X-Attempt-Id", attempt)]
            handler.send_with_length(421, echo, b"")
            return
        deadline = time.monotonic() + int(handler.headers["X-Deadline-Ms"]) / 1000
        self.arrived.add(attempt)
        self._under_way.add(attempt)
        try:
            if not self._take_slot(handler):
                self._refuse(handler, attempt)
                return
            try:
                self._work(handler, attempt, deadline)
            finally:
                with self._lock:
                    self._running -= 1
                    self._lock.notify()
        finally:
            self._under_way.discard(attempt)

    def _take_slot(self, handler):
        """Wait for a slot; return whether the request has one or is gone."""
        with self._lock:
            is_full = self._running >= self.slots and self._waiting >= self.queue
            if is_full or self.is_leaving:
                return False
            self._waiting += 1
            try:
                while self._running >= self.slots and self.is_up:
                    self._lock.wait(0.1)
                    if self.hearing is not Hearing.NEVER and has_ended(handler):
                        raise ConnectionAbortedError
                if not self.is_up:
                    raise ConnectionAbortedError
            finally:
                self._waiting -= 1
            self._running += 1
        return True

    def _refuse(self, handler, attempt):
        self.refused.add(attempt)
        headers = [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")]
        handler.send_with_length(503, [*headers, *self._tell()], b"")

    def _tell(self):
        load = f"{self._running},{self._waiting},{self.slots}"
        yield "X-Server-Load", load
        if self.is_leaving:
            yield "Server-Leaving", "1"

    def _work(self, handler, attempt, deadline):
        after = int(handler.headers.get("Last-Event-Id", 0))
        run = Run(attempt, self.name, self.hearing, time.monotonic(), after > 0)
        self.runs.append(run)
        try:
            if self.service == "engines":
                self._stream(handler, attempt, after, deadline)
            else:
                self._wait(handler, self._random.uniform(0.02, 0.1), deadline)
                handler.send_sealed(body=make_body(attempt), headers=self._tell())
        finally:
            run.ended_at = time.monotonic()

    def _stream(self, handler, attempt, after, deadline):
        self._wait(handler, self._random.uniform(0.03, 0.15), deadline)
        handler.send_response(200)
        for name, value in [*handler.make_seal(), *self._tell()]:
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        self._write(handler, handler.end_headers)
        for number in range(after + 1, count_events(handler.path, attempt) + 1):
            event = make_event(attempt, number)
            if self._draw_early_end():
                self.broken.add(attempt)
                size = self._early_random.randrange(1, len(event))
                self._write(handler, handler.send_part, event[:size])
                break
            self._write(handler, handler.send_part, event)
            self._wait(handler, self.gap_s, deadline)
        self._write(handler, handler.end_stream)

    def _write(self, handler, write, *arguments):
        try:
            write(*arguments)
        except OSError:
            if self.hearing is not Hearing.NEVER:
                raise

    def _wait(self, handler, seconds, deadline):
        """Wait for the next step of an answer, and for the end of a silence."""
        until = time.monotonic() + seconds
        while (now := time.monotonic()) < max(until, self._silent_until):
            if not self.is_up or now > deadline:
                handler.close_connection = True
                raise ConnectionAbortedError
            if self.hearing is Hearing.AT_ONCE and has_ended(handler):
                raise ConnectionAbortedError
            time.sleep(min(POLL_S, max(until, self._silent_until) - now))
        if self.hearing is not Hearing.NEVER and has_ended(handler):
            raise ConnectionAbortedError

    def _make_handler(self):
        upstream = self

        class Handler(QuietHandler):
            upstream_name = upstream.name
            cancelled = threading.Event()

            def setup(self):
                super().setup()
                upstream._connections.add(self.connection)

            def finish(self):
                upstream._connections.discard(self.connection)
                with contextlib.suppress(OSError):
                    super().finish()

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                try:
                    upstream.serve(self)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST

        return Handler


def has_ended(handler):
    """Return whether the other end has closed the connection of a request."""
    poll = select.poll()
    poll.register(handler.connection, select.POLLIN)
    if not poll.poll(0):
        return False
    try:
        return not handler.connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def count_events(path, attempt):
    """Return the number of events of the answer to an attempt."""
    most = next(n for prefix, n in EVENTS_MAX.items() if path.startswith(prefix))
    return EVENTS_MIN + zlib.crc32(attempt.encode()) % (most - EVENTS_MIN + 1)


def make_event(attempt, number):
    """Return one event of the answer to an attempt."""
    return b"id: %d\ndata: %s part %d\n\n" % (number, attempt.encode(), number)


def make_body(attempt):
    """Return the whole answer to an attempt that is no stream."""
    return b"answer to " + attempt.encode()


__all__ = [
    "Hearing",
    "PausingUpstream",
    "Run",
    "count_events",
    "make_body",
    "make_event",
]
