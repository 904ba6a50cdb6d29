"""Records of the requests whose ids one incarnation issued."""

import heapq
import threading
from collections import OrderedDict, deque

from fescueflow.core import (
    Clock,
    Incarnation,
    InstanceId,
    Moved,
    Outcome,
    OutcomeUnknown,
    RequestIdReused,
)
from fescueflow.invariants import Invariants
from fescueflow.requests.identifiers import ParsedRequestId, RequestId, RequestIdCodec
from fescueflow.requests.records import RequestRecord
from fescueflow.schema import AdoptedOwner, HandoverTable, OwnedRecord

# Ids expire in blocks that span this fraction of their lifetime, so the memory for
# issue times does not grow with the number of ids.
BLOCKS_PER_LIFETIME = 50


class OwnerTable:
    """Records of the ids that one incarnation issued.

    Parameters
    ----------
    instance : InstanceId
    incarnation : Incarnation
    lifetime_s : float
        Time after which an issued id is rejected as unknown; a record is kept at
        least this long.
    codec : RequestIdCodec
    clock : Clock
    invariants : Invariants

    Notes
    -----
    A request without a record runs only if ``floor <= sequence < next``. A record
    is removed only below the floor, so its request never runs again.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: Incarnation,
        lifetime_s: float,
        codec: RequestIdCodec,
        clock: Clock,
        invariants: Invariants,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self._codec = codec
        self._clock = clock
        self._invariants = invariants
        self._granularity_s = lifetime_s / BLOCKS_PER_LIFETIME
        self._retention_s = lifetime_s + self._granularity_s
        self._lock = threading.RLock()
        self._records: OrderedDict[int, RequestRecord] = OrderedDict()
        # Heap for eviction; removed records leave their sequence numbers in it.
        self._sequences: list[int] = []
        # Expiry of each block of ids and the first sequence number after it.
        self._blocks: deque[tuple[float, int]] = deque()
        self._floor = 1
        self._next = 1
        self._closed = False
        self._sealed = False

    def __len__(self) -> int:
        """Return the number of records."""
        with self._lock:
            return len(self._records)

    def format_id(self, sequence: int) -> RequestId:
        """Return the request id with a sequence number."""
        parsed = ParsedRequestId(self.instance, self.incarnation, sequence)
        return self._codec.format(parsed)

    def mint(self, count: int) -> list[int]:
        """Issue new sequence numbers.

        Raises
        ------
        Moved
            If the table is closed.
        """
        with self._lock:
            if self._closed:
                raise Moved("the instance is leaving")
            self.expire()
            first, self._next = self._next, self._next + count
            self._add_block()
            return list(range(first, self._next))

    def reserve(
        self, sequence: int, digest: bytes, request_id: RequestId
    ) -> tuple[RequestRecord, bool]:
        """Return the record of a request and whether it is new.

        Returns
        -------
        RequestRecord
        bool

        Raises
        ------
        RequestIdReused
            If the id belongs to another request.
        OutcomeUnknown
            If the id was never issued, has expired or was evicted.
        Moved
            If the table is suspended or handed over; the outcome is unknown because
            the successor may run the request.
        """
        with self._lock:
            self.expire()
            record = self._records.get(sequence)
            if record is not None:
                if record.digest != digest:
                    raise RequestIdReused("the request id belongs to another request")
                return record, False
            if self._sealed:
                raise Moved("the instance is leaving", Outcome.UNKNOWN)
            if not self._floor <= sequence < self._next:
                raise OutcomeUnknown(
                    "the request id is no longer known or was never issued"
                )
            return self._insert(sequence, digest, request_id), True

    def expire(self) -> None:
        """Raise the floor above expired ids and remove finished records below it."""
        with self._lock:
            now = self._clock.monotonic()
            while self._blocks and self._blocks[0][0] <= now:
                self._floor = max(self._floor, self._blocks.popleft()[1])
            while self._records:
                record = next(iter(self._records.values()))
                expired = record.expires_at <= now and record.sequence < self._floor
                if not expired or not record.done.is_set():
                    break
                self._records.popitem(last=False)

    def evict(self) -> bool:
        """Remove the finished record with the lowest sequence number.

        Returns
        -------
        bool
            False if no record is finished.
        """
        with self._lock:
            running: list[int] = []
            evicted = False
            while self._sequences and not evicted:
                sequence = heapq.heappop(self._sequences)
                record = self._records.get(sequence)
                if record is None:
                    continue
                if record.done.is_set():
                    del self._records[sequence]
                    self._floor = max(self._floor, sequence + 1)
                    evicted = True
                else:
                    running.append(sequence)
            for sequence in running:
                heapq.heappush(self._sequences, sequence)
            return evicted

    def close(self) -> None:
        """Issue no more ids; requests with issued ids still run."""
        with self._lock:
            self._closed = True

    def suspend(self) -> None:
        """Reject ids without a record; their requests may run at the successor."""
        with self._lock:
            self._closed = self._sealed = True

    def is_exhausted(self) -> bool:
        """Return whether no id can run any more and no record is left."""
        with self._lock:
            self.expire()
            return not self._records and self._floor >= self._next

    def seal(self) -> HandoverTable:
        """Close the table permanently and return its content.

        Returns
        -------
        HandoverTable
            With all records in a single part.
        """
        with self._lock:
            self._closed = self._sealed = True
            self.expire()
            return HandoverTable(
                owner=AdoptedOwner(self.instance, self.incarnation),
                floor=self._floor,
                next=self._next,
                records=[record.export() for record in self._records.values()],
                last=True,
            )

    def restore(
        self, floor: int, next_sequence: int, owned: list[tuple[RequestId, OwnedRecord]]
    ) -> None:
        """Fill the table with the content of another owner's table."""
        with self._lock:
            self._floor, self._next = floor, next_sequence
            self._add_block()
            for request_id, record in owned:
                restored = self._insert(record.sequence, record.body_digest, request_id)
                restored.restore(record)

    def _insert(
        self, sequence: int, digest: bytes, request_id: RequestId
    ) -> RequestRecord:
        record = RequestRecord(
            request_id=request_id,
            sequence=sequence,
            digest=digest,
            expires_at=self._clock.monotonic() + self._retention_s,
            lock=self._lock,
            invariants=self._invariants,
        )
        self._records[sequence] = record
        heapq.heappush(self._sequences, sequence)
        if len(self._sequences) > 2 * len(self._records) + 64:
            self._sequences = sorted(self._records)
        return record

    def _add_block(self) -> None:
        expires_at = self._clock.monotonic() + self._retention_s
        if self._blocks and expires_at - self._blocks[-1][0] <= self._granularity_s:
            expires_at = self._blocks.pop()[0]
        self._blocks.append((expires_at, self._next))


__all__ = ["OwnerTable"]
