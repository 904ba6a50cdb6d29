"""Shares that this instance lends to the homes of upstreams."""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fescueflow.core import Incarnation, InstanceId, UpstreamRef
from fescueflow.rights.shares import list_shares

Borrower = tuple[InstanceId, Incarnation]


@dataclass(frozen=True)
class Loan:
    """Borrower of a share; no other may get the share before ``expires_at``."""

    borrower: Borrower
    expires_at: float


class LoanTable:
    """Loans by upstream and share.

    A share is lent to one home incarnation at a time. A loan is kept when this
    instance loses the share and holds it again, because the borrower may still
    use it.

    Parameters
    ----------
    lease_s : float
        Duration of a loan.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._lock = threading.Lock()
        self._loans: dict[tuple[UpstreamRef, int], Loan] = {}
        # Home that requested an upstream last, and when.
        self._claims: dict[UpstreamRef, tuple[Borrower, float]] = {}

    def lend(
        self,
        borrower: Borrower,
        held: Mapping[UpstreamRef, int],
        homes: Mapping[UpstreamRef, InstanceId | None],
        now: float,
    ) -> tuple[dict[UpstreamRef, int], list[Loan]]:
        """Lend held shares that are free or already lent to the borrower.

        Parameters
        ----------
        borrower : tuple of InstanceId and Incarnation
        held : mapping of UpstreamRef to int
            Bits of the shares that may be lent now.
        homes : mapping of UpstreamRef to InstanceId or None
            Home of each upstream according to this instance's membership. While
            this home sends requests, no other instance's loan is renewed, so that
            a former home does not keep the shares.
        now : float
            Time of receipt; the loans last for the lease duration from it.

        Returns
        -------
        granted : dict of UpstreamRef to int
        displaced : list of Loan
            Unexpired loans of other borrowers that were overwritten; must be
            empty.
        """
        with self._lock:
            granted: dict[UpstreamRef, int] = {}
            displaced: list[Loan] = []
            for upstream, bits in held.items():
                if homes.get(upstream) == borrower[0]:
                    self._claims[upstream] = (borrower, now)
                elif self._is_claimed(upstream, borrower, now):
                    granted[upstream] = 0
                    continue
                lent = self._select_free_shares(borrower, upstream, bits, now)
                granted[upstream] = lent
                for share in list_shares(lent):
                    previous = self._loans.get((upstream, share))
                    loan = Loan(borrower, now + self._lease_s)
                    self._loans[upstream, share] = loan
                    if (
                        previous
                        and previous.expires_at > now
                        and previous.borrower != borrower
                    ):
                        displaced.append(previous)
            return granted, displaced

    def _is_claimed(
        self, upstream: UpstreamRef, borrower: Borrower, now: float
    ) -> bool:
        claim = self._claims.get(upstream)
        return (
            claim is not None
            and claim[0] != borrower
            and now - claim[1] < self._lease_s
        )

    def _select_free_shares(
        self, borrower: Borrower, upstream: UpstreamRef, bits: int, now: float
    ) -> int:
        free = 0
        for share in list_shares(bits):
            loan = self._loans.get((upstream, share))
            if loan is None or loan.borrower == borrower or loan.expires_at <= now:
                free |= 1 << share
        return free

    def return_shares(
        self, borrower: Borrower, upstreams: Iterable[UpstreamRef]
    ) -> None:
        """End the loans and claims of a home that returns its leases."""
        returned = set(upstreams)
        with self._lock:
            for key, loan in list(self._loans.items()):
                if key[0] in returned and loan.borrower == borrower:
                    del self._loans[key]
            for upstream in returned:
                claim = self._claims.get(upstream)
                if claim and claim[0] == borrower:
                    del self._claims[upstream]

    def remove_expired(self, now: float) -> None:
        """Remove expired loans and claims."""
        with self._lock:
            self._loans = {k: v for k, v in self._loans.items() if v.expires_at > now}
            self._claims = {
                k: v for k, v in self._claims.items() if now - v[1] < self._lease_s
            }

    def get_loans(self, now: float) -> dict[tuple[UpstreamRef, int], Loan]:
        """Return the unexpired loans."""
        with self._lock:
            return {k: v for k, v in self._loans.items() if v.expires_at > now}


__all__ = ["Borrower", "Loan", "LoanTable"]
