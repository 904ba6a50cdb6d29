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
from fescueflow.delivery import StreamCut
from fescueflow.http1 import DirectChannel
from fescueflow.schema import Settings

HEADER_BYTES_MAX = 65536
# A response waits for the caller when this much is not yet sent.
OUTPUT_BUFFER_BYTES_MAX = 1 << 20
# Larger than any pending output: waitress writes what exceeds it to a file.
BUFFER_OVERFLOW_BYTES = 1 << 30
IDLE_TIMEOUT_S = 120
THREAD_STOP_TIMEOUT_S = 0.5
DRAIN_TIMEOUT_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.01


class JsonErrorTask(ErrorTask):
    """Answers requests that waitress itself refuses."""

    def execute(self) -> None:
        """Write the error as JSON."""
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
    """Return the error for a request that did not reach the application."""
    if code == BodyTooLarge.status:
        # Only a request that names no id is known not to have run.
        unknown = "FESCUEFLOW_REQUEST_ID" in headers
        outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
        return BodyTooLarge("the body is too large", outcome)
    if code < 500:
        return InvalidRequest(message, Outcome.UNKNOWN)
    return RequestError("internal error", Outcome.UNKNOWN)


class StreamingTask(WSGITask):
    """Lets a streamed body write to the caller from another thread."""

    def get_environment(self) -> dict[str, Any]:
        """Return the environment with the function that writes."""
        environ: dict[str, Any] = super().get_environment()
        environ[TRY_WRITE_KEY] = self.try_write
        return environ

    def try_write(self, data: bytes) -> bool:
        """Write a part of the body without waiting.

        Returns
        -------
        bool
            False, with nothing written, if the caller has disconnected or is slow,
            or before the head; the request's own thread then writes.
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
    """Connection of a caller."""

    task_class = StreamingTask
    error_task_class = JsonErrorTask


def is_unexpected(record: logging.LogRecord) -> bool:
    """Return whether a log record is not about a stream that was cut on purpose."""
    cause = record.exc_info[1] if record.exc_info else None
    return not isinstance(cause, StreamCut)


def has_unfinished_responses(server: Any) -> bool:
    """Return whether a caller still waits for an answer or a part of one."""
    channels = list(server.active_channels.values())
    return any(channel.requests or channel.total_outbufs_len for channel in channels)


def run_in_loop(server: Any, action: Callable[[], None]) -> None:
    """Run an action in the server's loop, not at all if the loop has ended."""
    # Its trigger is closed by then.
    with contextlib.suppress(OSError):
        server.trigger.pull_trigger(action)


class HttpServer:
    """Serves callers and operators.

    Parameters
    ----------
    settings : Settings
    application : Application
    listener : socket.socket, optional
        Bound socket; by default one is opened at ``http_address``.
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
        """Accept connections."""
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
        """Stop listening, send pending answers, and end the threads.

        Parameters
        ----------
        drain_s : float, optional
            Connections with unfinished answers are closed after this many seconds.
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
        """Return the address that callers connect to."""
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
            # Without it a caller that disconnects is noticed only at the end.
            "channel_request_lookahead": 1,
            "channel_timeout": IDLE_TIMEOUT_S,
            "asyncore_use_poll": True,
            "ident": "fescueflow",
        }


__all__ = ["HttpServer"]
