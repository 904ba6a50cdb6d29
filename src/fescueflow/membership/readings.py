"""Relaying of list readings from a zone's readers to its other instances."""

import hashlib
import threading
from dataclasses import dataclass

import logbook

from fescueflow.core import Clock, InstanceId, PeerError, Randomness
from fescueflow.membership.lists import ListService, ReadingSchedule
from fescueflow.membership.members import Member
from fescueflow.membership.pauses import PauseDetector
from fescueflow.membership.readers import choose_readers, list_zone_peers
from fescueflow.membership.service import MembershipService
from fescueflow.membership.sources import Source, make_anchor, to_wire
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

# An instance counts as unable to read the list when its last reading is older
# than 3 intervals. That reading may be older than the last one heard of by
# `UNCHANGED_INTERVALS`, and the schedule is asked every 0.3 intervals.
FRESH_INTERVALS = 1.5
FALLBACK_JITTER_INTERVALS = 0.5
# Of two readers' unchanged readings one in each half interval is enough.
UNCHANGED_INTERVALS = 0.5
# The two readers may see a change at different times: the list before and after
# it and one more.
CONTENTS_MAX = 3
# A minute adds 60 ms of drift to the age of readings.
ANCHOR_S = 60.0
# A slower exchange makes readings look older by a considerable part of the time
# for which they count, so the next notice begins another one.
SLACK_INTERVALS = 0.25
FETCH_TIMEOUT_S = 2.0
# Readers go on for this long after others are chosen. The zone must first relate
# its clocks to those of the new ones, which takes seconds on busy machines or
# after a failed exchange; meanwhile each instance would read by itself.
HANDOVER_S = 10.0
# A failed exchange takes up to a second or two, in which the other reader waits.
FETCH_PAUSE_INTERVALS = 5.0
SOURCES_MAX = 64
DIGEST_BYTES = 16
IDLE_S = 1.0

log = logbook.Logger("membership")


@dataclass(frozen=True)
class Content:
    """A list without a time; ``snapshot`` is the one that was read or parsed."""

    digest: bytes
    body: bytes
    snapshot: ListSnapshot

    def is_of(self, snapshot: ListSnapshot) -> bool:
        """Return whether a snapshot has this content."""
        mine = self.snapshot
        return (mine.instances, mine.upstreams) == (
            snapshot.instances,
            snapshot.upstreams,
        )

    def make_snapshot(self, read_at: float) -> ListSnapshot:
        """Return a reading of this content."""
        return ListSnapshot(self.snapshot.instances, self.snapshot.upstreams, read_at)


