"""Selection of the members to probe in each heartbeat interval."""

from collections import OrderedDict
from dataclasses import dataclass

from fescueflow.core import InstanceId, RandomSource
from fescueflow.membership.gossip import ShuffledRoundRobin
from fescueflow.membership.table import Entry, MemberTable
from fescueflow.platform import ListedInstance, ListSnapshot

# Every fourth interval, a member of another zone is probed as well, and a listed
# member that is missing here.
EXTRA_PROBE_INTERVALS = 4
RELAYS_PER_PROBE = 2
# Unresponsive or suspected members that are probed again per interval; bounds the
# traffic when a whole zone fails.
RETRIES_PER_INTERVAL_MAX = 4
# A suspected member is probed by about this many instances of the fleet per
# interval.
SUSPECT_PROBES_PER_INTERVAL = 8
# For this many intervals after start, several missing members are probed per
# interval, so that an instance discovers the fleet within seconds.
JOIN_INTERVALS = 60
JOIN_PROBES_PER_INTERVAL = 4
UNVERIFIED_MAX = 64


@dataclass(frozen=True)
class Probe:
    """A member to probe, and the addresses of members to probe it through."""

    instance: InstanceId
    address: str
    relays: tuple[str, ...] = ()


class ProbePlanner:
    """Plans the probes of each interval; their number is bounded.

    Parameters
    ----------
    table : MemberTable
    random_source : RandomSource
    own : InstanceId
        This instance.
    zone : str
        Zone of this instance.
    interval_s : float
        Heartbeat interval.
    """

    def __init__(
        self,
        table: MemberTable,
        random_source: RandomSource,
        own: InstanceId,
        zone: str,
        interval_s: float,
    ) -> None:
        self._table = table
        self._random_source = random_source
        self._own = own
        self._zone = zone
        self._interval_s = interval_s
        self._same_zone = ShuffledRoundRobin(random_source)
        self._other_zones = ShuffledRoundRobin(random_source)
        self._missing = ShuffledRoundRobin(random_source)
        self._unverified: OrderedDict[InstanceId, str] = OrderedDict()
        self._interval_count = 0

    def add_unverified(self, instance: InstanceId, address: str) -> None:
        """Schedule a probe of an address with an unknown incarnation."""
        self._unverified[instance] = address
        while len(self._unverified) > UNVERIFIED_MAX:
            self._unverified.popitem(last=False)

    def plan(self, snapshot: ListSnapshot | None, now: float) -> list[Probe]:
        """Return the probes of the next interval, at most one per member."""
        alive = [e for e in self._table.iterate() if e.dead_at is None]
        probes = self._plan_retries(alive, now)
        probes += self._plan_regular(alive)
        probes += self._plan_missing(snapshot)
        while self._unverified:
            probes.append(Probe(*self._unverified.popitem(last=False)))
        self._interval_count += 1
        unique = {probe.instance: probe for probe in reversed(probes)}
        return list(unique.values())

    def _plan_regular(self, alive: list[Entry]) -> list[Probe]:
        same_zone = {e.member.instance for e in alive if e.member.zone == self._zone}
        other_zones = {e.member.instance for e in alive} - same_zone
        names = [self._same_zone.choose(set(same_zone))]
        # An instance that is alone in its zone has only members of other zones to
        # probe, and only they probe it.
        if self._interval_count % EXTRA_PROBE_INTERVALS == 0 or not same_zone:
            names.append(self._other_zones.choose(set(other_zones)))
        entries = [self._table.get(InstanceId(name)) for name in names if name]
        return [
            Probe(entry.member.instance, entry.member.peer_address)
            for entry in entries
            if entry is not None
        ]

    def _plan_retries(self, alive: list[Entry], now: float) -> list[Probe]:
        """Probe unresponsive and suspected members directly and through two others."""
        due = [
            e
            for e in alive
            if e.probed_at is not None and now - e.probed_at >= self._interval_s / 2
        ]
        due.sort(key=lambda e: e.probed_at or now)
        chance = SUSPECT_PROBES_PER_INTERVAL / (len(alive) + 1)
        suspect = [
            e
            for e in alive
            if (e.suspected_at is not None or e.needs_probe)
            and e.probed_at is None
            and self._random_source.uniform(0, 1) < chance
        ]
        healthy = {
            e.member.instance: e.member.peer_address
            for e in alive
            if e.suspected_at is None and e.probed_at is None
        }
        return [
            Probe(
                e.member.instance, e.member.peer_address, self._choose_relays(healthy)
            )
            for e in (due + suspect)[:RETRIES_PER_INTERVAL_MAX]
        ]

    def _choose_relays(self, healthy: dict[InstanceId, str]) -> tuple[str, ...]:
        names = self._random_source.sample(sorted(healthy), RELAYS_PER_PROBE)
        return tuple(healthy[InstanceId(name)] for name in names)

    def _plan_missing(self, snapshot: ListSnapshot | None) -> list[Probe]:
        """Probe listed members that are dead or unknown to this instance."""
        if snapshot is None:
            return []
        missing: dict[str, ListedInstance] = {}
        for listed in snapshot.instances:
            entry = self._table.get(listed.id)
            if listed.id != self._own and (entry is None or entry.dead_at is not None):
                missing[listed.id] = listed
        joining = self._interval_count < JOIN_INTERVALS
        count = (
            JOIN_PROBES_PER_INTERVAL
            if joining
            else int(self._interval_count % EXTRA_PROBE_INTERVALS == 0)
        )
        names = {self._missing.choose(set(missing)) for _ in range(count)} - {None}
        return [
            Probe(missing[name].id, missing[name].peer_address)
            for name in sorted(name for name in names if name)
        ]


__all__ = ["Probe", "ProbePlanner"]
