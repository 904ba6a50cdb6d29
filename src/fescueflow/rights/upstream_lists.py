"""Lease requests that refer to the upstream list of an earlier request.

A home renews the same upstreams with a holder for hours, and their references
make up most of a request. A request may therefore refer to the list of an
earlier request of the same incarnation that the holder answered. A holder that
doesn't know the list answers without shares, and the home sends the list again.
"""

import threading
from collections.abc import Sequence
from dataclasses import dataclass

from fescueflow.core import Incarnation, InstanceId, UpstreamRef
from fescueflow.schema import LeaseRequest

# Holders discard the list of a home that sent no request for this time; the home
# then has to send it again.
LIST_LIFETIME_S = 30.0
# The field ``repeats`` of a request has 32 bits.
REPEATS_MAX = 0xFFFFFFFF


class SentUpstreamLists:
    """Latest list that this home sent to each holder, and whether it was answered."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sent: dict[InstanceId, tuple[int, tuple[UpstreamRef, ...]]] = {}
        self._confirmed: set[InstanceId] = set()

    def make_request(
        self, holder: InstanceId, upstreams: Sequence[UpstreamRef], sequence: int
    ) -> LeaseRequest:
        """Return a request, without the list if the holder already has it."""
        listed = tuple(upstreams)
        with self._lock:
            list_sequence, known = self._sent.get(holder, (sequence, ()))
            repeats = sequence - list_sequence
            confirmed = holder in self._confirmed and known == listed
            if confirmed and 0 < repeats <= REPEATS_MAX:
                return LeaseRequest(sequence, [], repeats)
            self._sent[holder] = sequence, listed
            self._confirmed.discard(holder)
            return LeaseRequest(sequence, list(listed), 0)

    def confirm(self, holder: InstanceId, sequence: int) -> None:
        """Record that the holder answered a request."""
        with self._lock:
            if holder in self._sent and self._sent[holder][0] == sequence:
                self._confirmed.add(holder)

    def unconfirm(self, holder: InstanceId) -> bool:
        """Send the next list in full; return whether the last one was confirmed."""
        with self._lock:
            was_confirmed = holder in self._confirmed
            self._confirmed.discard(holder)
            return was_confirmed

    def keep_only(self, holders: set[InstanceId]) -> None:
        """Remove the lists of all other holders."""
        with self._lock:
            self._sent = {k: v for k, v in self._sent.items() if k in holders}
            self._confirmed &= holders


@dataclass
class ReceivedUpstreamList:
    """Upstream list of one home incarnation."""

    incarnation: Incarnation
    sequence: int
    upstreams: list[UpstreamRef]
    last_request_at: float


class ReceivedUpstreamLists:
    """Latest list of each home that sends requests to this holder."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lists: dict[InstanceId, ReceivedUpstreamList] = {}

    def resolve(
        self, home: tuple[InstanceId, Incarnation], request: LeaseRequest, now: float
    ) -> list[UpstreamRef] | None:
        """Return the upstreams of a request, ``None`` if it refers to an unknown list.

        A request that arrives after a later one does not replace its list.
        """
        with self._lock:
            known = self._lists.get(home[0])
            same_incarnation = known is not None and known.incarnation == home[1]
            if request.repeats:
                if known is None or not same_incarnation:
                    return None
                if request.sequence - request.repeats != known.sequence:
                    return None
                known.last_request_at = now
                return known.upstreams
            upstreams = [UpstreamRef(ref) for ref in request.upstreams]
            if (
                known is None
                or not same_incarnation
                or request.sequence > known.sequence
            ):
                received = ReceivedUpstreamList(
                    home[1], request.sequence, upstreams, now
                )
                self._lists[home[0]] = received
            return upstreams

    def remove_expired_lists(self, now: float) -> None:
        """Remove the lists of homes without a recent request."""
        with self._lock:
            self._lists = {
                k: v
                for k, v in self._lists.items()
                if now - v.last_request_at < LIST_LIFETIME_S
            }


__all__ = ["ReceivedUpstreamLists", "SentUpstreamLists"]
