"""Closes the connections of callers outside the limits; runs in a server's loop."""

import time
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

import logbook

from fescueflow.core import Overloaded, RequestError, RequestTooSlow
from fescueflow.gateway.caller_memory import SMALL_BYTES, Excess
from fescueflow.gateway.caller_requests import RETRY_AFTER_MS, CallerRules
from fescueflow.gateway.sockets import has_data
from fescueflow.routing import (
    UNREAD_S,
    CallerBound,
    Hold,
    choose_yielding,
    find_breach,
    list_large,
    list_releasable,
)

# The loop turns once a second at least.
SWEEP_INTERVAL_S = 0.5
# Callers are not blamed for the time in which the loop itself stood still.
SWEEP_LATE_S = 3.0
# Pause after those that give way did not release enough: the rest is held by requests
# that run, and the connections need not be searched for each piece that arrives.
RELIEF_INTERVAL_S = 0.02
# Part of the connections that is kept free, and that is closed at a time for that.
CONNECTIONS_FREE_FRACTION = 1 / 16
CONNECTIONS_CLOSED_FRACTION = 1 / 4
# Time without a byte after which a connection may be closed for others: TCP resends a
# packet that was lost twice sooner.
UNUSED_S = 5.0
# Bounds on what callers send.
READ_BOUNDS = (CallerBound.HEAD_TIME, CallerBound.BODY_PROGRESS)
# Answers that are cut at a time for that.
UNREAD_CUT_MAX = 32

log = logbook.Logger("server")


class CallerWatch:
    """Holds the connections of one server against the bounds.

    Parameters
    ----------
    rules : CallerRules
    listeners : list
    connections_max : int
    """

    def __init__(
        self, rules: CallerRules, listeners: list[Any], connections_max: int
    ) -> None:
        self._rules = rules
        self._listeners = listeners
        self._connections_max = connections_max
        self._swept_at = self._relief_at = time.monotonic()
        # Whether requests waited for busy threads in the last sweep.
        self._is_short_of_threads = False

    def sweep(self) -> None:
        """Hold all connections against the bounds twice a second."""
        now = time.monotonic()
        elapsed_s = now - self._swept_at
        if elapsed_s < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        self.relieve()
        if elapsed_s < SWEEP_LATE_S:
            self._end_slow(now)
            self._free_threads(now)
            self._free_connections(now)
        else:
            self._is_short_of_threads = False

    def relieve(self) -> None:
        """Have callers give way until the memory suffices.

        Notes
        -----
        If they hold too little for that, the rest is held by requests that run. Then
        only what has to go does, and requests are refused when they have been read.
        """
        now = time.monotonic()
        if now < self._relief_at:
            return
        excess = self._rules.memory.get_excess()
        if not excess.size:
            self._rules.memory.note_relief(True)
            return
        holds, size = self._limit_relief(excess, self._list_holds(excess), now)
        for channel in choose_yielding(holds, size, now):
            error = Overloaded("out of memory for requests", None, RETRY_AFTER_MS)
            self._end(channel, CallerBound.MEMORY, error)
        if self._rules.memory.is_over:
            self._relief_at = now + RELIEF_INTERVAL_S

    def _list_holds(self, excess: Excess) -> list[Hold]:
        return [
            replace(hold, held_bytes=hold.held_bytes - excess.kept_bytes)
            for channel in self._list_channels()
            if (hold := channel.get_hold()).held_bytes > excess.kept_bytes
        ]

    def _limit_relief(
        self, excess: Excess, holds: list[Hold], now: float
    ) -> tuple[list[Hold], int]:
        """Return who may give way, and the bytes that they have to release."""
        releasable = list_releasable(holds, now)
        is_enough = sum(hold.held_bytes for hold in releasable) >= excess.size
        self._rules.memory.note_relief(is_enough)
        if is_enough:
            return releasable, excess.size
        if excess.is_critical:
            return holds, excess.urgent_bytes
        if not excess.kept_bytes:
            releasable = list_large(releasable, SMALL_BYTES, now)
        return releasable, excess.urgent_bytes

    def _end_slow(self, now: float) -> None:
        limits = self._rules.get_limits()
        head_s = limits.head_s if limits else None
        for channel in self._list_channels():
            # Connections between two requests make up most of them.
            if channel.request is None and not channel.total_outbufs_len:
                continue
            bound = find_breach(channel.get_progress(now), head_s, now)
            if bound in READ_BOUNDS and has_data(channel.socket):
                # The loop is late, not the caller.
                continue
            if bound is not None:
                self._end(channel, bound, RequestTooSlow("the request came too slowly"))

    def _free_threads(self, now: float) -> None:
        """Cut answers that are not taken if requests wait for their threads."""
        was_short = self._is_short_of_threads
        self._is_short_of_threads = self._listeners[0].task_dispatcher.is_short()
        if not (was_short and self._is_short_of_threads):
            return
        unread = [
            channel
            for channel in self._list_channels()
            if channel.total_outbufs_len
            and channel.requests
            and now - channel.taken_at > UNREAD_S
        ]
        unread.sort(key=lambda channel: channel.taken_at)
        for channel in unread[:UNREAD_CUT_MAX]:
            error = Overloaded("out of threads", None, RETRY_AFTER_MS)
            self._end(channel, CallerBound.THREADS, error)

    def _free_connections(self, now: float) -> None:
        """Close unused connections if there are hardly any left for others.

        Notes
        -----
        Connections that have been idle for less than the configuration allows after an
        answer stay open, since their callers may reuse them.
        """
        channels = list(self._list_channels())
        if len(channels) < self._connections_max * (1 - CONNECTIONS_FREE_FRACTION):
            return
        limits = self._rules.get_limits()
        idle_s = limits.idle_s if limits else UNUSED_S
        unused = [c for c in channels if self._is_unused(c, idle_s, now)]
        unused.sort(key=lambda channel: channel.received_at)
        count = max(1, int(self._connections_max * CONNECTIONS_CLOSED_FRACTION))
        for channel in unused[:count]:
            if channel.request is not None or channel.total_outbufs_len:
                error = Overloaded("too many connections", None, RETRY_AFTER_MS)
                self._end(channel, CallerBound.CONNECTIONS, error)
                continue
            self._rules.record(channel.addr[0], CallerBound.CONNECTIONS, 0)
            # The loop closes it; what the caller sends meanwhile is discarded first.
            channel.will_close = True

    @staticmethod
    def _is_unused(channel: Any, idle_s: float, now: float) -> bool:
        if channel.total_outbufs_len:
            return bool(now - channel.taken_at > UNREAD_S)
        if channel.requests or channel.is_lingering or channel.will_close:
            return False
        since = max(channel.received_at, channel.answered_at)
        is_begun = channel.is_new or channel.request is not None
        if now - since <= (UNUSED_S if is_begun else idle_s):
            return False
        return not has_data(channel.socket)

    def _list_channels(self) -> Iterable[Any]:
        for listener in self._listeners:
            yield from list(listener.active_channels.values())

    @staticmethod
    def _end(channel: Any, bound: CallerBound, error: RequestError) -> None:
        try:
            channel.give_way(bound, error)
        except Exception:  # noqa: BLE001
            # The others are still held against the bounds.
            log.exception("unexpected error with a caller outside the limits")


__all__ = ["CallerWatch"]
