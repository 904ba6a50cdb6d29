"""Pool of worker threads that grows with the number of requests in progress.

A stream holds a thread until it ends. A fixed pool on each of hundreds of instances
would need more threads than one machine allows, while most instances are idle.
"""

import logbook
from waitress.task import ThreadedTaskDispatcher

# Time after which an idle thread ends: a pause between two bursts of callers.
THREAD_IDLE_S = 5.0
THREADS_MIN = 2

log = logbook.Logger("server")


class GrowingDispatcher(ThreadedTaskDispatcher):
    """Task dispatcher that starts a thread if no other is idle.

    Parameters
    ----------
    threads_max : int
    idle_s : float, optional
        Time after which an idle thread ends.
    """

    def __init__(self, threads_max: int, idle_s: float = THREAD_IDLE_S) -> None:
        super().__init__()
        self._threads_max = threads_max
        self._idle_s = idle_s

    def set_thread_count(self, count: int) -> None:
        """Start the smallest number of threads, or stop all if ``count`` is 0."""
        super().set_thread_count(min(count, THREADS_MIN))

    def add_task(self, task: object) -> None:
        """Queue a task and start a thread for it if none is idle."""
        with self.lock:
            self.queue.append(task)
            running = len(self.threads) - self.stop_count
            if (
                len(self.queue) > running - self.active_count
                and running < self._threads_max
            ):
                self._start_thread()
            self.queue_cv.notify()

    def is_short(self) -> bool:
        """Return whether tasks wait while all threads are busy."""
        with self.lock:
            running = len(self.threads) - self.stop_count
            return bool(self.queue) and self.active_count >= running

    def handler_thread(self, thread_no: int) -> None:
        """Run tasks until the thread has been idle for long or has to stop."""
        while (task := self._take_task(thread_no)) is not None:
            try:
                task.service()
            except BaseException:  # noqa: B036, BLE001
                log.exception("unexpected error in a thread")
                # Otherwise the connection would stay open without an answer.
                task.cancel()

    def _take_task(self, thread_no: int):  # type: ignore[no-untyped-def]
        """Return the next task, ``None`` if the thread has to end."""
        with self.lock:
            while not self.queue and self.stop_count == 0:
                self.active_count -= 1
                is_notified = self.queue_cv.wait(self._idle_s)
                self.active_count += 1
                if is_notified or self.queue or self.stop_count:
                    continue
                if len(self.threads) > THREADS_MIN:
                    return self._end_thread(thread_no)
            if self.stop_count:
                self.stop_count -= 1
                return self._end_thread(thread_no)
            return self.queue.popleft()

    def _end_thread(self, thread_no: int) -> None:
        self.active_count -= 1
        self.threads.discard(thread_no)
        self.thread_exit_cv.notify()

    def _start_thread(self) -> None:
        thread_no = next(n for n in range(self._threads_max) if n not in self.threads)
        try:
            self.start_new_thread(self.handler_thread, thread_no)
        except RuntimeError as error:
            # The machine has no more; the task waits for a running thread.
            log.error("no thread started: {}", error)
            return
        self.threads.add(thread_no)
        self.active_count += 1


__all__ = ["GrowingDispatcher"]
