"""Search for a slot among the candidate upstreams of a call."""

import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from returns.pipeline import is_successful

from fescueflow.admission import AdmissionService, Slot, SlotDemand, SlotRefused
from fescueflow.core import Clock, NotReady, Overloaded, UpstreamId
from fescueflow.delivery.calls import ResolvedRequest
from fescueflow.placement import PlacementService
from fescueflow.platform import ListedUpstream
from fescueflow.schema import SlotOutcome, SlotRefusalReason

# Wait at the first candidate in each pass after the first one.
RETRY_INTERVAL_S = 0.2
# Upper estimate of the duration of such a pass, with the requests to other
# candidates.
PASS_DURATION_MAX_S = 0.3
# Wait of a model request at its preferred engine in the first pass. At another
# engine the prefix would have to be computed again, which costs more.
PREFERRED_UPSTREAM_WAIT_S = 0.1
# Candidates that are asked in the first pass, and candidates that are asked in a
# later pass if the first one refuses early.
FIRST_PASS_CANDIDATES_MAX = 32
FALLBACK_CANDIDATES_MAX = 4
# A request of a customer above its share waits for this fraction of its time
# limit. The rest lets its caller turn elsewhere; a slot that is granted later is
# often too late for the response to end in time.
OVER_SHARE_WAIT_FRACTION = 0.5
# Wait for a candidate in an empty group.
EMPTY_GROUP_WAIT_S = 2.0


@dataclass(frozen=True)
class SlotOptions:
    """State of a request that matters when it asks for a slot.

    Attributes
    ----------
    recallable : bool
        Whether the home instance may recall the slot before the request ends.
    resumed : bool
        Whether an earlier attempt has been sent.
    recalled_from : UpstreamId or None
        Upstream of the last attempt if its slot was recalled; it is tried first.
    """

    recallable: bool = False
    resumed: bool = False
    recalled_from: UpstreamId | None = None


DEFAULT_OPTIONS = SlotOptions()


class HeldSlot:
    """A slot that is released exactly once."""

    def __init__(self, admission: AdmissionService, slot: Slot) -> None:
        self.slot = slot
        self._admission = admission
        self._lock = threading.Lock()
        self._released = False

    def release(self, outcome: SlotOutcome, first_byte_s: float | None = None) -> None:
        """Release the slot; later calls do nothing."""
        with self._lock:
            released, self._released = self._released, True
        if not released:
            self._admission.release(self.slot, outcome, first_byte_s)

    def set_recall_callback(self, callback: Callable[[], None]) -> None:
        """Call ``callback``, which must not block, when the slot is recalled."""
        self._admission.set_recall_callback(self.slot, callback)


