"""Relays instance list readings from a zone's readers to its other instances."""

import hashlib
import threading
from dataclasses import dataclass

import logbook

from fescueflow.core import Clock, InstanceId, PeerError, RandomSource
from fescueflow.membership.clock_offsets import (
    ReaderState,
    measure_clock_offset,
    to_microseconds,
)
from fescueflow.membership.lists import ListService, ReadingSchedule
from fescueflow.membership.members import Member
from fescueflow.membership.pauses import PauseDetector
from fescueflow.membership.readers import choose_readers, get_zone_peers
from fescueflow.membership.service import MembershipService
from fescueflow.metrics import Metrics
from fescueflow.platform import (
    ListSnapshot,
    MalformedResponse,
    parse_list,
    render_list,
)
from fescueflow.schema import ListFetch, ListNotice, ListReading
from fescueflow.settings import Settings
from fescueflow.transport import (
    DatagramEndpoint,
    FrameClient,
    FrameServer,
    Sender,
    Task,
)

# The list counts as unreadable when the last reading is older than 3 intervals.
# That reading may be `UNCHANGED_SPACING_INTERVALS` older than the last relayed one,
# and the fallback jitter and up to 0.3 intervals between two checks of the schedule
# add to it.
STALE_AFTER_INTERVALS = 1.5
FALLBACK_JITTER_INTERVALS = 0.5
# Unchanged readings of the two readers are accepted at most twice per interval.
UNCHANGED_SPACING_INTERVALS = 0.5
# The two readers may see a change at different times, so the list before and after
# the change is kept, and one more.
CONTENTS_MAX = 3
# In 60 s the maximum drift adds 60 ms to the age of readings.
OFFSET_MAX_AGE_S = 60.0
# After a slower exchange, readings look older by a considerable part of the time
# for which they are valid, so the next notice starts another exchange.
UNCERTAINTY_MAX_INTERVALS = 0.25
FETCH_TIMEOUT_S = 2.0
# Former readers continue for this long after new ones are chosen. The zone must
# first measure the clock offsets of the new readers, which takes seconds on busy
# machines or after a failed exchange; otherwise every instance would read the list
# itself in the meantime.
READER_OVERLAP_S = 10.0
# A failed exchange blocks the task for up to 2 s, in which notices of the other
# reader wait, so it is not retried at once.
FETCH_RETRY_INTERVALS = 5.0
READER_STATES_MAX = 64
DIGEST_BYTES = 16
WAKE_TIMEOUT_S = 1.0

log = logbook.Logger("membership")


@dataclass(frozen=True)
class ListContent:
    """Content of a list, independent of when it was read.

    Attributes
    ----------
    digest : bytes
    body : bytes
        Rendered list.
    snapshot : ListSnapshot
        First snapshot with this content, or the parsed body.
    """

    digest: bytes
    body: bytes
    snapshot: ListSnapshot

    def matches(self, snapshot: ListSnapshot) -> bool:
        """Return whether a snapshot has this content."""
        own = self.snapshot
        return (own.instances, own.upstreams) == (
            snapshot.instances,
            snapshot.upstreams,
        )

    def make_snapshot(self, read_at: float) -> ListSnapshot:
        """Return a snapshot with this content that was read at the given time."""
        return ListSnapshot(self.snapshot.instances, self.snapshot.upstreams, read_at)


