"""Shares that this instance holds according to its readings of the list."""

import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from fescueflow.core import (
    Incarnation,
    InstanceId,
    ListState,
    UpstreamId,
    UpstreamRef,
    hash_upstream,
    score_candidate,
)
from fescueflow.platform import ListedInstance, ListedUpstream, ListSnapshot
from fescueflow.rights.holder_pools import (
    HolderPool,
    Scope,
    choose_holder_pool,
    get_scope,
    make_share_key,
)
from fescueflow.rights.shares import SHARE_COUNT

ScoredInstance = tuple[int, InstanceId]


def find_winner(key: str, instances: Iterable[InstanceId]) -> ScoredInstance | None:
    """Return the highest rendezvous score for a key and its instance."""
    return max(((score_candidate(key, i), i) for i in instances), default=None)


@dataclass
class ShareRecord:
    """Winner of one share, and since when it has been this instance.

    ``key`` is the rendezvous key. ``won_since`` is ``None`` while another
    instance wins the share; ``held`` is set after the hold-down.
    """

    key: str
    winner: ScoredInstance | None
    won_since: float | None = None
    held: bool = False


@dataclass(frozen=True)
class PeerReachability:
    """Other instances in the membership at the time of a reading.

    ``readers`` can read the list; ``cut_off`` are alive but can't read it.
    ``never_held`` are the incarnations of ``cut_off`` that never held a share.
    """

    readers: frozenset[InstanceId] = field(default_factory=frozenset)
    cut_off: frozenset[InstanceId] = field(default_factory=frozenset)
    never_held: frozenset[tuple[InstanceId, Incarnation]] = field(
        default_factory=frozenset
    )


@dataclass
class ScopeRecord:
    """Holder pool of a scope and the shares of its upstreams.

    ``caught_up`` are the instances that don't lend according to a list from before
    this instance was listed or the holder pool changed. ``former_members`` belonged
    to the pool before it changed between zone and region at
    ``holder_pool_changed_at``.
    """

    scope: Scope
    holder_pool: HolderPool
    names: dict[UpstreamRef, UpstreamId] = field(default_factory=dict)
    shares: dict[UpstreamRef, list[ShareRecord]] = field(default_factory=dict)
    winners: dict[str, ScoredInstance | None] = field(default_factory=dict)
    caught_up: set[InstanceId] = field(default_factory=set)
    holder_pool_changed_at: float = float("-inf")
    former_members: frozenset[InstanceId] = frozenset()

    def change_holder_pool(self, holder_pool: HolderPool, now: float) -> None:
        """Replace the holder pool and recompute the winner of each share."""
        if holder_pool.in_zone != self.holder_pool.in_zone:
            # Shares move between instances that remain listed. Their former
            # holders may not have read that change yet.
            self.holder_pool_changed_at, self.former_members = (
                now,
                self.former_members | self.holder_pool.members,
            )
            self.caught_up.clear()
        self.holder_pool = holder_pool
        self.winners.clear()
        for ref, records in self.shares.items():
            for share, record in enumerate(records):
                record.key = self._make_key(ref, share)
                record.winner = self.get_winner(record.key)

    def add_upstream(self, upstream: UpstreamId) -> list[ShareRecord]:
        """Add the shares of an upstream."""
        ref = hash_upstream(upstream)
        self.names[ref] = upstream
        keys = (self._make_key(ref, share) for share in range(SHARE_COUNT))
        self.shares[ref] = [ShareRecord(key, self.get_winner(key)) for key in keys]
        return self.shares[ref]

    def remove_upstream(self, ref: UpstreamRef) -> None:
        """Remove the shares of an upstream."""
        del self.names[ref], self.shares[ref]

    def _make_key(self, ref: UpstreamRef, share: int) -> str:
        return make_share_key(self.scope, self.holder_pool, self.names[ref], share)

    def get_winner(self, key: str) -> ScoredInstance | None:
        """Return the winner of a key among the holder pool's members."""
        if not self.holder_pool.in_zone:
            return find_winner(key, self.holder_pool.members)
        if key not in self.winners:
            self.winners[key] = find_winner(key, self.holder_pool.members)
        return self.winners[key]

    def iter_records(self) -> Iterator[ShareRecord]:
        """Yield the records of all shares."""
        return (record for rows in self.shares.values() for record in rows)


