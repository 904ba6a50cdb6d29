"""Slots that customers use at one upstream, and the headroom kept from the heavy."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, exp, sqrt

from fescueflow.core import CustomerId

# Time constant of the mean use. A surge counts as heavy within a few tenths of
# this time, and one long answer of a quiet customer does not.
MEAN_S = 2.0
# A customer without a request for this long has no claim on headroom.
ACTIVE_S = 10.0
# A customer is heavy when its use for its share exceeds the mean of the active
# customers by this factor. Of two customers with equal shares the larger one can
# reach at most twice the mean.
HEAVY_FACTOR = 1.5
# A heavy customer uses more than this many slots on average. Where an engine has
# few slots, a fair part is a small fraction of one, and one long answer exceeds it.
LIGHT_MEAN_MAX = 1.0
# Weight of the latest slot in the mean time that a customer holds one.
HOLD_WEIGHT = 0.2


@dataclass
class CustomerUse:
    """Use of one customer; ``mean`` is in slots at ``updated_at``.

    ``hold_s`` is the mean time that a slot is held, 0 if it is not known.
    """

    share: int
    seen_at: float
    updated_at: float
    in_use: int = 0
    mean: float = 0.0
    hold_s: float = 0.0

    def advance(self, now: float) -> None:
        """Move the mean to the present."""
        kept = exp(-max(0.0, now - self.updated_at) / MEAN_S)
        self.mean = self.mean * kept + self.in_use * (1 - kept)
        self.updated_at = max(now, self.updated_at)


class UsageBook:
    """Use of all active customers of one upstream; guarded by its gate's lock."""

    def __init__(self) -> None:
        self._uses: dict[CustomerId, CustomerUse] = {}

    def note_demand(self, customer: CustomerId, share: int, now: float) -> None:
        """Note a request, so that its customer counts as active."""
        use = self._uses.setdefault(customer, CustomerUse(share, now, now))
        use.share, use.seen_at = max(1, share), now

    def add(self, customer: CustomerId, share: int, now: float) -> None:
        """Note a granted slot."""
        self.note_demand(customer, share, now)
        use = self._uses[customer]
        use.advance(now)
        use.in_use += 1

    def remove(
        self, customer: CustomerId, now: float, held_s: float | None = None
    ) -> None:
        """Note that a slot is no longer in use.

        ``held_s`` is how long it was held, ``None`` if it was not used.
        """
        use = self._uses.get(customer)
        if use is None:
            return
        use.advance(now)
        use.in_use = max(0, use.in_use - 1)
        if held_s is not None:
            step = HOLD_WEIGHT if use.hold_s else 1.0
            use.hold_s += step * (held_s - use.hold_s)

    def _advance(self, now: float) -> None:
        self._uses = {
            customer: use
            for customer, use in self._uses.items()
            if use.in_use or use.seen_at > now - ACTIVE_S
        }
        for use in self._uses.values():
            use.advance(now)

    def find_heavy(self, now: float) -> set[CustomerId]:
        """Return the customers that use far more than their share."""
        self._advance(now)
        shares = sum(use.share for use in self._uses.values())
        total = sum(use.mean for use in self._uses.values())
        return {
            customer
            for customer, use in self._uses.items()
            if use.mean > LIGHT_MEAN_MAX
            and use.mean * shares > HEAVY_FACTOR * total * use.share
        }

    def find_restrained(
        self, slots: int, now: float, recallable: Iterable[CustomerId] = ()
    ) -> set[CustomerId]:
        """Return the customers that get no further slot now to keep.

        Parameters
        ----------
        slots : int
            Slots that may be in use at the upstream.
        now : float
        recallable : iterable of CustomerId, optional
            The customer of each slot in use that can be recalled.

        Notes
        -----
        The heavy customers together leave the slots that the others need free or
        recallable: their mean use plus twice its square root (square-root
        staffing), but at most half of the slots. Without the headroom a quiet
        customer waits for the rest of an answer that can't be interrupted,
        whatever the order of the queue. Without other active customers nothing is
        kept free.
        """
        heavy = self.find_heavy(now)
        held = sum(self._uses[name].in_use for name in heavy)
        held -= sum(name in heavy for name in recallable)
        return heavy if held >= self.count_open(slots, now) else set()

    def count_open(self, slots: int, now: float) -> int:
        """Return how many slots the heavy customers may keep together."""
        heavy = self.find_heavy(now)
        if not heavy:
            return slots
        others = [use for name, use in self._uses.items() if name not in heavy]
        mean = sum(use.mean for use in others)
        headroom = min(slots // 2, ceil(mean + 2 * sqrt(mean)))
        return slots - headroom

    def estimate_end(
        self, customer: CustomerId, ahead: int, open_slots: int, now: float
    ) -> float:
        """Return when a waiting request of a heavy customer may have ended.

        Parameters
        ----------
        customer : CustomerId
        ahead : int
            Entries of heavy customers that are served earlier.
        open_slots : int
            Slots that the heavy customers may use; all of them are in use.
        now : float

        Returns
        -------
        float
            Seconds from now; 0 if the customer is not heavy.

        Notes
        -----
        The slots of heavy customers are taken to be half way through on
        average, and a request to take as long as the customer's others.
        """
        if customer not in self.find_heavy(now):
            return 0.0
        hold_s = self._uses[customer].hold_s
        return hold_s * ((ahead + 0.5) / max(1, open_slots) + 1)


__all__ = ["CustomerUse", "UsageBook"]
