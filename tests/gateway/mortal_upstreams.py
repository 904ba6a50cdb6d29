"""Upstreams that end under certain requests and come back, and a fleet before them."""

import contextlib
import http.client
import random
import socket
import threading
import time

from fescueflow.core import SeededRandomSource, SystemClock
from fescueflow.gateway import Gateway
from tests.gateway.builders import make_boot
from tests.gateway.fake_servers import QuietHandler, QuietServer, make_event
from tests.standins.fleet import find_free_port

# Time from the end of an upstream until the store drops its entry: three heartbeats.
EXPIRY_S = 1.0
CALL_TIMEOUT_S = 10.0
# Events of an answer.
EVENTS = 3


class MortalUpstream:
    """Engine that ends when it begins to answer a request with a fatal part.

    Parameters
    ----------
    name : str
        Each start has a name of its own, which begins with this one.
    store : FakeStore
    fatal_parts : set of str
        May be changed while the upstream runs.
    down_s : float
        Time from an end until the next start.
    first_event_s : float
        Time until the first event of an answer.

    Attributes
    ----------
    first_write : int
        Events in the first write of an answer with a fatal part; with all of them,
        the answer is complete.
    survives_s : float
        Time from that write until the end.
    cut_share : float
        Share of the sound answers that are cut at any byte of their head.
    """

    def __init__(self, name, store, fatal_parts, down_s=1.5, first_event_s=0.02):
        self.name = name
        self.fatal_parts = fatal_parts
        self.first_event_s = first_event_s
        self.first_write, self.survives_s = 0, 0.0
        self.cut_share, self._random = 0.0, random.Random(name)
        # Time, prompt parts and id of each request, over all starts.
        self.arrivals = []
        self.ended_at = []
        self._store = store
        self._down_s = down_s
        self._starts = 0
        self._timers = []
        self._lock = threading.Lock()
        self._is_closed = False
        self._start()

    def close(self):
        """Stop for good."""
        with self._lock:
            self._is_closed = True
        for timer in self._timers:
            timer.cancel()
        self._stop_serving()

    def end(self):
        """End like a crashed process: all connections break, new ones are refused."""
        with self._lock:
            if self._is_closed or not self._is_up:
                return
            self._is_up = False
        self.ended_at.append(time.monotonic())
        self._stop_serving()
        started_name = self.started_name
        self._run_later(EXPIRY_S, self._store.put, f"servers/{started_name}", None)
        self._run_later(self._down_s, self._start)

    def _run_later(self, delay_s, work, *arguments):
        timer = threading.Timer(delay_s, work, arguments)
        timer.daemon = True
        self._timers.append(timer)
        timer.start()

    def _start(self):
        with self._lock:
            if self._is_closed:
                return
            self._is_up = True
            self._starts += 1
        self.started_name = f"{self.name}-{self._starts}"
        self._connections = set()
        self._server = QuietServer(("127.0.0.1", 0), self._make_handler())
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()
        entry = {
            "service": "engines",
            "address": f"127.0.0.1:{self._server.server_address[1]}",
            "zone": "a",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        self._store.put(f"servers/{self.started_name}", entry)

    def _stop_serving(self):
        # A listening socket that is shut down refuses connections at once.
        with contextlib.suppress(OSError):
            self._server.socket.shutdown(socket.SHUT_RDWR)
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self._server.shutdown, daemon=True).start()
        self._server.socket.close()

    def _make_handler(self):
        upstream = self
        name, connections = self.started_name, self._connections

        class Handler(QuietHandler):
            upstream_name = name

            def setup(self):
                super().setup()
                connections.add(self.connection)

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.headers["X-Expect-Instance"] != name:
                    self.send_with_length(421, self.make_seal(), b"")
                    return
                parts = read_parts(self.headers.get("X-Prefix-Hash", ""))
                # A request without parts may be fatal as a whole.
                parts.append(self.path)
                attempt_id = self.headers.get("X-Attempt-Id", "")
                upstream.arrivals.append((time.monotonic(), parts, attempt_id))
                upstream.answer(self, parts)

        return Handler

    def answer(self, handler, parts):
        """Send a stream of three events, or end."""
        is_fatal = bool(self.fatal_parts & set(parts))
        if not is_fatal and self._random.random() < self.cut_share:
            self._cut_head(handler)
            return
        if is_fatal and self.first_write == EVENTS and not is_stream(handler.path):
            time.sleep(self.first_event_s)
            events = [make_event(number) for number in range(1, EVENTS + 1)]
            handler.send_sealed(body=b"".join(events))
            self._end_under()
            return
        handler.start_stream()
        time.sleep(self.first_event_s)
        numbers = range(int(handler.headers.get("Last-Event-Id", 0)) + 1, EVENTS + 1)
        if is_fatal:
            written = numbers[: self.first_write]
            events = [make_event(number) for number in written]
            chunks = [b"%x\r\n%s\r\n" % (len(event), event) for event in events]
            last = b"0\r\n\r\n" if written and written[-1] == EVENTS else b""
            handler.wfile.write(b"".join([*chunks, last]))
            handler.close_connection = not last
            self._end_under()
            return
        for number in numbers:
            handler.send_event(number)
            time.sleep(0.01)
        with contextlib.suppress(OSError):
            handler.end_stream()

    def _cut_head(self, handler):
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in handler.make_seal())]
        head = "\r\n".join([*lines, "Content-Length: 10", "", ""]).encode()
        handler.wfile.write(head[: self._random.randrange(len(head))])
        handler.close_connection = True

    def _end_under(self):
        """End under the answer that has just been written."""
        if self.survives_s:
            time.sleep(self.survives_s)
        self.end()


