"""Who is served first when all upstreams of a service are at their limits.

Urgent requests are kept some tokens (trunk reservation). Requests without a token are
rejected at once and told when to come back, in the order in which they came.
"""

import math
from dataclasses import dataclass

from fescueflow.routing.admission import RETRY_AFTER_MAX_S
from fescueflow.routing.model import ServiceId

# Rate below which tokens are not expected, a second: one in a thousand seconds.
RATE_MIN = 0.001
# Shortest retry delay, in seconds: several round trips between availability zones.
RETRY_AFTER_MIN_S = 0.1
# Time constant with which the demand of each class is measured, in seconds: the rule's
# time in which an instance settles after a change.
DEMAND_MEMORY_S = 3.0
# More urgent requests for each new token, up to which no token is kept for them.
DEMAND_SPARED = 0.1
# Largest part of the tokens that are kept for more urgent requests.
RESERVE_FRACTION_MAX = 0.5
# Time after which a class that got nothing is served like the most urgent one: in
# seconds, below the shortest deadline of the routes, and in new tokens, so that a class
# that is always short gets a quarter of them at most.
WAIT_MAX_S = 2.0
WAIT_TOKENS = 4.0


@dataclass(frozen=True, slots=True)
class TokenSupply:
    """Tokens for the upstreams of a service that this instance may send to.

    ``whole`` counts the requests that may be sent now, ``depth`` those that may be at
    most, ``rate`` the new ones a second, and ``next_s`` is the time until the next.
    """

    whole: int
    depth: int
    rate: float
    next_s: float


@dataclass
class ClassDemand:
    """Requests of one class; ``waits_since`` is when the first one got no token."""

    count: float = 0.0
    counted_at: float = 0.0
    waits_since: float | None = None
    # First time that no caller has been told to come back at.
    next_slot_at: float = 0.0


class ReturnSlots:
    """Decides who gets the tokens of a service; not thread-safe."""

    def __init__(self) -> None:
        self._classes: dict[tuple[ServiceId, int], ClassDemand] = {}

    def record_request(self, service: ServiceId, priority: int, now: float) -> None:
        """Count a request toward the demand of its class."""
        demand = self._classes.setdefault((service, priority), ClassDemand())
        demand.count = self._decay(demand, now) + 1.0
        demand.counted_at = now

    def is_admitted(
        self, service: ServiceId, priority: int, supply: TokenSupply, now: float
    ) -> bool:
        """Return whether a request may take a token.

        Parameters
        ----------
        service : ServiceId
        priority : int
            0 is the most urgent.
        supply : TokenSupply
        now : float
        """
        if supply.whole < 1:
            return False
        demand = self._classes.get((service, priority))
        if demand is not None and demand.waits_since is not None:
            wait_s = max(WAIT_MAX_S, WAIT_TOKENS / max(supply.rate, RATE_MIN))
            if now - demand.waits_since >= wait_s:
                return True
        return supply.whole > self.count_reserved(service, priority, supply, now)

    def count_reserved(
        self, service: ServiceId, priority: int, supply: TokenSupply, now: float
    ) -> int:
        """Return the tokens that are kept for more urgent requests."""
        urgent = sum(
            self._decay(demand, now) / DEMAND_MEMORY_S
            for (other, level), demand in self._classes.items()
            if other == service and level < priority
        )
        if urgent <= 0 or supply.rate <= 0:
            return 0
        demand_per_token = urgent / supply.rate
        if demand_per_token <= DEMAND_SPARED:
            return 0
        # Those that come until the next token, and one more, as they come at random.
        wanted = math.ceil(demand_per_token) + 1
        return min(wanted, int(supply.depth * RESERVE_FRACTION_MAX))

    def record_taken(self, service: ServiceId, priority: int) -> None:
        """Note that a class got a token."""
        demand = self._classes.get((service, priority))
        if demand is not None:
            demand.waits_since = None

    def take_slot(
        self, service: ServiceId, priority: int, supply: TokenSupply, now: float
    ) -> float:
        """Return the seconds after which a rejected caller should come back.

        Notes
        -----
        Each caller gets the next slot, one new token later than the one before. Those
        for whom there is none within the longest delay come back after it.
        """
        demand = self._classes.setdefault((service, priority), ClassDemand())
        if demand.waits_since is None:
            demand.waits_since = now
        token_s = 1.0 / max(supply.rate, RATE_MIN)
        # The rate may have risen since this slot was computed.
        latest_at = now + RETRY_AFTER_MAX_S + token_s
        demand.next_slot_at = min(demand.next_slot_at, latest_at)
        slot_at = max(demand.next_slot_at, now + supply.next_s)
        if slot_at - now < RETRY_AFTER_MAX_S:
            demand.next_slot_at = slot_at + token_s
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, slot_at - now))

    @staticmethod
    def _decay(demand: ClassDemand, now: float) -> float:
        age_s = max(0.0, now - demand.counted_at)
        return demand.count * math.exp(-age_s / DEMAND_MEMORY_S)


__all__ = ["ReturnSlots", "TokenSupply"]
