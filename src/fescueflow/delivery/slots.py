"""Search for a slot among the candidates of a call."""

import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from returns.pipeline import is_successful

from fescueflow.admission import AdmissionService, Slot, SlotDemand, SlotRefused
from fescueflow.core import Clock, NotReady, Overloaded, UpstreamId
from fescueflow.delivery.calls import ResolvedCall
from fescueflow.placement import PlacementService
from fescueflow.platform import ListedUpstream
from fescueflow.schema import SlotOutcome, SlotRefusalReason

SLICE_S = 0.2
# An interval with the requests to other candidates after it takes up to this long.
PASS_MAX_S = 0.3
# How long a model request first waits at its preferred engine: a chat that
# moves on at once computes its prefix again, which costs more than the wait.
PREFERRED_WAIT_S = 0.1
# Limits of slot requests in the first pass, and per slice when the first
# candidate refuses without waiting.
FIRST_PASS_MAX = 32
PROBES_MAX = 4
# A request of a customer above its share waits for this part of its deadline. In
# the rest its caller can still turn elsewhere, and a slot that comes later is
# often too late for the answer to end in time.
OVER_SHARE_PART = 0.5
# How long a group without any candidate is waited for.
EMPTY_GROUP_WAIT_S = 2.0


@dataclass(frozen=True)
class SlotTerms:
    """What a home needs to know about the state of a request.

    Attributes
    ----------
    recallable : bool
        Whether the slot can be given back early.
    resumed : bool
        Whether the request has run in part.
    latest : UpstreamId or None
        Upstream to try first, where the request ran until its slot was recalled.
    """

    recallable: bool = False
    resumed: bool = False
    latest: UpstreamId | None = None


FIRST_TERMS = SlotTerms()


class HeldSlot:
    """A slot that is given back exactly once."""

    def __init__(self, admission: AdmissionService, slot: Slot) -> None:
        self.slot = slot
        self._admission = admission
        self._lock = threading.Lock()
        self._released = False

    def release(self, outcome: SlotOutcome, first_byte_s: float | None = None) -> None:
        """Give the slot back; later calls do nothing."""
        with self._lock:
            released, self._released = self._released, True
        if not released:
            self._admission.release(self.slot, outcome, first_byte_s)

    def watch_recall(self, callback: Callable[[], None]) -> None:
        """Call back, without blocking, when the home asks for the slot."""
        self._admission.watch_recall(self.slot, callback)


class SlotFinder:
    """Acquires slots."""

    def __init__(
        self, *, placement: PlacementService, admission: AdmissionService, clock: Clock
    ) -> None:
        self._placement = placement
        self._admission = admission
        self._clock = clock

    def search(
        self,
        call: ResolvedCall,
        key: str,
        deadline: float,
        excluded: set[UpstreamId],
        terms: SlotTerms = FIRST_TERMS,
    ) -> Iterator[HeldSlot | None]:
        """Yield ``None`` after each interval without a slot, finally the slot.

        Parameters
        ----------
        call : ResolvedCall
        key : str
        deadline : float
        excluded : set of UpstreamId
            Upstreams that failed this request; cleared when none is left.
        terms : SlotTerms, optional

        Raises
        ------
        Overloaded
            At the deadline, or when the customer is above its share and its
            preferred home has no slot for it within half of the deadline.
        NotReady
            If the group stays without candidates.
        """
        # A request that ran at an upstream may have begun a stream, which goes on
        # as long as its deadline allows.
        has_run = bool(excluded) or terms.resumed
        began = self._clock.monotonic()
        empty_until = min(deadline, began + EMPTY_GROUP_WAIT_S)
        refused: SlotRefused | None = None
        is_first = True
        while True:
            started = self._clock.monotonic()
            candidates = self._rank(call, excluded, terms.latest)
            if candidates:
                empty_until = min(deadline, started + EMPTY_GROUP_WAIT_S)
            elif started >= empty_until:
                raise NotReady("no upstream is available")
            if started >= deadline:
                raise make_overloaded("no capacity before the deadline", refused)
            # Other engines than the preferred one hold no prefix of the chat.
            has_prefix = call.document is not None and not excluded
            over_share = None
            for upstream, wait_s in self._plan(candidates, is_first, has_prefix):
                answer = self._ask(call, key, upstream, wait_s, deadline, terms)
                if isinstance(answer, HeldSlot):
                    yield answer
                    return
                refused = answer or refused
                if is_over_share(answer) and upstream is candidates[0]:
                    over_share = answer
                if self._clock.monotonic() - started >= SLICE_S / 2 and not is_first:
                    break
            if over_share is not None and not has_run:
                self._check_over_share(over_share, began, deadline)
            if not is_first or not candidates:
                rest_s = SLICE_S - (self._clock.monotonic() - started)
                self._clock.wait(threading.Event(), max(0.0, rest_s))
                yield None
            is_first = is_first and not candidates

    def _check_over_share(
        self, refused: SlotRefused, began: float, deadline: float
    ) -> None:
        """Raise ``Overloaded`` if the customer's next interval would be too late."""
        now = self._clock.monotonic()
        ends_at = now + refused.retry_after_ms / 1000
        waits_until = began + OVER_SHARE_PART * (deadline - began)
        if ends_at > deadline or now + PASS_MAX_S > waits_until:
            raise make_overloaded("the customer is above its share", refused)

    def _plan(
        self, candidates: list[ListedUpstream], is_first: bool, has_prefix: bool
    ) -> Iterator[tuple[ListedUpstream, float]]:
        if is_first and candidates:
            yield candidates[0], PREFERRED_WAIT_S if has_prefix else 0.0
            yield from ((upstream, 0.0) for upstream in candidates[1:FIRST_PASS_MAX])
        elif candidates:
            yield candidates[0], SLICE_S
            yield from ((upstream, 0.0) for upstream in candidates[1 : 1 + PROBES_MAX])

    def _rank(
        self,
        call: ResolvedCall,
        excluded: set[UpstreamId],
        latest: UpstreamId | None,
    ) -> list[ListedUpstream]:
        ranked = self._placement.rank(
            call.customer, call.group, call.affinity_key, call.token
        )
        left = [upstream for upstream in ranked if upstream.id not in excluded]
        if ranked and not left:
            excluded.clear()
        return sorted(left, key=lambda upstream: upstream.id != latest)

    def _ask(
        self,
        call: ResolvedCall,
        key: str,
        upstream: ListedUpstream,
        wait_s: float,
        deadline: float,
        terms: SlotTerms,
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
                recallable=terms.recallable,
                resumed=terms.resumed,
            )
        )
        if is_successful(result):
            return HeldSlot(self._admission, result.unwrap())
        return result.failure()


def is_over_share(refused: SlotRefused | None) -> bool:
    """Return whether a home refused because of the customer's share."""
    return refused is not None and refused.reason is SlotRefusalReason.OVER_SHARE


def make_overloaded(message: str, refused: SlotRefused | None) -> Overloaded:
    """Return the error of a search that ends with this refusal."""
    return Overloaded(message, None, refused.retry_after_ms if refused else None)


__all__ = ["HeldSlot", "SlotFinder", "SlotTerms"]
