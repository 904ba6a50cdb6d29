"""Threads that serve requests, some of them for operators only."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

# Pages that say whether the instance works. They are short, so two threads are
# enough, and a slow page does not hold up the other ones.
RESERVED_PATHS = frozenset({"/healthz", "/readyz", "/metrics", "/v1/status"})
RESERVED_THREADS = 2


class ReservedThreads:
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

    def __init__(self, calls: ThreadedTaskDispatcher) -> None:
        self._calls = calls
        self._pages = ThreadedTaskDispatcher()
        self._pages.set_thread_count(RESERVED_THREADS)

    def add_task(self, channel: Any) -> None:
        """Queue the first request of a connection."""
        # A request that can't be parsed has no path.
        path = getattr(channel.requests[0], "path", None)
        threads = self._pages if path in RESERVED_PATHS else self._calls
        threads.add_task(channel)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """End the threads; return whether both parts cancelled what was queued."""
        ended = [
            threads.shutdown(cancel_pending, timeout)
            for threads in (self._pages, self._calls)
        ]
        return all(ended)


__all__ = ["ReservedThreads"]
