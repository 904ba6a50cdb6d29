"""Connections of callers: tasks that answer requests, and how each request ends."""

import contextlib
import socket
import struct
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from waitress.channel import ClientDisconnected
from waitress.task import ErrorTask, WSGITask

from fescueflow.core import RequestError
from fescueflow.gateway.application import READ_AT, REQUEST_URI
from fescueflow.gateway.caller_outputs import OutputBuffer
from fescueflow.gateway.caller_requests import CallerParser, CallerRules
from fescueflow.gateway.sockets import has_data
from fescueflow.gateway.streams import StreamBroken
from fescueflow.gateway.unanswered import Cause, UnansweredRequests, find_cause
from fescueflow.http1 import DirectChannel
from fescueflow.routing import CallerBound, CallerProgress, Hold

# Value of SO_LINGER with which a connection is reset when it is closed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Longest time for which a connection that is closed takes further input: a caller that
# reads slowly needs it to have the rest of its answer.
LINGER_S = 2.0
LINGER_READ_BYTES = 1 << 16
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CLOSED = "the connection is closed"
# Bytes of line ends between two requests: some callers send one after a body.
LINE_ENDS_MAX = 64
CUT_ANSWER = "the answer is not written whole"


def never() -> bool:
    """Return False."""
    return False


class CallerTask(WSGITask):
    """Keeps the raw request target and closes connections while leaving."""

    is_leaving: Callable[[], bool] = staticmethod(lambda: False)
    is_ending: Callable[[], bool] = staticmethod(lambda: False)

    def get_environment(self) -> dict[str, Any]:
        """Return the environment with the request target as the caller sent it."""
        environ: dict[str, Any] = super().get_environment()
        environ[REQUEST_URI] = self.request.request_uri
        environ[READ_AT] = self.request.read_at
        return environ

    def service(self) -> None:
        """Answer the request, and record it if it ends without a complete answer."""
        self.request.is_running = True
        try:
            super().service()
        except ClientDisconnected:
            # The channel knows why it was closed.
            self.request.settle(self.channel.close_cause, CLOSED)
            raise
        except Exception as error:
            self._settle_error(error)
            raise
        except BaseException as error:
            self.request.settle(Cause.ERROR, repr(error))
            raise
        if self._is_short():
            self.request.settle(Cause.ERROR, "the body is shorter than its length")
        self.channel.note_answer(self.request)

    def execute(self) -> None:
        """Run the application; reset the connection of a broken response.

        Notes
        -----
        A caller of HTTP/1.0 gets neither a length nor chunks, and would take the end of
        the connection for the end of the response.
        """
        try:
            super().execute()
        except StreamBroken:
            if not self.chunked_response:
                self.channel.reset_on_close()
            raise

    def build_response_header(self) -> bytes:
        """Return the head; while leaving, the last response closes the connection.

        Notes
        -----
        Requests that have been read behind this one are answered first.
        """
        if self.is_leaving() and len(self.channel.requests) <= 1:
            self.set_close_on_finish()
        head: bytes = super().build_response_header()
        return head

    def _settle_error(self, error: Exception) -> None:
        if self.wrote_header:
            self.request.settle(find_cause(error, self.is_ending()), str(error))
            return
        self.request.unanswered.record_internal_error(
            attempt_id=self.request.get_attempt_id(), path=str(self.request.path)
        )

    def _is_short(self) -> bool:
        return (
            self.content_length is not None
            and self.has_body
            and self.request.command != "HEAD"
            and self.content_bytes_written != self.content_length
        )


class CallerErrorTask(ErrorTask):
    """Answers a malformed request, or one whose task failed."""

    def service(self) -> None:
        """Write the answer."""
        request = self.channel.requests[0]
        try:
            super().service()
        except ClientDisconnected:
            request.settle(self.channel.close_cause, CLOSED)
            raise
        self.channel.note_answer(request)


