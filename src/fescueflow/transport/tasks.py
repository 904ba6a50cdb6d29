"""Background tasks that can be started and stopped."""

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait

STOP_TIMEOUT_S = 2.0


class Task:
    """A function that runs in its own thread until it is stopped.

    Parameters
    ----------
    name : str
        Name of the thread.
    run : callable
        Called with an event that is set when the task must end.
    """

    def __init__(self, name: str, run: Callable[[threading.Event], None]) -> None:
        self._name = name
        self._run = run
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._executor: ThreadPoolExecutor | None = None
        self._future: Future[None] | None = None

    def start(self) -> None:
        """Start the task if it is not running."""
        with self._lock:
            if self._executor is not None:
                return
            self._stopping = threading.Event()
            self._executor = ThreadPoolExecutor(1, self._name)
            self._future = self._executor.submit(self._run, self._stopping)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Ask the task to end and wait for it.

        Returns
        -------
        bool
            Whether the task ended within the timeout.
        """
        with self._lock:
            executor, future = self._executor, self._future
            self._executor = self._future = None
            self._stopping.set()
        if executor is None or future is None:
            return True
        executor.shutdown(wait=False)
        done, _ = wait([future], timeout_s)
        return bool(done)


__all__ = ["Task"]
