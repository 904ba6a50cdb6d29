"""HTTP servers of one instance."""

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import logbook
from logbook.compat import RedirectLoggingHandler
from waitress import create_server
from waitress.wasyncore import close_all, dispatcher

from fescueflow.gateway.caller_requests import CallerRules
from fescueflow.gateway.caller_watch import CallerWatch
from fescueflow.gateway.channels import make_channel_class
from fescueflow.gateway.sockets import has_data
from fescueflow.gateway.streams import StreamBroken
from fescueflow.gateway.threads import GrowingDispatcher
from fescueflow.gateway.unanswered import UnansweredRequests

# Sizes are checked by the requests themselves, as the configuration says.
UNLIMITED_BYTES = 1 << 60
# Unsent output at which a response waits for the caller.
OUTPUT_HIGH_WATERMARK_BYTES = 1 << 18
# Above any pending output: waitress writes larger buffers to a file.
SPILL_THRESHOLD_BYTES = 1 << 30
# Above the operators' idle limits, so that callers close first.
IDLE_TIMEOUT_S = 60
CONNECTIONS_MAX = 3000
# Parts of the machine's descriptors for callers, and for operators and the platform.
# The others are for upstreams, for which a caller's request needs one or two.
CALLERS_FDS_FRACTION = 3 / 4
STATUS_FDS_FRACTION = 1 / 16
# Kernel buffer for what callers send, which the kernel doubles. A link of 100 Mbit/s
# with a round trip of 6 ms needs 75 KB; up to 6 MB without this.
RECEIVE_BUFFER_BYTES = 1 << 17
# Kernel buffer for answers, which the kernel doubles to 64 KiB, and the part of it that
# may wait to be sent. The kernel asks for more only when a third of the buffer is free,
# so that a caller of 12 KB/s seemed to take nothing for 6 s with 256 KiB.
SEND_BUFFER_BYTES = 1 << 15
UNSENT_BYTES = 1 << 14
# A stream holds its thread until it ends; as many as one engine has slots.
CALLER_THREADS = 128
STATUS_THREADS = 2
POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 0.1
# Pause after a connection could not be accepted, for descriptors to be released.
ACCEPT_PAUSE_S = 0.1
LOOP_ERROR = "unexpected error in the server's loop"
# Time without a byte after which a stop no longer waits for the rest of a request, or
# for the first one of a connection: TCP resends a lost packet sooner.
REST_WAIT_S = 1.0


log = logbook.Logger("server")


def is_unexpected(record: logging.LogRecord) -> bool:
    """Return whether a log record is not about a stream that an upstream broke."""
    cause = record.exc_info[1] if record.exc_info else None
    return not isinstance(cause, StreamBroken)


def run_in_loop(listener: Any, action: Callable[[], None]) -> None:
    """Run an action in the server's loop; do nothing if the loop has ended."""

    def run() -> None:
        try:
            action()
        except Exception:  # noqa: BLE001
            log.exception(LOOP_ERROR)

    # The trigger is closed once the loop has ended.
    with contextlib.suppress(OSError):
        listener.trigger.pull_trigger(run)


def limit_connections(max_fds: float, fraction: float) -> int:
    """Return how many connections a server takes.

    Parameters
    ----------
    max_fds : float
        Descriptors of the machine, 0 if not known.
    fraction : float
        The server's part of them.
    """
    return min(CONNECTIONS_MAX, int(max_fds * fraction) or CONNECTIONS_MAX)


