"""Fake upstream, admission, placement and instance for delivery tests."""

import json
import socket
import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from returns.result import Failure, Success

from fescueflow.admission import Slot, SlotRefused
from fescueflow.configuration import (
    Affinity,
    Configuration,
    Customer,
    Group,
    ModelRoute,
    Operation,
    ServiceRoute,
)
from fescueflow.core import Priority, SystemClock, UpstreamKind
from fescueflow.delivery import CallerRequest, Dispatcher, make_executor
from fescueflow.platform import ListSnapshot
from fescueflow.schema import SlotRefusalReason
from fescueflow.transport import SystemNetwork
from tests.builders import build_member, build_upstream
from tests.fakes import Holder
from tests.requests.fakes import FakeFleet, FakeInstance


class ReceivedRequest:
    """Request that a fake upstream received."""

    def __init__(self, stream):
        line = stream.readline().decode().split()
        self.method, self.target = line[0], line[1]
        self.headers = {}
        while (text := stream.readline().strip().decode("latin-1")) != "":
            name, _, value = text.partition(": ")
            self.headers[name.lower()] = value
        self.body = stream.read(int(self.headers.get("content-length", "0")))
        self.key = self.headers.get("x-request-id", "")

    @property
    def document(self):
        return json.loads(self.body)


class FakeUpstream:
    """HTTP server that answers each connection with the next of ``steps``.

    A step is a function of the socket and the request that writes the response;
    the connection is closed afterwards. When ``steps`` is empty, the server
    echoes the body of the request.
    """

    def __init__(self, name):
        self.id = name
        self.steps = []
        self.received = []
        self.closed_by_peer = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._pool = ThreadPoolExecutor(16)
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.listed = build_upstream(name, "z1", self.address)

    def stop(self):
        if self._listener.fileno() < 0:
            return
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(10)
        self._pool.shutdown()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.settimeout(30)
            step = self.steps.pop(0) if self.steps else self.respond_by_default
            self._pool.submit(self._serve, connection, step)

    def _serve(self, connection, step):
        with connection, connection.makefile("rb") as stream:
            try:
                request = ReceivedRequest(stream)
                self.received.append(request)
                step(connection, request)
            except OSError:
                return

    def respond_by_default(self, connection, request):
        send_echo(connection, request)

    def wait_for_close(self, connection, request):
        """Step that sends nothing and waits until the client closes."""
        connection.recv(1)
        self.closed_by_peer.set()


def send_head(connection, key, *headers, status="200 OK"):
    lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {key}", *headers, "", ""]
    connection.sendall("\r\n".join(lines).encode())


def send_response(connection, key, body, status="200 OK", *headers):
    length = f"Content-Length: {len(body)}"
    send_head(connection, key, length, *headers, status=status)
    connection.sendall(body)


def send_echo(connection, request):
    send_response(connection, request.key, b"echo:" + request.body)


def send_mismatched_response(connection, request):
    send_response(connection, "other/1", b"the answer to another request")


def send_refusal(connection, request):
    send_response(connection, request.key, b"", "503 Busy")


def send_truncated_response(connection, request):
    send_head(connection, request.key, "Content-Length: 100")
    connection.sendall(b"short")


def send_undelimited(connection, request):
    send_head(connection, request.key, "Connection: close")
    connection.sendall(b"all or not?")


def send_incomplete_chunks(connection, request):
    send_head(connection, request.key, "Transfer-Encoding: chunked")
    connection.sendall(b"5\r\nhello\r\n")


def close_connection(connection, request):
    connection.shutdown(socket.SHUT_RDWR)


def format_chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def format_token(index):
    choice = {"delta": {"content": f"t{index} "}}
    return f"data: {json.dumps({'index': index, 'choices': [choice]})}\n\n".encode()


