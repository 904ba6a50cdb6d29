"""Service that runs non-idempotent requests at most once."""

import threading
from abc import ABC, abstractmethod

from fescueflow.audit import AuditKind, AuditTrail
from fescueflow.core import (
    Clock,
    DeadlineExceeded,
    Incarnation,
    InvalidRequest,
    Outcome,
    OwnerUnavailable,
    PeerError,
    RequestError,
)
from fescueflow.invariants import Invariants
from fescueflow.membership import Member, MembershipService
from fescueflow.metrics import Metrics
from fescueflow.requests.errors import (
    AnswerNotKept,
    encode_error,
    remove_error_header,
)
from fescueflow.requests.forwarding import OwnerForwarder
from fescueflow.requests.handover import choose_successor
from fescueflow.requests.identifiers import ParsedRequestId, RequestId, RequestIdCodec
from fescueflow.requests.records import RecordState, RequestRecord, digest_request
from fescueflow.requests.registry import TableRegistry
from fescueflow.schema import (
    MintAnswer,
    MintRequest,
    Settings,
    SubmitAnswer,
    SubmitRequest,
)
from fescueflow.transport import FrameClient, FrameServer, Keyring, Sender

MINT_COUNT_MAX = 1000
MINT_TIMEOUT_S = 0.25
# Largest body that a frame of 2 MiB holds besides the answer's headers.
FORWARDED_BODY_BYTES_MAX = (2 << 20) - (128 << 10)


class RequestExecutor(ABC):
    """Runs a non-idempotent request at an upstream."""

    @abstractmethod
    def execute(
        self, request: SubmitRequest, record: RequestRecord, deadline: float
    ) -> SubmitAnswer:
        """Send the request once and return the upstream's answer.

        Parameters
        ----------
        request : SubmitRequest
        record : RequestRecord
            ``mark_sent`` must be called before the first byte is sent, and
            ``upstream`` set to the upstream used.
        deadline : float
            In seconds of the clock's monotonic time.

        Raises
        ------
        RequestError
            The record determines the outcome that callers see.
        """


