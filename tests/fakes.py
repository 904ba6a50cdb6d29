"""Test doubles of clocks, executors, the network and the membership."""

import random
import threading
import time
from collections import deque

from fescueflow.core import Clock, PeerError
from fescueflow.schema import (
    Datagram,
    Frame,
    MemberState,
    decode_message,
    encode_message,
)
from fescueflow.transport import CONTENT_BYTES_MAX, Sender, SystemNetwork
from fescueflow.transport.framing import FRAME_BYTES_MAX
from tests.standins.faulty_network import FaultyNetwork, LinkFaults
from tests.standins.fleet import find_free_port

POLL_S = 0.005
# 18 bytes for version, key id and MAC of a datagram, 28 for IP and UDP headers.
DATAGRAM_HEADER_BYTES = 18 + 28


class FakeClock(Clock):
    """Clock that advances only when a test calls ``advance``."""

    def __init__(self, start=1000.0):
        self._now = start
        self._changed = threading.Condition()

    def monotonic(self):
        return self._now

    def wall_time(self):
        return 1.7e9 + self._now

    def wait(self, event, seconds):
        """Wait until the event is set or the clock was advanced far enough."""
        ends_at = self._now + seconds
        with self._changed:
            while not event.is_set() and self._now < ends_at:
                # Setting the event doesn't notify the condition, so poll the event.
                self._changed.wait(POLL_S)
        return event.is_set()

    def advance(self, seconds):
        """Move the clock forward and wake the waiting threads."""
        with self._changed:
            self._now += seconds
            self._changed.notify_all()


class DeferredExecutor:
    """Executor that runs nothing; the test calls the functions itself."""

    def submit(self, function, *arguments):
        pass

    def shutdown(self, wait=True, cancel_futures=False):
        pass


class InlineExecutor(DeferredExecutor):
    """Executor that runs each function synchronously, on the submitting thread."""

    def submit(self, function, *arguments):
        function(*arguments)


class ManualClock(Clock):
    """Clock whose ``wait`` returns at once and moves the time forward.

    Parameters
    ----------
    wall_s : float, optional
        Fixed time of day; without it, ``wall_time`` returns the monotonic time.
    """

    def __init__(self, wall_s=None):
        self.now = 1000.0
        self._wall_s = wall_s

    def monotonic(self):
        return self.now

    def wall_time(self):
        return self.now if self._wall_s is None else self._wall_s

    def wait(self, event, seconds):
        if not event.is_set():
            # Without a minimum, a loop that waits for 0 s would never end.
            self.now += max(seconds, 0.001)
        return event.is_set()


class Holder:
    """Fake of the configuration store or the instance list service.

    A test sets ``value`` and runs the subscribed ``callbacks`` itself.
    """

    def __init__(self, value):
        self.value = value
        self.callbacks = []

    def get(self):
        return self.value

    get_snapshot = get

    def subscribe(self, callback):
        self.callbacks.append(callback)


class FakeMembership:
    """Membership that shows changes of the fleet's members immediately."""

    def __init__(self, fleet, own):
        self.fleet, self.own = fleet, own
        self.callbacks = []

    def get_own_member(self):
        return self.fleet.members.get(self.own.instance, self.own)

    def get_members(self):
        return list(self.fleet.members.values())

    def get_member(self, instance):
        return next((m for m in self.get_members() if m.instance == instance), None)

    def get_live(self):
        return [m for m in self.get_members() if m.state is MemberState.LIVE]

    def subscribe(self, callback):
        self.callbacks.append(callback)


def make_faulty_network():
    """Return (network, faults) of an instance at 127.0.0.1."""
    faults = LinkFaults("127.0.0.1", seed=0)
    return FaultyNetwork(SystemNetwork(), faults), faults


def find_free_address():
    """Return a loopback ``host:port`` whose port is free for TCP and UDP."""
    return f"127.0.0.1:{find_free_port('127.0.0.1')}"


def wait_until(condition, timeout_s=20.0):
    """Wait for a condition; return whether it became true within the timeout."""
    ends_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_at:
            return False
        time.sleep(POLL_S)
    return True


