"""Forwarding of requests to the owners of their ids."""

from fescueflow.audit import AuditKind, AuditTrail
from fescueflow.core import Clock, OwnerUnavailable, PeerError
from fescueflow.membership import Member, MembershipService
from fescueflow.metrics import Metrics
from fescueflow.requests.errors import decode_error
from fescueflow.requests.identifiers import ParsedRequestId
from fescueflow.schema import SubmitAnswer, SubmitRequest
from fescueflow.transport import FrameClient

# The owner answers no later than the deadline; the margin covers the transfer of
# the answer.
FORWARD_MARGIN_S = 1.0


class OwnerForwarder:
    """Sends requests to their owners and never runs one itself."""

    def __init__(
        self,
        *,
        membership: MembershipService,
        frame_client: FrameClient,
        clock: Clock,
        metrics: Metrics,
        audit: AuditTrail,
    ) -> None:
        self._membership = membership
        self._frame_client = frame_client
        self._clock = clock
        self._metrics = metrics
        self._audit = audit

    def forward(self, parsed: ParsedRequestId, request: SubmitRequest) -> SubmitAnswer:
        """Send a request to its owner and return the answer.

        Raises
        ------
        RequestError
            The owner's error unchanged, or ``OwnerUnavailable`` with an unknown
            outcome.
        """
        owner = self._membership.find_owner(parsed.instance, parsed.incarnation)
        own = self._membership.get_own_member()
        started = self._clock.monotonic()
        try:
            if owner is None or owner.instance == own.instance:
                raise OwnerUnavailable(
                    "the owner of the request id is not in the fleet"
                )
            return self._ask_owner(owner, request)
        except OwnerUnavailable as error:
            self._metrics.count("requests_without_owner")
            self._audit.record(
                AuditKind.REQUEST_UNKNOWN,
                customer=request.customer,
                request_id=request.request_id,
                request_class="non_idempotent",
                upstream=None,
                outcome=error.outcome.value,
                error=error.type,
                forwarded=True,
                duration_ms=round((self._clock.monotonic() - started) * 1000, 3),
            )
            raise

    def _ask_owner(self, owner: Member, request: SubmitRequest) -> SubmitAnswer:
        timeout_s = request.deadline_ms / 1000 + FORWARD_MARGIN_S
        try:
            answer = self._frame_client.exchange(
                owner.peer_address, request, timeout_s, reuse=False
            )
        except PeerError as error:
            # The outcome is unknown even if the connection was refused: an earlier
            # attempt of the caller may have reached the owner.
            raise OwnerUnavailable(f"the owner did not answer: {error}") from error
        if not isinstance(answer, SubmitAnswer):
            raise OwnerUnavailable("the owner sent an unexpected kind of answer")
        error_of_owner = decode_error(answer)
        if error_of_owner is not None:
            raise error_of_owner
        return answer


__all__ = ["OwnerForwarder"]
