"""Network of one instance with injected faults: cuts, packet loss and delay."""

import heapq
import itertools
import random
import select
import socket
import threading
import time

POLL_INTERVAL_S = 0.02
CONNECT_TIMEOUT_S = 30.0


def split_target(address):
    """Return (host, port) of ``ip:port`` or of a socket address."""
    if isinstance(address, str):
        host, _, port = address.rpartition(":")
        return host, int(port)
    return address[0], address[1]


def is_address(value):
    if isinstance(value, tuple):
        return len(value) >= 2 and isinstance(value[1], int)
    return isinstance(value, str) and value.rpartition(":")[2].isdigit()


class LinkFaults:
    """Faults of the links between one instance and its peers and upstreams.

    Parameters
    ----------
    own_host : str
        IP address of the instance.
    seed : int, optional
        Seed of the random packet loss.

    Attributes
    ----------
    loss : float
        Fraction of the sent datagrams that is dropped.
    zone_delay_s : float
        One-way delay to other availability zones, in seconds.

    Notes
    -----
    A target is ``ip:port``, an IP address, or a prefix of IP addresses that
    ends in a dot. Addresses that differ in the third octet are in different
    availability zones.
    """

    def __init__(self, own_host, seed=None):
        self.own_host = own_host
        self.loss = 0.0
        self.zone_delay_s = 0.0
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._cuts = set()
        self._silenced_at = {}

    def cut(self, target):
        with self._lock:
            self._cuts = self._cuts | {target}

    def heal(self, target=None):
        """Remove one cut; without a target, remove all cuts and the datagram loss."""
        with self._lock:
            self._cuts = self._cuts - {target} if target else set()
            self.loss = self.loss if target else 0.0

    def silence(self, target):
        """Drop all data on open connections with a target; new connections work."""
        with self._lock:
            self._silenced_at = {**self._silenced_at, target: time.monotonic()}

    def is_cut(self, host, port):
        return any(self._matches(target, host, port) for target in self._cuts)

    def is_silenced(self, host, port, opened_at):
        return any(
            opened_at < since and self._matches(target, host, port)
            for target, since in self._silenced_at.items()
        )

    def is_lost(self, host, port):
        if self.is_cut(host, port):
            return True
        with self._lock:
            return self._random.random() < self.loss

    def get_delay_s(self, host):
        same = host.split(".")[2:3] == self.own_host.split(".")[2:3]
        return 0.0 if same else self.zone_delay_s

    @staticmethod
    def _matches(target, host, port):
        if target.endswith("."):
            return host.startswith(target)
        return target in (host, f"{host}:{port}")


class FaultySocket(socket.socket):
    """Connection that transfers no data, without an error, while its link is cut.

    A connection that lost bytes on a cut link stays silent after the link is
    healed, like a connection whose route has changed permanently.
    """

    def attach(self, faults, host, port):
        self._faults, self._target = faults, (host, port)
        self._opened_at, self._broken = time.monotonic(), False
        self._read_shut_down = False
        return self

    def shutdown(self, how):
        """Shut down; a reader on a silent link also sees the end of the stream."""
        self._read_shut_down = self._read_shut_down or how != socket.SHUT_WR
        super().shutdown(how)

    def _is_silent(self):
        self._broken = self._broken or self._faults.is_silenced(
            *self._target, self._opened_at
        )
        return self._broken or self._faults.is_cut(*self._target)

    def _wait_readable(self):
        timeout_s = self.gettimeout()
        deadline = None if timeout_s is None else time.monotonic() + timeout_s
        poll = select.poll()
        while True:
            if self.fileno() < 0:
                raise OSError("connection is closed")
            if self._read_shut_down:
                return
            interval_s = (
                POLL_INTERVAL_S
                if deadline is None
                else min(POLL_INTERVAL_S, deadline - time.monotonic())
            )
            if deadline is not None and interval_s <= 0 and timeout_s > 0:
                raise TimeoutError("timed out")
            if self._is_silent():
                time.sleep(max(interval_s, 0))
            else:
                poll.register(self.fileno(), select.POLLIN)
                if poll.poll(max(interval_s, 0) * 1000) and not self._is_silent():
                    return
            if timeout_s == 0:
                raise BlockingIOError("no data")

    def recv(self, *arguments):
        self._wait_readable()
        return super().recv(*arguments)

    def recv_into(self, *arguments):
        self._wait_readable()
        return super().recv_into(*arguments)

    def _apply_send_faults(self):
        """Delay sending to other zones; return whether the data is lost."""
        if self._is_silent():
            self._broken = True
            return True
        time.sleep(self._faults.get_delay_s(self._target[0]))
        return False

    def send(self, data, *arguments):
        return (
            len(data) if self._apply_send_faults() else super().send(data, *arguments)
        )

    def sendall(self, data, *arguments):
        return None if self._apply_send_faults() else super().sendall(data, *arguments)


