"""Sends load digests to the other members of the region."""

from collections.abc import Callable

from fescueflow.admission.loads import compute_digest_times, split_batches
from fescueflow.membership import MembershipService
from fescueflow.schema import LoadDigest, UpstreamLoad
from fescueflow.transport import DatagramEndpoint


class DigestSender:
    """Sends the loads of the upstreams whose home this instance is.

    Not safe for use from several threads.

    Parameters
    ----------
    membership : MembershipService
    endpoint : DatagramEndpoint
    list_loads : callable
        Returns the loads of the upstreams whose home this instance is.

    Notes
    -----
    A receiver counts an upstream without a digest as idle. A load of zero is
    therefore sent only while receivers may still keep an earlier load, and an
    idle instance sends no digests.
    """

    def __init__(
        self,
        *,
        membership: MembershipService,
        endpoint: DatagramEndpoint,
        list_loads: Callable[[], list[UpstreamLoad]],
    ) -> None:
        self.times = compute_digest_times(0)
        self._membership = membership
        self._endpoint = endpoint
        self._list_loads = list_loads
        self._sent_at = float("-inf")
        self._sent_loads: dict[int, int] = {}
        self._sequence = 0
        self._announced_until: dict[int, float] = {}

    def send_when_due(self, now: float) -> None:
        """Send a digest if its interval, shorter after a change, has passed."""
        age_s = now - self._sent_at
        if age_s < self.times.changed_s:
            return
        own = self._membership.get_own_member()
        peers = [
            member.peer_address
            for member in self._membership.get_members()
            if member.region == own.region and member.instance != own.instance
        ]
        self.times = times = compute_digest_times(len(peers))
        entries = self._choose_entries(now)
        loads = {entry.upstream: entry.in_flight for entry in entries}
        changed = loads != self._sent_loads
        if age_s < (times.changed_s if changed else times.unchanged_s):
            return
        self._sent_at = now
        self._sent_loads = loads
        for part in split_batches(entries):
            self._sequence += 1
            self._endpoint.send_all(peers, LoadDigest(self._sequence, part))

    def _choose_entries(self, now: float) -> list[UpstreamLoad]:
        """Return the loads that differ from what receivers assume without a digest."""
        entries = self._list_loads()
        expires_at = now + self.times.lifetime_s
        self._announced_until.update(
            {e.upstream: expires_at for e in entries if e.in_flight}
        )
        for upstream in [
            u for u, expires_at in self._announced_until.items() if expires_at <= now
        ]:
            del self._announced_until[upstream]
        return [entry for entry in entries if entry.upstream in self._announced_until]


__all__ = ["DigestSender"]
