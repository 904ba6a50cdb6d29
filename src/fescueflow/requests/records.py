"""Record that the owner of a non-idempotent request keeps of it."""

import hashlib
import threading
from enum import Enum

from fescueflow.core import (
    Moved,
    Outcome,
    OutcomeUnknown,
    RequestError,
    UpstreamId,
)
from fescueflow.invariants import Invariant, Invariants
from fescueflow.requests.errors import AnswerNotKept, decode_error, encode_error
from fescueflow.requests.identifiers import RequestId
from fescueflow.schema import OwnedRecord, SubmitAnswer, SubmitRequest

KEPT_ANSWER_BYTES_MAX = 65536
KEPT_ANSWER_HEADERS_MAX = 100


class RecordState(Enum):
    """State of a request.

    A request that is not yet sent is ``RESERVED``. ``REFUSED`` is a tombstone: the
    request never runs. ``UNKNOWN`` means that it was sent and may have run.
    """

    RESERVED = 0
    SENT = 1
    FINISHED = 2
    REFUSED = 3
    UNKNOWN = 4


# Handover code of a finished request whose answer was not kept.
ANSWER_NOT_KEPT_CODE = 5
TRANSITIONS = {
    RecordState.RESERVED: {RecordState.SENT, RecordState.REFUSED},
    RecordState.SENT: {RecordState.FINISHED, RecordState.UNKNOWN},
}


def digest_request(request: SubmitRequest) -> bytes:
    """Return the SHA-256 of the fields that identify a repeat of a request."""
    digest = hashlib.sha256()
    for part in (request.customer, request.method, request.path):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(8, "big") + data)
    digest.update(request.body)
    return digest.digest()


def is_within_limits(answer: SubmitAnswer) -> bool:
    """Return whether an answer is small enough to keep for repeats."""
    size = len(answer.body) + sum(len(h.name) + len(h.value) for h in answer.headers)
    return (
        size <= KEPT_ANSWER_BYTES_MAX and len(answer.headers) <= KEPT_ANSWER_HEADERS_MAX
    )


