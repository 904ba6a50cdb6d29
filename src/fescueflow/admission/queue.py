"""Queue of one upstream: priority classes, fair between customers."""

import threading
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from math import inf, nextafter
from typing import Any

from fescueflow.admission.slots import Grantee, SlotDemand
from fescueflow.core import CustomerId, Priority

QUEUE_MAX = 1000
# A waiting entry looks at its queue this often, besides at each release.
QUEUE_POLL_S = 0.1
# Least time between two looks for a slot to recall.
LOOK_MIN_S = 0.02
# One grant in this many goes to the oldest entry of any class, so that lower
# classes progress while higher ones are busy.
OLDEST_EVERY = 16
# A requester that waits in short intervals keeps its place for this long.
PLACE_KEPT_S = 1.0


@dataclass(eq=False)
class Waiter:
    """One entry; ``event`` is set when ``answer`` is.

    ``look_at`` is when a slot may be recalled for it that has just begun.
    """

    grantee: Grantee
    demand: SlotDemand
    deadline: float
    enqueued_at: float
    start_tag: float = 0.0
    event: threading.Event = field(default_factory=threading.Event)
    answer: Any = None
    look_at: float = inf

    @property
    def key(self) -> tuple[Grantee, str]:
        """Identity of the demand across repeats."""
        return (self.grantee, self.demand.request_key)

    def get_pause(self, now: float) -> float:
        """Return how long the entry waits before it looks at its queue again."""
        return min(QUEUE_POLL_S, max(LOOK_MIN_S, self.look_at - now))


class FairClass:
    """Entries of one priority, ordered by start-time fair queueing.

    Notes
    -----
    Goyal, Vin and Cheng, "Start-time fair queuing", IEEE/ACM Transactions on
    Networking, 1997.
    """

    def __init__(self) -> None:
        self.entries: list[Waiter] = []
        self._virtual_time = 0.0
        self._finish_tags: dict[CustomerId, float] = {}

    def add(self, waiter: Waiter, start_tag: float | None) -> None:
        """Append an entry, at its former place if it had one."""
        customer = waiter.demand.customer
        finish = self._finish_tags.get(customer, 0.0)
        waiter.start_tag = max(self._virtual_time, finish)
        if start_tag is not None:
            waiter.start_tag = min(start_tag, waiter.start_tag)
        cost = 1 / max(1, waiter.demand.share)
        self._finish_tags[customer] = max(finish, waiter.start_tag + cost)
        if waiter.demand.resumed:
            # Before the customer's other entries, between customers as any other.
            tags = [w.start_tag for w in self.entries if w.demand.customer == customer]
            first = nextafter(min(tags, default=waiter.start_tag), -inf)
            waiter.start_tag = min(waiter.start_tag, first)
        self.entries.append(waiter)

    def remove(self, waiter: Waiter, served: bool) -> None:
        """Take out an entry; an unserved one does not count as service."""
        self.entries.remove(waiter)
        customer = waiter.demand.customer
        if served:
            self._virtual_time = max(self._virtual_time, waiter.start_tag)
        elif not any(w.demand.customer == customer for w in self.entries):
            self._finish_tags[customer] = waiter.start_tag
        if len(self._finish_tags) > 2 * QUEUE_MAX:
            self._finish_tags = {
                c: tag
                for c, tag in self._finish_tags.items()
                if tag > self._virtual_time
            }


class WaitQueue:
    """All entries of one upstream; guarded by the lock of its owner."""

    def __init__(self) -> None:
        self._classes = {priority: FairClass() for priority in Priority}
        self._kept: dict[tuple[Grantee, str], tuple[float, float, float]] = {}
        self._picks = 0

    def __len__(self) -> int:
        return sum(len(c.entries) for c in self._classes.values())

    def list_waiters(self) -> list[Waiter]:
        """Return all entries."""
        return [w for c in self._classes.values() for w in c.entries]

    def add(self, waiter: Waiter, now: float) -> Waiter | None:
        """Append an entry; return one that must be refused because of it.

        When the queue is full, the customer with the most entries for its
        share loses its latest one.
        """
        enqueued_at, start_tag, until = self._kept.pop(waiter.key, (now, 0.0, 0.0))
        kept = until > now
        waiter.enqueued_at = enqueued_at if kept else now
        self._get_class(waiter).add(waiter, start_tag if kept else None)
        if len(self) <= QUEUE_MAX:
            return None
        displaced = self._find_displaced()
        self.remove(displaced, served=False)
        return displaced

    def _find_displaced(self) -> Waiter:
        waiters = self.list_waiters()
        counts = Counter(w.demand.customer for w in waiters)
        heaviest = max(
            waiters,
            key=lambda w: (
                counts[w.demand.customer] / max(1, w.demand.share),
                w.enqueued_at,
            ),
        )
        own = [w for w in waiters if w.demand.customer == heaviest.demand.customer]
        return max(own, key=lambda w: w.enqueued_at)

    def _get_class(self, waiter: Waiter) -> FairClass:
        return self._classes[waiter.demand.priority]

    def get_next(
        self,
        restrained: Collection[CustomerId] = (),
        recallable_only: Collection[CustomerId] = (),
    ) -> Waiter | None:
        """Return the entry that is served next.

        Parameters
        ----------
        restrained : collection of CustomerId, optional
            Customers whose entries are passed over.
        recallable_only : collection of CustomerId, optional
            Customers whose entries are passed over unless they are recallable.
        """
        waiters = [
            w
            for w in self.list_waiters()
            if w.demand.customer not in restrained
            and (w.demand.recallable or w.demand.customer not in recallable_only)
        ]
        if not waiters:
            return None
        if (self._picks + 1) % OLDEST_EVERY == 0:
            return min(waiters, key=lambda w: w.enqueued_at)
        return min(
            waiters, key=lambda w: (w.demand.priority, w.start_tag, w.enqueued_at)
        )

    def remove(self, waiter: Waiter, served: bool) -> None:
        """Take out an entry that was served or refused."""
        if served:
            self._picks += 1
        if waiter in self._get_class(waiter).entries:
            self._get_class(waiter).remove(waiter, served)

    def keep_place(self, waiter: Waiter, now: float) -> None:
        """Remember the place of an entry whose wait interval ended."""
        self._kept = {k: v for k, v in self._kept.items() if v[2] > now}
        self._kept[waiter.key] = (
            waiter.enqueued_at,
            waiter.start_tag,
            now + PLACE_KEPT_S,
        )

    def count_ahead(
        self, waiter: Waiter, customers: Collection[CustomerId] | None = None
    ) -> int:
        """Return how many entries, of some customers only, are served before."""
        place = (waiter.demand.priority, waiter.start_tag)
        return sum(
            (w.demand.priority, w.start_tag) < place
            and (customers is None or w.demand.customer in customers)
            for w in self.list_waiters()
        )


__all__ = ["FairClass", "WaitQueue", "Waiter"]