def wrap_connection(connection, faults, host, port):
    """Return a socket that applies the link faults and replaces ``connection``."""
    timeout_s = connection.gettimeout()
    wrapped = FaultySocket(
        connection.family, connection.type, connection.proto, connection.detach()
    )
    wrapped.settimeout(timeout_s)
    return wrapped.attach(faults, host, port)


class FaultyListener(socket.socket):
    """Listening socket that applies the link faults to accepted connections."""

    def attach(self, faults):
        self._faults = faults
        return self

    def accept(self):
        while True:
            connection, address = super().accept()
            if not self._faults.is_cut(*address[:2]):
                break
            connection.close()
        connection.settimeout(None)
        return wrap_connection(connection, self._faults, *address[:2]), address


class DelayQueue:
    """Runs callables after a delay, on one thread."""

    def __init__(self):
        self._condition = threading.Condition()
        self._queue = []
        self._order = itertools.count()
        threading.Thread(target=self._run, daemon=True).start()

    def put(self, delay_s, call):
        with self._condition:
            due = time.monotonic() + delay_s
            heapq.heappush(self._queue, (due, next(self._order), call))
            self._condition.notify()

    def _run(self):
        while True:
            with self._condition:
                while not self._queue or self._queue[0][0] > time.monotonic():
                    due = self._queue[0][0] if self._queue else None
                    self._condition.wait(due and max(0.0, due - time.monotonic()))
                _, _, call = heapq.heappop(self._queue)
            try:
                call()
            except (OSError, ValueError):
                pass


class FaultyDatagrams:
    """Datagram socket that drops and delays datagrams according to the link faults.

    Wraps every method whose name starts with ``send`` or ``rec`` and finds the
    peer's address among the arguments or in the result.
    """

    def __init__(self, inner, faults, delay_queue):
        self._inner, self._faults, self._delay_queue = inner, faults, delay_queue

    def __getattr__(self, name):
        method = getattr(self._inner, name)
        if name.startswith("send"):
            return lambda *arguments: self._send(method, arguments)
        if name.startswith("rec"):
            return lambda *arguments: self._receive(method, arguments)
        return method

    def _send(self, method, arguments):
        address = next(a for a in arguments if is_address(a))
        data = next(a for a in arguments if isinstance(a, bytes | bytearray))
        host, port = split_target(address)
        if self._faults.is_lost(host, port):
            return len(data)
        delay_s = self._faults.get_delay_s(host)
        if delay_s:
            self._delay_queue.put(delay_s, lambda: method(*arguments))
            return len(data)
        return method(*arguments)

    def _receive(self, method, arguments):
        while True:
            result = method(*arguments)
            values = result if isinstance(result, tuple) else ()
            address = next((a for a in values if is_address(a)), None)
            if address is None or not self._faults.is_cut(*split_target(address)):
                return result


class FaultyNetwork:
    """Wrapper of a ``fescueflow.transport.Network`` that applies link faults.

    Connections are opened from the instance's own loopback address, so that
    the remote side can tell which instance they come from.
    """

    def __init__(self, inner, faults):
        self._inner, self._faults = inner, faults
        self._delay_queue = DelayQueue()
        self._create_connection = socket.create_connection

    def bind_datagram(self, address):
        inner = self._inner.bind_datagram(address)
        return FaultyDatagrams(inner, self._faults, self._delay_queue)

    def listen(self, address):
        inner = self._inner.listen(address)
        timeout_s = inner.gettimeout()
        listener = FaultyListener(inner.family, inner.type, 0, inner.detach())
        listener.settimeout(timeout_s)
        return listener.attach(self._faults)

    def connect(self, address, timeout_s):
        host, port = split_target(address)
        timeout_s = CONNECT_TIMEOUT_S if timeout_s is None else timeout_s
        if self._faults.is_cut(host, port):
            time.sleep(timeout_s)
            raise TimeoutError(f"connect to {address} timed out")
        time.sleep(2 * self._faults.get_delay_s(host))
        source = (self._faults.own_host, 0)
        connection = self._create_connection((host, port), timeout_s, source)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return wrap_connection(connection, self._faults, host, port)

    def patch_create_connection(self):
        """Patch ``socket.create_connection`` to apply the link faults.

        The platform clients use ``http.client``, which opens its connections
        with this function.
        """

        def connect(address, timeout=None, source_address=None, **options):
            wait_s = timeout if isinstance(timeout, int | float) else None
            return self.connect(f"{address[0]}:{address[1]}", wait_s)

        socket.create_connection = connect
