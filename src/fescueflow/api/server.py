"""HTTP server for the WSGI application."""

import contextlib
import json
import logging
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from waitress import create_server
from waitress.channel import ClientDisconnected
from waitress.task import ErrorTask, WSGITask
from waitress.wasyncore import close_all, dispatcher

from fescueflow.api.application import TRY_WRITE_KEY, Application
from fescueflow.api.operations import JSON_CONTENT_TYPE
from fescueflow.api.threads import ReservedThreadDispatcher
from fescueflow.core import (
    BodyTooLarge,
    InvalidRequest,
    Outcome,
    RequestError,
    describe_error,
)
from fescueflow.delivery import StreamTruncated
from fescueflow.http1 import DirectChannel
from fescueflow.schema import Settings

HEADER_BYTES_MAX = 65536
# A response blocks while this many bytes are not yet sent to the caller.
OUTPUT_BUFFER_BYTES_MAX = 1 << 20
# Above the size of any buffer: waitress moves larger buffers to a temporary file.
BUFFER_OVERFLOW_BYTES = 1 << 30
IDLE_TIMEOUT_S = 120
THREAD_STOP_TIMEOUT_S = 0.5
DRAIN_TIMEOUT_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.01


class JsonErrorTask(ErrorTask):
    """Writes a JSON error for a request that waitress rejects."""

    def execute(self) -> None:
        """Write the response."""
        refusal = self.request.error
        error = make_refusal_error(refusal.code, refusal.body, self.request.headers)
        body = json.dumps(describe_error(error)).encode()
        self.status = f"{refusal.code} {refusal.reason}"
        self.response_headers.append(("Content-Type", JSON_CONTENT_TYPE))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


def make_refusal_error(
    code: int, message: str, headers: dict[str, str]
) -> RequestError:
    """Return the error for a request that was rejected before the application."""
    if code == BodyTooLarge.status:
        # Only a request without an id is known not to have run.
        unknown = "FESCUEFLOW_REQUEST_ID" in headers
        outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
        return BodyTooLarge("the body is too large", outcome)
    if code < 500:
        return InvalidRequest(message, Outcome.UNKNOWN)
    return RequestError("internal error", Outcome.UNKNOWN)


class StreamingTask(WSGITask):
    """Lets a streamed body write to the caller from another thread as well."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment with the non-blocking write function."""
        environ: dict[str, Any] = super().get_environment()
        environ[TRY_WRITE_KEY] = self.try_write
        return environ

    def try_write(self, data: bytes) -> bool:
        """Write a chunk of the body without blocking.

        Returns
        -------
        bool
            False, with nothing written, if the caller has disconnected or reads
            slowly, or if the response head is not written yet. The request's own
            thread then writes the chunk.
        """
        pending = self.channel.total_outbufs_len
        if not self.wrote_header or pending >= OUTPUT_BUFFER_BYTES_MAX // 2:
            return False
        try:
            self.write(data)
        except ClientDisconnected:
            return False
        return True


class CallerChannel(DirectChannel):
    """Connection to a caller."""

    task_class = StreamingTask
    error_task_class = JsonErrorTask


def is_unexpected(record: logging.LogRecord) -> bool:
    """Return False for a log record about a stream that was aborted on purpose."""
    cause = record.exc_info[1] if record.exc_info else None
    return not isinstance(cause, StreamTruncated)


def has_unfinished_responses(server: Any) -> bool:
    """Return whether a response is not yet complete or not yet sent."""
    channels = list(server.active_channels.values())
    return any(channel.requests or channel.total_outbufs_len for channel in channels)


def run_in_loop(server: Any, action: Callable[[], None]) -> None:
    """Run an action in the server's loop, unless the loop has ended."""
    # The trigger of a loop that has ended is closed.
    with contextlib.suppress(OSError):
        server.trigger.pull_trigger(action)


class HttpServer:
    """HTTP server for callers and operators.

    Parameters
    ----------
    settings : Settings
    application : Application
    listener : socket.socket, optional
        Bound socket. By default, one is opened at ``http_address``.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        application: Application,
        listener: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._application = application
        self._listener = listener
        self._lock = threading.Lock()
        self._server: Any = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start to accept connections."""
        with self._lock:
            if self._thread is not None:
                return
            logging.getLogger("waitress").addFilter(is_unexpected)
            self._server = create_server(self._application, **self._make_options())
            self._server.channel_class = CallerChannel
            thread_dispatcher = ReservedThreadDispatcher(self._server.task_dispatcher)
            self._server.task_dispatcher = thread_dispatcher
            self._thread = threading.Thread(
                target=self._server.run, name="http", daemon=True
            )
            self._thread.start()

    def stop(self, drain_timeout_s: float = DRAIN_TIMEOUT_S) -> None:
        """Stop listening, send pending responses, and end the threads.

        Parameters
        ----------
        drain_timeout_s : float, optional
            Time after which connections with unfinished responses are closed.
        """
        with self._lock:
            server, thread = self._server, self._thread
            self._server = self._thread = None
        if server is None or thread is None:
            return
        run_in_loop(server, lambda: dispatcher.close(server))
        deadline = time.monotonic() + drain_timeout_s
        while has_unfinished_responses(server) and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_INTERVAL_S)
        run_in_loop(server, lambda: close_all(server._map, True))
        thread.join(THREAD_STOP_TIMEOUT_S)
        server.task_dispatcher.shutdown(
            cancel_pending=True, timeout=THREAD_STOP_TIMEOUT_S
        )

    def get_address(self) -> str:
        """Return the bound address as ``host:port``."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    def _make_options(self) -> dict[str, Any]:
        settings = self._settings
        options: dict[str, Any] = {"listen": settings.http_address}
        if self._listener is not None:
            options = {"sockets": [self._listener]}
        return {
            **options,
            "threads": settings.http_threads,
            "connection_limit": settings.http_connections_max,
            "max_request_body_size": settings.request_body_max_bytes,
            "max_request_header_size": HEADER_BYTES_MAX,
            "inbuf_overflow": BUFFER_OVERFLOW_BYTES,
            "outbuf_overflow": BUFFER_OVERFLOW_BYTES,
            "outbuf_high_watermark": OUTPUT_BUFFER_BYTES_MAX,
            # Without it, a disconnect is noticed only at the end of the response.
            "channel_request_lookahead": 1,
            "channel_timeout": IDLE_TIMEOUT_S,
            "asyncore_use_poll": True,
            "ident": "fescueflow",
        }


__all__ = ["HttpServer"]