def make_stream_step(indexes, done=True, after=None):
    """Return a step that streams tokens, and ``[DONE]`` if ``done`` is set.

    ``after`` is called before the connection is closed.
    """

    def step(connection, request):
        head = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        send_head(connection, request.key, *head)
        for index in indexes:
            connection.sendall(format_chunk(format_token(index)))
        if done:
            connection.sendall(format_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")
        if after is not None:
            after(connection, request)

    return step


class FakeAdmission:
    """Grants slots and records demands and releases.

    ``plan`` holds the results of the next requests: a refusal reason, or ``None``
    for a grant. When it is empty, all requests are granted.
    """

    def __init__(self, clock):
        self.clock = clock
        self.granted = Counter()
        self.released = []
        self.demands = []
        self.recall_callbacks = {}
        self.plan = []
        self.start_within_s = 60.0

    def acquire(self, demand):
        self.demands.append(demand)
        step = self.plan.pop(0) if self.plan else None
        if step is not None:
            return Failure(SlotRefused(step, 123))
        number = sum(self.granted.values()) + 1
        self.granted[demand.upstream.id] += 1
        start_by = self.clock.monotonic() + self.start_within_s
        return Success(Slot(number, demand.upstream, build_member("a"), start_by))

    def release(self, slot, outcome, first_byte_s=None):
        self.released.append((slot.id, slot.upstream.id, outcome))

    def set_recall_callback(self, slot, callback):
        self.recall_callbacks[slot.id] = callback

    def get_status(self):
        return []


class FakePlacement:
    def __init__(self, upstreams):
        self.upstreams = upstreams

    def rank(self, customer, group, affinity_key, token):
        return [u.listed for u in self.upstreams if u.listed.group == group]

    def make_token(self, upstream_id, affinity_key):
        return f"token-{upstream_id}"

    def choose_affinity_key(self, customer, affinity, chat, body):
        return affinity or chat or "none"


def make_configuration(**changes):
    customer = Customer(
        id="c",
        share=1,
        affinity=Affinity.CHAT,
        zones=frozenset(),
        models={
            "m": ModelRoute("g", "real", "v1", True, Priority.INTERACTIVE),
            "once": ModelRoute("g", "real", "v1", False, Priority.INTERACTIVE),
        },
        services={
            "s": ServiceRoute(
                "g", (Operation("GET", "/look/*", True, Priority.LOOKUP),)
            )
        },
    )
    values = {
        "revision": 7,
        "digest": b"d",
        "withdrawn": frozenset(),
        "leaving": frozenset(),
        "groups": {"g": Group("g", UpstreamKind.ENGINE, 4, 1, 1.25, 4000)},
        "customers": {"c": customer},
    }
    return Configuration(**{**values, **changes})


class FakeDispatchInstance(FakeInstance):
    """Dispatcher of one instance whose other services are fakes."""

    def __init__(self, upstreams, clock=None, **settings):
        self.upstreams = upstreams
        super().__init__(FakeFleet(), "a", 1, None, clock or SystemClock(), **settings)
        self.list_service = Holder(ListSnapshot((), (), 0.0))
        self.make_dispatcher()

    def make_dispatcher(self, loop=None):
        self.dispatcher = Dispatcher(
            **self.shared,
            list_service=self.list_service,
            requests=self.requests,
            audit=self.audit,
            loop=loop,
        )

    def make_executor(self):
        self.admission = FakeAdmission(self.clock)
        self.placement = FakePlacement(self.upstreams)
        self.store = Holder(make_configuration())
        self.shared = {
            "settings": self.settings,
            "store": self.store,
            "placement": self.placement,
            "admission": self.admission,
            "network": SystemNetwork(),
            "clock": self.clock,
            "metrics": self.metrics,
            "invariants": self.invariants,
        }
        return make_executor(**self.shared)

    def get_audit(self):
        return [
            (r.fields["request_class"], r.fields["outcome"], r.fields["upstream"])
            for r in self.audit.read_after(0)
            if "request_class" in r.fields
        ]


def make_chat(model="m", stream=False, **changes):
    document = {"model": model, "messages": [{"content": "hi"}], "stream": stream}
    values = {
        "customer": "c",
        "method": "POST",
        "path": "/v1/chat/completions",
        "headers": (("Fescueflow-Chat", "k"),),
        "body": json.dumps(document).encode(),
        "deadline_ms": 20000,
    }
    return CallerRequest(**{**values, **changes})


def make_service_call(method="POST", path="pay", body=b"10", **changes):
    values = {"customer": "c", "headers": (), "deadline_ms": 20000}
    path = f"/v1/services/s/{path}"
    return CallerRequest(method=method, path=path, body=body, **{**values, **changes})


NO_SHARES = SlotRefusalReason.NO_SHARES
OVER_SHARE = SlotRefusalReason.OVER_SHARE
