"""Threads that serve requests, some of them for operators only."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

# Pages that say whether the instance works. They are short, so two threads are
# enough, and a slow page does not hold up the other ones.
RESERVED_PATHS = frozenset({"/healthz", "/readyz", "/metrics", "/v1/status"})
RESERVED_THREAD_COUNT = 2


class ReservedThreadDispatcher:
    """Task dispatcher of waitress with threads for operators' pages.

    Parameters
    ----------
    calls : ThreadedTaskDispatcher
        Serves everything else.

    Notes
    -----
    A stream holds its thread until it ends. Without threads of their own, the
    pages would wait for the end of a stream while all threads hold one.
    """

    def __init__(self, default_dispatcher: ThreadedTaskDispatcher) -> None:
        self._default_dispatcher = default_dispatcher
        self._reserved_dispatcher = ThreadedTaskDispatcher()
        self._reserved_dispatcher.set_thread_count(RESERVED_THREAD_COUNT)

    def add_task(self, channel: Any) -> None:
        """Queue the first request of a connection."""
        # A request that can't be parsed has no path.
        path = getattr(channel.requests[0], "path", None)
        thread_dispatcher = (
            self._reserved_dispatcher
            if path in RESERVED_PATHS
            else self._default_dispatcher
        )
        thread_dispatcher.add_task(channel)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """End the threads; return whether both parts cancelled what was queued."""
        cancelled = [
            thread_dispatcher.shutdown(cancel_pending, timeout)
            for thread_dispatcher in (
                self._reserved_dispatcher,
                self._default_dispatcher,
            )
        ]
        return all(cancelled)


__all__ = ["ReservedThreadDispatcher"]