class MemoryEndpoint:
    """In-memory datagram endpoint, frame server and frame client of one instance."""

    def __init__(self, hub, address, instance, incarnation):
        self.hub, self.address = hub, address
        self.instance, self.incarnation = instance, incarnation
        self.sender = Sender(instance, incarnation, address)
        self.handlers = {}

    def register(self, content_type, handler):
        self.handlers[content_type] = handler

    def send(self, address, content):
        self.hub.post(self, address, content)

    def send_all(self, addresses, content):
        for address in addresses:
            self.send(address, content)

    def exchange(self, address, content, timeout_s, reuse=True):
        return self.hub.exchange(self, address, content, reuse)

    def start(self):
        self.hub.endpoints[self.address] = self

    def stop(self):
        self.hub.endpoints.pop(self.address, None)

    def receive(self, sender, content):
        handler = self.handlers.get(type(content))
        if handler is not None:
            handler(sender, content)


class MemoryHub:
    """In-memory network for datagrams and exchanges between endpoints.

    Each message is encoded and decoded. Datagrams are queued until ``deliver`` is
    called, unless the hub is ``immediate``; ``sizes`` has the number and the bytes
    of the datagrams of each sender. ``faults`` lists the faults of the next
    exchanges, one each: ``refused``, ``lost`` (not delivered) or ``unanswered``
    (delivered, but the answer is lost).
    """

    def __init__(self, seed=1, loss=0.0, immediate=False):
        self.endpoints = {}
        self.cut_pairs = set()
        self.paused = set()
        self.loss, self.immediate = loss, immediate
        self.sizes, self.sent = {}, []
        self.faults, self.frames = [], []
        self._random = random.Random(seed)
        self._queue = deque()

    def make_endpoint(self, address, instance, incarnation):
        endpoint = MemoryEndpoint(self, address, instance, incarnation)
        endpoint.start()
        return endpoint

    def cut(self, first, second):
        self.cut_pairs |= {(first, second), (second, first)}

    def heal(self):
        self.cut_pairs.clear()

    def post(self, endpoint, address, content):
        message = Datagram(endpoint.instance, endpoint.incarnation, content)
        data = encode_message(message)
        assert len(data) <= CONTENT_BYTES_MAX, f"{len(data)} bytes do not fit"
        self.sent.append((endpoint.address, address, content))
        sizes = self.sizes.setdefault(endpoint.address, [0, 0])
        sizes[0] += 1
        sizes[1] += len(data) + DATAGRAM_HEADER_BYTES
        is_cut = (endpoint.address, address) in self.cut_pairs
        if is_cut or self._random.random() < self.loss:
            return
        if self.immediate:
            self._deliver_one(endpoint.address, address, data)
        else:
            self._queue.append((endpoint.address, address, data))

    def deliver(self):
        """Deliver the queued datagrams and those sent in response to them.

        Datagrams to a paused address stay in the queue.
        """
        held = []
        while self._queue:
            item = self._queue.popleft()
            if item[1] in self.paused:
                held.append(item)
            else:
                self._deliver_one(*item)
        self._queue.extend(held)

    def _deliver_one(self, source, address, data):
        endpoint = self.endpoints.get(address)
        if endpoint is not None:
            message = decode_message(data, Datagram)
            sender = Sender(message.sender, message.incarnation, source)
            endpoint.receive(sender, message.content)

    def exchange(self, endpoint, address, content, reuse):
        fault = self.faults.pop(0) if self.faults else None
        self.frames.append((address, content, reuse))
        target = self.endpoints.get(address)
        is_cut = (endpoint.address, address) in self.cut_pairs
        if fault in {"refused", "lost"} or target is None or is_cut:
            raise PeerError(f"{fault}", sent=fault == "lost")
        try:
            handler = target.handlers[type(content)]
            answer = transmit(handler(endpoint.sender, transmit(content)))
        except Exception as error:
            raise PeerError(f"failure: {error}", sent=True) from error
        if fault == "unanswered":
            raise PeerError("the answer was lost", sent=True)
        return answer


def transmit(content):
    """Encode content as a frame and return the decoded copy.

    Raises
    ------
    ValueError
        If the frame is larger than the transport allows.
    """
    data = encode_message(Frame("x", 1, content))
    if len(data) > FRAME_BYTES_MAX:
        raise ValueError("the frame is too large")
    return decode_message(data, Frame).content