class RequestService:
    """Runs non-idempotent requests here or forwards them to their owners.

    Parameters
    ----------
    settings : Settings
    keyring : Keyring
    membership : MembershipService
    frame_client : FrameClient
    frame_server : FrameServer
    executor : RequestExecutor
    clock : Clock
    metrics : Metrics
    audit : AuditTrail
    invariants : Invariants
    incarnation : Incarnation

    Notes
    -----
    A request runs only at the incarnation that issued its id, or at the successor
    that adopted the table of that incarnation.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        keyring: Keyring,
        membership: MembershipService,
        frame_client: FrameClient,
        frame_server: FrameServer,
        executor: RequestExecutor,
        clock: Clock,
        metrics: Metrics,
        audit: AuditTrail,
        invariants: Invariants,
        incarnation: Incarnation,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._frame_client = frame_client
        self._executor = executor
        self._clock = clock
        self._metrics = metrics
        self._audit = audit
        self._codec = RequestIdCodec(keyring)
        self._lock = threading.Lock()
        self._running = 0
        self._tables = TableRegistry(
            settings=settings,
            codec=self._codec,
            membership=membership,
            frame_client=frame_client,
            frame_server=frame_server,
            clock=clock,
            metrics=metrics,
            audit=audit,
            invariants=invariants,
            incarnation=incarnation,
        )
        self._own = self._tables.own
        self._forwarder = OwnerForwarder(
            membership=membership,
            frame_client=frame_client,
            clock=clock,
            metrics=metrics,
            audit=audit,
        )
        frame_server.register(SubmitRequest, self._handle_submit)
        frame_server.register(MintRequest, self._handle_mint)

    def mint(self, count: int) -> list[RequestId]:
        """Return new request ids.

        Raises
        ------
        Moved
            After ``close``.
        """
        sequences = self._own.mint(max(0, min(count, MINT_COUNT_MAX)))
        return [self._own.format_id(sequence) for sequence in sequences]

    def mint_at(self, member: Member, count: int) -> list[RequestId]:
        """Return ids issued by another instance, or own ids if it does not answer."""
        if member.instance != self._own.instance and count > 0:
            request = MintRequest(min(count, MINT_COUNT_MAX))
            try:
                answer = self._frame_client.exchange(
                    member.peer_address, request, MINT_TIMEOUT_S
                )
                if isinstance(answer, MintAnswer):
                    return [RequestId(text) for text in answer.request_ids]
            except PeerError:
                self._metrics.count("mint_fallbacks")
        return self.mint(count)

    def parse(self, text: str) -> ParsedRequestId:
        """Return the parts of a request id.

        Raises
        ------
        InvalidRequestId
            If this fleet did not issue it.
        """
        return self._codec.parse(text)

    def submit(self, request: SubmitRequest) -> SubmitAnswer:
        """Run a request at most once, here or at its owner.

        Parameters
        ----------
        request : SubmitRequest
            Must contain a request id.

        Returns
        -------
        SubmitAnswer
            The upstream's answer; a repeat gets the same one.

        Raises
        ------
        RequestError
            With outcome ``not_run`` only if the owner recorded that the request
            never runs.
        """
        parsed = self._parse_request_id(request)
        if self._tables.find(parsed) is not None:
            return self._submit_as_owner(parsed, request)
        return self._forwarder.forward(parsed, request)

    def count_running_requests(self) -> int:
        """Return the number of requests that this instance handles as owner."""
        with self._lock:
            return self._running

    def close(self) -> None:
        """Issue no more ids; requests with issued ids still run here."""
        self._tables.close()

    def suspend(self) -> None:
        """Start no more requests, so that running ones can finish before handover.

        Other instances forward to the successor only once they know that it
        adopted the tables. Until then, callers get its address and the time after
        which to try it.
        """
        self._tables.suspend()

    def hand_over(self) -> bool:
        """Send all tables to one successor; call once, after ``suspend``.

        Returns
        -------
        bool
            Whether the successor adopted every table.
        """
        return self._tables.hand_over()

    def _parse_request_id(self, request: SubmitRequest) -> ParsedRequestId:
        try:
            return self.parse(request.request_id)
        except InvalidRequest as error:
            # The request may have run before the key that signed its id was
            # rotated out.
            error.outcome = Outcome.UNKNOWN
            raise

    def _submit_as_owner(
        self, parsed: ParsedRequestId, request: SubmitRequest
    ) -> SubmitAnswer:
        # Counted before the record exists: a handover between the two steps would
        # refuse the request.
        with self._lock:
            self._running += 1
        try:
            return self._run_or_wait(parsed, request)
        finally:
            with self._lock:
                self._running -= 1

    def _run_or_wait(
        self, parsed: ParsedRequestId, request: SubmitRequest
    ) -> SubmitAnswer:
        deadline = self._clock.monotonic() + request.deadline_ms / 1000
        table = self._tables.find(parsed)
        if table is None:
            raise OwnerUnavailable("this instance does not own the request id")
        digest = digest_request(request)
        request_id = RequestId(request.request_id)
        try:
            record, is_new = table.reserve(parsed.sequence, digest, request_id)
            self._tables.limit_records()
            if is_new:
                return self._run(record, request, deadline)
            self._metrics.count("request_repeats")
            return self._wait(record, digest, deadline)
        except RequestError as error:
            if error.type == "moved" and error.address is None:
                error.address = self._find_successor_address()
                error.retry_after_ms = self._settings.heartbeat_interval_ms
            raise

    def _run(
        self, record: RequestRecord, request: SubmitRequest, deadline: float
    ) -> SubmitAnswer:
        started = self._clock.monotonic()
        try:
            answer = self._executor.execute(request, record, deadline)
        except RequestError as error:
            raise record.record_failure(error) from error
        except BaseException as error:
            kind = type(error).__name__
            self._metrics.count("executor_errors", kind=kind)
            failure = record.record_failure(RequestError(f"internal error ({kind})"))
            raise failure from error
        else:
            answer = remove_error_header(answer)
            record.finish(answer)
            return answer
        finally:
            self._record_outcome(record, request, started)

    def _wait(
        self, record: RequestRecord, digest: bytes, deadline: float
    ) -> SubmitAnswer:
        record.add_waiter()
        try:
            remaining = deadline - self._clock.monotonic()
            if not self._clock.wait(record.done, max(0.0, remaining)):
                raise DeadlineExceeded("the request is still running")
            return record.read_answer(digest)
        finally:
            record.remove_waiter()

    def _handle_submit(self, sender: Sender, request: SubmitRequest) -> SubmitAnswer:
        try:
            answer = self._submit_as_owner(self._parse_request_id(request), request)
        except RequestError as error:
            return encode_error(error)
        if len(answer.body) > FORWARDED_BODY_BYTES_MAX:
            return encode_error(AnswerNotKept("the answer is too large to forward"))
        return answer

    def _handle_mint(self, sender: Sender, request: MintRequest) -> MintAnswer:
        return MintAnswer([str(text) for text in self.mint(request.count)])

    def _find_successor_address(self) -> str | None:
        own = self._membership.get_own_member()
        other = choose_successor(own.instance, own.zone, self._membership.get_live())
        return other.http_address if other else None

    def _record_outcome(
        self, record: RequestRecord, request: SubmitRequest, started: float
    ) -> None:
        kind, outcome = {
            RecordState.FINISHED: (AuditKind.REQUEST_RAN, Outcome.RAN),
            RecordState.REFUSED: (AuditKind.REQUEST_REFUSED, Outcome.NOT_RUN),
        }.get(record.get_state(), (AuditKind.REQUEST_UNKNOWN, Outcome.UNKNOWN))
        duration_s = self._clock.monotonic() - started
        self._metrics.count("requests_owned", outcome=outcome.value)
        self._metrics.observe("request_duration", duration_s, kind="non_idempotent")
        self._audit.record(
            kind,
            customer=request.customer,
            request_id=request.request_id,
            request_class="non_idempotent",
            upstream=record.upstream,
            outcome=outcome.value,
            duration_ms=round(duration_s * 1000, 3),
        )


__all__ = ["RequestExecutor", "RequestService"]