def limit_socket_buffers(listener: Any) -> None:
    """Bound the kernel's memory for connections that are not read or written."""
    options = [
        (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
        (socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES),
    ]
    if hasattr(socket, "TCP_NOTSENT_LOWAT"):
        options.append((socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES))
    for option in options:
        listener.socket.setsockopt(*option)


def pause_after_errors(listener: Any, sweep: Callable[[], None]) -> None:
    """Let a listener go on after an error, at a pace that leaves time for requests.

    Notes
    -----
    Without free descriptors, a connection stays in the backlog: the server's loop would
    try it again at once and without end. Any other error would close the listener.
    The loop calls ``sweep`` in each turn.
    """
    handle_accept, readable = listener.handle_accept, listener.readable
    paused_until = 0.0

    def accept() -> Any:
        nonlocal paused_until
        try:
            return type(listener).accept(listener)
        except OSError as error:
            log.error("no connection accepted: {}", error)
            paused_until = time.monotonic() + ACCEPT_PAUSE_S
            return None

    def accept_safely() -> None:
        try:
            handle_accept()
        except Exception:  # noqa: BLE001
            log.exception("unexpected error with a new connection")

    def is_readable() -> bool:
        try:
            sweep()
        except Exception:  # noqa: BLE001
            log.exception(LOOP_ERROR)
        return bool(readable()) and time.monotonic() >= paused_until

    listener.accept = accept
    listener.handle_accept = accept_safely
    listener.readable = is_readable


def redirect_server_log() -> None:
    """Pass the messages of the HTTP server on to the log, which blocks no thread.

    Notes
    -----
    Without a handler they go to standard error: the thread that logs, which may be the
    server's loop, waits there for a reader.
    """
    server_log = logging.getLogger("waitress")
    server_log.addFilter(is_unexpected)
    server_log.propagate = False
    if not server_log.handlers:
        server_log.addHandler(RedirectLoggingHandler())
    # Waitress logs a warning for each request that waits for a thread.
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)


def close_unused(listener: Any, _: float) -> None:
    """Close connections that have been idle for long; runs in the server's loop.

    Notes
    -----
    In place of the HTTP library's, which compares readings of the wall clock: one step
    of it closed all connections that were idle or whose answers were not taken yet.
    """
    cutoff = time.monotonic() - IDLE_TIMEOUT_S
    for channel in listener.active_channels.values():
        if (
            not channel.requests
            and max(channel.received_at, channel.answered_at) < cutoff
        ):
            channel.will_close = True


def awaits_rest(channel: Any) -> bool:
    """Return whether a request, or the rest of one, may be on its way."""
    if channel.request is None and not channel.is_new:
        return False
    return bool(time.monotonic() - channel.received_at < REST_WAIT_S)


def is_pending(channel: Any) -> bool:
    """Return whether a request of a connection is not read whole or not answered."""
    return bool(
        channel.requests
        or channel.total_outbufs_len
        or channel.is_lingering
        or awaits_rest(channel)
        or has_data(channel.socket)
    )


def close_listener(listener: Any) -> None:
    """Take the connections that wait in the backlog, then stop listening.

    Notes
    -----
    Runs in the server's loop. The kernel resets the connections of the backlog when
    the socket is closed, with the requests that callers have sent on them.
    """
    for _ in range(CONNECTIONS_MAX):
        if not has_data(listener.socket):
            break
        listener.handle_accept()
    dispatcher.close(listener)


def close_idle(listener: Any) -> None:
    """Close connections without a pending request; runs in the server's loop.

    Notes
    -----
    The request of a connection with unread data is served, and the response closes it.
    """
    for channel in list(listener.active_channels.values()):
        if channel.request is None and not is_pending(channel):
            channel.handle_close()


def cut_all(listeners: list[Any]) -> None:
    """Close all connections; runs in the server's loop."""
    for listener in listeners:
        for channel in list(listener.active_channels.values()):
            channel.cut()


