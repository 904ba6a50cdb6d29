"""State of the other members and failure detection, without threads or input/output."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace

from fescueflow.core import Incarnation, InstanceId
from fescueflow.membership.members import Member
from fescueflow.schema import MemberState

GONE_INCARNATIONS_MAX = 4096
# A dead member that the list no longer shows is kept for this long so that late
# gossip does not add it again.
DEAD_RETENTION_S = 60.0
FAILED_STATES = (MemberState.SUSPECT, MemberState.DEAD)


@dataclass
class Timing:
    """Durations of failure detection in seconds."""

    interval_s: float
    suspect_after_s: float
    dead_after_s: float

    @property
    def refutation_window_s(self) -> float:
        """Return the time in which a suspected member can refute the suspicion."""
        return self.dead_after_s - self.suspect_after_s


@dataclass
class Entry:
    """A member and the evidence for its state; times are monotonic seconds.

    Attributes
    ----------
    member : Member
        Latest record; its state is the one that the member itself reported.
    alive_at : float
        Latest time at which the member is known to have been alive.
    created_at : float
        Latest time at which the record can have been created.
    heard_at : float or None
        When the member's own datagram last showed that it is alive.
    probed_at : float or None
        When the first probe that is still unanswered was sent.
    suspected_at, dead_at : float or None
        Start of the member's current suspicion, and its death.
    heard_sequence : int
        Highest sequence sent by the member itself rather than by others.
    needs_probe : bool
        Whether an outdated failure report calls for a probe.
    """

    member: Member
    alive_at: float
    created_at: float
    heard_at: float | None = None
    probed_at: float | None = None
    suspected_at: float | None = None
    dead_at: float | None = None
    heard_sequence: int = -1
    needs_probe: bool = False

    def get_observed(self) -> Member:
        """Return the member with its state as concluded by this instance."""
        if self.dead_at is not None:
            return replace(self.member, state=MemberState.DEAD)
        if self.suspected_at is not None:
            return replace(self.member, state=MemberState.SUSPECT)
        return self.member

    def mark_alive(self, now: float, direct: bool) -> None:
        """Record that the member is alive; clear suspicion and pending probes."""
        self.alive_at = now
        self.heard_at = now if direct else self.heard_at
        self.probed_at = self.suspected_at = self.dead_at = None
        self.needs_probe = False


class MemberTable:
    """Members other than this instance, by instance.

    Parameters
    ----------
    timing : Timing

    Notes
    -----
    Failure detection follows SWIM (Das, Gupta and Motivala, DSN 2002) with one
    change: sequences grow in every interval and not only for a refutation, so any
    newer record of a member refutes a suspicion.
    """

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self._entries: dict[InstanceId, Entry] = {}
        # Ended incarnations with their last known sequences. Only a datagram that
        # was sent later, and so has a higher sequence, brings one back.
        self._gone: OrderedDict[tuple[InstanceId, Incarnation], int] = OrderedDict()

    def get(self, instance: InstanceId) -> Entry | None:
        """Return the entry of a member, or ``None``."""
        return self._entries.get(instance)

    def iterate(self) -> Iterator[Entry]:
        """Yield all entries, including dead members."""
        yield from self._entries.values()

    def has_ended(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is dead or was replaced."""
        entry = self._entries.get(instance)
        if entry is not None and entry.member.incarnation == incarnation:
            return entry.dead_at is not None
        return (instance, incarnation) in self._gone

    def apply_direct(self, member: Member, now: float) -> None:
        """Apply the record that a member sent of itself in its own datagram.

        Only a sequence that the member has not sent before shows that it is
        alive, because anyone on the network can replay a datagram.
        """
        entry = self._entries.get(member.instance)
        gone = self._gone.get((member.instance, member.incarnation))
        if gone is not None and member.sequence <= gone:
            return
        if entry is not None and entry.member.incarnation != member.incarnation:
            if gone is not None and entry.dead_at is None:
                return
            self._mark_gone(entry.member)
            entry = None
        if entry is None:
            self._gone.pop((member.instance, member.incarnation), None)
            entry = self._entries[member.instance] = Entry(
                member, now, now, heard_at=now
            )
        elif member.sequence < entry.member.sequence:
            return
        elif member.sequence <= entry.heard_sequence:
            return
        entry.member, entry.created_at = member, now
        entry.heard_sequence = member.sequence
        entry.mark_alive(now, direct=True)
        if member.state is MemberState.DEAD:
            entry.dead_at = now

    def apply_gossip(self, member: Member, now: float) -> bool:
        """Apply a record of a member that another member sent.

        Returns
        -------
        bool
            False if the instance must be probed directly because the record is
            of another incarnation: gossip can't tell which one is newer.
        """
        if (member.instance, member.incarnation) in self._gone:
            return True
        entry = self._entries.get(member.instance)
        if entry is None:
            if member.state is not MemberState.DEAD:
                self._add_from_gossip(member, now)
            return True
        if entry.member.incarnation != member.incarnation:
            return member.state in FAILED_STATES
        if member.state in FAILED_STATES:
            self._apply_failure_report(entry, member, now)
        elif member.sequence > entry.member.sequence:
            self._update_from_gossip(entry, member, now)
        return True

    def _add_from_gossip(self, member: Member, now: float) -> None:
        entry = Entry(member, now, now)
        if member.state is MemberState.SUSPECT:
            # The state that it reports itself is unknown until its next record.
            entry.member = replace(member, state=MemberState.STARTING)
            entry.suspected_at = now
        self._entries[member.instance] = entry

    def _update_from_gossip(self, entry: Entry, member: Member, now: float) -> None:
        """Apply a newer record from gossip as evidence of life at its creation.

        If it counted as evidence of life now, a record in transit when the
        member died would restart the timers or revive the member.
        """
        created_at = self._estimate_creation(entry, member, now)
        if entry.dead_at is not None and created_at < entry.dead_at:
            return
        entry.member, entry.created_at = member, created_at
        if now - created_at < self._timing.suspect_after_s:
            entry.mark_alive(max(entry.alive_at, created_at), direct=False)
        else:
            entry.alive_at = max(entry.alive_at, created_at)

    def _estimate_creation(self, entry: Entry, member: Member, now: float) -> float:
        """Return the estimated creation time of a newer record.

        A member's sequence grows with time, by one per interval.
        """
        steps = member.sequence - entry.member.sequence
        return min(now, entry.created_at + steps * self._timing.interval_s)

    def _apply_failure_report(self, entry: Entry, member: Member, now: float) -> None:
        """Apply another member's report that a member is suspect or dead."""
        timing = self._timing
        if entry.dead_at is not None:
            return
        if member.sequence < entry.member.sequence:
            # The report is outdated but still a reason to probe the member.
            if now - entry.alive_at >= 2 * timing.interval_s:
                entry.needs_probe = True
            return
        if self._is_orderly_end(entry, member):
            entry.dead_at = now
            return
        # The reporting member has a record at least as new as this one.
        entry.created_at = self._estimate_creation(entry, member, now)
        entry.alive_at = max(entry.alive_at, entry.created_at)
        entry.member = replace(entry.member, sequence=member.sequence)
        recent_s = timing.suspect_after_s / 2
        if entry.heard_at is not None and now - entry.heard_at < recent_s:
            return
        # A member that is reported dead keeps two intervals to refute the report.
        earliest = now - timing.refutation_window_s + 2 * timing.interval_s
        if member.state is MemberState.SUSPECT:
            suspicion_due_at = min(now, entry.alive_at + timing.suspect_after_s)
            since = max(suspicion_due_at, now - 2 * timing.interval_s)
        else:
            since = min(now, earliest)
        current = entry.suspected_at
        entry.suspected_at = since if current is None else min(current, since)

    @staticmethod
    def _is_orderly_end(entry: Entry, report: Member) -> bool:
        """Return whether a member that was leaving announced its own end.

        A member that leaves in order raises its sequence once more when it ends;
        a failure report has a sequence that the member has already used.
        """
        leaving = entry.member.state is MemberState.LEAVING
        newer = report.sequence > entry.member.sequence
        return leaving and newer and report.state is MemberState.DEAD

    def mark_probed(self, entry: Entry, now: float) -> None:
        """Record that a probe is sent, unless an earlier one is unanswered."""
        if entry.probed_at is None:
            entry.probed_at = now

    def apply_timeouts(self, now: float) -> None:
        """Suspect silent members, and declare suspected ones dead.

        Silence alone does not raise suspicion, because members of a large fleet
        rarely contact each other directly: a probe must also be unanswered.
        """
        timing = self._timing
        for entry in self._entries.values():
            silent_s = now - entry.alive_at
            if entry.dead_at is not None:
                continue
            if entry.suspected_at is None:
                unanswered = entry.probed_at is not None and (
                    now - entry.probed_at >= 2 * timing.interval_s
                )
                if unanswered and silent_s >= timing.suspect_after_s:
                    entry.suspected_at = now
            elif silent_s >= timing.dead_after_s:
                if now - entry.suspected_at >= timing.refutation_window_s:
                    entry.dead_at = now

    def shift_times(self, gap_s: float, now: float) -> None:
        """Move timers forward by a gap in which this process did not run."""
        for entry in self._entries.values():
            entry.alive_at = min(now, entry.alive_at + gap_s)
            if entry.probed_at is not None:
                entry.probed_at = min(now, entry.probed_at + gap_s)
            if entry.suspected_at is not None:
                entry.suspected_at = min(now, entry.suspected_at + gap_s)

    def remove_unlisted(self, listed: set[InstanceId], now: float) -> None:
        """Remove members that are not listed and have been dead for a minute."""
        for instance, entry in list(self._entries.items()):
            dead_at = entry.dead_at
            if dead_at is None or instance in listed:
                continue
            if now - dead_at >= DEAD_RETENTION_S:
                del self._entries[instance]
                self._mark_gone(entry.member)

    def _mark_gone(self, member: Member) -> None:
        self._gone[member.instance, member.incarnation] = member.sequence
        while len(self._gone) > GONE_INCARNATIONS_MAX:
            self._gone.popitem(last=False)


__all__ = ["Entry", "MemberTable", "Timing"]
