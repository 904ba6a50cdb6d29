"""What this instance knows of the other members; pure logic without tasks."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace

from fescueflow.core import Incarnation, InstanceId
from fescueflow.membership.members import Member
from fescueflow.schema import MemberState

GONE_MAX = 4096
# A dead member that the list no longer shows is kept for this long, so that
# late gossip does not bring it back.
FORGET_AFTER_S = 60.0
ACCUSED = (MemberState.SUSPECT, MemberState.DEAD)


@dataclass
class Timing:
    """Durations of failure detection in seconds."""

    interval_s: float
    suspect_after_s: float
    dead_after_s: float

    @property
    def refute_window_s(self) -> float:
        """Return the time in which a suspected member may refute."""
        return self.dead_after_s - self.suspect_after_s


@dataclass
class Entry:
    """One member and the evidence for its state.

    ``member.state`` is what the member says of itself, ``made_at`` the latest
    time at which it can have said so.
    """

    member: Member
    life_at: float
    made_at: float
    direct_at: float | None = None
    probed_at: float | None = None
    suspected_at: float | None = None
    dead_at: float | None = None
    # Highest sequence that the member itself has sent, not others about it.
    direct_sequence: int = -1
    doubted: bool = False

    def describe(self) -> Member:
        """Return the member with the state that this instance gives it."""
        if self.dead_at is not None:
            return replace(self.member, state=MemberState.DEAD)
        if self.suspected_at is not None:
            return replace(self.member, state=MemberState.SUSPECT)
        return self.member

    def note_life(self, now: float, direct: bool) -> None:
        """Clear all doubt about the member."""
        self.life_at = now
        self.direct_at = now if direct else self.direct_at
        self.probed_at = self.suspected_at = self.dead_at = None
        self.doubted = False


class MemberTable:
    """Members by instance, without this instance.

    Parameters
    ----------
    timing : Timing

    Notes
    -----
    Failure detection follows SWIM (Das, Gupta and Motivala, DSN 2002) with
    one change: sequences grow all the time and not only for refutation, so
    that any newer record of a member refutes its suspicion.
    """

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self._entries: dict[InstanceId, Entry] = {}
        # With the last sequence: a later datagram of it has a higher one.
        self._gone: OrderedDict[tuple[InstanceId, Incarnation], int] = OrderedDict()

    def get(self, instance: InstanceId) -> Entry | None:
        """Return the entry of a member."""
        return self._entries.get(instance)

    def iterate(self) -> Iterator[Entry]:
        """Yield all entries, dead ones too."""
        yield from self._entries.values()

    def is_gone(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is dead or was replaced."""
        entry = self._entries.get(instance)
        if entry is not None and entry.member.incarnation == incarnation:
            return entry.dead_at is not None
        return (instance, incarnation) in self._gone

    def apply_direct(self, member: Member, now: float) -> None:
        """Take over what a member said of itself in its own datagram.

        Only a sequence that it has not sent before is a sign of life, because
        anyone on the link can send a datagram again.
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
                member, now, now, direct_at=now
            )
        elif member.sequence < entry.member.sequence:
            return
        elif member.sequence <= entry.direct_sequence:
            return
        entry.member, entry.made_at = member, now
        entry.direct_sequence = member.sequence
        entry.note_life(now, direct=True)
        if member.state is MemberState.DEAD:
            entry.dead_at = now

    def apply_gossip(self, member: Member, now: float) -> bool:
        """Take over what a third member says.

        Returns
        -------
        bool
            False if the incarnation is unknown and has to be asked directly:
            gossip can't tell which of two incarnations is the newer one.
        """
        if (member.instance, member.incarnation) in self._gone:
            return True
        entry = self._entries.get(member.instance)
        if entry is None:
            if member.state is not MemberState.DEAD:
                self._add(member, now)
            return True
        if entry.member.incarnation != member.incarnation:
            return member.state in ACCUSED
        if member.state in ACCUSED:
            self._accuse(entry, member, now)
        elif member.sequence > entry.member.sequence:
            self._update(entry, member, now)
        return True

    def _add(self, member: Member, now: float) -> None:
        entry = Entry(member, now, now)
        if member.state is MemberState.SUSPECT:
            # Its own state is not known yet; the next record tells.
            entry.member = replace(member, state=MemberState.STARTING)
            entry.suspected_at = now
        self._entries[member.instance] = entry

    def _update(self, entry: Entry, member: Member, now: float) -> None:
        """Take a newer record from gossip as a sign of life of its own age.

        Without its age, a record that was on its way when the member died
        would restart the timers or bring the member back.
        """
        made_at = self._date(entry, member, now)
        if entry.dead_at is not None and made_at < entry.dead_at:
            return
        entry.member, entry.made_at = member, made_at
        if now - made_at < self._timing.suspect_after_s:
            entry.note_life(max(entry.life_at, made_at), direct=False)
        else:
            entry.life_at = max(entry.life_at, made_at)

    def _date(self, entry: Entry, member: Member, now: float) -> float:
        """Return when a newer record was made.

        A member's sequence grows with time, by one per interval.
        """
        steps = member.sequence - entry.member.sequence
        return min(now, entry.made_at + steps * self._timing.interval_s)

    def _accuse(self, entry: Entry, member: Member, now: float) -> None:
        """Weigh a report that a member is suspect or dead."""
        timing = self._timing
        if entry.dead_at is not None:
            return
        if member.sequence < entry.member.sequence:
            # Outdated, yet a reason to ask the member directly.
            entry.doubted = now - entry.life_at >= 2 * timing.interval_s
            return
        if self._is_ended(entry, member):
            entry.dead_at = now
            return
        # The other member has a newer record than this instance.
        entry.made_at = self._date(entry, member, now)
        entry.life_at = max(entry.life_at, entry.made_at)
        entry.member = replace(entry.member, sequence=member.sequence)
        recent_s = timing.suspect_after_s / 2
        if entry.direct_at is not None and now - entry.direct_at < recent_s:
            return
        earliest = now - timing.refute_window_s + 2 * timing.interval_s
        if member.state is MemberState.SUSPECT:
            due = min(now, entry.life_at + timing.suspect_after_s)
            since = max(due, now - 2 * timing.interval_s)
        else:
            since = min(now, earliest)
        current = entry.suspected_at
        entry.suspected_at = since if current is None else min(current, since)

    @staticmethod
    def _is_ended(entry: Entry, report: Member) -> bool:
        """Return whether a report of death is the member's own last word.

        A member that leaves in order raises its sequence once more with its
        end; an accusation carries a sequence that the member has shown.
        """
        leaving = entry.member.state is MemberState.LEAVING
        newer = report.sequence > entry.member.sequence
        return leaving and newer and report.state is MemberState.DEAD

    def mark_probed(self, entry: Entry, now: float) -> None:
        """Note that a probe is on its way; kept if an earlier one is unanswered."""
        if entry.probed_at is None:
            entry.probed_at = now

    def expire(self, now: float) -> None:
        """Suspect silent members and give up suspected ones.

        Silence alone is no evidence, because in a large fleet members rarely
        hear each other directly: a probe must have gone unanswered as well.
        """
        timing = self._timing
        for entry in self._entries.values():
            silent_s = now - entry.life_at
            if entry.dead_at is not None:
                continue
            if entry.suspected_at is None:
                unanswered = entry.probed_at is not None and (
                    now - entry.probed_at >= 2 * timing.interval_s
                )
                if unanswered and silent_s >= timing.suspect_after_s:
                    entry.suspected_at = now
            elif silent_s >= timing.dead_after_s:
                if now - entry.suspected_at >= timing.refute_window_s:
                    entry.dead_at = now

    def shift(self, gap_s: float, now: float) -> None:
        """Move all times forward by a gap in which this process did not run."""
        for entry in self._entries.values():
            entry.life_at = min(now, entry.life_at + gap_s)
            if entry.probed_at is not None:
                entry.probed_at = min(now, entry.probed_at + gap_s)
            if entry.suspected_at is not None:
                entry.suspected_at = min(now, entry.suspected_at + gap_s)

    def forget(self, listed: set[InstanceId], now: float) -> None:
        """Remove members that are dead for a minute and not in the list."""
        for instance, entry in list(self._entries.items()):
            dead_at = entry.dead_at
            if dead_at is None or instance in listed:
                continue
            if now - dead_at >= FORGET_AFTER_S:
                del self._entries[instance]
                self._mark_gone(entry.member)

    def _mark_gone(self, member: Member) -> None:
        self._gone[member.instance, member.incarnation] = member.sequence
        while len(self._gone) > GONE_MAX:
            self._gone.popitem(last=False)


__all__ = ["Entry", "MemberTable", "Timing"]
