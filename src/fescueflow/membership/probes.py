"""Choice of the members that a heartbeat interval probes."""

from collections import OrderedDict
from dataclasses import dataclass

from fescueflow.core import InstanceId, Randomness
from fescueflow.membership.gossip import Rotation
from fescueflow.membership.table import Entry, MemberTable
from fescueflow.platform import ListedInstance, ListSnapshot

# Every fourth interval a member of another zone is probed as well.
ELSEWHERE_EVERY = 4
RELAYS = 2
# Members whose probes are unanswered and that are probed again per interval;
# bounds the traffic when a whole zone fails.
RETRIES_MAX = 4
# Suspect members are probed by about this many instances per interval in all.
SUSPECT_PROBERS = 8
# For this many intervals after start, several unknown members are probed at a
# time, so that an instance finds the fleet within seconds.
JOIN_INTERVALS = 60
JOIN_PROBES = 4
VERIFY_MAX = 64


@dataclass(frozen=True)
class Probe:
    """A member to probe, with the members to probe it through."""

    instance: InstanceId
    address: str
    relays: tuple[str, ...] = ()


class ProbePlanner:
    """Plans the probes of each interval at a constant cost.

    Parameters
    ----------
    table : MemberTable
    randomness : Randomness
    own : InstanceId
    zone : str
    interval_s : float
    """

    def __init__(
        self,
        table: MemberTable,
        randomness: Randomness,
        own: InstanceId,
        zone: str,
        interval_s: float,
    ) -> None:
        self._table = table
        self._randomness = randomness
        self._own = own
        self._zone = zone
        self._interval_s = interval_s
        self._nearby = Rotation(randomness)
        self._elsewhere = Rotation(randomness)
        self._missing = Rotation(randomness)
        self._verify: OrderedDict[InstanceId, str] = OrderedDict()
        self._interval = 0

    def add_unverified(self, instance: InstanceId, address: str) -> None:
        """Probe an address at which a new incarnation is said to run."""
        self._verify[instance] = address
        while len(self._verify) > VERIFY_MAX:
            self._verify.popitem(last=False)

    def plan(self, snapshot: ListSnapshot | None, now: float) -> list[Probe]:
        """Return the probes of the next interval, at most one per member."""
        living = [e for e in self._table.iterate() if e.dead_at is None]
        probes = self._plan_retries(living, now)
        probes += self._plan_regular(living)
        probes += self._plan_missing(snapshot)
        while self._verify:
            probes.append(Probe(*self._verify.popitem(last=False)))
        self._interval += 1
        unique = {probe.instance: probe for probe in reversed(probes)}
        return list(unique.values())

    def _plan_regular(self, living: list[Entry]) -> list[Probe]:
        nearby = {e.member.instance for e in living if e.member.zone == self._zone}
        elsewhere = {e.member.instance for e in living} - nearby
        names = [self._nearby.choose(set(nearby))]
        # An instance alone in its zone is probed from elsewhere only, and has
        # only members elsewhere to probe.
        if self._interval % ELSEWHERE_EVERY == 0 or not nearby:
            names.append(self._elsewhere.choose(set(elsewhere)))
        entries = [self._table.get(InstanceId(name)) for name in names if name]
        return [
            Probe(entry.member.instance, entry.member.peer_address)
            for entry in entries
            if entry is not None
        ]

    def _plan_retries(self, living: list[Entry], now: float) -> list[Probe]:
        """Probe again what did not answer, directly and through two others."""
        due = [
            e
            for e in living
            if e.probed_at is not None and now - e.probed_at >= self._interval_s / 2
        ]
        due.sort(key=lambda e: e.probed_at or now)
        chance = SUSPECT_PROBERS / (len(living) + 1)
        suspect = [
            e
            for e in living
            if (e.suspected_at is not None or e.doubted)
            and e.probed_at is None
            and self._randomness.uniform(0, 1) < chance
        ]
        healthy = {
            e.member.instance: e.member.peer_address
            for e in living
            if e.suspected_at is None and e.probed_at is None
        }
        return [
            Probe(
                e.member.instance, e.member.peer_address, self._choose_relays(healthy)
            )
            for e in (due + suspect)[:RETRIES_MAX]
        ]

    def _choose_relays(self, healthy: dict[InstanceId, str]) -> tuple[str, ...]:
        names = self._randomness.sample(sorted(healthy), RELAYS)
        return tuple(healthy[InstanceId(name)] for name in names)

    def _plan_missing(self, snapshot: ListSnapshot | None) -> list[Probe]:
        """Probe members that the list shows and that are dead or unknown here."""
        if snapshot is None:
            return []
        missing: dict[str, ListedInstance] = {}
        for listed in snapshot.instances:
            entry = self._table.get(listed.id)
            if listed.id != self._own and (entry is None or entry.dead_at is not None):
                missing[listed.id] = listed
        joining = self._interval < JOIN_INTERVALS
        count = JOIN_PROBES if joining else int(self._interval % ELSEWHERE_EVERY == 0)
        names = {self._missing.choose(set(missing)) for _ in range(count)} - {None}
        return [
            Probe(missing[name].id, missing[name].peer_address)
            for name in sorted(name for name in names if name)
        ]


__all__ = ["Probe", "ProbePlanner"]