class RequestRecord:
    """Record of one request.

    Parameters
    ----------
    request_id : RequestId
    sequence : int
    digest : bytes
        See ``digest_request``.
    expires_at : float
    lock : threading.RLock
        Lock of the owner table.
    invariants : Invariants
    """

    def __init__(
        self,
        *,
        request_id: RequestId,
        sequence: int,
        digest: bytes,
        expires_at: float,
        lock: threading.RLock,
        invariants: Invariants,
    ) -> None:
        self.request_id = request_id
        self.sequence = sequence
        self.digest = digest
        self.expires_at = expires_at
        self.upstream: UpstreamId | None = None
        self.done = threading.Event()
        self._lock = lock
        self._invariants = invariants
        self._state = RecordState.RESERVED
        self._answer: SubmitAnswer | None = None
        self._waiters = 0

    def get_state(self) -> RecordState:
        """Return the state of the request."""
        with self._lock:
            return self._state

    def mark_sent(self) -> None:
        """Record that the first byte is about to be written.

        Raises
        ------
        RequestError
            If the request must not be sent because it was refused in the meantime
            or was already sent.
        """
        with self._lock:
            if self._state is RecordState.REFUSED:
                raise Moved("the instance is leaving", Outcome.NOT_RUN)
            if self._state is not RecordState.RESERVED:
                self._check_transition(RecordState.SENT)
                raise OutcomeUnknown("the request was already sent once")
            self._set_state(RecordState.SENT)

    def finish(self, answer: SubmitAnswer) -> None:
        """Store the answer; a large one is dropped when no repeat waits for it."""
        with self._lock:
            self._answer = answer
            try:
                self._set_state(RecordState.FINISHED)
            finally:
                self._drop_large_answer()
                self.done.set()

    def record_failure(self, error: RequestError) -> RequestError:
        """Record a failure and return the error for callers.

        Parameters
        ----------
        error : RequestError

        Returns
        -------
        RequestError
            With ``not_run`` if the request was not sent and never will be, else
            with ``outcome_unknown``.
        """
        with self._lock:
            if self._state is RecordState.RESERVED:
                error.outcome = Outcome.NOT_RUN
                self._answer = encode_error(error)
                self._set_state(RecordState.REFUSED)
            elif self._state is RecordState.REFUSED:
                error = self._read_refusal()
            else:
                error.outcome = Outcome.UNKNOWN
                if self._state is RecordState.SENT:
                    self._set_state(RecordState.UNKNOWN)
            self.done.set()
            return error

    def add_waiter(self) -> None:
        """Register a repeat that waits for the answer."""
        with self._lock:
            self._waiters += 1

    def remove_waiter(self) -> None:
        """Remove a repeat that no longer waits for the answer."""
        with self._lock:
            self._waiters -= 1
            self._drop_large_answer()

    def read_answer(self, digest: bytes) -> SubmitAnswer:
        """Return the answer of a finished request to a repeat.

        Raises
        ------
        RequestError
            If the request was refused, its outcome is unknown, or its answer was
            not kept.
        """
        with self._lock:
            self._invariants.check(
                Invariant.ANSWER_MATCHES_REQUEST,
                digest == self.digest,
                request_id=self.request_id,
            )
            if self._state is RecordState.REFUSED:
                raise self._read_refusal()
            if self._state is not RecordState.FINISHED:
                raise OutcomeUnknown("the request may or may not have run")
            if self._answer is None:
                raise AnswerNotKept("the request ran; its answer was not kept")
            return self._answer

    def export(self) -> OwnedRecord:
        """Return the record for a successor and close it.

        Notes
        -----
        A request that was not sent is refused first, so that this instance can't
        send it after the successor has taken over.
        """
        with self._lock:
            if self._state is RecordState.RESERVED:
                self.record_failure(Moved("the instance is leaving"))
            code = self._state.value
            if self._state is RecordState.SENT:
                code = RecordState.UNKNOWN.value
            kept = (
                self._answer
                if self._answer and is_within_limits(self._answer)
                else None
            )
            if self._state is RecordState.FINISHED and kept is None:
                code = ANSWER_NOT_KEPT_CODE
            answer = kept or SubmitAnswer()
            return OwnedRecord(
                sequence=self.sequence,
                state=code,
                body_digest=self.digest,
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
            )

    def restore(self, owned: OwnedRecord) -> None:
        """Adopt the final state of a record from another owner."""
        with self._lock:
            self._state = RecordState.UNKNOWN
            answer = SubmitAnswer(owned.status, owned.headers, owned.body)
            if owned.state == RecordState.REFUSED.value:
                self._state, self._answer = RecordState.REFUSED, answer
            elif owned.state == RecordState.FINISHED.value:
                self._state, self._answer = RecordState.FINISHED, answer
            elif owned.state == ANSWER_NOT_KEPT_CODE:
                self._state = RecordState.FINISHED
            self.done.set()

    def _read_refusal(self) -> RequestError:
        error = decode_error(self._answer) if self._answer else None
        error = error or OutcomeUnknown("the refusal could not be read")
        self._invariants.check(
            Invariant.NOT_RUN_AFTER_TOMBSTONE,
            self._state is RecordState.REFUSED,
            request_id=self.request_id,
        )
        return error

    def _drop_large_answer(self) -> None:
        if self._state is not RecordState.FINISHED or self._answer is None:
            return
        if not self._waiters and not is_within_limits(self._answer):
            self._answer = None

    def _check_transition(self, state: RecordState) -> None:
        self._invariants.check(
            Invariant.RECORD_TRANSITION,
            state in TRANSITIONS.get(self._state, set()),
            request_id=self.request_id,
            before=self._state.name,
            after=state.name,
        )

    def _set_state(self, state: RecordState) -> None:
        try:
            self._check_transition(state)
        finally:
            self._state = state


__all__ = ["RecordState", "RequestRecord", "digest_request"]