class ListRelay(ReadingSchedule):
    """Relays the list readings of a zone's readers to the zone's other instances.

    In a zone with more live members than the threshold, only its readers and the
    instances that get no notices from them read the list.

    Parameters
    ----------
    settings : Settings
    list_service : ListService
        Uses this object as its schedule and gets the relayed readings.
    membership : MembershipService
    endpoint : DatagramEndpoint
    frame_client : FrameClient
    frame_server : FrameServer
    pause_detector : PauseDetector
    clock : Clock
    random_source : RandomSource
    metrics : Metrics

    Notes
    -----
    A notice contains the time of the reading on its sender's clock, not its age.
    A notice that is delayed in the network or in a frozen process on either side
    therefore does not look newer than it is. ``ClockOffset`` converts the time.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        list_service: ListService,
        membership: MembershipService,
        endpoint: DatagramEndpoint,
        frame_client: FrameClient,
        frame_server: FrameServer,
        pause_detector: PauseDetector,
        clock: Clock,
        random_source: RandomSource,
        metrics: Metrics,
    ) -> None:
        self._threshold = settings.list_relay_threshold
        self._reader_count = settings.configuration_readers
        self._interval_s = settings.list_interval_ms / 1000
        self._list_service = list_service
        self._membership = membership
        self._endpoint = endpoint
        self._frame_client = frame_client
        self._pause_detector = pause_detector
        self._clock = clock
        self._random_source = random_source
        self._metrics = metrics
        self._lock = threading.Lock()
        self._pending: dict[InstanceId, tuple[Sender, ListNotice]] = {}
        self._contents: dict[bytes, ListContent] = {}
        self._own_reading: tuple[float, ListContent] | None = None
        self._last_relayed_at = float("-inf")
        self._fallback_at: float | None = None
        # Used only by the task that calls `step`.
        self._reader_states: dict[InstanceId, ReaderState] = {}
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._task = Task("list-relay", self._run)
        list_service.set_schedule(self)
        endpoint.register(ListNotice, self._handle_notice)
        frame_server.register(ListFetch, self._handle_fetch)

    def start(self) -> None:
        """Start processing notices."""
        self._task.start()

    def stop(self) -> None:
        """Stop processing notices."""
        self._stopped.set()
        self._wake.set()
        self._task.stop()

    def is_due(self) -> bool:
        """Return whether this instance should read the list now.

        Readers and instances of a small zone always read it. Other instances do
        so while they have no recent reading of a reader, after a random delay so
        that they don't all start at once.
        """
        if self._get_reader_role() is not False:
            self._fallback_at = None
            return True
        now = self._clock.monotonic()
        stale_at = self._last_relayed_at + STALE_AFTER_INTERVALS * self._interval_s
        if now < stale_at:
            self._fallback_at = None
            return False
        if self._fallback_at is None:
            delay = self._random_source.uniform(0.0, FALLBACK_JITTER_INTERVALS)
            self._fallback_at = stale_at + delay * self._interval_s
        if now < self._fallback_at:
            return False
        self._metrics.count("list_fallback_readings")
        return True

    def handle_own_reading(self, snapshot: ListSnapshot) -> None:
        """Send a notice of the reading to the zone if this instance is a reader."""
        if self._get_reader_role() is not True:
            return
        content = self._get_content(snapshot)
        with self._lock:
            self._own_reading = (snapshot.read_at, content)
        own, members = self._membership.get_own_member(), self._membership.get_members()
        addresses = [m.peer_address for m in get_zone_peers(own, members)]
        notice = ListNotice(to_microseconds(snapshot.read_at), content.digest)
        pause = self._pause_detector.check()
        if pause is not None and pause >= snapshot.read_at:
            self._metrics.count("list_notices_withheld")
            return
        self._endpoint.send_all(addresses, notice)

    def step(self) -> None:
        """Process the notices that arrived since the last step."""
        with self._lock:
            pending, self._pending = self._pending, {}
        for sender, notice in pending.values():
            self._process_notice(sender, notice)

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.is_set() and not self._stopped.is_set():
            try:
                self.step()
            except Exception as error:
                self._metrics.count("list_relay_errors")
                log.error("processing a list notice failed: {!r}", error)
            if self._clock.wait(self._wake, WAKE_TIMEOUT_S):
                self._wake.clear()

    def _get_reader_role(self) -> bool | None:
        """Return whether this instance is a reader, or ``None`` in a small zone."""
        own = self._membership.get_own_member()
        live = [m for m in self._membership.get_live() if m.zone == own.zone]
        if len(live) <= self._threshold:
            return None
        return self._is_chosen_reader(own, live)

    def _is_chosen_reader(self, own: Member, live: list[Member]) -> bool:
        now_s = self._clock.wall_time()
        chosen = [
            reader.instance
            for wall_s in (now_s, now_s - READER_OVERLAP_S)
            for reader in choose_readers(own.zone, live, wall_s, self._reader_count)
        ]
        return own.instance in chosen

    def _get_content(self, snapshot: ListSnapshot) -> ListContent:
        """Return the content of an own reading; renders it only after a change."""
        with self._lock:
            known = list(self._contents.values())
        for content in known:
            if content.matches(snapshot):
                return content
        body = render_list(snapshot)
        return self._store_content(ListContent(digest_body(body), body, snapshot))

    def _store_content(self, content: ListContent) -> ListContent:
        with self._lock:
            self._contents.pop(content.digest, None)
            self._contents[content.digest] = content
            while len(self._contents) > CONTENTS_MAX:
                del self._contents[next(iter(self._contents))]
        return content

    def _handle_fetch(self, sender: Sender, request: ListFetch) -> ListReading:
        incarnation = self._membership.get_own_member().incarnation
        with self._lock:
            own = self._own_reading
        clock = to_microseconds(self._clock.monotonic())
        if own is None:
            return ListReading(incarnation=incarnation, clock=clock)
        read_at, content = own
        body = b"" if content.digest in request.known else content.body
        return ListReading(
            incarnation, clock, to_microseconds(read_at), content.digest, body
        )

    def _handle_notice(self, sender: Sender, notice: ListNotice) -> None:
        if sender.instance == self._endpoint.instance:
            return
        with self._lock:
            self._pending[sender.instance] = (sender, notice)
        self._wake.set()

    def _process_notice(self, sender: Sender, notice: ListNotice) -> None:
        state = self._get_reader_state(sender)
        if notice.read_at <= state.read_at:
            return
        with self._lock:
            content = self._contents.get(notice.digest)
        if content is None or self._needs_clock_offset(state):
            if (
                self._fetch(sender, state)
                or state.clock_offset is None
                or content is None
            ):
                return
        self._accept_reading(state, notice.read_at, content)

    def _get_reader_state(self, sender: Sender) -> ReaderState:
        state = self._reader_states.get(sender.instance)
        if state is None or state.incarnation != sender.incarnation:
            self._reader_states.pop(sender.instance, None)
            state = self._reader_states[sender.instance] = ReaderState(
                sender.incarnation
            )
            if len(self._reader_states) > READER_STATES_MAX:
                del self._reader_states[next(iter(self._reader_states))]
        return state

    def _needs_clock_offset(self, state: ReaderState) -> bool:
        offset = state.clock_offset
        if offset is None:
            return True
        is_slow = offset.uncertainty_s > UNCERTAINTY_MAX_INTERVALS * self._interval_s
        return (
            is_slow or self._clock.monotonic() - offset.measured_at > OFFSET_MAX_AGE_S
        )

    def _fetch(self, sender: Sender, state: ReaderState) -> bool:
        """Fetch a reader's last reading and its clock; return whether it succeeded."""
        started_at = self._clock.monotonic()
        if started_at < state.retry_at:
            return False
        with self._lock:
            known = list(self._contents)
        try:
            answer = self._frame_client.exchange(
                sender.address, ListFetch(known), FETCH_TIMEOUT_S
            )
            content = self._parse_answer(state, answer)
        except (PeerError, MalformedResponse) as error:
            self._metrics.count("list_fetches", result="failed")
            log.debug("list reading not fetched from {}: {}", sender.address, error)
            pause_s = FETCH_RETRY_INTERVALS * self._interval_s
            state.retry_at = self._clock.monotonic() + pause_s
            return False
        self._metrics.count("list_fetches", result="fetched")
        now = self._clock.monotonic()
        state.clock_offset = measure_clock_offset(
            started_at, answer.clock, now, state.clock_offset
        )
        self._accept_reading(state, answer.read_at, content)
        return True

    def _parse_answer(self, state: ReaderState, answer: object) -> ListContent:
        """Return the list content of an answer to a fetch.

        Raises
        ------
        MalformedResponse
            If the answer has no reading, is from another incarnation, or its
            body is invalid.
        """
        if not isinstance(answer, ListReading) or not answer.digest:
            raise MalformedResponse("the answer has no list reading")
        if answer.incarnation != state.incarnation:
            raise MalformedResponse("another incarnation answered")
        with self._lock:
            content = self._contents.get(answer.digest)
        if content is not None:
            return content
        if digest_body(answer.body) != answer.digest:
            raise MalformedResponse("the body does not match its digest")
        snapshot = parse_list(answer.body, 0.0)
        return self._store_content(ListContent(answer.digest, answer.body, snapshot))

    def _accept_reading(
        self, state: ReaderState, wire_time: int, content: ListContent
    ) -> None:
        """Accept a relayed reading, dated at the earliest time possible for it."""
        if state.clock_offset is None or wire_time <= state.read_at:
            return
        now = self._clock.monotonic()
        read_at = state.clock_offset.convert(wire_time, now)
        if read_at > now:
            # One of the clocks stood still while its machine was suspended.
            state.clock_offset = None
            self._metrics.count("list_anchors_dropped")
            return
        state.read_at = wire_time
        self._last_relayed_at = max(self._last_relayed_at, read_at)
        last = self._list_service.get_snapshot()
        if last is not None and content.matches(last):
            if read_at < last.read_at + UNCHANGED_SPACING_INTERVALS * self._interval_s:
                return
        if self._list_service.accept(content.make_snapshot(read_at)):
            self._metrics.count("list_readings", result="relayed")


def digest_body(body: bytes) -> bytes:
    """Return the digest that identifies a rendered list in notices."""
    return hashlib.sha256(body).digest()[:DIGEST_BYTES]


__all__ = ["ListRelay"]
