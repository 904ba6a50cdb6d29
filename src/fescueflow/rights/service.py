"""Service that lends held shares and, as home, leases shares of holders."""

import threading

import logbook

from fescueflow.configuration import ConfigurationStore
from fescueflow.core import (
    Clock,
    Incarnation,
    InstanceId,
    UpstreamId,
    UpstreamRef,
    hash_upstream,
)
from fescueflow.invariants import Invariant, Invariants
from fescueflow.membership import (
    ListService,
    Member,
    MembershipService,
    PauseDetector,
)
from fescueflow.metrics import Metrics
from fescueflow.platform import ListedUpstream, ListSnapshot
from fescueflow.rights.fence import Fence
from fescueflow.rights.holdings import PeerReachability, ShareTable
from fescueflow.rights.homes import HomeMap, UpstreamIndex
from fescueflow.rights.leases import LeaseTable
from fescueflow.rights.lending import LoanTable
from fescueflow.rights.shares import (
    NO_SHARES,
    SLOT_START_TIMEOUT_S,
    LeasedShares,
)
from fescueflow.rights.upstream_lists import ReceivedUpstreamLists, SentUpstreamLists
from fescueflow.schema import LeaseGrant, LeaseRequest, LeaseReturn
from fescueflow.settings import Settings
from fescueflow.transport import DatagramEndpoint, Sender

LOG = logbook.Logger("rights")

# A reference takes 8 bytes and a datagram has at most 1,400 bytes.
UPSTREAMS_PER_DATAGRAM = 60
SEQUENCE_MASK = 0xFFFFFFFF
# An unanswered request is sent again within the renewal interval; otherwise one
# lost datagram would use up a third of the lease duration.
ATTEMPTS_PER_RENEWAL = 3
READING_GAP_INTERVALS = 3
JOIN_TIMEOUT_S = 2.0


