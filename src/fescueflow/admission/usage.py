"""Slots that customers use at one upstream, and headroom that is kept free.

Heavy customers use far more than their share and leave headroom to the others.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, exp, sqrt

from fescueflow.core import CustomerId

# Time constant of the moving average of the slots in use. A surge counts as heavy
# within a few tenths of this time; a single long response does not.
MEAN_TIME_CONSTANT_S = 2.0
# A customer without a request for this long no longer counts towards the headroom.
ACTIVE_WINDOW_S = 10.0
# A customer is heavy when its usage in relation to its share exceeds the mean of the
# active customers by this factor. Of two customers with equal shares, the larger one
# can reach at most twice the mean.
HEAVY_FACTOR = 1.5
# A heavy customer uses more than this many slots on average. At an engine with few
# slots, a fair share is a small fraction of a slot, and one long response exceeds it.
LIGHT_SLOTS_MAX = 1.0
# Weight of the latest slot in the moving average of a customer's hold time.
HOLD_SMOOTHING = 0.2


@dataclass
class CustomerUsage:
    """Usage of one customer at one upstream.

    ``mean_slots`` is the moving average of its slots at ``updated_at``.
    ``mean_hold_s`` is the mean time that it holds a slot, 0 if unknown.
    """

    share: int
    seen_at: float
    updated_at: float
    in_use: int = 0
    mean_slots: float = 0.0
    mean_hold_s: float = 0.0

    def advance(self, now: float) -> None:
        """Update the moving average to the given time."""
        decay = exp(-max(0.0, now - self.updated_at) / MEAN_TIME_CONSTANT_S)
        self.mean_slots = self.mean_slots * decay + self.in_use * (1 - decay)
        self.updated_at = max(now, self.updated_at)


class UsageTracker:
    """Usage of all active customers of one upstream.

    Callers hold the lock of its slot pool.
    """

    def __init__(self) -> None:
        self._usages: dict[CustomerId, CustomerUsage] = {}

    def record_demand(self, customer: CustomerId, share: int, now: float) -> None:
        """Record a request, so that its customer counts as active."""
        usage = self._usages.setdefault(customer, CustomerUsage(share, now, now))
        usage.share, usage.seen_at = max(1, share), now

    def add(self, customer: CustomerId, share: int, now: float) -> None:
        """Record a granted slot."""
        self.record_demand(customer, share, now)
        usage = self._usages[customer]
        usage.advance(now)
        usage.in_use += 1

    def remove(
        self, customer: CustomerId, now: float, held_s: float | None = None
    ) -> None:
        """Record that a slot is no longer in use.

        ``held_s`` is the time for which it was held, ``None`` if it doesn't count
        for the mean.
        """
        usage = self._usages.get(customer)
        if usage is None:
            return
        usage.advance(now)
        usage.in_use = max(0, usage.in_use - 1)
        if held_s is not None:
            step = HOLD_SMOOTHING if usage.mean_hold_s else 1.0
            usage.mean_hold_s += step * (held_s - usage.mean_hold_s)

    def _advance(self, now: float) -> None:
        self._usages = {
            customer: usage
            for customer, usage in self._usages.items()
            if usage.in_use or usage.seen_at > now - ACTIVE_WINDOW_S
        }
        for usage in self._usages.values():
            usage.advance(now)

    def find_heavy(self, now: float) -> set[CustomerId]:
        """Return the customers that use far more than their share."""
        self._advance(now)
        shares = sum(usage.share for usage in self._usages.values())
        total = sum(usage.mean_slots for usage in self._usages.values())
        return {
            customer
            for customer, usage in self._usages.items()
            if usage.mean_slots > LIGHT_SLOTS_MAX
            and usage.mean_slots * shares > HEAVY_FACTOR * total * usage.share
        }

    def find_throttled(
        self, slots: int, now: float, recallable: Iterable[CustomerId] = ()
    ) -> set[CustomerId]:
        """Return the heavy customers that get no further slot that can't be recalled.

        Parameters
        ----------
        slots : int
            Number of slots that may be in use at the upstream.
        now : float
        recallable : iterable of CustomerId, optional
            Customer of each slot in use that can be recalled.

        Notes
        -----
        The heavy customers together leave headroom for the others, either free or
        recallable: the others' mean usage plus twice its square root (square-root
        staffing), but at most half of the slots. Without headroom another customer
        would wait for the end of a response that can't be interrupted, whatever
        the order of the queue. Without other active customers there is no headroom.
        """
        heavy = self.find_heavy(now)
        held = sum(self._usages[name].in_use for name in heavy)
        held -= sum(name in heavy for name in recallable)
        return heavy if held >= self.compute_heavy_limit(slots, now) else set()

    def compute_heavy_limit(self, slots: int, now: float) -> int:
        """Return the number of slots that all heavy customers together may hold."""
        heavy = self.find_heavy(now)
        if not heavy:
            return slots
        others = [usage for name, usage in self._usages.items() if name not in heavy]
        mean_slots = sum(usage.mean_slots for usage in others)
        headroom = min(slots // 2, ceil(mean_slots + 2 * sqrt(mean_slots)))
        return slots - headroom

    def estimate_end(
        self, customer: CustomerId, ahead: int, heavy_limit: int, now: float
    ) -> float:
        """Return the expected end of a heavy customer's waiting request.

        Parameters
        ----------
        customer : CustomerId
        ahead : int
            Number of entries of heavy customers that are served earlier.
        heavy_limit : int
            Slots that the heavy customers may use; all of them are in use.
        now : float

        Returns
        -------
        float
            Seconds from now; 0 if the customer is not heavy.

        Notes
        -----
        Assumes that requests in the slots of heavy customers are half done on
        average, and that a request takes the customer's mean time.
        """
        if customer not in self.find_heavy(now):
            return 0.0
        mean_hold_s = self._usages[customer].mean_hold_s
        return mean_hold_s * ((ahead + 0.5) / max(1, heavy_limit) + 1)


__all__ = ["CustomerUsage", "UsageTracker"]
