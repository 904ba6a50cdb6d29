"""Share leases that this instance obtained as home."""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fescueflow.core import Incarnation, InstanceId, UpstreamRef
from fescueflow.rights.shares import ShareLease, list_shares

Holder = tuple[InstanceId, Incarnation]


@dataclass(frozen=True)
class PendingRequest:
    """A lease request that has not been answered yet."""

    holder: InstanceId
    upstreams: tuple[UpstreamRef, ...]
    sent_at: float


@dataclass(frozen=True)
class HeldLease:
    """A lease and the instance that granted it."""

    holder: Holder
    lease: ShareLease


class LeaseTable:
    """Leases by upstream and share.

    A lease starts here before its request is sent and at the holder when the
    request arrives, so it never ends earlier at the holder than here.

    Parameters
    ----------
    lease_s : float
        Duration of a lease.
    first_sequence : int, optional
        Must differ between incarnations: a grant identifies its upstreams only
        by the request's sequence, and a late grant may reach the next incarnation.
    """

    def __init__(self, lease_s: float, first_sequence: int = 0) -> None:
        self._lease_s = lease_s
        self._lock = threading.Lock()
        self._sequence = first_sequence
        self._pending: dict[int, PendingRequest] = {}
        self._leases: dict[UpstreamRef, dict[int, HeldLease]] = {}

    def open_request(
        self, holder: InstanceId, upstreams: Iterable[UpstreamRef], now: float
    ) -> int:
        """Record a request before it is sent and return its sequence."""
        with self._lock:
            self._pending = {
                k: p
                for k, p in self._pending.items()
                if now - p.sent_at < self._lease_s
            }
            self._sequence += 1
            self._pending[self._sequence] = PendingRequest(
                holder, tuple(upstreams), now
            )
            return self._sequence

    def find_upstreams(
        self, holder: InstanceId, sequence: int
    ) -> tuple[UpstreamRef, ...]:
        """Return the upstreams of a pending request in order, empty if unknown."""
        with self._lock:
            request = self._pending.get(sequence)
            known = request is not None and request.holder == holder
            return request.upstreams if request and known else ()

    def accept(
        self,
        holder: Holder,
        sequence: int,
        granted: Mapping[UpstreamRef, int],
        now: float,
    ) -> PendingRequest | None:
        """Add the leases of a grant and return its request.

        Returns
        -------
        PendingRequest or None
            ``None`` if the grant answers no pending request.
        """
        with self._lock:
            request = self._pending.get(sequence)
            if request is None or request.holder != holder[0]:
                return None
            del self._pending[sequence]
            expires_at = request.sent_at + self._lease_s
            if expires_at <= now:
                return request
            for upstream, bits in granted.items():
                if upstream in request.upstreams:
                    self._extend(holder, upstream, bits, now, expires_at)
            return request

    def _extend(
        self,
        holder: Holder,
        upstream: UpstreamRef,
        bits: int,
        now: float,
        expires_at: float,
    ) -> None:
        by_share = self._leases.setdefault(upstream, {})
        for share in list_shares(bits):
            current = by_share.get(share)
            acquired_at, ends_at = now, expires_at
            if current and current.lease.expires_at > now:
                previous_expiry = current.lease.expires_at
                if current.holder == holder:
                    acquired_at = current.lease.acquired_at
                    ends_at = max(expires_at, previous_expiry)
            by_share[share] = HeldLease(holder, ShareLease(share, acquired_at, ends_at))

    def get_leases(self, upstream: UpstreamRef, now: float) -> tuple[ShareLease, ...]:
        """Return the unexpired leases of an upstream."""
        with self._lock:
            by_share = self._leases.get(upstream, {})
            return tuple(
                by_share[s].lease
                for s in sorted(by_share)
                if by_share[s].lease.expires_at > now
            )

    def clear(self) -> dict[InstanceId, list[UpstreamRef]]:
        """Remove all leases and return their upstreams by holder."""
        with self._lock:
            returned: dict[InstanceId, set[UpstreamRef]] = {}
            for upstream, by_share in self._leases.items():
                for held in by_share.values():
                    returned.setdefault(held.holder[0], set()).add(upstream)
            self._leases.clear()
            self._pending.clear()
            return {holder: sorted(refs) for holder, refs in returned.items()}

    def remove_expired(self, now: float) -> None:
        """Remove expired leases."""
        with self._lock:
            for upstream, by_share in list(self._leases.items()):
                for share, held in list(by_share.items()):
                    if held.lease.expires_at <= now:
                        del by_share[share]
                if not by_share:
                    del self._leases[upstream]


__all__ = ["HeldLease", "Holder", "LeaseTable", "PendingRequest"]