class ShareTable:
    """Holders of all shares as of the latest reading.

    An instance holds a share after it has won it in all of its readings for the
    hold-down. Two rules keep it from gaining a share that an instance without
    access to the list still lends:

    - A member of the holder pool that is listed as live, but was not seen reading
      the list since this instance was listed, may still lend what it held before.
      No share is gained until it was seen reading or is no longer listed. The
      same applies to the members of both pools when the pool changes between
      zone and region, because shares then move between listed instances.
      An incarnation that has reported for a hold-down that it never held a share
      and can't read the list has nothing to lend and delays no other instance:
      if it reads the list later, the list contains this instance.
    - An instance that was removed from the list, but still sends heartbeats and
      can't read the list, keeps its shares until either changes.

    Parameters
    ----------
    own : InstanceId
    hold_down_s : float
        Time for which a share must be won before it is held.
    reading_gap_s : float
        A longer gap between readings restarts pending hold-downs, because a
        change and its reversal may have gone unseen.
    lag_s : float
        Maximum lag of the list behind the platform.
    before_gain : callable, optional
        Called once, before the first share is held.
    """

    def __init__(
        self,
        own: InstanceId,
        hold_down_s: float,
        reading_gap_s: float,
        lag_s: float,
        before_gain: Callable[[], None] = lambda: None,
    ) -> None:
        self._own = own
        self._hold_down_s = hold_down_s
        self._reading_gap_s = reading_gap_s
        self._catch_up_s = lag_s + reading_gap_s
        self._before_gain = before_gain
        self._has_held = False
        self._never_held_since: dict[tuple[InstanceId, Incarnation], float] = {}
        self._lock = threading.Lock()
        self._live: frozenset[InstanceId] = frozenset()
        self._addresses: dict[InstanceId, str] = {}
        self._instances: frozenset[ListedInstance] = frozenset()
        self._upstreams: frozenset[ListedUpstream] = frozenset()
        self._scopes: dict[Scope, ScopeRecord] = {}
        self._shares: dict[UpstreamRef, list[ShareRecord]] = {}
        self._stable_since: float | None = None
        self._listed_since: float | None = None
        self._read_at: float | None = None

    def apply(self, snapshot: ListSnapshot, peers: PeerReachability) -> None:
        """Update winners and held shares from a reading of the list."""
        instances = frozenset(
            i for i in snapshot.instances if i.state is ListState.LIVE
        )
        live = frozenset(i.id for i in instances)
        with self._lock:
            now = snapshot.read_at
            if self._read_at is not None and now <= self._read_at:
                return
            gap = self._read_at is None or now - self._read_at > self._reading_gap_s
            if gap or instances != self._instances:
                self._stable_since = now
            if gap:
                self._restart_hold_downs(now)
            self._addresses = {i.id: i.peer_address for i in snapshot.instances}
            self._live = live
            self._update_instances(instances, now)
            self._update_upstreams(frozenset(snapshot.upstreams))
            self._read_at = now
            self._update_caught_up(live, peers, now)
            for scope in self._scopes.values():
                self._gain_shares(scope, live, peers, now)

    def get_held(self, upstream: UpstreamRef) -> int:
        """Return the shares of an upstream that this instance holds, as bits."""
        with self._lock:
            records = self._shares.get(upstream, ())
            return sum(1 << s for s, r in enumerate(records) if r.held)

    def get_held_without(
        self, upstream: UpstreamRef, unlisted: Iterable[InstanceId]
    ) -> int:
        """Return the held shares that no unlisted live instance would win, as bits.

        Parameters
        ----------
        upstream : UpstreamRef
        unlisted : iterable of InstanceId
            Live instances that the latest reading does not contain.
        """
        unlisted = list(unlisted)
        with self._lock:
            bits = 0
            for share, record in enumerate(self._shares.get(upstream, ())):
                if not record.held or record.winner is None:
                    continue
                other = find_winner(record.key, unlisted)
                if other is None or other < record.winner:
                    bits |= 1 << share
            return bits

    def get_holders(self, upstream: UpstreamRef) -> Mapping[InstanceId, str]:
        """Return the winners of an upstream's shares with their peer addresses."""
        with self._lock:
            winners = {r.winner[1] for r in self._shares.get(upstream, ()) if r.winner}
            return {
                i: self._addresses[i] for i in sorted(winners) if i in self._addresses
            }

    def is_listed(self) -> bool:
        """Return whether the latest reading contains this instance."""
        with self._lock:
            return self._own in self._addresses

    def get_listed(self) -> frozenset[InstanceId]:
        """Return the instances in the latest reading."""
        with self._lock:
            return frozenset(self._addresses)

    def count_held(self) -> int:
        """Return the number of held shares."""
        with self._lock:
            return sum(r.held for rows in self._shares.values() for r in rows)

    def _restart_hold_downs(self, now: float) -> None:
        for record in self._all_records():
            if record.won_since is not None and not record.held:
                record.won_since = now

    def _all_records(self) -> Iterable[ShareRecord]:
        return (record for rows in self._shares.values() for record in rows)

    def _update_instances(
        self, instances: frozenset[ListedInstance], now: float
    ) -> None:
        if instances == self._instances:
            return
        self._instances = instances
        for scope, record in self._scopes.items():
            holder_pool = choose_holder_pool(scope, instances)
            if holder_pool != record.holder_pool:
                record.change_holder_pool(holder_pool, now)
                for share in record.iter_records():
                    self._update_won_since(share, now)

    def _update_won_since(self, record: ShareRecord, since: float | None) -> None:
        if record.winner is None or record.winner[1] != self._own:
            record.won_since, record.held = None, False
        elif record.won_since is None:
            record.won_since = since

    def _update_upstreams(self, upstreams: frozenset[ListedUpstream]) -> None:
        if upstreams == self._upstreams:
            return
        wanted = {hash_upstream(u.id): u for u in upstreams}
        for scope in list(self._scopes.values()):
            for ref in list(scope.shares):
                upstream = wanted.get(ref)
                if upstream is None or self._find_scope(upstream) is not scope:
                    scope.remove_upstream(ref)
                    del self._shares[ref]
        for ref, upstream in wanted.items():
            if ref not in self._shares:
                self._add_upstream(ref, upstream)
        self._upstreams = upstreams

    def _find_scope(self, upstream: ListedUpstream) -> ScopeRecord:
        scope = get_scope(upstream)
        if scope not in self._scopes:
            holder_pool = choose_holder_pool(scope, self._instances)
            self._scopes[scope] = ScopeRecord(scope, holder_pool)
        return self._scopes[scope]

    def _add_upstream(self, ref: UpstreamRef, upstream: ListedUpstream) -> None:
        scope = self._find_scope(upstream)
        rows = self._shares[ref] = scope.add_upstream(upstream.id)
        for record in rows:
            # Scores depend only on the instances, so the time since their last
            # change counts towards the hold-down of a new upstream.
            self._update_won_since(record, self._stable_since)

    def _update_caught_up(
        self, live: frozenset[InstanceId], peers: PeerReachability, now: float
    ) -> None:
        if self._own not in live:
            self._listed_since = None
        elif self._listed_since is None:
            self._listed_since = now
        self._never_held_since = {
            p: self._never_held_since.get(p, now) for p in peers.never_held
        }
        for scope in self._scopes.values():
            if self._listed_since is None:
                scope.caught_up.clear()
                continue
            scope.caught_up &= live
            since = max(self._listed_since, scope.holder_pool_changed_at)
            if now - since >= self._catch_up_s:
                scope.caught_up |= live & peers.readers
                scope.caught_up |= live & self._find_never_held(since, now)

    def _find_never_held(self, since: float, now: float) -> set[InstanceId]:
        """Return the instances whose incarnation never held a share for long enough.

        Leases granted by an earlier incarnation have expired after a hold-down.
        """
        limit = now - self._catch_up_s - self._hold_down_s
        return {
            instance
            for (instance, _), never_held_since in self._never_held_since.items()
            if max(never_held_since, since) <= limit
        }

    def _gain_shares(
        self,
        scope: ScopeRecord,
        live: frozenset[InstanceId],
        peers: PeerReachability,
        now: float,
    ) -> None:
        holder_pool = scope.holder_pool.members
        lenders = (holder_pool | scope.former_members) & live
        if self._own not in holder_pool or lenders - scope.caught_up - {self._own}:
            return
        scope.former_members = frozenset()
        unlisted_peers = peers.cut_off - live
        for record in scope.iter_records():
            if record.won_since is None or record.held or record.winner is None:
                continue
            if now - record.won_since < self._hold_down_s:
                continue
            competitor = find_winner(record.key, unlisted_peers)
            if competitor is None or competitor < record.winner:
                if not self._has_held:
                    self._has_held = True
                    self._before_gain()
                record.held = True


__all__ = ["PeerReachability", "ShareTable", "find_winner"]