class RightsService:
    """Shares, homes and leases of one instance.

    Parameters
    ----------
    settings : Settings
    membership : MembershipService
    list_service : ListService
    store : ConfigurationStore
    endpoint : DatagramEndpoint
    clock : Clock
    pause_detector : PauseDetector
    metrics : Metrics
    invariants : Invariants
    """

    def __init__(
        self,
        *,
        settings: Settings,
        membership: MembershipService,
        list_service: ListService,
        store: ConfigurationStore,
        endpoint: DatagramEndpoint,
        clock: Clock,
        pause_detector: PauseDetector,
        metrics: Metrics,
        invariants: Invariants,
    ) -> None:
        self._membership = membership
        self._list_service = list_service
        self._store = store
        self._endpoint = endpoint
        self._clock = clock
        self._metrics = metrics
        self._invariants = invariants
        self._own_id = InstanceId(settings.instance_id)
        self._lease_s = settings.lease_ms / 1000
        self._renew_s = settings.lease_renew_ms / 1000
        self._table = ShareTable(
            self._own_id,
            settings.share_hold_down_ms / 1000,
            READING_GAP_INTERVALS * settings.list_interval_ms / 1000,
            settings.list_lag_max_ms / 1000,
            lambda: membership.set_never_held(False),
        )
        membership.set_never_held(True)
        self._lending = LoanTable(self._lease_s)
        first = membership.get_own_member().incarnation & SEQUENCE_MASK
        self._leases = LeaseTable(self._lease_s, first)
        self._sent, self._received = SentUpstreamLists(), ReceivedUpstreamLists()
        self._homes = HomeMap(membership=membership, clock=clock)
        self._index = UpstreamIndex()
        self._fence = Fence(
            pause_detector=pause_detector,
            membership=membership,
            list_service=list_service,
            clock=clock,
        )
        self._lock = threading.Lock()
        self._home_since: dict[UpstreamId, float] = {}
        # Send times of the last request to a holder and of the last answered one.
        self._renewals: dict[InstanceId, tuple[float, float]] = {}
        self._returning = False
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self._register()

    def _register(self) -> None:
        self._endpoint.register(LeaseRequest, self._handle_request)
        self._endpoint.register(LeaseGrant, self._handle_grant)
        self._endpoint.register(LeaseReturn, self._handle_return)
        self._list_service.subscribe(self._apply_snapshot)
        self._membership.subscribe(self._handle_membership_change)
        self._metrics.register_gauge("shares_held", self._table.count_held)
        self._metrics.register_gauge("homes", lambda: len(self._home_since))
        snapshot = self._list_service.get_snapshot()
        if snapshot is not None:
            self._apply_snapshot(snapshot)

    def start(self) -> None:
        """Start renewing leases."""
        if self._thread is None:
            self._thread = threading.Thread(
                target=self._run, name="lease-renewal", daemon=True
            )
            self._thread.start()

    def stop(self) -> None:
        """Stop renewing leases."""
        self._stopping.set()
        self._wake.set()
        if self._thread is not None:
            self._thread.join(JOIN_TIMEOUT_S)
            self._thread = None

    def choose_home(self, upstream: ListedUpstream) -> Member | None:
        """Return the instance that admits requests for an upstream."""
        return self._homes.choose(upstream)

    def is_home(self, upstream: ListedUpstream) -> bool:
        """Return whether this instance admits requests for an upstream."""
        home = self._homes.choose(upstream)
        return home is not None and home.instance == self._own_id

    def list_own_upstreams(self) -> list[ListedUpstream]:
        """Return the upstreams whose home is this instance."""
        snapshot = self._list_service.get_snapshot()
        if snapshot is None:
            return []
        return self._homes.list_upstreams_of(self._own_id, snapshot.upstreams)

    def get_shares(self, upstream_id: UpstreamId) -> LeasedShares:
        """Return the shares that may be used now; none if fenced or not home.

        Parameters
        ----------
        upstream_id : UpstreamId

        Returns
        -------
        LeasedShares
        """
        upstream = self._list_service.get_upstream(upstream_id)
        if upstream is None or self.is_fenced() or not self.is_home(upstream):
            return NO_SHARES
        now = self._clock.monotonic()
        with self._lock:
            since = self._home_since.get(upstream_id)
            if self._returning or since is None:
                return NO_SHARES
        leases = self._leases.get_leases(hash_upstream(upstream_id), now)
        bits = sum(1 << lease.share for lease in leases)
        expires_at = min((lease.expires_at for lease in leases), default=now)
        return LeasedShares(bits, expires_at, since, leases)

    def is_fenced(self) -> bool:
        """Return whether this instance must not lend shares or admit requests."""
        return self._fence.is_active() or not self._table.is_listed()

    def is_recovering(self) -> bool:
        """Return whether this instance's state may be outdated after a pause."""
        return self._fence.is_active()

    def get_last_pause_end(self) -> float | None:
        """Return when the last pause ended, ``None`` if there was none."""
        return self._fence.get_last_pause_end()

    def return_leases(self) -> None:
        """Return all leases and request none any more.

        The next homes can lease the shares at once. Waits until the requests of
        all granted slots must have started, because the next home sees started
        requests, but not granted slots.
        """
        with self._lock:
            self._returning = True
        self._clock.wait(threading.Event(), SLOT_START_TIMEOUT_S)
        listed = self._list_service.get_snapshot()
        addresses = {i.id: i.peer_address for i in listed.instances} if listed else {}
        own = self._membership.get_own_member()
        for holder, refs in self._leases.clear().items():
            if holder == own.instance:
                self._lending.return_shares((own.instance, own.incarnation), refs)
                continue
            for part in split_batches(refs):
                if holder in addresses:
                    self._endpoint.send(addresses[holder], LeaseReturn(list(part)))

    def renew(self) -> None:
        """Update the upstreams that this instance is home of and renew due leases."""
        now = self._clock.monotonic()
        snapshot = self._list_service.get_snapshot()
        fenced = self.is_fenced()
        if snapshot is None or fenced or self._returning:
            with self._lock:
                self._home_since.clear()
            return
        homes = {u.id for u in self.list_own_upstreams()}
        with self._lock:
            lost = self._home_since.keys() - homes
            gained = homes - self._home_since.keys()
            for name in lost:
                del self._home_since[name]
            self._home_since.update(dict.fromkeys(gained, now))
        self._leases.remove_expired(now)
        self._lending.remove_expired(now)
        self._received.remove_expired_lists(now)
        holders_of_gained: set[InstanceId] = set()
        refs_by_holder: dict[InstanceId, list[UpstreamRef]] = {}
        addresses: dict[InstanceId, str] = {}
        for name in sorted(homes):
            holders = self._table.get_holders(hash_upstream(name))
            addresses.update(holders)
            holders_of_gained.update(holders if name in gained else ())
            for holder in holders:
                refs_by_holder.setdefault(holder, []).append(hash_upstream(name))
        self._sent.keep_only(set(refs_by_holder))
        for holder, refs in refs_by_holder.items():
            if holder in holders_of_gained or self._is_due(holder, now):
                self._request_leases(holder, addresses[holder], refs)

    def _is_due(self, holder: InstanceId, now: float) -> bool:
        with self._lock:
            sent_at, answered_at = self._renewals.get(holder, (-1e9, -1e9))
        # Float rounding must not skip a wake-up exactly at the interval.
        tolerance_s = 1e-6
        if answered_at >= sent_at:
            return now - sent_at >= self._renew_s - tolerance_s
        return now - sent_at >= self._renew_s / ATTEMPTS_PER_RENEWAL - tolerance_s

    def _request_leases(
        self, holder: InstanceId, address: str, refs: list[UpstreamRef]
    ) -> None:
        own = self._membership.get_own_member()
        for part in split_batches(refs):
            now = self._clock.monotonic()
            with self._lock:
                answered_at = self._renewals.get(holder, (0.0, -1e9))[1]
                self._renewals[holder] = (now, answered_at)
            sequence = self._leases.open_request(holder, part, now)
            if holder != own.instance:
                request = self._sent.make_request(holder, part, sequence)
                self._endpoint.send(address, request)
                continue
            granted = self._grant_shares((own.instance, own.incarnation), part)
            self._accept_grant((own.instance, own.incarnation), sequence, granted)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.clear()
            try:
                self.renew()
            except Exception:
                # The thread must survive an error: without renewal this instance
                # would never admit a request again.
                LOG.exception("lease renewal failed")
                self._metrics.count("task_failures", task="lease_renewal")
            self._clock.wait(self._wake, self._renew_s / ATTEMPTS_PER_RENEWAL)

    def _handle_membership_change(self) -> None:
        self._homes.invalidate()
        self._wake.set()

    def _apply_snapshot(self, snapshot: ListSnapshot) -> None:
        own = self._own_id
        members = [m for m in self._membership.get_members() if m.instance != own]
        peers = PeerReachability(
            frozenset(m.instance for m in members if m.list_readable),
            frozenset(m.instance for m in members if not m.list_readable),
            frozenset(
                (m.instance, m.incarnation)
                for m in members
                if m.never_held and not m.list_readable
            ),
        )
        self._table.apply(snapshot, peers)
        self._fence.record_reading(snapshot.read_at)
        self._wake.set()

    def _grant_shares(
        self, borrower: tuple[InstanceId, Incarnation], refs: list[UpstreamRef]
    ) -> dict[UpstreamRef, int]:
        if self.is_fenced():
            self._metrics.count("lease_requests_fenced")
            return {}
        held = self._find_lendable_shares(refs)
        homes = self._find_homes(set(held))
        now = self._clock.monotonic()
        granted, displaced = self._lending.lend(borrower, held, homes, now)
        self._invariants.check(
            Invariant.SHARE_LENT_ONCE,
            not displaced,
            displaced=[loan.borrower[0] for loan in displaced],
        )
        return granted

    def _find_lendable_shares(self, refs: list[UpstreamRef]) -> dict[UpstreamRef, int]:
        if self._list_service.is_readable():
            return {ref: self._table.get_held(ref) for ref in refs}
        listed = self._table.get_listed()
        unlisted = [
            m.instance for m in self._membership.get_live() if m.instance not in listed
        ]
        return {ref: self._table.get_held_without(ref, unlisted) for ref in refs}

    def _find_homes(
        self, refs: set[UpstreamRef]
    ) -> dict[UpstreamRef, InstanceId | None]:
        snapshot = self._list_service.get_snapshot()
        listed = self._index.find(snapshot.upstreams, refs) if snapshot else {}
        chosen = {ref: self._homes.choose(item) for ref, item in listed.items()}
        return {ref: home.instance if home else None for ref, home in chosen.items()}

    def _accept_grant(
        self,
        holder: tuple[InstanceId, Incarnation],
        sequence: int,
        granted: dict[UpstreamRef, int],
    ) -> None:
        now = self._clock.monotonic()
        request = self._leases.accept(holder, sequence, granted, now)
        if request is None:
            self._metrics.count("lease_grants_unmatched")
            return
        with self._lock:
            sent_at, answered_at = self._renewals.get(holder[0], (now, now))
            answered_at = max(answered_at, request.sent_at)
            self._renewals[holder[0]] = (sent_at, answered_at)

    def _handle_request(self, sender: Sender, content: LeaseRequest) -> None:
        home = (sender.instance, sender.incarnation)
        refs = self._received.resolve(home, content, self._clock.monotonic())
        if refs is None:
            self._metrics.count("lease_requests_unknown")
            self._endpoint.send(sender.address, LeaseGrant(content.sequence, []))
            return
        granted = self._grant_shares(home, refs)
        bits = [granted.get(ref, 0) for ref in refs]
        self._endpoint.send(sender.address, LeaseGrant(content.sequence, bits))

    def _handle_grant(self, sender: Sender, content: LeaseGrant) -> None:
        requested = self._leases.find_upstreams(sender.instance, content.sequence)
        if (
            requested
            and not content.share_bits
            and self._sent.unconfirm(sender.instance)
        ):
            with self._lock:
                self._renewals.pop(sender.instance, None)
            self._wake.set()
            return
        if len(content.share_bits) != len(requested):
            self._metrics.count("lease_grants_unmatched")
            return
        granted = dict(zip(requested, content.share_bits, strict=True))
        self._sent.confirm(sender.instance, content.sequence)
        holder = (sender.instance, sender.incarnation)
        self._accept_grant(holder, content.sequence, granted)

    def _handle_return(self, sender: Sender, content: LeaseReturn) -> None:
        refs = [UpstreamRef(ref) for ref in content.upstreams]
        self._lending.return_shares((sender.instance, sender.incarnation), refs)


def split_batches(refs: list[UpstreamRef]) -> list[list[UpstreamRef]]:
    """Split references into batches that fit into one datagram."""
    starts = range(0, len(refs), UPSTREAMS_PER_DATAGRAM)
    return [refs[start : start + UPSTREAMS_PER_DATAGRAM] for start in starts]


__all__ = ["RightsService"]