class SlotFinder:
    """Acquires slots for calls."""

    def __init__(
        self, *, placement: PlacementService, admission: AdmissionService, clock: Clock
    ) -> None:
        self._placement = placement
        self._admission = admission
        self._clock = clock

    def search(
        self,
        call: ResolvedRequest,
        key: str,
        deadline: float,
        excluded: set[UpstreamId],
        options: SlotOptions = DEFAULT_OPTIONS,
    ) -> Iterator[HeldSlot | None]:
        """Yield ``None`` after each pass without a slot, and finally the slot.

        Parameters
        ----------
        call : ResolvedRequest
        key : str
            Request key, which differs between the attempts of a request.
        deadline : float
            In the monotonic time of the clock.
        excluded : set of UpstreamId
            Upstreams that failed this request; cleared when no other is left.
        options : SlotOptions, optional

        Raises
        ------
        Overloaded
            At the deadline, or when the customer is above its share and its
            preferred upstream has no slot for it within half of the time limit.
        NotReady
            If the group remains without candidates.
        """
        # A request that may have run may be a stream that has begun, which may wait
        # until its deadline.
        may_have_run = bool(excluded) or options.resumed
        search_started_at = self._clock.monotonic()
        empty_group_deadline = min(deadline, search_started_at + EMPTY_GROUP_WAIT_S)
        refusal: SlotRefused | None = None
        is_first_pass = True
        while True:
            pass_started_at = self._clock.monotonic()
            candidates = self._rank(call, excluded, options.recalled_from)
            if candidates:
                empty_group_deadline = min(
                    deadline, pass_started_at + EMPTY_GROUP_WAIT_S
                )
            elif pass_started_at >= empty_group_deadline:
                raise NotReady("no upstream is available")
            if pass_started_at >= deadline:
                raise make_overloaded("no capacity before the deadline", refusal)
            # Only the preferred engine has cached the prefix of the chat.
            has_prefix = call.document is not None and not excluded
            over_share = None
            for upstream, wait_s in self._plan_requests(
                candidates, is_first_pass, has_prefix
            ):
                slot_or_refusal = self._request_slot(
                    call, key, upstream, wait_s, deadline, options
                )
                if isinstance(slot_or_refusal, HeldSlot):
                    yield slot_or_refusal
                    return
                refusal = slot_or_refusal or refusal
                if is_over_share(slot_or_refusal) and upstream is candidates[0]:
                    over_share = slot_or_refusal
                if (
                    self._clock.monotonic() - pass_started_at >= RETRY_INTERVAL_S / 2
                    and not is_first_pass
                ):
                    break
            if over_share is not None and not may_have_run:
                self._check_over_share(over_share, search_started_at, deadline)
            if not is_first_pass or not candidates:
                remaining_s = RETRY_INTERVAL_S - (
                    self._clock.monotonic() - pass_started_at
                )
                self._clock.wait(threading.Event(), max(0.0, remaining_s))
                yield None
            is_first_pass = is_first_pass and not candidates

    def _check_over_share(
        self, refusal: SlotRefused, search_started_at: float, deadline: float
    ) -> None:
        """Raise ``Overloaded`` if the customer's next slot would be too late."""
        now = self._clock.monotonic()
        next_interval_ends_at = now + refusal.retry_after_ms / 1000
        wait_deadline = search_started_at + OVER_SHARE_WAIT_FRACTION * (
            deadline - search_started_at
        )
        if (
            next_interval_ends_at > deadline
            or now + PASS_DURATION_MAX_S > wait_deadline
        ):
            raise make_overloaded("the customer is above its share", refusal)

    def _plan_requests(
        self, candidates: list[ListedUpstream], is_first_pass: bool, has_prefix: bool
    ) -> Iterator[tuple[ListedUpstream, float]]:
        if is_first_pass and candidates:
            yield candidates[0], PREFERRED_UPSTREAM_WAIT_S if has_prefix else 0.0
            yield from (
                (upstream, 0.0) for upstream in candidates[1:FIRST_PASS_CANDIDATES_MAX]
            )
        elif candidates:
            yield candidates[0], RETRY_INTERVAL_S
            yield from (
                (upstream, 0.0)
                for upstream in candidates[1 : 1 + FALLBACK_CANDIDATES_MAX]
            )

    def _rank(
        self,
        call: ResolvedRequest,
        excluded: set[UpstreamId],
        recalled_from: UpstreamId | None,
    ) -> list[ListedUpstream]:
        ranked = self._placement.rank(
            call.customer, call.group, call.affinity_key, call.placement_token
        )
        available = [upstream for upstream in ranked if upstream.id not in excluded]
        if ranked and not available:
            excluded.clear()
        return sorted(available, key=lambda upstream: upstream.id != recalled_from)

    def _request_slot(
        self,
        call: ResolvedRequest,
        key: str,
        upstream: ListedUpstream,
        wait_s: float,
        deadline: float,
        options: SlotOptions,
    ) -> HeldSlot | SlotRefused | None:
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            return None
        result = self._admission.acquire(
            SlotDemand(
                request_key=key,
                upstream=upstream,
                customer=call.customer.id,
                priority=call.priority,
                share=call.customer.share,
                wait_s=min(wait_s, remaining),
                deadline_s=remaining,
                recallable=options.recallable,
                resumed=options.resumed,
            )
        )
        if is_successful(result):
            return HeldSlot(self._admission, result.unwrap())
        return result.failure()


def is_over_share(refusal: SlotRefused | None) -> bool:
    """Return whether the slot was refused because of the customer's share."""
    return refusal is not None and refusal.reason is SlotRefusalReason.OVER_SHARE


def make_overloaded(message: str, refusal: SlotRefused | None) -> Overloaded:
    """Return an error with the retry time of the last refusal, if any."""
    return Overloaded(message, None, refusal.retry_after_ms if refusal else None)


__all__ = ["HeldSlot", "SlotFinder", "SlotOptions"]
