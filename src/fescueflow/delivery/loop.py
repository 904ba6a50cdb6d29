"""One task that waits for the bytes of all streams."""

import contextlib
import select
import socket
import threading
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

import logbook

from fescueflow.core import Clock
from fescueflow.delivery.exchange import AttemptFailed, FailureReason
from fescueflow.metrics import Metrics

# How often time limits are checked while streams are open.
TICK_S = 0.05
# Least time between two waits for bytes. Each wake-up from an idle wait costs as
# much as one or two tokens, so tokens that arrive within this time share one; it
# is the longest that a token waits.
PACE_S = 0.002
STOP_TIMEOUT_S = 2.0

log = logbook.Logger("delivery")


class StreamSource(ABC):
    """A stream that the loop reads; its methods must not block."""

    @abstractmethod
    def get_socket(self) -> socket.socket:
        """Return the connection to wait for."""

    @abstractmethod
    def receive(self) -> bool:
        """Take what has arrived; return whether the stream stays in the loop.

        Raises
        ------
        BlockingIOError
            If nothing has arrived.
        """

    @abstractmethod
    def check_time(self) -> bool:
        """Return whether the stream's time limits let it stay in the loop."""


@dataclass
class StreamEntry:
    """A stream in the loop, and what its task waits for."""

    source: StreamSource
    descriptor: int
    is_paused: bool = False
    done: threading.Event = field(default_factory=threading.Event)
    error: Exception | None = None


class StreamLoop:
    """Reads streams in one thread.

    Parameters
    ----------
    clock : Clock
    metrics : Metrics
    selector : select.epoll, optional
        Waits for the bytes of all streams.

    Notes
    -----
    With a thread for each stream, every system call of one thread hands the
    interpreter lock to another: 3 to 5 context switches for each token. Here a
    stream's own thread sleeps, and one thread serves all that have bytes. The
    thread starts with the first stream and waits without waking up while there
    is none. If it ends by an unexpected error, the attempts in it fail as
    ``LOOP_FAILED``, and later streams are read by their own threads.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, selector: select.epoll | None = None
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._epoll = selector or select.epoll()
        self._entries: dict[int, StreamEntry] = {}
        self._has_work = threading.Event()
        self._stopped = False
        self._failed = False
        self._thread: threading.Thread | None = None

    def run(self, source: StreamSource) -> None:
        """Read a stream until it leaves the loop; at once if the loop has stopped.

        Parameters
        ----------
        source : StreamSource
            Only the loop's thread uses it meanwhile.

        Raises
        ------
        AttemptFailed
            If the loop has ended by an unexpected error, which says nothing about
            the upstream.
        """
        entry = StreamEntry(source, source.get_socket().fileno())
        with self._lock:
            if self._stopped or entry.descriptor < 0:
                return
            if self._thread is None:
                # Kept once it runs: no stream may wait for a thread that did not
                # start.
                thread = threading.Thread(
                    target=self._work, name="streams", daemon=True
                )
                thread.start()
                self._thread = thread
            # Registered first: a refused registration leaves no entry behind. The
            # thread takes the lock before it looks an entry up.
            self._epoll.register(entry.descriptor, select.EPOLLIN)
            self._entries[entry.descriptor] = entry
            self._has_work.set()
        entry.done.wait()
        if entry.error is not None:
            raise entry.error

    def stop(self) -> None:
        """Give all streams back to their tasks and end the thread."""
        with self._lock:
            self._stopped = True
            thread = self._thread
            self._has_work.set()
        if thread is not None:
            thread.join(STOP_TIMEOUT_S)

    def has_failed(self) -> bool:
        """Return whether the thread has ended by an unexpected error."""
        return self._failed

    def _work(self) -> None:
        try:
            self._serve_all()
        except Exception as error:
            self._failed = True
            self._metrics.count("stream_loop_failures")
            log.error("the loop of all streams has failed: {!r}", error)
        finally:
            self._release_all()

    def _release_all(self) -> None:
        """Give all streams back to their tasks, as failed if the loop has failed."""
        with self._lock:
            self._stopped = True
            entries = list(self._entries.values())
            self._entries.clear()
        for entry in entries:
            if self._failed:
                entry.error = AttemptFailed(FailureReason.LOOP_FAILED, True)
            entry.done.set()

    def _serve_all(self) -> None:
        next_tick = self._clock.monotonic() + TICK_S
        while not self._stopped:
            self._has_work.wait()
            ready = self._epoll.poll(TICK_S)
            for descriptor, _ in ready:
                with self._lock:
                    entry = self._entries[descriptor]
                self._serve(entry)
            if ready:
                time.sleep(PACE_S)
            if self._clock.monotonic() >= next_tick:
                self._check_times()
                next_tick = self._clock.monotonic() + TICK_S

    def _serve(self, entry: StreamEntry) -> None:
        try:
            if not entry.source.receive():
                self._remove(entry)
        except BlockingIOError:
            # Asking again at once would not let the thread sleep.
            with contextlib.suppress(OSError):
                self._epoll.unregister(entry.descriptor)
            entry.is_paused = True
        except Exception as error:  # noqa: BLE001
            entry.error = error
            self._remove(entry)

    def _check_times(self) -> None:
        for entry in list(self._entries.values()):
            try:
                stays = entry.source.check_time()
            except Exception as error:  # noqa: BLE001
                stays, entry.error = False, error
            if not stays:
                self._remove(entry)
            elif entry.is_paused:
                entry.is_paused = False
                with contextlib.suppress(OSError):
                    self._epoll.register(entry.descriptor, select.EPOLLIN)
        with self._lock:
            if not self._entries and not self._stopped:
                self._has_work.clear()

    def _remove(self, entry: StreamEntry) -> None:
        with self._lock:
            del self._entries[entry.descriptor]
            # The task of a stopped instance may have closed the connection.
            with contextlib.suppress(OSError):
                self._epoll.unregister(entry.descriptor)
        entry.done.set()


__all__ = ["StreamLoop", "StreamSource"]
