"""Threads that serve requests, some of them reserved for monitoring."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

# Health and monitoring endpoints. Their responses are short, so two threads are
# enough, and a slow response does not block the others.
RESERVED_PATHS = frozenset({"/healthz", "/readyz", "/metrics", "/v1/status"})
RESERVED_THREAD_COUNT = 2


class ReservedThreadDispatcher:
    """Task dispatcher of waitress with reserved threads for monitoring endpoints.

    Parameters
    ----------
    default_dispatcher : ThreadedTaskDispatcher
        Serves all other requests.

    Notes
    -----
    A stream holds its thread until it ends. Without reserved threads, a monitoring
    request would wait for the end of a stream while streams hold all threads.
    """

    def __init__(self, default_dispatcher: ThreadedTaskDispatcher) -> None:
        self._default_dispatcher = default_dispatcher
        self._reserved_dispatcher = ThreadedTaskDispatcher()
        self._reserved_dispatcher.set_thread_count(RESERVED_THREAD_COUNT)

    def add_task(self, channel: Any) -> None:
        """Queue the first request of a connection."""
        # A malformed request has no path.
        path = getattr(channel.requests[0], "path", None)
        thread_dispatcher = (
            self._reserved_dispatcher
            if path in RESERVED_PATHS
            else self._default_dispatcher
        )
        thread_dispatcher.add_task(channel)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """End the threads; return whether both dispatchers cancelled queued tasks."""
        cancelled = [
            thread_dispatcher.shutdown(cancel_pending, timeout)
            for thread_dispatcher in (
                self._reserved_dispatcher,
                self._default_dispatcher,
            )
        ]
        return all(cancelled)


__all__ = ["ReservedThreadDispatcher"]
