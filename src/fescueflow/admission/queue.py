"""Wait queue of one upstream, fair between customers within priority classes."""

import threading
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from math import inf, nextafter
from typing import Any

from fescueflow.admission.slots import Grantee, SlotDemand
from fescueflow.core import CustomerId, Priority

QUEUE_MAX = 1000
# Longest interval between two polls of the queue by a waiting entry; releases serve
# the queue as well.
QUEUE_POLL_S = 0.1
# Shortest interval between two checks for a slot to recall.
RECALL_CHECK_MIN_S = 0.02
# One grant in this many goes to the oldest entry of any class, so that lower
# classes make progress while higher ones are busy.
OLDEST_GRANT_PERIOD = 16
# How long a requester that waits in short intervals keeps its place between them.
PLACE_RETENTION_S = 1.0


@dataclass(eq=False)
class Waiter:
    """Entry of a wait queue.

    ``event`` is set once ``result`` holds the grant or refusal. ``start_tag`` is
    the position in virtual time of start-time fair queueing. ``next_recall_at`` is
    the earliest time at which a slot may be recalled for the entry.
    """

    grantee: Grantee
    demand: SlotDemand
    deadline: float
    enqueued_at: float
    start_tag: float = 0.0
    event: threading.Event = field(default_factory=threading.Event)
    result: Any = None
    next_recall_at: float = inf

    @property
    def key(self) -> tuple[Grantee, str]:
        """Key that identifies a repeated demand."""
        return (self.grantee, self.demand.request_key)

    def get_poll_interval(self, now: float) -> float:
        """Return the time in seconds until the entry polls its queue again."""
        return min(QUEUE_POLL_S, max(RECALL_CHECK_MIN_S, self.next_recall_at - now))


class FairQueue:
    """Entries of one priority class, ordered by start-time fair queueing.

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
        """Add an entry, at its former place if it has a former start tag."""
        customer = waiter.demand.customer
        finish = self._finish_tags.get(customer, 0.0)
        waiter.start_tag = max(self._virtual_time, finish)
        if start_tag is not None:
            waiter.start_tag = min(start_tag, waiter.start_tag)
        cost = 1 / max(1, waiter.demand.share)
        self._finish_tags[customer] = max(finish, waiter.start_tag + cost)
        if waiter.demand.resumed:
            # A resumed entry precedes its customer's other entries but gets no
            # priority over other customers.
            tags = [w.start_tag for w in self.entries if w.demand.customer == customer]
            first = nextafter(min(tags, default=waiter.start_tag), -inf)
            waiter.start_tag = min(waiter.start_tag, first)
        self.entries.append(waiter)

    def remove(self, waiter: Waiter, served: bool) -> None:
        """Remove an entry; only a served one advances the virtual time."""
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
    """Waiting entries of one upstream; callers hold the lock of its slot pool."""

    def __init__(self) -> None:
        self._classes = {priority: FairQueue() for priority in Priority}
        self._retained_places: dict[
            tuple[Grantee, str], tuple[float, float, float]
        ] = {}
        self._grants = 0

    def __len__(self) -> int:
        return sum(len(c.entries) for c in self._classes.values())

    def list_waiters(self) -> list[Waiter]:
        """Return all entries in no particular order."""
        return [w for c in self._classes.values() for w in c.entries]

    def add(self, waiter: Waiter, now: float) -> Waiter | None:
        """Add an entry; return the entry that is evicted for it, if any.

        When the queue is full, the customer with the most entries in relation to
        its share loses its latest one.
        """
        enqueued_at, start_tag, expires_at = self._retained_places.pop(
            waiter.key, (now, 0.0, 0.0)
        )
        is_retained = expires_at > now
        waiter.enqueued_at = enqueued_at if is_retained else now
        self._get_class(waiter).add(waiter, start_tag if is_retained else None)
        if len(self) <= QUEUE_MAX:
            return None
        evicted = self._choose_evicted()
        self.remove(evicted, served=False)
        return evicted

    def _choose_evicted(self) -> Waiter:
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

    def _get_class(self, waiter: Waiter) -> FairQueue:
        return self._classes[waiter.demand.priority]

    def get_next(
        self,
        throttled: Collection[CustomerId] = (),
        recallable_only: Collection[CustomerId] = (),
    ) -> Waiter | None:
        """Return the entry to serve next, ``None`` if there is none.

        Parameters
        ----------
        throttled : collection of CustomerId, optional
            Customers whose entries are skipped.
        recallable_only : collection of CustomerId, optional
            Customers whose entries are skipped unless they are recallable.
        """
        waiters = [
            w
            for w in self.list_waiters()
            if w.demand.customer not in throttled
            and (w.demand.recallable or w.demand.customer not in recallable_only)
        ]
        if not waiters:
            return None
        if (self._grants + 1) % OLDEST_GRANT_PERIOD == 0:
            return min(waiters, key=lambda w: w.enqueued_at)
        return min(
            waiters, key=lambda w: (w.demand.priority, w.start_tag, w.enqueued_at)
        )

    def remove(self, waiter: Waiter, served: bool) -> None:
        """Remove an entry that was served or refused."""
        if served:
            self._grants += 1
        if waiter in self._get_class(waiter).entries:
            self._get_class(waiter).remove(waiter, served)

    def retain_place(self, waiter: Waiter, now: float) -> None:
        """Retain the place of an entry whose wait interval ended."""
        self._retained_places = {
            k: v for k, v in self._retained_places.items() if v[2] > now
        }
        self._retained_places[waiter.key] = (
            waiter.enqueued_at,
            waiter.start_tag,
            now + PLACE_RETENTION_S,
        )

    def count_ahead(
        self, waiter: Waiter, customers: Collection[CustomerId] | None = None
    ) -> int:
        """Return the number of entries served before ``waiter``.

        With ``customers``, only entries of these customers count.
        """
        place = (waiter.demand.priority, waiter.start_tag)
        return sum(
            (w.demand.priority, w.start_tag) < place
            and (customers is None or w.demand.customer in customers)
            for w in self.list_waiters()
        )


__all__ = ["FairQueue", "WaitQueue", "Waiter"]
