"""Event loop that reads all streams in one thread."""

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

# Interval of the timeout checks while streams are open.
TIMEOUT_CHECK_INTERVAL_S = 0.05
# Minimum time between two polls. Waking up from an idle wait costs as much as
# relaying one or two tokens, so tokens that arrive within this time are handled
# together. This delays a token by at most this time.
POLL_INTERVAL_MIN_S = 0.002
STOP_TIMEOUT_S = 2.0

log = logbook.Logger("delivery")


class StreamSource(ABC):
    """Interface of the streams in the loop; its methods must not block."""

    @abstractmethod
    def get_socket(self) -> socket.socket:
        """Return the socket to poll."""

    @abstractmethod
    def receive(self) -> bool:
        """Process what has arrived; return whether the stream stays in the loop.

        Raises
        ------
        BlockingIOError
            If nothing has arrived.
        """

    @abstractmethod
    def check_timeout(self) -> bool:
        """Return whether the stream is within its time limits."""


@dataclass
class StreamEntry:
    """State of a stream in the loop.

    Attributes
    ----------
    source : StreamSource
    descriptor : int
        File descriptor of the socket.
    is_paused : bool
        Whether the descriptor is not polled until the next timeout check.
    done : threading.Event
        Set when the stream has left the loop.
    error : Exception or None
        Raised in the stream's own thread.
    """

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
        Polls the sockets of all streams; created if omitted.

    Notes
    -----
    With a thread for each stream, every system call of one thread hands the
    interpreter lock to another, which costs 3 to 5 context switches per token.
    Here the thread of each stream sleeps, and one thread serves all streams that
    have data. It starts with the first stream and sleeps while there is none. If
    it ends by an unexpected error, the attempts in the loop fail as
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
        self._has_streams = threading.Event()
        self._stopped = False
        self._failed = False
        self._thread: threading.Thread | None = None

    def run(self, source: StreamSource) -> None:
        """Read a stream until it leaves the loop.

        Returns immediately if the loop has stopped.

        Parameters
        ----------
        source : StreamSource
            Must not be used by other threads until this method returns.

        Raises
        ------
        AttemptFailed
            If the loop has ended by an unexpected error, which the upstream did
            not cause.
        """
        entry = StreamEntry(source, source.get_socket().fileno())
        with self._lock:
            if self._stopped or entry.descriptor < 0:
                return
            if self._thread is None:
                # Assigned only after it has started: no stream may wait for a
                # thread that failed to start.
                thread = threading.Thread(
                    target=self._run_thread, name="streams", daemon=True
                )
                thread.start()
                self._thread = thread
            # Registered first, so that a failed registration leaves no entry. The
            # thread can't miss the entry, since it looks entries up under the lock.
            self._epoll.register(entry.descriptor, select.EPOLLIN)
            self._entries[entry.descriptor] = entry
            self._has_streams.set()
        entry.done.wait()
        if entry.error is not None:
            raise entry.error

    def stop(self) -> None:
        """Return all streams to their own threads and end the loop's thread."""
        with self._lock:
            self._stopped = True
            thread = self._thread
            self._has_streams.set()
        if thread is not None:
            thread.join(STOP_TIMEOUT_S)

    def has_failed(self) -> bool:
        """Return whether the loop has ended by an unexpected error."""
        return self._failed

    def _run_thread(self) -> None:
        try:
            self._poll_streams()
        except Exception as error:
            self._failed = True
            self._metrics.count("stream_loop_failures")
            log.error("the event loop of the streams has failed: {!r}", error)
        finally:
            self._release_all()

    def _release_all(self) -> None:
        """Return all streams to their own threads, with an error if the loop failed."""
        with self._lock:
            self._stopped = True
            entries = list(self._entries.values())
            self._entries.clear()
        for entry in entries:
            if self._failed:
                entry.error = AttemptFailed(FailureReason.LOOP_FAILED, True)
            entry.done.set()

    def _poll_streams(self) -> None:
        next_check_at = self._clock.monotonic() + TIMEOUT_CHECK_INTERVAL_S
        while not self._stopped:
            self._has_streams.wait()
            ready = self._epoll.poll(TIMEOUT_CHECK_INTERVAL_S)
            for descriptor, _ in ready:
                with self._lock:
                    entry = self._entries[descriptor]
                self._receive(entry)
            if ready:
                time.sleep(POLL_INTERVAL_MIN_S)
            if self._clock.monotonic() >= next_check_at:
                self._check_timeouts()
                next_check_at = self._clock.monotonic() + TIMEOUT_CHECK_INTERVAL_S

    def _receive(self, entry: StreamEntry) -> None:
        try:
            if not entry.source.receive():
                self._remove(entry)
        except BlockingIOError:
            # Polling the socket again immediately would be a busy loop.
            with contextlib.suppress(OSError):
                self._epoll.unregister(entry.descriptor)
            entry.is_paused = True
        except Exception as error:  # noqa: BLE001
            entry.error = error
            self._remove(entry)

    def _check_timeouts(self) -> None:
        for entry in list(self._entries.values()):
            try:
                stays_in_loop = entry.source.check_timeout()
            except Exception as error:  # noqa: BLE001
                stays_in_loop, entry.error = False, error
            if not stays_in_loop:
                self._remove(entry)
            elif entry.is_paused:
                entry.is_paused = False
                with contextlib.suppress(OSError):
                    self._epoll.register(entry.descriptor, select.EPOLLIN)
        with self._lock:
            if not self._entries and not self._stopped:
                self._has_streams.clear()

    def _remove(self, entry: StreamEntry) -> None:
        with self._lock:
            del self._entries[entry.descriptor]
            # While the instance stops, the stream may have been closed already.
            with contextlib.suppress(OSError):
                self._epoll.unregister(entry.descriptor)
        entry.done.set()


__all__ = ["StreamLoop", "StreamSource"]