class GatewayServer:
    """Serves a WSGI application on one or more addresses.

    Parameters
    ----------
    application : callable
    addresses : list of str
    threads : int
        Largest number of worker threads.
    is_leaving : callable
        Returns whether connections close after their next response.
    unanswered : UnansweredRequests
    is_ending : callable, optional
        Returns whether the grace period of a planned stop is about to end.
    rules : CallerRules
        What requests are held against.
    connections_max : int, optional
    """

    def __init__(  # noqa: PLR0913
        self,
        *,
        application: Callable[..., Any],
        addresses: list[str],
        threads: int,
        is_leaving: Callable[[], bool],
        unanswered: UnansweredRequests,
        is_ending: Callable[[], bool] = lambda: False,
        rules: CallerRules,
        connections_max: int = CONNECTIONS_MAX,
    ) -> None:
        redirect_server_log()
        # Set when the listeners are closed and all of their backlogs is taken.
        self._closed = threading.Event()
        self._map: dict[int, Any] = {}
        self._dispatcher = GrowingDispatcher(threads)
        self._dispatcher.set_thread_count(threads)
        self._server = create_server(
            application,
            map=self._map,
            _dispatcher=self._dispatcher,
            listen=" ".join(addresses),
            threads=threads,
            connection_limit=connections_max,
            max_request_body_size=UNLIMITED_BYTES,
            max_request_header_size=UNLIMITED_BYTES,
            inbuf_overflow=SPILL_THRESHOLD_BYTES,
            outbuf_overflow=SPILL_THRESHOLD_BYTES,
            outbuf_high_watermark=OUTPUT_HIGH_WATERMARK_BYTES,
            # Without lookahead, a disconnect is only noticed when the response ends.
            channel_request_lookahead=1,
            clear_untrusted_proxy_headers=False,
            asyncore_use_poll=True,
            ident=None,
        )
        # Each address has its own server in the map.
        self._listeners = [
            entry for entry in self._map.values() if hasattr(entry, "active_channels")
        ]
        watch = CallerWatch(rules, self._listeners, connections_max)
        channel_class = make_channel_class(
            is_leaving, is_ending, unanswered, rules, watch.relieve
        )
        for listener in self._listeners:
            listener.channel_class = channel_class
            listener.maintenance = partial(close_unused, listener)
            limit_socket_buffers(listener)
            pause_after_errors(listener, watch.sweep)
        self._thread = threading.Thread(
            target=self._serve, name=addresses[0], daemon=True
        )

    def start(self) -> None:
        """Accept connections."""
        self._thread.start()

    def _serve(self) -> None:
        """Run the server's loop until all of its connections are closed."""
        while self._map:
            try:
                self._server.run()
            except Exception:  # noqa: BLE001
                # Without this thread, no connection would be served any more.
                log.exception(LOOP_ERROR)
                time.sleep(POLL_INTERVAL_S)

    def close_listeners(self) -> None:
        """Stop accepting connections, and close those without a pending request.

        Notes
        -----
        The server's loop does so soon; ``wait_idle`` waits for it.
        """
        for listener in self._listeners:
            run_in_loop(listener, partial(close_listener, listener))
            run_in_loop(listener, partial(close_idle, listener))
        run_in_loop(self._listeners[-1], self._closed.set)

    def count_pending(self) -> int:
        """Return the number of connections with a pending request."""
        channels = [
            channel
            for listener in self._listeners
            for channel in list(listener.active_channels.values())
        ]
        return sum(map(is_pending, channels))

    def wait_idle(self, deadline: float) -> bool:
        """Wait until the listeners are closed and all responses are finished.

        Parameters
        ----------
        deadline : float
            On the monotonic clock in seconds.

        Returns
        -------
        bool
            Whether they are.
        """
        while not self._closed.is_set() or self.count_pending():
            if time.monotonic() >= deadline:
                return False
            time.sleep(POLL_INTERVAL_S)
        return True

    def stop(self) -> None:
        """Close all connections and listeners."""
        run_in_loop(self._listeners[0], partial(cut_all, self._listeners))
        run_in_loop(self._listeners[0], lambda: close_all(self._map, True))
        self._thread.join(STOP_TIMEOUT_S)


__all__ = [
    "CALLERS_FDS_FRACTION",
    "CALLER_THREADS",
    "STATUS_FDS_FRACTION",
    "STATUS_THREADS",
    "GatewayServer",
    "limit_connections",
]