class CallerChannel(DirectChannel):
    """Connection of a caller; knows the requests without a complete answer.

    Attributes
    ----------
    close_cause : Cause
        Why the connection is closed before its requests are answered.
    is_new : bool
        Whether nothing has been received.
    is_reset : bool
        Whether its end must look like a failure.
    received_at : float
        When it was accepted or the last bytes were received, on the monotonic clock in
        seconds.
    answered_at : float
        When it was accepted or the last answer was written or buffered, on the same
        clock.
    taken_at : float
        When the caller last took a part of an answer that waits for it, on the same
        clock.
    """

    rules: CallerRules
    parser_class: Any
    # The request that is read.
    request: CallerParser | None
    # Releases memory in the server's loop.
    relieve: Callable[[], None] = staticmethod(lambda: None)
    error_task_class = CallerErrorTask
    close_cause = Cause.CALLER_LEFT
    is_new = True
    is_reset = False

    def __init__(self, *args: Any, **options: Any) -> None:
        # Answered requests of whose answers a part may wait in the output buffers.
        self._unsent: list[CallerParser] = []
        # Whether a part of them waited when the connection was closed.
        self._is_cut = False
        # Until when further input is taken and discarded before the close.
        self._linger_until: float | None = None
        self.received_at = self.answered_at = self.taken_at = time.monotonic()
        # Bytes of the output that the account counts.
        self._output_bytes = 0
        # Bytes of line ends since the last request.
        self._line_ends = 0
        # Whether a request was refused before it was read whole.
        self._is_refused = False
        super().__init__(*args, **options)
        self.outbufs = [OutputBuffer()]
        self.parser_class = partial(self.parser_class, address=self.addr[0])

    def received(self, data: bytes) -> bool:
        """Take a part of one or more requests."""
        self.received_at = time.monotonic()
        taken: bool = super().received(data)
        self.is_new = False
        with self.requests_lock:
            is_failed = bool(self.requests and self.requests[-1].error)
            self._drop_line_ends()
        if is_failed:
            self._stop_reading()
        if self.rules.memory.is_over:
            self.relieve()
        return taken

    def _drop_line_ends(self) -> None:
        """Take no line ends for the begin of a request; close after many of them."""
        request = self.request
        if request is None or not request.is_blank:
            self._line_ends = 0
            return
        self._line_ends += request.line_ends
        self.request = None
        if self._line_ends > LINE_ENDS_MAX:
            self.will_close = True

    def write_soon(self, data: Any) -> int:
        """Send or buffer the data; return its size in bytes."""
        before = self.total_outbufs_len
        if not before:
            # The loop may sweep as soon as the data is buffered.
            self.taken_at = time.monotonic()
        # The library would begin a buffer of its own kind after so many bytes.
        self.current_outbuf_count = 0
        size = super().write_soon(data)
        if before and self.total_outbufs_len < before + size:
            self.taken_at = time.monotonic()
        if self.total_outbufs_len != self._output_bytes:
            self._hold_output()
        return size

    def send_continue(self) -> None:
        """Ask the caller to go on with its body.

        Notes
        -----
        In place of the HTTP library's, which closes a connection that has failed:
        its caller holds ``requests_lock``, which the close needs, too. The server's
        loop finds the failure in its next turn.
        """
        request = self.request
        if request is None:
            return
        request.expect_continue = False
        with self.outbuf_lock:
            if not self.total_outbufs_len:
                self.taken_at = time.monotonic()
            self.outbufs[-1].append(CONTINUE)
            self.current_outbuf_count += len(CONTINUE)
            self.total_outbufs_len += len(CONTINUE)
            self.sent_continue = True
            self._flush_exception(self._flush_some, do_close=False)
        if self.total_outbufs_len != self._output_bytes:
            self._hold_output()
        request.completed = False

    def handle_write(self) -> None:
        """Send what waits for the caller."""
        before = self.total_outbufs_len
        super().handle_write()
        if self.total_outbufs_len < before:
            self.taken_at = time.monotonic()
        if self.total_outbufs_len != self._output_bytes:
            self._hold_output()

    def get_progress(self, now: float) -> CallerProgress:
        """Return what is read from or written to the caller.

        Notes
        -----
        A request behind an answer that waits for the caller is not read, so its time
        begins anew.
        """
        answer_since = self.taken_at if self.total_outbufs_len else None
        request = self.request
        if request is None:
            return CallerProgress(answer_since=answer_since)
        if self.total_outbufs_len or len(self.requests) > 1:
            request.progress_at = now
        since = request.progress_at
        if request.headers_finished:
            return CallerProgress(body_since=since, answer_since=answer_since)
        return CallerProgress(head_since=since, answer_since=answer_since)

    def get_hold(self) -> Hold:
        """Return what giving way would release."""
        request = self.request
        size = self._output_bytes
        if request is None:
            return Hold(self, size, self.taken_at, is_answer=True)
        if self._is_request_larger():
            return Hold(self, request.held_bytes, request.progress_at)
        return Hold(self, size + request.held_bytes, self.taken_at, is_answer=True)

    def _is_request_larger(self) -> bool:
        """Return whether the request that is read holds more than the output."""
        request = self.request
        return request is not None and request.held_bytes > self._output_bytes

    def give_way(self, limit: CallerBound, error: RequestError) -> None:
        """Refuse the request that is read, or cut an answer that is not taken.

        Notes
        -----
        Runs in the server's loop. The refusal comes after the answers to earlier
        requests. A connection whose output waits takes no further one, unless it is
        the request read behind it that holds the memory.
        """
        size = self.get_hold().held_bytes
        self.rules.record(self.addr[0], limit, size)
        is_request = limit is CallerBound.MEMORY and self._is_request_larger()
        if self.total_outbufs_len and not is_request:
            self.close_cause = Cause.NOT_WRITTEN
            self.reset_on_close()
            self._end()
            return
        with self.requests_lock:
            request, self.request = self.request, None
            if request is not None:
                self._stop_reading()
                request.refuse(error)
                self.requests.append(request)
                if len(self.requests) == 1:
                    self.server.add_task(self)

    def _stop_reading(self) -> None:
        """Read nothing after a request that is refused; discard it before the close."""
        self.readable = never
        self._is_refused = True

    def _hold_output(self) -> None:
        with self.outbuf_lock:
            before, self._output_bytes = self._output_bytes, self.total_outbufs_len
            self.rules.memory.move(before, self._output_bytes)

    def note_answer(self, request: CallerParser) -> None:
        """Note that the whole answer to a request is written or buffered."""
        request.is_answered = True
        self.answered_at = time.monotonic()
        with self.outbuf_lock:
            if self.total_outbufs_len:
                self._unsent.append(request)
                return
            self._unsent.clear()
        if self._is_cut:
            request.settle(self.close_cause, CUT_ANSWER)

    def cancel(self) -> None:
        """Close the connection after an unexpected error in a worker thread."""
        self.close_cause = Cause.ERROR
        for request in list(self.requests):
            if not request.is_answered:
                request.settle(Cause.ERROR, "an error of the thread")
        super().cancel()
        self.server.pull_trigger()

    def handle_error(self) -> None:
        """Close the connection after an unexpected error in the server's loop."""
        self.close_cause = Cause.ERROR
        super().handle_error()

    def reset_on_close(self) -> None:
        """Let the end of the connection look like a failure."""
        self.is_reset = True
        # The server's loop holds this lock while it closes; no socket is left then.
        with self.outbuf_lock:
            if self.connected:
                self.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )

    def cut(self) -> None:
        """Close the connection at the end of a stop."""
        self.close_cause = Cause.STOP
        self._end()

    @property
    def is_lingering(self) -> bool:
        """Whether the answers are written and further input is discarded."""
        return self._linger_until is not None

    def handle_close(self) -> None:
        """Close the connection and record the requests that it leaves unanswered.

        Notes
        -----
        The kernel resets a connection that is closed with unread input, and discards
        what the caller has not taken of its answer. Input of a connection whose answers
        are written is therefore read first.
        """
        if self._linger_until is None and self._has_unread_input():
            self._linger()
            return
        self._end()

    def _linger(self) -> None:
        self._linger_until = time.monotonic() + LINGER_S
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        # The loop asks each connection in each turn: those that serve take no detour.
        self.readable = self._check_lingering
        self.writable = lambda: False
        self.handle_read = self._discard_input

    def _check_lingering(self) -> bool:
        """Return whether input is taken; close the connection after the time for it."""
        if self._linger_until is not None and time.monotonic() < self._linger_until:
            return True
        self._end()
        return False

    def _discard_input(self) -> None:
        if not self.recv(LINGER_READ_BYTES):
            self._end()

    def _has_unread_input(self) -> bool:
        is_orderly = self.will_close and self.connected and not self.total_outbufs_len
        # The rest of a refused request may still be on its way.
        may_come = self._is_refused or has_data(self.socket)
        return is_orderly and not self.is_reset and may_come

    def _end(self) -> None:
        if self.will_close and self.close_cause is Cause.CALLER_LEFT:
            self.close_cause = Cause.NOT_WRITTEN
        with self.outbuf_lock:
            self._is_cut = self._is_cut or bool(self.total_outbufs_len)
            unsent = list(self._unsent) if self._is_cut else []
            super().handle_close()
            self._hold_output()
        self._release_unread()
        for request in unsent:
            request.settle(self.close_cause, CUT_ANSWER)
        is_stop = self.close_cause is Cause.STOP
        for request in list(self.requests):
            # Threads are cut off when the process ends.
            if not request.is_answered and (is_stop or not request.is_running):
                request.settle(self.close_cause, CLOSED)

    def _release_unread(self) -> None:
        with self.requests_lock:
            request, self.request = self.request, None
        if request is not None:
            request.close()


def make_channel_class(
    is_leaving: Callable[[], bool],
    is_ending: Callable[[], bool],
    unanswered: UnansweredRequests,
    rules: CallerRules,
    relieve: Callable[[], None],
) -> type[CallerChannel]:
    """Return the channel class for the connections of one server."""
    checks = {
        "is_leaving": staticmethod(is_leaving),
        "is_ending": staticmethod(is_ending),
    }
    parser = type("Parser", (CallerParser,), {"unanswered": unanswered, "rules": rules})
    task = type("Task", (CallerTask,), checks)
    classes = {
        "task_class": task,
        "parser_class": parser,
        "rules": rules,
        "relieve": staticmethod(relieve),
    }
    return type("Channel", (CallerChannel,), classes)


__all__ = ["CallerChannel", "CallerTask", "make_channel_class"]