def is_stream(path):
    """Return whether answers on a route are streams."""
    return path.startswith(("/stream/", "/single/"))


def read_parts(header):
    """Return the ids of the prompt parts in a request header, without the last."""
    return [entry.partition(":")[0] for entry in header.split(",")[:-1]]


class LiveFleet:
    """Instances of one process, which report to each other on loopback."""

    def __init__(self, store, count):
        names = ("peer_port", "callers", "ready", "directory")
        ports = {name: find_free_port("127.0.0.1") for name in names}
        self.ports = ports
        self.hosts = [f"127.0.0.{number + 2}" for number in range(count)]
        self._store = store
        self.gateways = [
            self._start_gateway(store, number, host)
            for number, host in enumerate(self.hosts)
        ]

    def _start_gateway(self, store, number, host):
        boot = make_boot(
            name=f"edge-{number}",
            ip=host,
            seeds=f'["{self.hosts[0]}:1", "{self.hosts[-1]}:1"]',
            store=store.port,
            grace_s=0.2,
            **self.ports,
        )
        gateway = Gateway(boot, SystemClock(), SeededRandomSource(number))
        gateway.start()
        return gateway

    def restart(self, number):
        """Stop an instance as planned and start it again."""
        self.gateways[number].leave()
        deadline = time.monotonic() + CALL_TIMEOUT_S
        while True:
            try:
                host = self.hosts[number]
                self.gateways[number] = self._start_gateway(self._store, number, host)
                return
            except OSError:
                # The old instance closes its sockets shortly after its end.
                if time.monotonic() >= deadline:
                    raise
                time.sleep(0.05)

    def close(self):
        """Stop all instances."""
        threads = [threading.Thread(target=g.leave) for g in self.gateways]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def connect(self, number):
        """Return a connection to an instance."""
        host = self.hosts[number % len(self.hosts)]
        port = self.ports["callers"]
        return http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)

    def send(self, connection, target, parts, attempt_id):
        """Send a request and return the status and body of its answer.

        Raises
        ------
        OSError or http.client.HTTPException
            If the answer is cut.
        """
        prefix = ",".join(f"{part}:300" for part in [*parts, attempt_id])
        headers = {
            "Host": "fleet.example",
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": "5000",
            "Authorization": "Token k1",
            "X-Prefix-Hash": prefix,
            "X-Token-Count": "900,40",
        }
        connection.request("POST", target, body=b"question", headers=headers)
        response = connection.getresponse()
        return response.status, response.read()

    def call(self, number, target, parts, attempt_id):
        """Return status and body of a request; status 0 for a cut answer."""
        connection = self.connect(number)
        try:
            return self.send(connection, target, parts, attempt_id)
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()


__all__ = ["EVENTS", "LiveFleet", "MortalUpstream", "read_parts"]