class ListRelay(ReadingSchedule):
    """Tells the own zone of own readings, and takes over those of its readers.

    In a zone with more live members than the threshold, only the zone's readers
    and instances that hear none of them read the list.

    Parameters
    ----------
    settings : Settings
    list_service : ListService
        Asks this object when to read.
    membership : MembershipService
    endpoint : DatagramEndpoint
    frame_client : FrameClient
    frame_server : FrameServer
    pauses : PauseDetector
    clock : Clock
    randomness : Randomness
    metrics : Metrics

    Notes
    -----
    A notice states the time of the reading on its sender's clock, not its age:
    a notice that is held up on the way, or in a frozen process on either side,
    does not look newer for it. ``Anchor`` converts the time.
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
        pauses: PauseDetector,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
    ) -> None:
        self._threshold = settings.list_relay_threshold
        self._readers = settings.configuration_readers
        self._interval_s = settings.list_interval_ms / 1000
        self._list_service = list_service
        self._membership = membership
        self._endpoint = endpoint
        self._frame_client = frame_client
        self._pauses = pauses
        self._clock = clock
        self._randomness = randomness
        self._metrics = metrics
        self._lock = threading.Lock()
        self._pending: dict[InstanceId, tuple[Sender, ListNotice]] = {}
        self._contents: dict[bytes, Content] = {}
        self._own: tuple[float, Content] | None = None
        self._heard_at = float("-inf")
        self._due_at: float | None = None
        # Only the task that calls `step` uses them.
        self._sources: dict[InstanceId, Source] = {}
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._task = Task("list-relay", self._run)
        list_service.set_schedule(self)
        endpoint.register(ListNotice, self._handle_notice)
        frame_server.register(ListFetch, self._answer_fetch)

    def start(self) -> None:
        """Start taking over readings of others."""
        self._task.start()

    def stop(self) -> None:
        """Stop taking over readings of others."""
        self._stopped.set()
        self._wake.set()
        self._task.stop()

    def is_due(self) -> bool:
        """Return whether this instance reads the list now.

        Readers and instances of a small zone always do. Another one does while
        it has no fresh reading of a reader. The readings of a zone begin within
        a random time, so that they don't all come at once.
        """
        if self._find_role() is not False:
            self._due_at = None
            return True
        now = self._clock.monotonic()
        stale_at = self._heard_at + FRESH_INTERVALS * self._interval_s
        if now < stale_at:
            self._due_at = None
            return False
        if self._due_at is None:
            delay = self._randomness.uniform(0.0, FALLBACK_JITTER_INTERVALS)
            self._due_at = stale_at + delay * self._interval_s
        if now < self._due_at:
            return False
        self._metrics.count("list_fallback_readings")
        return True

    def note_own(self, snapshot: ListSnapshot) -> None:
        """Tell the zone of a reading if this instance is one of its readers."""
        if self._find_role() is not True:
            return
        content = self._find_content(snapshot)
        with self._lock:
            self._own = (snapshot.read_at, content)
        own, members = self._membership.get_own(), self._membership.get_members()
        addresses = [m.peer_address for m in list_zone_peers(own, members)]
        notice = ListNotice(to_wire(snapshot.read_at), content.digest)
        pause = self._pauses.check()
        if pause is not None and pause >= snapshot.read_at:
            self._metrics.count("list_notices_withheld")
            return
        self._endpoint.send_all(addresses, notice)

    def step(self) -> None:
        """Take over the readings that notices told of since the last step."""
        with self._lock:
            pending, self._pending = self._pending, {}
        for sender, notice in pending.values():
            self._follow(sender, notice)

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.is_set() and not self._stopped.is_set():
            try:
                self.step()
            except Exception as error:
                self._metrics.count("list_relay_errors")
                log.error("taking over a list reading failed: {!r}", error)
            if self._clock.wait(self._wake, IDLE_S):
                self._wake.clear()

    def _find_role(self) -> bool | None:
        """Return whether this instance is a reader; ``None`` in a small zone."""
        own = self._membership.get_own()
        live = [m for m in self._membership.get_live() if m.zone == own.zone]
        if len(live) <= self._threshold:
            return None
        return self._is_reader(own, live)

    def _is_reader(self, own: Member, live: list[Member]) -> bool:
        now_s = self._clock.wall()
        chosen = [
            reader.instance
            for wall_s in (now_s, now_s - HANDOVER_S)
            for reader in choose_readers(own.zone, live, wall_s, self._readers)
        ]
        return own.instance in chosen

    def _find_content(self, snapshot: ListSnapshot) -> Content:
        """Return the content of an own reading; rendered when it changes."""
        with self._lock:
            known = list(self._contents.values())
        for content in known:
            if content.is_of(snapshot):
                return content
        body = render_list(snapshot)
        return self._keep(Content(digest_body(body), body, snapshot))

    def _keep(self, content: Content) -> Content:
        with self._lock:
            self._contents.pop(content.digest, None)
            self._contents[content.digest] = content
            while len(self._contents) > CONTENTS_MAX:
                del self._contents[next(iter(self._contents))]
        return content

    def _answer_fetch(self, sender: Sender, request: ListFetch) -> ListReading:
        incarnation = self._membership.get_own().incarnation
        with self._lock:
            own = self._own
        clock = to_wire(self._clock.monotonic())
        if own is None:
            return ListReading(incarnation=incarnation, clock=clock)
        read_at, content = own
        body = b"" if content.digest in request.known else content.body
        return ListReading(incarnation, clock, to_wire(read_at), content.digest, body)

    def _handle_notice(self, sender: Sender, notice: ListNotice) -> None:
        if sender.instance == self._endpoint.instance:
            return
        with self._lock:
            self._pending[sender.instance] = (sender, notice)
        self._wake.set()

    def _follow(self, sender: Sender, notice: ListNotice) -> None:
        source = self._get_source(sender)
        if notice.read_at <= source.read_at:
            return
        with self._lock:
            content = self._contents.get(notice.digest)
        if content is None or self._needs_anchor(source):
            if self._fetch(sender, source) or source.anchor is None or content is None:
                return
        self._take(source, notice.read_at, content)

    def _get_source(self, sender: Sender) -> Source:
        source = self._sources.get(sender.instance)
        if source is None or source.incarnation != sender.incarnation:
            self._sources.pop(sender.instance, None)
            source = self._sources[sender.instance] = Source(sender.incarnation)
            if len(self._sources) > SOURCES_MAX:
                del self._sources[next(iter(self._sources))]
        return source

    def _needs_anchor(self, source: Source) -> bool:
        anchor = source.anchor
        if anchor is None:
            return True
        is_slow = anchor.slack_s > SLACK_INTERVALS * self._interval_s
        return is_slow or self._clock.monotonic() - anchor.made_at > ANCHOR_S

    def _fetch(self, sender: Sender, source: Source) -> bool:
        """Ask a reader for its last reading and its clock; return its success."""
        asked_at = self._clock.monotonic()
        if asked_at < source.retry_at:
            return False
        with self._lock:
            known = list(self._contents)
        try:
            answer = self._frame_client.exchange(
                sender.address, ListFetch(known), FETCH_TIMEOUT_S
            )
            content = self._read_answer(source, answer)
        except (PeerError, MalformedResponse) as error:
            self._metrics.count("list_fetches", result="failed")
            log.debug("list reading of {} not fetched: {}", sender.address, error)
            pause_s = FETCH_PAUSE_INTERVALS * self._interval_s
            source.retry_at = self._clock.monotonic() + pause_s
            return False
        self._metrics.count("list_fetches", result="fetched")
        now = self._clock.monotonic()
        source.anchor = make_anchor(asked_at, answer.clock, now, source.anchor)
        self._take(source, answer.read_at, content)
        return True

    def _read_answer(self, source: Source, answer: object) -> Content:
        """Return the content of an answer.

        Raises
        ------
        MalformedResponse
            If it is not one of this incarnation with a reading.
        """
        if not isinstance(answer, ListReading) or not answer.digest:
            raise MalformedResponse("no reading")
        if answer.incarnation != source.incarnation:
            raise MalformedResponse("another incarnation answered")
        with self._lock:
            content = self._contents.get(answer.digest)
        if content is not None:
            return content
        if digest_body(answer.body) != answer.digest:
            raise MalformedResponse("the body does not match its digest")
        snapshot = parse_list(answer.body, 0.0)
        return self._keep(Content(answer.digest, answer.body, snapshot))

    def _take(self, source: Source, wire_time: int, content: Content) -> None:
        """Take over a reading with the earliest time at which it can be made."""
        if source.anchor is None or wire_time <= source.read_at:
            return
        now = self._clock.monotonic()
        read_at = source.anchor.convert(wire_time, now)
        if read_at > now:
            # One of the clocks did not run while its machine was suspended.
            source.anchor = None
            self._metrics.count("list_anchors_dropped")
            return
        source.read_at = wire_time
        self._heard_at = max(self._heard_at, read_at)
        last = self._list_service.get_snapshot()
        if last is not None and content.is_of(last):
            if read_at < last.read_at + UNCHANGED_INTERVALS * self._interval_s:
                return
        if self._list_service.take(content.make_snapshot(read_at)):
            self._metrics.count("list_readings", result="relayed")


def digest_body(body: bytes) -> bytes:
    """Return the digest by which notices name a list."""
    return hashlib.sha256(body).digest()[:DIGEST_BYTES]


__all__ = ["ListRelay"]
